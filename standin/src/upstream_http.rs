//! Serves one HTTP connection of an upstream instance.

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

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Time between the first half of a truncated response and the end of the
/// connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(1);

/// Serves one connection until the peer or a fault closes it.
pub(crate) async fn serve(stream: TcpStream, mailbox: mpsc::Sender<UpstreamMessage>) {
    let (close_connection, mut closed) = mpsc::channel(1);
    let handler = fn_service(move |request: Request| {
        handle_request(request, mailbox.clone(), close_connection.clone())
    });
    let factory = HttpService::build().keep_alive(KeepAlive::Timeout(KEEP_ALIVE)).h1(handler).tcp();
    let Ok(service) = factory.new_service(()).await else { return };
    tokio::select! {
        // An error on the connection affects only its caller.
        _ = service.call(stream) => {}
        _ = closed.recv() => {}
    }
}

async fn handle_request(
    mut request: Request,
    mailbox: mpsc::Sender<UpstreamMessage>,
    close_connection: mpsc::Sender<()>,
) -> Result<Response<BoxBody>, Infallible> {
    let Ok(body) = read_body(request.take_payload()).await else {
        return Ok(refusal(StatusCode::BAD_REQUEST, false));
    };
    let header = |name: &str| request.headers().get(name)?.to_str().ok();
    let key = header("idempotency-key").unwrap_or_default().to_owned();
    let service_ms = header("x-service-ms").and_then(|value| value.parse().ok());
    let mut response_body =
        format!("{} {} {key}\n", request.method(), request.uri().path()).into_bytes();
    response_body.extend_from_slice(&body);
    let (reply, outcome) = oneshot::channel();
    // If the instance has stopped, the reply channel is dropped and the
    // connection closes below.
    let _ = mailbox.send(UpstreamMessage::Request { key, service_ms, reply }).await;
    let fault = match outcome.await {
        Ok(RequestOutcome::Response(fault)) => fault,
        Ok(RequestOutcome::Refused) => return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, false)),
        Ok(RequestOutcome::ShuttingDown) => {
            return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, true));
        }
        Err(_) => ResponseFault::CloseAfterRun,
    };
    match fault {
        ResponseFault::None | ResponseFault::Delayed { .. } => {
            Ok(Response::build(StatusCode::OK).body(response_body).map_into_boxed_body())
        }
        ResponseFault::Truncated => Ok(truncated_response(&response_body, close_connection)),
        ResponseFault::Duplicated => Ok(duplicated_response(response_body)),
        ResponseFault::CloseAfterRun | ResponseFault::CloseBeforeRun => {
            let _ = close_connection.send(()).await;
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

/// Builds the response to a request that is refused and not run.
fn refusal(status: StatusCode, close: bool) -> Response<BoxBody> {
    let mut response: ResponseBuilder = Response::build(status);
    if close {
        response.force_close();
    }
    response.body("not run\n").map_into_boxed_body()
}

/// Builds a response whose connection closes after half of the body.
fn truncated_response(
    response_body: &[u8],
    close_connection: mpsc::Sender<()>,
) -> Response<BoxBody> {
    let half = Bytes::copy_from_slice(&response_body[..response_body.len() / 2]);
    let rest = stream::once(async move {
        // The server sends the first half while this part is pending.
        tokio::time::sleep(TRUNCATION_DELAY).await;
        let _ = close_connection.send(()).await;
        future::pending().await
    });
    with_length(response_body.len(), stream::iter([Ok(half)]).chain(rest))
}

/// Builds a response that is followed by an unsolicited copy of itself.
fn duplicated_response(response_body: Vec<u8>) -> Response<BoxBody> {
    let mut second = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", response_body.len());
    second.push_str(&String::from_utf8_lossy(&response_body));
    let length = response_body.len();
    let parts = vec![Ok(Bytes::from(response_body)), Ok(Bytes::from(second))];
    with_length(length, stream::iter(parts))
}

/// Builds a response whose `content-length` is `length`, whatever the length of
/// its body.
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
