//! What the peer task allows other tasks to do, with the time at which the
//! permission expires. A task that was paused for longer finds it expired.

use std::collections::BTreeMap;

use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::session::StartAuthority;
use cowslipport_lib::time::TimeMs;

/// State of the process's view of the control state, with its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct View {
    /// The state until `valid_until`; from then on the view is stale.
    pub(crate) state: ViewState,
    /// Time at which the state expires.
    pub(crate) valid_until: TimeMs,
}

impl View {
    /// A stale view, which allows no new work.
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
    /// Time at which the authority in all partitions expires.
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
