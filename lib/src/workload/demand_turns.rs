//! Turns of the demand of a pool: times of high demand that may repeat.
//!
//! A turn is learned with its beginning, length and level. Two intervals between
//! beginnings that are nearly equal make a period; a turn that does not begin
//! when it is expected, or that begins when none is, ends the trust in it.

use std::collections::VecDeque;

use crate::time::TimeMs;
use crate::workload::demand_record::TurnsRecord;

/// A turn begins when the rate rises to this multiple of the rate between turns.
const BEGIN_FACTOR: u64 = 4;
/// A turn ends when the rate falls to one in so many of its level.
const END_DIVISOR: u64 = 4;
/// Lowest rate, in thousandths of a job a second, that makes a turn.
const MIN_LEVEL_MILLI: u64 = 4_000;
/// A rise that lasts for less is a burst and no turn.
const MIN_LENGTH_MS: u64 = 1_000;
/// For this time after its beginning, few arrivals show the level of a turn.
const RISE_MS: u64 = 1_000;
/// Part of the period, in thousandths, by which intervals may differ.
const TOLERANCE_MILLI: u64 = 120;
/// Intervals that make a period.
const MIN_INTERVALS: usize = 2;
/// Beginnings that are remembered.
const MAX_BEGINNINGS: usize = 4;

/// What is expected of the turns of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outlook {
    /// Time until the present turn ends; none if it is not known.
    pub(crate) ends_in_ms: Option<u64>,
    /// Time until the next turn begins; none if it is not known.
    pub(crate) begins_in_ms: Option<u64>,
    /// Rate of the next turn in thousandths of a job a second.
    pub(crate) level_milli: u64,
}

/// The turns of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTurns {
    observed_at: Option<TimeMs>,
    /// Beginning of the present turn; none between turns.
    since: Option<TimeMs>,
    /// Mean rate between turns.
    low_milli: u64,
    /// Mean rate of the last time in the present turn, and the highest one.
    smooth_milli: u64,
    present_milli: u64,
    /// Level and length of complete turns; zero before the first.
    level_milli: u64,
    length_ms: u64,
    /// Beginnings of the last turns, oldest first.
    beginnings: VecDeque<TimeMs>,
    /// Period; none while it is not known or not trusted.
    period_ms: Option<u64>,
}

impl DemandTurns {
    /// Learns from the present rate of arrivals. Returns true at the end of a
    /// turn, when arrivals of the turn no longer tell the rate.
    pub(crate) fn observe(&mut self, now: TimeMs, rate_milli: u64) -> bool {
        let Some(observed_at) = self.observed_at.replace(now) else {
            self.low_milli = rate_milli;
            return false;
        };
        let elapsed_ms = now.since(observed_at);
        let was_in_turn = self.since.is_some();
        match self.since {
            Some(since) => self.observe_turn(now, since, rate_milli, elapsed_ms),
            None => {
                let begins_at = self.low_milli.saturating_mul(BEGIN_FACTOR).max(MIN_LEVEL_MILLI);
                if rate_milli >= begins_at {
                    self.since = Some(now);
                    self.smooth_milli = rate_milli;
                    self.present_milli = rate_milli;
                } else {
                    self.low_milli = mean(self.low_milli, rate_milli, elapsed_ms, 2_000);
                }
            }
        }
        self.give_up_late_period(now);
        was_in_turn && self.since.is_none()
    }

    fn observe_turn(&mut self, now: TimeMs, since: TimeMs, rate_milli: u64, elapsed_ms: u64) {
        self.smooth_milli = mean(self.smooth_milli, rate_milli, elapsed_ms, RISE_MS);
        self.present_milli = self.present_milli.max(self.smooth_milli);
        let is_long = now.since(since) >= MIN_LENGTH_MS;
        let is_new = self.beginnings.back() != Some(&since);
        if is_long && is_new {
            self.add_beginning(since);
        }
        if rate_milli.saturating_mul(END_DIVISOR) > self.present_milli.max(MIN_LEVEL_MILLI) {
            return;
        }
        self.since = None;
        if is_long {
            let half = |known: u64, new: u64| if known == 0 { new } else { (known + new) / 2 };
            self.level_milli = half(self.level_milli, self.present_milli);
            self.length_ms = half(self.length_ms, now.since(since));
        }
    }

