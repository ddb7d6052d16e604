//! The task that stores what callers hand in, several records in one append.

use std::time::Duration;

use cowslipport_lib::workload::admission::NotRunReason;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::node::patience;
use crate::node::patience::Patience;
use crate::node::platform::AppendError;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Store;
use crate::node::platform::Topic;

/// Records that wait. Each is at most a few kilobytes, so this bounds the
/// memory to a few megabytes; callers beyond it are refused at once.
pub(crate) const WAITING_RECORDS: usize = 512;
/// Records of one append, which keeps it far below the limit of the store.
const BATCH_RECORDS: usize = 128;
/// Pause before an append whose outcome is unknown is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Appends whose outcome is unknown are repeated for this time; callers then
/// learn that the outcome is unknown, and ask again.
const GIVE_UP: Duration = Duration::from_millis(1_500);

/// A record to be stored for a caller.
pub(crate) struct Submission {
    pub(crate) record: KeyedRecord,
    pub(crate) reply: oneshot::Sender<StoreOutcome>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// It lasts.
    Stored,
    /// It was not stored and never will be.
    NotStored(NotRunReason),
    /// It may have been stored, or may be later.
    Unknown,
}

/// Stores records until all senders are gone.
pub(crate) async fn run<S>(mut store: S, mut mailbox: mpsc::Receiver<Submission>)
where
    S: Store,
{
    let mut waiting = Vec::new();
    let mut patience = Patience::new(patience::CALLER_MAX);
    while mailbox.recv_many(&mut waiting, BATCH_RECORDS).await > 0 {
        let submissions = std::mem::take(&mut waiting);
        let records: Vec<KeyedRecord> =
            submissions.iter().map(|submission| submission.record.clone()).collect();
        let outcome = append(&mut store, &records, &mut patience).await;
        for submission in submissions {
            // The caller may have gone.
            let _ = submission.reply.send(outcome);
        }
    }
}

/// Appends records until their outcome is known or it takes too long. A
/// repeated record has the same key and value, so it changes nothing.
async fn append<S>(store: &mut S, records: &[KeyedRecord], patience: &mut Patience) -> StoreOutcome
where
    S: Store,
{
    let began_at = Instant::now();
    let mut may_be_stored = false;
    loop {
        match store.append(Topic::Jobs, None, records, patience.wait()).await {
            Ok(()) => {
                patience.answered();
                return StoreOutcome::Stored;
            }
            Err(AppendError::Refused { .. } | AppendError::Fenced) if !may_be_stored => {
                return StoreOutcome::NotStored(NotRunReason::StoreRefused);
            }
            Err(AppendError::WrongSequence { .. }) if !may_be_stored => {
                return StoreOutcome::NotStored(NotRunReason::StoreRefused);
            }
            Err(AppendError::Unknown { .. }) => {
                patience.unanswered();
                may_be_stored = true;
            }
            // An earlier append of the same records may still take effect.
            Err(
                AppendError::Refused { .. }
                | AppendError::Fenced
                | AppendError::WrongSequence { .. },
            ) => {}
        }
        if began_at.elapsed() >= GIVE_UP {
            return StoreOutcome::Unknown;
        }
        sleep(RETRY_PAUSE).await;
    }
}
