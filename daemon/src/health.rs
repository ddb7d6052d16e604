//! Health, readiness and metrics over HTTP.

use std::rc::Rc;

use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use cowslipport_lib::freshness::ViewState;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::tasks::peer::PeerMessage;

/// Shared by the requests to the health endpoint.
#[derive(Clone)]
pub(crate) struct HealthContext {
    /// Mailbox of the peer task.
    pub(crate) peer: mpsc::Sender<PeerMessage>,
    /// Renders the metrics, if a recorder is installed.
    pub(crate) metrics: Option<PrometheusHandle>,
    /// True once the process is shutting down.
    pub(crate) shutting_down: watch::Receiver<bool>,
}

/// Serves `/healthz`, `/readyz` and `/metrics` until the process ends, so that
/// readiness can still be probed while a shutdown waits for work in flight.
pub(crate) async fn serve(listener: TcpListener, context: HealthContext) {
    let factory = HttpService::build()
        .h1(move |request: Request| {
            let context = context.clone();
            async move { Ok::<_, actix_http::Error>(answer(&request, context).await) }
        })
        .tcp();
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    while let Ok((stream, _)) = listener.accept().await {
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // An error of one connection concerns only its client.
            let _ = service.call(stream).await;
        });
    }
}

async fn answer(request: &Request, context: HealthContext) -> Response<BoxBody> {
    match request.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
        "/readyz" => readiness(context).await,
        "/metrics" => match &context.metrics {
            Some(metrics) => text(StatusCode::OK, metrics.render()),
            None => text(StatusCode::NOT_FOUND, "no metrics recorder is installed\n".to_owned()),
        },
        _ => text(StatusCode::NOT_FOUND, "known paths: /healthz, /readyz, /metrics\n".to_owned()),
    }
}

async fn readiness(context: HealthContext) -> Response<BoxBody> {
    if *context.shutting_down.borrow() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".to_owned());
    }
    let (reply, status) = oneshot::channel();
    let sent = context.peer.send(PeerMessage::Status(reply)).await;
    match (sent, status.await) {
        (Ok(()), Ok(status)) => match status.view {
            ViewState::Confirmed => text(StatusCode::OK, "confirmed\n".to_owned()),
            ViewState::Outage => text(StatusCode::OK, "outage\n".to_owned()),
            ViewState::Stale => text(StatusCode::SERVICE_UNAVAILABLE, "stale\n".to_owned()),
        },
        (Err(_), _) | (_, Err(_)) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".to_owned()),
    }
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status).body(body).map_into_boxed_body()
}