    fn add_beginning(&mut self, at: TimeMs) {
        let expected = self.expected_beginning();
        let is_expected = expected.is_none_or(|(expected, tolerance_ms)| {
            at.since(expected).max(expected.since(at)) <= tolerance_ms
        });
        if !is_expected {
            self.forget_period();
        }
        self.beginnings.push_back(at);
        if self.beginnings.len() > MAX_BEGINNINGS {
            self.beginnings.pop_front();
        }
        let starts = self.beginnings.iter();
        let intervals: Vec<u64> =
            starts.clone().zip(starts.skip(1)).map(|(one, next)| next.since(*one)).collect();
        let recent = &intervals[intervals.len().saturating_sub(MIN_INTERVALS)..];
        let (Some(least), Some(most)) = (recent.iter().min(), recent.iter().max()) else { return };
        let is_regular = most - least <= most.saturating_mul(TOLERANCE_MILLI) / 1_000;
        self.period_ms = (recent.len() == MIN_INTERVALS && is_regular)
            .then(|| recent.iter().sum::<u64>() / recent.len() as u64);
    }

    /// When the next turn begins, and by how much it may be off.
    fn expected_beginning(&self) -> Option<(TimeMs, u64)> {
        let period_ms = self.period_ms?;
        let last = self.beginnings.back()?;
        Some((last.plus(period_ms), period_ms.saturating_mul(TOLERANCE_MILLI) / 1_000))
    }

    fn give_up_late_period(&mut self, now: TimeMs) {
        let is_late = self.expected_beginning().is_some_and(|(expected, tolerance_ms)| {
            now > expected.plus(tolerance_ms) && self.since.is_none()
        });
        if is_late {
            self.forget_period();
        }
    }

    /// Forgets the period, but not level and length.
    fn forget_period(&mut self) {
        self.period_ms = None;
        self.beginnings.clear();
    }

    /// Level of earlier turns while a turn has just begun.
    pub(crate) fn level_of_rise_milli(&self, now: TimeMs) -> Option<u64> {
        let is_rising = self.since.is_some_and(|since| now.since(since) < RISE_MS);
        (is_rising && self.level_milli > 0).then_some(self.level_milli)
    }

    /// What is expected, as far as the period is known.
    pub(crate) fn outlook(&self, now: TimeMs) -> Outlook {
        let Some((expected, _)) = self.expected_beginning() else { return Outlook::default() };
        let ends_in_ms = self.since.map(|since| since.plus(self.length_ms).since(now));
        Outlook {
            ends_in_ms: ends_in_ms.filter(|ends_in_ms| *ends_in_ms > 0),
            begins_in_ms: Some(expected.since(now)),
            level_milli: self.level_milli,
        }
    }

    /// What a successor needs of the turns.
    pub(crate) fn record(&self, now: TimeMs) -> TurnsRecord {
        TurnsRecord {
            level_milli: self.level_milli,
            length_ms: self.length_ms,
            low_milli: self.low_milli,
            period_ms: self.period_ms.unwrap_or(0),
            ages_ms: self.beginnings.iter().rev().map(|at| now.since(*at)).collect(),
        }
    }

    /// The turns that a former owner recorded `age_ms` ago. Turns that passed
    /// since count as if they had begun in time. A time before the start of this
    /// process cannot be held, so older beginnings are left out.
    pub(crate) fn restored(now: TimeMs, age_ms: u64, record: &TurnsRecord) -> Self {
        let last_ms = record.ages_ms.first().map_or(0, |ms| ms.saturating_add(age_ms));
        let passed_ms = last_ms.checked_div(record.period_ms).unwrap_or(0) * record.period_ms;
        let ages_ms = record.ages_ms.iter().take(MAX_BEGINNINGS);
        let ages_ms = ages_ms.map(|ms| ms.saturating_add(age_ms).saturating_sub(passed_ms));
        let known: Vec<u64> = ages_ms.take_while(|ms| *ms <= now.0).collect();
        let beginnings: VecDeque<TimeMs> =
            known.iter().rev().map(|ago_ms| now.minus(*ago_ms)).collect();
        let period_ms = (record.period_ms > 0 && !known.is_empty()).then_some(record.period_ms);
        let last = beginnings.back().copied().filter(|_| period_ms.is_some());
        Self {
            observed_at: Some(now),
            since: last.filter(|last| now.since(*last) < record.length_ms),
            low_milli: record.low_milli,
            smooth_milli: record.level_milli,
            present_milli: record.level_milli,
            level_milli: record.level_milli,
            length_ms: record.length_ms,
            beginnings,
            period_ms,
        }
    }
}

/// Moves a mean towards a value that held for some time of its window.
fn mean(mean: u64, value: u64, elapsed_ms: u64, window_ms: u64) -> u64 {
    let part = elapsed_ms.min(window_ms);
    let sum =
        u128::from(mean) * u128::from(window_ms - part) + u128::from(value) * u128::from(part);
    u64::try_from(sum / u128::from(window_ms)).unwrap_or(u64::MAX)
}
