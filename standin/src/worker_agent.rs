//! State of a worker: epochs, tickets, task leases and what its tasks use.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::worker_task::Task;
use crate::worker_task::TaskState;

/// What a worker can do.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// What the worker can run at the same time.
    pub capacity: Resources,
    /// Time by which a report of usage is late.
    pub usage_lag_ms: u64,
    /// Time for which a ticket is valid.
    pub ticket_ms: u64,
    /// Time that a task needs to checkpoint or to stop.
    pub checkpoint_ms: u64,
    /// Run time of a task whose payload does not say one.
    pub default_run_ms: u64,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            capacity: Resources { cpu_milli: 32_000, memory_bytes: 128 << 30, accelerators: 0 },
            usage_lag_ms: 5000,
            ticket_ms: 2000,
            checkpoint_ms: 500,
            default_run_ms: 10_000,
        }
    }
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Time by which every call takes effect later.
    pub delay_ms: u64,
    /// Every task that starts fails after this time.
    pub fail_tasks_after_ms: Option<u64>,
    /// Number of following starts whose reply is lost after the start.
    pub lost_start_replies: u32,
}

/// A request to start a task.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// Fencing token of the partition's owner.
    pub epoch: Epoch,
    /// A ticket of the worker.
    pub ticket: u64,
    /// Name of the task.
    pub task: String,
    /// Organisation that the task belongs to.
    pub organisation: OrganisationId,
    /// Declared size.
    pub request: Resources,
    /// What the task does, see [`crate::worker_task::Work`].
    pub payload: String,
    /// Time for which the task runs without a poll.
    pub lease_ms: u64,
}

/// What became of a request to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The task runs.
    Started,
    /// The worker knows a task of this name already.
    Known,
    /// A higher epoch was seen.
    OldEpoch,
    /// The ticket is not valid or no longer.
    OldTicket,
    /// The task does not fit beside the others.
    NoRoom,
}

/// What an owner does to a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Halves its processor time and its progress.
    Throttle,
    /// Lets it run in full again.
    Unthrottle,
    /// Saves its progress and ends it.
    Checkpoint,
    /// Ends it.
    Stop,
}

/// Answer to a poll of an owner whose epoch is high enough.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// Number that the next starts name.
    pub ticket: u64,
    /// All tasks that run or whose end is not acknowledged.
    pub tasks: Vec<TaskReport>,
}

/// Report on one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Name of the task.
    pub task: String,
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Its state.
    pub state: TaskState,
    /// Declared size.
    pub request: Resources,
    /// What it used one lag ago; none for a task that started since.
    pub used: Option<Resources>,
    /// Time since it started.
    pub age_ms: u64,
}

/// What the tasks of one organisation occupy on this worker from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningSample {
    /// When it began.
    pub at: TimeMs,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Number of tasks.
    pub tasks: u32,
    /// Sum of the declared sizes.
    pub requested: Resources,
    /// Sum of what the tasks use.
    pub used: Resources,
}

/// What a worker has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStats {
    /// Tasks started.
    pub started: u64,
    /// Starts and polls refused because of their epoch.
    pub old_epochs: u64,
    /// Starts refused because of their ticket.
    pub old_tickets: u64,
    /// Starts that did not fit.
    pub no_room: u64,
    /// Tasks stopped because their lease expired.
    pub leases_expired: u64,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerAgent {
    settings: WorkerSettings,
    faults: WorkerFaults,
    highest_epoch: Epoch,
    next_ticket: u64,
    /// Tickets that may still be valid, with the time of their issue.
    tickets: VecDeque<(u64, TimeMs)>,
    tasks: BTreeMap<String, Task>,
    history: Vec<RunningSample>,
    stats: WorkerStats,
}

