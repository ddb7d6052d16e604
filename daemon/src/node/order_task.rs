//! The task that sends orders to one worker.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::spec::MAX_TASKS;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::platform::Worker;
use crate::node::platform::WorkerError;
use crate::node::platform::WorkerLease;

/// Capacity of the queue of orders for one worker. A gang starts as a whole, so the
/// queue holds the starts of the largest job. The queue takes memory only for the
/// orders in it.
pub(crate) const ORDER_QUEUE_CAPACITY: usize = MAX_TASKS as usize;
/// A start that has been queued for longer is not sent, since its lease would
/// soon expire.
const START_AGE_MAX_MS: u64 = 1_500;

/// An order with its creation time and its lease.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOrder {
    pub(crate) order: Order,
    pub(crate) created_at: TimeMs,
    /// Lease of a start. Other orders grant none.
    pub(crate) lease: WorkerLease,
}

/// Sends orders to one worker.
pub(crate) struct OrderTask<W> {
    pub(crate) worker: WorkerId,
    pub(crate) client: W,
    pub(crate) clock: Clock,
    pub(crate) ownership: OwnershipCheck,
    pub(crate) mailbox: mpsc::Receiver<QueuedOrder>,
    pub(crate) owner: OwnerMailbox,
    pub(crate) logger: Logger,
}

impl<W> OrderTask<W>
where
    W: Worker,
{
    /// Sends orders in sequence until the owner ends.
    pub(crate) async fn run(mut self) {
        while let Some(queued) = self.mailbox.recv().await {
            let Some(message) = self.send(queued).await else { continue };
            if !self.owner.send(message).await {
                return;
            }
        }
    }

    /// Sends one order and returns the message to the owner about its outcome.
    async fn send(&mut self, queued: QueuedOrder) -> Option<OwnerMessage> {
        let (worker, epoch) = (self.worker, self.owner.epoch);
        match queued.order {
            Order::Start(start) => {
                let is_old = self.clock.now().since(queued.created_at) > START_AGE_MAX_MS;
                let reply = match is_old || !self.ownership.is_confirmed() {
                    true => StartReply::without_lease(StartAnswer::TooLate),
                    false => self.client.start(epoch, queued.lease, &start).await,
                };
                let (task, attempt) = (start.key, start.attempt);
                Some(OwnerMessage::StartAnswered { worker, task, attempt, reply })
            }
            Order::Stop { task, attempt, reason } => {
                let result = self.client.stop(epoch, &task.to_string(), attempt).await;
                match result {
                    Ok(()) => {
                        let ordered_at = queued.created_at;
                        Some(OwnerMessage::StopAnswered { worker, task, attempt, ordered_at })
                    }
                    Err(error) => {
                        // The next poll that reports the attempt makes the
                        // owner order the stop again.
                        warn!(self.logger, "no valid answer to a stop order"; "task" => %task,
                            "attempt" => attempt, "reason" => reason.as_str(), "error" => %error);
                        self.message_for(&error)
                    }
                }
            }
            Order::Pace { task, attempt, percent } => {
                let result = self.client.pace(epoch, &task.to_string(), attempt, percent).await;
                let error = result.err()?;
                warn!(self.logger, "no valid answer to a change of pace"; "task" => %task,
                    "percent" => percent, "error" => %error);
                let unanswered = OwnerMessage::PaceUnanswered { worker, task, attempt };
                Some(self.message_for(&error).unwrap_or(unanswered))
            }
        }
    }

    /// Returns the message for an error that concerns the worker or the owner
    /// as a whole, not only the order.
    fn message_for(&self, error: &WorkerError) -> Option<OwnerMessage> {
        match error {
            WorkerError::EpochTooLow => Some(OwnerMessage::Fenced),
            WorkerError::OtherWorker => Some(OwnerMessage::Replaced { worker: self.worker }),
            WorkerError::Unanswered { .. }
            | WorkerError::Unhealthy
            | WorkerError::Invalid { .. } => None,
        }
    }
}
