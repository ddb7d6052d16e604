//! The runtime's clock as the time that decisions get.

use cowslipport_lib::time::TimeMs;
use tokio::time::Instant;

/// Start of the process on the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time now.
    pub(crate) fn now(self) -> TimeMs {
        TimeMs::from(self.start.elapsed())
    }
}
