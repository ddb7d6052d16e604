//! Capacity and load of each pool.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::rank;

/// Jobs that arrived within this time predict what a pool will need by the time
/// a VM has been added. A demand peak begins with jobs whose later steps have
/// not requested resources yet.
const ARRIVAL_WINDOW_MS: u64 = 700;
/// A small number of arrivals raises the need to at most this multiple of the
/// present one.
const MAX_NEED_FACTOR: u64 = 2;
/// Capacity that a pool keeps when it gives a VM away, in percent of its need.
const HEADROOM_PERCENT: u64 = 130;

/// Capacity and load of a pool, with CPU in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Capacity of the workers that can get tasks.
    pub capacity_cpu_milli: u64,
    /// CPU that placed tasks take.
    pub used_cpu_milli: u64,
    /// CPU that tasks request that could start now within the limits of their
    /// organisations.
    pub waiting_cpu_milli: u64,
    /// CPU that the pool should have, as far as known now.
    pub need_cpu_milli: u64,
    /// CPU that the pool needs somewhat later; zero without a forecast.
    pub soon_cpu_milli: u64,
    /// CPU that the pool keeps when it gives VMs away.
    pub keep_cpu_milli: u64,
    /// CPU that is needed to keep up with the work that arrives.
    pub arriving_cpu_milli: u64,
    /// CPU of long-running tasks, which do not end by themselves; zero while no
    /// demand is forecast.
    pub lasting_cpu_milli: u64,
    /// Capacity of VMs that are moving to the pool, which also counts as
    /// capacity when moves are planned.
    pub incoming_cpu_milli: u64,
    /// CPU that the pool would need without a forecast; zero while no demand is
    /// forecast.
    pub unforecast_cpu_milli: u64,
    /// Whether the need is a forecast.
    pub is_forecast: bool,
    /// Whether the forecast is that the load falls.
    pub is_falling: bool,
    /// Workers that can get tasks.
    pub workers: usize,
    /// Workers that the long-running tasks of one step must be spread over.
    pub spread_workers: usize,
}

/// Work of recently submitted jobs, by pool.
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

    /// CPU that keeps up with the work that arrives in a pool, estimated from
    /// recent arrivals. The estimate is lowered by the uncertainty of their
    /// number, which is its square root, because a single large job says little
    /// about the jobs that follow.
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
        // In thousandths, so that the roots of small numbers are precise
        // enough.
        let root_milli = (count * 1_000_000).isqrt();
        let confidence_milli = 1_000 - 1_000_000 / root_milli;
        let rate_cpu_milli = work_core_ms.saturating_mul(1_000) / ARRIVAL_WINDOW_MS;
        let lower_cpu_milli = rate_cpu_milli.saturating_mul(confidence_milli) / 1_000;
        lower_cpu_milli.max(rate_cpu_milli.min(need_cpu_milli.saturating_mul(MAX_NEED_FACTOR)))
    }
}

impl PoolLoad {
    /// Adds a VM that is moving to the pool.
    pub(crate) fn add_incoming(&mut self, cpu_milli: u64) {
        self.incoming_cpu_milli = self.incoming_cpu_milli.saturating_add(cpu_milli);
        self.add_capacity(cpu_milli);
    }

    /// Adds a worker. Sizes come from outside, so that sums saturate.
    pub(crate) fn add_capacity(&mut self, cpu_milli: u64) {
        self.capacity_cpu_milli = self.capacity_cpu_milli.saturating_add(cpu_milli);
        self.workers += 1;
    }
}

/// Loads of the pools that are not on standby.
pub(crate) type PoolLoads = BTreeMap<PoolId, PoolLoad>;

