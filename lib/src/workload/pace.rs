//! Pace of tasks that use spare CPU: the part of full speed, in percent, at
//! which they may run without raising the tail latency of the tasks beside
//! them.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::order::Order;
use crate::workload::order::WorkerOrder;
use crate::workload::report::WorkerReport;

/// A tail latency above this part of its target, in percent, lowers the pace.
/// It is below 100 because a reading covers only half a second.
const LOWER_ABOVE_PERCENT: u64 = 85;
/// Tail latencies below this part of their targets, in percent, let the pace
/// rise.
const RAISE_BELOW_PERCENT: u64 = 60;
/// Pace after the first high reading; a second one pauses the tasks that use
/// spare CPU. Two readings fit into the time for which a tail latency above its
/// target is tolerated.
const LOWERED_PERCENT: u32 = 35;
/// Rise of the pace after an interval without high readings.
const RAISE_STEP_PERCENT: u32 = 15;
/// Interval without a change of pace before each rise. Interference changes
/// within seconds.
const RAISE_INTERVAL_MS: u64 = 1_500;
/// Time until the readings show a changed pace: the worker applies it within
/// 100 ms, and a reading covers 500 ms.
const PACE_EFFECT_MS: u64 = 600;

/// Pace of the tasks that use spare CPU, for each worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacer {
    workers: BTreeMap<WorkerId, Pace>,
}

#[derive(Clone, Debug)]
struct Pace {
    percent: u32,
    changed_at: TimeMs,
    /// The last pace that was sent for each attempt; an attempt starts at 100.
    sent_percents: BTreeMap<(TaskName, u32), u32>,
}

impl Pace {
    fn new(now: TimeMs) -> Self {
        Self { percent: 100, changed_at: now, sent_percents: BTreeMap::new() }
    }

    /// Adjusts the pace to the highest tail latency, in percent of its target.
    fn adjust(&mut self, now: TimeMs, worst_percent: Option<u64>) {
        let age_ms = now.since(self.changed_at);
        let next = match worst_percent {
            Some(worst) if worst > LOWER_ABOVE_PERCENT && age_ms >= PACE_EFFECT_MS => {
                if self.percent > LOWERED_PERCENT { LOWERED_PERCENT } else { 0 }
            }
            Some(worst) if worst >= RAISE_BELOW_PERCENT => self.percent,
            Some(_) | None if age_ms >= RAISE_INTERVAL_MS => {
                (self.percent + RAISE_STEP_PERCENT).min(100)
            }
            Some(_) | None => self.percent,
        };
        if next != self.percent {
            self.percent = next;
            self.changed_at = now;
        }
    }
}

impl Dispatcher {
    /// Adjusts the pace of the tasks that use spare CPU on a worker to the
    /// worker's readings of tail latency.
    pub(crate) fn adjust_pace(&mut self, now: TimeMs, id: WorkerId, report: &WorkerReport) {
        let mut worst_percent: Option<u64> = None;
        let mut spare_cpu_tasks = Vec::new();
        for running in &report.running {
            let Some(key) = self.task_placed_on(id, running.task, running.attempt) else {
                continue;
            };
            let Some(job) = self.jobs.get(key.step.job) else { continue };
            let spec = job.step_spec(key.step.step);
            if let Some(target_ms) = spec.tail_target_ms {
                let percent = running.reading.saturating_mul(100) / target_ms.max(1);
                worst_percent = Some(worst_percent.unwrap_or(0).max(percent));
            }
            if spec.uses_spare_cpu {
                spare_cpu_tasks.push((running.task, running.attempt));
            }
        }
        if spare_cpu_tasks.is_empty() {
            self.pacer.workers.remove(&id);
            return;
        }
        let pace = self.pacer.workers.entry(id).or_insert_with(|| Pace::new(now));
        pace.adjust(now, worst_percent);
        pace.sent_percents.retain(|task, _| spare_cpu_tasks.contains(task));
        for (task, attempt) in spare_cpu_tasks {
            let sent_percent = pace.sent_percents.entry((task, attempt)).or_insert(100);
            if *sent_percent != pace.percent {
                *sent_percent = pace.percent;
                let order = Order::Pace { task, attempt, percent: pace.percent };
                self.orders.push(WorkerOrder { worker: id, order });
            }
        }
    }

    /// Handles a change of pace that was not answered. It is repeated with the
    /// next report.
    pub fn pace_unanswered(&mut self, id: WorkerId, task: TaskName, attempt: u32) {
        if let Some(pace) = self.pacer.workers.get_mut(&id) {
            // A pace is at most 100, so this differs from any new pace.
            pace.sent_percents.insert((task, attempt), u32::MAX);
        }
    }
}
