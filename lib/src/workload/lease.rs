//! Time by which all leases on a worker have certainly expired.

use crate::time::TimeMs;
use crate::workload::owner_record::Unreachable;

/// Least speed of a worker's clock relative to the owner's, in thousandths, as the
/// worker contract states.
const MIN_CLOCK_SPEED_MILLI: u64 = 980;
/// Slack for the estimate of a worker's clock, which lags by the time that the
/// worker's answer was in transit.
const CLOCK_ESTIMATE_SLACK_MS: u64 = 250;

/// A call without an answer may be carried out this much later by an incarnation that
/// has already reported: it has waited for the worker to be back, for example.
pub(crate) const LATE_CALL_MS: u64 = 3_000;

/// Times of the leases that owners grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Length of a lease.
    pub lease_ms: u64,
    /// Longest lease that a worker grants. A call that reaches another incarnation
    /// than the one by whose clock its lease was computed may grant this much.
    pub longest_ms: u64,
    /// Longest time for which a former owner may go on renewing leases after
    /// its successor has gained the ownership.
    pub former_renewal_ms: u64,
    /// Time to live of the ownership: for this time after the store confirmed it to an
    /// owner, no other node can gain it.
    pub ownership_ttl_ms: u64,
    /// Time for which an owner renews leases after it last had evidence that there is no
    /// later owner: an answer of the store, or of most of its witnesses.
    pub evidence_ms: u64,
}

impl LeaseTimes {
    /// Whether a lease lasts longer than owners intend.
    pub(crate) fn is_too_long(self, remaining_ms: u64) -> bool {
        remaining_ms > self.lease_ms + CLOCK_ESTIMATE_SLACK_MS
    }

    /// When a lease that is granted by a call sent at `sent_at` has expired.
    pub(crate) fn expires_at(self, sent_at: TimeMs) -> TimeMs {
        sent_at.plus(local_ms(self.lease_ms) + CLOCK_ESTIMATE_SLACK_MS)
    }

    /// When a lease has expired that had `remaining_ms` left on the worker's clock
    /// when the worker answered, which was at `now` at the latest.
    pub(crate) fn remaining_expires_at(self, now: TimeMs, remaining_ms: u64) -> TimeMs {
        now.plus(local_ms(remaining_ms.min(self.longest_ms)) + CLOCK_ESTIMATE_SLACK_MS)
    }

    /// When any lease has expired that a worker granted at `granted_at` at the latest.
    pub(crate) fn longest_expires_at(self, granted_at: TimeMs) -> TimeMs {
        self.remaining_expires_at(granted_at, self.longest_ms)
    }

    /// When any lease has expired that a call without an answer may have granted, which
    /// ended at `ended_at` and may be carried out late.
    pub(crate) fn late_call_expires_at(self, ended_at: TimeMs) -> TimeMs {
        self.longest_expires_at(ended_at).plus(LATE_CALL_MS)
    }
}

/// Longest time that passes here while a worker's clock advances by `worker_ms`.
fn local_ms(worker_ms: u64) -> u64 {
    (worker_ms * 1_000).div_ceil(MIN_CLOCK_SPEED_MILLI)
}

/// What an owner knows of the leases on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseTracker {
    /// When the leases of the incarnation have expired that is known to run the tasks.
    expires_at: TimeMs,
    /// When the leases have expired that calls of former owners without an answer may
    /// have granted on another incarnation.
    former_unknown_expires_at: TimeMs,
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
        Self {
            expires_at: TimeMs::default(),
            former_unknown_expires_at: TimeMs::default(),
            has_former_leases: true,
            unreachable_record: UnreachableRecord::Absent,
        }
    }

    /// Leases on a worker that a former owner has recorded as unreachable.
    pub(crate) fn of_unreachable_worker(now: TimeMs, unreachable: Unreachable) -> Self {
        Self {
            expires_at: now.plus(unreachable.remaining_ms),
            former_unknown_expires_at: now.plus(unreachable.unknown_remaining_ms),
            has_former_leases: false,
            unreachable_record: UnreachableRecord::Written { at: now },
        }
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

    /// When the known leases on the worker have expired, given that former owners
    /// renew none after `former_until`.
    pub(crate) fn expires_at(&self, times: LeaseTimes, former_until: TimeMs) -> TimeMs {
        match self.has_former_leases {
            true => self.expires_at.max(times.expires_at(former_until)),
            false => self.expires_at,
        }
    }

    /// When the leases have expired that former owners may have granted on another
    /// incarnation of the worker than they knew.
    pub(crate) fn former_unknown_expires_at(
        &self,
        times: LeaseTimes,
        former_until: TimeMs,
    ) -> TimeMs {
        match self.has_former_leases {
            true => self.former_unknown_expires_at.max(times.longest_expires_at(former_until)),
            false => self.former_unknown_expires_at,
        }
    }

    /// Whether the worker has granted leases that last longer than owners intend.
    pub(crate) fn is_too_long(&self, times: LeaseTimes, now: TimeMs) -> bool {
        self.expires_at > times.expires_at(now)
    }

    /// Whether an owner may grant leases. While the store holds that the worker is
    /// unreachable it may not, because a successor would assume that they expire.
    pub(crate) fn may_be_renewed(&self) -> bool {
        self.unreachable_record == UnreachableRecord::Absent
    }

    /// State of the stored record that the worker is unreachable.
    pub(crate) fn unreachable_record(&self) -> UnreachableRecord {
        self.unreachable_record
    }

    pub(crate) fn set_unreachable_record(&mut self, record: UnreachableRecord) {
        self.unreachable_record = record;
    }
}
