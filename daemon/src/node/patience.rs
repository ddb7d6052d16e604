//! How long an append is waited for.
//!
//! The store carries out the appends of a partition one by one. Those that wait
//! too long for each other are repeated, wait behind their repetitions, and none
//! is answered in time; so each that was not answered makes the next wait longer.

use std::time::Duration;

/// The store answers in 4 ms, and in some 250 ms on its slow days. A link that
/// fell silent is found after this time.
const FIRST: Duration = Duration::from_millis(700);
/// Longest wait of the owner. The store turns an append away when more than 2 s
/// of others are before it, so one that it has taken is answered by then.
pub(crate) const OWNER_MAX: Duration = Duration::from_millis(2_800);
/// Longest wait for a record of a caller, who is told that the outcome is
/// unknown while there is time to ask again.
pub(crate) const CALLER_MAX: Duration = Duration::from_millis(1_500);

/// The wait for the next append of one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    wait: Duration,
    max: Duration,
}

impl Patience {
    /// The first wait, which grows to `max`.
    pub(crate) fn new(max: Duration) -> Self {
        Self { wait: FIRST, max }
    }

    /// Time for which the next append is waited for.
    pub(crate) fn wait(self) -> Duration {
        self.wait
    }

    /// An append was answered.
    pub(crate) fn answered(&mut self) {
        self.wait = FIRST;
    }

    /// An append was not answered.
    pub(crate) fn unanswered(&mut self) {
        self.wait = (self.wait * 2).min(self.max);
    }
}
