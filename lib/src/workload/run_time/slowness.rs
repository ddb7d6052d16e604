//! By how much a worker is slower than others, as far as the runs on it show.

/// Number of runs as expected that are assumed before any was seen.
const PRIOR_RUNS: i64 = 4;
/// Runs before which a worker does not count as slow.
const MIN_RUNS: i64 = 4;
/// A worker counts as slow if its tasks take 1.3 times as long as expected, as a
/// logarithm in thousandths. Less is within the scatter of a few runs.
const SLOW_LOG_MILLI: i64 = 262;
/// A run counts as at most 2.5 times as long as expected, as a logarithm in
/// thousandths, so that one task with a long run does not make its worker slow.
const MAX_LOG_MILLI: i64 = 916;
/// Runs after which the weight of the older ones is halved.
const DECAY_RUNS: i64 = 32;

/// Runs on a worker against what was expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Slowness {
    runs: i64,
    log_sum_milli: i64,
}

impl Slowness {
    /// Adds the logarithm of the actual over the expected time of a run.
    pub(super) fn add(&mut self, log_milli: i64) {
        self.runs += 1;
        self.log_sum_milli += log_milli.clamp(-MAX_LOG_MILLI, MAX_LOG_MILLI);
        if self.runs >= DECAY_RUNS {
            self.runs /= 2;
            self.log_sum_milli /= 2;
        }
    }

    /// Logarithm of the factor by which tasks take longer on the worker; zero if it does
    /// not count as slow.
    pub(super) fn log_milli(self) -> i64 {
        let mean = self.log_sum_milli / (self.runs + PRIOR_RUNS);
        if self.runs >= MIN_RUNS && mean >= SLOW_LOG_MILLI { mean } else { 0 }
    }
}
