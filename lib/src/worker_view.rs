//! The view that the owner of a partition has of a worker and its tasks.

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

/// Time added to the lease before its tasks are treated as lost. It covers
/// clocks that run at different rates and the transit time of the last poll.
pub(crate) const LEASE_MARGIN_MS: u64 = 1_000;

/// Time after which no start with a ticket is accepted: a ticket is valid on
/// its worker for 2.0 s, and a tenth is added for clocks that run at different
/// rates.
pub(crate) const TICKET_MS: u64 = 2_200;

/// Age from which the observed use of a task is a sample for its class. Tasks
/// that have just started read their input and use little.
const SAMPLE_MIN_AGE_MS: u64 = 5_000;

/// Part of its processor time that a throttled task is expected to use, in
/// thousandths.
const THROTTLED_CPU_MILLI: u64 = 250;

/// Known phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// The start was sent, and its effect is not known yet.
    Starting,
    /// The worker reported this state.
    Reported(TaskState),
}

/// An action that was sent and whose effect no report shows yet.
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
    /// Time of the start or of the last report that lists the task. Only the
    /// answer to a later poll shows that the task is gone.
    pub(crate) last_confirmed_at: TimeMs,
    pub(crate) pending: Option<PendingAction>,
    /// True once a stop was sent, so that its stopped state does not count as
    /// the loss of the worker.
    pub(crate) stop_sent: bool,
    pub(crate) sampled: bool,
    /// True once its good run is recorded in the worker's health.
    pub(crate) survived: bool,
}

impl Task {
    /// True if the task uses resources of its worker, or may.
    pub(crate) fn is_live(&self) -> bool {
        match self.phase {
            TaskPhase::Starting => true,
            TaskPhase::Reported(state) => state.is_live(),
        }
    }

    /// True if a checkpoint or stop was sent and the task has not ended yet.
    pub(crate) fn is_ending(&self) -> bool {
        self.pending.is_some_and(|pending| match pending.action {
            TaskAction::Checkpoint | TaskAction::Stop => true,
            TaskAction::Throttle | TaskAction::Unthrottle => false,
        })
    }

    /// Expected use of the task when it is not throttled.
    pub(crate) fn full_size(&self, classes: &ClassTable) -> Resources {
        let estimate = classes.estimate(&self.class, self.request);
        match (self.phase, self.used) {
            (TaskPhase::Reported(TaskState::Running), Some(used)) => estimate.max(used),
            (TaskPhase::Reported(_) | TaskPhase::Starting, _) => estimate,
        }
    }

    /// Expected use of the task in its present state.
    pub(crate) fn size(&self, classes: &ClassTable) -> Resources {
        match self.phase {
            TaskPhase::Reported(TaskState::Throttled) => throttled(self.full_size(classes)),
            TaskPhase::Reported(state) if !state.is_live() => Resources::ZERO,
            TaskPhase::Reported(_) | TaskPhase::Starting => self.full_size(classes),
        }
    }
}

/// Expected use of a throttled task whose full size is `size`.
pub(crate) fn throttled(size: Resources) -> Resources {
    Resources { cpu_milli: size.scaled_up(THROTTLED_CPU_MILLI, 1_000).cpu_milli, ..size }
}

/// A worker of the partition.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) tasks: BTreeMap<TaskId, Task>,
    /// Time at which the poll of the last report was sent; `None` before the
    /// first report.
    pub(crate) polled_at: Option<TimeMs>,
    pub(crate) ticket: u64,
    pub(crate) unreachable_since: Option<TimeMs>,
    /// Time since which the worker is not part of the partition.
    pub(crate) left_since: Option<TimeMs>,
    /// True until the worker's first report to a new owner: the former owner
    /// may have started tasks that are not known yet.
    pub(crate) inherited: bool,
    /// Time until which tasks count with at least their declared sizes, since
    /// the worker refused a start because it had no free capacity.
    pub(crate) declared_sizes_until: TimeMs,
    /// Time before which no job is started on the worker.
    pub(crate) backoff_until: TimeMs,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, inherited: bool) -> Self {
        Self {
            spec,
            tasks: BTreeMap::new(),
            polled_at: None,
            ticket: 0,
            unreachable_since: None,
            left_since: None,
            inherited,
            declared_sizes_until: TimeMs(0),
            backoff_until: TimeMs(0),
        }
    }

    /// True if the worker's tasks are known and it takes new work.
    pub(crate) fn is_open(&self) -> bool {
        self.spec.service == WorkerService::Open
            && self.spec.data_centre_in_service
            && self.left_since.is_none()
            && self.unreachable_since.is_none()
            && self.polled_at.is_some()
    }

    pub(crate) fn live_tasks(&self) -> impl Iterator<Item = (&TaskId, &Task)> {
        self.tasks.iter().filter(|(_, task)| task.is_live())
    }

    /// Free capacity beside tasks whose sizes sum up to `sizes`. If the worker
    /// refused a start lately, the declared sizes must fit as well.
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

    /// Expected use of a task on this worker. A task whose declared size fits
    /// counts with at most the worker's capacity.
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

    /// Applies a report. Returns the tasks that are no longer on the worker,
    /// in their last known phase. A report whose poll was sent before that of
    /// the last one is ignored, since answers may overtake each other. Sets
    /// `changed` if a task has a new phase.
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
        self.unreachable_since = None;
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
/// before the last time at which the start could take effect, or before the
/// last report that lists the task arrived.
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
    // The report may be older than the one that reported the end of the task.
    let stale = matches!(task.phase, TaskPhase::Reported(state) if !state.is_live())
        && entry.state.is_live();
    if !stale {
        task.phase = TaskPhase::Reported(entry.state);
    }
    // Polls may overtake each other on their way to the worker, so only a poll
    // that is sent from now on can show that the task is gone.
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
