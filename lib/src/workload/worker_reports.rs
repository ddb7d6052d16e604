//! Handling of the answers and reports of workers: what they imply for the
//! tasks that are placed there.

use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::checkpoint::CheckpointSource;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::AttemptState;
use crate::workload::job::Phase;
use crate::workload::job::Placement;
use crate::workload::key::JobId;
use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::order::Order;
use crate::workload::order::StopReason;
use crate::workload::order::WorkerOrder;
use crate::workload::report::EndedTask;
use crate::workload::report::LeaseGrant;
use crate::workload::report::RunningTask;
use crate::workload::report::StartAnswer;
use crate::workload::report::StartReply;
use crate::workload::report::TaskEnd;
use crate::workload::report::WorkerReport;
use crate::workload::worker::Reachability;

/// A start that is unanswered for this time will not be answered any more: the
/// order is queued for at most half of it, and the call takes less than the
/// other half.
const START_ANSWER_TIMEOUT_MS: u64 = 3_000;

/// What it means that a report does not list an attempt that was running when
/// the report was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unreported {
    /// The worker has restarted since the last report, and the attempt ended with
    /// the former incarnation. Attempts that the present one has started are in
    /// the report.
    Ended,
    /// The worker does not know of the attempt, although it has started it.
    Doubtful,
}

impl Dispatcher {
    /// Handles a worker's report of its running and ended tasks.
    pub fn worker_reported(&mut self, now: TimeMs, id: WorkerId, report: &WorkerReport) {
        if !self.is_recovered {
            return;
        }
        // The worker now refuses calls of former owners.
        self.witness_answered(now, id, report.sent_at, report.started_unix_ms);
        let longest_expires_at = self.lease_times.longest_expires_at(now);
        let unknown_until = self.former_unknown_expires_at(id).min(longest_expires_at);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let restart = match (worker.started_unix_ms, report.started_unix_ms) {
            (Some(former), Some(present)) => (former != present).then_some((former, present)),
            (None, _) | (_, None) => None,
        };
        let is_first_report = worker.started_unix_ms.is_none();
        worker.reports_are_timely = worker.reachability == Reachability::Reachable;
        worker.reachability = Reachability::Reachable;
        // The call that returned the report may have renewed the leases.
        worker.leases.granted(self.lease_times.expires_at(report.sent_at));
        worker.leases.worker_answered();
        worker.started_unix_ms = report.started_unix_ms.or(worker.started_unix_ms);
        if let Some((former_unix_ms, present_unix_ms)) = restart {
            let reported = report.running.len() + report.ended.len();
            self.events.push(DispatcherEvent::WorkerRestarted {
                worker: id,
                former_unix_ms,
                present_unix_ms,
                reported,
            });
            self.worker_restarted(now, id);
        }
        self.lease_granted(now, id, report.lease);
        self.incarnation_reported(now, id, report.started_unix_ms, unknown_until);
        let mut reported = BTreeSet::new();
        for ended in &report.ended {
            reported.insert((ended.task, ended.attempt));
            self.handle_end(now, id, ended);
        }
        let mut runs_unassigned = false;
        for running in &report.running {
            reported.insert((running.task, running.attempt));
            runs_unassigned |= self.task_placed_on(id, running.task, running.attempt).is_none();
            self.handle_running(now, id, report.sent_at, running);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs_unassigned = runs_unassigned;
        }
        let unreported = match restart {
            Some(_) => Unreported::Ended,
            None => Unreported::Doubtful,
        };
        if !report.has_more_ends {
            if is_first_report {
                self.check_former_restart(now, id, &reported);
            }
            self.check_unreported(id, report.sent_at, &reported, unreported);
        }
        self.stop_stalled(now, id);
        self.adjust_pace(now, id, report);
    }

    /// Handles that a worker lists a task as running or ended.
    fn task_reported(&mut self, task: TaskName) {
        if let Some(id) = self.job_id(task.job) {
            self.task_started(id);
        }
    }

