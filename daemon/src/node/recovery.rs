//! What a new owner does first: it fences the former owner, and then reads all
//! jobs, so that nothing the former owner stores can be missing.

use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::owner_writer;
use crate::node::patience;
use crate::node::patience::Patience;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::tail;

/// Pause before the jobs are read again.
const RETRY: Duration = Duration::from_millis(50);

/// Fences the former owner, reads all jobs and hands them to the owner.
pub(crate) async fn run<S>(mut store: S, mailbox: OwnerMailbox, clock: Clock, logger: Logger)
where
    S: Store,
{
    let began_at = clock.now();
    let mut sequence = owner_writer::FIRST_SEQUENCE;
    let mut patience = Patience::new(patience::OWNER_MAX);
    let (epoch, no_records) = (mailbox.epoch, &[]);
    let fenced =
        owner_writer::append(&mut store, epoch, &mut sequence, &mut patience, no_records, &logger)
            .await;
    if fenced.is_err() {
        mailbox.send(OwnerMessage::Fenced).await;
        return;
    }
    loop {
        match tail::read_newest(&mut store, Topic::Jobs).await {
            Ok((records, end_offset)) => {
                info!(logger, "jobs are read"; "records" => records.len(),
                    "end_offset" => end_offset, "took_ms" => clock.now().since(began_at));
                mailbox.send(OwnerMessage::Recovered(records)).await;
                return;
            }
            Err(error) => warn!(logger, "jobs cannot be read"; "error" => %error),
        }
        sleep(RETRY).await;
    }
}
