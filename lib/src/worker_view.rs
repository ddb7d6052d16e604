//! What the owner of a partition knows about a worker and its tasks.

use std::collections::BTreeMap;

use crate::job::TaskAction;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::job_class::ClassTable;
use crate::job_class::JobClass;
use crate::resources::Resources;
use crate::scheduler_decision::ControlReason;
use crate::scheduler_event::TaskReport;
use crate::scheduler_event::WorkerReport;
use crate::scheduler_event::WorkerService;
use crate::scheduler_event::WorkerSpec;
use crate::time::TimeMs;

/// Added to the lease before its tasks count as gone, for clocks that differ
/// in rate and for the way of the last poll.
pub(crate) const LEASE_MARGIN_MS: u64 = 1_000;

/// A worker accepts a start for this time after it gave out the ticket, 2.0 s,
/// and a tenth more for clocks that differ in rate.
pub(crate) const TICKET_MS: u64 = 2_200;

/// Age at which observed use of a task stands for its class; tasks that have
/// just started read their input and show little use.
const SAMPLE_MIN_AGE_MS: u64 = 5_000;

/// A throttled task counts with this part of its processor time, in
/// thousandths.
const THROTTLED_CPU_MILLI: u64 = 250;

/// How far a task is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// The start was sent and its effect is not known.
    Starting,
    /// The worker reported the state.
    Reported(TaskState),
}

/// An action that was sent and has not shown in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingAction {
    pub(crate) action: TaskAction,
    pub(crate) reason: ControlReason,
    pub(crate) since: TimeMs,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) request: Resources,
    pub(crate) class: JobClass,
    pub(crate) phase: TaskPhase,
    pub(crate) used: Option<Resources>,
    pub(crate) started_at: TimeMs,
    /// Only a report of a later poll can tell that the task is gone.
    pub(crate) last_confirmed_at: TimeMs,
    pub(crate) pending: Option<PendingAction>,
    /// True once it was told to end, so that its end is no loss.
    pub(crate) stop_sent: bool,
    pub(crate) sampled: bool,
    /// True once it counts as having survived on this worker.
    pub(crate) survived: bool,
}

impl Task {
    /// True if the task uses its worker, or may.
    pub(crate) fn is_live(&self) -> bool {
        match self.phase {
            TaskPhase::Starting => true,
            TaskPhase::Reported(state) => state.is_live(),
        }
    }

    /// True if the task is on its way out.
    pub(crate) fn is_ending(&self) -> bool {
        self.pending.is_some_and(|pending| match pending.action {
            TaskAction::Checkpoint | TaskAction::Stop => true,
            TaskAction::Throttle | TaskAction::Unthrottle => false,
        })
    }

    /// What the task uses at full speed.
    pub(crate) fn full_size(&self, classes: &ClassTable) -> Resources {
        let estimate = classes.estimate(&self.class, self.request);
        match (self.phase, self.used) {
            (TaskPhase::Reported(TaskState::Running), Some(used)) => estimate.max(used),
            (TaskPhase::Reported(_) | TaskPhase::Starting, _) => estimate,
        }
    }

    /// What the task uses now.
    pub(crate) fn size(&self, classes: &ClassTable) -> Resources {
        match self.phase {
            TaskPhase::Reported(TaskState::Throttled) => throttled(self.full_size(classes)),
            TaskPhase::Reported(state) if !state.is_live() => Resources::ZERO,
            TaskPhase::Reported(_) | TaskPhase::Starting => self.full_size(classes),
        }
    }
}

/// What a task of a size uses while it is throttled.
pub(crate) fn throttled(size: Resources) -> Resources {
    Resources { cpu_milli: size.scaled_up(THROTTLED_CPU_MILLI, 1_000).cpu_milli, ..size }
}

