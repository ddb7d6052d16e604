//! The task that reads one topic of the store and passes its records to the
//! core.

use std::time::Duration;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::store_health::StoreCallOutcome;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::messages::CoreMessage;
use crate::node::messages::TopicUpdate;
use crate::node::platform::KeyedRecord;
use crate::node::platform::ReadError;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::settings::READ_WAIT_MS;

/// Delay after the first failed read; it doubles up to `RETRY_DELAY_MAX`.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(30);
/// Longest delay after a failed read, so that the node notices soon that the
/// store is back.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(250);

/// Reads one topic.
pub(crate) struct TopicReader<S> {
    pub(crate) topic: Topic,
    pub(crate) store: S,
    pub(crate) clock: Clock,
    pub(crate) core: mpsc::Sender<CoreMessage>,
    /// Pause after a read that returned records.
    pub(crate) pause: watch::Receiver<Duration>,
    /// Told of failed reads, and of the first answer after them.
    pub(crate) outcomes: Option<mpsc::Sender<StoreCallOutcome>>,
    pub(crate) logger: Logger,
}

/// The core has ended.
struct CoreEnded;

impl<S> TopicReader<S>
where
    S: Store,
{
    /// Reads the topic until the core ends.
    pub(crate) async fn run(mut self) {
        let mut is_unavailable = false;
        loop {
            let Ok(from_offset) = self.read_all(&mut is_unavailable).await else { return };
            if self.read_later(from_offset, &mut is_unavailable).await.is_err() {
                return;
            }
        }
    }

    /// Sends the newest record of each key to the core, and returns the offset
    /// at which later records start.
    async fn read_all(&mut self, is_unavailable: &mut bool) -> Result<u64, CoreEnded> {
        let mut delay = RETRY_DELAY_MIN;
        let mut reader = SnapshotReader::new(self.topic);
        let mut sent_at = self.clock.now();
        while let Err(error) = reader.read_remaining(&mut self.store).await {
            self.log_failure(is_unavailable, &error);
            sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
            // The snapshot is as old as its first page.
            if !reader.has_first_page() {
                sent_at = self.clock.now();
            }
        }
        self.log_recovery(is_unavailable);
        let (records, end_offset) = reader.into_snapshot();
        self.send(TopicUpdate::Snapshot(records), Some(sent_at)).await?;
        Ok(end_offset)
    }

    /// Sends later records to the core until the records at the next offset
    /// have expired.
    async fn read_later(
        &mut self,
        mut from_offset: u64,
        is_unavailable: &mut bool,
    ) -> Result<(), CoreEnded> {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            let sent_at = self.clock.now();
            match self.store.read(self.topic, from_offset, READ_WAIT_MS).await {
                Ok(batch) => {
                    self.log_recovery(is_unavailable);
                    delay = RETRY_DELAY_MIN;
                    from_offset = batch.next_offset;
                    let is_empty = batch.records.is_empty();
                    let reached_end = batch.next_offset >= batch.end_offset;
                    let confirmed_at = reached_end.then_some(sent_at);
                    self.send(TopicUpdate::Records(batch.records), confirmed_at).await?;
                    let pause = *self.pause.borrow();
                    if !is_empty && reached_end && !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
                Err(ReadError::Expired) => {
                    info!(self.logger, "records have expired; reading all keys again";
                        "topic" => self.topic.as_str(), "from_offset" => from_offset);
                    return Ok(());
                }
                Err(error @ ReadError::Unavailable { .. }) => {
                    self.log_failure(is_unavailable, &error);
                    sleep(delay).await;
                    delay = (delay * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
    }

    async fn send(
        &self,
        update: TopicUpdate,
        confirmed_at: Option<TimeMs>,
    ) -> Result<(), CoreEnded> {
        let message = CoreMessage::TopicUpdate { topic: self.topic, update, confirmed_at };
        self.core.send(message).await.map_err(|_| CoreEnded)
    }

    /// Reports a failed read, or the first answer after failed ones.
    fn report(&self, outcome: StoreCallOutcome) {
        if let Some(outcomes) = &self.outcomes {
            // A task that is behind, or that ends, needs no more of them.
            let _ = outcomes.try_send(outcome);
        }
    }

    fn log_failure(&self, is_unavailable: &mut bool, error: &ReadError) {
        metrics::counter!("cowslipport_store_read_failures_total").increment(1);
        self.report(StoreCallOutcome::NoAnswer);
        if !*is_unavailable {
            *is_unavailable = true;
            warn!(self.logger, "store unreachable; retrying"; "topic" => self.topic.as_str(),
                "error" => %error);
        }
    }

    fn log_recovery(&self, is_unavailable: &mut bool) {
        if *is_unavailable {
            *is_unavailable = false;
            self.report(StoreCallOutcome::Answered);
            info!(self.logger, "store reachable again"; "topic" => self.topic.as_str());
        }
    }
}

/// A read of the newest record of each key of a topic. The pages are not a
/// consistent snapshot: a record that is appended during the reads is in a
/// page, after the offset, or both.
pub(crate) struct SnapshotReader {
    topic: Topic,
    records: Vec<KeyedRecord>,
    /// Offset at which later records start; `None` before the first page.
    end_offset: Option<u64>,
    has_more: bool,
}

impl SnapshotReader {
    /// Starts with the first page.
    pub(crate) fn new(topic: Topic) -> Self {
        Self { topic, records: Vec::new(), end_offset: None, has_more: true }
    }

    /// Whether a page has been read.
    fn has_first_page(&self) -> bool {
        self.end_offset.is_some()
    }

    /// Number of records that the pages so far hold.
    pub(crate) fn records_read(&self) -> usize {
        self.records.len()
    }

    /// Reads the remaining pages. After a failure, another call continues with
    /// the page that failed, so that repeated failures do not keep a large
    /// topic from being read.
    pub(crate) async fn read_remaining<S>(&mut self, store: &mut S) -> Result<(), ReadError>
    where
        S: Store,
    {
        while self.has_more {
            let after_key = self.records.last().map(|record| record.key.clone());
            let page = store.newest_page(self.topic, after_key.as_deref()).await?;
            self.has_more = page.has_more && !page.records.is_empty();
            self.records.extend(page.records);
            self.end_offset.get_or_insert(page.end_offset);
        }
        Ok(())
    }

    /// The records, and the offset at which later records start.
    pub(crate) fn into_snapshot(self) -> (Vec<KeyedRecord>, u64) {
        (self.records, self.end_offset.unwrap_or_default())
    }
}
