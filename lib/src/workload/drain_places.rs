//! Whether a long-running task has a place on another worker, before it is
//! stopped for maintenance, and the capacity that is kept for it there.

use std::collections::BTreeSet;

use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;
use crate::workload::spec::StepSpec;

/// Capacity stays reserved for drained tasks for this time after the plan that
/// requested it. Owners plan at least twice in it, unless the VM list is too old.
const RESERVATION_MS: u64 = 500;

/// What the placement of tasks and the drains of VMs tell each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainPlaces {
    /// Long-running steps for which the last placement round had no worker, and
    /// how many of their tasks may run within the limit of the organisation.
    unplaced: Vec<(StepKey, u32)>,
    planned_at: TimeMs,
    /// Steps with tasks that are being stopped for maintenance, or will be once
    /// they have a place.
    reserved: BTreeSet<StepKey>,
}

impl DrainPlaces {
    pub(crate) fn begin_placement(&mut self) {
        self.unplaced.clear();
    }

    pub(crate) fn begin_plan(&mut self, now: TimeMs) {
        self.planned_at = now;
        self.reserved.clear();
    }

    pub(crate) fn reserve(&mut self, step: StepKey) {
        self.reserved.insert(step);
    }

    /// Steps that a placement round reserves a worker for.
    pub(crate) fn reserved(&self, now: TimeMs) -> Vec<StepKey> {
        match now.since(self.planned_at) < RESERVATION_MS {
            true => self.reserved.iter().copied().collect(),
            false => Vec::new(),
        }
    }
}

/// Capacity of a worker that counts as room for a long-running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// What no task takes.
    Free,
    /// What no long-running task takes: other tasks end by themselves.
    Later,
}

impl Dispatcher {
    /// Records that the placement round had no worker for a long-running step, with
    /// the number of its waiting tasks that the limit of the organisation allows.
    pub(crate) fn add_unplaced(&mut self, catalog: &Catalog, step: StepKey, spec: &StepSpec) {
        let waiting = self.jobs.get(step.job).map_or(0, |job| job.step(step).waiting());
        let is_allowed = |count: &u32| {
            let request = spec.request.scaled_up((*count).into(), 1);
            self.is_within_limit(catalog, step.job, request)
        };
        let tasks = (1..=waiting).take_while(is_allowed).last().unwrap_or(0);
        self.drain_places.unplaced.push((step, tasks));
    }

    /// The steps of the long-running tasks that need a place on some worker, one
    /// entry for each task: of those that found none, and of those that are being
    /// stopped. Tasks that fit on no worker take no place and are left out.
    pub(crate) fn tasks_without_place(&self, now: TimeMs, drained: WorkerId) -> Vec<StepKey> {
        let mut steps = Vec::new();
        for (step, tasks) in &self.drain_places.unplaced {
            if self.may_run_later(now, *step, drained) {
                steps.extend(std::iter::repeat_n(*step, *tasks as usize));
            }
        }
        for (id, job) in self.jobs.iter() {
            if job.is_closing() || !job.spec.is_long_running() {
                continue;
            }
            for (step, state) in job.steps(id) {
                let placements = state.tasks.iter().filter_map(|task| task.placement());
                let stopping = placements.filter(|placement| placement.stop.is_some()).count();
                if job.step_spec(step.step).long_running {
                    steps.extend(std::iter::repeat_n(step, stopping));
                }
            }
        }
        steps
    }

    /// True if a long-running task waits for which only the drained worker has
    /// room.
    pub(crate) fn is_needed_by_waiting_task(&self, now: TimeMs, drained: WorkerId) -> bool {
        self.drain_places.unplaced.iter().any(|(step, _)| {
            let Some(job) = self.jobs.get(step.job).filter(|job| !job.is_closing()) else {
                return false;
            };
            let spec = job.step_spec(step.step);
            let worker = self.workers.get(drained);
            let listing = worker.and_then(|worker| worker.listing.as_ref());
            listing.is_some_and(|listing| listing.pool == job.pool)
                && self.count_places(*step, spec, drained, Room::Free, 1) > 0
                && !self.has_place(now, *step, &[], drained, Room::Free)
        })
    }

    /// True if a task of a step has a place on a worker other than the drained one,
    /// whichever places tasks of the steps `others` take.
    pub(crate) fn has_place(
        &self,
        now: TimeMs,
        step: StepKey,
        others: &[StepKey],
        drained: WorkerId,
        room: Room,
    ) -> bool {
        let Some(job) = self.jobs.get(step.job) else { return false };
        let spec = job.step_spec(step.step);
        let taken = others.iter().map(|other| self.places_taken(*other, step)).sum::<u64>();
        let needed = usize::try_from(taken.saturating_add(1)).unwrap_or(usize::MAX);
        let mut places = 0;
        for worker in self.schedulable_workers(now, job.pool) {
            if worker != drained && places < needed {
                places += self.count_places(step, spec, worker, room, needed - places);
            }
        }
        places >= needed
    }

    /// Number of places for tasks of `step` that a task of another step takes at
    /// most, on whichever worker it starts.
    fn places_taken(&self, other: StepKey, step: StepKey) -> u64 {
        let (Some(other_job), Some(job)) = (self.jobs.get(other.job), self.jobs.get(step.job))
        else {
            return 0;
        };
        if other_job.pool != job.pool {
            return 0;
        }
        let request = job.step_spec(step.step).effective_request();
        let other_request = other_job.step_spec(other.step).effective_request();
        other_request.dominant_share_ppm(request).div_ceil(1_000_000).max(1)
    }

    /// Number of tasks of a step, `max` at most, that a worker has room for.
    fn count_places(
        &self,
        step: StepKey,
        spec: &StepSpec,
        worker: WorkerId,
        room: Room,
        max: usize,
    ) -> usize {
        let Some(job) = self.jobs.get(step.job) else { return 0 };
        if self.is_denied(step, worker) {
            return 0;
        }
        let free = match room {
            Room::Free => self.free_capacity(worker),
            Room::Later => self.capacity_for_long_running(worker),
        };
        let max = u32::try_from(max).unwrap_or(u32::MAX);
        self.task_slots(worker, spec, job.step(step).on_worker(worker), free, max) as usize
    }

    /// True if the drained worker or another one has room for a task of a step
    /// once its other tasks have ended.
    fn may_run_later(&self, now: TimeMs, step: StepKey, drained: WorkerId) -> bool {
        let Some(job) = self.jobs.get(step.job).filter(|job| !job.is_closing()) else {
            return false;
        };
        let spec = job.step_spec(step.step);
        self.count_places(step, spec, drained, Room::Later, 1) > 0
            || self.has_place(now, step, &[], drained, Room::Later)
    }

    /// Capacity of a worker that is not taken by long-running tasks.
    pub(crate) fn capacity_for_long_running(&self, id: WorkerId) -> Resources {
        let Some(worker) = self.workers.get(id) else { return Resources::ZERO };
        let capacity = worker.listing.as_ref().map_or(Resources::ZERO, |listing| listing.capacity);
        worker.tasks.iter().fold(capacity, |free, task| {
            let job = self.jobs.get(task.step.job);
            let spec = job.map(|job| job.step_spec(task.step.step));
            match spec.filter(|spec| spec.long_running) {
                Some(spec) => free.saturating_sub(spec.effective_request()),
                None => free,
            }
        })
    }
}
