//! HTTP client of upstream instances, with a new connection for each request.
//!
//! A reused connection could deliver a late response to an earlier request. The
//! upstream may also close it while a request is sent, which leaves the outcome
//! of that request unknown. Besides, eight processes that keep eight
//! connections each would exceed the limit of 60 connections of an instance.
//!
//! The client uses the codec of `actix-http` directly. `awc`, which is built on
//! it, reports a truncated chunked body as complete, follows redirects, and
//! reports a connection that closes before the head of the response as a
//! connect error.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::ConnectionType;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;

use crate::platform::Upstream;
use crate::platform::UpstreamBody;
use crate::platform::UpstreamError;
use crate::platform::UpstreamRequest;
use crate::platform::UpstreamResponse;

/// Data centres are 1.5 ms apart, so a host that does not accept a connection
/// within this time is down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Hop-by-hop headers, which apply to a single connection.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers, including those that `connection` lists.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// True if a response has a body, which may be empty.
pub(crate) fn has_body(method: &Method, status: StatusCode) -> bool {
    *method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Client that calls upstreams by HTTP/1.1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpUpstream;

/// Body of a response, read from the connection part by part.
pub(crate) struct HttpBody {
    connection: Option<Framed<TcpStream, ClientPayloadCodec>>,
}

impl Upstream for HttpUpstream {
    type Body = HttpBody;

    async fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
    ) -> Result<UpstreamResponse<HttpBody>, UpstreamError> {
        let head = request_head(address, request).map_err(|reason| not_sent(&reason))?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("connection timed out"))?
            .map_err(|error| not_sent(&error.to_string()))?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error.to_string()))?;
        let mut framed = Framed::new(stream, ClientCodec::default());
        write_request(&mut framed, head, request.body.clone()).await?;
        let response = framed
            .next()
            .await
            .ok_or_else(|| broken("connection closed before the response"))?
            .map_err(|error| broken(&error.to_string()))?;
        read_head(&request.method, response, framed)
    }
}

fn request_head(address: SocketAddr, request: &UpstreamRequest) -> Result<RequestHead, String> {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.path.parse::<Uri>().map_err(|error| error.to_string())?;
    head.headers = request.headers.clone();
    let host = HeaderValue::from_str(&address.to_string()).map_err(|error| error.to_string())?;
    head.headers.insert(header::HOST, host);
    head.headers.remove(header::CONTENT_LENGTH);
    head.set_connection_type(ConnectionType::Close);
    Ok(head)
}

async fn write_request(
    framed: &mut Framed<TcpStream, ClientCodec>,
    head: RequestHead,
    body: Bytes,
) -> Result<(), UpstreamError> {
    let length = body.len() as u64;
    let size = if length == 0 { BodySize::None } else { BodySize::Sized(length) };
    let head = RequestHeadType::Owned(head);
    let mut framed = Pin::new(framed);
    let broken = |error: std::io::Error| broken(&error.to_string());
    framed.feed(Message::Item((head, size))).await.map_err(broken)?;
    if length > 0 {
        framed.feed(Message::Chunk(Some(body))).await.map_err(broken)?;
        framed.feed(Message::Chunk(None)).await.map_err(broken)?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(&mut framed).await.map_err(broken)
}

fn read_head(
    method: &Method,
    response: ResponseHead,
    framed: Framed<TcpStream, ClientCodec>,
) -> Result<UpstreamResponse<HttpBody>, UpstreamError> {
    let status = response.status;
    if status.is_informational() {
        return Err(broken("upstream sent an interim response"));
    }
    let length = response
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let has_body = has_body(method, status);
    let is_chunked = response.headers.contains_key(header::TRANSFER_ENCODING);
    // If the body ends with the connection, a complete body cannot be told from
    // a truncated one.
    if has_body && length.is_none() && !is_chunked {
        return Err(broken("response states no length of its body"));
    }
    let must_read = has_body && length != Some(0);
    let connection = must_read.then(|| framed.into_map_codec(ClientCodec::into_payload_codec));
    let closes_connection = response.headers.get_all(header::CONNECTION).any(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    let mut headers = response.headers;
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    Ok(UpstreamResponse {
        status,
        headers,
        length,
        closes_connection,
        body: HttpBody { connection },
    })
}

impl UpstreamBody for HttpBody {
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        let Some(connection) = &mut self.connection else { return Ok(None) };
        match connection.next().await {
            Some(Ok(Some(part))) => Ok(Some(part)),
            Some(Ok(None)) => {
                self.connection = None;
                Ok(None)
            }
            Some(Err(error)) => Err(broken(&error.to_string())),
            None => Err(broken("connection closed before the end of the body")),
        }
    }
}

fn not_sent(reason: &str) -> UpstreamError {
    UpstreamError::NotSent { reason: reason.to_owned() }
}

fn broken(reason: &str) -> UpstreamError {
    UpstreamError::Broken { reason: reason.to_owned() }
}
