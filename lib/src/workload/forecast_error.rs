//! How far forecasts were from what came, and whether they are used.

use std::collections::VecDeque;

use crate::time::TimeMs;

/// Time between two forecasts that are compared with what came.
const SAMPLE_MS: u64 = 250;
/// Each comparison takes this part of the place of earlier ones, one in so many:
/// with four a second, errors count for some 12 s.
const SAMPLES: u64 = 48;
/// Comparisons before a forecast can be given up.
const MIN_SAMPLES: u64 = 12;
/// A forecast is given up when its error exceeds that of the estimate without it
/// by this much, in thousandths, and used again once it is not larger.
const GIVE_UP_MILLI: u64 = 1_250;
/// Bounds of the part of the load that a pool keeps beyond the forecast, in
/// thousandths. The upper one is what pools keep without a forecast, and a little
/// more; a pool whose load falls keeps little, because its tasks end anyway.
const MARGIN_MIN_MILLI: u64 = 100;
const MARGIN_MAX_MILLI: u64 = 400;
const MARGIN_FALLING_MILLI: u64 = 50;

/// Errors of the forecasts of one pool, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForecastError {
    /// Forecasts with the time that they are for: with what was learned, and
    /// without.
    open: VecDeque<(TimeMs, (u64, u64))>,
    sampled_at: Option<TimeMs>,
    samples: u64,
    forecast_error: u64,
    other_error: u64,
    actual: u64,
    is_given_up: bool,
}

impl ForecastError {
    /// Compares forecasts that are due with the present load, and adds one.
    pub(crate) fn observe(&mut self, now: TimeMs, actual: u64, due: TimeMs, predicted: (u64, u64)) {
        if self.sampled_at.is_some_and(|last| now.since(last) < SAMPLE_MS) {
            return;
        }
        self.sampled_at = Some(now);
        let mut latest = None;
        while let Some((_, predicted)) = self.open.pop_front_if(|(due, _)| *due <= now) {
            latest = Some(predicted);
        }
        if let Some((forecast, other)) = latest {
            self.samples = (self.samples + 1).min(SAMPLES);
            let mean = |mean: u64, value: u64| mean - mean / self.samples + value / self.samples;
            self.forecast_error = mean(self.forecast_error, forecast.abs_diff(actual));
            self.other_error = mean(self.other_error, other.abs_diff(actual));
            self.actual = mean(self.actual, actual);
        }
        self.open.push_back((due, predicted));
        let limit_milli = if self.is_given_up { 1_000 } else { GIVE_UP_MILLI };
        let limit = self.other_error.saturating_mul(limit_milli) / 1_000;
        self.is_given_up = self.samples >= MIN_SAMPLES && self.forecast_error > limit;
    }

    /// Whether the estimate without the forecast is better.
    pub(crate) fn is_given_up(&self) -> bool {
        self.is_given_up
    }

    /// Part of the load, in thousandths, to keep beyond the forecast.
    pub(crate) fn margin_milli(&self, is_falling: bool) -> u64 {
        if is_falling {
            return MARGIN_FALLING_MILLI;
        }
        let error_milli = self.forecast_error.saturating_mul(1_000) / self.actual.max(1);
        match self.samples < MIN_SAMPLES {
            true => MARGIN_MAX_MILLI,
            false => error_milli.clamp(MARGIN_MIN_MILLI, MARGIN_MAX_MILLI),
        }
    }
}
