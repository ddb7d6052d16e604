//! Why tasks wait and what pools have, for whoever is asked about a job that
//! does not start.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementBlockers;
use crate::workload::job::Job;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;
use crate::workload::worker::Reachability;

/// Time between two looks at what waits.
const LOOK_INTERVAL_MS: u64 = 1_000;
/// A step is explained once its tasks have waited for this time, and again
/// each time that the wait has doubled: a long wait costs few lines.
const FIRST_EXPLAINED_MS: u64 = 2_000;
/// Steps that are explained in one look, those that have waited longest first.
/// Under overload thousands wait, mostly for the same reason.
const EXPLAINED_STEPS: usize = 8;

/// Steps that were seen to wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitTracker {
    looked_at: Option<TimeMs>,
    steps: BTreeMap<StepKey, Wait>,
}

/// The wait of one step for room.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: TimeMs,
    explain_at: TimeMs,
}

impl Dispatcher {
    /// Tells what pools have and why steps wait, once in an interval.
    pub fn explain(&mut self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) {
        let is_due = self.waits.looked_at.is_none_or(|last| now.since(last) >= LOOK_INTERVAL_MS);
        if !is_due || !self.is_recovered {
            return;
        }
        self.waits.looked_at = Some(now);
        for (pool, balance) in self.pool_loads(now, now_unix_ms, catalog) {
            self.events.push(DispatcherEvent::PoolMeasured { pool, balance });
        }
        let waiting = self.waiting_steps(now_unix_ms);
        self.waits.steps.retain(|step, _| waiting.contains_key(step));
        for step in waiting.keys() {
            let explain_at = now.plus(FIRST_EXPLAINED_MS);
            self.waits.steps.entry(*step).or_insert(Wait { since: now, explain_at });
        }
        let mut due: Vec<(TimeMs, StepKey)> = self
            .waits
            .steps
            .iter()
            .filter(|(_, wait)| wait.explain_at <= now)
            .map(|(step, wait)| (wait.since, *step))
            .collect();
        due.sort_unstable();
        for (since, step) in due.into_iter().take(EXPLAINED_STEPS) {
            let waited_ms = now.since(since);
            let explain_at = now.plus(waited_ms);
            self.waits.steps.insert(step, Wait { since, explain_at });
            self.explain_step(now, catalog, step, waiting[&step], waited_ms);
        }
    }

    /// Number of tasks that wait, by step that could start them.
    fn waiting_steps(&self, now_unix_ms: u64) -> BTreeMap<StepKey, u32> {
        let mut waiting = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.is_closing()) {
            let steps = job.startable_steps(id, now_unix_ms);
            waiting.extend(steps.map(|(step, state)| (step, state.waiting())));
        }
        waiting
    }

    fn explain_step(
        &mut self,
        now: TimeMs,
        catalog: &Catalog,
        step: StepKey,
        tasks: u32,
        waited_ms: u64,
    ) {
        let Some(job) = self.jobs.get(step.job) else { return };
        let mut blockers = PlacementBlockers {
            over_limit: !self.is_within_limit(
                catalog,
                step.job,
                job.step_spec(step.step).effective_request(),
            ),
            ..PlacementBlockers::default()
        };
        for (id, worker) in self.workers.iter() {
            if worker.listing.as_ref().is_some_and(|listing| listing.pool == job.pool) {
                self.count_obstacle(now, catalog, job, step, id, &mut blockers);
            }
        }
        self.events.push(DispatcherEvent::StepWaiting {
            job: job.key,
            occurrence: step.occurrence,
            step: step.step,
            tasks,
            waited_ms,
            blockers,
        });
    }

    /// Counts a worker under the first reason for which it gets no task of a
    /// step.
    fn count_obstacle(
        &self,
        now: TimeMs,
        catalog: &Catalog,
        job: &Job,
        step: StepKey,
        id: WorkerId,
        blockers: &mut PlacementBlockers,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let Some(listing) = &worker.listing else { return };
        let spec = job.step_spec(step.step);
        let here = job.step(step).on_worker(id);
        let needs_ticket = self.needs_advice(catalog, step.job);
        let count = if listing.is_draining || self.data_centres_out.contains(&listing.data_centre) {
            &mut blockers.leaving
        } else if worker.reachability != Reachability::Reachable {
            &mut blockers.unreached
        } else if worker.is_cordoned {
            &mut blockers.cordoned
        } else if !worker.is_schedulable(now) {
            &mut blockers.avoided
        } else if !self.has_required_label(id, spec) {
            &mut blockers.unsuited
        } else if spec.max_tasks_per_worker.is_some_and(|most| here >= most) {
            &mut blockers.spread
        } else if needs_ticket && self.tickets.get(now, step, id).is_none() {
            &mut blockers.without_ticket
        } else if !spec.effective_request().fits_in(worker.free()) {
            &mut blockers.full
        } else {
            &mut blockers.kept
        };
        *count += 1;
    }
}
