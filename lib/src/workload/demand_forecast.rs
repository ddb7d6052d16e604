//! Forecast of what a pool needs by the time that a VM has moved to it.
//!
//! The load of a pool is forecast from what runs and waits now, of which a part
//! ends meanwhile, and from the work that arrives. The rate of arrivals is
//! estimated from their number and their mean work, because the work of single
//! jobs differs too much for the sum over a short time to mean anything. Turns
//! of the demand that repeat are learned in [`crate::workload::demand_turns`].
//! Each forecast is compared later with what came; a pool whose forecasts are
//! worse than the estimate without them does without them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::QueueId;
use crate::workload::demand_record::QueueDemandRecord;
use crate::workload::demand_turns::DemandTurns;
use crate::workload::forecast_error::ForecastError;

/// Time from an order to move a VM until it gets tasks, before one was measured:
/// 1.5 s for the move, and the interval at which the list of VMs is read.
const MOVE_MS: u64 = 1_900;
/// Bounds of the measured time, so that a few moves that the list showed late
/// do not move the forecast beyond what it can know.
const MOVE_MIN_MS: u64 = 500;
const MOVE_MAX_MS: u64 = 4_000;
/// A VM that is not needed for this time is returned: a move there and back
/// costs as much as it does in a pool for this time (2 x 0.025 / 0.019 s, the
/// prices of the platform).
const BREAK_EVEN_MS: u64 = 2_600;
/// The rate is the mean over this time unless shorter ones show a change: with
/// 8 arrivals a second its error is 18%.
const RATE_WINDOW_MS: u64 = 4_000;
/// Numbers of the last arrivals whose lower bound of the rate shows a rise.
const RISE_COUNTS: [u64; 5] = [4, 6, 12, 24, 48];
/// A fall shows in the upper bounds of the rate over these times.
const FALL_WINDOWS_MS: [u64; 2] = [400, 1_200];
/// Distance of the bounds from the rate, in thousandths of its standard error,
/// the root of the number of arrivals: one steady rate in 15 is outside.
const BOUND_MILLI: u64 = 1_500;
/// Shortest time over which arrivals are counted; jobs that are submitted
/// together are no rate.
const RATE_MIN_WINDOW_MS: u64 = 100;
/// Each new job replaces this part of the mean, one in so many.
const MEAN_JOBS: u64 = 64;
/// A job counts with at most this multiple of the mean work, once so many were
/// seen: a single large job says little about the next ones.
const WORK_MAX_FACTOR: u64 = 4;
const WORK_MIN_JOBS: u64 = 8;
const RESIDENCE_MIN_MS: u64 = 200;
const RESIDENCE_MAX_MS: u64 = 10_000;
/// A VM that comes this much too early costs as much as the move that is saved
/// when a pool takes it from another one instead of from standby (0.025 / 0.019
/// s, the prices of the platform).
const EARLY_MS: u64 = 1_300;
/// Parts of the time in which the load is computed step by step.
const LOAD_PARTS: u64 = 8;
/// The load of a pool falls if it will be less than this part of the present
/// one, in percent, for this time: less is noise.
const FALLING_PERCENT: u64 = 80;
const FALLING_MS: u64 = 250;
/// Weight of what arrives in the mean residence, against what arrived at any
/// time.
const RECENT_WEIGHT: u128 = 1_000;
/// A rise counts with the level of earlier turns, as if so many arrivals had
/// shown it.
const TURN_PRIOR_ARRIVALS: u64 = 8;

/// What is known of a pool at the time of a forecast, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PresentLoad {
    /// CPU of long-running tasks, which do not end by themselves.
    pub(crate) lasting_cpu_milli: u64,
    pub(crate) used_cpu_milli: u64,
    pub(crate) waiting_cpu_milli: u64,
    /// Capacity of the workers that can get tasks, and of VMs that are moving to
    /// the pool.
    pub(crate) capacity_cpu_milli: u64,
    pub(crate) incoming_cpu_milli: u64,
    /// What the pool needs by the estimate without a forecast.
    pub(crate) unforecast_cpu_milli: u64,
}

/// The forecast for a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Forecast {
    /// CPU that the pool needs when a VM that is ordered now gets tasks.
    pub(crate) need_cpu_milli: u64,
    /// CPU that the pool needs soon after that. It takes VMs early that another
    /// pool would give to standby.
    pub(crate) soon_cpu_milli: u64,
    /// CPU that the pool keeps when it gives VMs away.
    pub(crate) keep_cpu_milli: u64,
    /// CPU that keeps up with the arrivals.
    pub(crate) arriving_cpu_milli: u64,
    /// Whether the load falls for longer than a VM has to be idle to be
    /// returned.
    pub(crate) is_falling: bool,
}

