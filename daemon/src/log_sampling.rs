//! Decides which lines of a flood are written.
//!
//! A place in the code that logs more than `FLOOD_LINES` lines in a window is
//! sampled for the rest of the window: one line in `SAMPLE_EVERY` is written
//! and the others are counted.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Length of a window.
pub(crate) const WINDOW: Duration = Duration::from_secs(1);
/// Lines of one place that are written in a window before sampling begins. A
/// process that routes 200 requests a second logs every decision.
pub(crate) const FLOOD_LINES: u64 = 200;
/// Of the lines above `FLOOD_LINES`, the part that is written.
pub(crate) const SAMPLE_EVERY: u64 = 100;

/// A place in the code that logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Site {
    pub(crate) file: &'static str,
    pub(crate) line: u32,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sample {
    Write,
    Skip,
}

/// Lines of one place that were not written in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suppressed {
    pub(crate) site: Site,
    pub(crate) message: String,
    pub(crate) lines: u64,
}

#[derive(Debug, Default)]
struct SiteCount {
    lines: u64,
    skipped: u64,
    message: String,
}

/// Counts of the current window.
#[derive(Debug, Default)]
pub(crate) struct FloodSampler {
    window_start: Option<Instant>,
    sites: BTreeMap<Site, SiteCount>,
}

impl FloodSampler {
    /// Ends the window if its time is over, and returns what was not written
    /// in it.
    pub(crate) fn end_window(&mut self, now: Instant) -> Vec<Suppressed> {
        let start = *self.window_start.get_or_insert(now);
        if now.saturating_duration_since(start) < WINDOW {
            return Vec::new();
        }
        self.window_start = Some(now);
        self.take_suppressed()
    }

    /// Ends the window at once.
    pub(crate) fn take_suppressed(&mut self) -> Vec<Suppressed> {
        std::mem::take(&mut self.sites)
            .into_iter()
            .filter(|(_, count)| count.skipped > 0)
            .map(|(site, count)| Suppressed { site, message: count.message, lines: count.skipped })
            .collect()
    }

    /// Decides about one line.
    pub(crate) fn sample(&mut self, site: Site, message: &str) -> Sample {
        let count = self.sites.entry(site).or_default();
        count.lines += 1;
        let above = count.lines.saturating_sub(FLOOD_LINES);
        if above.is_multiple_of(SAMPLE_EVERY) {
            return Sample::Write;
        }
        if count.skipped == 0 {
            message.clone_into(&mut count.message);
        }
        count.skipped += 1;
        Sample::Skip
    }
}
