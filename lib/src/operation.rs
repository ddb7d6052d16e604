//! The operations of one planner: when this process first observed the phase
//! of each, and the steps that waves and moves have in common.

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

/// Time after which a record that was proposed and not applied is proposed
/// again. An append normally takes some tens of milliseconds.
pub const PROPOSAL_RETRY_MS: u64 = 2000;

/// Time after which the reboot is requested from the platform again.
pub const REBOOT_REQUEST_RETRY_MS: u64 = 10_000;

/// What this process knows about a VM in addition to the control state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmReport {
    /// Requests and tasks of the VM.
    pub drain: DrainReport,
    /// Time since which the VM has been healthy after the reboot of its
    /// operation; nothing while it is not back.
    pub healthy_since: Option<TimeMs>,
}

/// An operation, and when this process first observed its current phase.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedOperation {
    pub(crate) id: OperationId,
    pub(crate) phase: OperationPhase,
    pub(crate) since: TimeMs,
    last_proposal: Option<TimeMs>,
    last_reboot_request: Option<TimeMs>,
}

/// Progress of a reboot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RebootStatus {
    /// The VM is back and healthy.
    Back,
    /// The VM did not come back before the timeout.
    Failed { waited_ms: u64 },
    /// The reboot has to be requested from the platform.
    CallPlatform,
    /// The VM is not back yet.
    Waiting,
}

/// The operations that one planner advances.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationTracker {
    tracked: BTreeMap<VmId, TrackedOperation>,
}

impl OperationTracker {
    /// Updates the tracked operations to those of the control state whose
    /// purpose satisfies `has_purpose`.
    pub(crate) fn observe<F>(&mut self, state: &ControlState, now: TimeMs, has_purpose: F)
    where
        F: Fn(DrainPurpose) -> bool,
    {
        let operations: BTreeMap<VmId, _> = state
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id, vm.operation?)))
            .filter(|(_, operation)| has_purpose(operation.purpose))
            .collect();
        self.tracked.retain(|vm, _| operations.contains_key(vm));
        for (vm, operation) in operations {
            let known = self.tracked.get(&vm);
            if known.is_some_and(|tracked| {
                (tracked.id, tracked.phase) == (operation.id, operation.phase)
            }) {
                continue;
            }
            let tracked = TrackedOperation {
                id: operation.id,
                phase: operation.phase,
                since: now,
                last_proposal: None,
                last_reboot_request: None,
            };
            self.tracked.insert(vm, tracked);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.tracked.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    pub(crate) fn contains(&self, vm: VmId) -> bool {
        self.tracked.contains_key(&vm)
    }

    /// The operations, the newest first.
    pub(crate) fn newest_first(&self) -> Vec<(VmId, TrackedOperation)> {
        let mut all: Vec<_> = self.tracked.iter().map(|(vm, tracked)| (*vm, *tracked)).collect();
        all.sort_unstable_by_key(|(vm, tracked)| std::cmp::Reverse((tracked.id, *vm)));
        all
    }

    /// Returns false if a record of the operation was proposed less than
    /// [`PROPOSAL_RETRY_MS`] ago; otherwise notes that one is proposed now.
    pub(crate) fn may_propose(&mut self, vm: VmId, now: TimeMs) -> bool {
        let Some(tracked) = self.tracked.get_mut(&vm) else { return false };
        if tracked.last_proposal.is_some_and(|at| now.since(at) < PROPOSAL_RETRY_MS) {
            return false;
        }
        tracked.last_proposal = Some(now);
        true
    }

    /// Returns the progress of a reboot. The timeout does not run while the
    /// data centre of the VM is out of service, as the cause of that may also
    /// keep the VM from coming back.
    pub(crate) fn reboot_status(
        &mut self,
        state: &ControlState,
        (id, vm): (VmId, &Vm),
        report: Option<&VmReport>,
        timeout_ms: u64,
        now: TimeMs,
    ) -> RebootStatus {
        let Some(tracked) = self.tracked.get_mut(&id) else { return RebootStatus::Waiting };
        let is_healthy = report.is_some_and(|report| report.healthy_since.is_some());
        if is_healthy && vm.health == Health::Up {
            return RebootStatus::Back;
        }
        if !state.data_centre_in_service(vm) {
            tracked.since = now;
            return RebootStatus::Waiting;
        }
        let waited_ms = now.since(tracked.since);
        if waited_ms >= timeout_ms {
            return RebootStatus::Failed { waited_ms };
        }
        if !is_healthy
            && tracked.last_reboot_request.is_none_or(|at| now.since(at) >= REBOOT_REQUEST_RETRY_MS)
        {
            tracked.last_reboot_request = Some(now);
            return RebootStatus::CallPlatform;
        }
        RebootStatus::Waiting
    }
}

/// Returns whether the VM of an operation is drained.
pub(crate) fn drain_status(
    state: &ControlState,
    vm: &Vm,
    tracked: &TrackedOperation,
    goal: DrainGoal,
    report: Option<&VmReport>,
    now: TimeMs,
) -> DrainStatus {
    let drain = Drain::new(state, vm.pool, tracked.id, goal, tracked.since);
    let unknown = DrainReport::default();
    drain::status(state, &drain, report.map_or(&unknown, |report| &report.drain), now)
}
