//! The control state, which every process builds from the `control` stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::arena::Arena;
use crate::config::Budget;
use crate::config::DataCentreSpec;
use crate::config::Manifest;
use crate::config::OrganisationSpec;
use crate::config::Policy;
use crate::config::PoolSpec;
use crate::config::WaveSpec;
use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::OrganisationId;
use crate::ids::PartitionId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::RecordId;
use crate::ids::RegionId;
use crate::ids::Revision;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::name_index::NameIndex;
use crate::record::DrainPurpose;
use crate::record::Health;
use crate::record::SessionOpen;
use crate::record::VmJoined;
use crate::record::WavePhase;
use crate::resources::Resources;

/// Number of record ids that are kept to recognise a repeated append, and the
/// number of records after which the id of a VM that left may be reused.
pub const MAX_RECENT_IDS: usize = 10_000;

/// The state after all applied records of the `control` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlState {
    /// Offset of the record that is applied next.
    pub next_offset: Offset,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Author of the revision in force.
    pub revision_author: String,
    /// Weights and windows of the policies.
    pub policy: Policy,
    /// Data centres.
    pub data_centres: Arena<DataCentreId, DataCentre>,
    /// Names of regions.
    pub regions: Arena<RegionId, String>,
    /// Names of racks.
    pub racks: Arena<RackId, String>,
    /// Pools.
    pub pools: Arena<PoolId, Pool>,
    /// Organisations, including those that were removed.
    pub organisations: Arena<OrganisationId, Organisation>,
    /// Waves.
    pub waves: Arena<WaveId, Wave>,
    /// VMs.
    pub vms: Arena<VmId, Vm>,
    /// Members.
    pub sessions: BTreeMap<SessionId, Session>,
    /// Offset of the last record that changed the set of members.
    pub membership_epoch: Offset,
    /// Offset of the last change of the members that a majority must have
    /// applied before the next one.
    pub quorum_epoch: Offset,
    /// Owner of each partition.
    pub owners: BTreeMap<PartitionId, Ownership>,
    /// Grants of organisations in partitions. The sum for an organisation is at
    /// most its limit, except after the limit was lowered.
    pub grants: BTreeMap<(OrganisationId, PartitionId), Resources>,
    pub(crate) vm_names: NameIndex<VmId>,
    pub(crate) rack_names: NameIndex<RackId>,
    pub(crate) recent_ids: VecDeque<RecordId>,
    pub(crate) recent_id_set: BTreeSet<RecordId>,
    pub(crate) freed_vms: VecDeque<(Offset, VmId)>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Specification from the manifest.
    pub spec: DataCentreSpec,
    /// Its region.
    pub region: RegionId,
    /// False while operators have taken it out of service.
    pub in_service: bool,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Specification from the manifest.
    pub spec: PoolSpec,
    /// Its availability budgets.
    pub budgets: Vec<Budget>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Specification from the manifest. A removed organisation has no keys, and
    /// its limit is zero.
    pub spec: OrganisationSpec,
    /// True once the organisation is no longer in the manifest. Its entry
    /// stays, so that grants that are still in use are counted.
    pub removed: bool,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Specification from the manifest.
    pub spec: WaveSpec,
    /// Its phase.
    pub phase: WavePhase,
    /// VMs of the current step.
    pub width: u32,
    /// VMs that were maintained and are back in service.
    pub done: BTreeSet<VmId>,
    /// VMs that failed during their maintenance or soon after it.
    pub failed: BTreeSet<VmId>,
    /// Offset of the record that began the wave. The platform creates VMs
    /// from the image in use, so a VM that joined later is not maintained.
    pub started_at: Offset,
    /// VMs that are back in service and are watched until their step is
    /// complete, in the order of their return.
    pub step_done: Vec<VmId>,
    /// Length of `step_done` at which the step is complete.
    pub step_needed: u32,
    /// VMs that failed since the last step without a failure.
    pub step_failed: u32,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The VM as the VM list described it when it joined; `pool` is its pool at
    /// that time. Copies of the state in one process share this value.
    pub joined: Arc<VmJoined>,
    /// Offset of the record by which the VM joined.
    pub joined_at: Offset,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// The pool that the VM is in.
    pub pool: PoolId,
    /// Offset of the record that assigned the VM to the pool.
    pub pool_since: Offset,
    /// Its health.
    pub health: Health,
    /// The operation that is under way.
    pub operation: Option<Operation>,
}

/// An operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Identifies the operation.
    pub id: OperationId,
    /// Purpose of the drain that began the operation.
    pub purpose: DrainPurpose,
    /// Phase of the operation.
    pub phase: OperationPhase,
}

/// Phase of an operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperationPhase {
    /// The VM gets no new work, and its work in flight is completed.
    Draining,
    /// The platform reboots the VM.
    Rebooting,
    /// The VM is assigned to its new pool and is about to serve it.
    Moved,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// Description of the process from the record that opened the session.
    pub open: SessionOpen,
    /// Number of its last renewal.
    pub renewal: u64,
    /// Offset of the next record to apply, as reported with that renewal.
    pub next_offset: Offset,
    /// Offset of the record that opened the session.
    pub opened_at: Offset,
}

