//! When refused callers may come back: in the order in which they were refused, and no
//! faster than the room that they wait for becomes free.

use crate::time::TimeMs;

/// Callers are told whole seconds, the unit of the header that carries the delay.
const DELAY_STEP_MS: u64 = 1_000;

/// The part of the returning callers that one node schedules. Nodes refuse at the same
/// time and do not talk to each other, so each takes every n-th place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnShare {
    /// Number of nodes, at least one.
    pub nodes: u64,
    /// Number of this node among them, from zero.
    pub index: u64,
}

/// The callers of one pool that a node has sent away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnSchedule {
    /// When the pool has room for the last of them.
    last_room_at: Option<TimeMs>,
    /// When the last of them comes back, which is later, as delays are rounded up.
    last_return_at: TimeMs,
}

impl ReturnSchedule {
    /// The delay of a caller who can be served in `earliest_ms` at the earliest, and who
    /// then takes the whole pool for `interval_ms`. No later caller returns earlier.
    pub fn assign(
        &mut self,
        now: TimeMs,
        earliest_ms: u64,
        interval_ms: u64,
        share: ReturnShare,
    ) -> u64 {
        let earliest = now.plus(earliest_ms);
        let own_interval_ms = interval_ms.saturating_mul(share.nodes.max(1));
        let room_at = match self.last_room_at {
            Some(last) => earliest.max(last.plus(own_interval_ms)),
            None => earliest.plus(interval_ms.saturating_mul(share.index)),
        };
        let wait_ms = room_at.max(self.last_return_at).since(now);
        let delay_ms = wait_ms.div_ceil(DELAY_STEP_MS).max(1).saturating_mul(DELAY_STEP_MS);
        self.last_room_at = Some(room_at);
        self.last_return_at = now.plus(delay_ms);
        delay_ms
    }
}
