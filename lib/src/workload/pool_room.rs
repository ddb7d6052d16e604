//! What a new job of a pool has to expect: the owner measures it and states it in its
//! ownership record, from which each node decides on new jobs.

use std::collections::BTreeMap;

use crate::ids::PoolId;
use crate::protos::workload as raw;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::rank;
use crate::workload::spec::JobSpec;

/// Binary digits that a stated amount keeps. An amount is then right within 1/16, and a
/// task that starts or ends in a large pool seldom changes the record.
const STATED_DIGITS: u32 = 4;

/// Room of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolRoom {
    /// Name of the pool.
    pub pool: String,
    /// CPU of workers that can get tasks, of VMs on the way and of VMs on standby, in
    /// thousandths of a core.
    pub capacity_cpu_milli: u64,
    /// CPU that placed tasks take.
    pub used_cpu_milli: u64,
    /// The part of it that long-running tasks take, which does not become free.
    pub long_running_cpu_milli: u64,
    /// Work that waits, by the place of its jobs in the order of placement.
    pub waiting: Vec<WaitingWork>,
}

/// Work that waits for room, of jobs with about the same place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingWork {
    /// Place of the jobs in the order of placement.
    pub place: OrderPlace,
    /// Work of their waiting tasks.
    pub work_core_ms: u64,
}

/// Place of a job in the order in which jobs are placed that are not late; lower places
/// come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderPlace {
    /// Priority of the job.
    pub priority: u32,
    /// Binary logarithm of its work in core-milliseconds: jobs with less work come first.
    pub size_class: u32,
}

impl OrderPlace {
    pub(crate) fn new(priority: u32, work_core_ms: u64) -> Self {
        Self { priority, size_class: work_core_ms.max(1).ilog2() }
    }

    /// The place of a job that has not started.
    pub fn of_new_job(spec: &JobSpec) -> Self {
        Self::new(spec.rules.priority, spec.work_core_ms())
    }
}

impl PoolRoom {
    /// CPU that waiting work can get, now or when other work ends.
    pub(crate) fn shared_cpu_milli(&self) -> u64 {
        self.capacity_cpu_milli.saturating_sub(self.long_running_cpu_milli)
    }

    /// CPU that no task takes.
    pub(crate) fn free_cpu_milli(&self) -> u64 {
        self.capacity_cpu_milli.saturating_sub(self.used_cpu_milli)
    }

    /// Work that is placed before a new job at `place`.
    pub(crate) fn work_ahead_core_ms(&self, place: OrderPlace) -> u64 {
        let ahead = self.waiting.iter().filter(|waiting| waiting.place <= place);
        ahead.map(|waiting| waiting.work_core_ms).fold(0, u64::saturating_add)
    }

    pub(crate) fn to_raw(&self) -> raw::PoolRoom {
        let waiting = self.waiting.iter().map(|waiting| raw::WaitingWork {
            priority: waiting.place.priority,
            size_class: waiting.place.size_class,
            work_core_ms: waiting.work_core_ms,
        });
        raw::PoolRoom {
            pool: self.pool.clone(),
            capacity_cpu_milli: self.capacity_cpu_milli,
            used_cpu_milli: self.used_cpu_milli,
            long_running_cpu_milli: self.long_running_cpu_milli,
            waiting: waiting.collect(),
        }
    }

    pub(crate) fn from_raw(raw: raw::PoolRoom) -> Self {
        let waiting = raw.waiting.into_iter().map(|waiting| WaitingWork {
            place: OrderPlace { priority: waiting.priority, size_class: waiting.size_class },
            work_core_ms: waiting.work_core_ms,
        });
        Self {
            pool: raw.pool,
            capacity_cpu_milli: raw.capacity_cpu_milli,
            used_cpu_milli: raw.used_cpu_milli,
            long_running_cpu_milli: raw.long_running_cpu_milli,
            waiting: waiting.collect(),
        }
    }
}

/// CPU of VMs that no worker listing shows yet, in thousandths of a core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ComingVms {
    /// VMs that are being moved, by the pool that they move to.
    pub moving_cpu_milli: BTreeMap<PoolId, u64>,
    /// VMs on standby, which any pool may get.
    pub standby_cpu_milli: u64,
}

impl Dispatcher {
    /// Sets what the next ownership record states of the pools.
    pub fn set_rooms(&mut self, rooms: Vec<PoolRoom>) {
        self.rooms = rooms;
    }

