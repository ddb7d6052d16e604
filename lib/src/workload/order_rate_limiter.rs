//! Keeps orders for VMs below the rate that the service accepts: what comes
//! beyond it would be refused, and the decision behind it would be old by the
//! time that it is repeated.

use crate::time::TimeMs;

/// Part of the accepted rate, in percent, that an owner uses. The rest is for
/// the last orders of the owner before it.
const USED_PERCENT: u64 = 90;
/// Time whose orders may be given at once: five rounds of an owner that waits.
const BURST_MS: u64 = 250;

/// Orders that may be given now.
#[derive(Clone, Copy, Debug)]
pub struct OrderRateLimiter {
    per_second: u64,
    /// In thousandths of an order.
    available_milli: u64,
    filled_at: TimeMs,
}

impl OrderRateLimiter {
    /// A rate of so many accepted orders a second, with none available yet.
    pub fn new(now: TimeMs, accepted_per_second: u32) -> Self {
        let per_second = (u64::from(accepted_per_second) * USED_PERCENT / 100).max(1);
        Self { per_second, available_milli: 0, filled_at: now }
    }

    /// Number of orders that may be given at `now`.
    pub fn available(&mut self, now: TimeMs) -> usize {
        let most_milli = (self.per_second * BURST_MS).max(1_000);
        // Orders a second are thousandths of an order a millisecond.
        let filled_milli = now.since(self.filled_at).saturating_mul(self.per_second);
        self.available_milli = self.available_milli.saturating_add(filled_milli).min(most_milli);
        self.filled_at = self.filled_at.max(now);
        usize::try_from(self.available_milli / 1_000).unwrap_or(usize::MAX)
    }

    /// Takes note of orders that were given.
    pub fn consume(&mut self, orders: usize) {
        self.available_milli = self.available_milli.saturating_sub(orders as u64 * 1_000);
    }
}
