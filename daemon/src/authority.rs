//! What the peer task grants to other tasks, with the time until which it
//! holds. A task that was paused finds its grant expired.

use std::collections::BTreeMap;

use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::session::StartAuthority;
use cowslipport_lib::time::TimeMs;

/// The state of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct View {
    /// The state while it is valid; stale after.
    pub(crate) state: ViewState,
    /// Until when the state is valid.
    pub(crate) valid_until: TimeMs,
}

impl View {
    /// A view that allows nothing.
    pub(crate) const STALE: Self = Self { state: ViewState::Stale, valid_until: TimeMs(0) };

    /// The state at `now`.
    pub(crate) fn at(self, now: TimeMs) -> ViewState {
        if now < self.valid_until { self.state } else { ViewState::Stale }
    }
}

/// Which partitions this process may start work in.
#[derive(Clone, Debug, Default)]
pub(crate) struct Authority {
    /// Partitions that this session owns.
    pub(crate) partitions: BTreeMap<PartitionId, StartAuthority>,
    /// Until when a grant holds.
    pub(crate) valid_until: TimeMs,
}

impl Authority {
    /// The authority in a partition at `now`.
    pub(crate) fn at(&self, now: TimeMs, partition: PartitionId) -> StartAuthority {
        match self.partitions.get(&partition) {
            None => StartAuthority::NotOwner,
            Some(_) if now >= self.valid_until => StartAuthority::StaleView,
            Some(authority) => *authority,
        }
    }
}
