//! The HTTP front end for callers and the calls to upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::BytesMut;
use cowslipport_lib::ids::VmId;
use futures_util::StreamExt;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::job_front;
use crate::jobs_task::JobsMessage;
use crate::router_task::RouteReply;
use crate::router_task::RouteRequest;
use crate::router_task::RouterMessage;

const MAX_BODY_BYTES: usize = 1024 * 1024;
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(30);
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// What the connections of callers need.
#[derive(Clone)]
pub(crate) struct CallerContext {
    /// Mailbox of the router task.
    pub(crate) router: mpsc::Sender<RouterMessage>,
    /// Mailbox of the task for job calls.
    pub(crate) jobs: mpsc::Sender<JobsMessage>,
    /// The logger.
    pub(crate) logger: Logger,
    /// Held by each open connection, so that a stop can wait for them.
    pub(crate) connection: mpsc::Sender<()>,
}

/// Accepts connections of callers until `stop` changes.
pub(crate) async fn serve(
    listener: TcpListener,
    context: CallerContext,
    mut stop: watch::Receiver<bool>,
) {
    let client = Rc::new(awc::Client::builder().timeout(UPSTREAM_TIMEOUT).finish());
    let logger = context.logger.clone();
    let connection = context.connection.clone();
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .h1(move |request: Request| {
            let (context, client) = (context.clone(), Rc::clone(&client));
            async move { Ok::<_, actix_http::Error>(answer(request, context, client).await) }
        })
        .tcp();
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                let connection = connection.clone();
                actix_rt::spawn(async move {
                    // The connection ends with its caller.
                    let _ = service.call(stream).await;
                    drop(connection);
                });
            }
            Err(error) => warn!(logger, "connection is not accepted"; "error" => error.to_string()),
        }
    }
}

async fn answer(
    mut request: Request,
    context: CallerContext,
    client: Rc<awc::Client>,
) -> Response<BoxBody> {
    let is_job_call = is_job_path(request.uri().path());
    let pool_path = split_path(request.uri().path());
    if !is_job_call && pool_path.is_none() {
        return refusal(StatusCode::NOT_FOUND, "path_unknown");
    }
    let Some(key) = bearer(&request) else {
        return refusal(StatusCode::UNAUTHORIZED, "key_missing");
    };
    let body = match read_body(&mut request).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    let Some((pool, path)) = pool_path else {
        let path = request.uri().path();
        return job_front::answer(request.method(), path, key, &body, &context.jobs).await;
    };
    match route(&context, RouteRequest { pool, key }).await {
        RouteReply::Send { vm, address } => {
            let response = forward(&request, &path, body, address, &client).await;
            let _ = context.router.send(RouterMessage::Finished { vm }).await;
            log_failure(&context.logger, vm, &response);
            response
        }
        RouteReply::KeyNotGranted => refusal(StatusCode::UNAUTHORIZED, "key_not_granted"),
        RouteReply::PoolUnknown => refusal(StatusCode::NOT_FOUND, "pool_unknown"),
        RouteReply::ViewStale => refusal(StatusCode::SERVICE_UNAVAILABLE, "view_stale"),
        RouteReply::NoUpstream => refusal(StatusCode::SERVICE_UNAVAILABLE, "no_upstream"),
    }
}

fn log_failure(logger: &Logger, vm: VmId, response: &Response<BoxBody>) {
    if response.status() == StatusCode::BAD_GATEWAY {
        warn!(logger, "upstream failed"; "vm" => vm.0);
    }
}

async fn route(context: &CallerContext, request: RouteRequest) -> RouteReply {
    let (reply, answer) = oneshot::channel();
    if context.router.send(RouterMessage::Route { request, reply }).await.is_err() {
        return RouteReply::ViewStale;
    }
    answer.await.unwrap_or(RouteReply::ViewStale)
}

fn is_job_path(path: &str) -> bool {
    path == "/jobs" || path.starts_with("/jobs/")
}

fn split_path(path: &str) -> Option<(String, String)> {
    let rest = path.strip_prefix("/pools/")?;
    let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((pool.to_owned(), format!("/{path}")))
}

fn bearer(request: &Request) -> Option<String> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    Some(value.strip_prefix("Bearer ")?.to_owned())
}

async fn read_body(request: &mut Request) -> Result<BytesMut, Response<BoxBody>> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| refusal(StatusCode::BAD_REQUEST, "body_incomplete"))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

async fn forward(
    request: &Request,
    path: &str,
    body: BytesMut,
    address: SocketAddr,
    client: &awc::Client,
) -> Response<BoxBody> {
    let url = format!("http://{address}{path}");
    let call = client.request(request.method().clone(), url).send_body(body.freeze());
    match call.await {
        Ok(mut upstream) => match upstream.body().limit(MAX_BODY_BYTES).await {
            Ok(body) => Response::build(upstream.status()).body(body).map_into_boxed_body(),
            Err(_) => unknown(StatusCode::BAD_GATEWAY),
        },
        Err(awc::error::SendRequestError::Connect(_)) => {
            refusal(StatusCode::SERVICE_UNAVAILABLE, "upstream_unreachable")
        }
        Err(_) => unknown(StatusCode::BAD_GATEWAY),
    }
}

fn refusal(status: StatusCode, reason: &str) -> Response<BoxBody> {
    let body = serde_json::json!({ "not_run": true, "reason": reason });
    json_response(status, &body)
}

fn unknown(status: StatusCode) -> Response<BoxBody> {
    json_response(status, &serde_json::json!({ "outcome": "unknown" }))
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<BoxBody> {
    let mut builder = Response::build(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        builder.insert_header((header::RETRY_AFTER, "1"));
    }
    builder.body(body.to_string()).map_into_boxed_body()
}
