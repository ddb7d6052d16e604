//! How the VM of a maintenance wave is drained: which of its tasks are stopped,
//! and what that costs.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::Task;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;
use crate::workload::vm::VmList;

/// Cost of draining a VM: the number of its long-running tasks, which have to
/// start elsewhere one after the other, and the CPU that its tasks take, where run times
/// are learned only that of the work which is left.
pub(crate) type DrainCost = (usize, u64);

pub(crate) fn drain_cost(
    now: TimeMs,
    vm: &str,
    vms: &VmList,
    dispatcher: &mut Dispatcher,
) -> DrainCost {
    let Some(worker) = vms.get(vm).and_then(|entry| entry.worker.as_deref()) else {
        return (0, 0);
    };
    let id = dispatcher.worker_id(worker);
    let long_running = dispatcher.tasks_on(id).into_iter().filter(|task| {
        let job = dispatcher.jobs.get(task.step.job);
        job.is_some_and(|job| job.step_spec(task.step.step).long_running)
    });
    let long_running = long_running.count();
    let cost = match dispatcher.features.learn_run_times {
        true => dispatcher.work_left_on(now, id),
        false => dispatcher.workers.get(id).map_or(0, |worker| worker.used.cpu_milli),
    };
    (long_running, cost)
}

impl Dispatcher {
    /// Stops long-running tasks on a worker as far as allowed. Returns true
    /// once only tasks remain, if any, that have had their time to end.
    pub(crate) fn drain_for_maintenance(
        &mut self,
        name: &str,
        is_timed_out: bool,
        may_stop_long_running: bool,
    ) -> bool {
        let id = self.worker_id(name);
        let tasks = self.tasks_on(id);
        let is_listed = self.workers.get(id).is_some_and(|worker| worker.listing.is_some());
        if tasks.is_empty() && !self.is_stored_as_empty(id) {
            return false;
        }
        if !is_listed && tasks.is_empty() {
            // The VM is on standby, where it gets no tasks.
            return true;
        }
        if !self.is_listed_and_reachable(id) {
            // It is not known what runs on the VM: it may have another worker.
            return false;
        }
        let mut is_drained = true;
        for task in tasks {
            let Some(job) = self.jobs.get(task.step.job) else { continue };
            let spec = job.step_spec(task.step.step);
            let is_stopping =
                job.task(task).placement().is_some_and(|placement| placement.stop.is_some());
            is_drained &= !spec.long_running && is_timed_out;
            if spec.long_running
                && !is_stopping
                && may_stop_long_running
                && self.may_stop_for_maintenance(task)
            {
                self.stop(task, StopReason::Maintenance);
            }
        }
        is_drained
    }

    /// Handles that the VM of a worker is down for maintenance, which has ended
    /// all its tasks. The VM will come back with another worker.
    pub(crate) fn vm_down_for_maintenance(&mut self, name: &str) {
        let id = self.worker_id(name);
        self.release_ordered(id, PlacementReleaseReason::VmDown);
    }

    /// Work that is left of the tasks on a worker which end by themselves, in
    /// core-milliseconds.
    fn work_left_on(&self, now: TimeMs, id: WorkerId) -> u64 {
        self.tasks_on(id).into_iter().fold(0, |work, task| {
            let job = self.jobs.get(task.step.job);
            let spec = job.map(|job| job.step_spec(task.step.step));
            let Some(spec) = spec.filter(|spec| !spec.long_running) else { return work };
            let cpu_milli = spec.effective_request().cpu_milli;
            let left = cpu_milli.saturating_mul(self.remaining_run_ms(now, task)) / 1_000;
            left.saturating_add(work)
        })
    }

    fn tasks_on(&self, id: WorkerId) -> Vec<TaskKey> {
        self.workers.get(id).map_or_else(Vec::new, |worker| worker.tasks.iter().copied().collect())
    }

    /// True if so few other tasks of its step are unavailable that a task may
    /// be stopped now.
    fn may_stop_for_maintenance(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(task.step.job) else { return false };
        let Some(max) = job.step_spec(task.step.step).max_unavailable else { return true };
        let others = (0..).zip(&job.step(task.step).tasks);
        let unavailable =
            others.filter(|(index, other)| *index != task.index && !self.is_available(other));
        unavailable.count() < max as usize
    }

    /// True if a long-running task is available, on a worker that answers.
    fn is_available(&self, task: &Task) -> bool {
        task.placement().is_some_and(|placement| {
            let worker = self.workers.get(placement.worker);
            placement.is_available() && worker.is_some_and(|worker| !worker.is_unreachable())
        })
    }
}
