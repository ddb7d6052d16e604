//! Points in time that decisions get as an argument.

use std::fmt;
use std::time::Duration;

/// Milliseconds on the monotonic clock of this process, from its start. Only
/// differences within one process have a meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The time `duration_ms` later.
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// The time `duration_ms` earlier, at least the start of the process.
    pub fn minus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_sub(duration_ms))
    }

    /// Milliseconds from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl From<Duration> for TimeMs {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
