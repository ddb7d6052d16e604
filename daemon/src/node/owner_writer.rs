//! The task that stores the records of the owner, one append at a time.

use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::patience;
use crate::node::patience::Patience;
use crate::node::platform::AppendError;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::platform::WriterFence;

/// First pause after a failed append; it doubles up to `RETRY_MAX`.
const RETRY_MIN: Duration = Duration::from_millis(20);
/// Longest pause after a failed append, so that starts resume soon after the
/// store returned.
const RETRY_MAX: Duration = Duration::from_millis(200);

/// Number of the append that sets the epoch; records follow from the next on.
pub(crate) const FIRST_SEQUENCE: u64 = 0;

/// Stores batches in their order until the owner ends or is fenced.
pub(crate) async fn run<S>(
    mut store: S,
    mut batches: mpsc::Receiver<Vec<KeyedRecord>>,
    mailbox: OwnerMailbox,
    logger: Logger,
) where
    S: Store,
{
    let mut sequence = FIRST_SEQUENCE + 1;
    let mut patience = Patience::new(patience::OWNER_MAX);
    while let Some(records) = batches.recv().await {
        let message = match append(
            &mut store,
            mailbox.epoch,
            &mut sequence,
            &mut patience,
            &records,
            &logger,
        )
        .await
        {
            Ok(()) => OwnerMessage::Stored,
            Err(Fenced) => OwnerMessage::Fenced,
        };
        if !mailbox.send(message).await {
            return;
        }
    }
}

/// A later owner has fenced this one.
pub(crate) struct Fenced;

/// Repeats an append until it is stored. Its number lets it take effect once.
pub(crate) async fn append<S>(
    store: &mut S,
    epoch: u64,
    sequence: &mut u64,
    patience: &mut Patience,
    records: &[KeyedRecord],
    logger: &Logger,
) -> Result<(), Fenced>
where
    S: Store,
{
    let mut retry = RETRY_MIN;
    let mut may_be_stored = false;
    loop {
        let fence = WriterFence { epoch, sequence: *sequence };
        match store.append(Topic::Jobs, Some(fence), records, patience.wait()).await {
            Ok(()) => {
                patience.answered();
                *sequence += 1;
                return Ok(());
            }
            Err(AppendError::Fenced) => return Err(Fenced),
            Err(AppendError::WrongSequence { expected }) => {
                let named = std::mem::replace(sequence, expected);
                let is_next = expected == named + 1;
                if is_next && may_be_stored {
                    // It was stored by a call that was not answered.
                    return Ok(());
                }
                warn!(logger, "append has another number"; "named" => named,
                    "expected" => expected);
            }
            Err(error @ AppendError::Unknown { .. }) => {
                may_be_stored = true;
                patience.unanswered();
                warn!(logger, "append of the owner is repeated"; "error" => %error);
            }
            Err(error @ AppendError::Refused { .. }) => {
                warn!(logger, "append of the owner is repeated"; "error" => %error);
            }
        }
        sleep(retry).await;
        retry = (retry * 2).min(RETRY_MAX);
    }
}
