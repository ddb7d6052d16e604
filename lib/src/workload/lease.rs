//! When all leases on a worker have certainly run out.

use crate::time::TimeMs;

/// A worker's clock may be this much slower than ours, in thousandths. The
/// contract with workers names it.
const SLOW_CLOCK_MILLI: u64 = 20;
/// Slack for the estimate of a worker's clock, which is older than its answer
/// by the time that the answer was on its way.
const ESTIMATE_SLACK_MS: u64 = 250;

/// Times of the leases that owners grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Longest time for which a former owner may go on renewing leases after
    /// its successor has the seat.
    pub former_renewal_ms: u64,
}

impl LeaseTimes {
    /// When a lease that is granted by a call sent at `sent_at` is over.
    pub(crate) fn expires_at(self, sent_at: TimeMs) -> TimeMs {
        let drift_ms = self.lease_ms * SLOW_CLOCK_MILLI / (1_000 - SLOW_CLOCK_MILLI);
        sent_at.plus(self.lease_ms + drift_ms + ESTIMATE_SLACK_MS)
    }
}

/// What an owner knows of the leases on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTracker {
    over_at: TimeMs,
    /// A former owner may have granted leases, too.
    is_inherited: bool,
    silence: UnreachableRecord,
}

/// Whether the store holds that the worker does not answer. While it does, no
/// owner renews leases there, so a successor need not assume that one did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreachableRecord {
    /// There is none.
    Absent,
    /// One was handed to the store at this time.
    Written {
        /// When.
        at: TimeMs,
    },
    /// It is being dropped.
    Dropping,
}

impl LeaseTracker {
    /// Leases that only a former owner can have granted.
    pub(crate) fn inherited() -> Self {
        let over_at = TimeMs::default();
        Self { over_at, is_inherited: true, silence: UnreachableRecord::Absent }
    }

    /// Leases on a worker whose silence a former owner has recorded.
    pub(crate) fn recorded(now: TimeMs, remaining_ms: u64) -> Self {
        let silence = UnreachableRecord::Written { at: now };
        Self { over_at: now.plus(remaining_ms), is_inherited: false, silence }
    }

    /// A call may have granted leases that are over at `over_at`.
    pub(crate) fn granted(&mut self, over_at: TimeMs) {
        self.over_at = self.over_at.max(over_at);
    }

    /// The worker answered: it refuses former owners from now on.
    pub(crate) fn answered(&mut self) {
        self.is_inherited = false;
    }

    /// When nothing that the worker ran can run any more, if the leases of
    /// former owners are over at `former_over_at`.
    pub(crate) fn expires_at(&self, former_over_at: TimeMs) -> TimeMs {
        if self.is_inherited { self.over_at.max(former_over_at) } else { self.over_at }
    }

    /// Whether the store holds that the worker does not answer.
    pub(crate) fn silence(&self) -> UnreachableRecord {
        self.silence
    }

    pub(crate) fn set_silence(&mut self, silence: UnreachableRecord) {
        self.silence = silence;
    }
}
