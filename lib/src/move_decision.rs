//! Decisions about VMs that change their pool, and their reasons.

use crate::budget::BudgetExceeded;
use crate::budget::FailureDomain;
use crate::control::ControlState;
use crate::drain::DrainWait;
use crate::drain::DrainedReason;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::record::DrainPurpose;
use crate::record::RecordBody;
use crate::record::VmStep;
use crate::wave_decision::domain_name;

/// What happens to a VM that changes its pool, or why nothing does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// Begin to drain a VM for another pool.
    BeginDrain {
        /// The VM.
        vm: VmId,
        /// Pool that gives it.
        from: PoolId,
        /// Pool that takes it.
        to: PoolId,
        /// Why.
        reason: MoveReason,
    },
    /// The drained VM changes its pool.
    Move {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why it counts as drained.
        reason: DrainedReason,
    },
    /// The moved VM is maintained on the way, as a wave needs it.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// Ask the platform to reboot the VM, with the operation id as
    /// idempotency token.
    RequestReboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM serves its new pool.
    Done {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM did not come back from the reboot on the way.
    Failed {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Time that was waited for it.
        waited_ms: u64,
    },
    /// The VM stays in its pool.
    Cancel {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why.
        reason: MoveCancelReason,
    },
    /// Nothing happens for this reason.
    Wait(MoveWait),
}

/// Why a VM changes its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// The pool that takes it has too few VMs.
    Deficit {
        /// VMs that it has.
        have: u32,
        /// VMs that it should have.
        want: u32,
        /// How much the bursts of the two pools coincide, in thousandths.
        coincidence_permille: u32,
    },
    /// Holding the VM free has cost as much as a move.
    Surplus {
        /// Time for which the VM was more than the pool needs.
        held_ms: u64,
    },
}

/// Why a move is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCancelReason {
    /// Requests did not end in time.
    RequestsInFlight {
        /// Process that has them.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The pool that takes the VM was removed.
    PoolRemoved(PoolId),
    /// The VM is down or its data centre was taken out.
    VmNotInService,
    /// The pool that gives the VM needs it again.
    NeededAgain,
}

/// Why no VM is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveWait {
    /// The demand of the pool is not known yet.
    Learning {
        /// The pool.
        pool: PoolId,
    },
    /// A pool has too few VMs and no pool can give one.
    NoDonor {
        /// The pool.
        pool: PoolId,
        /// VMs that are missing.
        missing: u32,
    },
    /// A budget of the pool that gives a VM is used up.
    Budget {
        /// Pool that gives the VM.
        pool: PoolId,
        /// Failure domain of the budget.
        domain: FailureDomain,
        /// VMs that are unavailable.
        unavailable: u32,
        /// VMs that may be.
        max_unavailable: u32,
    },
    /// A VM is not drained.
    Drain {
        /// The VM.
        vm: VmId,
        /// What it waits for.
        wait: DrainWait,
    },
    /// A VM is not back from its reboot.
    Reboot {
        /// The VM.
        vm: VmId,
    },
}

impl MoveDecision {
    /// The record that carries out the decision, if it takes one.
    pub fn record(&self) -> Option<RecordBody> {
        let step = |vm, operation, step| RecordBody::VmOperation { vm, operation, step };
        match *self {
            Self::RequestReboot { .. } | Self::Wait(_) => None,
            Self::BeginDrain { vm, to, .. } => {
                Some(RecordBody::DrainBegin { vm, purpose: DrainPurpose::Move(to) })
            }
            Self::Move { vm, operation, .. } => Some(step(vm, operation, VmStep::Move)),
            Self::Reboot { vm, operation } => Some(step(vm, operation, VmStep::Reboot)),
            Self::Done { vm, operation } => Some(step(vm, operation, VmStep::Done)),
            Self::Failed { vm, operation, .. } => Some(step(vm, operation, VmStep::Failed)),
            Self::Cancel { vm, operation, .. } => Some(step(vm, operation, VmStep::Cancel)),
        }
    }
}

impl MoveWait {
    pub(crate) fn budget(pool: PoolId, domain: FailureDomain, exceeded: BudgetExceeded) -> Self {
        let BudgetExceeded { scope: _, unavailable, max_unavailable } = exceeded;
        Self::Budget { pool, domain, unavailable, max_unavailable }
    }

    /// The reason with the names of pools, racks and VMs.
    pub fn describe(&self, state: &ControlState) -> String {
        let pool_name = |pool| state.pools.get(pool).map_or("?", |pool| pool.spec.name.as_str());
        let vm_name = |vm| state.vms.get(vm).map_or("?", |vm| vm.joined.name.as_str());
        match *self {
            Self::Learning { pool } => format!("learns the demand of pool {}", pool_name(pool)),
            Self::NoDonor { pool, missing } => {
                format!("pool {} lacks {missing} VMs and no pool can give one", pool_name(pool))
            }
            Self::Budget { pool, domain, unavailable, max_unavailable } => format!(
                "waits for budget of {}: {unavailable} unavailable of {max_unavailable}",
                domain_name(state, pool, domain)
            ),
            Self::Drain { vm, wait } => format!("waits for VM {}: {wait}", vm_name(vm)),
            Self::Reboot { vm } => format!("waits for VM {} to come back", vm_name(vm)),
        }
    }
}
