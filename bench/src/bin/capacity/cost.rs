//! Measurement of processor time, and linear fits through measured points.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Serialize;

/// Repetitions of a measurement. The median is reported, since other programs
/// on the machine disturb single repetitions.
const REPETITIONS: usize = 5;

/// Processor time that this thread has used.
pub(crate) fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// Median processor time in nanoseconds of `run` on a fresh input from
/// `prepare`, divided by `count`.
pub(crate) fn time_each<I, T, P, R>(count: usize, mut prepare: P, mut run: R) -> f64
where
    P: FnMut() -> I,
    R: FnMut(I) -> T,
{
    let mut times = Vec::new();
    for _ in 0..REPETITIONS {
        let input = prepare();
        let before = thread_time();
        let output = run(input);
        times.push(nanoseconds(thread_time().saturating_sub(before)));
        drop(output);
    }
    times.sort_by(f64::total_cmp);
    times[REPETITIONS / 2] / as_f64(count.max(1))
}

pub(crate) fn nanoseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e9
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn as_f64(count: usize) -> f64 {
    count as f64
}

/// A linear fit through measured points.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Fit {
    /// Value at zero.
    pub(crate) intercept: f64,
    /// Growth per entity.
    pub(crate) slope: f64,
    /// Part of the variance that the line explains; 1 for two points.
    pub(crate) r_squared: f64,
}

impl Fit {
    /// The least-squares line through `points`.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = as_f64(points.len().max(1));
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let variance = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let total = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum::<f64>();
        let residual = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum::<f64>();
        let r_squared = if total > 0.0 { 1.0 - residual / total } else { 1.0 };
        Self { intercept, slope, r_squared }
    }
}
