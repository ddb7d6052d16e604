//! The HTTP side of an upstream instance: one connection.

use std::convert::Infallible;
use std::future;
use std::io;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::ResponseBuilder;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::upstream_model::ResponseFault;
use crate::upstream_server::RequestOutcome;
use crate::upstream_server::UpstreamMessage;

/// Time for which a connection stays open without a request.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Time between the first half of an answer that is cut and the cut.
const CUT_DELAY: Duration = Duration::from_millis(1);

/// Serves one connection until it closes or a fault cuts it.
pub(crate) async fn serve(stream: TcpStream, mailbox: mpsc::Sender<UpstreamMessage>) {
    let (cut, mut cuts) = mpsc::channel(1);
    let handler = fn_service(move |request: Request| answer(request, mailbox.clone(), cut.clone()));
    let factory = HttpService::build().keep_alive(KeepAlive::Timeout(KEEP_ALIVE)).h1(handler).tcp();
    let Ok(service) = factory.new_service(()).await else { return };
    tokio::select! {
        // An error of the connection concerns only its caller.
        _ = service.call(stream) => {}
        _ = cuts.recv() => {}
    }
}

async fn answer(
    mut request: Request,
    mailbox: mpsc::Sender<UpstreamMessage>,
    cut: mpsc::Sender<()>,
) -> Result<Response<BoxBody>, Infallible> {
    let Ok(body) = read_body(request.take_payload()).await else {
        return Ok(refusal(StatusCode::BAD_REQUEST, false));
    };
    let header = |name: &str| request.headers().get(name)?.to_str().ok();
    let key = header("idempotency-key").unwrap_or_default().to_owned();
    let service_ms = header("x-service-ms").and_then(|value| value.parse().ok());
    let mut text = format!("{} {} {key}\n", request.method(), request.uri().path()).into_bytes();
    text.extend_from_slice(&body);
    let (reply, end) = oneshot::channel();
    // A stopped instance answers nothing, as the one below.
    let _ = mailbox.send(UpstreamMessage::Request { key, service_ms, reply }).await;
    let fault = match end.await {
        Ok(RequestOutcome::Response(fault)) => fault,
        Ok(RequestOutcome::Refused) => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, false)),
        Ok(RequestOutcome::ShuttingDown) => {
            return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, true));
        }
        Err(_) => ResponseFault::CloseAfterRun,
    };
    match fault {
        ResponseFault::None | ResponseFault::Delayed { .. } => {
            Ok(Response::build(StatusCode::OK).body(text).map_into_boxed_body())
        }
        ResponseFault::Truncated => Ok(cut_answer(&text, cut)),
        ResponseFault::Duplicated => Ok(double_answer(text)),
        ResponseFault::CloseAfterRun | ResponseFault::CloseBeforeRun => {
            let _ = cut.send(()).await;
            future::pending().await
        }
    }
}

async fn read_body(mut payload: Payload<BoxedPayloadStream>) -> Result<Bytes, PayloadError> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.freeze())
}

/// A response to a request that is not run.
fn refusal(status: StatusCode, close: bool) -> Response<BoxBody> {
    let mut response: ResponseBuilder = Response::build(status);
    if close {
        response.force_close();
    }
    response.body("not run\n").map_into_boxed_body()
}

/// A response whose connection closes when half of its body is sent.
fn cut_answer(text: &[u8], cut: mpsc::Sender<()>) -> Response<BoxBody> {
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let rest = stream::once(async move {
        // The server sends the first half while this part is not ready.
        tokio::time::sleep(CUT_DELAY).await;
        let _ = cut.send(()).await;
        future::pending().await
    });
    with_length(text.len(), stream::iter([Ok(half)]).chain(rest))
}

/// A response that is followed by another one that nobody asked for.
fn double_answer(text: Vec<u8>) -> Response<BoxBody> {
    let mut second = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
    second.push_str(&String::from_utf8_lossy(&text));
    let length = text.len();
    let parts = vec![Ok(Bytes::from(text)), Ok(Bytes::from(second))];
    with_length(length, stream::iter(parts))
}

/// A response whose body need not be as long as its head says.
fn with_length<S>(length: usize, parts: S) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    let length = u64::try_from(length).unwrap_or(u64::MAX);
    Response::build(StatusCode::OK)
        .no_chunking(length)
        .body(BodyStream::new(Box::pin(parts)))
        .map_into_boxed_body()
}
