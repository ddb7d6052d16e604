//! What the run of an attempt tells about the time that its task needs.

use crate::time::TimeMs;
use crate::workload::run_time::FULL_WEIGHT_MILLI;
use crate::workload::run_time::INFERRED_WEIGHT_MILLI;
use crate::workload::run_time::SourceChain;

/// Progress from which the whole time of a run follows. At less, the error of the time
/// at which it was reported is too large a part of it.
const MIN_SEEN_PERCENT: u32 = 20;
/// Progress from which an attempt counts as at work, and one that resumed from a
/// checkpoint as one whose progress includes the work before it.
const MIN_FIRST_PERCENT: u32 = 5;
/// Progress at which a task that runs is about to end, or shows none on the way.
const END_PERCENT: u32 = 100;

/// When an attempt ran, as far as it was seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// Whether the attempt may have resumed from a checkpoint.
    is_resumed: bool,
    /// When the worker confirmed the start and the work began; none if that was not
    /// seen.
    began_at: Option<TimeMs>,
    /// The first progress from which the whole time follows.
    first: Option<(TimeMs, u32)>,
    /// The last reported progress, as of when it changed.
    last: Option<(TimeMs, u32)>,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptView<'a> {
    pub(super) chain: &'a SourceChain,
    pub(super) queue: &'a str,
    pub(super) declared_ms: u64,
    /// Whether the task ran away from its data.
    pub(super) is_far: bool,
    /// Logarithm of the factor by which the worker is slower than others, in
    /// thousandths.
    pub(super) worker_log_milli: i64,
    /// Weight of the run.
    pub(super) weight_milli: i64,
}

/// A run that was ended before its work was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CensoredRun {
    /// The whole time follows from the progress.
    ByProgress { run_ms: u64 },
    /// The whole time is at least this.
    AtLeast { ms: u64 },
}

impl RunProgress {
    /// An attempt that is about to start, or that a former owner has started.
    pub(crate) fn new(is_resumed: bool) -> Self {
        Self { is_resumed, ..Self::default() }
    }

    /// Applies that the worker has confirmed the start.
    /// A gang begins to work once all its members have started.
    pub(crate) fn started(&mut self, now: TimeMs, is_gang: bool) {
        if !self.is_resumed && !is_gang {
            self.began_at.get_or_insert(now);
        }
    }

    /// Applies a report of the running attempt. Where it may have resumed, the pages
    /// leave open whether its progress includes the work before the checkpoint: the very
    /// first report has to show that.
    pub(crate) fn reported(&mut self, now: TimeMs, percent: u32) {
        if self.is_resumed || percent >= MIN_FIRST_PERCENT {
            self.first.get_or_insert((now, percent));
        }
        if self.last.is_none_or(|(_, last)| percent > last) {
            self.last = Some((now, percent));
        }
    }

    /// Time that the whole task took, and its weight, of an attempt that has done all
    /// its work now. None if too small a part of the work was seen: a run that resumed
    /// from a checkpoint, or that began under a former owner, is only the rest.
    pub(super) fn whole_run(&self, now: TimeMs) -> Option<(u64, i64)> {
        if let Some(began_at) = self.began_at {
            return Some((now.since(began_at), FULL_WEIGHT_MILLI));
        }
        let (first_at, percent) = self.first?;
        let seen_percent = END_PERCENT.saturating_sub(percent);
        if percent < MIN_FIRST_PERCENT || seen_percent < MIN_SEEN_PERCENT {
            return None;
        }
        let run_ms = now.since(first_at).saturating_mul(100) / u64::from(seen_percent);
        Some((run_ms, INFERRED_WEIGHT_MILLI))
    }

    /// When the last progress was reported.
    pub(super) fn last_at(&self) -> Option<TimeMs> {
        self.last.map(|(at, _)| at)
    }

    /// Time since the work began, if that was seen.
    pub(super) fn elapsed_ms(&self, now: TimeMs) -> Option<u64> {
        self.began_at.map(|began_at| now.since(began_at))
    }

    /// What an attempt tells that was ended at `ended_at` before its work was done.
    pub(super) fn censored_run(&self, ended_at: TimeMs) -> Option<CensoredRun> {
        let began_at = self.began_at?;
        if let Some((last_at, percent)) = self.last
            && (MIN_SEEN_PERCENT..END_PERCENT).contains(&percent)
        {
            let run_ms = last_at.since(began_at).saturating_mul(100) / u64::from(percent);
            return Some(CensoredRun::ByProgress { run_ms });
        }
        Some(CensoredRun::AtLeast { ms: ended_at.since(began_at) })
    }

    /// Time that the attempt still needs by its own progress; none if that tells too
    /// little.
    pub(super) fn remaining_ms(&self, now: TimeMs) -> Option<u64> {
        let began_at = self.began_at?;
        let (last_at, percent) = self.last?;
        if !(MIN_SEEN_PERCENT..END_PERCENT).contains(&percent) {
            return None;
        }
        let run_ms = last_at.since(began_at).saturating_mul(100) / u64::from(percent);
        Some(run_ms.saturating_sub(now.since(began_at)))
    }
}
