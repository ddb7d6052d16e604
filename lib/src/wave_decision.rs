//! Decisions of a wave and their reasons.

use std::fmt;

use crate::budget::BudgetExceeded;
use crate::budget::FailureDomain;
use crate::control::ControlState;
use crate::drain::DrainWait;
use crate::drain::DrainedReason;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::record::DrainPurpose;
use crate::record::RecordBody;
use crate::record::VmStep;
use crate::record::WavePhase;

/// What a wave does next, or why it does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveDecision {
    /// Begin to drain a VM.
    BeginDrain {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: WaveId,
        /// Why this VM was chosen.
        reason: DrainChoice,
    },
    /// Record that the drained VM is about to reboot.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why the VM counts as drained.
        reason: DrainedReason,
    },
    /// Request the reboot from the platform, with the operation id as
    /// idempotency token. The request is repeated until the VM is back, as a
    /// reply may be lost.
    RequestReboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM is back from its reboot and healthy.
    Done {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM did not come back before the reboot timeout.
    Failed {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Time spent waiting for the VM.
        waited_ms: u64,
    },
    /// The VM returns to service without maintenance.
    Cancel {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why the drain is cancelled.
        reason: CancelReason,
    },
    /// All VMs of the step stayed healthy for the soak time; the next step is
    /// wider, up to the maximum width. No decision narrows or halts the wave:
    /// applying the record of a failed VM does.
    Widen {
        /// The wave.
        wave: WaveId,
        /// VMs of the step, which stayed healthy for the soak time.
        healthy: u32,
        /// Proposed width, which is bounded when the record is applied.
        width: u32,
    },
    /// Every VM of the wave is done or failed.
    Finish {
        /// The wave.
        wave: WaveId,
        /// VMs that came back.
        done: u32,
        /// VMs that did not come back.
        failed: u32,
        /// Width of the wave when it finishes.
        width: u32,
    },
    /// Nothing is done, for this reason.
    Wait(WaveWait),
}

/// Why a VM is drained next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainChoice {
    /// Failure domain of the VM that needs the most rounds, if the pool has a
    /// budget.
    pub domain: Option<FailureDomain>,
    /// Pool of the VM.
    pub pool: PoolId,
    /// Rounds that the domain needs, in thousandths: remaining VMs divided by
    /// the number of VMs that may be unavailable at once.
    pub rounds_milli: u64,
    /// Number of other VMs that were in service and not maintained yet.
    pub others: u32,
}

/// Why a drain is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Requests to the VM did not end in time.
    RequestsInFlight {
        /// Session of the process that sent the requests.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The wave was halted, is finished or was removed.
    WaveNotRunning,
    /// The wave was narrowed.
    Narrowed {
        /// Width of the wave.
        width: u32,
    },
    /// The data centre of the VM was taken out of service.
    DataCentreOut,
    /// The VM is down for a reason other than its maintenance.
    VmDown,
}

/// What a wave waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaveWait {
    /// The wave was halted.
    Halted {
        /// VMs that failed in the step.
        failed: u32,
    },
    /// As many VMs as the width allows are being maintained or have not been
    /// healthy for the soak time.
    Width {
        /// Width of the wave.
        width: u32,
    },
    /// An availability budget of a pool is used up.
    Budget {
        /// The pool.
        pool: PoolId,
        /// Failure domain of the budget.
        domain: FailureDomain,
        /// VMs of the domain that are unavailable.
        unavailable: u32,
        /// VMs of the domain that may be unavailable.
        max_unavailable: u32,
    },
    /// The remaining VMs are down, of unknown health, have another operation,
    /// or are in a data centre that is out of service.
    NotInService {
        /// Number of VMs.
        vms: u32,
    },
    /// VMs are back and have to stay healthy for the soak time.
    Soak {
        /// Number of VMs.
        vms: u32,
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

impl WaveDecision {
    /// The record that puts the decision into effect, if it needs one.
    pub fn record(&self) -> Option<RecordBody> {
        let step = |vm, operation, step| RecordBody::VmOperation { vm, operation, step };
        match *self {
            Self::RequestReboot { .. } | Self::Wait(_) => None,
            Self::BeginDrain { vm, wave, .. } => {
                Some(RecordBody::DrainBegin { vm, purpose: DrainPurpose::Wave(wave) })
            }
            Self::Reboot { vm, operation, .. } => Some(step(vm, operation, VmStep::Reboot)),
            Self::Done { vm, operation } => Some(step(vm, operation, VmStep::Done)),
            Self::Failed { vm, operation, .. } => Some(step(vm, operation, VmStep::Failed)),
            Self::Cancel { vm, operation, .. } => Some(step(vm, operation, VmStep::Cancel)),
            Self::Widen { wave, width, .. } => {
                Some(RecordBody::WaveUpdate { wave, phase: WavePhase::Running, width })
            }
            Self::Finish { wave, width, .. } => {
                Some(RecordBody::WaveUpdate { wave, phase: WavePhase::Finished, width })
            }
        }
    }
}

impl WaveWait {
    pub(crate) fn budget(pool: PoolId, domain: FailureDomain, exceeded: BudgetExceeded) -> Self {
        let BudgetExceeded { scope: _, unavailable, max_unavailable } = exceeded;
        Self::Budget { pool, domain, unavailable, max_unavailable }
    }

    /// Describes the reason with the names of pools, racks and VMs.
    pub fn describe(&self, state: &ControlState) -> String {
        match *self {
            Self::Halted { failed } => format!("halted after {failed} VMs failed"),
            Self::Width { width } => format!("waits for VMs under way, width {width}"),
            Self::Budget { pool, domain, unavailable, max_unavailable } => format!(
                "waits for budget of {}: {unavailable} unavailable of {max_unavailable}",
                domain_name(state, pool, domain)
            ),
            Self::NotInService { vms } => format!("waits for {vms} VMs that are not in service"),
            Self::Soak { vms } => format!("waits for {vms} VMs to stay healthy"),
            Self::Drain { vm, wait } => format!("waits for VM {}: {wait}", vm_name(state, vm)),
            Self::Reboot { vm } => format!("waits for VM {} to come back", vm_name(state, vm)),
        }
    }
}

impl fmt::Display for CancelReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RequestsInFlight { session, in_flight } => {
                write!(f, "session {session} still has {in_flight} requests in flight")
            }
            Self::WaveNotRunning => f.write_str("the wave is not running"),
            Self::Narrowed { width } => write!(f, "the wave was narrowed to {width}"),
            Self::DataCentreOut => f.write_str("the data centre was taken out"),
            Self::VmDown => f.write_str("the VM is down"),
        }
    }
}

/// Returns the name of a failure domain of a pool.
pub fn domain_name(state: &ControlState, pool: PoolId, domain: FailureDomain) -> String {
    let name = state.pools.get(pool).map_or("?", |pool| pool.spec.name.as_str());
    match domain {
        FailureDomain::Pool => format!("pool {name}"),
        FailureDomain::DataCentre(id) => {
            let centre = state.data_centres.get(id).map_or("?", |entry| entry.spec.name.as_str());
            format!("pool {name} in data centre {centre}")
        }
        FailureDomain::Rack(id) => {
            let rack = state.racks.get(id).map_or("?", String::as_str);
            format!("pool {name} in rack {rack}")
        }
    }
}

fn vm_name(state: &ControlState, vm: VmId) -> &str {
    state.vms.get(vm).map_or("?", |vm| vm.joined.name.as_str())
}
