//! The task that sends orders to one worker.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::report::StartAnswer;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::platform::Worker;
use crate::node::platform::WorkerError;

/// Orders that wait for one worker.
pub(crate) const WAITING_ORDERS: usize = 512;
/// A start that has waited longer behind others is not sent: its lease would
/// soon be over.
const START_AGE_MAX_MS: u64 = 1_500;

/// An order with the end of its lease.
#[derive(Clone, Debug)]
pub(crate) struct DatedOrder {
    pub(crate) order: Order,
    pub(crate) made_at: TimeMs,
    /// End of the lease on the clock of the worker.
    pub(crate) lease_until_worker_ms: u64,
}

/// Sends orders to one worker.
pub(crate) struct OrderTask<W> {
    pub(crate) worker: WorkerId,
    pub(crate) link: W,
    pub(crate) clock: Clock,
    pub(crate) mailbox: mpsc::Receiver<DatedOrder>,
    pub(crate) owner: OwnerMailbox,
    pub(crate) logger: Logger,
}

impl<W> OrderTask<W>
where
    W: Worker,
{
    /// Sends orders until the owner ends.
    pub(crate) async fn run(mut self) {
        while let Some(dated) = self.mailbox.recv().await {
            let Some(message) = self.send(dated).await else { continue };
            if !self.owner.send(message).await {
                return;
            }
        }
    }

    /// Sends one order and returns what the owner is told of it.
    async fn send(&mut self, dated: DatedOrder) -> Option<OwnerMessage> {
        let (worker, epoch) = (self.worker, self.owner.epoch);
        match dated.order {
            Order::Start(start) => {
                let is_old = self.clock.now().since(dated.made_at) > START_AGE_MAX_MS;
                let answer = match is_old {
                    true => StartAnswer::LeaseExpired,
                    false => self.link.start(epoch, dated.lease_until_worker_ms, &start).await,
                };
                let (task, attempt) = (start.key, start.attempt);
                Some(OwnerMessage::Started { worker, task, attempt, answer })
            }
            Order::Stop { task, attempt, reason } => {
                let result = self.link.stop(epoch, &task.to_string(), attempt).await;
                match result {
                    Ok(()) => Some(OwnerMessage::Stopped { worker, task, attempt }),
                    Err(error) => {
                        // The next report repeats it.
                        warn!(self.logger, "stop is not answered"; "task" => %task,
                            "attempt" => attempt, "reason" => reason.as_str(), "error" => %error);
                        self.meaning_of(&error)
                    }
                }
            }
            Order::Pace { task, attempt, percent } => {
                let result = self.link.pace(epoch, &task.to_string(), attempt, percent).await;
                let error = result.err()?;
                warn!(self.logger, "change of pace is not answered"; "task" => %task,
                    "percent" => percent, "error" => %error);
                let unanswered = OwnerMessage::PaceUnanswered { worker, task, attempt };
                Some(self.meaning_of(&error).unwrap_or(unanswered))
            }
        }
    }

    /// What an error says about the worker or the owner as a whole.
    fn meaning_of(&self, error: &WorkerError) -> Option<OwnerMessage> {
        match error {
            WorkerError::EpochTooLow => Some(OwnerMessage::Fenced),
            WorkerError::OtherWorker => Some(OwnerMessage::Replaced { worker: self.worker }),
            WorkerError::Unanswered { .. }
            | WorkerError::Unhealthy
            | WorkerError::Invalid { .. } => None,
        }
    }
}
