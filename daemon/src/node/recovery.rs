//! The first task of a new owner: it fences the former owner, and then reads
//! all job records, so that no record of the former owner can be missing.

use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::owner_writer::Fenced;
use crate::node::owner_writer::TOPICS;
use crate::node::owner_writer::TopicWriter;
use crate::node::platform::Store;
use crate::node::topic_reader::SnapshotReader;

/// Delay before a failed read of the job records is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fences the former owner, reads all job records and sends them to the owner.
pub(crate) async fn run<S>(mut store: S, mailbox: OwnerMailbox, clock: Clock, logger: Logger)
where
    S: Store,
{
    let began_at = clock.now();
    for topic in TOPICS {
        let writer = TopicWriter::new(store, topic, mailbox.epoch, logger.clone());
        match writer.fence().await {
            Ok(client) => store = client,
            Err(Fenced) => {
                mailbox.send(OwnerMessage::Fenced).await;
                return;
            }
        }
    }
    let mut records = Vec::new();
    for topic in TOPICS {
        let mut reader = SnapshotReader::new(topic);
        while let Err(error) = reader.read_remaining(&mut store).await {
            warn!(logger, "reading the job records failed; retrying"; "error" => %error,
                "topic" => topic.as_str(), "records" => reader.records_read());
            sleep(RETRY_DELAY).await;
        }
        let (read, end_offset) = reader.into_snapshot();
        info!(logger, "job records read"; "topic" => topic.as_str(), "records" => read.len(),
            "end_offset" => end_offset, "took_ms" => clock.now().since(began_at));
        records.extend(read);
    }
    mailbox.send(OwnerMessage::Recovered(records)).await;
}
