//! HTTP/1.1 listeners.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_io_timeout::TimeoutStream;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Time for which a caller whose request was refused may continue to send
/// before its connection is closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenLimits {
    /// Maximum number of open connections; new ones wait in the backlog of the
    /// socket.
    pub max_connections: usize,
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
            max_connections: 2_000,
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
        .h1(move |request: Request| {
            let answer = answer(request);
            async move { Ok::<_, actix_http::Error>(answer.await) }
        });
    // The factory of a service without configuration does not fail.
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let is_full = connections.len() >= limits.max_connections;
        let accepted = tokio::select! {
            accepted = listener.accept(), if !is_full => accepted,
            _ = connections.join_next(), if is_full => continue,
            () = &mut stop => break,
        };
        match accepted {
            Ok((stream, address)) => {
                let service = Rc::clone(&service);
                let connection_guard = connection_guard.clone();
                connections.spawn_local(async move {
                    // An error of one connection concerns only its caller.
                    let _ = service.call((with_timeouts(stream, limits), Some(address))).await;
                    drop(connection_guard);
                });
            }
            Err(error) => warn!(logger, "accept failed"; "error" => error.to_string()),
        }
    }
    // Requests in flight continue; the guards tell a shutdown when they end.
    connections.detach_all();
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
}

/// Reads a whole request body of at most `max_bytes`.
pub async fn read_body(mut payload: Payload, max_bytes: u64) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| BodyError::Malformed)?;
        if (body.len() + part.len()) as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
