//! Run times of tasks, learned from finished runs.
//!
//! What a submitter declares is a prior. Its error, the ratio of the actual to the
//! declared run time, is learned for each source of tasks, from general sources to
//! particular ones. `docs/design/run-times.md` says what was weighed.

mod calibration;
mod dispatch;
mod logarithm;
mod observation;
mod record;
mod regression;
mod slowness;
mod source;

use std::collections::BTreeMap;

use crate::time::TimeMs;

use self::calibration::Calibration;
pub use self::calibration::CalibrationReport;
pub use self::calibration::QUANTILES_MILLI;
pub(crate) use self::dispatch::StepRuns;
use self::observation::AttemptView;
use self::observation::CensoredRun;
pub(crate) use self::observation::RunProgress;
pub use self::record::RunTimesRecord;
use self::regression::Fit;
pub(crate) use self::slowness::Slowness;
use self::source::Source;
pub(crate) use self::source::SourceChain;
use self::source::SourceKey;

/// Weight of one run whose whole time was seen.
const FULL_WEIGHT_MILLI: i64 = 1_000;
/// Weight of a run whose time is partly inferred. It has the error of the inference
/// beside that of the run.
const INFERRED_WEIGHT_MILLI: i64 = 500;
/// Bound of the number of sources, which take some 700 bytes each. The least recently
/// seen one gives way.
pub(crate) const MAX_SOURCES: usize = 256;
/// Declared time that stands for none.
const UNDECLARED_MS: u64 = 1_000;
/// Logarithm of the factor by which tasks take longer away from their data, before any
/// was seen: the smallest factor that the platform's page allows for, 2.
const FAR_PRIOR_LOG_MILLI: i64 = 693;
/// Number of runs that the prior of the factor counts as.
const FAR_PRIOR_WEIGHT: i64 = 4;
/// Runs after which the weight of the older ones is halved.
const FAR_DECAY_RUNS: i64 = 64;

/// The learned run times of all sources.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    sources: BTreeMap<SourceKey, Source>,
    far: FarFactor,
    calibration: Calibration,
    /// Whether runs were observed since the last record.
    has_news: bool,
    recorded_at: Option<TimeMs>,
}

/// By how much longer tasks take away from their data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FarFactor {
    runs: i64,
    log_sum_milli: i64,
}

impl FarFactor {
    fn log_milli(self) -> i64 {
        (self.log_sum_milli + FAR_PRIOR_LOG_MILLI * FAR_PRIOR_WEIGHT)
            / (self.runs + FAR_PRIOR_WEIGHT)
    }

    fn add(&mut self, log_milli: i64) {
        self.runs += 1;
        self.log_sum_milli += log_milli;
        if self.runs >= FAR_DECAY_RUNS {
            self.runs /= 2;
            self.log_sum_milli /= 2;
        }
    }
}

/// What a task of a source is expected to need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prediction {
    /// Center of the distribution, to which the learned ratios apply.
    pub(crate) center_ms: u64,
    /// Mean of the distribution.
    pub(crate) mean_ms: u64,
}

impl RunTimes {
    /// Expected run time of a task near its data on a sound worker; none while nothing
    /// was learned.
    pub(crate) fn predict(&self, chain: &SourceChain, declared_ms: u64) -> Option<Prediction> {
        let center_ms = self.center_ms(chain, declared_ms)?;
        let ratio_milli = chain
            .sources(&self.sources)
            .fold(1_000, |general, source| source.mean_ratio_milli(general));
        let mean_ms = center_ms.saturating_mul(ratio_milli) / 1_000;
        Some(Prediction { center_ms, mean_ms })
    }

    fn center_ms(&self, chain: &SourceChain, declared_ms: u64) -> Option<u64> {
        let declared_ms = declared_or_default(declared_ms);
        let declared_log = logarithm::log_milli(declared_ms);
        let mut fit = None;
        for source in chain.sources(&self.sources) {
            fit = Some(source.regression.fit(fit.unwrap_or_default()));
        }
        let ratio_log = Fit::at(fit?, declared_log);
        Some(logarithm::scale(declared_ms, ratio_log))
    }

    /// Run times below which the given parts of the tasks of a source stay, in the order
    /// of `quantiles_milli`, which ascend; none while nothing was learned.
    pub(crate) fn quantiles_ms(
        &self,
        chain: &SourceChain,
        declared_ms: u64,
        quantiles_milli: &[u64],
    ) -> Option<Vec<u64>> {
        let center_ms = self.center_ms(chain, declared_ms)?;
        let ratios = source::ratio_quantiles(chain.sources(&self.sources), quantiles_milli);
        let scale = |ratio_milli| center_ms.saturating_mul(ratio_milli) / 1_000;
        Some(ratios.into_iter().map(scale).collect())
    }

