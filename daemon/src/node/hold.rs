//! The task that asks one worker what runs there, and renews its leases.

use std::time::Duration;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Acknowledgement;
use cowslipport_lib::workload::report::WorkerReport;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::messages::WorkerClock;
use crate::node::platform::PollAnswer;
use crate::node::platform::PollRequest;
use crate::node::platform::Worker;
use crate::node::platform::WorkerError;
use crate::node::settings::HOLD_WAIT_MS;
use crate::node::settings::LEASE_MS;

/// Time for which the next question waits until the ends of the last answer are
/// stored. Without it the worker would list the same ends again at once.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(400);
/// First pause after a question without an answer; it doubles up to
/// `RETRY_MAX`.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Longest pause between questions to a worker that does not answer.
const RETRY_MAX: Duration = Duration::from_millis(1_000);

/// What a hold task is told.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HoldMessage {
    /// Whether tasks may run there, and whether their leases are renewed.
    Activity { is_active: bool, renews: bool },
    /// Ends are stored.
    Acknowledged(Acknowledgement),
}

/// Asks one worker.
pub(crate) struct HoldTask<W> {
    pub(crate) worker: WorkerId,
    pub(crate) link: W,
    pub(crate) clock: Clock,
    pub(crate) mailbox: mpsc::Receiver<HoldMessage>,
    pub(crate) owner: OwnerMailbox,
    pub(crate) state: HoldState,
}

/// What a hold task knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldState {
    is_active: bool,
    renews: bool,
    acknowledged: u64,
    listed: u64,
    started_unix_ms: Option<u64>,
    sample: Option<WorkerClock>,
    /// The last question was answered.
    is_answered: bool,
}

/// The owner has ended.
struct OwnerGone;

impl<W> HoldTask<W>
where
    W: Worker,
{
    /// Asks while tasks may run there, and until the first answer.
    pub(crate) async fn run(mut self) {
        let mut retry = RETRY_MIN;
        loop {
            if self.take_messages().await.is_err() {
                return;
            }
            let sent_at = self.clock.now();
            let lease = self.lease(sent_at);
            let request = PollRequest {
                epoch: self.owner.epoch,
                acknowledged: self.state.acknowledged,
                lease_until_worker_ms: lease,
                wait_ms: if self.state.is_answered { HOLD_WAIT_MS } else { 0 },
            };
            let answer = self.link.poll(&request).await;
            self.state.is_answered = answer.is_ok();
            let message = match answer {
                Ok(answer) => self.reported(sent_at, answer),
                Err(error) => self.unanswered(&error, lease.map(|_| sent_at)),
            };
            let is_last = matches!(message, OwnerMessage::Replaced { .. } | OwnerMessage::Fenced);
            if !self.owner.send(message).await || is_last {
                return;
            }
            if self.state.is_answered {
                retry = RETRY_MIN;
                if self.wait_for_acknowledgement().await.is_err() {
                    return;
                }
            } else {
                sleep(retry).await;
                retry = (retry * 2).min(RETRY_MAX);
            }
        }
    }

    fn reported(&mut self, sent_at: TimeMs, answer: PollAnswer) -> OwnerMessage {
        // The worker read its clock when it answered, which may be long after
        // the question; an earlier time here would make leases too long.
        let clock = WorkerClock { worker_ms: answer.worker_clock_ms, at: self.clock.now() };
        self.state.sample = Some(clock);
        if answer.started_unix_ms != self.state.started_unix_ms {
            self.state.started_unix_ms = answer.started_unix_ms;
            self.state.acknowledged = 0;
            self.state.listed = 0;
        }
        let last = answer.ended.iter().map(|ended| ended.number).max();
        self.state.listed = self.state.listed.max(last.unwrap_or(0));
        let report = WorkerReport {
            sent_at,
            started_unix_ms: answer.started_unix_ms,
            running: answer.running,
            ended: answer.ended,
        };
        OwnerMessage::Reported { worker: self.worker, clock, report }
    }

    fn unanswered(&self, error: &WorkerError, renewed_at: Option<TimeMs>) -> OwnerMessage {
        match error {
            WorkerError::OtherWorker => OwnerMessage::Replaced { worker: self.worker },
            WorkerError::EpochTooLow => OwnerMessage::Fenced,
            WorkerError::Unanswered { .. }
            | WorkerError::Unhealthy
            | WorkerError::Invalid { .. } => {
                let reason = error.to_string();
                OwnerMessage::Silent { worker: self.worker, renewed_at, reason }
            }
        }
    }

    /// End of the leases that the next question grants. A worker that did not
    /// answer gets none, so that its tasks end on their own.
    fn lease(&self, now: TimeMs) -> Option<u64> {
        if !self.state.is_answered || !self.state.renews || !self.state.is_active {
            return None;
        }
        Some(self.state.sample?.reached(now) + LEASE_MS)
    }

    /// Takes the messages that wait; with nothing to ask, waits for one.
    async fn take_messages(&mut self) -> Result<(), OwnerGone> {
        while let Ok(message) = self.mailbox.try_recv() {
            self.take(message);
        }
        while !self.state.is_active && self.state.is_answered {
            let message = self.mailbox.recv().await.ok_or(OwnerGone)?;
            self.take(message);
        }
        Ok(())
    }

    fn take(&mut self, message: HoldMessage) {
        match message {
            HoldMessage::Activity { is_active, renews } => {
                self.state.is_active = is_active;
                self.state.renews = renews;
            }
            HoldMessage::Acknowledged(acknowledgement) => {
                // The numbers of a former life mean nothing in this one.
                if acknowledgement.started_unix_ms == self.state.started_unix_ms {
                    self.state.acknowledged = self.state.acknowledged.max(acknowledgement.number);
                }
            }
        }
    }

    async fn wait_for_acknowledgement(&mut self) -> Result<(), OwnerGone> {
        let until = Instant::now() + ACKNOWLEDGE_WITHIN;
        while self.state.acknowledged < self.state.listed {
            match timeout_at(until, self.mailbox.recv()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return Err(OwnerGone),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }
}
