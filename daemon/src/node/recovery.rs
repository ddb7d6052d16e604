//! The first task of a new owner: it fences the former owner, and then reads
//! all job records, so that no record of the former owner can be missing.

use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::append_timeout;
use crate::node::append_timeout::AppendTimeout;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::owner_writer;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::topic_reader::SnapshotReader;

/// Delay before a failed read of the job records is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fences the former owner, reads all job records and sends them to the owner.
pub(crate) async fn run<S>(mut store: S, mailbox: OwnerMailbox, clock: Clock, logger: Logger)
where
    S: Store,
{
    let began_at = clock.now();
    let mut sequence = owner_writer::FIRST_SEQUENCE;
    let mut timeout = AppendTimeout::new(append_timeout::OWNER_MAX);
    let (epoch, no_records) = (mailbox.epoch, &[]);
    let fenced =
        owner_writer::append(&mut store, epoch, &mut sequence, &mut timeout, no_records, &logger)
            .await;
    if fenced.is_err() {
        mailbox.send(OwnerMessage::Fenced).await;
        return;
    }
    let mut reader = SnapshotReader::new(Topic::Jobs);
    while let Err(error) = reader.read_remaining(&mut store).await {
        warn!(logger, "reading the job records failed; retrying"; "error" => %error,
            "records" => reader.records_read());
        sleep(RETRY_DELAY).await;
    }
    let (records, end_offset) = reader.into_snapshot();
    info!(logger, "job records read"; "records" => records.len(),
        "end_offset" => end_offset, "took_ms" => clock.now().since(began_at));
    mailbox.send(OwnerMessage::Recovered(records)).await;
}
