//! A task on a worker: its run time, resource usage and end.

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::worker_agent::TaskStart;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task runs with half of its CPU time.
    Throttled,
    /// The task saved its progress and ended.
    Checkpointed,
    /// The task ended successfully.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped by its owner, or because its lease expired.
    Stopped,
}

impl TaskState {
    /// Returns true if the task no longer runs.
    pub fn is_ended(self) -> bool {
        match self {
            Self::Running | Self::Throttled => false,
            Self::Checkpointed | Self::Succeeded | Self::Failed | Self::Stopped => true,
        }
    }
}

/// What a task does. Its payload specifies this in fields of the form
/// `name=number`, for example `run_ms=3000 cpu_milli=500 fails=1`. Without such
/// fields, the task uses the resources that it requests and succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Run time without throttling.
    pub run_ms: u64,
    /// Resources that the task uses.
    pub used: Resources,
    /// True if the task fails at its end.
    pub fails: bool,
}

impl Work {
    /// Parses a payload and ignores other fields and text. `requested` and
    /// `default_run_ms` are the defaults.
    pub fn parse(payload: &str, requested: Resources, default_run_ms: u64) -> Self {
        let mut work = Self { run_ms: default_run_ms, used: requested, fails: false };
        let fields = payload.split_whitespace().filter_map(|field| field.split_once('='));
        for (name, number) in fields {
            let Ok(number) = number.parse::<u64>() else { continue };
            match name {
                "run_ms" => work.run_ms = number,
                "cpu_milli" => work.used.cpu_milli = number,
                "memory_bytes" => work.used.memory_bytes = number,
                "accelerators" => {
                    work.used.accelerators = u32::try_from(number).unwrap_or(u32::MAX);
                }
                "fails" => work.fails = number != 0,
                _ => {}
            }
        }
        work
    }
}

/// A task on a worker, running or ended.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    organisation: OrganisationId,
    request: Resources,
    work: Work,
    state: TaskState,
    started_at: TimeMs,
    lease_until: TimeMs,
    /// Remaining run time without throttling, as of `progress_updated_at`.
    remaining_ms: u64,
    progress_updated_at: TimeMs,
    /// Time and state of the end that a checkpoint or stop leads to.
    scheduled_end: Option<(TimeMs, TaskState)>,
    /// Resources that the task uses, with the time from which on it uses them.
    usage: Vec<(TimeMs, Resources)>,
}

impl Task {
    pub(crate) fn new(
        now: TimeMs,
        start: &TaskStart,
        default_run_ms: u64,
        fail_after_ms: Option<u64>,
    ) -> Self {
        let mut work = Work::parse(&start.payload, start.request, default_run_ms);
        if let Some(fail_after_ms) = fail_after_ms {
            work = Work { run_ms: fail_after_ms, fails: true, ..work };
        }
        Self {
            organisation: start.organisation,
            request: start.request,
            work,
            state: TaskState::Running,
            started_at: now,
            lease_until: now.plus(start.lease_ms),
            remaining_ms: work.run_ms,
            progress_updated_at: now,
            scheduled_end: None,
            usage: vec![(now, work.used)],
        }
    }

    pub(crate) fn organisation(&self) -> OrganisationId {
        self.organisation
    }

    pub(crate) fn request(&self) -> Resources {
        self.request
    }

    pub(crate) fn state(&self) -> TaskState {
        self.state
    }

    pub(crate) fn started_at(&self) -> TimeMs {
        self.started_at
    }

    pub(crate) fn lease_until(&self) -> TimeMs {
        self.lease_until
    }

    pub(crate) fn renew(&mut self, until: TimeMs) {
        self.lease_until = self.lease_until.max(until);
    }

    /// Returns the resources that the task uses now.
    pub(crate) fn used(&self) -> Resources {
        self.usage.last().map_or(Resources::ZERO, |(_, used)| *used)
    }

    /// Returns the resources that the task used `lag_ms` ago, or `None` if it
    /// had not started then.
    pub(crate) fn lagged_usage(&self, now: TimeMs, lag_ms: u64) -> Option<Resources> {
        let known = |(from, _): &&(TimeMs, Resources)| from.plus(lag_ms) <= now;
        self.usage.iter().rev().find(known).map(|(_, used)| *used)
    }

    /// Returns when and in which state the task ends unless a call changes
    /// that, or `None` if it has ended.
    pub(crate) fn next_end(&self) -> Option<(TimeMs, TaskState)> {
        if self.state.is_ended() {
            return None;
        }
        let done = if self.work.fails { TaskState::Failed } else { TaskState::Succeeded };
        let done_at = self.progress_updated_at.plus(self.remaining_ms * self.slowdown());
        let expiry = (self.lease_until, TaskState::Stopped);
        let ends = [Some((done_at, done)), self.scheduled_end, Some(expiry)];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Halves the CPU time of the task, or restores it.
    pub(crate) fn throttle(&mut self, now: TimeMs, throttled: bool) {
        self.remaining_ms -=
            (now.since(self.progress_updated_at) / self.slowdown()).min(self.remaining_ms);
        self.progress_updated_at = now;
        self.state = if throttled { TaskState::Throttled } else { TaskState::Running };
        let mut used = self.work.used;
        if throttled {
            used.cpu_milli /= 2;
        }
        self.usage.push((now, used));
    }

    /// Schedules the end of the task unless an earlier one is scheduled.
    pub(crate) fn schedule_end(&mut self, at: TimeMs, state: TaskState) {
        if self.scheduled_end.is_none_or(|(scheduled, _)| at < scheduled) {
            self.scheduled_end = Some((at, state));
        }
    }

    pub(crate) fn end(&mut self, at: TimeMs, state: TaskState) {
        self.state = state;
        self.usage.push((at, Resources::ZERO));
    }

    fn slowdown(&self) -> u64 {
        if self.state == TaskState::Throttled { 2 } else { 1 }
    }
}
