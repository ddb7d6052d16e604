//! What each pool has, and what its jobs ask for.

use std::collections::BTreeMap;

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::rank;

/// Arrivals of this time tell what a pool will need when a VM has come: a turn
/// begins with jobs whose later steps have yet to ask for room.
const ARRIVAL_WINDOW_MS: u64 = 700;
/// The need that is expected is at most this multiple of the present one.
const ARRIVAL_MAX_FACTOR: u64 = 2;

/// Room and need of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBalance {
    /// What the workers have that can get tasks.
    pub capacity_cpu_milli: u64,
    /// What tasks take that have a place.
    pub used_cpu_milli: u64,
    /// What tasks ask for that could start now.
    pub waiting_cpu_milli: u64,
    /// What the pool should have, as far as known now.
    pub need_cpu_milli: u64,
    /// Work that has arrived lately, by its rate.
    pub arriving_cpu_milli: u64,
    /// Workers that can get tasks.
    pub workers: usize,
    /// Workers that lasting tasks of one step need, as they spread.
    pub spread_workers: usize,
}

/// Balances of the pools that are in service.
pub(crate) type PoolBalances = BTreeMap<PoolId, PoolBalance>;

impl Dispatcher {
    /// Room and need of each pool that is not on standby.
    pub(crate) fn balances(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> PoolBalances {
        let active = catalog.pools().filter(|(_, pool)| !pool.is_standby);
        let mut balances: PoolBalances =
            active.map(|(pool, _)| (pool, PoolBalance::default())).collect();
        for (_, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let Some(balance) = balances.get_mut(&listing.pool) else { continue };
            let serves = !listing.is_draining && !worker.is_cordoned;
            let in_service = !self.data_centres_out.contains(&listing.data_centre);
            if serves && in_service && !worker.is_silent() {
                balance.capacity_cpu_milli += listing.capacity.cpu_milli;
                balance.workers += 1;
            }
            balance.used_cpu_milli += worker.used.cpu_milli;
            balance.need_cpu_milli += worker.used.cpu_milli;
        }
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.is_closing()) {
            let Some(balance) = balances.get_mut(&job.pool) else { continue };
            balance.spread_workers = balance.spread_workers.max(spread_of(job));
            let waiting_cpu_milli = waiting_cpu_milli(id, job, now_unix_ms);
            balance.waiting_cpu_milli += waiting_cpu_milli;
            if !rank::is_overdue(now, job) {
                balance.need_cpu_milli += waiting_cpu_milli;
            }
            if now.since(job.accepted_at) <= ARRIVAL_WINDOW_MS && !job.spec.is_lasting() {
                balance.arriving_cpu_milli += job.remaining_work() * 1_000 / ARRIVAL_WINDOW_MS;
            }
        }
        for balance in balances.values_mut() {
            // One large job alone says little about those that follow.
            let expected =
                balance.arriving_cpu_milli.min(balance.need_cpu_milli * ARRIVAL_MAX_FACTOR);
            balance.need_cpu_milli = balance.need_cpu_milli.max(expected);
        }
        balances
    }
}

/// Workers that the lasting tasks of one step need.
fn spread_of(job: &Job) -> usize {
    let lasting = job.spec.steps.iter().filter(|step| step.lasting);
    let workers = lasting.filter_map(|step| {
        let most = step.max_tasks_per_worker?;
        Some(step.task_count.div_ceil(most.max(1)) as usize)
    });
    workers.max().unwrap_or(0)
}

/// Room that the tasks need that could start now.
fn waiting_cpu_milli(id: JobId, job: &Job, now_unix_ms: u64) -> u64 {
    let mut need = 0;
    for (step, state) in job.startable_steps(id, now_unix_ms) {
        need += u64::from(state.waiting()) * job.step_spec(step.step).room().cpu_milli;
    }
    need
}
