//! The task that appends the owner's records to the store, one append at a
//! time.

use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::node::append_timeout;
use crate::node::append_timeout::AppendTimeout;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::platform::AppendError;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::platform::WriterFence;

/// Delay after the first failed append; it doubles up to `RETRY_DELAY_MAX`.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest delay after a failed append, so that tasks are started again soon
/// after the store is back.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(200);

/// Sequence number of the empty append that sets the epoch. Records follow from
/// the next number on.
pub(crate) const FIRST_SEQUENCE: u64 = 0;

/// Appends batches in order until the owner ends or is fenced.
pub(crate) async fn run<S>(
    mut store: S,
    mut batches: mpsc::Receiver<Vec<KeyedRecord>>,
    mailbox: OwnerMailbox,
    logger: Logger,
) where
    S: Store,
{
    let mut sequence = FIRST_SEQUENCE + 1;
    let mut timeout = AppendTimeout::new(append_timeout::OWNER_MAX);
    while let Some(records) = batches.recv().await {
        let message =
            match append(&mut store, mailbox.epoch, &mut sequence, &mut timeout, &records, &logger)
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

/// Retries an append until the store has it. The sequence number makes the
/// store apply the append once.
pub(crate) async fn append<S>(
    store: &mut S,
    epoch: u64,
    sequence: &mut u64,
    timeout: &mut AppendTimeout,
    records: &[KeyedRecord],
    logger: &Logger,
) -> Result<(), Fenced>
where
    S: Store,
{
    let mut delay = RETRY_DELAY_MIN;
    let mut may_be_stored = false;
    loop {
        let fence = WriterFence { epoch, sequence: *sequence };
        match store.append(Topic::Jobs, Some(fence), records, timeout.current()).await {
            Ok(()) => {
                timeout.reset();
                *sequence += 1;
                return Ok(());
            }
            Err(AppendError::Fenced) => return Err(Fenced),
            Err(AppendError::WrongSequence { expected }) => {
                let named = std::mem::replace(sequence, expected);
                let is_next = expected == named + 1;
                if is_next && may_be_stored {
                    // An earlier call without an answer stored the append.
                    return Ok(());
                }
                warn!(logger, "append has the wrong sequence number; retrying"; "named" => named,
                    "expected" => expected);
            }
            Err(error @ AppendError::Unknown { .. }) => {
                may_be_stored = true;
                timeout.double();
                warn!(logger, "append failed; retrying"; "error" => %error);
            }
            Err(error @ AppendError::Refused { .. }) => {
                warn!(logger, "append failed; retrying"; "error" => %error);
            }
        }
        sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}
