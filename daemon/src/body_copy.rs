//! Copies the body of a response from an upstream to a caller.

use actix_http::StatusCode;
use bytes::Bytes;
use cowslipport_lib::invariant;
use cowslipport_lib::invariant::Invariant;
use tokio::sync::mpsc;

use crate::platform::UpstreamBody;
use crate::platform::UpstreamResponse;

/// Part of a response body. If the channel closes before `End`, the body was
/// truncated.
pub(crate) enum BodyPart {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// How copying a body ended.
#[derive(Clone, Copy)]
pub(crate) enum CopyEnd {
    /// The whole body was passed on.
    Complete,
    /// The body ended early, or is longer than its declared length.
    Truncated,
    /// The deadline passed.
    TimedOut,
    /// The caller reads no more parts.
    CallerDisconnected,
}

/// Copies a body. A body that is shorter or longer than its declared length
/// counts as truncated.
pub(crate) async fn copy_body<B>(
    body: &mut B,
    parts: &mpsc::Sender<BodyPart>,
    length: Option<u64>,
) -> CopyEnd
where
    B: UpstreamBody,
{
    let mut copied_bytes: u64 = 0;
    loop {
        match body.next().await {
            Ok(Some(data)) => {
                copied_bytes += data.len() as u64;
                if length.is_some_and(|length| copied_bytes > length) {
                    return CopyEnd::Truncated;
                }
                if parts.send(BodyPart::Data(data)).await.is_err() {
                    return CopyEnd::CallerDisconnected;
                }
            }
            Ok(None) => {
                let is_complete = length.is_none_or(|length| copied_bytes == length);
                let checked = invariant::check(Invariant::AnswerWhole, is_complete, || {
                    format!("{copied_bytes} bytes of {length:?}")
                });
                return checked.map_or(CopyEnd::Truncated, |()| CopyEnd::Complete);
            }
            Err(_) => return CopyEnd::Truncated,
        }
    }
}

/// True for a response by which an instance announces that it is leaving.
pub(crate) fn is_leaving<B>(response: &UpstreamResponse<B>) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE && response.closes_connection
}

/// True for a status which tells that the instance failed rather than the
/// request.
pub(crate) fn is_gateway_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
