//! How the VM of a maintenance wave is drained: which of its tasks are stopped,
//! and what that costs.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::drain_places::Room;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::DrainBlocker;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::Task;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;
use crate::workload::vm::VmList;

/// Cost of draining a VM: the number of its long-running tasks, which have to
/// start elsewhere one after the other, and the CPU that its tasks take.
pub(crate) type DrainCost = (usize, u64);

pub(crate) fn drain_cost(vm: &str, vms: &VmList, dispatcher: &mut Dispatcher) -> DrainCost {
    let Some(worker) = vms.get(vm).and_then(|entry| entry.worker.as_deref()) else {
        return (0, 0);
    };
    let id = dispatcher.worker_id(worker);
    let long_running = dispatcher.long_running_on(id).len();
    (long_running, dispatcher.workers.get(id).map_or(0, |worker| worker.used.cpu_milli))
}

/// How far the drain of a VM has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainState {
    /// Only tasks remain, if any, that have had their time to end.
    Drained,
    /// Tasks are ending.
    Draining,
    /// Long-running tasks remain, and none of them may be stopped now.
    Blocked(DrainBlocker),
}

impl Dispatcher {
    /// Stops those long-running tasks on a worker that have a place elsewhere, as
    /// far as their steps allow.
    pub(crate) fn drain_for_maintenance(
        &mut self,
        now: TimeMs,
        name: &str,
        is_timed_out: bool,
        may_stop_long_running: bool,
    ) -> DrainState {
        let id = self.worker_id(name);
        let tasks = self.tasks_on(id);
        let is_listed = self.workers.get(id).is_some_and(|worker| worker.listing.is_some());
        if tasks.is_empty() && !self.is_stored_as_empty(id) {
            return DrainState::Draining;
        }
        if !is_listed && tasks.is_empty() {
            // The VM is on standby, where it gets no tasks.
            return DrainState::Drained;
        }
        if !self.is_listed_and_reachable(id) {
            // It is not known what runs on the VM: it may have another worker.
            return DrainState::Blocked(DrainBlocker::Unreached);
        }
        let long_running = self.long_running_on(id);
        match (long_running.is_empty(), tasks.is_empty() || is_timed_out) {
            (true, true) => DrainState::Drained,
            (true, false) => DrainState::Draining,
            (false, _) if may_stop_long_running => self.stop_for_maintenance(now, id, long_running),
            (false, _) => DrainState::Draining,
        }
    }

    fn stop_for_maintenance(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        tasks: Vec<TaskKey>,
    ) -> DrainState {
        let is_needed = self.is_needed_by_waiting_task(now, id);
        let mut without_place = None;
        let mut blocker = DrainBlocker::MaxUnavailable;
        let mut is_stopping = false;
        for task in tasks {
            if self.placement(task).is_some_and(|placement| placement.stop.is_some()) {
                is_stopping = true;
                self.drain_places.reserve(task.step);
            } else if is_needed {
                blocker = DrainBlocker::NeededByWaitingTask;
            } else if self.may_stop_for_maintenance(task) {
                self.drain_places.reserve(task.step);
                let without_place =
                    without_place.get_or_insert_with(|| self.tasks_without_place(now, id));
                if self.has_place(now, task.step, without_place, id, Room::Free) {
                    self.stop(task, StopReason::Maintenance);
                    without_place.push(task.step);
                    is_stopping = true;
                } else {
                    blocker = DrainBlocker::NoPlace;
                }
            }
        }
        match is_stopping {
            true => DrainState::Draining,
            false => DrainState::Blocked(blocker),
        }
    }

    /// True if, as far as capacity goes, all long-running tasks of a worker have
    /// places on others once the other tasks there have ended.
    pub(crate) fn can_be_drained(&mut self, now: TimeMs, name: &str) -> bool {
        let id = self.worker_id(name);
        let mut others = Vec::new();
        let has_places = self.long_running_on(id).into_iter().all(|task| {
            let has_place = self.has_place(now, task.step, &others, id, Room::Later);
            others.push(task.step);
            has_place
        });
        has_places && (!self.has_tasks(id) || self.is_listed_and_reachable(id))
    }

    /// Why the worker of a drained VM that has to wait for its order should get
    /// tasks again.
    pub(crate) fn blocker_of_drained(&mut self, now: TimeMs, name: &str) -> Option<DrainBlocker> {
        let id = self.worker_id(name);
        let is_needed = self.is_needed_by_waiting_task(now, id);
        is_needed.then_some(DrainBlocker::NeededByWaitingTask)
    }

    /// Handles that the drain of a worker's VM was given up.
    pub(crate) fn drain_given_up(&mut self, name: &str, blocker: DrainBlocker) {
        let worker = self.worker_id(name);
        let tasks = self.tasks_on(worker).len();
        self.events.push(DispatcherEvent::DrainGivenUp { worker, tasks, blocker });
    }

    /// Handles that the VM of a worker is down for maintenance, which has ended
    /// all its tasks. The VM will come back with another worker.
    pub(crate) fn vm_down_for_maintenance(&mut self, name: &str) {
        let id = self.worker_id(name);
        self.release_ordered(id, PlacementReleaseReason::VmDown);
    }

    fn tasks_on(&self, id: WorkerId) -> Vec<TaskKey> {
        self.workers.get(id).map_or_else(Vec::new, |worker| worker.tasks.iter().copied().collect())
    }

    fn long_running_on(&self, id: WorkerId) -> Vec<TaskKey> {
        let is_long_running = |task: &TaskKey| {
            let job = self.jobs.get(task.step.job);
            job.is_some_and(|job| job.step_spec(task.step.step).long_running)
        };
        self.tasks_on(id).into_iter().filter(is_long_running).collect()
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
