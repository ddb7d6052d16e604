//! Answers and reports of workers, and what they say of the tasks placed there.

use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::AttemptState;
use crate::workload::job::Phase;
use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::order::Order;
use crate::workload::order::StopReason;
use crate::workload::order::WorkerOrder;
use crate::workload::report::EndedTask;
use crate::workload::report::RunningTask;
use crate::workload::report::StartAnswer;
use crate::workload::report::TaskEnd;
use crate::workload::report::WorkerReport;
use crate::workload::worker::Reachability;

/// A start whose answer is not known after this time has none: the order waits
/// at most half of it, and a call ends in less than the other half.
const ANSWER_WITHIN_MS: u64 = 3_000;

impl Dispatcher {
    /// Takes over a list of what runs and what has ended on a worker.
    pub fn worker_reported(&mut self, now: TimeMs, id: WorkerId, report: &WorkerReport) {
        if !self.is_recovered {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_reborn = match (worker.started_unix_ms, report.started_unix_ms) {
            (Some(before), Some(born)) => before != born,
            (None, _) | (_, None) => false,
        };
        worker.reachability = Reachability::Reachable;
        // The question may have renewed the leases.
        worker.leases.granted(self.lease_times.expires_at(report.sent_at));
        worker.leases.answered();
        worker.started_unix_ms = report.started_unix_ms.or(worker.started_unix_ms);
        if is_reborn {
            worker.ended_number = 0;
            self.to_acknowledge.remove(&id);
            self.free_confirmed(id, PlacementReleaseReason::WorkerRestarted);
        }
        let mut listed = BTreeSet::new();
        for ended in &report.ended {
            listed.insert((ended.task, ended.attempt));
            self.take_end(now, id, ended);
        }
        for running in &report.running {
            listed.insert((running.task, running.attempt));
            self.take_running(now, id, report.sent_at, running);
        }
        self.settle_unlisted(id, report.sent_at, &listed);
        self.stop_stalled(now, id);
        self.pace(now, id, report);
    }

    fn take_end(&mut self, now: TimeMs, id: WorkerId, ended: &EndedTask) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if ended.number <= worker.ended_number {
            return;
        }
        worker.ended_number = ended.number;
        self.to_acknowledge.insert(id, ended.number);
        let Some(key) = self.task_placed_on(id, ended.task, ended.attempt) else {
            self.take_earlier_end(ended);
            return;
        };
        let (task, attempt, end) = (ended.task, ended.attempt, ended.end);
        self.events.push(DispatcherEvent::Ended { task, attempt, worker: id, end });
        self.settle_end(now, id, key, ended);
        self.close_if_finished(key.step.job);
    }