    /// The rooms of all pools that are not on standby. A pool without capacity is left
    /// out: its workers may only be unknown to a new owner.
    pub fn measure_rooms(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
        coming: &ComingVms,
    ) -> Vec<PoolRoom> {
        let mut waiting = self.waiting_work(now, now_unix_ms, catalog);
        let mut long_running = self.long_running_cpu_milli();
        let mut rooms = Vec::new();
        for (pool, load) in self.pool_loads(now, now_unix_ms, catalog) {
            let moving = coming.moving_cpu_milli.get(&pool).copied().unwrap_or_default();
            if load.capacity_cpu_milli == 0 {
                continue;
            }
            let coming = moving.saturating_add(coming.standby_cpu_milli);
            let capacity_cpu_milli = load.capacity_cpu_milli.saturating_add(coming);
            let works = waiting.remove(&pool).unwrap_or_default().into_iter();
            let works =
                works.map(|(place, work)| WaitingWork { place, work_core_ms: rounded_down(work) });
            rooms.push(PoolRoom {
                pool: catalog.pool_name(pool).to_owned(),
                capacity_cpu_milli: rounded_up(capacity_cpu_milli),
                used_cpu_milli: rounded_down(load.used_cpu_milli),
                long_running_cpu_milli: rounded_down(
                    long_running.remove(&pool).unwrap_or_default(),
                ),
                waiting: works.collect(),
            });
        }
        rooms
    }

    /// Work that waits for room in each pool. Jobs without value for their submitters
    /// are placed after all others, and work beyond the limit of its organisation waits
    /// for that limit and not for room.
    fn waiting_work(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> BTreeMap<PoolId, BTreeMap<OrderPlace, u64>> {
        let mut allowances = BTreeMap::new();
        let mut waiting: BTreeMap<PoolId, BTreeMap<OrderPlace, u64>> = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            let is_competing = !job.is_closing() && !job.spec.is_long_running();
            if !is_competing || rank::is_overdue(now, job) {
                continue;
            }
            let cpu_milli = startable_cpu_milli(id, job, now_unix_ms);
            if cpu_milli == 0 {
                continue;
            }
            if let Some(organisation) = job.organisation {
                let left = allowances
                    .entry(organisation)
                    .or_insert_with(|| self.unused_limit_cpu_milli(catalog, organisation));
                if *left < cpu_milli {
                    continue;
                }
                *left -= cpu_milli;
            }
            let place = OrderPlace::new(job.rules.priority, job.remaining_work());
            let sum = waiting.entry(job.pool).or_default().entry(place).or_default();
            *sum = sum.saturating_add(unplaced_work_core_ms(id, job, now_unix_ms));
        }
        waiting
    }

    fn long_running_cpu_milli(&self) -> BTreeMap<PoolId, u64> {
        let mut sums: BTreeMap<PoolId, u64> = BTreeMap::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.spec.is_long_running()) {
            let placed = job.steps(id).map(|(step, state)| {
                let spec = job.step_spec(step.step);
                let placed = spec.task_count.saturating_sub(state.waiting() + state.done());
                spec.effective_request().cpu_milli.saturating_mul(placed.into())
            });
            let placed = placed.fold(0, u64::saturating_add);
            let sum = sums.entry(job.pool).or_default();
            *sum = sum.saturating_add(placed);
        }
        sums
    }
}

/// CPU that the tasks of a job request that could start now.
fn startable_cpu_milli(id: JobId, job: &Job, now_unix_ms: u64) -> u64 {
    let steps = job.startable_steps(id, now_unix_ms);
    let cpu = steps.map(|(step, state)| {
        let request = job.step_spec(step.step).effective_request();
        request.cpu_milli.saturating_mul(state.waiting().into())
    });
    cpu.fold(0, u64::saturating_add)
}

/// Expected work of the tasks of a job that are not placed, in the occurrences that are
/// due. Its later steps go before other jobs, too.
fn unplaced_work_core_ms(id: JobId, job: &Job, now_unix_ms: u64) -> u64 {
    let due = job.steps(id).filter(|(step, _)| {
        job.spec.due_unix_ms(step.occurrence).is_none_or(|due| due <= now_unix_ms)
    });
    let work = due.map(|(step, state)| {
        let spec = job.step_spec(step.step);
        let request = spec.effective_request().cpu_milli;
        let core_ms = request.saturating_mul(job.expected_run_ms(step.step)) / 1_000;
        core_ms.saturating_mul(state.waiting().into())
    });
    work.fold(0, u64::saturating_add)
}

/// Rounds down to a few binary digits.
fn rounded_down(amount: u64) -> u64 {
    let dropped = (u64::BITS - amount.leading_zeros()).saturating_sub(STATED_DIGITS);
    amount >> dropped << dropped
}

/// Rounds up to a few binary digits.
fn rounded_up(amount: u64) -> u64 {
    let down = rounded_down(amount);
    if down == amount {
        return amount;
    }
    let dropped = (u64::BITS - amount.leading_zeros()).saturating_sub(STATED_DIGITS);
    down.saturating_add(1 << dropped)
}
