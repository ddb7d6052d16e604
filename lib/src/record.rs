//! Validated records of the `control` stream.

use std::sync::Arc;

use crate::config::ConfigCommit;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::OrganisationId;
use crate::ids::PartitionId;
use crate::ids::PoolId;
use crate::ids::RecordId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::resources::Resources;

/// One record of the `control` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRecord {
    /// Identifies the append, so that a retry takes effect once.
    pub id: RecordId,
    /// Content of the record.
    pub body: RecordBody,
}

/// Content of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordBody {
    /// Changes the configuration.
    ConfigCommit(ConfigCommit),
    /// Takes a data centre out of service or brings it back.
    DataCentreSet {
        /// Name of the data centre.
        data_centre: String,
        /// True to bring the data centre back into service.
        in_service: bool,
        /// Operator who requested the change.
        author: String,
    },
    /// A process becomes a member.
    SessionOpen(SessionOpen),
    /// A member extends its lease.
    SessionRenew {
        /// The member.
        session: SessionId,
        /// Number of the renewal, which increases.
        renewal: u64,
        /// Offset of the next record that the member will apply.
        next_offset: Offset,
    },
    /// Ends a session whose lease has expired.
    SessionExpire {
        /// The member.
        session: SessionId,
        /// The last renewal that the writer has applied.
        seen_renewal: u64,
        /// True if the platform has removed the VM of the session.
        vm_gone: bool,
    },
    /// A member leaves after its last start of work.
    SessionClose {
        /// The member.
        session: SessionId,
        /// True if no former owner of its partitions can still start work.
        released: bool,
    },
    /// Observations of VMs.
    VmBatch(Vec<VmObservation>),
    /// Begins to drain a VM.
    DrainBegin {
        /// The VM.
        vm: VmId,
        /// Why it is drained.
        purpose: DrainPurpose,
    },
    /// The next step of an operation on a VM.
    VmOperation {
        /// The VM.
        vm: VmId,
        /// The operation.
        operation: OperationId,
        /// The step.
        step: VmStep,
    },
    /// Changes of the grants that partitions hold.
    GrantBatch(Vec<GrantChange>),
    /// Progress of a wave.
    WaveUpdate {
        /// The wave.
        wave: WaveId,
        /// Its phase.
        phase: WavePhase,
        /// VMs of the current step.
        width: u32,
    },
}

/// A process that becomes a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOpen {
    /// Number of the session.
    pub session: SessionId,
    /// Name of the process.
    pub name: String,
    /// Name of the data centre that the process runs in.
    pub data_centre: String,
    /// Address for calls of peers.
    pub peer_address: String,
    /// Lease of the session, counted from its last renewal.
    pub lease_ms: u64,
}

/// One observation of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmObservation {
    /// The VM list has a VM that is not in the control state.
    Joined(Arc<VmJoined>),
    /// The health of a VM changed.
    Health {
        /// The VM.
        vm: VmId,
        /// Its health.
        health: Health,
    },
    /// The VM is no longer in the list.
    Left {
        /// The VM.
        vm: VmId,
    },
}

/// A VM as the VM list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmJoined {
    /// Unique name.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its rack.
    pub rack: String,
    /// Name of the pool for which it was created.
    pub pool: String,
    /// Address of its worker.
    pub worker_address: String,
    /// Address of its upstream instance; empty if there is none.
    pub upstream_address: String,
    /// Resources that the worker offers to tasks.
    pub capacity: Resources,
}

/// Health of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The VM answers.
    Up,
    /// The VM is known to have failed.
    Down,
    /// The state of the VM cannot be determined.
    Unknown,
    /// The VM list says that the VM is about to leave.
    Leaving,
}

/// Why a VM is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPurpose {
    /// Maintenance by a wave.
    Wave(WaveId),
    /// Move to another pool.
    Move(PoolId),
}

/// A step of an operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmStep {
    /// The drained VM is about to reboot.
    Reboot,
    /// The drained VM is assigned to its new pool.
    Move,
    /// The VM is back in service.
    Done,
    /// The operation is cancelled.
    Cancel,
    /// The VM did not come back into service.
    Failed,
}

/// A change of the grant of one organisation in one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantChange {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The partition that holds the grant.
    pub partition: PartitionId,
    /// Session that wrote the change; it must own the partition.
    pub owner: SessionId,
    /// Whether the amount is taken or returned.
    pub direction: GrantDirection,
    /// The amount.
    pub amount: Resources,
}

/// Direction of a grant change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantDirection {
    /// The partition takes the amount from the limit of the organisation.
    Take,
    /// The partition returns the amount.
    Return,
}

/// Phase of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WavePhase {
    /// Drains may begin.
    Running,
    /// No drain begins until an operator resumes the wave.
    Halted,
    /// All VMs have been maintained.
    Finished,
}