    /// An attempt that was given up, since its worker did not answer, had done
    /// its work before the lease ran out. The task need not start again, if it
    /// has not yet.
    fn take_earlier_end(&mut self, ended: &EndedTask) {
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
                self.vacate(key, Phase::Done);
            }
            Phase::Placed(_) | Phase::Done => return,
        }
        self.close_if_finished(id);
    }

    fn settle_end(&mut self, now: TimeMs, id: WorkerId, key: TaskKey, ended: &EndedTask) {
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let spec = job.step_spec(key.step.step);
        let (lasting, gang) = (spec.long_running, spec.gang);
        let max_attempts = job.rules.max_attempts;
        let state = job.task_mut(key);
        if ended.checkpoint.is_some() {
            state.checkpoint.clone_from(&ended.checkpoint);
        }
        match ended.end {
            TaskEnd::Done if !lasting => {
                self.vacate(key, Phase::Done);
                if gang {
                    self.finish_gang(key);
                }
                self.succeeded(id);
            }
            TaskEnd::Failed => {
                state.failures += 1;
                state.failed_at = now;
                if !state.failed_on.contains(&id) {
                    state.failed_on.push(id);
                }
                let is_hopeless = !lasting && max_attempts > 0 && state.failures >= max_attempts;
                self.vacate(key, Phase::Waiting);
                self.attempt_failed(now, id, key);
                self.break_gang(key);
                if is_hopeless {
                    self.fail(key.step.job);
                }
            }
            TaskEnd::Done
            | TaskEnd::Stopped
            | TaskEnd::LeaseExpired
            | TaskEnd::GangBroken
            | TaskEnd::GangIncomplete => {
                self.vacate(key, Phase::Waiting);
                self.break_gang(key);
            }
        }
    }

    /// One end of a gang stands for all its members.
    fn finish_gang(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let step = job.step_mut(key.step);
        let mut placed = Vec::new();
        for index in 0..u32::try_from(step.tasks.len()).unwrap_or(u32::MAX) {
            match step.tasks[index as usize].phase {
                Phase::Placed(_) => placed.push(TaskKey { step: key.step, index }),
                Phase::Waiting => step.set_phase(index, Phase::Done),
                Phase::Done => {}
            }
        }
        for member in placed {
            self.vacate(member, Phase::Done);
        }
    }

    fn succeeded(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.succeeded();
        }
    }

    pub(crate) fn attempt_failed(&mut self, now: TimeMs, id: WorkerId, key: TaskKey) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.failed(now, key.step.job) {
            let until = worker.avoided_until;
            self.events.push(DispatcherEvent::WorkerAvoided { worker: id, until });
        }
    }

    fn take_running(&mut self, now: TimeMs, id: WorkerId, sent_at: TimeMs, running: &RunningTask) {
        let Some(key) = self.task_placed_on(id, running.task, running.attempt) else {
            self.order_stop(id, running.task, running.attempt, StopReason::NotAssigned);
            return;
        };
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let closing = job.closing_reason();
        let state = job.task_mut(key);
        if running.checkpoint.is_some() {
            state.checkpoint.clone_from(&running.checkpoint);
        }
        let Some(placement) = state.placement_mut() else { return };
        if running.percent > placement.percent {
            placement.progressed_at = now;
        }
        placement.percent = running.percent;
        placement.state = match placement.state {
            AttemptState::Unknown { fenced_at: None, .. }
            | AttemptState::Ordered
            | AttemptState::Planned => AttemptState::Running { confirmed_at: sent_at },
            // It is stopping, or was started late by an order before the stop.
            AttemptState::Unknown { fenced_at: Some(_), .. } | AttemptState::Running { .. } => {
                placement.state
            }
        };
        if let Some(reason) = placement.stop.or(closing) {
            self.order_stop(id, running.task, running.attempt, reason);
        }
    }

    /// Tasks that the worker should list and does not.
    fn settle_unlisted(
        &mut self,
        id: WorkerId,
        sent_at: TimeMs,
        listed: &BTreeSet<(TaskName, u32)>,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        for key in worker.tasks.clone() {
            let Some(job) = self.jobs.get_mut(key.step.job) else { continue };
            let name = job.task_name(key);
            let state = job.task_mut(key);
            let attempt = state.attempt;
            if listed.contains(&(name, attempt)) {
                continue;
            }
            let Some(placement) = state.placement_mut() else { continue };
            match placement.state {
                AttemptState::Planned => {}
                AttemptState::Ordered => {
                    // The answer was lost with the link of the worker.
                    if sent_at.since(placement.since) > ANSWER_WITHIN_MS {
                        placement.state = AttemptState::Unknown { since: sent_at, fenced_at: None };
                    }
                }
                AttemptState::Running { confirmed_at } => {
                    // The list may be older than the answer to the start.
                    if confirmed_at < sent_at {
                        placement.state = AttemptState::Unknown { since: sent_at, fenced_at: None };
                        self.order_stop(id, name, attempt, StopReason::StartUnknown);
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

    /// The task of a name, if this attempt of it has its place on the worker.
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

    /// Takes over the answer to a start.
    pub fn start_answered(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        key: TaskKey,
        attempt: u32,
        answer: StartAnswer,
    ) {
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
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
                if let Some(reason) = placement.stop {
                    self.stop(key, reason);
                }
            }
            StartAnswer::Unknown => {
                placement.state = AttemptState::Unknown { since: now, fenced_at: None };
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.refused(now);
                }
            }
            StartAnswer::OtherWorker => self.worker_replaced(id),
            // The owner learns from the store who follows it.
            StartAnswer::EpochTooLow => {
                self.release_placement(key, PlacementReleaseReason::Refused)
            }
            StartAnswer::AttemptTooLow
            | StartAnswer::LeaseExpired
            | StartAnswer::NoRoom
            | StartAnswer::NotAllowed
            | StartAnswer::Unhealthy
            | StartAnswer::Invalid => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.refused(now);
                }
                self.release_placement(key, PlacementReleaseReason::Refused);
            }
        }
    }

    /// A worker has promised to refuse an attempt, and stops it if it runs.
    pub fn stop_answered(&mut self, now: TimeMs, id: WorkerId, name: TaskName, attempt: u32) {
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

    /// Another worker listens at the address: this one is gone.
    pub fn worker_replaced(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reachability = Reachability::Unreachable;
            worker.listing = None;
        }
        self.free_ordered(id, PlacementReleaseReason::WorkerReplaced);
    }

    /// Frees all places but those that are only planned.
    pub(crate) fn free_ordered(&mut self, id: WorkerId, reason: PlacementReleaseReason) {
        self.free_matching(id, reason, |run| run != AttemptState::Planned);
    }

    /// Frees the places of attempts that ran in the former life of a worker.
    /// One whose start was not answered may still arrive in the new life.
    fn free_confirmed(&mut self, id: WorkerId, reason: PlacementReleaseReason) {
        self.free_matching(id, reason, |run| matches!(run, AttemptState::Running { .. }));
    }

    fn free_matching<F>(&mut self, id: WorkerId, reason: PlacementReleaseReason, is_free: F)
    where
        F: Fn(AttemptState) -> bool,
    {
        let Some(worker) = self.workers.get(id) else { return };
        for key in worker.tasks.clone() {
            let placement = self.jobs.get(key.step.job).and_then(|job| job.task(key).placement());
            if placement.is_some_and(|placement| is_free(placement.state)) {
                self.release_placement(key, reason);
            }
        }
    }
}
