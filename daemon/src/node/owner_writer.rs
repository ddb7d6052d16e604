//! The task that appends the owner's records to the store, one append at a
//! time.

use std::time::Duration;

use cowslipport_lib::workload::record::Audience;
use cowslipport_lib::workload::record::RecordKey;
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

/// Topics that the owner writes under its epoch. What a successor needs is
/// stored before what callers see of it.
const TOPICS: [Topic; 2] = [Topic::Progress, Topic::Jobs];

/// Records of a batch, by topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerRecords {
    /// Number of the batch.
    pub(crate) batch: u64,
    pub(crate) progress: Vec<KeyedRecord>,
    pub(crate) jobs: Vec<KeyedRecord>,
}

impl OwnerRecords {
    pub(crate) fn push(&mut self, key: &RecordKey, value: Vec<u8>) {
        let record = KeyedRecord { key: key.encode().into(), value: value.into() };
        match key.audience() {
            Audience::AllNodes => self.jobs.push(record),
            Audience::Owner => self.progress.push(record),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.progress.is_empty() && self.jobs.is_empty()
    }
}

/// Appends batches in order until the owner ends or is fenced.
pub(crate) async fn run<S>(
    store: S,
    mut batches: mpsc::Receiver<OwnerRecords>,
    mailbox: OwnerMailbox,
    logger: Logger,
) where
    S: Store,
{
    let mut writer = OwnerWriter::new(store, mailbox.epoch, logger);
    writer.sequences = [FIRST_SEQUENCE + 1; TOPICS.len()];
    while let Some(OwnerRecords { batch, progress, jobs }) = batches.recv().await {
        let steps = [
            (Topic::Progress, progress, OwnerMessage::Stored { batch }),
            (Topic::Jobs, jobs, OwnerMessage::Published { batch }),
        ];
        for (topic, records, done) in steps {
            let message = match writer.append(topic, &records).await {
                Ok(()) => done,
                Err(Fenced) => OwnerMessage::Fenced,
            };
            if !mailbox.send(message).await {
                return;
            }
        }
    }
}

/// A later owner has fenced this one.
pub(crate) struct Fenced;

/// Appends under the epoch of the owner.
pub(crate) struct OwnerWriter<S> {
    pub(crate) store: S,
    epoch: u64,
    /// Next sequence number in each of [`TOPICS`].
    sequences: [u64; TOPICS.len()],
    timeout: AppendTimeout,
    logger: Logger,
}

impl<S> OwnerWriter<S>
where
    S: Store,
{
    pub(crate) fn new(store: S, epoch: u64, logger: Logger) -> Self {
        Self {
            store,
            epoch,
            sequences: [FIRST_SEQUENCE; TOPICS.len()],
            timeout: AppendTimeout::new(append_timeout::OWNER_MAX),
            logger,
        }
    }

    /// Fences former owners in all topics: the store refuses their appends from
    /// now on.
    pub(crate) async fn fence(&mut self) -> Result<(), Fenced> {
        for topic in TOPICS {
            self.append_to(topic, &[]).await?;
        }
        Ok(())
    }

    async fn append(&mut self, topic: Topic, records: &[KeyedRecord]) -> Result<(), Fenced> {
        match records.is_empty() {
            true => Ok(()),
            false => self.append_to(topic, records).await,
        }
    }

    async fn append_to(&mut self, topic: Topic, records: &[KeyedRecord]) -> Result<(), Fenced> {
        for (written, sequence) in TOPICS.into_iter().zip(&mut self.sequences) {
            if written == topic {
                let append = Append { topic, epoch: self.epoch, records };
                append.run(&mut self.store, sequence, &mut self.timeout, &self.logger).await?;
            }
        }
        Ok(())
    }
}

/// Records for one topic.
struct Append<'a> {
    topic: Topic,
    epoch: u64,
    records: &'a [KeyedRecord],
}

impl Append<'_> {
    /// Retries the append until the store has it. The sequence number makes the
    /// store apply the append once.
    async fn run<S>(
        &self,
        store: &mut S,
        sequence: &mut u64,
        timeout: &mut AppendTimeout,
        logger: &Logger,
    ) -> Result<(), Fenced>
    where
        S: Store,
    {
        let mut delay = RETRY_DELAY_MIN;
        let mut may_be_stored = false;
        loop {
            let fence = WriterFence { epoch: self.epoch, sequence: *sequence };
            match store.append(self.topic, Some(fence), self.records, timeout.current()).await {
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
}
