//! The task that follows one topic of the store.

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
use crate::node::messages::TailEvent;
use crate::node::platform::KeyedRecord;
use crate::node::platform::ReadError;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::settings::READ_WAIT_MS;

/// First pause after a failed read; it doubles up to `RETRY_MAX`.
const RETRY_MIN: Duration = Duration::from_millis(30);
/// Longest pause after a failed read, so that the return of the store is seen
/// soon.
const RETRY_MAX: Duration = Duration::from_millis(250);

/// Follows one topic.
pub(crate) struct Tail<S> {
    pub(crate) topic: Topic,
    pub(crate) store: S,
    pub(crate) clock: Clock,
    pub(crate) core: mpsc::Sender<CoreMessage>,
    /// Pause after a read that brought records.
    pub(crate) pause: watch::Receiver<Duration>,
    pub(crate) logger: Logger,
}

/// The core has ended.
struct CoreGone;

impl<S> Tail<S>
where
    S: Store,
{
    /// Follows the topic until the core ends.
    pub(crate) async fn run(mut self) {
        let mut is_away = false;
        loop {
            let Ok(from_offset) = self.read_all(&mut is_away).await else { return };
            if self.follow(from_offset, &mut is_away).await.is_err() {
                return;
            }
        }
    }

    /// Reads the newest record of each key and returns the offset from which
    /// on later records are.
    async fn read_all(&mut self, is_away: &mut bool) -> Result<u64, CoreGone> {
        let mut retry = RETRY_MIN;
        loop {
            let sent_at = self.clock.now();
            match read_newest(&mut self.store, self.topic).await {
                Ok((records, end_offset)) => {
                    self.note_return(is_away);
                    self.send(TailEvent::Snapshot(records), Some(sent_at)).await?;
                    return Ok(end_offset);
                }
                Err(error) => self.note_failure(is_away, &error),
            }
            sleep(retry).await;
            retry = (retry * 2).min(RETRY_MAX);
        }
    }

    /// Reads further records until they are no longer kept.
    async fn follow(&mut self, mut from_offset: u64, is_away: &mut bool) -> Result<(), CoreGone> {
        let mut retry = RETRY_MIN;
        loop {
            let sent_at = self.clock.now();
            match self.store.read(self.topic, from_offset, READ_WAIT_MS).await {
                Ok(batch) => {
                    self.note_return(is_away);
                    retry = RETRY_MIN;
                    from_offset = batch.next_offset;
                    let is_empty = batch.records.is_empty();
                    let is_whole = batch.next_offset >= batch.end_offset;
                    let confirmed_at = is_whole.then_some(sent_at);
                    self.send(TailEvent::Records(batch.records), confirmed_at).await?;
                    let pause = *self.pause.borrow();
                    if !is_empty && is_whole && !pause.is_zero() {
                        sleep(pause).await;
                    }
                }
                Err(ReadError::Expired) => {
                    info!(self.logger, "records are no longer kept, reading all";
                        "topic" => self.topic.as_str(), "from_offset" => from_offset);
                    return Ok(());
                }
                Err(error @ ReadError::Unavailable { .. }) => {
                    self.note_failure(is_away, &error);
                    sleep(retry).await;
                    retry = (retry * 2).min(RETRY_MAX);
                }
            }
        }
    }

    async fn send(&self, event: TailEvent, confirmed_at: Option<TimeMs>) -> Result<(), CoreGone> {
        let message = CoreMessage::Tail { topic: self.topic, event, confirmed_at };
        self.core.send(message).await.map_err(|_| CoreGone)
    }

    fn note_failure(&self, is_away: &mut bool, error: &ReadError) {
        metrics::counter!("cowslipport_store_read_failures_total").increment(1);
        if !*is_away {
            *is_away = true;
            warn!(self.logger, "store is lost"; "topic" => self.topic.as_str(), "error" => %error);
        }
    }

    fn note_return(&self, is_away: &mut bool) {
        if *is_away {
            *is_away = false;
            info!(self.logger, "store is back"; "topic" => self.topic.as_str());
        }
    }
}

/// The newest record of each key, and the offset from which on later records
/// are. The pages are no snapshot: a record that comes meanwhile is in a page,
/// after the offset, or both.
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
