//! The copy of an answer's body from an upstream to a caller.

use actix_http::StatusCode;
use bytes::Bytes;
use cowslipport_lib::invariant;
use cowslipport_lib::invariant::Invariant;
use tokio::sync::mpsc;

use crate::platform::UpstreamBody;
use crate::platform::UpstreamResponse;

/// Part of an answer's body. A channel that closes before `End` means that
/// the answer was cut.
pub(crate) enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// How the copy of a body ended.
#[derive(Clone, Copy)]
pub(crate) enum Copied {
    /// All of it was passed on.
    Whole,
    /// It ended early, or is longer than its head says.
    Cut,
    /// The deadline passed.
    TimedOut,
    /// The caller takes nothing more.
    CallerGone,
}

/// Copies a body. A body that is shorter or longer than its head says is cut.
pub(crate) async fn copy<B>(
    body: &mut B,
    parts: &mpsc::Sender<BodyPart>,
    length: Option<u64>,
) -> Copied
where
    B: UpstreamBody,
{
    let mut copied: u64 = 0;
    loop {
        match body.next().await {
            Ok(Some(data)) => {
                copied += data.len() as u64;
                if length.is_some_and(|length| copied > length) {
                    return Copied::Cut;
                }
                if parts.send(BodyPart::Data(data)).await.is_err() {
                    return Copied::CallerGone;
                }
            }
            Ok(None) => {
                let is_whole = length.is_none_or(|length| copied == length);
                let checked = invariant::check(Invariant::AnswerWhole, is_whole, || {
                    format!("{copied} bytes of {length:?}")
                });
                return checked.map_or(Copied::Cut, |()| Copied::Whole);
            }
            Err(_) => return Copied::Cut,
        }
    }
}

/// True for an answer by which an instance says that it is leaving.
pub(crate) fn is_leaving<B>(response: &UpstreamResponse<B>) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE && response.closes
}

/// True for an answer that says that the instance, not the request, is at
/// fault.
pub(crate) fn is_gateway_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
