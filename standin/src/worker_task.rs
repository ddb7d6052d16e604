//! A task on a worker: its run time, its usage and its end.

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::worker_agent::TaskStart;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It runs.
    Running,
    /// It runs with half the processor time.
    Throttled,
    /// It has saved its progress and ended.
    Checkpointed,
    /// It has ended well.
    Succeeded,
    /// It has failed.
    Failed,
    /// It was ended, by its owner or because its lease expired.
    Stopped,
}

impl TaskState {
    /// True if the task no longer runs.
    pub fn is_ended(self) -> bool {
        match self {
            Self::Running | Self::Throttled => false,
            Self::Checkpointed | Self::Succeeded | Self::Failed | Self::Stopped => true,
        }
    }
}

/// What a task does, as its payload says in words of the form `name=number`,
/// for example `run_ms=3000 cpu_milli=500 fails=1`. A payload without such
/// words is a task that uses what it declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Run time without throttling.
    pub run_ms: u64,
    /// What it uses.
    pub used: Resources,
    /// True if it fails at its end.
    pub fails: bool,
}

impl Work {
    /// The work that a payload describes.
    pub fn parse(payload: &str, declared: Resources, default_run_ms: u64) -> Self {
        let mut work = Self { run_ms: default_run_ms, used: declared, fails: false };
        let words = payload.split_whitespace().filter_map(|word| word.split_once('='));
        for (name, number) in words {
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

/// A task that a worker knows.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    organisation: OrganisationId,
    request: Resources,
    work: Work,
    state: TaskState,
    started_at: TimeMs,
    lease_until: TimeMs,
    /// Work left at `progressed_at`, as run time without throttling.
    left_ms: u64,
    progressed_at: TimeMs,
    /// An ordered end, which takes its time.
    ending: Option<(TimeMs, TaskState)>,
    /// What it used from which time on.
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
            left_ms: work.run_ms,
            progressed_at: now,
            ending: None,
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

    /// What the task uses now.
    pub(crate) fn used(&self) -> Resources {
        self.usage.last().map_or(Resources::ZERO, |(_, used)| *used)
    }

    /// What the task used `lag_ms` ago, if it ran then.
    pub(crate) fn used_before(&self, now: TimeMs, lag_ms: u64) -> Option<Resources> {
        let known = |(from, _): &&(TimeMs, Resources)| from.plus(lag_ms) <= now;
        self.usage.iter().rev().find(known).map(|(_, used)| *used)
    }

    /// When and how the task ends if nothing else happens.
    pub(crate) fn next_end(&self) -> Option<(TimeMs, TaskState)> {
        if self.state.is_ended() {
            return None;
        }
        let done = if self.work.fails { TaskState::Failed } else { TaskState::Succeeded };
        let done_at = self.progressed_at.plus(self.left_ms * self.ms_per_progress());
        let expiry = (self.lease_until, TaskState::Stopped);
        let ends = [Some((done_at, done)), self.ending, Some(expiry)];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Halves the processor time of the task, or gives it back in full.
    pub(crate) fn throttle(&mut self, now: TimeMs, throttled: bool) {
        self.left_ms -= (now.since(self.progressed_at) / self.ms_per_progress()).min(self.left_ms);
        self.progressed_at = now;
        self.state = if throttled { TaskState::Throttled } else { TaskState::Running };
        let mut used = self.work.used;
        if throttled {
            used.cpu_milli /= 2;
        }
        self.usage.push((now, used));
    }

    /// Orders an end, unless an earlier one is ordered.
    pub(crate) fn end_later(&mut self, at: TimeMs, state: TaskState) {
        if self.ending.is_none_or(|(ordered, _)| at < ordered) {
            self.ending = Some((at, state));
        }
    }

    pub(crate) fn end(&mut self, at: TimeMs, state: TaskState) {
        self.state = state;
        self.usage.push((at, Resources::ZERO));
    }

    fn ms_per_progress(&self) -> u64 {
        if self.state == TaskState::Throttled { 2 } else { 1 }
    }
}
