//! Appends with retries. The id in the record makes a retry idempotent.

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
/// Well under the time in which the fold forgets a record id: at 400 records a
/// second, 10,000 records take 25 s.
const APPEND_DEADLINE: Duration = Duration::from_secs(8);

/// Appends a record until it is written or the deadline has passed.
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
            // One attempt of unknown outcome makes the whole unknown.
            return Err(match unknown {
                Some(reason) => LogError::OutcomeUnknown { reason },
                None => error,
            });
        }
        tokio::time::sleep(pause).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
