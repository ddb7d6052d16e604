//! Reconciliation of jobs with their tasks: jobs end or return to the queue
//! when their tasks end, fail or are lost.

use crate::ids::JobId;
use crate::ids::VmId;
use crate::job::JobOutcome;
use crate::job::JobState;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::placement::GoneTask;
use crate::placement::GoneTaskEnd;
use crate::placement::Scheduler;
use crate::scheduler_decision::EndReason;
use crate::scheduler_decision::QuarantineReason;
use crate::scheduler_decision::ReleaseReason;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_event::JobOrigin;
use crate::scheduler_event::TASK_LEASE_MS;
use crate::time::TimeMs;
use crate::worker_health::HealthChange;
use crate::worker_health::SURVIVAL_MS;
use crate::worker_health::WorkerHealth;
use crate::worker_view::LEASE_MARGIN_MS;
use crate::worker_view::TaskPhase;

/// Delay after the first failed attempt; it doubles with each further one.
/// Failures of several jobs on a bad worker can then add up to a quarantine
/// before a job is started there again.
const BACKOFF_MS: u64 = 1_000;

/// Largest number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which the end of a job is decided again if it is not in the
/// stream, since the batch that held it may be lost.
const END_RETRY_MS: u64 = 30_000;

impl Scheduler {
    /// Treats the tasks of workers that are unreachable or have left as lost
    /// once their leases have expired, and removes workers that left.
    pub(crate) fn expire_leases(&mut self, now: TimeMs) {
        let mut removed = Vec::new();
        for (vm, worker) in &mut self.workers {
            let since = match (worker.unreachable_since, worker.left_since) {
                (Some(unreachable), Some(left)) => Some(unreachable.min(left)),
                (unreachable, left) => unreachable.or(left),
            };
            let expired =
                since.is_some_and(|since| now.since(since) >= TASK_LEASE_MS + LEASE_MARGIN_MS);
            if expired {
                worker.polled_at = None;
                for (id, task) in std::mem::take(&mut worker.tasks) {
                    let end = match task.phase {
                        TaskPhase::Reported(state) if !state.is_live() => GoneTaskEnd::Ended(state),
                        TaskPhase::Reported(_) | TaskPhase::Starting => GoneTaskEnd::Lost,
                    };
                    self.gone_tasks.push(GoneTask { vm: *vm, id, end });
                }
            }
            let is_empty = worker.tasks.is_empty() && worker.polled_at.is_some();
            if worker.left_since.is_some() && (expired || is_empty) {
                removed.push(*vm);
            }
        }
        for vm in removed {
            let worker = self.workers.remove(&vm);
            self.unreported_worker_lost |= worker.is_some_and(|worker| worker.inherited);
            self.health.forget(vm);
        }
    }

    /// Brings the jobs in line with what is known of their tasks. While a new
    /// owner waits for workers to answer, it handles only ends that no other
    /// attempt can change: these are recorded at once, so that they are not
    /// lost if this owner fails too.
    pub(crate) fn reconcile(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        if self.reconcile_needed {
            self.attach_running_tasks(now);
        }
        self.record_task_results(now);
        self.update_quarantines(now, out);
        let waiting = self.is_waiting_for_workers(now);
        for GoneTask { vm, id, end } in std::mem::take(&mut self.gone_tasks) {
            let is_final = match end {
                GoneTaskEnd::NotStarted => false,
                GoneTaskEnd::Lost => self.is_final(&id, TaskState::Stopped),
                GoneTaskEnd::Ended(state) => self.is_final(&id, state),
            };
            if waiting && !is_final {
                self.gone_tasks.push(GoneTask { vm, id, end });
            } else {
                self.handle_gone_task(now, vm, &id, end, out);
            }
        }
        self.handle_reported_ends(now, waiting, out);
        if !waiting {
            self.end_uncertain_jobs(now, out);
        }
        self.resend_overdue_ends(now, out);
    }

    /// Marks jobs as active whose tasks run on a worker. If several attempts of
    /// a job run, the latest one becomes its current attempt.
    fn attach_running_tasks(&mut self, now: TimeMs) {
        for worker in self.workers.values_mut() {
            // A report of a running task may be older than a report of the end
            // of this attempt or of a later one.
            let queue = &self.queue;
            worker.tasks.retain(|id, task| {
                let ended = queue.by_name(&id.job).and_then(|job| job.last_ended);
                !task.is_live() || ended < Some(id.attempt)
            });
        }
        for (vm, worker) in &self.workers {
            for (id, _) in worker.live_tasks() {
                let Some(job_id) = self.queue.id(&id.job) else { continue };
                let Some(job) = self.queue.get(job_id) else { continue };
                let is_latest = match job.state {
                    // This includes a task that was treated as lost and is
                    // reported again.
                    JobState::Queued => true,
                    JobState::Active { attempt, .. } => id.attempt > attempt,
                    JobState::Ending { .. } => false,
                };
                if is_latest {
                    let state = JobState::Active { vm: *vm, attempt: id.attempt };
                    self.queue.set_state(now, job_id, state);
                }
            }
        }
    }

