//! The operations of one planner: when this process saw each phase, and the
//! steps that waves and moves have in common.

use std::collections::BTreeMap;

use crate::control::ControlState;
use crate::control::OperationPhase;
use crate::control::Vm;
use crate::drain;
use crate::drain::Drain;
use crate::drain::DrainGoal;
use crate::drain::DrainReport;
use crate::drain::DrainStatus;
use crate::ids::OperationId;
use crate::ids::VmId;
use crate::record::DrainPurpose;
use crate::record::Health;
use crate::time::TimeMs;

/// Time after which a proposal that the fold does not show is made again. An
/// append normally takes some tens of milliseconds.
pub const PROPOSAL_RETRY_MS: u64 = 2000;

/// Time after which the platform is asked again for a reboot.
pub const PLATFORM_RETRY_MS: u64 = 10_000;

/// What this process knows about a VM apart from the fold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmReport {
    /// What is in flight to the VM.
    pub drain: DrainReport,
    /// Since when the VM is back and healthy after the reboot of its
    /// operation.
    pub healthy_since: Option<TimeMs>,
}

/// When this process saw an operation in its present phase.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenOperation {
    pub(crate) id: OperationId,
    pub(crate) phase: OperationPhase,
    pub(crate) since: TimeMs,
    proposed: Option<TimeMs>,
    called: Option<TimeMs>,
}

/// What a reboot waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RebootStatus {
    /// The VM is back.
    Back,
    /// The VM did not come back in time.
    Failed { waited_ms: u64 },
    /// The platform has to be asked.
    CallPlatform,
    /// The VM is not back.
    Waiting,
}

/// The operations that one planner steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operations {
    seen: BTreeMap<VmId, SeenOperation>,
}

impl Operations {
    /// Takes over the operations of the fold whose purpose is `mine`.
    pub(crate) fn observe<F>(&mut self, state: &ControlState, now: TimeMs, mine: F)
    where
        F: Fn(DrainPurpose) -> bool,
    {
        let current: BTreeMap<VmId, _> = state
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id, vm.operation?)))
            .filter(|(_, operation)| mine(operation.purpose))
            .collect();
        self.seen.retain(|vm, _| current.contains_key(vm));
        for (vm, operation) in current {
            let known = self.seen.get(&vm);
            if known.is_some_and(|seen| (seen.id, seen.phase) == (operation.id, operation.phase)) {
                continue;
            }
            let seen = SeenOperation {
                id: operation.id,
                phase: operation.phase,
                since: now,
                proposed: None,
                called: None,
            };
            self.seen.insert(vm, seen);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.seen.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    pub(crate) fn contains(&self, vm: VmId) -> bool {
        self.seen.contains_key(&vm)
    }

    /// The operations, the youngest first.
    pub(crate) fn youngest_first(&self) -> Vec<(VmId, SeenOperation)> {
        let mut all: Vec<_> = self.seen.iter().map(|(vm, seen)| (*vm, *seen)).collect();
        all.sort_unstable_by_key(|(vm, seen)| std::cmp::Reverse((seen.id, *vm)));
        all
    }

    /// False if a record was proposed for the operation a moment ago.
    pub(crate) fn may_propose(&mut self, vm: VmId, now: TimeMs) -> bool {
        let Some(seen) = self.seen.get_mut(&vm) else { return false };
        if seen.proposed.is_some_and(|proposed| now.since(proposed) < PROPOSAL_RETRY_MS) {
            return false;
        }
        seen.proposed = Some(now);
        true
    }

    /// Judges a reboot. The timeout does not run while the data centre of the
    /// VM is out, as what took it out may keep the VM away.
    pub(crate) fn reboot_status(
        &mut self,
        state: &ControlState,
        (id, vm): (VmId, &Vm),
        report: Option<&VmReport>,
        timeout_ms: u64,
        now: TimeMs,
    ) -> RebootStatus {
        let Some(seen) = self.seen.get_mut(&id) else { return RebootStatus::Waiting };
        let back = report.is_some_and(|report| report.healthy_since.is_some());
        if back && vm.health == Health::Up {
            return RebootStatus::Back;
        }
        if !state.data_centre_in_service(vm) {
            seen.since = now;
            return RebootStatus::Waiting;
        }
        let waited_ms = now.since(seen.since);
        if waited_ms >= timeout_ms {
            return RebootStatus::Failed { waited_ms };
        }
        if !back && seen.called.is_none_or(|called| now.since(called) >= PLATFORM_RETRY_MS) {
            seen.called = Some(now);
            return RebootStatus::CallPlatform;
        }
        RebootStatus::Waiting
    }
}

/// Judges the drain of an operation.
pub(crate) fn drain_status(
    state: &ControlState,
    vm: &Vm,
    seen: &SeenOperation,
    goal: DrainGoal,
    report: Option<&VmReport>,
    now: TimeMs,
) -> DrainStatus {
    let drain = Drain::new(state, vm.pool, seen.id, goal, seen.since);
    let unknown = DrainReport::default();
    drain::status(state, &drain, report.map_or(&unknown, |report| &report.drain), now)
}
