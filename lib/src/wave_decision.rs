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
        /// Why this one.
        reason: DrainChoice,
    },
    /// Record that the drained VM is about to reboot.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why it counts as drained.
        reason: DrainedReason,
    },
    /// Ask the platform to reboot the VM, with the operation id as
    /// idempotency token. Repeated until the VM is back, as a reply may be
    /// lost.
    RequestReboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM is back.
    Done {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
    },
    /// The VM did not come back.
    Failed {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Time that was waited for it.
        waited_ms: u64,
    },
    /// The VM returns to service without maintenance.
    Cancel {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// Why.
        reason: CancelReason,
    },
    /// The step is proven; the next one is wider up to the widest. The fold
    /// narrows and halts the wave by itself when a VM fails.
    Widen {
        /// The wave.
        wave: WaveId,
        /// VMs that came back and stayed healthy.
        healthy: u32,
        /// Width that is proposed, which the fold bounds.
        width: u32,
    },
    /// All VMs are done.
    Finish {
        /// The wave.
        wave: WaveId,
        /// VMs that came back.
        done: u32,
        /// VMs that did not.
        failed: u32,
        /// Width at the end.
        width: u32,
    },
    /// Nothing happens for this reason.
    Wait(WaveWait),
}

/// Why a VM is drained next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainChoice {
    /// The failure domain that needs the most rounds.
    pub domain: Option<FailureDomain>,
    /// Pool of the VM.
    pub pool: PoolId,
    /// Rounds that the domain needs, in thousandths: VMs left for each one
    /// that may be unavailable.
    pub rounds_milli: u64,
    /// Other VMs that could have been chosen.
    pub others: u32,
}

/// Why a drain is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Requests did not end in time.
    RequestsInFlight {
        /// Process that has them.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The wave was halted or is finished or gone.
    WaveNotRunning,
    /// The wave was narrowed.
    Narrowed {
        /// Width of the wave.
        width: u32,
    },
    /// The data centre of the VM was taken out.
    DataCentreOut,
    /// The VM is down by itself.
    VmDown,
}

/// Why a wave does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaveWait {
    /// The wave was halted.
    Halted {
        /// VMs that failed in the step.
        failed: u32,
    },
    /// As many VMs as the width allows are under way or not proven.
    Width {
        /// Width of the wave.
        width: u32,
    },
    /// A budget of a pool is used up.
    Budget {
        /// The pool.
        pool: PoolId,
        /// Failure domain of the budget.
        domain: FailureDomain,
        /// VMs that are unavailable.
        unavailable: u32,
        /// VMs that may be.
        max_unavailable: u32,
    },
    /// VMs that are left are down, leaving, moving, or in a data centre that
    /// is out.
    NotInService {
        /// Number of VMs.
        vms: u32,
    },
    /// VMs came back and have to stay healthy for the soak time.
    Soak {
        /// Number of VMs.
        vms: u32,
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

impl WaveDecision {
    /// The record that carries out the decision, if it takes one.
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

    /// The reason with the names of pools, racks and VMs.
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

/// The name of a failure domain of a pool.
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