    /// Handles that a worker has started a task of a job.
    fn task_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !std::mem::replace(&mut job.has_started, true) {
            self.started.insert(id);
        }
    }

    fn handle_end(&mut self, now: TimeMs, id: WorkerId, ended: &EndedTask) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if ended.number <= worker.last_end_number {
            return;
        }
        worker.last_end_number = ended.number;
        self.to_acknowledge.insert(id, ended.number);
        self.task_reported(ended.task);
        let Some(key) = self.task_placed_on(id, ended.task, ended.attempt) else {
            self.handle_superseded_end(ended);
            return;
        };
        let (task, attempt, end) = (ended.task, ended.attempt, ended.end);
        self.events.push(DispatcherEvent::Ended { task, attempt, worker: id, end });
        self.apply_end(now, id, key, ended);
        self.close_if_finished(key.step.job);
    }

    /// Handles the end of an attempt whose placement was released because its
    /// worker did not answer. If the attempt completed before its lease expired
    /// and the task has not been started again, the task is done.
    fn handle_superseded_end(&mut self, ended: &EndedTask) {
        let Some(id) = self.job_id(ended.task.job) else { return };
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(key) = job.task_key(id, ended.task) else { return };
        let spec = job.step_spec(key.step.step);
        if ended.end != TaskEnd::Done || spec.long_running || spec.gang {
            return;
        }
        match &job.task(key).phase {
            Phase::Waiting => {
                job.step_mut(key.step).set_phase(key.index, Phase::Done);
                self.mark_dirty(id);
            }
            Phase::Placed(placement) if placement.state == AttemptState::Planned => {
                self.clear_placement(key, Phase::Done);
            }
            Phase::Placed(_) | Phase::Done => return,
        }
        self.close_if_finished(id);
    }

    fn apply_end(&mut self, now: TimeMs, id: WorkerId, key: TaskKey, ended: &EndedTask) {
        self.learn_from_end(now, id, key, ended.end);
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let spec = job.step_spec(key.step.step);
        let (long_running, gang) = (spec.long_running, spec.gang);
        let max_attempts = job.rules.max_attempts;
        job.save_checkpoint(key, CheckpointSource::of_end(ended.end), &ended.checkpoint);
        let state = job.task_mut(key);
        match ended.end {
            TaskEnd::Done if !long_running => {
                self.clear_placement(key, Phase::Done);
                if gang {
                    self.finish_gang(key);
                }
                self.attempt_succeeded(id);
            }
            TaskEnd::Failed => {
                state.failures += 1;
                state.failed_at = now;
                if !state.failed_on.contains(&id) {
                    state.failed_on.push(id);
                }
                let attempts_exhausted =
                    !long_running && max_attempts > 0 && state.failures >= max_attempts;
                self.clear_placement(key, Phase::Waiting);
                self.attempt_failed(now, id, key);
                self.break_gang(key);
                if attempts_exhausted {
                    self.fail_job(key.step.job);
                }
            }
            TaskEnd::Done
            | TaskEnd::Stopped
            | TaskEnd::LeaseExpired
            | TaskEnd::GangBroken
            | TaskEnd::GangIncomplete => {
                self.clear_placement(key, Phase::Waiting);
                self.break_gang(key);
            }
        }
    }

    fn attempt_succeeded(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_success();
        }
    }

    pub(crate) fn attempt_failed(&mut self, now: TimeMs, id: WorkerId, key: TaskKey) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.record_failure(now, key.step.job) {
            let until = worker.avoided_until;
            self.events.push(DispatcherEvent::WorkerAvoided { worker: id, until });
        }
    }

    fn handle_running(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        sent_at: TimeMs,
        running: &RunningTask,
    ) {
        self.task_reported(running.task);
        let Some(key) = self.task_placed_on(id, running.task, running.attempt) else {
            self.order_stop(id, running.task, running.attempt, StopReason::NotAssigned);
            return;
        };
        self.attempt_reported(now, key);
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let closing = job.closing_reason();
        let source = CheckpointSource::Running { percent: running.percent };
        job.save_checkpoint(key, source, &running.checkpoint);
        let Some(placement) = job.task_mut(key).placement_mut() else { return };
        if running.percent > placement.percent {
            placement.progressed_at = now;
        }
        placement.percent = running.percent;
        placement.run.reported(now, running.percent);
        placement.state = match placement.state {
            AttemptState::Unknown { fenced_at: None, .. }
            | AttemptState::Ordered
            | AttemptState::Planned => AttemptState::Running { confirmed_at: sent_at },
            // The attempt is stopping, or was started by a delayed order before
            // the stop arrived.
            AttemptState::Unknown { fenced_at: Some(_), .. } | AttemptState::Running { .. } => {
                placement.state
            }
        };
        if let Some(reason) = placement.stop.or(closing) {
            self.order_stop(id, running.task, running.attempt, reason);
        }
    }

    /// Handles placed tasks that the worker's report does not contain.
    fn check_unreported(
        &mut self,
        id: WorkerId,
        sent_at: TimeMs,
        reported: &BTreeSet<(TaskName, u32)>,
        unreported: Unreported,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        for key in worker.tasks.clone() {
            let Some(job) = self.jobs.get_mut(key.step.job) else { continue };
            let name = job.task_name(key);
            let state = job.task_mut(key);
            let attempt = state.attempt;
            if reported.contains(&(name, attempt)) {
                continue;
            }
            let Some(placement) = state.placement_mut() else { continue };
            match placement.state {
                AttemptState::Planned => {}
                AttemptState::Ordered => {
                    // The answer was lost with the connection to the worker.
                    if sent_at.since(placement.since) > START_ANSWER_TIMEOUT_MS {
                        placement.state = AttemptState::Unknown { since: sent_at, fenced_at: None };
                    }
                }
                AttemptState::Running { confirmed_at } => {
                    // The report may be older than the answer to the start.
                    if confirmed_at >= sent_at {
                        continue;
                    }
                    match unreported {
                        Unreported::Ended => {
                            self.release_placement(key, PlacementReleaseReason::WorkerRestarted);
                        }
                        Unreported::Doubtful => {
                            placement.state =
                                AttemptState::Unknown { since: sent_at, fenced_at: None };
                            self.order_stop(id, name, attempt, StopReason::StartUnknown);
                        }
                    }
                }
                AttemptState::Unknown { fenced_at: Some(fenced_at), .. } if fenced_at < sent_at => {
                    self.release_placement(key, PlacementReleaseReason::Fenced);
                }
                AttemptState::Unknown { fenced_at: None, since } if since < sent_at => {
                    self.order_stop(id, name, attempt, StopReason::StartUnknown);
                }
                AttemptState::Unknown { .. } => {}
            }
        }
    }

    fn order_stop(&mut self, worker: WorkerId, task: TaskName, attempt: u32, reason: StopReason) {
        self.orders.push(WorkerOrder { worker, order: Order::Stop { task, attempt, reason } });
    }

    /// The key of a task, if this attempt of it is placed on the worker.
    pub(crate) fn task_placed_on(
        &self,
        id: WorkerId,
        name: TaskName,
        attempt: u32,
    ) -> Option<TaskKey> {
        let job_id = self.job_id(name.job)?;
        let job = self.jobs.get(job_id)?;
        let key = job.task_key(job_id, name)?;
        let state = job.task(key);
        let placement = state.placement()?;
        (placement.worker == id && state.attempt == attempt).then_some(key)
    }

    /// Handles the answer to a start order.
    pub fn start_answered(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        key: TaskKey,
        attempt: u32,
        StartReply { answer, lease }: StartReply,
    ) {
        self.lease_granted(now, id, lease);
        if answer == StartAnswer::Started {
            self.task_started(key.step.job);
        }
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let is_gang = job.step_spec(key.step.step).gang;
        let state = job.task_mut(key);
        if state.attempt != attempt {
            return;
        }
        let Some(placement) = state.placement_mut() else { return };
        if placement.worker != id || placement.state != AttemptState::Ordered {
            return;
        }
        match answer {
            StartAnswer::Started => {
                placement.state = AttemptState::Running { confirmed_at: now };
                placement.run.started(now, is_gang);
                if matches!(lease, LeaseGrant::Remaining { .. }) {
                    placement.lease = AttemptLease::Known;
                }
                if let Some(reason) = placement.stop {
                    self.stop(key, reason);
                }
                self.record_known_lease(now, key);
            }
            StartAnswer::Unknown => {
                placement.state = AttemptState::Unknown { since: now, fenced_at: None };
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_refusal(now);
                }
            }
            StartAnswer::OtherWorker => self.worker_replaced(id),
            // The owner learns of its successor from the store.
            StartAnswer::EpochTooLow => {
                self.release_placement(key, PlacementReleaseReason::Refused)
            }
            StartAnswer::AttemptTooLow
            | StartAnswer::TooLate
            | StartAnswer::NoRoom
            | StartAnswer::NotAllowed
            | StartAnswer::Unhealthy
            | StartAnswer::OtherIncarnation
            | StartAnswer::Invalid => {
                if answer == StartAnswer::NotAllowed {
                    self.tickets.refused(key.step, id);
                }
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_refusal(now);
                }
                self.release_placement(key, PlacementReleaseReason::Refused);
            }
        }
    }

    /// Handles the answer to a stop that was ordered at `ordered_at`: the worker
    /// stops the attempt if it runs, and refuses to start it from now on. A former
    /// incarnation of the worker may have answered a stop that is older than the
    /// restart; its promise does not bind the present one.
    pub fn stop_answered(
        &mut self,
        now: TimeMs,
        ordered_at: TimeMs,
        id: WorkerId,
        name: TaskName,
        attempt: u32,
    ) {
        let restarted_at = self.workers.get(id).and_then(|worker| worker.restarted_at);
        if restarted_at.is_some_and(|restarted_at| ordered_at < restarted_at) {
            return;
        }
        let Some(key) = self.task_placed_on(id, name, attempt) else { return };
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let Some(placement) = job.task_mut(key).placement_mut() else { return };
        match placement.state {
            AttemptState::Unknown { since, fenced_at: None } => {
                placement.state = AttemptState::Unknown { since, fenced_at: Some(now) };
            }
            AttemptState::Unknown { fenced_at: Some(_), .. }
            | AttemptState::Planned
            | AttemptState::Ordered
            | AttemptState::Running { .. } => {}
        }
    }

    /// Handles that another worker listens at the address of this one, which
    /// therefore no longer runs.
    pub fn worker_replaced(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reachability = Reachability::Unreachable;
            worker.listing = None;
        }
        self.activity_changes.insert(id);
        self.release_ordered(id, PlacementReleaseReason::WorkerReplaced);
    }

    /// Releases all placements on a worker except those that are only planned.
    pub(crate) fn release_ordered(&mut self, id: WorkerId, reason: PlacementReleaseReason) {
        self.release_matching(id, reason, |placement| placement.state != AttemptState::Planned);
    }

    pub(crate) fn release_matching<F>(
        &mut self,
        id: WorkerId,
        reason: PlacementReleaseReason,
        is_released: F,
    ) where
        F: Fn(&Placement) -> bool,
    {
        let Some(worker) = self.workers.get(id) else { return };
        for key in worker.tasks.clone() {
            let placement = self.jobs.get(key.step.job).and_then(|job| job.task(key).placement());
            if placement.is_some_and(&is_released) {
                self.release_placement(key, reason);
            }
        }
    }
}
