//! Placements of tasks on workers: planned, stopped, and released.

use std::rc::Rc;

use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::AttemptState;
use crate::workload::job::Phase;
use crate::workload::job::Placement;
use crate::workload::job::Task;
use crate::workload::key::JobId;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::Order;
use crate::workload::order::StopReason;
use crate::workload::order::WorkerOrder;
use crate::workload::run_time::RunProgress;

impl Dispatcher {
    /// The placement of a task of an open job, if it has one.
    pub(crate) fn placement(&self, task: TaskKey) -> Option<&Placement> {
        self.jobs.get(task.step.job)?.task(task).placement()
    }

    pub(crate) fn reserve_resources(&mut self, task: TaskKey, id: WorkerId) {
        let Some(job) = self.jobs.get(task.step.job) else { return };
        let spec = job.step_spec(task.step.step);
        let request = spec.effective_request();
        if let Some(organisation) = job.organisation {
            let used = self.used_by_organisation.entry(organisation).or_default();
            *used = used.saturating_add(spec.request);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.used = worker.used.saturating_add(request);
            worker.tasks.insert(task);
            worker.task_counts.add(spec);
        }
        self.activity_changes.insert(id);
    }

    /// Removes the placement of a task, releases its resources, and puts the
    /// task into `phase`.
    pub(crate) fn clear_placement(&mut self, task: TaskKey, phase: Phase) {
        let Some(job) = self.jobs.get_mut(task.step.job) else { return };
        let spec = Rc::clone(&job.spec);
        let spec = &spec.steps[task.step.step as usize];
        let request = spec.effective_request();
        let organisation = job.organisation;
        let Some(placement) = job.task(task).placement() else { return };
        let worker = placement.worker;
        self.activity_changes.insert(worker);
        job.step_mut(task.step).set_phase(task.index, phase);
        if let Some(used) = organisation.and_then(|id| self.used_by_organisation.get_mut(&id)) {
            *used = used.saturating_sub(spec.request);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.used = worker.used.saturating_sub(request);
            worker.tasks.remove(&task);
            worker.task_counts.remove(spec);
            worker.last_release_batch = Some(self.next_batch);
        }
        self.mark_dirty(task.step.job);
    }

    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_dirty = true;
            self.dirty.insert(id);
        }
    }

    /// Places a task on a worker. The start order follows once the placement is
    /// stored.
    pub(crate) fn plan_start(
        &mut self,
        now: TimeMs,
        task: TaskKey,
        worker: WorkerId,
        attempt: u32,
    ) {
        let Some(job) = self.jobs.get_mut(task.step.job) else { return };
        let name = job.task_name(task);
        let ready_at = job.step(task.step).ready_at.unwrap_or(now);
        let payload_bytes = job.payload.len();
        job.task_mut(task).attempt = attempt;
        let incarnation_unix_ms =
            self.workers.get(worker).and_then(|worker| worker.started_unix_ms);
        let placement = Placement {
            worker,
            state: AttemptState::Planned,
            since: now,
            percent: 0,
            progressed_at: now,
            stop: None,
            run: RunProgress::default(),
            lease: AttemptLease::planned(incarnation_unix_ms),
            is_lease_recorded: false,
        };
        job.step_mut(task.step).set_phase(task.index, Phase::Placed(placement));
        self.reserve_resources(task, worker);
        self.start_budget.take(payload_bytes);
        self.mark_dirty(task.step.job);
        self.planned.push(task);
        let waited_ms = now.since(ready_at);
        self.events.push(DispatcherEvent::Placed { task: name, attempt, worker, waited_ms });
    }

    /// Orders the worker of a placed task to stop it. A placement that is only
    /// planned needs no order: it is released once it is stored.
    pub(crate) fn stop(&mut self, task: TaskKey, reason: StopReason) {
        let Some(job) = self.jobs.get_mut(task.step.job) else { return };
        let name = job.task_name(task);
        let state = job.task_mut(task);
        let attempt = state.attempt;
        let Some(placement) = state.placement_mut() else { return };
        placement.stop = Some(reason);
        let worker = placement.worker;
        if placement.state == AttemptState::Planned {
            return;
        }
        self.orders
            .push(WorkerOrder { worker, order: Order::Stop { task: name, attempt, reason } });
    }

    pub(crate) fn stop_all_tasks(&mut self, id: JobId, reason: StopReason) {
        for task in self.placed_tasks(id) {
            self.stop(task, reason);
        }
    }

    fn placed_tasks(&self, id: JobId) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let mut placed = Vec::new();
        for (step, state) in job.steps(id) {
            let tasks = (0..).zip(&state.tasks).filter(|(_, task)| task.placement().is_some());
            placed.extend(tasks.map(|(index, _)| TaskKey { step, index }));
        }
        placed
    }

    /// Releases a placement whose attempt is known not to run although its end
    /// was not reported.
    pub(crate) fn release_placement(&mut self, key: TaskKey, reason: PlacementReleaseReason) {
        let Some(job) = self.jobs.get(key.step.job) else { return };
        let task = job.task_name(key);
        let state = job.task(key);
        let Some(placement) = state.placement() else { return };
        let (attempt, worker) = (state.attempt, placement.worker);
        self.events.push(DispatcherEvent::PlacementReleased { task, attempt, worker, reason });
        self.learn_from_lost(key);
        self.clear_placement(key, Phase::Waiting);
        self.break_gang(key);
        self.close_if_finished(key.step.job);
    }

    /// Stops the other members of a gang after the attempt of one has ended.
    pub(crate) fn break_gang(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.step.job) else { return };
        if !job.step_spec(key.step.step).gang || job.is_closing() {
            return;
        }
        let tasks = (0..).zip(&job.step(key.step).tasks);
        let needs_stop =
            |task: &Task| task.placement().is_some_and(|placement| placement.stop.is_none());
        let members: Vec<TaskKey> = tasks
            .filter(|(_, task)| needs_stop(task))
            .map(|(index, _)| TaskKey { step: key.step, index })
            .collect();
        for member in members {
            self.stop(member, StopReason::GangBroken);
        }
    }

    /// Marks all members of a gang as done: the end of one stands for all.
    pub(crate) fn finish_gang(&mut self, key: TaskKey) {
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
            self.clear_placement(member, Phase::Done);
        }
    }
}
