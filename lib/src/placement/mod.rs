//! The scheduler of one partition: its job queue, its view of the workers, and
//! its decisions.

mod check;
mod choice;
mod control;
mod preempt;
mod reconcile;
pub(crate) mod start;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::JobId;
use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::job::JobRef;
use crate::job::JobState;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::job_class::ClassTable;
use crate::job_queue::Job;
use crate::job_queue::JobQueue;
use crate::placement::start::Reservation;
use crate::quota::Quota;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_decision::WaitReason;
use crate::scheduler_event::JobOrigin;
use crate::scheduler_event::OrganisationView;
use crate::scheduler_event::SchedulerEvent;
use crate::scheduler_event::StartAnswer;
use crate::scheduler_event::TASK_LEASE_MS;
use crate::scheduler_event::WorkerReport;
use crate::scheduler_event::WorkerSpec;
use crate::time::TimeMs;
use crate::worker_health::HealthTable;
use crate::worker_view::Task;
use crate::worker_view::TaskPhase;
use crate::worker_view::Worker;

/// Time for which tasks count with at least their declared sizes on a worker
/// that refused a start because it had no free capacity.
const DECLARED_SIZES_ONLY_MS: u64 = 60_000;

/// Time for which no job is started on a worker that refused a start although
/// it should have accepted it, so that its refusals do not keep a job from
/// starting on another worker.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// A worker restart this long before an owner stopped may not have been
/// noticed or recorded by that owner: three polls and one batch of ends.
const UNRECORDED_RESTART_MS: u64 = 10_000;

/// The scheduler of one partition. The owner calls [`Scheduler::handle`] for
/// each event, and [`Scheduler::decide`] after events and at least every
/// 100 ms.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(crate) epoch: Option<Epoch>,
    pub(crate) gained_at: TimeMs,
    /// A worker that restarted less than this long before the ownership was
    /// gained may have run tasks that no owner knows of.
    pub(crate) uncertain_restart_ms: u64,
    pub(crate) starts_allowed: bool,
    pub(crate) next_attempt: u64,
    pub(crate) queue: JobQueue,
    pub(crate) workers: BTreeMap<VmId, Worker>,
    pub(crate) organisations: BTreeMap<OrganisationId, OrganisationState>,
    pub(crate) data_centres: BTreeMap<DataCentreId, DataCentreService>,
    pub(crate) classes: ClassTable,
    pub(crate) health: HealthTable,
    pub(crate) reservations: Vec<Reservation>,
    /// Tasks that are no longer on their workers and whose jobs are not yet
    /// reconciled.
    pub(crate) gone_tasks: Vec<GoneTask>,
    /// True if a worker left or restarted before it reported the former
    /// owner's tasks to this owner.
    pub(crate) unreported_worker_lost: bool,
    /// True if the states of jobs may not match their tasks.
    pub(crate) reconcile_needed: bool,
}

/// Configuration and grant of an organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrganisationState {
    pub(crate) view: Option<OrganisationView>,
    pub(crate) quota: Quota,
}

/// Whether a data centre is in service, and when it last returned to service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DataCentreService {
    pub(crate) in_service: bool,
    pub(crate) returned_at: Option<TimeMs>,
}

/// A task that is no longer on its worker.
#[derive(Clone, Debug)]
pub(crate) struct GoneTask {
    pub(crate) vm: VmId,
    pub(crate) id: TaskId,
    pub(crate) end: GoneTaskEnd,
}

/// How a task that is no longer on its worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GoneTaskEnd {
    /// The task never started.
    NotStarted,
    /// The task may have run, and its end is unknown.
    Lost,
    /// The worker had reported this end.
    Ended(TaskState),
}

/// State of an open job, for status and explanations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobStatus {
    /// State of the job.
    pub state: JobState,
    /// Why the job waits, if it is queued.
    pub wait: Option<WaitReason>,
    /// Time since the job entered the state.
    pub age_ms: u64,
}

