//! Rate limiter for VM orders, a token bucket. The VM service refuses orders
//! beyond its accepted rate, and by the time a refused order is repeated, the
//! decision behind it is out of date.

use crate::time::TimeMs;

/// Part of the accepted rate, in percent, that an owner uses. The rest is left
/// for the last orders of the previous owner.
const USED_RATE_PERCENT: u64 = 90;
/// Size of a burst, as the time in which its orders become available: five
/// rounds of an idle owner.
const BURST_MS: u64 = 250;

/// Limits the rate of VM orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderRateLimiter {
    per_second: u64,
    /// In thousandths of an order.
    available_milli: u64,
    refilled_at: TimeMs,
}

impl OrderRateLimiter {
    /// A limiter for a service that accepts `accepted_per_second` orders. No
    /// orders are available at first.
    pub fn new(now: TimeMs, accepted_per_second: u32) -> Self {
        let per_second = (u64::from(accepted_per_second) * USED_RATE_PERCENT / 100).max(1);
        Self { per_second, available_milli: 0, refilled_at: now }
    }

    /// Number of orders that may be given at `now`.
    pub fn available(&mut self, now: TimeMs) -> usize {
        let max_milli = (self.per_second * BURST_MS).max(1_000);
        // The number of orders per second equals the number of thousandths of
        // an order per millisecond.
        let refill_milli = now.since(self.refilled_at).saturating_mul(self.per_second);
        self.available_milli = self.available_milli.saturating_add(refill_milli).min(max_milli);
        self.refilled_at = self.refilled_at.max(now);
        usize::try_from(self.available_milli / 1_000).unwrap_or(usize::MAX)
    }

    /// Consumes the tokens of orders that were given.
    pub fn consume(&mut self, orders: usize) {
        self.available_milli = self.available_milli.saturating_sub(orders as u64 * 1_000);
    }
}