/// Ownership of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The owner; `None` if there are no members.
    pub owner: Option<SessionId>,
    /// Fencing token of the owner.
    pub epoch: Epoch,
    /// True if the former owner released the partition, or there was none, so
    /// that no start of work by a former owner can still arrive.
    pub released: bool,
}

impl ControlState {
    /// Finds a data centre by name.
    pub fn data_centre_by_name(&self, name: &str) -> Option<DataCentreId> {
        self.data_centres.iter().find(|(_, entry)| entry.spec.name == name).map(|(id, _)| id)
    }

    /// Finds a pool by name.
    pub fn pool_by_name(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.spec.name == name).map(|(id, _)| id)
    }

    /// Finds an organisation of the manifest by name.
    pub fn organisation_by_name(&self, name: &str) -> Option<OrganisationId> {
        self.organisations
            .iter()
            .find(|(_, organisation)| !organisation.removed && organisation.spec.name == name)
            .map(|(id, _)| id)
    }

    /// Finds a wave by name.
    pub fn wave_by_name(&self, name: &str) -> Option<WaveId> {
        self.waves.iter().find(|(_, wave)| wave.spec.name == name).map(|(id, _)| id)
    }

    /// Finds a VM by name.
    pub fn vm_by_name(&self, name: &str) -> Option<VmId> {
        self.vm_names.find(name, |id| self.vm_name(id)).ok()
    }

    pub(crate) fn vm_name(&self, id: VmId) -> &str {
        self.vms.get(id).map_or("", |vm| &vm.joined.name)
    }

    pub(crate) fn rack_name(&self, id: RackId) -> &str {
        self.racks.get(id).map_or("", String::as_str)
    }

    /// The partition that a VM belongs to.
    pub fn partition_of(&self, vm: &Vm) -> Option<PartitionId> {
        let region = self.data_centres.get(vm.data_centre)?.region;
        Some(PartitionId { pool: vm.pool, region })
    }

    /// VMs of a partition.
    pub fn vms_of(&self, partition: PartitionId) -> impl Iterator<Item = (VmId, &Vm)> {
        self.vms.iter().filter(move |(_, vm)| self.partition_of(vm) == Some(partition))
    }

    /// True if new requests and tasks may be sent to the VM.
    pub fn is_in_service(&self, vm: &Vm) -> bool {
        vm.health == Health::Up && vm.operation.is_none() && self.data_centre_in_service(vm)
    }

    /// True if new requests may be sent to the VM's upstream instance. A VM
    /// whose worker does not answer may still serve requests; failures of the
    /// requests themselves take it out of routing.
    pub fn is_routable(&self, vm: &Vm) -> bool {
        let may_serve = match vm.health {
            Health::Up | Health::Unknown => true,
            Health::Down | Health::Leaving => false,
        };
        may_serve && vm.operation.is_none() && self.data_centre_in_service(vm)
    }

    /// True if the data centre of the VM is in service.
    pub fn data_centre_in_service(&self, vm: &Vm) -> bool {
        self.data_centres.get(vm.data_centre).is_some_and(|data_centre| data_centre.in_service)
    }

    /// Sum of the grants of an organisation.
    pub fn granted(&self, organisation: OrganisationId) -> Resources {
        let first = PartitionId { pool: PoolId(0), region: RegionId(0) };
        self.grants
            .range((organisation, first)..)
            .take_while(|((granted_organisation, _), _)| *granted_organisation == organisation)
            .fold(Resources::ZERO, |sum, (_, amount)| sum.saturating_add(*amount))
    }

    /// The grant of an organisation in a partition.
    pub fn grant(&self, organisation: OrganisationId, partition: PartitionId) -> Resources {
        self.grants.get(&(organisation, partition)).copied().unwrap_or_default()
    }

    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.sessions.len() / 2 + 1
    }

    /// True if a majority of the members has applied the last change of the
    /// members, so that the next one may take effect. The majorities before and
    /// after one change share a member; those before and after two changes need
    /// not.
    pub fn membership_confirmed(&self) -> bool {
        let has_applied = |session: &&Session| session.next_offset > self.quorum_epoch;
        let count = self.sessions.values().filter(has_applied).count();
        self.sessions.is_empty() || count >= self.majority()
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Manifest {
        let mut manifest = Manifest { policy: self.policy, ..Manifest::default() };
        for (_, data_centre) in self.data_centres.iter() {
            let spec = data_centre.spec.clone();
            manifest.data_centres.insert(spec.name.clone(), spec);
        }
        for (_, pool) in self.pools.iter() {
            if !pool.budgets.is_empty() {
                manifest.budgets.insert(pool.spec.name.clone(), pool.budgets.clone());
            }
            manifest.pools.insert(pool.spec.name.clone(), pool.spec.clone());
        }
        for (_, organisation) in
            self.organisations.iter().filter(|(_, organisation)| !organisation.removed)
        {
            manifest
                .organisations
                .insert(organisation.spec.name.clone(), organisation.spec.clone());
        }
        for (_, wave) in self.waves.iter() {
            manifest.waves.insert(wave.spec.name.clone(), wave.spec.clone());
        }
        manifest
    }
}
