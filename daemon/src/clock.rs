//! Clock of the process, which gives the decision logic its time.

use cowslipport_lib::time::TimeMs;
use tokio::time::Instant;

/// Measures the time since its start with the clock of the Tokio runtime.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The current time.
    pub(crate) fn now(self) -> TimeMs {
        TimeMs::from(self.start.elapsed())
    }
}