    /// Learns from a run that took `run_ms` near its data on a sound worker.
    fn add(
        &mut self,
        now: TimeMs,
        chain: &SourceChain,
        declared_ms: u64,
        run_ms: u64,
        weight_milli: i64,
    ) {
        let center_ms = self.center_ms(chain, declared_ms);
        let declared_ms = declared_or_default(declared_ms);
        let declared_log = logarithm::log_milli(declared_ms);
        let ratio_log = logarithm::ratio_log_milli(run_ms, declared_ms);
        // The first run of all is compared with what was declared.
        let residual_milli = logarithm::ratio_milli(run_ms, center_ms.unwrap_or(declared_ms));
        for key in chain.keys() {
            self.make_room(key);
            let source = self.sources.entry(key).or_default();
            source.seen_at = now;
            source.add(declared_log, ratio_log, residual_milli, weight_milli);
        }
        self.has_news = true;
    }

    /// Removes the least recently seen source if there are as many as allowed and `key`
    /// is not among them.
    fn make_room(&mut self, key: SourceKey) {
        if self.sources.len() < MAX_SOURCES || self.sources.contains_key(&key) {
            return;
        }
        let oldest = self.sources.iter().min_by_key(|(_, source)| source.seen_at);
        if let Some(oldest) = oldest.map(|(key, _)| *key) {
            self.sources.remove(&oldest);
        }
    }

    /// Learns from a run that ended by itself. Returns the logarithm of its time over
    /// the expected one, for what is learned of its worker.
    fn observe(&mut self, now: TimeMs, view: &AttemptView<'_>, run_ms: u64) -> i64 {
        let AttemptView { chain, declared_ms, .. } = *view;
        let expected_ms = self.center_ms(chain, declared_ms);
        let expected_ms = expected_ms.unwrap_or_else(|| declared_or_default(declared_ms));
        let far_log = if view.is_far { self.far.log_milli() } else { 0 };
        let residual_log =
            logarithm::ratio_log_milli(run_ms, logarithm::scale(expected_ms, far_log));
        let near_ms = logarithm::scale(run_ms, -far_log - view.worker_log_milli);
        if view.is_far {
            let seen = logarithm::ratio_log_milli(run_ms, expected_ms) - view.worker_log_milli;
            self.far.add(seen);
        }
        let is_exact = view.weight_milli == FULL_WEIGHT_MILLI && !view.is_far;
        if is_exact && self.calibration.is_sampled() {
            let quantiles = self.quantiles_ms(chain, declared_ms, &QUANTILES_MILLI);
            if let Some(quantiles) = quantiles {
                self.calibration.add(view.queue, declared_ms, expected_ms, run_ms, &quantiles);
            }
        }
        let weight_milli = if view.is_far { INFERRED_WEIGHT_MILLI } else { view.weight_milli };
        self.add(now, chain, declared_ms, near_ms, weight_milli);
        residual_log
    }

    /// Learns from a run that was ended before its work was done. It is no short run: its
    /// whole time follows from its progress, or from what other runs took that lasted at
    /// least as long. A run that ended sooner than most tells nothing.
    fn observe_censored(&mut self, now: TimeMs, view: &AttemptView<'_>, run: CensoredRun) {
        let AttemptView { chain, declared_ms, .. } = *view;
        let far_log = if view.is_far { self.far.log_milli() } else { 0 };
        let near = |ms| logarithm::scale(ms, -far_log - view.worker_log_milli);
        let run_ms = match run {
            CensoredRun::ByProgress { run_ms } => near(run_ms),
            CensoredRun::AtLeast { ms } => {
                let least_ms = near(ms);
                if self.center_ms(chain, declared_ms).is_none_or(|center| least_ms <= center) {
                    return;
                }
                let mean_ms = self.mean_above_ms(chain, declared_ms, least_ms);
                mean_ms.map_or(least_ms, |mean_ms| mean_ms.max(least_ms))
            }
        };
        self.add(now, chain, declared_ms, run_ms, INFERRED_WEIGHT_MILLI);
    }

    /// Mean run time of the tasks of a source that run for at least `least_ms`; none
    /// while nothing was learned.
    fn mean_above_ms(&self, chain: &SourceChain, declared_ms: u64, least_ms: u64) -> Option<u64> {
        let center_ms = self.center_ms(chain, declared_ms)?;
        let least_milli = logarithm::ratio_milli(least_ms, center_ms);
        let ratio_milli = source::mean_ratio_above(chain.sources(&self.sources), least_milli);
        Some(center_ms.saturating_mul(ratio_milli) / 1_000)
    }
}

fn declared_or_default(declared_ms: u64) -> u64 {
    if declared_ms == 0 { UNDECLARED_MS } else { declared_ms }
}
