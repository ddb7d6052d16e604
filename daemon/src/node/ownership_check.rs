//! The check of the ownership by the tasks that send the owner's orders. An
//! order may wait in the queue of its task, or the whole process may stand still,
//! for longer than the store's last confirmation is valid.

use cowslipport_lib::time::TimeMs;
use tokio::sync::watch;

use crate::clock::Clock;

/// Tells at the time of sending whether no other node can be the owner.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipCheck {
    clock: Clock,
    /// End of the last confirmation, which the core updates.
    confirmed_until: watch::Receiver<TimeMs>,
}

impl OwnershipCheck {
    pub(crate) fn new(clock: Clock, confirmed_until: watch::Receiver<TimeMs>) -> Self {
        Self { clock, confirmed_until }
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.clock.now() < *self.confirmed_until.borrow()
    }
}
