//! Use of the learned demand by the owner: the need of pools, the VMs that are
//! emptied first, and the record for a successor.

use std::collections::BTreeMap;

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::demand_forecast::DemandForecast;
use crate::workload::demand_forecast::PresentLoad;
use crate::workload::demand_record::DemandRecord;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::pool_load::PoolLoads;
use crate::workload::worker::Reachability;

/// Time between two records of the learned demand. What is learned changes with
/// turns, which last for seconds.
const RECORD_INTERVAL_MS: u64 = 3_000;
/// A record of a former owner that is older is not used: the demand of an hour
/// ago says little about the present one.
const RECORD_AGE_MAX_MS: u64 = 3_600_000;

/// What the owner has learned of the demand of pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct LearnedDemand {
    pub(crate) forecast: DemandForecast,
    /// When it was last recorded; none before the first record.
    recorded_at: Option<TimeMs>,
}

impl PoolLoad {
    fn present(&self) -> PresentLoad {
        PresentLoad {
            lasting_cpu_milli: self.lasting_cpu_milli,
            used_cpu_milli: self.used_cpu_milli,
            waiting_cpu_milli: self.waiting_cpu_milli,
            capacity_cpu_milli: self.capacity_cpu_milli.saturating_sub(self.incoming_cpu_milli),
            incoming_cpu_milli: self.incoming_cpu_milli,
            unforecast_cpu_milli: self.need_cpu_milli,
        }
    }
}

impl Dispatcher {
    /// Replaces the need of pools by the forecasts that there are.
    pub(crate) fn apply_forecasts(&self, now: TimeMs, loads: &mut PoolLoads) {
        if !self.features.forecast_demand {
            return;
        }
        for (pool, load) in loads {
            load.unforecast_cpu_milli = load.need_cpu_milli;
            let forecast = self.demand.forecast.forecast(now, *pool, load.present());
            let Some(forecast) = forecast else { continue };
            load.need_cpu_milli = forecast.need_cpu_milli;
            load.soon_cpu_milli = forecast.soon_cpu_milli;
            load.keep_cpu_milli = forecast.keep_cpu_milli;
            load.arriving_cpu_milli = forecast.arriving_cpu_milli;
            load.is_falling = forecast.is_falling;
            load.is_forecast = true;
        }
    }

    /// Learns from the present loads of the pools, before forecasts replace
    /// their needs.
    pub(crate) fn learn_demand(&mut self, now: TimeMs, loads: &PoolLoads) {
        if !self.features.forecast_demand {
            return;
        }
        for (pool, load) in loads {
            self.demand.forecast.observe(now, *pool, load.present());
        }
    }

    /// Learns the time that a move took.
    pub(crate) fn move_completed(&mut self, took_ms: u64) {
        self.demand.forecast.add_move(took_ms);
    }

    /// Chooses the workers that get tasks last: the least used ones of pools
    /// whose load falls, as far as the pools have no need of them. They are idle
    /// sooner and can be moved; no task is stopped for it, and tasks that fit on
    /// no other worker still start there.
    pub(crate) fn choose_emptying(&mut self, loads: &PoolLoads) {
        if !self.features.forecast_demand {
            return;
        }
        let mut candidates: BTreeMap<PoolId, Vec<(u64, WorkerId, u64)>> = BTreeMap::new();
        for (id, worker) in self.workers.iter_mut() {
            worker.is_emptying = false;
            let Some(listing) = &worker.listing else { continue };
            let is_sound = worker.reachability == Reachability::Reachable && !worker.is_cordoned;
            let is_falling = loads.get(&listing.pool).is_some_and(|load| load.is_falling);
            if is_sound && is_falling && worker.task_counts.serving == 0 {
                let candidate = (worker.used.cpu_milli, id, listing.capacity.cpu_milli);
                candidates.entry(listing.pool).or_default().push(candidate);
            }
        }
        for (pool, mut workers) in candidates {
            let Some(load) = loads.get(&pool) else { continue };
            let mut surplus = load.capacity_cpu_milli.saturating_sub(load.keep_cpu_milli);
            workers.sort_unstable();
            for (_, id, size) in workers {
                if size > surplus {
                    break;
                }
                surplus -= size;
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.is_emptying = true;
                }
            }
        }
    }

    /// Takes the record of the learned demand, if one is due. It only improves
    /// decisions, so it is written with another batch.
    pub fn take_demand_record(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> Option<DemandRecord> {
        let is_due = self
            .demand
            .recorded_at
            .is_none_or(|recorded_at| now.since(recorded_at) >= RECORD_INTERVAL_MS);
        if !self.features.forecast_demand || !is_due {
            return None;
        }
        let queues = self.demand.forecast.records(now).into_iter().map(|(pool, queue, demand)| {
            (catalog.pool_name(pool).to_owned(), catalog.queue_name(queue).to_owned(), demand)
        });
        let record = DemandRecord { recorded_unix_ms: now_unix_ms, queues: queues.collect() };
        if record.queues.is_empty() {
            return None;
        }
        self.demand.recorded_at = Some(now);
        Some(record)
    }

    /// Takes over what a former owner learned of the demand.
    pub fn restore_demand(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &mut Catalog,
        record: &DemandRecord,
    ) {
        let age_ms = now_unix_ms.saturating_sub(record.recorded_unix_ms);
        if !self.features.forecast_demand || age_ms > RECORD_AGE_MAX_MS {
            return;
        }
        for (pool, queue, demand) in &record.queues {
            let key = (catalog.pool_id(pool), catalog.queue_id(queue));
            self.demand.forecast.restore(now, age_ms, key, demand);
        }
    }
}
