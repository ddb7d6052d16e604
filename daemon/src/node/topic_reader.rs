//! The task that reads one topic of the store and passes its records to the
//! core.

use std::time::Duration;

use cowslipport_lib::time::TimeMs;
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
        loop {
            let sent_at = self.clock.now();
            match read_newest(&mut self.store, self.topic).await {
                Ok((records, end_offset)) => {
                    self.log_recovery(is_unavailable);
                    self.send(TopicUpdate::Snapshot(records), Some(sent_at)).await?;
                    return Ok(end_offset);
                }
                Err(error) => self.log_failure(is_unavailable, &error),
            }
            sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
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

    fn log_failure(&self, is_unavailable: &mut bool, error: &ReadError) {
        metrics::counter!("cowslipport_store_read_failures_total").increment(1);
        if !*is_unavailable {
            *is_unavailable = true;
            warn!(self.logger, "store unreachable; retrying"; "topic" => self.topic.as_str(),
                "error" => %error);
        }
    }

    fn log_recovery(&self, is_unavailable: &mut bool) {
        if *is_unavailable {
            *is_unavailable = false;
            info!(self.logger, "store reachable again"; "topic" => self.topic.as_str());
        }
    }
}

/// Reads the newest record of each key, and the offset at which later records
/// start. The pages are not a consistent snapshot: a record that is appended
/// during the reads is in a page, after the offset, or both.
pub(crate) async fn read_newest<S>(
    store: &mut S,
    topic: Topic,
) -> Result<(Vec<KeyedRecord>, u64), ReadError>
where
    S: Store,
{
    let first = store.newest_page(topic, None).await?;
    let (mut records, mut has_more) = (first.records, first.has_more);
    while has_more {
        let after_key = records.last().map(|record| record.key.clone()).unwrap_or_default();
        let page = store.newest_page(topic, Some(&after_key)).await?;
        has_more = page.has_more && !page.records.is_empty();
        records.extend(page.records);
    }
    Ok((records, first.end_offset))
}
