//! Samples the log lines of log statements that log too often.
//!
//! After a log statement has logged `MAX_UNSAMPLED_LINES` lines in a window,
//! one of `SAMPLE_INTERVAL` further lines is written for the rest of the
//! window, and the others are counted.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

pub(crate) const WINDOW: Duration = Duration::from_secs(1);
/// Lines of one log statement that are written in a window before sampling
/// begins, so that a process that routes 200 requests a second logs each
/// decision.
pub(crate) const MAX_UNSAMPLED_LINES: u64 = 200;
/// One of this many lines above `MAX_UNSAMPLED_LINES` is written.
pub(crate) const SAMPLE_INTERVAL: u64 = 100;

/// Source location of a log statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogSite {
    pub(crate) file: &'static str,
    pub(crate) line: u32,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SampleDecision {
    Write,
    Skip,
}

/// Count of the lines of one log statement that were skipped in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuppressedLines {
    pub(crate) site: LogSite,
    /// Message of the first skipped line.
    pub(crate) message: String,
    pub(crate) lines: u64,
}

#[derive(Debug, Default)]
struct SiteCount {
    lines: u64,
    skipped: u64,
    message: String,
}

/// Samples lines, with counts for the current window.
#[derive(Debug, Default)]
pub(crate) struct LogSampler {
    window_start: Option<Instant>,
    sites: BTreeMap<LogSite, SiteCount>,
}

impl LogSampler {
    /// Starts a new window if the current one is over, and returns the counts
    /// of its skipped lines.
    pub(crate) fn end_window(&mut self, now: Instant) -> Vec<SuppressedLines> {
        let start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(start) < WINDOW {
            return Vec::new();
        }
        self.window_start = Some(now);
        self.take_suppressed()
    }

    /// Returns the counts of skipped lines and resets all counts.
    pub(crate) fn take_suppressed(&mut self) -> Vec<SuppressedLines> {
        std::mem::take(&mut self.sites)
            .into_iter()
            .filter(|(_, count)| count.skipped > 0)
            .map(|(site, count)| SuppressedLines {
                site,
                message: count.message,
                lines: count.skipped,
            })
            .collect()
    }

    /// Decides whether a line is written.
    pub(crate) fn sample(&mut self, site: LogSite, message: &str) -> SampleDecision {
        let count = self.sites.entry(site).or_default();
        count.lines += 1;
        let lines_above = count.lines.saturating_sub(MAX_UNSAMPLED_LINES);
        if lines_above.is_multiple_of(SAMPLE_INTERVAL) {
            return SampleDecision::Write;
        }
        if count.skipped == 0 {
            message.clone_into(&mut count.message);
        }
        count.skipped += 1;
        SampleDecision::Skip
    }
}
