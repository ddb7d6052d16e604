//! The check of the ownership by the tasks that send the owner's calls. A call may
//! wait in the queue of its task, or the whole process may stand still, for longer
//! than the store's last confirmation is valid.

use cowslipport_lib::time::TimeMs;
use tokio::sync::watch;

use crate::clock::Clock;

/// How long the owner may act if the store does not confirm the ownership again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnershipTimes {
    /// Until then no other node can be the owner.
    pub(crate) confirmed_until: TimeMs,
    /// Until then a successor counts on renewals of leases.
    pub(crate) renewable_until: TimeMs,
}

/// Tells at the time of sending what the owner may still do.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipCheck {
    clock: Clock,
    /// The times, which the core updates.
    times: watch::Receiver<OwnershipTimes>,
}

impl OwnershipCheck {
    pub(crate) fn new(clock: Clock, times: watch::Receiver<OwnershipTimes>) -> Self {
        Self { clock, times }
    }

    /// True if no other node can be the owner.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.clock.now() < self.times.borrow().confirmed_until
    }

    /// True if the owner may renew leases.
    pub(crate) fn may_renew_leases(&self) -> bool {
        self.clock.now() < self.times.borrow().renewable_until
    }
}
