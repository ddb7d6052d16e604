//! The task that calls the advice service, one call at a time.

use cowslipport_lib::workload::advice::AdviceAnswer;
use cowslipport_lib::workload::advice::AdviceRequest;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::platform::AdviceService;

/// Capacity of the queue of requests.
pub(crate) const REQUEST_QUEUE_CAPACITY: usize = 16;

/// Sends requests until the owner ends.
pub(crate) async fn run<A>(
    mut service: A,
    clock: Clock,
    mut mailbox: mpsc::Receiver<AdviceRequest>,
    owner: OwnerMailbox,
    logger: Logger,
) where
    A: AdviceService,
{
    while let Some(request) = mailbox.recv().await {
        let sent_at = clock.now();
        let answer = match service.advise(&request).await {
            Ok(granted) => {
                info!(logger, "advice service granted tickets"; "job" => %request.job,
                    "step" => request.step.step, "asked" => request.workers.len(),
                    "granted" => granted.tickets.len(), "valid_ms" => granted.valid_ms);
                let (granted, valid_ms) = (granted.tickets, granted.valid_ms);
                Some(AdviceAnswer { sent_at, granted, valid_ms })
            }
            Err(error) => {
                warn!(logger, "call of the advice service failed"; "job" => %request.job,
                    "error" => %error);
                None
            }
        };
        if !owner.send(OwnerMessage::AdviceAnswered { request, answer }).await {
            return;
        }
    }
}
