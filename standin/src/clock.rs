//! The clock of the server tasks: the runtime's clock, which tests can pause.

use std::future;
use std::time::Duration;

use tokio::time::Instant;

use cowslipport_lib::time::TimeMs;

/// Milliseconds since a common start, so that histories of several stand-ins
/// can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> TimeMs {
        self.origin.elapsed().into()
    }

    /// Waits until `deadline`, or for ever if there is none.
    pub async fn sleep_until(&self, deadline: Option<TimeMs>) {
        match deadline {
            Some(deadline) => {
                tokio::time::sleep_until(self.origin + Duration::from_millis(deadline.0)).await;
            }
            None => future::pending().await,
        }
    }
}
