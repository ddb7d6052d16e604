//! What a worker has room for.

use crate::resources::Resources;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::WorkerId;
use crate::workload::spec::StepSpec;

impl Dispatcher {
    /// Number of further tasks of a step, `count` at most, that a worker with
    /// `tasks_here` of its tasks could take into `room`. The members of a gang start
    /// once none is placed.
    pub(crate) fn task_slots(
        &self,
        id: WorkerId,
        spec: &StepSpec,
        tasks_here: u32,
        mut room: Resources,
        count: u32,
    ) -> u32 {
        if !self.has_required_label(id, spec) {
            return 0;
        }
        let tasks_here = if spec.gang { 0 } else { tasks_here };
        let most = spec.max_tasks_per_worker.map_or(count, |max| max.saturating_sub(tasks_here));
        let mut slots = 0;
        while slots < most.min(count) && spec.effective_request().fits_in(room) {
            room = room.saturating_sub(spec.effective_request());
            slots += 1;
        }
        slots
    }

    /// True if the worker has the label that the step requires, if any.
    pub(crate) fn has_required_label(&self, id: WorkerId, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else { return true };
        let listing = self.workers.get(id).and_then(|worker| worker.listing.as_ref());
        listing.is_some_and(|listing| listing.labels.contains(label))
    }

    pub(crate) fn free_capacity(&self, id: WorkerId) -> Resources {
        self.workers.get(id).map_or(Resources::ZERO, |worker| worker.free())
    }

    pub(crate) fn capacity(&self, id: WorkerId) -> Resources {
        let listing = self.workers.get(id).and_then(|worker| worker.listing.as_ref());
        listing.map_or(Resources::ZERO, |listing| listing.capacity)
    }
}
