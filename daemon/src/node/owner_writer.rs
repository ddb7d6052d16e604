//! The task that appends the owner's records to the store, one append at a
//! time.

use std::time::Duration;

use cowslipport_lib::workload::record_key::Audience;
use cowslipport_lib::workload::record_key::RecordKey;
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

/// Topics that the owner writes under its epoch.
pub(crate) const TOPICS: [Topic; 2] = [Topic::Progress, Topic::Jobs];

/// Capacity of the queue of the publisher. When it is full, the owner's next
/// batch waits.
pub(crate) const PUBLISHER_CAPACITY: usize = 256;
/// Maximum number of batches that the publisher appends at once, which keeps the
/// append far below the size limit of the store.
const MAX_PUBLISHED_BATCHES: usize = 32;

/// Records of more bytes than this go into several appends. The store refuses calls
/// over 2 MiB, in which keys are encoded in base64.
const MAX_APPEND_BYTES: usize = 1_024 * 1_024;

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

/// Records of a batch for all nodes.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    batch: u64,
    records: Vec<KeyedRecord>,
}

/// Appends what a successor needs of each batch, in order, until the owner ends
/// or is fenced. What all nodes need goes to the publisher afterwards, so that
/// no caller sees what a successor would not know.
pub(crate) async fn run<S>(
    mut writer: TopicWriter<S>,
    mut batches: mpsc::Receiver<OwnerRecords>,
    publisher: mpsc::Sender<Publication>,
    mailbox: OwnerMailbox,
) where
    S: Store,
{
    while let Some(OwnerRecords { batch, progress, jobs }) = batches.recv().await {
        let message = match writer.append_some(&progress).await {
            Ok(()) => OwnerMessage::Stored { batch },
            Err(Fenced) => OwnerMessage::Fenced,
        };
        let publication = Publication { batch, records: jobs };
        if !mailbox.send(message).await || publisher.send(publication).await.is_err() {
            return;
        }
    }
}

/// Appends what all nodes need of the batches, several batches at once.
pub(crate) async fn publish<S>(
    mut writer: TopicWriter<S>,
    mut publications: mpsc::Receiver<Publication>,
    mailbox: OwnerMailbox,
) where
    S: Store,
{
    let mut waiting = Vec::new();
    while publications.recv_many(&mut waiting, MAX_PUBLISHED_BATCHES).await > 0 {
        let batch = waiting.last().map_or(0, |publication| publication.batch);
        let records = waiting.drain(..).flat_map(|publication| publication.records);
        let records: Vec<KeyedRecord> = records.collect();
        let message = match writer.append_some(&records).await {
            Ok(()) => OwnerMessage::Published { batch },
            Err(Fenced) => OwnerMessage::Fenced,
        };
        if !mailbox.send(message).await {
            return;
        }
    }
}

/// A later owner has fenced this one.
pub(crate) struct Fenced;

/// Appends to one topic under the epoch of the owner.
pub(crate) struct TopicWriter<S> {
    store: S,
    topic: Topic,
    epoch: u64,
    /// Sequence number of the next append.
    sequence: u64,
    timeout: AppendTimeout,
    logger: Logger,
}

impl<S> TopicWriter<S>
where
    S: Store,
{
    /// A writer for an owner that has fenced its predecessors.
    pub(crate) fn new(store: S, topic: Topic, epoch: u64, logger: Logger) -> Self {
        let timeout = AppendTimeout::new(append_timeout::OWNER_MAX);
        Self { store, topic, epoch, sequence: FIRST_SEQUENCE + 1, timeout, logger }
    }

    /// Fences former owners: the store refuses their appends from now on.
    /// Returns the client of the store.
    pub(crate) async fn fence(mut self) -> Result<S, Fenced> {
        self.sequence = FIRST_SEQUENCE;
        self.append(&[]).await?;
        Ok(self.store)
    }

    /// Appends records in as many calls as the size limit of the store requires. A
    /// successor may find only the first of them.
    pub(crate) async fn append_some(&mut self, records: &[KeyedRecord]) -> Result<(), Fenced> {
        let mut remaining = records;
        while !remaining.is_empty() {
            let (next, rest) = remaining.split_at(append_length(remaining));
            self.append(next).await?;
            remaining = rest;
        }
        Ok(())
    }

    /// Retries an append until the store has it. The sequence number makes the
    /// store apply the append once.
    async fn append(&mut self, records: &[KeyedRecord]) -> Result<(), Fenced> {
        let mut delay = RETRY_DELAY_MIN;
        let mut may_be_stored = false;
        loop {
            let fence = WriterFence { epoch: self.epoch, sequence: self.sequence };
            match self.store.append(self.topic, Some(fence), records, self.timeout.current()).await
            {
                Ok(()) => {
                    self.timeout.reset();
                    self.sequence += 1;
                    return Ok(());
                }
                Err(AppendError::Fenced) => return Err(Fenced),
                Err(AppendError::WrongSequence { expected }) => {
                    let named = std::mem::replace(&mut self.sequence, expected);
                    let is_next = expected == named + 1;
                    if is_next && may_be_stored {
                        // An earlier call without an answer stored the append.
                        return Ok(());
                    }
                    warn!(self.logger, "append has the wrong sequence number; retrying"; "named" => named,
                    "expected" => expected);
                }
                Err(error @ AppendError::Unknown { .. }) => {
                    may_be_stored = true;
                    self.timeout.double();
                    warn!(self.logger, "append failed; retrying"; "error" => %error);
                }
                Err(error @ AppendError::Refused { .. }) => {
                    warn!(self.logger, "append failed; retrying"; "error" => %error);
                }
            }
            sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
    }
}

/// Number of the records that go into the next append: at least one.
fn append_length(records: &[KeyedRecord]) -> usize {
    let mut bytes = 0;
    let is_within_limit = |record: &&KeyedRecord| {
        bytes += record.key.len() + record.value.len();
        bytes <= MAX_APPEND_BYTES
    };
    records.iter().take_while(is_within_limit).count().max(1)
}
