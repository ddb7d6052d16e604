//! Time by which all leases on a worker have certainly expired.

use crate::time::TimeMs;

/// A worker's clock may be this much slower than the owner's, in thousandths,
/// as the worker contract states.
const MAX_CLOCK_DRIFT_MILLI: u64 = 20;
/// Slack for the estimate of a worker's clock, which lags by the time that the
/// worker's answer was in transit.
const CLOCK_ESTIMATE_SLACK_MS: u64 = 250;

/// Times of the leases that owners grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Longest time for which a former owner may go on renewing leases after
    /// its successor has gained the ownership.
    pub former_renewal_ms: u64,
}

impl LeaseTimes {
    /// Whether a lease lasts longer than owners intend.
    pub(crate) fn is_too_long(self, remaining_ms: u64) -> bool {
        remaining_ms > self.lease_ms + CLOCK_ESTIMATE_SLACK_MS
    }

    /// When a lease that is granted by a call sent at `sent_at` has expired.
    pub(crate) fn expires_at(self, sent_at: TimeMs) -> TimeMs {
        let drift_ms = self.lease_ms * MAX_CLOCK_DRIFT_MILLI / (1_000 - MAX_CLOCK_DRIFT_MILLI);
        sent_at.plus(self.lease_ms + drift_ms + CLOCK_ESTIMATE_SLACK_MS)
    }
}

/// What an owner knows of the leases on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTracker {
    expires_at: TimeMs,
    /// Whether former owners may also have granted leases.
    has_former_leases: bool,
    unreachable_record: UnreachableRecord,
}

/// State of the stored record that a worker is unreachable. While the record
/// exists no owner renews leases on the worker, so a successor need not assume
/// that one did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreachableRecord {
    /// The store has no record.
    Absent,
    /// A record was handed to the store.
    Written {
        /// When it was handed over.
        at: TimeMs,
    },
    /// The record is being dropped.
    Dropping,
}

impl LeaseTracker {
    /// Leases on a worker to which this owner has granted none.
    pub(crate) fn inherited() -> Self {
        let expires_at = TimeMs::default();
        Self { expires_at, has_former_leases: true, unreachable_record: UnreachableRecord::Absent }
    }

    /// Leases on a worker that a former owner has recorded as unreachable.
    pub(crate) fn of_unreachable_worker(now: TimeMs, remaining_ms: u64) -> Self {
        let unreachable_record = UnreachableRecord::Written { at: now };
        Self { expires_at: now.plus(remaining_ms), has_former_leases: false, unreachable_record }
    }

    /// Records that a call may have granted leases that expire at `expires_at`.
    pub(crate) fn granted(&mut self, expires_at: TimeMs) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Records that the worker answered, and so refuses former owners from now
    /// on.
    pub(crate) fn worker_answered(&mut self) {
        self.has_former_leases = false;
    }

    /// When all leases on the worker have expired, given that those of former
    /// owners have at `former_expires_at`.
    pub(crate) fn expires_at(&self, former_expires_at: TimeMs) -> TimeMs {
        if self.has_former_leases {
            self.expires_at.max(former_expires_at)
        } else {
            self.expires_at
        }
    }

    /// State of the stored record that the worker is unreachable.
    pub(crate) fn unreachable_record(&self) -> UnreachableRecord {
        self.unreachable_record
    }

    pub(crate) fn set_unreachable_record(&mut self, record: UnreachableRecord) {
        self.unreachable_record = record;
    }
}
