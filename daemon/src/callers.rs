//! HTTP endpoint for callers: requests to upstreams and calls about jobs.

use std::pin::Pin;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::ResponseBuilder;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::body::SizedStream;
use actix_http::header;
use bytes::Bytes;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::refusal::Answer;
use cowslipport_lib::refusal::RefusalReason;
use cowslipport_lib::retry::Repeatability;
use cowslipport_lib::retry::Undispatched;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::settings::Limits;
use cowslipport_lib::time::TimeMs;
use futures_util::Stream;
use futures_util::stream;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::body_copy::BodyPart;
use crate::clients::upstream::has_body;
use crate::clients::upstream::remove_hop_headers;
use crate::exchange;
use crate::exchange::CallerRequest;
use crate::exchange::ExchangeContext;
use crate::exchange::Reply;
use crate::job_api;
use crate::listener;
use crate::listener::BODY_MEMORY_BYTES;
use crate::listener::BodyError;
use crate::listener::ListenLimits;
use crate::platform::Upstream;
use crate::platform::UpstreamRequest;
use crate::tasks::jobs::JobsMessage;

const MAX_DEADLINE_MS: u64 = 600_000;
/// A connection that accepts no bytes for this time is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the longest request, since a caller sends nothing while it waits
/// for the answer.
const READ_TIMEOUT: Duration = Duration::from_millis(MAX_DEADLINE_MS + 30_000);

/// Bodies of the largest size that the settings allow which always have room together.
const MIN_BODIES_HELD: u64 = 4;

const DEADLINE_HEADER: &str = "x-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Shared by the connections of callers.
#[derive(Clone)]
pub(crate) struct CallerContext<U> {
    /// Shared by the tasks of requests.
    pub(crate) exchange: ExchangeContext<U>,
    /// Mailbox of the task for job calls.
    pub(crate) jobs: mpsc::Sender<JobsMessage>,
    /// Limits of the endpoint.
    pub(crate) limits: Limits,
}

/// Accepts connections of callers until `stop` changes. While the maximum
/// number of connections is open, new ones wait in the backlog of the socket.
pub(crate) async fn serve<U>(
    listener: TcpListener,
    context: CallerContext<U>,
    mut stop: watch::Receiver<bool>,
) where
    U: Upstream,
{
    let limits = ListenLimits {
        name: "callers",
        max_connections: context.limits.max_connections as usize,
        body_memory_bytes: BODY_MEMORY_BYTES
            .max(context.limits.max_body_bytes.saturating_mul(MIN_BODIES_HELD)),
        body_timeout: Duration::from_millis(context.limits.request_read_timeout_ms),
        head_timeout: Duration::from_millis(context.limits.request_read_timeout_ms),
        write_timeout: WRITE_TIMEOUT,
        read_timeout: READ_TIMEOUT,
    };
    let logger = context.exchange.logger.clone();
    let shutdown_guard = context.exchange.shutdown_guard.clone();
    let answer = move |request: Request| answer(request, context.clone());
    let stop = async move {
        // An error means that the `Daemon` was dropped, which is also a stop.
        let _ = stop.changed().await;
    };
    listener::serve_until(listener, limits, logger, answer, stop, shutdown_guard).await;
}

