//! Budget of the owner's network link for starts of tasks, a token bucket.
//!
//! A start carries the payload of its job, so a demand peak on a slow link would
//! fill the link with starts. Polls, which renew leases, and the calls that keep
//! the ownership would then time out.

use crate::time::TimeMs;

/// Part of the link, in percent, that starts may take. The rest is for polls,
/// appends and callers.
const LINK_SHARE_PERCENT: u64 = 65;
/// Bytes of a start besides its payload: the heads of the request and the
/// response, the report of its end, and its share of the records.
const START_OVERHEAD_BYTES: u64 = 500;
/// Size of a burst, as the time in which the link carries it. It is shorter
/// than the timeout of an order.
const BURST_MS: u64 = 200;
const BITS_PER_BYTE: u64 = 8;

/// Limits the starts that an owner orders to what its link carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartBudget {
    /// `None` if the link is not a limit.
    bytes_per_second: Option<u64>,
    /// In thousandths of a byte; negative after a start that was larger than
    /// what was available.
    available_milli: i64,
    refilled_at: TimeMs,
}

impl StartBudget {
    /// A budget for a link with this capacity. A full burst is available at
    /// first.
    pub fn new(now: TimeMs, link_bits_per_second: u64) -> Self {
        let share = link_bits_per_second / BITS_PER_BYTE / 100 * LINK_SHARE_PERCENT;
        let mut budget =
            Self { bytes_per_second: Some(share.max(1)), available_milli: 0, refilled_at: now };
        budget.available_milli = budget.max_milli();
        budget
    }

    fn max_milli(&self) -> i64 {
        let per_second = self.bytes_per_second.unwrap_or(u64::MAX);
        i64::try_from(per_second.saturating_mul(BURST_MS)).unwrap_or(i64::MAX)
    }

    /// Adds what has become available by `now`.
    pub(crate) fn refill(&mut self, now: TimeMs) {
        let Some(per_second) = self.bytes_per_second else { return };
        // Bytes per second equal thousandths of a byte per millisecond.
        let added = now.since(self.refilled_at).saturating_mul(per_second);
        let added = i64::try_from(added).unwrap_or(i64::MAX);
        self.available_milli = self.available_milli.saturating_add(added).min(self.max_milli());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// True if a start may be ordered now.
    pub(crate) fn is_available(&self) -> bool {
        self.bytes_per_second.is_none() || self.available_milli > 0
    }

    /// Takes the bytes of a start.
    pub(crate) fn take(&mut self, payload_bytes: usize) {
        let milli = start_bytes(payload_bytes).saturating_mul(1_000);
        let milli = i64::try_from(milli).unwrap_or(i64::MAX);
        self.available_milli = self.available_milli.saturating_sub(milli);
    }

    /// Time that the budget needs for starts of this size in all, beyond what
    /// is available.
    pub(crate) fn time_for_ms(&self, bytes: u64) -> u64 {
        let Some(per_second) = self.bytes_per_second else { return 0 };
        let missing_milli = i128::from(bytes) * 1_000 - i128::from(self.available_milli);
        u64::try_from(missing_milli.max(0) / i128::from(per_second)).unwrap_or(u64::MAX)
    }
}

/// Bytes that a start with a payload of this size takes of the link.
pub(crate) fn start_bytes(payload_bytes: usize) -> u64 {
    START_OVERHEAD_BYTES.saturating_add(payload_bytes as u64)
}
