//! The task that polls one worker for its running and ended tasks, and renews
//! the worker's leases.

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
use crate::node::messages::WorkerClockReading;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::platform::PollAnswer;
use crate::node::platform::PollRequest;
use crate::node::platform::Worker;
use crate::node::platform::WorkerError;
use crate::node::settings::POLL_WAIT_MS;
use crate::node::settings::WITNESS_POLL_WAIT_MS;

/// Longest delay of the next poll until the store has the ended tasks of the
/// last answer. Without the delay, the worker would report the same ended tasks
/// again at once.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after the first poll without an answer; it doubles up to
/// `RETRY_DELAY_MAX`.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest delay between polls of a worker that does not answer.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// A message for a poll task.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PollMessage {
    /// What the worker is polled for.
    Activity(PollActivity),
    /// The store has ended tasks of the worker.
    Acknowledged(Acknowledgement),
}

/// What a worker is polled for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PollActivity {
    /// Whether the worker has to be polled.
    pub(crate) is_active: bool,
    /// Whether the leases on the worker are renewed while the owner may renew any.
    pub(crate) renews_leases: bool,
    /// Whether renewals depend on the answers of the worker.
    pub(crate) is_witness: bool,
}

/// Polls one worker.
pub(crate) struct PollTask<W> {
    pub(crate) worker: WorkerId,
    pub(crate) client: W,
    pub(crate) clock: Clock,
    pub(crate) ownership: OwnershipCheck,
    pub(crate) mailbox: mpsc::Receiver<PollMessage>,
    pub(crate) owner: OwnerMailbox,
    pub(crate) state: PollState,
}

/// State of a poll task.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PollState {
    activity: PollActivity,
    /// Highest number of an ended task that the store has.
    acknowledged: u64,
    /// Highest number of an ended task that the worker reported.
    reported: u64,
    started_unix_ms: Option<u64>,
    worker_clock: Option<WorkerClockReading>,
    /// Whether the worker answered the last poll.
    is_reachable: bool,
}

/// The owner has ended.
struct OwnerEnded;

impl<W> PollTask<W>
where
    W: Worker,
{
    /// Polls until the first answer, and from then on while tasks may run on
    /// the worker. Ends with the owner, or when the worker has been replaced.
    pub(crate) async fn run(mut self) {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            if self.handle_messages().await.is_err() {
                return;
            }
            let sent_at = self.clock.now();
            let lease = self.new_lease_end(sent_at);
            let request = PollRequest {
                epoch: self.owner.epoch,
                incarnation_unix_ms: self.state.started_unix_ms,
                acknowledged: self.state.acknowledged,
                lease_until_worker_ms: lease,
                wait_ms: self.wait_ms(),
            };
            let answer = self.client.poll(&request).await;
            self.state.is_reachable = answer.is_ok();
            let message = match answer {
                Ok(answer) => self.handle_answer(sent_at, answer),
                Err(error) => self.handle_error(&error, lease.map(|_| sent_at)),
            };
            let is_last = matches!(message, OwnerMessage::Replaced { .. } | OwnerMessage::Fenced);
            if !self.owner.send(message).await || is_last {
                return;
            }
            if self.state.is_reachable {
                delay = RETRY_DELAY_MIN;
                if self.wait_for_acknowledgement().await.is_err() {
                    return;
                }
            } else {
                sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }

    fn handle_answer(&mut self, sent_at: TimeMs, answer: PollAnswer) -> OwnerMessage {
        // The worker read its clock when it answered, which may be long after
        // the poll was sent. To pair the reading with the time of sending would
        // make leases too long.
        let clock = WorkerClockReading {
            incarnation_unix_ms: answer.started_unix_ms,
            worker_ms: answer.worker_clock_ms,
            at: self.clock.now(),
        };
        self.state.worker_clock = Some(clock);
        if answer.started_unix_ms != self.state.started_unix_ms {
            self.state.started_unix_ms = answer.started_unix_ms;
            self.state.acknowledged = 0;
            self.state.reported = 0;
        }
        let last = answer.ended.iter().map(|ended| ended.number).max();
        self.state.reported = self.state.reported.max(last.unwrap_or(0));
        let report = WorkerReport {
            sent_at,
            started_unix_ms: answer.started_unix_ms,
            lease: answer.lease,
            running: answer.running,
            ended: answer.ended,
            has_more_ends: answer.has_more_ends,
        };
        OwnerMessage::Reported { worker: self.worker, clock, report }
    }

    fn handle_error(&self, error: &WorkerError, renewed_at: Option<TimeMs>) -> OwnerMessage {
        match error {
            WorkerError::OtherWorker => OwnerMessage::Replaced { worker: self.worker },
            WorkerError::EpochTooLow => OwnerMessage::Fenced,
            WorkerError::Unanswered { .. }
            | WorkerError::Unhealthy
            | WorkerError::Invalid { .. } => {
                let reason = error.to_string();
                OwnerMessage::Unreachable { worker: self.worker, renewed_at, reason }
            }
        }
    }

    /// How long the worker may wait before it answers the next poll.
    fn wait_ms(&self) -> u64 {
        match (self.state.is_reachable, self.state.activity.is_witness) {
            (false, _) => 0,
            (true, true) => WITNESS_POLL_WAIT_MS,
            (true, false) => POLL_WAIT_MS,
        }
    }

    /// Returns the end of the leases that the next poll grants. A worker that
    /// did not answer the last poll gets no new lease, so that its tasks end
    /// when their leases expire. The ownership is checked here, right before the
    /// poll: after a pause of the process, a message of the core may come too late.
    fn new_lease_end(&self, now: TimeMs) -> Option<u64> {
        let PollActivity { is_active, renews_leases, .. } = self.state.activity;
        if !self.state.is_reachable || !renews_leases || !is_active {
            return None;
        }
        if !self.ownership.may_renew_leases() {
            return None;
        }
        Some(self.state.worker_clock?.new_lease(now).until_worker_ms)
    }

    /// Handles the queued messages. While there is no need to poll, waits for
    /// further messages.
    async fn handle_messages(&mut self) -> Result<(), OwnerEnded> {
        while let Ok(message) = self.mailbox.try_recv() {
            self.handle_message(message);
        }
        while !self.state.activity.is_active && self.state.is_reachable {
            let message = self.mailbox.recv().await.ok_or(OwnerEnded)?;
            self.handle_message(message);
        }
        Ok(())
    }

    fn handle_message(&mut self, message: PollMessage) {
        match message {
            PollMessage::Activity(activity) => self.state.activity = activity,
            PollMessage::Acknowledged(acknowledgement) => {
                // Numbers of a former incarnation are no longer valid.
                if acknowledgement.started_unix_ms == self.state.started_unix_ms {
                    self.state.acknowledged = self.state.acknowledged.max(acknowledgement.number);
                }
            }
        }
    }

    async fn wait_for_acknowledgement(&mut self) -> Result<(), OwnerEnded> {
        let deadline = Instant::now() + ACKNOWLEDGEMENT_TIMEOUT;
        while self.state.acknowledged < self.state.reported {
            match timeout_at(deadline, self.mailbox.recv()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return Err(OwnerEnded),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }
}
