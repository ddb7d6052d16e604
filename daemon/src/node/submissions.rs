//! The task that stores the submissions and cancellations of callers, several
//! records in one append.

use std::time::Duration;

use cowslipport_lib::workload::admission::NotRunReason;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::node::append_timeout;
use crate::node::append_timeout::AppendTimeout;
use crate::node::platform::AppendError;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Store;
use crate::node::platform::Topic;

/// Capacity of the queue of records. A record has at most a few kilobytes, so
/// the queue takes at most a few megabytes. When the queue is full, calls are
/// refused at once.
pub(crate) const QUEUE_CAPACITY: usize = 512;
/// Maximum number of records in one append, which keeps the append far below
/// the size limit of the store.
const MAX_BATCH_RECORDS: usize = 128;
/// Delay before an append with an unknown outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an append with an unknown outcome is retried. After that, callers
/// learn that the outcome is unknown, and ask again.
const RETRY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A record to be stored for a caller.
pub(crate) struct Submission {
    pub(crate) record: KeyedRecord,
    pub(crate) reply: oneshot::Sender<StoreOutcome>,
}

/// Outcome of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The store has the record.
    Stored,
    /// The record was not stored and never will be.
    NotStored(NotRunReason),
    /// The record may have been stored, or may be stored later.
    Unknown,
}

/// Stores records until all senders are gone.
pub(crate) async fn run<S>(mut store: S, mut mailbox: mpsc::Receiver<Submission>)
where
    S: Store,
{
    let mut waiting = Vec::new();
    let mut timeout = AppendTimeout::new(append_timeout::CALLER_MAX);
    while mailbox.recv_many(&mut waiting, MAX_BATCH_RECORDS).await > 0 {
        let submissions = std::mem::take(&mut waiting);
        let records: Vec<KeyedRecord> =
            submissions.iter().map(|submission| submission.record.clone()).collect();
        let outcome = append(&mut store, &records, &mut timeout).await;
        for submission in submissions {
            // The receiver is gone if the caller has disconnected.
            let _ = submission.reply.send(outcome);
        }
    }
}

/// Retries an append until its outcome is known or the time is over. A retry
/// writes the same keys and values, so it is idempotent.
async fn append<S>(
    store: &mut S,
    records: &[KeyedRecord],
    timeout: &mut AppendTimeout,
) -> StoreOutcome
where
    S: Store,
{
    let began_at = Instant::now();
    let mut may_be_stored = false;
    loop {
        match store.append(Topic::Jobs, None, records, timeout.current()).await {
            Ok(()) => {
                timeout.reset();
                return StoreOutcome::Stored;
            }
            Err(AppendError::Refused { .. } | AppendError::Fenced) if !may_be_stored => {
                return StoreOutcome::NotStored(NotRunReason::StoreRefused);
            }
            Err(AppendError::WrongSequence { .. }) if !may_be_stored => {
                return StoreOutcome::NotStored(NotRunReason::StoreRefused);
            }
            Err(AppendError::Unknown { .. }) => {
                timeout.double();
                may_be_stored = true;
            }
            // An earlier append of the same records may still be stored.
            Err(
                AppendError::Refused { .. }
                | AppendError::Fenced
                | AppendError::WrongSequence { .. },
            ) => {}
        }
        if began_at.elapsed() >= RETRY_TIMEOUT {
            return StoreOutcome::Unknown;
        }
        sleep(RETRY_DELAY).await;
    }
}
