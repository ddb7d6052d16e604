//! Periodic events that tell an operator why tasks wait, and what capacity and
//! demand pools have.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::Blocker;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementBlockers;
use crate::workload::job::Job;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;
use crate::workload::worker::Reachability;

/// Time between two checks for waiting steps.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// A waiting step is reported after this time, and again each time that the
/// wait has doubled, so that a long wait takes few log lines.
const FIRST_REPORT_MS: u64 = 2_000;
/// Steps that one check reports, those that have waited longest first. Under
/// overload thousands of steps wait, mostly for the same reason.
const MAX_REPORTED_STEPS: usize = 8;

/// Organisations that one check reports over all full pools.
const MAX_REPORTED_SHARES: usize = 8;

/// Steps with waiting tasks, and the time of the next report on each.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitTracker {
    checked_at: Option<TimeMs>,
    steps: BTreeMap<StepKey, Wait>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    since: TimeMs,
    report_at: TimeMs,
}

impl Dispatcher {
    /// Emits an event for the load of each pool, and for steps whose wait is
    /// due to be reported. Runs once per check interval, and only after the
    /// owner has applied all stored jobs.
    pub fn explain(&mut self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) {
        let is_due = self.waits.checked_at.is_none_or(|last| now.since(last) >= CHECK_INTERVAL_MS);
        if !is_due || !self.is_recovered {
            return;
        }
        self.waits.checked_at = Some(now);
        self.report_run_times(now);
        let mut loads = self.pool_loads(now, now_unix_ms, catalog);
        self.apply_forecasts(now, &mut loads);
        for (pool, load) in loads {
            self.events.push(DispatcherEvent::PoolMeasured { pool, load });
        }
        self.report_shares();
        let waiting = self.waiting_steps(now_unix_ms);
        self.waits.steps.retain(|step, _| waiting.contains_key(step));
        for step in waiting.keys() {
            let report_at = now.plus(FIRST_REPORT_MS);
            self.waits.steps.entry(*step).or_insert(Wait { since: now, report_at });
        }
        let mut due: Vec<(TimeMs, StepKey)> = self
            .waits
            .steps
            .iter()
            .filter(|(_, wait)| wait.report_at <= now)
            .map(|(step, wait)| (wait.since, *step))
            .collect();
        due.sort_unstable();
        for (since, step) in due.into_iter().take(MAX_REPORTED_STEPS) {
            let waited_ms = now.since(since);
            let report_at = now.plus(waited_ms);
            self.waits.steps.insert(step, Wait { since, report_at });
            self.report_step(now, catalog, step, waiting[&step], waited_ms);
        }
    }

    /// Emits an event for each organisation whose use of a full pool differs most
    /// from its due share.
    fn report_shares(&mut self) {
        let mut shares = Vec::new();
        for (pool, of_pool) in self.shares.pools().filter(|(_, of_pool)| of_pool.is_full()) {
            for (organisation, share) in of_pool.organisations() {
                let difference_ppm = share.used_ppm.abs_diff(share.due_ppm);
                shares.push((Reverse(difference_ppm), pool, organisation, share));
            }
        }
        shares.sort_unstable_by_key(|(difference, pool, organisation, _)| {
            (*difference, *pool, *organisation)
        });
        for (_, pool, organisation, share) in shares.into_iter().take(MAX_REPORTED_SHARES) {
            self.events.push(DispatcherEvent::ShareMeasured { pool, organisation, share });
        }
    }

    /// Number of waiting tasks, by step that may start.
    fn waiting_steps(&self, now_unix_ms: u64) -> BTreeMap<StepKey, u32> {
        let mut waiting = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.is_closing()) {
            let steps = job.startable_steps(id, now_unix_ms);
            waiting.extend(steps.map(|(step, state)| (step, state.waiting())));
        }
        waiting
    }

    fn report_step(
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
                job.step_spec(step.step).start_request(),
            ),
            ..PlacementBlockers::default()
        };
        for (id, worker) in self.workers.iter() {
            if worker.listing.as_ref().is_some_and(|listing| listing.pool == job.pool)
                && let Some(blocker) = self.blocker(now, job, step, id)
            {
                blockers.count(blocker);
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

    /// The first reason for which a worker gets no task of the step.
    pub(crate) fn blocker(
        &self,
        now: TimeMs,
        job: &Job,
        step: StepKey,
        id: WorkerId,
    ) -> Option<Blocker> {
        let worker = self.workers.get(id)?;
        let listing = worker.listing.as_ref()?;
        let spec = job.step_spec(step.step);
        let here = job.step(step).on_worker(id);
        let is_out = self.data_centres_out.contains(&listing.data_centre);
        let blocker = if listing.is_draining || is_out {
            Blocker::Leaving
        } else if worker.reachability != Reachability::Reachable {
            Blocker::Unreached
        } else if !worker.is_listing_current() {
            Blocker::Restarted
        } else if worker.is_cordoned {
            Blocker::Cordoned
        } else if !worker.is_schedulable(now) {
            Blocker::Avoided
        } else if !self.has_required_label(id, spec) {
            Blocker::Unsuited
        } else if spec.max_tasks_per_worker.is_some_and(|most| here >= most) {
            Blocker::Spread
        } else if job.rules.needs_advice && self.ticket(now, step, id).is_none() {
            Blocker::WithoutTicket
        } else if !spec.effective_request().fits_in(worker.free()) {
            Blocker::Full
        } else {
            Blocker::Kept
        };
        Some(blocker)
    }
}
