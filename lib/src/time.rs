//! Points in time, which decisions receive as an argument.

use std::fmt;
use std::time::Duration;

/// Milliseconds on the monotonic clock of this process since its start. Only
/// times of the same process can be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the time `duration_ms` later.
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the time `duration_ms` earlier, but not before the start of the
    /// process.
    pub fn minus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_sub(duration_ms))
    }

    /// Returns the milliseconds from `earlier` to `self`, or zero if `earlier`
    /// is the later time.
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
