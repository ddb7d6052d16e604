//! A VM that is being maintained: its drain and the order for it.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DrainBlocker;
use crate::workload::vm::VmEntry;
use crate::workload::vm_drain::DrainState;

/// A drain that has been blocked for this time is given up, and the worker gets
/// tasks again. A VM that is moved into the pool takes at most this long, and a
/// long-running task that needs the worker should run again within 6 s.
const DRAIN_BLOCKED_MS: u64 = 5_000;

/// A VM that is being maintained.
#[derive(Clone, Debug)]
pub(crate) struct VmMaintenance {
    pub(crate) worker: Option<String>,
    pub(crate) stage: Stage,
    /// Since when the drain has been blocked, and why it is now.
    pub(crate) blocked: Option<(TimeMs, DrainBlocker)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The VM's worker gets no new tasks until it is empty.
    Draining { since: TimeMs },
    /// The VM was ordered down for maintenance.
    Ordered {
        at: TimeMs,
        accepted_at: Option<TimeMs>,
        /// Whether the list has shown the VM under maintenance since the order,
        /// which may be the maintenance of another wave.
        is_under_way: bool,
        /// When the order is repeated if it has no answer until then.
        repeat_at: TimeMs,
        /// Whether an earlier order for the VM may still be carried out.
        is_repeated: bool,
    },
}

impl VmMaintenance {
    /// Drains the VM. Returns true once it may go down.
    pub(crate) fn drain(
        &mut self,
        now: TimeMs,
        is_timed_out: bool,
        may_stop_long_running: bool,
        dispatcher: &mut Dispatcher,
    ) -> bool {
        let Some(worker) = self.worker.as_deref() else { return true };
        let state =
            dispatcher.drain_for_maintenance(now, worker, is_timed_out, may_stop_long_running);
        let blocker = match state {
            DrainState::Blocked(blocker) => Some(blocker),
            DrainState::Drained => dispatcher.blocker_of_drained(now, worker),
            DrainState::Draining => None,
        };
        let since = self.blocked.map_or(now, |(since, _)| since);
        self.blocked = blocker.map(|blocker| (since, blocker));
        state == DrainState::Drained
    }

    /// Why the drain is blocked, if it has been for long.
    pub(crate) fn blocked_for_long(&self, now: TimeMs) -> Option<DrainBlocker> {
        let (since, blocker) = self.blocked?;
        (now.since(since) >= DRAIN_BLOCKED_MS).then_some(blocker)
    }

    /// Applies the present worker of the VM, which may have been restarted.
    pub(crate) fn update_worker(&mut self, entry: Option<&VmEntry>, dispatcher: &mut Dispatcher) {
        let present = entry.and_then(|entry| entry.worker.clone());
        if present == self.worker {
            return;
        }
        if let Some(worker) = &present {
            dispatcher.set_cordoned(worker, true);
        }
        self.worker = present;
    }
}
