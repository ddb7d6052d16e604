//! The record by which a successor learns what its predecessors learned.

use prost::Message;

use crate::findings::Findings;
use crate::protos::workload as raw;
use crate::time::TimeMs;
use crate::wire::control::decode_error;
use crate::workload::run_time::FarFactor;
use crate::workload::run_time::RunTimes;
use crate::workload::run_time::regression::Regression;
use crate::workload::run_time::source::MAX_RATIO_MILLI;
use crate::workload::run_time::source::Source;
use crate::workload::run_time::source::SourceKey;

/// Sources in a record, those with the most runs. At some 150 bytes each, the record
/// takes up to 10 KB, a twentieth of what the store allows for one.
const MAX_RECORDED_SOURCES: usize = 64;
/// Bounds of what a record may hold for a source: the decay keeps the weight below the
/// first, and no run counts for more than the others.
const MAX_WEIGHT_MILLI: i64 = 1_000_000;
const MAX_ERROR_MILLI: i64 = 10_000;
const MAX_DECLARED_LOG_MILLI: i64 = 50_000;
const MAX_RUNS: u32 = 1_000;

/// What an owner has learned of run times.
#[derive(Clone, Debug, Default)]
pub struct RunTimesRecord {
    sources: Vec<(SourceKey, Source)>,
    far: FarFactor,
}

impl RunTimes {
    /// The record, if there is something new and the last record is old enough.
    pub(super) fn take_record(
        &mut self,
        now: TimeMs,
        interval_ms: u64,
        is_last: bool,
    ) -> Option<RunTimesRecord> {
        let is_due = self.recorded_at.is_none_or(|at| now.since(at) >= interval_ms);
        if !self.has_news || !(is_due || is_last) {
            return None;
        }
        self.has_news = false;
        self.recorded_at = Some(now);
        let mut sources: Vec<_> =
            self.sources.iter().map(|(key, source)| (*key, source.clone())).collect();
        sources
            .sort_by_key(|(key, source)| (std::cmp::Reverse(source.regression.weight_milli), *key));
        sources.truncate(MAX_RECORDED_SOURCES);
        Some(RunTimesRecord { sources, far: self.far })
    }

    /// Applies a record. What this owner has learned itself is kept.
    pub(super) fn restore(&mut self, now: TimeMs, record: RunTimesRecord) {
        for (key, mut source) in record.sources {
            source.seen_at = now;
            self.make_room(key);
            self.sources.entry(key).or_insert(source);
        }
        if self.far == FarFactor::default() {
            self.far = record.far;
        }
    }
}

impl RunTimesRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        raw::RunTimes {
            sources: self.sources.iter().map(encode_source).collect(),
            far_runs: self.far.runs,
            far_log_sum_milli: self.far.log_sum_milli,
        }
        .encode_to_vec()
    }

    /// Decodes and checks a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::RunTimes::decode(bytes)
            .map_err(|error| decode_error("run_times", error.to_string()))?;
        if raw.sources.len() > MAX_RECORDED_SOURCES {
            return Err(decode_error("run_times.sources", "are too many"));
        }
        let far = FarFactor { runs: raw.far_runs, log_sum_milli: raw.far_log_sum_milli };
        if !(0..=MAX_WEIGHT_MILLI).contains(&far.runs)
            || far.log_sum_milli.checked_abs().is_none_or(|sum| sum > far.runs * MAX_ERROR_MILLI)
        {
            return Err(decode_error("run_times.far_runs", "are out of range"));
        }
        let sources: Result<_, Findings> = raw.sources.iter().map(decode_source).collect();
        Ok(Self { sources: sources?, far })
    }
}

fn encode_source((key, source): &(SourceKey, Source)) -> raw::RunTimeSource {
    let counts: Vec<(u64, u16)> = source.counts().collect();
    let ratio = |ratio_milli: u64| u32::try_from(ratio_milli).unwrap_or(u32::MAX);
    raw::RunTimeSource {
        key: key.0,
        weight_milli: source.regression.weight_milli,
        error_sum: source.regression.error,
        declared_sum: source.regression.declared,
        declared_squared_sum: source.regression.declared_squared,
        product_sum: source.regression.product,
        ratios_milli: counts.iter().map(|(ratio_milli, _)| ratio(*ratio_milli)).collect(),
        runs: counts.iter().map(|(_, count)| u32::from(*count)).collect(),
    }
}

fn decode_source(raw: &raw::RunTimeSource) -> Result<(SourceKey, Source), Findings> {
    let out_of_range = || decode_error("run_times.sources", "are out of range");
    let weight = raw.weight_milli;
    let within = |sum: i64, most: i64| {
        sum.checked_abs().is_some_and(|sum| sum <= weight.saturating_mul(most))
    };
    let is_valid = (0..=MAX_WEIGHT_MILLI).contains(&weight)
        && within(raw.error_sum, MAX_ERROR_MILLI)
        && within(raw.declared_sum, MAX_DECLARED_LOG_MILLI)
        && within(raw.declared_squared_sum, MAX_DECLARED_LOG_MILLI * MAX_DECLARED_LOG_MILLI)
        && within(raw.product_sum, MAX_DECLARED_LOG_MILLI * MAX_ERROR_MILLI)
        && raw.ratios_milli.len() == raw.runs.len()
        && raw.runs.iter().map(|count| u64::from(*count)).sum::<u64>() <= MAX_RUNS.into();
    if !is_valid {
        return Err(out_of_range());
    }
    let mut source = Source {
        regression: Regression {
            weight_milli: weight,
            error: raw.error_sum,
            declared: raw.declared_sum,
            declared_squared: raw.declared_squared_sum,
            product: raw.product_sum,
        },
        ..Source::default()
    };
    for (ratio_milli, count) in raw.ratios_milli.iter().zip(&raw.runs) {
        let count = u16::try_from(*count).map_err(|_| out_of_range())?;
        let ratio_milli = u64::from(*ratio_milli);
        if ratio_milli > MAX_RATIO_MILLI.saturating_mul(2) {
            return Err(out_of_range());
        }
        source.add_ratio(ratio_milli, count);
    }
    Ok((SourceKey(raw.key), source))
}
