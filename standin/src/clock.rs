//! The clock of the stand-ins. It follows the clock of the runtime, which tests
//! can pause.

use std::future;
use std::time::Duration;

use tokio::time::Instant;

use cowslipport_lib::time::TimeMs;

/// Counts milliseconds from an origin. Stand-ins that share a clock have
/// histories whose times can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the present time.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> TimeMs {
        self.origin.elapsed().into()
    }

    /// Waits until `deadline`, or forever if it is `None`.
    pub async fn sleep_until(&self, deadline: Option<TimeMs>) {
        match deadline {
            Some(deadline) => {
                tokio::time::sleep_until(self.origin + Duration::from_millis(deadline.0)).await;
            }
            None => future::pending().await,
        }
    }
}