impl Scheduler {
    /// Creates a scheduler that does not own its partition.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: TimeMs, event: SchedulerEvent) {
        match event {
            SchedulerEvent::OwnershipGained { epoch, since_former_owner_ms } => {
                self.gain_ownership(now, epoch, since_former_owner_ms);
            }
            SchedulerEvent::OwnershipLost => *self = Self::default(),
            SchedulerEvent::StartsAllowed(allowed) => self.starts_allowed = allowed,
            SchedulerEvent::JobAccepted { job, origin } => {
                self.queue.accept(now, job, origin);
                // A worker may have reported a task of the job already.
                self.reconcile_needed |= origin == JobOrigin::Inherited;
            }
            SchedulerEvent::JobCancelled(job) | SchedulerEvent::JobEnded(job) => {
                self.queue.remove(&job);
                self.reconcile_needed = true;
            }
            SchedulerEvent::OrganisationChanged { organisation, view } => {
                let state = self.organisations.entry(organisation).or_default();
                state.quota.set_limit(view.limit);
                state.view = Some(view);
            }
            SchedulerEvent::GrantChanged { organisation, amount, total } => {
                self.organisations.entry(organisation).or_default().quota.set_grant(amount, total);
            }
            SchedulerEvent::GrantChangeResolved { organisation, direction } => {
                self.organisations.entry(organisation).or_default().quota.resolve_change(direction);
            }
            SchedulerEvent::WorkerUpdated { vm, spec } => self.update_worker(now, vm, spec),
            SchedulerEvent::WorkerLeft { vm } => {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.left_since.get_or_insert(now);
                }
            }
            SchedulerEvent::WorkerReport { vm, report } => self.handle_report(now, vm, report),
            SchedulerEvent::WorkerUnreachable { vm } => {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.unreachable_since.get_or_insert(now);
                }
            }
            SchedulerEvent::StartAnswered { vm, task, answer, ticket } => {
                self.handle_start_answer(now, vm, &task, answer, ticket);
            }
        }
    }

    /// Returns the decisions that are due now.
    pub fn decide(&mut self, now: TimeMs) -> Vec<SchedulerDecision> {
        let mut decisions = Vec::new();
        if self.epoch.is_none() {
            return decisions;
        }
        self.expire_leases(now);
        self.reconcile(now, &mut decisions);
        self.control_tasks(now, &mut decisions);
        if self.start_blocker(now).is_none() {
            let mut round = self.new_start_round(now);
            self.start_jobs(now, &mut round, &mut decisions);
            self.change_grants(now, &round, &mut decisions);
        }
        decisions
    }

    /// Returns why no job may start at present, or `None` if jobs may start.
    pub(crate) fn start_blocker(&self, now: TimeMs) -> Option<WaitReason> {
        if self.epoch.is_none() || !self.starts_allowed {
            Some(WaitReason::StartsForbidden)
        } else if self.is_waiting_for_workers(now) {
            Some(WaitReason::WorkersUnknown)
        } else {
            None
        }
    }

    /// True while a worker on which the former owner may have started tasks
    /// has not answered, until the leases of such tasks have expired.
    pub(crate) fn is_waiting_for_workers(&self, now: TimeMs) -> bool {
        now < self.gained_at.plus(TASK_LEASE_MS)
            && self.workers.values().any(|worker| worker.inherited)
    }

    fn gain_ownership(&mut self, now: TimeMs, epoch: Epoch, since_former_owner_ms: u64) {
        self.epoch = Some(epoch);
        self.reconcile_needed = true;
        self.gained_at = now;
        self.uncertain_restart_ms = since_former_owner_ms.saturating_add(UNRECORDED_RESTART_MS);
        self.starts_allowed = false;
        self.next_attempt = 0;
        for worker in self.workers.values_mut() {
            worker.inherited = true;
            worker.polled_at = None;
            worker.tasks.clear();
        }
    }

    fn update_worker(&mut self, now: TimeMs, vm: VmId, spec: WorkerSpec) {
        let entry = self.data_centres.entry(spec.data_centre).or_insert(DataCentreService {
            in_service: spec.data_centre_in_service,
            returned_at: None,
        });
        if spec.data_centre_in_service && !entry.in_service {
            entry.returned_at = Some(now);
        }
        entry.in_service = spec.data_centre_in_service;
        let worker = self.workers.entry(vm).or_insert_with(|| Worker::new(spec, false));
        worker.spec = spec;
        if worker.left_since.take().is_some() {
            // The worker may have run tasks of another pool in the meantime.
            worker.polled_at = None;
        }
    }

    fn handle_report(&mut self, now: TimeMs, vm: VmId, report: WorkerReport) {
        let Some(worker) = self.workers.get_mut(&vm) else { return };
        // The answer to a poll from before the ownership was gained does not
        // list what the former owner started after it.
        if self.epoch.is_some() && report.polled_at < self.gained_at {
            return;
        }
        let up_ms = report.up_ms.unwrap_or(u64::MAX);
        let restarted =
            up_ms <= now.since(self.gained_at).saturating_add(self.uncertain_restart_ms);
        self.unreported_worker_lost |= worker.inherited && restarted;
        let gone = worker.apply_report(now, report, &mut self.classes, &mut self.reconcile_needed);
        self.gone_tasks.extend(gone.into_iter().map(|(id, task)| {
            let end = match task.phase {
                TaskPhase::Starting if up_ms <= now.since(task.started_at) => GoneTaskEnd::Lost,
                TaskPhase::Starting => GoneTaskEnd::NotStarted,
                TaskPhase::Reported(state) if state.is_live() => GoneTaskEnd::Lost,
                TaskPhase::Reported(state) => GoneTaskEnd::Ended(state),
            };
            GoneTask { vm, id, end }
        }));
    }

    fn handle_start_answer(
        &mut self,
        now: TimeMs,
        vm: VmId,
        id: &TaskId,
        answer: StartAnswer,
        ticket: Option<u64>,
    ) {
        let Some(worker) = self.workers.get_mut(&vm) else { return };
        let Some(task) = worker.tasks.get_mut(id) else { return };
        if task.phase != TaskPhase::Starting {
            return;
        }
        if let Some(ticket) = ticket {
            worker.ticket = ticket;
        }
        match answer {
            StartAnswer::Started | StartAnswer::Known => {
                mark_started(now, task);
                self.reconcile_needed = true;
            }
            StartAnswer::Unknown => {}
            StartAnswer::OldEpoch => {
                // Another owner has a higher epoch. The fold of the control
                // stream will report that the ownership is lost.
                self.starts_allowed = false;
                self.handle_refused_start(now, vm, id);
            }
            StartAnswer::OldTicket => {
                if ticket.is_none() {
                    worker.backoff_until = now.plus(REFUSAL_BACKOFF_MS);
                }
                self.handle_refused_start(now, vm, id);
            }
            StartAnswer::NoRoom => {
                if worker.uses_declared_sizes(now) {
                    worker.backoff_until = now.plus(REFUSAL_BACKOFF_MS);
                }
                worker.declared_sizes_until = now.plus(DECLARED_SIZES_ONLY_MS);
                self.handle_refused_start(now, vm, id);
            }
        }
    }

    fn handle_refused_start(&mut self, now: TimeMs, vm: VmId, id: &TaskId) {
        if let Some(worker) = self.workers.get_mut(&vm) {
            worker.tasks.remove(id);
        }
        if let Some(job) = self.queue.id(&id.job) {
            self.requeue(now, job, vm, id);
        }
    }

    /// Returns a job to the queue if `id` is its current attempt.
    pub(crate) fn requeue(&mut self, now: TimeMs, job: JobId, vm: VmId, id: &TaskId) {
        let current = JobState::Active { vm, attempt: id.attempt };
        if self.queue.get(job).is_some_and(|job| job.state == current) {
            self.queue.set_state(now, job, JobState::Queued);
        }
    }

    /// Status of an open job.
    pub fn job_status(&self, now: TimeMs, job: &JobRef) -> Option<JobStatus> {
        let job = self.queue.by_name(job)?;
        Some(self.status_of(now, job))
    }

    /// All open jobs with their status, in no particular order.
    pub fn jobs(&self, now: TimeMs) -> impl Iterator<Item = (&JobRef, JobStatus)> {
        self.queue.iter().map(move |(_, job)| (&job.spec.job, self.status_of(now, job)))
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.queue.len()
    }

    fn status_of(&self, now: TimeMs, job: &Job) -> JobStatus {
        let wait = match job.state {
            JobState::Queued => Some(self.start_blocker(now).unwrap_or(job.wait)),
            JobState::Active { .. } | JobState::Ending { .. } => None,
        };
        JobStatus { state: job.state, wait, age_ms: now.since(job.since) }
    }

    /// Workers to be polled at short intervals: they have not answered yet, or
    /// no report shows the effect of a start or an action.
    pub fn workers_to_poll_often(&self) -> BTreeSet<VmId> {
        let is_pending = |task: &Task| {
            task.pending.is_some() || (task.phase == TaskPhase::Starting && task.is_live())
        };
        self.workers
            .iter()
            .filter(|(_, worker)| {
                worker.unreachable_since.is_none()
                    && (worker.polled_at.is_none() || worker.tasks.values().any(is_pending))
            })
            .map(|(vm, _)| *vm)
            .collect()
    }
}

fn mark_started(now: TimeMs, task: &mut Task) {
    task.phase = TaskPhase::Reported(TaskState::Running);
    task.last_confirmed_at = now;
    task.started_at = now;
}