/// The demand of all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandForecast {
    pools: BTreeMap<PoolId, PoolDemand>,
    /// Mean time of a move; none before the first.
    move_ms: Option<u64>,
}

/// The demand of one pool.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    queues: BTreeMap<QueueId, QueueDemand>,
    error: ForecastError,
    /// Since when the load was expected to fall.
    falling_since: Option<TimeMs>,
}

/// The demand of one queue. Queues of a pool differ in their work and in the
/// times of their turns.
#[derive(Clone, Debug, Default)]
struct QueueDemand {
    /// Arrivals of the last time, oldest first.
    arrivals: VecDeque<TimeMs>,
    work: MeanWork,
    turns: DemandTurns,
}

/// Mean work of a job, and the time for which its work stays in the pool.
#[derive(Clone, Copy, Debug, Default)]
struct MeanWork {
    jobs: u64,
    /// Mean work in core-microseconds, so that small jobs are not rounded away.
    work_core_us: u64,
    residence_ms: u64,
}

impl MeanWork {
    fn add(&mut self, work_core_ms: u64, residence_ms: u64) {
        let mut work_core_us = work_core_ms.saturating_mul(1_000);
        if self.jobs >= WORK_MIN_JOBS {
            work_core_us = work_core_us.min(self.work_core_us.saturating_mul(WORK_MAX_FACTOR));
        }
        self.jobs = (self.jobs + 1).min(MEAN_JOBS);
        let mean = |mean: u64, value: u64| {
            let others = u128::from(mean) * u128::from(self.jobs - 1);
            let sum = others + u128::from(value);
            u64::try_from(sum / u128::from(self.jobs)).unwrap_or(u64::MAX)
        };
        let residence_ms = residence_ms.clamp(RESIDENCE_MIN_MS, RESIDENCE_MAX_MS);
        self.residence_ms = mean(self.residence_ms, residence_ms);
        self.work_core_us = mean(self.work_core_us, work_core_us);
    }

    /// CPU that keeps up with a rate of jobs.
    fn cpu_milli(&self, rate_milli: u64) -> u64 {
        // Jobs in thousandths a second, times microseconds of a core.
        let product = u128::from(rate_milli) * u128::from(self.work_core_us);
        u64::try_from(product / 1_000_000).unwrap_or(u64::MAX)
    }
}

impl DemandForecast {
    /// Adds the arrival of a job whose critical path takes `residence_ms`.
    pub(crate) fn add(
        &mut self,
        now: TimeMs,
        (pool, queue): (PoolId, QueueId),
        work_core_ms: u64,
        residence_ms: u64,
    ) {
        let demand = self.pools.entry(pool).or_default().queues.entry(queue).or_default();
        demand.work.add(work_core_ms, residence_ms);
        demand.arrivals.push_back(now);
        while demand.arrivals.front().is_some_and(|first| now.since(*first) > RATE_WINDOW_MS) {
            demand.arrivals.pop_front();
        }
    }

    /// Adds the time that a move took.
    pub(crate) fn add_move(&mut self, took_ms: u64) {
        let took_ms = took_ms.clamp(MOVE_MIN_MS, MOVE_MAX_MS);
        self.move_ms = Some(self.move_ms.map_or(took_ms, |mean| (7 * mean + took_ms) / 8));
    }

    /// Learns from the present load of a pool: its turns, and how far earlier
    /// forecasts were from it.
    pub(crate) fn observe(&mut self, now: TimeMs, pool: PoolId, present: PresentLoad) {
        let horizon_ms = self.move_ms.unwrap_or(MOVE_MS);
        let Some(demand) = self.pools.get_mut(&pool) else { return };
        for queue in demand.queues.values_mut() {
            let rate_milli = queue.rate_milli(now);
            if queue.turns.observe(now, rate_milli) {
                queue.arrivals.retain(|at| now.since(*at) <= FALL_WINDOWS_MS[0]);
            }
        }
        let forecast = demand.forecast(now, present, horizon_ms);
        let actual = present.used_cpu_milli.saturating_add(present.waiting_cpu_milli);
        demand.falling_since = forecast.is_falling.then(|| demand.falling_since.unwrap_or(now));
        let predicted = (forecast.need_cpu_milli, present.unforecast_cpu_milli);
        demand.error.observe(now, actual, now.plus(horizon_ms), predicted);
    }

