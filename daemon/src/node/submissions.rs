//! The task that stores the submissions and cancellations of callers, several
//! records in one append.

use std::time::Duration;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::store_health::StoreCallOutcome;
use cowslipport_lib::workload::store_health::StoreHealth;
use cowslipport_lib::workload::store_health::StoreState;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::node::append_timeout;
use crate::node::append_timeout::AppendTimeout;
use crate::node::platform::AppendError;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Store;
use crate::node::platform::Topic;

/// Capacity of the queue of records. A record has at most a few kilobytes, so
/// the queue takes at most a few megabytes. When the queue is full, calls are
/// refused at once.
pub(crate) const QUEUE_CAPACITY: usize = 512;
/// Capacity of the queue of outcomes of reads. A reader that fails repeats its
/// read after some 30 ms, so the queue holds seconds of them.
pub(crate) const READ_OUTCOME_CAPACITY: usize = 64;
/// Maximum number of records in one append, which keeps the append far below
/// the size limit of the store.
const MAX_BATCH_RECORDS: usize = 128;
/// Delay before an append with an unknown outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an append with an unknown outcome is retried. After that, callers
/// learn that the outcome is unknown, and ask again.
const RETRY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A record to be stored for a caller.
pub(crate) struct Submission {
    /// Job of the record; none for the record of this node.
    pub(crate) job: Option<JobKey>,
    pub(crate) record: KeyedRecord,
    pub(crate) reply: oneshot::Sender<StoreOutcome>,
}

/// Outcome of storing a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The store has the record.
    Stored,
    /// The record was not stored and never will be.
    NotStored(NotRunReason),
    /// The record may have been stored, or may be stored later.
    Unknown,
}

/// What the task receives.
pub(crate) struct SubmissionInputs {
    pub(crate) mailbox: mpsc::Receiver<Submission>,
    /// Outcomes of the reads of topics.
    pub(crate) reads: mpsc::Receiver<StoreCallOutcome>,
}

/// The task and its state.
pub(crate) struct SubmissionTask<S> {
    store: S,
    mailbox: mpsc::Receiver<Submission>,
    /// Outcomes of the reads of topics.
    reads: mpsc::Receiver<StoreCallOutcome>,
    /// What the calls of this node show of the store; none if submissions wait for the
    /// store whatever its state.
    health: Option<StoreHealth>,
    timeout: AppendTimeout,
    clock: Clock,
    logger: Logger,
    /// The state that was logged last.
    logged_state: StoreState,
}