async fn answer<U>(mut request: Request, context: CallerContext<U>) -> Response<BoxBody>
where
    U: Upstream,
{
    let path = request.uri().path();
    let is_job_call = path == "/jobs" || path.starts_with("/jobs/");
    let pool_path = split_pool_path(&request);
    if !is_job_call && pool_path.is_none() {
        return refuse(RefusalReason::PoolUnknown);
    }
    let Some(key) = bearer_token(&request) else { return refuse(RefusalReason::KeyUnknown) };
    let read_timeout = Duration::from_millis(context.limits.request_read_timeout_ms);
    let arrived = context.exchange.clock.now();
    let body = listener::read_body(request.take_payload(), context.limits.max_body_bytes);
    let body = match tokio::time::timeout(read_timeout, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => return refuse(RefusalReason::BodyTooLarge),
        Ok(Err(BodyError::Malformed)) => return refuse(RefusalReason::Malformed),
        Ok(Err(BodyError::GaveWay)) => return refuse(RefusalReason::Overloaded),
        Err(_) => return refuse(RefusalReason::ReadTimeout),
    };
    let Some((pool, path)) = pool_path else {
        let path = request.uri().path();
        return job_api::answer(request.method(), path, key, &body, &context.jobs).await;
    };
    let Some(deadline) = deadline(&request, &context, arrived) else {
        return refuse(RefusalReason::Malformed);
    };
    let caller_request = CallerRequest {
        id: RequestId(rand::random()),
        key: KeyDigest::of(key.as_bytes()),
        pool,
        idempotency_key: header_value(&request, IDEMPOTENCY_HEADER)
            .map(|value| value.as_bytes().to_vec()),
        deadline,
        request: upstream_request(&request, path, body),
    };
    let method = request.method().clone();
    match exchange::spawn(context.exchange, caller_request).await {
        Ok(Reply::Local(answer)) => local_answer(&answer),
        Ok(Reply::Upstream { status, headers, length, body }) => {
            let mut builder = Response::build(status);
            for (name, value) in &headers {
                builder.append_header((name.clone(), value.clone()));
            }
            with_body(&mut builder, has_body(&method, status), length, body)
        }
        // The task ended without a reply, and may have sent the request.
        Err(_) => Response::build(StatusCode::INTERNAL_SERVER_ERROR)
            .force_close()
            .body(r#"{"not_run":false,"outcome":"unknown","reason":"internal"}"#)
            .map_into_boxed_body(),
    }
}

fn split_pool_path(request: &Request) -> Option<(String, String)> {
    let path = request.uri().path_and_query()?.as_str().strip_prefix("/pools/")?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (pool, rest) = path.split_at(end);
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (!pool.is_empty()).then(|| (pool.to_owned(), rest))
}

fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a header::HeaderValue> {
    request.headers().get(name)
}

fn bearer_token(request: &Request) -> Option<String> {
    let value = header_value(request, "authorization")?.to_str().ok()?;
    Some(value.strip_prefix("Bearer ")?.to_owned())
}

/// The deadline of a request, or `None` if its header is not valid.
fn deadline<U>(request: &Request, context: &CallerContext<U>, arrived: TimeMs) -> Option<TimeMs> {
    let Some(value) = header_value(request, DEADLINE_HEADER) else {
        return Some(arrived.plus(context.limits.default_deadline_ms));
    };
    let deadline_ms: u64 = value.to_str().ok()?.parse().ok()?;
    Some(arrived.plus(deadline_ms.min(MAX_DEADLINE_MS)))
}

fn upstream_request(request: &Request, path: String, body: Bytes) -> UpstreamRequest {
    let mut headers = request.headers().clone();
    remove_hop_headers(&mut headers);
    // The key authorises the caller to this process, not to the upstream.
    headers.remove(header::AUTHORIZATION);
    UpstreamRequest { method: request.method().clone(), path, headers, body }
}

fn refuse(reason: RefusalReason) -> Response<BoxBody> {
    let phase = Undispatched::new(Repeatability::Once, TimeMs::default());
    local_answer(&Answer::NotRun(phase.refuse(reason, None)))
}

fn local_answer(answer: &Answer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    if let Some(seconds) = answer.retry_after_s() {
        builder.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    let body = serde_json::to_string(&answer.body()).unwrap_or_default();
    builder.body(body).map_into_boxed_body()
}

fn with_body(
    builder: &mut ResponseBuilder,
    has_body: bool,
    length: Option<u64>,
    body: mpsc::Receiver<BodyPart>,
) -> Response<BoxBody> {
    if !has_body {
        if let Some(length) = length {
            builder.no_chunking(length);
        }
        return builder.body(()).map_into_boxed_body();
    }
    match length {
        Some(length) => boxed(builder, SizedStream::new(length, body_stream(body))),
        None => boxed(builder, BodyStream::new(body_stream(body))),
    }
}

fn boxed<B>(builder: &mut ResponseBuilder, body: B) -> Response<BoxBody>
where
    B: MessageBody + 'static,
{
    builder.body(body).map_into_boxed_body()
}

/// The body ended early.
#[derive(Debug, thiserror::Error)]
#[error("response of the upstream is truncated")]
struct TruncatedBody;

/// Stream of the parts of a body. If the channel closes before
/// [`BodyPart::End`], the stream yields an error, which aborts the connection.
fn body_stream(
    body: mpsc::Receiver<BodyPart>,
) -> Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedBody>>>> {
    let parts = stream::unfold(Some(body), |body| async move {
        let mut body = body?;
        match body.recv().await {
            Some(BodyPart::Data(data)) => Some((Ok(data), Some(body))),
            Some(BodyPart::End) => None,
            None => Some((Err(TruncatedBody), None)),
        }
    });
    Box::pin(parts)
}
