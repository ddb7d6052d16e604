//! Logarithms in thousandths, as integers. Sums of them are the same on every kind of
//! machine, whatever the last digit of its floating point functions.

/// Largest ratio that counts: a run that took longer than 50 times what was expected,
/// or less than a fiftieth, counts as one of that ratio.
const MAX_RATIO_LOG_MILLI: i64 = 3_912;

/// Natural logarithm in thousandths; that of zero counts as that of one.
#[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
#[expect(clippy::cast_possible_truncation, reason = "the logarithm of a u64 is below 45")]
pub(super) fn log_milli(value: u64) -> i64 {
    ((value.max(1) as f64).ln() * 1_000.0).round() as i64
}

/// Logarithm of a ratio, within the bounds of what counts.
pub(super) fn ratio_log_milli(value: u64, to: u64) -> i64 {
    let log = log_milli(value) - log_milli(to);
    log.clamp(-MAX_RATIO_LOG_MILLI, MAX_RATIO_LOG_MILLI)
}

/// A ratio in thousandths, within the bounds of what counts.
pub(super) fn ratio_milli(value: u64, to: u64) -> u64 {
    let ratio = value.saturating_mul(1_000) / to.max(1);
    ratio.clamp(scale(1_000, -MAX_RATIO_LOG_MILLI), scale(1_000, MAX_RATIO_LOG_MILLI))
}

/// `value` times the ratio of this logarithm; at least one, as a run takes some time.
#[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
#[expect(clippy::cast_possible_truncation, reason = "the conversion saturates")]
#[expect(clippy::cast_sign_loss, reason = "a product of positive numbers")]
pub(super) fn scale(value: u64, log_milli: i64) -> u64 {
    let ratio = (log_milli as f64 / 1_000.0).exp();
    ((value as f64 * ratio).round() as u64).max(1)
}