    /// The forecast for a pool; none for a pool without jobs, or whose forecasts
    /// are worse than the estimate without them.
    pub(crate) fn forecast(
        &self,
        now: TimeMs,
        pool: PoolId,
        present: PresentLoad,
    ) -> Option<Forecast> {
        let demand = self.pools.get(&pool)?;
        let horizon_ms = self.move_ms.unwrap_or(MOVE_MS);
        if demand.error.is_given_up() {
            return None;
        }
        let forecast = demand.forecast(now, present, horizon_ms);
        let has_fallen = demand.falling_since.is_some_and(|since| now.since(since) >= FALLING_MS);
        Some(Forecast { is_falling: forecast.is_falling && has_fallen, ..forecast })
    }

    /// What was learned of each queue, for a successor.
    pub(crate) fn records(&self, now: TimeMs) -> Vec<(PoolId, QueueId, QueueDemandRecord)> {
        let queues = self.pools.iter().flat_map(|(pool, demand)| {
            demand.queues.iter().map(move |(queue, demand)| (*pool, *queue, demand))
        });
        let known = queues.filter(|(_, _, demand)| demand.work.jobs >= WORK_MIN_JOBS);
        known.map(|(pool, queue, demand)| (pool, queue, demand.record(now))).collect()
    }

    /// Takes over what a former owner learned, `age_ms` after it recorded it.
    pub(crate) fn restore(
        &mut self,
        now: TimeMs,
        age_ms: u64,
        (pool, queue): (PoolId, QueueId),
        record: &QueueDemandRecord,
    ) {
        let queues = &mut self.pools.entry(pool).or_default().queues;
        queues.insert(queue, QueueDemand::restored(now, age_ms, record));
    }
}

impl PoolDemand {
    fn forecast(&self, now: TimeMs, present: PresentLoad, horizon_ms: u64) -> Forecast {
        let load_in = |after_ms: u64| self.load_in(now, present, after_ms);
        let arriving = self.queues.values().map(|queue| queue.arriving_cpu_milli(now));
        let need_cpu_milli = load_in(horizon_ms);
        let present_cpu_milli = present.used_cpu_milli.saturating_add(present.waiting_cpu_milli);
        let most = need_cpu_milli.max(load_in(BREAK_EVEN_MS));
        let is_falling =
            most.saturating_mul(100) < present_cpu_milli.saturating_mul(FALLING_PERCENT);
        let margin_milli = 1_000 + self.error.margin_milli(is_falling);
        let keep_cpu_milli = most.saturating_mul(margin_milli).div_ceil(1_000);
        Forecast {
            need_cpu_milli,
            soon_cpu_milli: load_in(horizon_ms + EARLY_MS),
            keep_cpu_milli: keep_cpu_milli.max(present_cpu_milli),
            arriving_cpu_milli: arriving.fold(0, u64::saturating_add),
            is_falling,
        }
    }

    /// The load in some time. What runs ends within the residence time, what
    /// waits stays until there is room for it, and more arrives meanwhile.
    fn load_in(&self, now: TimeMs, present: PresentLoad, after_ms: u64) -> u64 {
        let lasting = present.lasting_cpu_milli.min(present.used_cpu_milli);
        let total = present.used_cpu_milli.saturating_add(present.waiting_cpu_milli);
        let mut load = total - lasting;
        let residence_ms = self.residence_ms(now);
        for part in 0..LOAD_PARTS {
            let begin_ms = after_ms * part / LOAD_PARTS;
            let part_ms = after_ms * (part + 1) / LOAD_PARTS - begin_ms;
            // VMs on their way arrive in the course of the time, on average in
            // the middle.
            let capacity = match part * 2 < LOAD_PARTS {
                true => present.capacity_cpu_milli,
                false => present.capacity_cpu_milli.saturating_add(present.incoming_cpu_milli),
            };
            let running = load.min(capacity.saturating_sub(lasting));
            let rates = self.queues.values().map(|queue| queue.arriving_in(now, begin_ms));
            let arriving = rates.fold(0, u64::saturating_add);
            let part_milli = part_ms.saturating_mul(1_000) / residence_ms;
            let ended = share(running, part_milli).min(load);
            load = (load - ended).saturating_add(share(arriving, part_milli));
        }
        lasting.saturating_add(load)
    }

