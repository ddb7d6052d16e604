//! Appends with retries. The record id makes retries idempotent.

use std::time::Duration;

use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::RecordId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::platform::LogError;
use crate::platform::LogService;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which no further retry is sent. It is well below the time for
/// which the control state remembers a record id to recognise duplicates: at
/// 400 records a second, 10,000 ids last 25 s.
const APPEND_DEADLINE: Duration = Duration::from_secs(8);

/// Appends a record, with retries until it is written or the deadline has
/// passed.
pub(crate) async fn append_with_retries<L>(
    log: &L,
    stream: &str,
    record: Vec<u8>,
    id: RecordId,
) -> Result<Offset, LogError>
where
    L: LogService,
{
    let deadline = Instant::now() + APPEND_DEADLINE;
    let mut jitter = ChaCha8Rng::seed_from_u64(id.writer ^ id.sequence);
    let mut backoff = FIRST_BACKOFF;
    let mut unknown = None;
    loop {
        let error = match log.append(stream, record.clone()).await {
            Ok(offset) => return Ok(offset),
            Err(error) => error,
        };
        if let LogError::OutcomeUnknown { reason } = &error {
            unknown = Some(reason.clone());
        }
        let pause = backoff.mul_f64(jitter.random_range(0.5..1.5));
        if Instant::now() + pause > deadline {
            // If the outcome of one attempt is unknown, so is that of the
            // append.
            return Err(match unknown {
                Some(reason) => LogError::OutcomeUnknown { reason },
                None => error,
            });
        }
        tokio::time::sleep(pause).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
