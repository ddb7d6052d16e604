//! State of a worker: epochs, tickets, task leases and the usage of its tasks.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::worker_task::Task;
use crate::worker_task::TaskState;

/// Settings of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSettings {
    /// Resources that its tasks can use at the same time.
    pub capacity: Resources,
    /// Delay after which the usage of a task is reported.
    pub usage_lag_ms: u64,
    /// Time for which a ticket is valid.
    pub ticket_ms: u64,
    /// Time that a task takes to checkpoint or to stop.
    pub checkpoint_ms: u64,
    /// Run time of a task whose payload does not specify one.
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

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Time by which every call is delayed before it takes effect.
    pub delay_ms: u64,
    /// Run time after which every started task fails.
    pub fail_tasks_after_ms: Option<u64>,
    /// Number of next starts that take effect but whose reply is lost.
    pub lost_start_replies: u32,
}

/// A request to start a task.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// Fencing token of the partition's owner.
    pub epoch: Epoch,
    /// Ticket that the worker issued for starts.
    pub ticket: u64,
    /// Name of the task.
    pub task: String,
    /// Organisation that owns the task.
    pub organisation: OrganisationId,
    /// Requested resources.
    pub request: Resources,
    /// Describes what the task does; see [`crate::worker_task::Work`].
    pub payload: String,
    /// Time for which the task runs unless a poll renews its lease.
    pub lease_ms: u64,
}

/// Result of a request to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The task was started.
    Started,
    /// The worker already has a task of this name.
    Known,
    /// The worker has seen a higher epoch.
    OldEpoch,
    /// The ticket is unknown or has expired.
    OldTicket,
    /// The free resources do not suffice for the task.
    NoRoom,
}

/// Action of an owner on a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Halves its CPU time and thereby its progress.
    Throttle,
    /// Restores its full CPU time.
    Unthrottle,
    /// Saves its progress and stops it.
    Checkpoint,
    /// Stops it without saving its progress.
    Stop,
}

/// Answer to a poll whose epoch the worker accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// Ticket for the next starts.
    pub ticket: u64,
    /// All running tasks, and ended tasks whose end is not acknowledged.
    pub tasks: Vec<TaskReport>,
}

/// Report on one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Name of the task.
    pub task: String,
    /// Organisation that owns the task.
    pub organisation: OrganisationId,
    /// State of the task.
    pub state: TaskState,
    /// Requested resources.
    pub request: Resources,
    /// Resources that the task used one usage lag ago; `None` if it started
    /// later.
    pub used: Option<Resources>,
    /// Time since the start of the task.
    pub age_ms: u64,
}

/// Resources that the tasks of one organisation occupy on a worker from a time
/// on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningSample {
    /// Time from which the sample holds.
    pub at: TimeMs,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Number of running tasks.
    pub tasks: u32,
    /// Sum of their requested resources.
    pub requested: Resources,
    /// Sum of the resources that they use.
    pub used: Resources,
}

/// Counters of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStats {
    /// Tasks started.
    pub started: u64,
    /// Calls refused because their epoch is too low.
    pub old_epochs: u64,
    /// Starts refused because their ticket is unknown or has expired.
    pub old_tickets: u64,
    /// Starts refused for lack of free resources.
    pub no_room: u64,
    /// Tasks stopped because their lease expired.
    pub leases_expired: u64,
}

/// State of one worker.
#[derive(Debug)]
pub struct WorkerAgent {
    settings: WorkerSettings,
    faults: WorkerFaults,
    highest_epoch: Epoch,
    next_ticket: u64,
    /// Tickets that may still be valid, with the time at which they were
    /// issued.
    tickets: VecDeque<(u64, TimeMs)>,
    tasks: BTreeMap<String, Task>,
    history: Vec<RunningSample>,
    stats: WorkerStats,
}

impl WorkerAgent {
    /// Creates a worker without tasks. `first_ticket` must differ between the
    /// incarnations of a worker, so that a start sent before a reboot has no
    /// effect after it.
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

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> WorkerFaults {
        self.faults
    }

    /// Counts down the lost replies. Returns true if the reply to the present
    /// start is to be lost.
    pub fn take_lost_start_reply(&mut self) -> bool {
        let lost = self.faults.lost_start_replies > 0;
        self.faults.lost_start_replies = self.faults.lost_start_replies.saturating_sub(1);
        lost
    }

    /// Returns the counters of the worker.
    pub fn stats(&self) -> WorkerStats {
        self.stats
    }

    /// Returns the highest epoch seen.
    pub fn highest_epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Returns the changes of the resources that organisations occupy, in order
    /// of time.
    pub fn history(&self) -> &[RunningSample] {
        &self.history
    }

    /// Handles a poll: renews the leases of all tasks until `renew_ms` from
    /// now, removes ended tasks whose end is acknowledged, and issues a ticket.
    /// Returns `None` if the worker has seen a higher epoch.
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
            used: task.lagged_usage(now, lag_ms),
            age_ms: now.since(task.started_at()),
        };
        let tasks = self.tasks.iter().map(report).collect();
        Some(PollAnswer { ticket: self.issue_ticket(now), tasks })
    }

    /// Starts a task if its epoch and ticket are valid and the free resources
    /// suffice.
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
        self.record_sample(now, organisation);
        StartResult::Started
    }

    /// Applies an action to a running task. Returns false if the epoch is too
    /// low, the task is not running, or the free resources do not suffice to
    /// unthrottle it.
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
            TaskAction::Checkpoint => changed.schedule_end(end_at, TaskState::Checkpointed),
            TaskAction::Stop => changed.schedule_end(end_at, TaskState::Stopped),
        }
        let others = self.used().saturating_sub(task.used());
        if !others.saturating_add(changed.used()).fits_in(self.settings.capacity) {
            return false;
        }
        let organisation = changed.organisation();
        self.tasks.insert(name.to_owned(), changed);
        self.record_sample(now, organisation);
        self.advance(now);
        true
    }

    /// Returns the time at which the next task ends if there is no call before,
    /// or `None` if no task runs.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.next_end().map(|(at, _, _)| at)
    }

    /// Ends the tasks that are due to end by `now`.
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
            self.record_sample(at, organisation);
        }
    }

    /// Issues a ticket for the next starts and drops expired ones.
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

    /// Records what an organisation occupies, and panics if the tasks use more
    /// than the capacity.
    fn record_sample(&mut self, at: TimeMs, organisation: OrganisationId) {
        let used = self.used();
        assert!(
            used.fits_in(self.settings.capacity),
            "tasks use {used}, which exceeds the capacity {}",
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