impl<S> SubmissionTask<S>
where
    S: Store,
{
    pub(crate) fn new(
        store: S,
        inputs: SubmissionInputs,
        health: Option<StoreHealth>,
        clock: Clock,
        logger: Logger,
    ) -> Self {
        let SubmissionInputs { mailbox, reads } = inputs;
        let timeout = AppendTimeout::new(append_timeout::CALLER_MAX);
        let logged_state = StoreState::Available;
        Self { store, mailbox, reads, health, timeout, clock, logger, logged_state }
    }

    /// Stores records until all senders are gone.
    pub(crate) async fn run(mut self) {
        let mut waiting = Vec::new();
        loop {
            tokio::select! {
                biased;
                Some(outcome) = self.reads.recv() => {
                    self.observe_read(outcome);
                    self.probe_if_due().await;
                }
                count = self.mailbox.recv_many(&mut waiting, MAX_BATCH_RECORDS) => {
                    if count == 0 {
                        return;
                    }
                    self.handle(std::mem::take(&mut waiting)).await;
                }
            }
        }
    }

    /// Stores the records of callers, or refuses them while the store is lost.
    async fn handle(&mut self, submissions: Vec<Submission>) {
        if self.state().refuses() {
            for submission in submissions {
                self.refuse(submission);
            }
            self.probe_if_due().await;
            return;
        }
        let records: Vec<KeyedRecord> =
            submissions.iter().map(|submission| submission.record.clone()).collect();
        let outcome = self.append(&records).await;
        self.log_state();
        let now = self.clock.now();
        for submission in submissions {
            if let (Some(health), StoreOutcome::Unknown, Some(job)) =
                (&mut self.health, outcome, submission.job)
            {
                health.outcome_unknown(now, job);
            }
            // The receiver is gone if the caller has disconnected.
            let _ = submission.reply.send(outcome);
        }
    }

    /// Retries an append until its outcome is known or the time is over, or until it will
    /// stay unknown because the store is lost. A retry writes the same keys and values, so
    /// it is idempotent.
    async fn append(&mut self, records: &[KeyedRecord]) -> StoreOutcome {
        let began_at = Instant::now();
        let mut may_be_stored = false;
        loop {
            match self.call(records, may_be_stored).await {
                Ok(()) => {
                    self.timeout.reset();
                    return StoreOutcome::Stored;
                }
                Err(AppendError::Refused { .. } | AppendError::Fenced) if !may_be_stored => {
                    return StoreOutcome::NotStored(NotRunReason::StoreRefused);
                }
                Err(AppendError::WrongSequence { .. }) if !may_be_stored => {
                    return StoreOutcome::NotStored(NotRunReason::StoreRefused);
                }
                Err(AppendError::Unknown { .. }) => {
                    self.timeout.double();
                    may_be_stored = true;
                }
                // An earlier append of the same records may still be stored.
                Err(
                    AppendError::Refused { .. }
                    | AppendError::Fenced
                    | AppendError::WrongSequence { .. },
                ) => {}
            }
            if began_at.elapsed() >= RETRY_TIMEOUT || self.state().refuses() {
                return StoreOutcome::Unknown;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Sends an append without records, which shows whether the store answers appends, if
    /// it is lost and a probe is due.
    async fn probe_if_due(&mut self) {
        let now = self.clock.now();
        if self.health.as_ref().is_some_and(|health| health.is_probe_due(now)) {
            // The state of the store tells the outcome.
            let _ = self.call(&[], false).await;
            self.log_state();
        }
    }

    /// Makes one append. While it takes too long, or once the store is lost, submissions
    /// that arrive are refused. A repetition ends early if the store is lost: its outcome
    /// could not be told from that of the first append.
    async fn call(
        &mut self,
        records: &[KeyedRecord],
        is_repetition: bool,
    ) -> Result<(), AppendError> {
        let timeout = self.timeout.current();
        let Self { store, mailbox, reads, health, clock, logger, logged_state, .. } = self;
        let call = store.append(Topic::Jobs, None, records, timeout);
        let Some(health) = health else { return call.await };
        tokio::pin!(call);
        let silent_at = Instant::now() + timeout / 2;
        let mut is_silent = false;
        let result = loop {
            tokio::select! {
                biased;
                result = &mut call => break result,
                Some(outcome) = reads.recv() => health.read_ended(outcome),
                () = sleep_until(silent_at), if !is_silent => {
                    is_silent = true;
                    health.append_is_silent();
                }
                Some(submission) = mailbox.recv(), if health.state(clock.now()).refuses() => {
                    refuse(health, clock.now(), submission);
                    continue;
                }
            }
            let state = health.state(clock.now());
            log_state(logger, logged_state, state);
            if is_repetition && state == StoreState::Lost {
                break Err(AppendError::Unknown { reason: "the store is lost".to_owned() });
            }
        };
        health.append_ended(clock.now(), call_outcome(&result));
        result
    }

    fn observe_read(&mut self, outcome: StoreCallOutcome) {
        if let Some(health) = &mut self.health {
            health.read_ended(outcome);
        }
        self.log_state();
    }

    fn state(&self) -> StoreState {
        let now = self.clock.now();
        self.health.as_ref().map_or(StoreState::Available, |health| health.state(now))
    }

    fn refuse(&mut self, submission: Submission) {
        if let Some(health) = &self.health {
            refuse(health, self.clock.now(), submission);
        }
    }

    fn log_state(&mut self) {
        let state = self.state();
        log_state(&self.logger, &mut self.logged_state, state);
    }
}

/// Refuses a submission that was not sent. One that an earlier call may have stored is
/// not promised to be refused for good.
fn refuse(health: &StoreHealth, now: TimeMs, submission: Submission) {
    let may_be_stored = submission.job.is_some_and(|job| health.may_be_stored(now, job));
    let outcome = match may_be_stored {
        true => StoreOutcome::Unknown,
        false => StoreOutcome::NotStored(NotRunReason::StoreAway),
    };
    // The receiver is gone if the caller has disconnected.
    let _ = submission.reply.send(outcome);
}

/// Logs a change of the state of the store as the calls of this node show it.
fn log_state(logger: &Logger, logged: &mut StoreState, state: StoreState) {
    let former = std::mem::replace(logged, state);
    if former == state {
        return;
    }
    metrics::gauge!("cowslipport_store_refuses_submissions").set(match state.refuses() {
        true => 1.0,
        false => 0.0,
    });
    info!(logger, "state of the store for submissions changed"; "from" => former.as_str(),
        "to" => state.as_str());
}

fn call_outcome(result: &Result<(), AppendError>) -> StoreCallOutcome {
    match result {
        // A store that fences or wants another sequence number has answered.
        Ok(()) | Err(AppendError::Fenced | AppendError::WrongSequence { .. }) => {
            StoreCallOutcome::Answered
        }
        Err(AppendError::Refused { .. }) => StoreCallOutcome::Refused,
        Err(AppendError::Unknown { .. }) => StoreCallOutcome::NoAnswer,
    }
}
