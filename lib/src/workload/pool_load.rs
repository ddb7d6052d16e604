//! What each pool has, and what its jobs ask for.

use std::collections::BTreeMap;
use std::collections::VecDeque;

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
/// Few arrivals raise the need to at most this multiple of the present one.
const NEED_MAX_FACTOR: u64 = 2;

/// Room and need of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// What the workers have that can get tasks.
    pub capacity_cpu_milli: u64,
    /// What tasks take that have a place.
    pub used_cpu_milli: u64,
    /// What tasks ask for that could start now.
    pub waiting_cpu_milli: u64,
    /// What the pool should have, as far as known now.
    pub need_cpu_milli: u64,
    /// What is needed to keep up with the work that arrives.
    pub arriving_cpu_milli: u64,
    /// Workers that can get tasks.
    pub workers: usize,
    /// Workers that lasting tasks of one step need, as they spread.
    pub spread_workers: usize,
}

/// Work of jobs that arrived lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    pools: BTreeMap<PoolId, VecDeque<Arrival>>,
}

/// The work of one job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: TimeMs,
    work_core_ms: u64,
}

impl Arrivals {
    pub(crate) fn add(&mut self, now: TimeMs, pool: PoolId, work_core_ms: u64) {
        let arrivals = self.pools.entry(pool).or_default();
        while arrivals.front().is_some_and(|first| now.since(first.at) > ARRIVAL_WINDOW_MS) {
            arrivals.pop_front();
        }
        arrivals.push_back(Arrival { at: now, work_core_ms });
    }

    /// Room that keeps up with the work that arrives in a pool, as far as the
    /// last arrivals tell. Their number is uncertain by its square root, and
    /// one large job alone says little about those that follow.
    fn expected_cpu_milli(&self, now: TimeMs, pool: PoolId, need_cpu_milli: u64) -> u64 {
        let Some(arrivals) = self.pools.get(&pool) else { return 0 };
        let recent = arrivals.iter().filter(|arrival| now.since(arrival.at) <= ARRIVAL_WINDOW_MS);
        let (mut count, mut work_core_ms) = (0_u64, 0_u64);
        for arrival in recent {
            count += 1;
            work_core_ms = work_core_ms.saturating_add(arrival.work_core_ms);
        }
        if count == 0 {
            return 0;
        }
        // In thousandths, so that small numbers keep their root.
        let root_milli = (count * 1_000_000).isqrt();
        let certain_milli = 1_000 - 1_000_000 / root_milli;
        let rate_cpu_milli = work_core_ms.saturating_mul(1_000) / ARRIVAL_WINDOW_MS;
        let certain_cpu_milli = rate_cpu_milli.saturating_mul(certain_milli) / 1_000;
        certain_cpu_milli.max(rate_cpu_milli.min(need_cpu_milli * NEED_MAX_FACTOR))
    }
}

/// Balances of the pools that are in service.
pub(crate) type PoolLoads = BTreeMap<PoolId, PoolLoad>;

impl Dispatcher {
    /// Room and need of each pool that is not on standby.
    pub(crate) fn pool_loads(&self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) -> PoolLoads {
        let active = catalog.pools().filter(|(_, pool)| !pool.is_standby);
        let mut balances: PoolLoads = active.map(|(pool, _)| (pool, PoolLoad::default())).collect();
        for (_, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let Some(balance) = balances.get_mut(&listing.pool) else { continue };
            let serves = !listing.is_draining && !worker.is_cordoned;
            let in_service = !self.data_centres_out.contains(&listing.data_centre);
            if serves && in_service && !worker.is_unreachable() {
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
        }
        for (pool, balance) in &mut balances {
            balance.arriving_cpu_milli =
                self.arrivals.expected_cpu_milli(now, *pool, balance.need_cpu_milli);
            balance.need_cpu_milli = balance.need_cpu_milli.max(balance.arriving_cpu_milli);
        }
        balances
    }
}

/// Workers that the lasting tasks of one step need.
fn spread_of(job: &Job) -> usize {
    let lasting = job.spec.steps.iter().filter(|step| step.long_running);
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
        need += u64::from(state.waiting()) * job.step_spec(step.step).effective_request().cpu_milli;
    }
    need
}