impl WorkerAgent {
    /// A worker without tasks. `first_ticket` differs between the lives of a
    /// worker, so that a start sent before a reboot has no effect after it.
    pub fn new(settings: WorkerSettings, first_ticket: u64) -> Self {
        Self {
            settings,
            faults: WorkerFaults::default(),
            highest_epoch: Epoch::default(),
            next_ticket: first_ticket.max(1),
            tickets: VecDeque::new(),
            tasks: BTreeMap::new(),
            history: Vec::new(),
            stats: WorkerStats::default(),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> WorkerFaults {
        self.faults
    }

    /// Takes note of one lost reply. True if the reply to a start is lost.
    pub fn take_lost_start_reply(&mut self) -> bool {
        let lost = self.faults.lost_start_replies > 0;
        self.faults.lost_start_replies = self.faults.lost_start_replies.saturating_sub(1);
        lost
    }

    /// What the worker has done so far.
    pub fn stats(&self) -> WorkerStats {
        self.stats
    }

    /// The highest epoch seen.
    pub fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Changes of what organisations occupy, in order of time.
    pub fn history(&self) -> &[RunningSample] {
        &self.history
    }

    /// Polls the worker. Renews the leases of all tasks to `renew_ms` from
    /// now, forgets acknowledged ends, and issues a ticket. None if a higher
    /// epoch was seen.
    pub fn poll(
        &mut self,
        now: TimeMs,
        epoch: Epoch,
        renew_ms: u64,
        acknowledged: &[String],
    ) -> Option<PollAnswer> {
        self.advance(now);
        if !self.admit_epoch(epoch) {
            return None;
        }
        for name in acknowledged {
            if self.tasks.get(name).is_some_and(|task| task.state().is_ended()) {
                self.tasks.remove(name);
            }
        }
        for task in self.tasks.values_mut() {
            task.renew(now.plus(renew_ms));
        }
        let lag_ms = self.settings.usage_lag_ms;
        let report = |(name, task): (&String, &Task)| TaskReport {
            task: name.clone(),
            organisation: task.organisation(),
            state: task.state(),
            request: task.request(),
            used: task.used_before(now, lag_ms),
            age_ms: now.since(task.started_at()),
        };
        let tasks = self.tasks.iter().map(report).collect();
        Some(PollAnswer { ticket: self.issue_ticket(now), tasks })
    }

    /// Starts a task, if epoch and ticket allow it and it fits.
    pub fn start(&mut self, now: TimeMs, start: &TaskStart) -> StartResult {
        self.advance(now);
        if !self.admit_epoch(start.epoch) {
            return StartResult::OldEpoch;
        }
        if self.tasks.contains_key(&start.task) {
            return StartResult::Known;
        }
        if !self.ticket_is_valid(now, start.ticket) {
            self.stats.old_tickets += 1;
            return StartResult::OldTicket;
        }
        let fail_after_ms = self.faults.fail_tasks_after_ms;
        let task = Task::new(now, start, self.settings.default_run_ms, fail_after_ms);
        if !self.used().saturating_add(task.used()).fits_in(self.settings.capacity) {
            self.stats.no_room += 1;
            return StartResult::NoRoom;
        }
        self.stats.started += 1;
        let organisation = task.organisation();
        self.tasks.insert(start.task.clone(), task);
        self.note(now, organisation);
        StartResult::Started
    }

    /// Acts on a running task. False if the epoch is too low, the task does
    /// not run, or it does not fit without its throttle.
    pub fn control(&mut self, now: TimeMs, epoch: Epoch, name: &str, action: TaskAction) -> bool {
        self.advance(now);
        if !self.admit_epoch(epoch) {
            return false;
        }
        let Some(task) = self.tasks.get(name).filter(|task| !task.state().is_ended()) else {
            return false;
        };
        let mut changed = task.clone();
        let end_at = now.plus(self.settings.checkpoint_ms);
        match action {
            TaskAction::Throttle => changed.throttle(now, true),
            TaskAction::Unthrottle => changed.throttle(now, false),
            TaskAction::Checkpoint => changed.end_later(end_at, TaskState::Checkpointed),
            TaskAction::Stop => changed.end_later(end_at, TaskState::Stopped),
        }
        let others = self.used().saturating_sub(task.used());
        if !others.saturating_add(changed.used()).fits_in(self.settings.capacity) {
            return false;
        }
        let organisation = changed.organisation();
        self.tasks.insert(name.to_owned(), changed);
        self.note(now, organisation);
        self.advance(now);
        true
    }

    /// When the next task ends without a call, if any does.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.next_end().map(|(at, _, _)| at)
    }

    /// Ends the tasks that end until `now`.
    pub fn advance(&mut self, now: TimeMs) {
        while let Some((at, name, state)) = self.next_end() {
            if at > now {
                break;
            }
            let Some(task) = self.tasks.get_mut(&name) else { break };
            if task.lease_until() <= at && state == TaskState::Stopped {
                self.stats.leases_expired += 1;
            }
            task.end(at, state);
            let organisation = task.organisation();
            self.note(at, organisation);
        }
    }

    /// A ticket for the next starts.
    pub fn issue_ticket(&mut self, now: TimeMs) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.push_back((ticket, now));
        let expired = |issued: TimeMs| now.since(issued) >= self.settings.ticket_ms;
        while self.tickets.front().is_some_and(|(_, issued)| expired(*issued)) {
            self.tickets.pop_front();
        }
        ticket
    }

    fn ticket_is_valid(&self, now: TimeMs, ticket: u64) -> bool {
        let fresh = |issued: TimeMs| now.since(issued) < self.settings.ticket_ms;
        self.tickets.iter().any(|(known, issued)| *known == ticket && fresh(*issued))
    }

    fn admit_epoch(&mut self, epoch: Epoch) -> bool {
        if epoch < self.highest_epoch {
            self.stats.old_epochs += 1;
            return false;
        }
        self.highest_epoch = epoch;
        true
    }

    fn next_end(&self) -> Option<(TimeMs, String, TaskState)> {
        let ends = self.tasks.iter().filter_map(|(name, task)| {
            let (at, state) = task.next_end()?;
            Some((at, name, state))
        });
        let (at, name, state) = ends.min_by_key(|(at, name, _)| (*at, *name))?;
        Some((at, name.clone(), state))
    }

    fn used(&self) -> Resources {
        self.tasks.values().fold(Resources::ZERO, |sum, task| sum.saturating_add(task.used()))
    }

    /// Records what an organisation occupies, and checks that the tasks fit.
    fn note(&mut self, at: TimeMs, organisation: OrganisationId) {
        let used = self.used();
        assert!(
            used.fits_in(self.settings.capacity),
            "tasks use {used} on a worker of {}",
            self.settings.capacity
        );
        let (requested, zero) = (Resources::ZERO, Resources::ZERO);
        let mut sample = RunningSample { at, organisation, tasks: 0, requested, used: zero };
        let running =
            |task: &&Task| task.organisation() == organisation && !task.state().is_ended();
        for task in self.tasks.values().filter(running) {
            sample.tasks += 1;
            sample.requested = sample.requested.saturating_add(task.request());
            sample.used = sample.used.saturating_add(task.used());
        }
        self.history.push(sample);
    }
}
