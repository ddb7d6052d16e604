//! Keeps tasks that fill from disturbing the tasks that serve beside them.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::order::Order;
use crate::workload::order::WorkerOrder;
use crate::workload::report::WorkerReport;

/// A tail above this share of its target, in percent, lowers the pace. It is
/// below 100 since a reading covers only half a second.
const LOWER_ABOVE_PERCENT: u64 = 85;
/// Tails below this share of their target, in percent, let the pace rise.
const RAISE_BELOW_PERCENT: u64 = 60;
/// Pace after the first high reading; a second one stops the tasks that fill.
/// Two readings fit into the time for which harm is borne.
const LOWERED_PERCENT: u32 = 35;
/// Rise of the pace after a calm spell.
const RAISE_STEP_PERCENT: u32 = 15;
/// Calm time before each rise. Disturbance changes within seconds.
const RAISE_AFTER_MS: u64 = 1_500;
/// Time in which a changed pace shows in the readings: the worker applies it
/// within 100 ms, and a reading covers 500 ms.
const SETTLE_MS: u64 = 600;

/// Pace of the tasks that fill on each worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacer {
    workers: BTreeMap<WorkerId, Pace>,
}

#[derive(Clone, Debug)]
struct Pace {
    percent: u32,
    changed_at: TimeMs,
    /// What each task was told; a task starts at 100.
    told: BTreeMap<(TaskName, u32), u32>,
}

impl Pace {
    fn new(now: TimeMs) -> Self {
        Self { percent: 100, changed_at: now, told: BTreeMap::new() }
    }

    /// Follows the highest tail as a share of its target.
    fn adjust(&mut self, now: TimeMs, worst_percent: Option<u64>) {
        let age_ms = now.since(self.changed_at);
        let next = match worst_percent {
            Some(worst) if worst > LOWER_ABOVE_PERCENT && age_ms >= SETTLE_MS => {
                if self.percent > LOWERED_PERCENT { LOWERED_PERCENT } else { 0 }
            }
            Some(worst) if worst >= RAISE_BELOW_PERCENT => self.percent,
            Some(_) | None if age_ms >= RAISE_AFTER_MS => {
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
    /// Follows the readings of a worker with the pace of its tasks that fill.
    pub(crate) fn pace(&mut self, now: TimeMs, id: WorkerId, report: &WorkerReport) {
        let mut worst_percent: Option<u64> = None;
        let mut filling = Vec::new();
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
                filling.push((running.task, running.attempt));
            }
        }
        if filling.is_empty() {
            self.pacer.workers.remove(&id);
            return;
        }
        let pace = self.pacer.workers.entry(id).or_insert_with(|| Pace::new(now));
        pace.adjust(now, worst_percent);
        pace.told.retain(|task, _| filling.contains(task));
        for (task, attempt) in filling {
            let told = pace.told.entry((task, attempt)).or_insert(100);
            if *told != pace.percent {
                *told = pace.percent;
                let order = Order::Pace { task, attempt, percent: pace.percent };
                self.orders.push(WorkerOrder { worker: id, order });
            }
        }
    }

    /// A change of pace was not answered; the next report repeats it.
    pub fn pace_unanswered(&mut self, id: WorkerId, task: TaskName, attempt: u32) {
        if let Some(pace) = self.pacer.workers.get_mut(&id) {
            // No pace is above 100, so this differs from any that is wanted.
            pace.told.insert((task, attempt), u32::MAX);
        }
    }
}
