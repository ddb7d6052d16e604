//! Adaptive timeout of appends to the store.
//!
//! The store carries out the appends of a partition one at a time. With a fixed
//! timeout, appends that queue for too long would be retried, would queue
//! behind their own retries, and none would be answered in time. So each append
//! without an answer doubles the timeout of the next one.

use std::time::Duration;

/// Timeout of the first append and of each that follows an answer. The store
/// answers within 4 ms, and within about 250 ms when it is slow. A dead
/// connection is detected after this time.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest timeout of the owner's appends. The store rejects an append that
/// would queue behind more than 2 s of others, so it answers an append that it
/// has accepted within this time.
pub(crate) const OWNER_MAX: Duration = Duration::from_millis(2_800);
/// Longest timeout of an append for a caller, who has to learn of an unknown
/// outcome while there is time to ask again.
pub(crate) const CALLER_MAX: Duration = Duration::from_millis(1_500);

/// Timeout of the next append of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendTimeout {
    current: Duration,
    max: Duration,
}

impl AppendTimeout {
    /// Starts with the initial timeout, which can grow to `max`.
    pub(crate) fn new(max: Duration) -> Self {
        Self { current: INITIAL_TIMEOUT, max }
    }

    pub(crate) fn current(self) -> Duration {
        self.current
    }

    /// Resets the timeout after an append that the store answered.
    pub(crate) fn reset(&mut self) {
        self.current = INITIAL_TIMEOUT;
    }

    /// Doubles the timeout after an append without an answer.
    pub(crate) fn double(&mut self) {
        self.current = (self.current * 2).min(self.max);
    }
}
