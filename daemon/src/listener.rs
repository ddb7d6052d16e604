//! HTTP/1.1 listeners.

mod messages;
mod metered;
mod owner;
mod request;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Extensions;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use futures_util::StreamExt;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

use crate::listener::metered::MeteredStream;
use crate::listener::owner::Owner;
use crate::listener::request::GaveWay;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Time for which a caller whose request was refused may continue to send
/// before its connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of bodies that a listener holds, unless its limits say otherwise: 250 of the
/// largest bodies that the platform allows.
pub(crate) const BODY_MEMORY_BYTES: u64 = 67_108_864;
/// Time for a whole body, unless the limits of a listener say otherwise: the largest body
/// of the platform takes it at 9 KB/s, and no caller of the platform waits that long for
/// an answer.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenLimits {
    /// Name in logs and metrics.
    pub name: &'static str,
    /// Maximum number of open connections. Beyond it, a new one takes the place of the
    /// one that has taken longest for the least progress, or waits in the backlog of the
    /// socket.
    pub max_connections: usize,
    /// Bytes of heads and bodies that all connections together hold, beyond 8,192 for
    /// each.
    pub body_memory_bytes: u64,
    /// Time within which a whole body must arrive.
    pub body_timeout: Duration,
    /// Time within which a caller must send the whole head of a request.
    pub head_timeout: Duration,
    /// A connection that accepts no bytes for this time is closed.
    pub write_timeout: Duration,
    /// A connection on which no bytes arrive for this time is closed.
    pub read_timeout: Duration,
}

impl Default for ListenLimits {
    fn default() -> Self {
        Self {
            name: "other",
            max_connections: 2_000,
            body_memory_bytes: BODY_MEMORY_BYTES,
            body_timeout: BODY_TIMEOUT,
            head_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
            read_timeout: Duration::from_secs(30),
        }
    }
}

/// Answers requests until the future is dropped.
pub async fn serve<A, F>(listener: TcpListener, limits: ListenLimits, logger: Logger, answer: A)
where
    A: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    serve_until(listener, limits, logger, answer, std::future::pending(), ()).await;
}

/// Accepts connections and answers their requests until `stop` completes. Open
/// connections are served on after that. Each connection holds a clone of
/// `connection_guard` until it ends.
pub(crate) async fn serve_until<A, F, S, G>(
    listener: TcpListener,
    limits: ListenLimits,
    logger: Logger,
    answer: A,
    stop: S,
    connection_guard: G,
) where
    A: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
    S: Future<Output = ()>,
    G: Clone + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .on_connect_ext(|stream: &MeteredStream, data: &mut Extensions| {
            data.insert(stream.handle().clone());
        })
        .h1(move |request: Request| {
            let answer = request::answer(request, answer.clone());
            async move { Ok::<_, actix_http::Error>(answer.await) }
        });
    // The factory of a service without configuration does not fail.
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    let connect = move |stream: TcpStream, address, handle, orders| {
        let stream = MeteredStream::new(with_timeouts(stream, limits), handle, orders);
        let (service, connection_guard) = (Rc::clone(&service), connection_guard.clone());
        async move {
            // An error of one connection concerns only its caller.
            let _ = service.call((stream, Some(address))).await;
            drop(connection_guard);
        }
    };
    let mut owner = Owner::new(limits, logger);
    owner.accept_until(listener, connect, stop).await;
    // Requests in flight continue; the guards tell a shutdown when they end.
    tokio::task::spawn_local(owner.run_until_empty());
}

fn with_timeouts(stream: TcpStream, limits: ListenLimits) -> Pin<Box<TimeoutStream<TcpStream>>> {
    // An answer that is sent in small parts is only slower without TCP_NODELAY,
    // so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(limits.read_timeout));
    stream.set_write_timeout(Some(limits.write_timeout));
    Box::pin(stream)
}

/// Why a request body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("body is too large")]
    TooLarge,
    /// The body is truncated or its encoding is not valid.
    #[error("body is malformed")]
    Malformed,
    /// The process needs the memory of the body for others, or the body took too long.
    #[error("body gives way to others")]
    GaveWay,
}

impl From<PayloadError> for BodyError {
    fn from(error: PayloadError) -> Self {
        let gave_way = matches!(&error, PayloadError::Io(error)
            if error.get_ref().is_some_and(|error| error.is::<GaveWay>()));
        if gave_way { Self::GaveWay } else { Self::Malformed }
    }
}

/// Reads a whole request body of at most `max_bytes`.
pub async fn read_body(mut payload: Payload, max_bytes: u64) -> Result<Bytes, BodyError> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let mut body = Vec::new();
    while let Some(part) = payload.next().await {
        let part = part?;
        let length = body.len() + part.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > body.capacity() {
            // Doubled, but never beyond the limit.
            let capacity = length.next_power_of_two().min(max_bytes);
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&part);
    }
    Ok(Bytes::from(body))
}
