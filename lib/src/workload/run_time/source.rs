//! Sources of tasks, from general to particular, and what was learned of each.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use sha2::Digest;
use sha2::Sha256;

use crate::time::TimeMs;
use crate::workload::run_time::regression::Regression;
use crate::workload::spec::JobSpec;
use crate::workload::spec::StepSpec;

/// Runs after which the weight of the older ones is halved. The last hundred runs
/// decide, which come within some seconds on a busy queue.
const DECAY_RUNS: u64 = 200;
/// Number of runs of a general source that its distribution counts as for a more
/// particular one.
const GENERAL_RUNS: u64 = 8;
/// Largest ratio of actual to expected time in thousandths.
pub(super) const MAX_RATIO_MILLI: u64 = 50_000;
/// Digits of the histogram: buckets of at most a sixteenth of their value, which
/// takes 500 bytes for each source.
const DIGITS: u8 = 1;

/// Key of a source: a hash of what its tasks have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SourceKey(pub(super) u64);

/// The sources that a task belongs to, from the most general to the most particular.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SourceChain([SourceKey; 4]);

impl SourceChain {
    /// The sources of the tasks of a step: all tasks; those of its queue; those that
    /// also run its image with about its CPU; those that are also of its organisation.
    pub(crate) fn new(spec: &JobSpec, step: &StepSpec) -> Self {
        let queue = spec.queue.as_str();
        // Requests for up to twice as much CPU are alike.
        let shape = format!("{:?}", step.request.cpu_milli.checked_ilog2());
        let organisation = spec.organisation.as_deref().unwrap_or_default();
        Self([
            key_of(&[]),
            key_of(&[queue]),
            key_of(&[queue, &step.image, &shape]),
            key_of(&[queue, &step.image, &shape, organisation]),
        ])
    }

    pub(super) fn keys(&self) -> [SourceKey; 4] {
        self.0
    }

    /// What is known of the sources, from the most general to the most particular.
    pub(super) fn sources<'a>(
        &self,
        sources: &'a BTreeMap<SourceKey, Source>,
    ) -> impl DoubleEndedIterator<Item = &'a Source> {
        self.0.into_iter().filter_map(|key| sources.get(&key))
    }
}

fn key_of(parts: &[&str]) -> SourceKey {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.as_bytes());
        // No name contains a zero byte, so that no two lists are hashed alike.
        hash.update([0]);
    }
    let digest = hash.finalize();
    SourceKey(digest.iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte)))
}

/// What was learned of a source.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) regression: Regression,
    /// Ratios of actual to expected times in thousandths, each as of its run.
    pub(super) ratios: Histogram<u16>,
    /// Sum of the ratios.
    pub(super) ratio_sum_milli: u64,
    pub(super) seen_at: TimeMs,
}

impl Default for Source {
    fn default() -> Self {
        let ratios = Histogram::new_with_max(MAX_RATIO_MILLI, DIGITS);
        Self {
            regression: Regression::default(),
            ratios: ratios.expect("the bounds of the histogram are valid"),
            ratio_sum_milli: 0,
            seen_at: TimeMs(0),
        }
    }
}

impl Source {
    pub(super) fn add(
        &mut self,
        declared_log: i64,
        error_log: i64,
        ratio_milli: u64,
        weight_milli: i64,
    ) {
        self.regression.add(declared_log, error_log, weight_milli);
        self.add_ratio(ratio_milli, 1);
        if self.ratios.len() >= DECAY_RUNS {
            self.halve();
        }
    }

    /// Adds `count` ratios to the distribution.
    pub(super) fn add_ratio(&mut self, ratio_milli: u64, count: u16) {
        let ratio_milli = ratio_milli.clamp(1, MAX_RATIO_MILLI);
        self.ratios.saturating_record_n(ratio_milli, count);
        self.ratio_sum_milli += ratio_milli * u64::from(count);
    }

    /// Halves the weight of all runs. Of an odd count in a bucket the larger half stays,
    /// so that a rare long run is not forgotten at once.
    fn halve(&mut self) {
        self.regression.halve();
        let former = std::mem::take(self);
        self.regression = former.regression;
        self.seen_at = former.seen_at;
        for (ratio_milli, count) in former.counts() {
            self.add_ratio(ratio_milli, count.div_ceil(2));
        }
    }

    /// The ratios that were seen, as the middles of their buckets, and how often.
    pub(super) fn counts(&self) -> impl Iterator<Item = (u64, u16)> {
        self.ratios.iter_recorded().map(|bucket| {
            (self.ratios.median_equivalent(bucket.value_iterated_to()), bucket.count_at_value())
        })
    }

    /// Mean of the ratios, drawn towards that of the next more general source.
    pub(super) fn mean_ratio_milli(&self, general_milli: u64) -> u64 {
        (self.ratio_sum_milli + general_milli * GENERAL_RUNS) / (self.ratios.len() + GENERAL_RUNS)
    }
}

/// Ratios and their shares in millionths, of a source and of the more general ones.
fn shares<'a, I>(sources: I) -> BTreeMap<u64, u64>
where
    I: DoubleEndedIterator<Item = &'a Source>,
{
    let mut shares: BTreeMap<u64, u64> = BTreeMap::new();
    let mut left_ppm: u64 = 1_000_000;
    for source in sources.rev() {
        let runs = source.ratios.len();
        let part_ppm = left_ppm * runs / (runs + GENERAL_RUNS);
        for (ratio_milli, count) in source.counts() {
            *shares.entry(ratio_milli).or_default() += part_ppm * u64::from(count) / runs;
        }
        left_ppm -= part_ppm;
    }
    // What is not learned yet is as expected.
    *shares.entry(1_000).or_default() += left_ppm;
    shares
}

/// Ratios in thousandths below which the given parts of the runs stay.
pub(super) fn ratio_quantiles<'a, I>(sources: I, quantiles_milli: &[u64]) -> Vec<u64>
where
    I: DoubleEndedIterator<Item = &'a Source>,
{
    let shares = shares(sources);
    let total_ppm: u64 = shares.values().sum();
    let mut found = Vec::with_capacity(quantiles_milli.len());
    let (mut below_ppm, mut last) = (0, 1_000);
    for (ratio_milli, share_ppm) in shares {
        below_ppm += share_ppm;
        last = ratio_milli;
        while found.len() < quantiles_milli.len()
            && below_ppm.saturating_mul(1_000) >= quantiles_milli[found.len()] * total_ppm
        {
            found.push(ratio_milli);
        }
    }
    found.resize(quantiles_milli.len(), last);
    found
}

/// Mean of the ratios of at least `least_milli`; that, if there was none.
pub(super) fn mean_ratio_above<'a, I>(sources: I, least_milli: u64) -> u64
where
    I: DoubleEndedIterator<Item = &'a Source>,
{
    let (mut sum, mut total_ppm) = (0_u64, 0_u64);
    for (ratio_milli, share_ppm) in shares(sources).range(least_milli..) {
        sum += ratio_milli * share_ppm;
        total_ppm += share_ppm;
    }
    sum.checked_div(total_ppm).unwrap_or(least_milli)
}