impl Dispatcher {
    /// Capacity and load of each pool that is not on standby.
    pub(crate) fn pool_loads(&self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) -> PoolLoads {
        let active = catalog.pools().filter(|(_, pool)| !pool.is_standby);
        let mut loads: PoolLoads = active.map(|(pool, _)| (pool, PoolLoad::default())).collect();
        for (_, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let Some(load) = loads.get_mut(&listing.pool) else { continue };
            let accepts_tasks = !listing.is_draining && !worker.is_cordoned;
            let in_service = !self.data_centres_out.contains(&listing.data_centre);
            if accepts_tasks && in_service && !worker.is_unreachable() {
                load.add_capacity(listing.capacity.cpu_milli);
            }
            let used = worker.used.cpu_milli;
            load.used_cpu_milli = load.used_cpu_milli.saturating_add(used);
            load.need_cpu_milli = load.need_cpu_milli.saturating_add(used);
        }
        let mut allowances = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.is_closing()) {
            let Some(load) = loads.get_mut(&job.pool) else { continue };
            load.spread_workers = load.spread_workers.max(spread_workers(job));
            if self.features.forecast_demand && job.spec.is_long_running() {
                let lasting_cpu_milli = lasting_cpu_milli(id, job);
                load.lasting_cpu_milli = load.lasting_cpu_milli.saturating_add(lasting_cpu_milli);
            }
            let mut waiting_cpu_milli = waiting_cpu_milli(id, job, now_unix_ms);
            if let Some(organisation) = job.organisation {
                let left = allowances
                    .entry(organisation)
                    .or_insert_with(|| self.unused_limit_cpu_milli(catalog, organisation));
                waiting_cpu_milli = waiting_cpu_milli.min(*left);
                *left -= waiting_cpu_milli;
            }
            load.waiting_cpu_milli = load.waiting_cpu_milli.saturating_add(waiting_cpu_milli);
            if !rank::is_overdue(now, job) {
                load.need_cpu_milli = load.need_cpu_milli.saturating_add(waiting_cpu_milli);
            }
        }
        for (pool, load) in &mut loads {
            load.arriving_cpu_milli =
                self.arrivals.expected_cpu_milli(now, *pool, load.need_cpu_milli);
            load.need_cpu_milli = load.need_cpu_milli.max(load.arriving_cpu_milli);
            load.keep_cpu_milli =
                load.need_cpu_milli.saturating_mul(HEADROOM_PERCENT).div_ceil(100);
        }
        loads
    }

    /// CPU that an organisation may take in addition to what its tasks take, over
    /// all pools.
    pub(crate) fn unused_limit_cpu_milli(
        &self,
        catalog: &Catalog,
        organisation: OrganisationId,
    ) -> u64 {
        let limit = catalog.organisation(organisation).and_then(|spec| spec.limit.cpu_milli);
        let used = self.used_by_organisation.get(&organisation).copied().unwrap_or_default();
        limit.map_or(u64::MAX, |limit| limit.saturating_sub(used.cpu_milli))
    }
}

/// Number of workers that the long-running tasks of one step must be spread
/// over.
fn spread_workers(job: &Job) -> usize {
    let long_running = job.spec.steps.iter().filter(|step| step.long_running);
    let workers = long_running.filter_map(|step| {
        let max = step.max_tasks_per_worker?;
        Some(step.task_count.div_ceil(max.max(1)) as usize)
    });
    workers.max().unwrap_or(0)
}

/// CPU that placed tasks of the long-running steps of a job take.
fn lasting_cpu_milli(id: JobId, job: &Job) -> u64 {
    let steps = job.steps(id).filter(|(step, _)| job.step_spec(step.step).long_running);
    let cpu_milli = steps.map(|(step, state)| {
        let placed = state.tasks.iter().filter(|task| task.placement().is_some()).count() as u64;
        job.step_spec(step.step).effective_request().cpu_milli.saturating_mul(placed)
    });
    cpu_milli.fold(0, u64::saturating_add)
}

/// CPU that the tasks of a job request that could start now.
fn waiting_cpu_milli(id: JobId, job: &Job, now_unix_ms: u64) -> u64 {
    let mut need: u64 = 0;
    for (step, state) in job.startable_steps(id, now_unix_ms) {
        let request = job.step_spec(step.step).effective_request();
        need = request.cpu_milli.saturating_mul(state.waiting().into()).saturating_add(need);
    }
    need
}
