//! A request on its way to its answer, as the owner of the listener follows it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::ConnectionType;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header;
use bytes::Bytes;
use cowslipport_lib::intake::framing::BodyLength;
use futures_util::Stream;
use tokio::sync::oneshot;

use crate::listener::messages::ConnectionHandle;
use crate::listener::messages::Event;
use crate::listener::messages::StreamOrder;

/// The request has to give way to others.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request gives way to others")]
pub(super) struct GaveWay;

/// Answers a request and tells its stream and the owner how far it is.
pub(super) async fn answer<A, F>(mut request: Request, answer: A) -> Response<BoxBody>
where
    A: Fn(Request) -> F,
    F: Future<Output = Response<BoxBody>>,
{
    let Some(handle) = request.conn_data::<ConnectionHandle>().cloned() else {
        return answer(request).await;
    };
    let key = handle.key;
    let payload = request.take_payload();
    let body_length = body_length(&request, &payload);
    // RFC 9112, 6.1: the connection closes after the answer to a request with both.
    let headers = &request.head().headers;
    let is_ambiguous = headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH);
    let (mut refuse, mut is_whole) = (None, None);
    if body_length != BodyLength::None {
        let (refuse_sender, refused) = oneshot::channel();
        let (whole, whole_receiver) = oneshot::channel();
        (refuse, is_whole) = (Some(refuse_sender), Some(whole_receiver));
        let body = TrackedBody {
            payload,
            refused: Some(refused),
            whole: Some(whole),
            handle: handle.clone(),
        };
        *request.payload() = Payload::Stream { payload: Box::pin(body) };
    }
    handle.tell_stream(StreamOrder::Began { body: body_length });
    let (leave, mut leaves) = oneshot::channel();
    handle.tell_owner(Event::Began { key, refuse, leave });
    let mut response = answer(request).await;
    // Bytes of a body that is cut would be read as the next request.
    let is_cut = is_whole.is_some_and(|mut whole| whole.try_recv().is_err());
    let closes = is_cut || is_ambiguous || leaves.try_recv().is_ok();
    if closes {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    handle.tell_stream(StreamOrder::Ended { closes });
    handle.tell_owner(Event::Ended { key });
    response
}

/// Length of the body that follows the head of a request.
fn body_length(request: &Request, payload: &Payload) -> BodyLength {
    if matches!(payload, Payload::None) {
        return BodyLength::None;
    }
    let headers = &request.head().headers;
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return BodyLength::Chunked;
    }
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match length.and_then(|length| length.trim().parse().ok()) {
        Some(bytes) => BodyLength::Sized(bytes),
        None => BodyLength::Endless,
    }
}

/// A body whose end is told, and which ends early if its request gives way.
struct TrackedBody {
    payload: Payload,
    /// `None` once the owner cannot refuse the request any more.
    refused: Option<oneshot::Receiver<()>>,
    whole: Option<oneshot::Sender<()>>,
    handle: ConnectionHandle,
}

impl Stream for TrackedBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        let this = &mut *self;
        let part = Pin::new(&mut this.payload).poll_next(context);
        match part {
            Poll::Ready(None) => {
                if let Some(whole) = this.whole.take() {
                    // The receiver waits for the answer.
                    let _ = whole.send(());
                    this.handle.tell_stream(StreamOrder::BodyWhole);
                    this.handle.tell_owner(Event::BodyWhole { key: this.handle.key });
                }
                Poll::Ready(None)
            }
            Poll::Ready(Some(part)) => Poll::Ready(Some(part)),
            Poll::Pending => {
                let Some(refused) = &mut this.refused else { return Poll::Pending };
                let Poll::Ready(refusal) = Pin::new(refused).poll(context) else {
                    return Poll::Pending;
                };
                this.refused = None;
                match refusal {
                    Ok(()) => Poll::Ready(Some(Err(PayloadError::Io(io::Error::other(GaveWay))))),
                    // The owner has closed the connection.
                    Err(_) => Poll::Pending,
                }
            }
        }
    }
}