    fn record_task_results(&mut self, now: TimeMs) {
        for (vm, worker) in &mut self.workers {
            for (id, task) in &mut worker.tasks {
                let failed = match task.phase {
                    TaskPhase::Reported(TaskState::Failed) => true,
                    TaskPhase::Reported(TaskState::Succeeded) => false,
                    TaskPhase::Reported(TaskState::Running | TaskState::Throttled)
                        if now.since(task.started_at) >= SURVIVAL_MS =>
                    {
                        false
                    }
                    TaskPhase::Reported(_) | TaskPhase::Starting => continue,
                };
                if task.survived && !failed {
                    continue;
                }
                let job = self.queue.by_name(&id.job);
                if job.is_none_or(|job| job.last_handled >= Some(id.attempt)) {
                    continue;
                }
                task.survived = !failed;
                self.health.record(now, *vm, &id.job, &task.class, failed);
            }
        }
    }

    fn update_quarantines(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        for change in self.health.evaluate(now, self.workers.len()) {
            out.push(match change {
                HealthChange::Quarantine { vm, failed_jobs, duration_ms } => {
                    let reason = QuarantineReason::ManyJobsFailed;
                    SchedulerDecision::Quarantine { vm, reason, failed_jobs, duration_ms }
                }
                HealthChange::ProbeFailed { vm, duration_ms } => {
                    let reason = QuarantineReason::ProbeFailed;
                    SchedulerDecision::Quarantine { vm, reason, failed_jobs: 1, duration_ms }
                }
                HealthChange::Release { vm } => {
                    SchedulerDecision::Release { vm, reason: ReleaseReason::ProbeSucceeded }
                }
            });
        }
    }

    fn handle_gone_task(
        &mut self,
        now: TimeMs,
        vm: VmId,
        id: &TaskId,
        end: GoneTaskEnd,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let Some(job_id) = self.queue.id(&id.job) else { return };
        let Some(job) = self.queue.get_mut(job_id) else { return };
        let is_current = match job.state {
            JobState::Active { attempt, .. } => attempt == id.attempt,
            // The task was reported and disappeared before the job became
            // active.
            JobState::Queued => {
                end != GoneTaskEnd::NotStarted && job.last_handled < Some(id.attempt)
            }
            JobState::Ending { .. } => false,
        };
        if !is_current && end != GoneTaskEnd::Ended(TaskState::Succeeded) {
            return;
        }
        match end {
            GoneTaskEnd::NotStarted => self.queue.set_state(now, job_id, JobState::Queued),
            GoneTaskEnd::Lost => {
                job.last_handled = Some(id.attempt);
                if job.spec.repeatable {
                    self.queue.set_state(now, job_id, JobState::Queued);
                } else {
                    let reason = EndReason::WorkerLost;
                    self.end_job(now, job_id, JobOutcome::Lost, reason, Some(vm), out);
                }
            }
            GoneTaskEnd::Ended(state) => {
                self.apply_task_end(now, job_id, vm, id, state, out);
            }
        }
    }

    /// True if no other attempt can change what this end means for the job, so
    /// that it may be handled before all workers have answered.
    fn is_final(&self, id: &TaskId, state: TaskState) -> bool {
        let repeatable = self.queue.by_name(&id.job).is_none_or(|job| job.spec.repeatable);
        match state {
            TaskState::Succeeded => true,
            TaskState::Failed | TaskState::Stopped => !repeatable,
            TaskState::Running | TaskState::Throttled | TaskState::Checkpointed => false,
        }
    }

