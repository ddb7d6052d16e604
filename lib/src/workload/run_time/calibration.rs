//! How well run times were predicted: what was predicted against what was seen.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::run_time::logarithm;

/// The predicted quantiles that are compared with what was seen.
pub const QUANTILES_MILLI: [u64; 5] = [100, 500, 750, 900, 990];
/// One of this many runs is compared, as each comparison walks the distributions.
const SAMPLED_RUNS: u64 = 8;
/// Queues that are told apart.
const MAX_QUEUES: usize = 16;
/// Time between two reports.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// The comparison since the last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calibration {
    runs: u64,
    queues: BTreeMap<String, Tally>,
    reported_at: Option<TimeMs>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    runs: u64,
    below: [u64; QUANTILES_MILLI.len()],
    declared_error_milli: u64,
    learned_error_milli: u64,
}

/// Predicted against seen run times of one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CalibrationReport {
    /// Queue of the tasks.
    pub queue: String,
    /// Number of runs that were compared.
    pub runs: u64,
    /// For each of [`QUANTILES_MILLI`], the part of the runs that stayed below it, in
    /// thousandths.
    pub seen_milli: [u64; QUANTILES_MILLI.len()],
    /// Mean size of the logarithm of actual over declared time, in thousandths.
    pub declared_error_milli: u64,
    /// Mean size of the logarithm of actual over expected time, in thousandths.
    pub learned_error_milli: u64,
}

impl Calibration {
    /// Whether the next run is compared.
    pub(super) fn is_sampled(&mut self) -> bool {
        self.runs += 1;
        self.runs.is_multiple_of(SAMPLED_RUNS)
    }

    pub(super) fn add(
        &mut self,
        queue: &str,
        declared_ms: u64,
        expected_ms: u64,
        run_ms: u64,
        quantiles_ms: &[u64],
    ) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let tally = self.queues.entry(queue.to_owned()).or_default();
        tally.runs += 1;
        for (below, quantile_ms) in tally.below.iter_mut().zip(quantiles_ms) {
            *below += u64::from(run_ms <= *quantile_ms);
        }
        let error = |of_ms| logarithm::ratio_log_milli(run_ms, of_ms).unsigned_abs();
        tally.declared_error_milli += error(declared_ms);
        tally.learned_error_milli += error(expected_ms);
    }

    /// Takes what was compared, once in some seconds.
    pub(super) fn take_due(&mut self, now: TimeMs) -> Vec<CalibrationReport> {
        let reported_at = *self.reported_at.get_or_insert(now);
        if now.since(reported_at) < REPORT_INTERVAL_MS {
            return Vec::new();
        }
        self.reported_at = Some(now);
        let queues = std::mem::take(&mut self.queues);
        queues.into_iter().map(|(queue, tally)| tally.report(queue)).collect()
    }
}

impl Tally {
    fn report(self, queue: String) -> CalibrationReport {
        let runs = self.runs.max(1);
        CalibrationReport {
            queue,
            runs: self.runs,
            seen_milli: self.below.map(|below| below * 1_000 / runs),
            declared_error_milli: self.declared_error_milli / runs,
            learned_error_milli: self.learned_error_milli / runs,
        }
    }
}
