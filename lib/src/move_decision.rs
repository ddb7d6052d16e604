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

/// Next step of a move, or why no VM is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// Begin to drain a VM that moves to another pool.
    BeginDrain {
        /// The VM.
        vm: VmId,
        /// Donor pool.
        from: PoolId,
        /// Receiving pool.
        to: PoolId,
        /// Why the VM moves.
        reason: MoveReason,
    },
    /// The drained VM changes its pool.
    Move {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why the VM counts as drained.
        reason: DrainedReason,
    },
    /// The moved VM is rebooted before it serves its new pool, as a wave has to
    /// maintain it.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// Request the reboot from the platform, with the operation id as
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
    /// The VM did not come back from this reboot before the timeout.
    Failed {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Time spent waiting for the VM.
        waited_ms: u64,
    },
    /// The move is cancelled; the VM stays in its pool.
    Cancel {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why the move is cancelled.
        reason: MoveCancelReason,
    },
    /// No VM is moved, for this reason.
    Wait(MoveWait),
}

/// Why a VM changes its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// The receiving pool has too few VMs.
    Deficit {
        /// VMs that the receiving pool has.
        have: u32,
        /// VMs that the receiving pool should have.
        want: u32,
        /// How much the bursts of the two pools coincide, in thousandths.
        coincidence_permille: u32,
    },
    /// Holding the surplus VM has cost as much as a move.
    Surplus {
        /// Time for which the pool has had the surplus VM.
        held_ms: u64,
    },
}

/// Why a move is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCancelReason {
    /// Requests to the VM did not end in time.
    RequestsInFlight {
        /// Session of the process that sent the requests.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The receiving pool was removed.
    PoolRemoved(PoolId),
    /// The VM is down or leaving, or its data centre is out of service.
    VmNotInService,
    /// The donor pool needs the VM again.
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
    /// A pool has too few VMs and no donor pool was found.
    NoDonor {
        /// The pool.
        pool: PoolId,
        /// VMs that are missing.
        missing: u32,
    },
    /// An availability budget of the donor pool is used up.
    Budget {
        /// Donor pool.
        pool: PoolId,
        /// Failure domain of the budget.
        domain: FailureDomain,
        /// VMs of the domain that are unavailable.
        unavailable: u32,
        /// VMs of the domain that may be unavailable.
        max_unavailable: u32,
    },
    /// A VM is not drained yet.
    Drain {
        /// The VM.
        vm: VmId,
        /// What the drain waits for.
        wait: DrainWait,
    },
    /// A VM is not back from its reboot.
    Reboot {
        /// The VM.
        vm: VmId,
    },
}

impl MoveDecision {
    /// The record that puts the decision into effect, if it needs one.
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

    /// Describes the reason with the names of pools, racks and VMs.
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