    fn handle_reported_ends(
        &mut self,
        now: TimeMs,
        waiting: bool,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let ended: Vec<(VmId, TaskId, TaskState)> = self
            .workers
            .iter()
            .flat_map(|(vm, worker)| worker.tasks.iter().map(|(id, task)| (*vm, id, task.phase)))
            .filter_map(|(vm, id, phase)| match phase {
                TaskPhase::Reported(state) if !state.is_live() => {
                    (!waiting || self.is_final(id, state)).then(|| (vm, id.clone(), state))
                }
                TaskPhase::Reported(_) | TaskPhase::Starting => None,
            })
            .collect();
        for (vm, id, state) in ended {
            if !self.handle_reported_end(now, vm, &id, state, out) {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.tasks.remove(&id);
                }
                out.push(SchedulerDecision::Acknowledge { task: id, vm });
            }
        }
    }

    /// Handles the reported end of a task. Returns true if the worker must keep
    /// the task because the end of its job is not in the stream yet.
    fn handle_reported_end(
        &mut self,
        now: TimeMs,
        vm: VmId,
        id: &TaskId,
        state: TaskState,
        out: &mut Vec<SchedulerDecision>,
    ) -> bool {
        let Some(job_id) = self.queue.id(&id.job) else { return false };
        let Some(job) = self.queue.get(job_id) else { return false };
        let is_current = match job.state {
            JobState::Active { attempt, .. } => attempt == id.attempt,
            JobState::Queued => job.last_handled < Some(id.attempt),
            JobState::Ending { .. } => return true,
        };
        // The success of an earlier attempt completes the job as well.
        if is_current || state == TaskState::Succeeded {
            self.apply_task_end(now, job_id, vm, id, state, out);
        }
        let state = self.queue.get(job_id).map(|job| job.state);
        matches!(state, Some(JobState::Ending { .. }))
    }

    fn apply_task_end(
        &mut self,
        now: TimeMs,
        job_id: JobId,
        vm: VmId,
        id: &TaskId,
        state: TaskState,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let Some(job) = self.queue.get_mut(job_id) else { return };
        if matches!(job.state, JobState::Ending { .. }) {
            return;
        }
        job.last_handled = job.last_handled.max(Some(id.attempt));
        job.last_ended = job.last_ended.max(Some(id.attempt));
        let repeatable = job.spec.repeatable;
        let (outcome, reason) = match state {
            TaskState::Succeeded => (JobOutcome::Succeeded, EndReason::TaskSucceeded),
            TaskState::Failed if !repeatable => (JobOutcome::Failed, EndReason::TaskFailed),
            TaskState::Failed if self.count_failure(now, job_id, vm) => {
                (JobOutcome::Failed, EndReason::FailedOnWorkers)
            }
            TaskState::Stopped if !repeatable => {
                if self.was_told_to_stop(vm, id) {
                    (JobOutcome::Failed, EndReason::StoppedForGood)
                } else {
                    (JobOutcome::Lost, EndReason::WorkerLost)
                }
            }
            TaskState::Failed | TaskState::Stopped | TaskState::Checkpointed => {
                self.queue.set_state(now, job_id, JobState::Queued);
                return;
            }
            TaskState::Running | TaskState::Throttled => return,
        };
        self.end_job(now, job_id, outcome, reason, Some(vm), out);
    }

    /// Counts a failed attempt and delays the next one. A failure on a worker
    /// in quarantine or on probation does not count against the job. Returns
    /// true if the job itself is the likely cause, so that it ends as failed.
    fn count_failure(&mut self, now: TimeMs, job_id: JobId, vm: VmId) -> bool {
        let workers = self.workers.values().filter(|worker| worker.is_open()).count();
        let is_good = self.health.health(now, vm) == WorkerHealth::Good;
        let Some(job) = self.queue.get_mut(job_id) else { return false };
        job.not_before = now.plus(BACKOFF_MS << job.failures.min(MAX_DOUBLINGS));
        if !is_good {
            return false;
        }
        job.failures += 1;
        self.health.job_is_at_fault(&job.spec.job, job.failures, workers)
    }

    fn was_told_to_stop(&self, vm: VmId, id: &TaskId) -> bool {
        let task = self.workers.get(&vm).and_then(|worker| worker.tasks.get(id));
        task.is_some_and(|task| task.stop_sent)
    }

    /// Ends jobs that must not run twice and that may have run on a worker
    /// which left or restarted before it reported the former owner's tasks.
    fn end_uncertain_jobs(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        if !std::mem::take(&mut self.unreported_worker_lost) {
            return;
        }
        let epoch = self.epoch;
        let uncertain: Vec<JobId> = self
            .queue
            .iter()
            .filter(|(_, job)| {
                job.state == JobState::Queued
                    && job.origin == JobOrigin::Inherited
                    && !job.spec.repeatable
                    && job.last_handled.is_none_or(|attempt| Some(attempt.epoch) < epoch)
            })
            .map(|(id, _)| id)
            .collect();
        for id in uncertain {
            self.end_job(now, id, JobOutcome::Lost, EndReason::MayHaveRun, None, out);
        }
    }

    fn resend_overdue_ends(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        let overdue: Vec<(JobId, JobOutcome)> = self
            .queue
            .ending()
            .filter(|(_, job)| now.since(job.since) >= END_RETRY_MS)
            .filter_map(|(id, job)| match job.state {
                JobState::Ending { outcome } => Some((id, outcome)),
                JobState::Queued | JobState::Active { .. } => None,
            })
            .collect();
        for (id, outcome) in overdue {
            let ending = self.queue.get(id).and_then(|job| job.ending);
            if let Some((reason, vm)) = ending {
                self.end_job(now, id, outcome, reason, vm, out);
            }
        }
    }

    /// Decides the end of a job and drops its reservations.
    pub(crate) fn end_job(
        &mut self,
        now: TimeMs,
        id: JobId,
        outcome: JobOutcome,
        reason: EndReason,
        vm: Option<VmId>,
        out: &mut Vec<SchedulerDecision>,
    ) {
        self.reconcile_needed = true;
        self.queue.set_state(now, id, JobState::Ending { outcome });
        self.reservations.retain(|reservation| reservation.job != id);
        let Some(job) = self.queue.get_mut(id) else { return };
        job.since = now;
        job.ending = Some((reason, vm));
        let job = job.spec.job.clone();
        out.push(SchedulerDecision::EndJob { job, outcome, reason, vm });
    }
}