    /// Time for which work stays in the pool: the mean over the queues by their
    /// last arrivals, and if there are none, by the work of their jobs.
    fn residence_ms(&self, now: TimeMs) -> u64 {
        let (mut weights, mut sum) = (0_u128, 0_u128);
        for queue in self.queues.values() {
            let recent = u128::from(queue.arriving_cpu_milli(now));
            let weight = recent * RECENT_WEIGHT + u128::from(queue.work.work_core_us);
            weights += weight;
            sum += weight * u128::from(queue.work.residence_ms);
        }
        u64::try_from(sum / weights.max(1)).unwrap_or(RESIDENCE_MAX_MS).max(RESIDENCE_MIN_MS)
    }
}

impl QueueDemand {
    fn record(&self, now: TimeMs) -> QueueDemandRecord {
        QueueDemandRecord {
            work_core_us: self.work.work_core_us,
            residence_ms: self.work.residence_ms,
            turns: self.turns.record(now),
        }
    }

    fn restored(now: TimeMs, age_ms: u64, record: &QueueDemandRecord) -> Self {
        let residence_ms = record.residence_ms.clamp(RESIDENCE_MIN_MS, RESIDENCE_MAX_MS);
        let work_core_us = record.work_core_us;
        Self {
            arrivals: VecDeque::new(),
            work: MeanWork { jobs: MEAN_JOBS / 2, work_core_us, residence_ms },
            turns: DemandTurns::restored(now, age_ms, &record.turns),
        }
    }

    fn arriving_cpu_milli(&self, now: TimeMs) -> u64 {
        self.work.cpu_milli(self.expected_rate_milli(now))
    }

    /// Rate of arrivals in thousandths of a job a second: the mean over a longer
    /// time, unless the last arrivals show that it is more or less by now.
    fn rate_milli(&self, now: TimeMs) -> u64 {
        let age_ms = |at: &TimeMs| now.since(*at);
        let count_within = |window_ms: u64| {
            let recent = self.arrivals.iter().rev().take_while(|at| age_ms(at) <= window_ms);
            recent.count() as u64
        };
        let mut rate_milli = count_within(RATE_WINDOW_MS) * 1_000_000 / RATE_WINDOW_MS;
        for count in RISE_COUNTS {
            let index = usize::try_from(count - 1).unwrap_or(usize::MAX);
            let Some(first) = self.arrivals.iter().rev().nth(index) else { break };
            let window_ms = age_ms(first).max(RATE_MIN_WINDOW_MS);
            let lower_milli = (count * 1_000).saturating_sub(error_milli(count));
            rate_milli = rate_milli.max(lower_milli * 1_000 / window_ms);
        }
        for window_ms in FALL_WINDOWS_MS {
            let count = count_within(window_ms);
            let upper_milli = count * 1_000 + error_milli(count + 1);
            rate_milli = rate_milli.min(upper_milli * 1_000 / window_ms);
        }
        rate_milli
    }

    /// Rate that a rise leads to: with few arrivals the level of earlier turns
    /// counts, too.
    fn expected_rate_milli(&self, now: TimeMs) -> u64 {
        let rate_milli = self.rate_milli(now);
        let Some(level_milli) = self.turns.level_of_rise_milli(now) else { return rate_milli };
        let seen = self.arrivals.len() as u64;
        let sum = u128::from(rate_milli) * u128::from(seen)
            + u128::from(level_milli) * u128::from(TURN_PRIOR_ARRIVALS);
        u64::try_from(sum / u128::from(seen + TURN_PRIOR_ARRIVALS)).unwrap_or(u64::MAX)
    }

    /// CPU that will keep up with the arrivals in some time.
    fn arriving_in(&self, now: TimeMs, after_ms: u64) -> u64 {
        let outlook = self.turns.outlook(now);
        let has_ended = outlook.ends_in_ms.is_some_and(|ends_in_ms| ends_in_ms <= after_ms);
        let has_begun = outlook.begins_in_ms.is_some_and(|begins_in_ms| begins_in_ms <= after_ms);
        let present_milli = if has_ended { 0 } else { self.expected_rate_milli(now) };
        let next_milli = if has_begun { outlook.level_milli } else { 0 };
        self.work.cpu_milli(present_milli.max(next_milli))
    }
}

/// Distance of a bound from a number of arrivals, in thousandths.
fn error_milli(count: u64) -> u64 {
    (count * 1_000_000).isqrt() * BOUND_MILLI / 1_000
}

fn share(value: u64, part_milli: u64) -> u64 {
    u64::try_from(u128::from(value) * u128::from(part_milli) / 1_000).unwrap_or(u64::MAX)
}