/// A worker of the partition.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) tasks: BTreeMap<TaskId, Task>,
    /// When the poll of the last report was sent; `None` before the first.
    pub(crate) polled_at: Option<TimeMs>,
    pub(crate) ticket: u64,
    pub(crate) silent_since: Option<TimeMs>,
    /// Since when the worker is not part of the partition.
    pub(crate) left_since: Option<TimeMs>,
    /// True if a former owner may have started tasks that are not known.
    pub(crate) inherited: bool,
    /// Until then the worker is filled by declared sizes only, since it
    /// refused a start for lack of room.
    pub(crate) declared_sizes_until: TimeMs,
    /// Nothing is started before.
    pub(crate) backoff_until: TimeMs,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, inherited: bool) -> Self {
        Self {
            spec,
            tasks: BTreeMap::new(),
            polled_at: None,
            ticket: 0,
            silent_since: None,
            left_since: None,
            inherited,
            declared_sizes_until: TimeMs(0),
            backoff_until: TimeMs(0),
        }
    }

    /// True if the worker's content is known and it takes new work.
    pub(crate) fn is_open(&self) -> bool {
        self.spec.service == WorkerService::Open
            && self.spec.data_centre_in_service
            && self.left_since.is_none()
            && self.silent_since.is_none()
            && self.polled_at.is_some()
    }

    pub(crate) fn live_tasks(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.tasks.iter().filter(|(_, task)| task.is_live())
    }

    /// Room beside tasks of these sizes, and by their declared sizes as well
    /// if the worker refused a start lately.
    pub(crate) fn free(&self, now: TimeMs, sizes: Resources) -> Resources {
        let by_size = self.spec.capacity.saturating_sub(sizes);
        if !self.uses_declared_sizes(now) {
            return by_size;
        }
        let requests = self
            .live_tasks()
            .fold(Resources::ZERO, |sum, (_, task)| sum.saturating_add(task.request));
        by_size.min(self.spec.capacity.saturating_sub(requests))
    }

    pub(crate) fn uses_declared_sizes(&self, now: TimeMs) -> bool {
        now < self.declared_sizes_until
    }

    /// What a task is expected to use on this worker. A task that fits by its
    /// declared size can use no more than the worker has.
    pub(crate) fn size_of(
        &self,
        now: TimeMs,
        class: &JobClass,
        request: Resources,
        classes: &ClassTable,
    ) -> Resources {
        let mut size = classes.estimate(class, request);
        if self.uses_declared_sizes(now) {
            size = size.max(request);
        }
        if request.fits_in(self.spec.capacity) { size.min(self.spec.capacity) } else { size }
    }

    /// Takes over a report. Returns the tasks that are known to be gone, in
    /// the phase they were in. A report that is older than the last is passed
    /// over, since answers may overtake each other. Sets `changed` if a task
    /// has a new phase.
    pub(crate) fn apply_report(
        &mut self,
        now: TimeMs,
        report: WorkerReport,
        classes: &mut ClassTable,
        changed: &mut bool,
    ) -> Vec<(TaskId, Task)> {
        if self.polled_at.is_some_and(|last| report.polled_at < last) {
            return Vec::new();
        }
        self.polled_at = Some(report.polled_at);
        self.ticket = report.ticket;
        self.silent_since = None;
        self.inherited = false;
        let mut absent = std::mem::take(&mut self.tasks);
        for entry in report.tasks {
            let known = absent.remove(&entry.task);
            let phase = known.as_ref().map(|task| task.phase);
            let task = merge_report(now, known, &entry, classes);
            *changed |= phase != Some(task.phase);
            self.tasks.insert(entry.task, task);
        }
        let (kept, gone): (BTreeMap<_, _>, BTreeMap<_, _>) =
            absent.into_iter().partition(|(_, task)| may_exist(task, report.polled_at));
        self.tasks.extend(kept);
        gone.into_iter().collect()
    }
}

/// True if a task that a report does not list may still run: the poll was sent
/// before the start could have taken effect.
fn may_exist(task: &Task, polled_at: TimeMs) -> bool {
    match task.phase {
        TaskPhase::Starting => polled_at < task.last_confirmed_at.plus(TICKET_MS),
        TaskPhase::Reported(_) => polled_at <= task.last_confirmed_at,
    }
}

fn merge_report(
    now: TimeMs,
    known: Option<Task>,
    entry: &TaskReport,
    classes: &mut ClassTable,
) -> Task {
    let mut task = known.unwrap_or_else(|| Task {
        request: entry.request,
        class: JobClass::from(&entry.task.job),
        phase: TaskPhase::Reported(entry.state),
        used: None,
        started_at: now.minus(entry.age_ms),
        last_confirmed_at: now,
        pending: None,
        stop_sent: false,
        sampled: false,
        survived: false,
    });
    // The state before a poll that was sent earlier is out of date.
    let stale = matches!(task.phase, TaskPhase::Reported(state) if !state.is_live())
        && entry.state.is_live();
    if !stale {
        task.phase = TaskPhase::Reported(entry.state);
    }
    // Polls may overtake each other on their way to the worker, so only one
    // that is sent from now on can tell that the task is gone.
    task.last_confirmed_at = now;
    task.used = Some(entry.used);
    if entry.state == TaskState::Running && entry.age_ms >= SAMPLE_MIN_AGE_MS {
        classes.observe(&task.class, entry.request, entry.used, !task.sampled);
        task.sampled = true;
    }
    task.pending = task.pending.filter(|pending| !has_taken_effect(pending.action, entry.state));
    task
}

fn has_taken_effect(action: TaskAction, state: TaskState) -> bool {
    match action {
        TaskAction::Throttle => state != TaskState::Running,
        TaskAction::Unthrottle => state != TaskState::Throttled,
        TaskAction::Checkpoint | TaskAction::Stop => !state.is_live(),
    }
}
