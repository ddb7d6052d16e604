//! Applies the records of the `control` stream to the control state.
//!
//! The fold is deterministic: every process applies the same records in offset
//! order and reaches the same state. A record is validated against the state
//! at its offset, so of two conflicting records the first takes effect.

use std::sync::Arc;

use crate::budget;
use crate::control::ControlState;
use crate::control::DataCentre;
use crate::control::MAX_RECENT_IDS;
use crate::control::Vm;
use crate::fold_sessions::Release;
use crate::ids::DataCentreId;
use crate::ids::Offset;
use crate::ids::OrganisationId;
use crate::ids::PartitionId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::RecordId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::record::ControlRecord;
use crate::record::GrantChange;
use crate::record::GrantDirection;
use crate::record::Health;
use crate::record::RecordBody;
use crate::record::VmJoined;
use crate::record::VmObservation;

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record took effect and changed these entities.
    Applied(Vec<ControlChange>),
    /// The record has no effect.
    Void(VoidReason),
}

/// An entity that a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlChange {
    /// A data centre.
    DataCentre(DataCentreId),
    /// A pool or its budgets.
    Pool(PoolId),
    /// An organisation.
    Organisation(OrganisationId),
    /// A wave.
    Wave(WaveId),
    /// The policy.
    Policy,
    /// A VM that joined, changed or left.
    Vm(VmId),
    /// The session of a member that joined, renewed its lease or left.
    Session(SessionId),
    /// The owner of a partition.
    Partition(PartitionId),
    /// The grant of an organisation in a partition.
    Grant(OrganisationId, PartitionId),
}

/// Why a record has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoidReason {
    /// The record was applied before.
    #[error("record was applied before")]
    Duplicate,
    /// Another commit changed the configuration first.
    #[error("revision {found} by {author} is in force, the commit expects {expected}")]
    RevisionConflict {
        /// Revision that the commit expects.
        expected: u64,
        /// Revision in force.
        found: u64,
        /// Author of the revision in force.
        author: String,
    },
    /// The record names an entity that does not exist.
    #[error("{kind} {name} does not exist")]
    Missing {
        /// Kind of the entity.
        kind: &'static str,
        /// Its name or number.
        name: String,
    },
    /// The entity still has VMs.
    #[error("{kind} {name} still has VMs")]
    NotEmpty {
        /// Kind of the entity.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The session was renewed after the writer read it, or is closed.
    #[error("session {0} has renewed its lease or is closed")]
    SessionNotExpired(SessionId),
    /// A majority of the members has not applied the last change of the
    /// members yet.
    #[error("a majority has not applied the change of the members at offset {0} yet")]
    MembershipPending(Offset),
    /// A session with this number exists already.
    #[error("session {0} exists")]
    SessionExists(SessionId),
    /// The VM is in another operation, or the phase of its operation does not
    /// allow the step.
    #[error("VM {vm} has no operation that allows this step")]
    WrongOperation {
        /// The VM.
        vm: VmId,
    },
    /// The drain would exceed an availability budget.
    #[error("VM {vm} cannot be drained: {exceeded}")]
    BudgetExceeded {
        /// The VM.
        vm: VmId,
        /// The budget that would be exceeded.
        exceeded: budget::BudgetExceeded,
    },
    /// The wave is halted, finished or removed.
    #[error("wave {0} is not running")]
    WaveNotRunning(WaveId),
    /// The wave is finished, the update was made for an earlier step, or too
    /// few VMs of the current step are back in service.
    #[error("wave {0} is in another step than the update expects")]
    WaveStep(WaveId),
    /// The move would leave a pool with too few or too many VMs.
    #[error("pool {pool} would have {vms} VMs after the move")]
    PoolSize {
        /// The pool.
        pool: PoolId,
        /// VMs after the move.
        vms: u32,
    },
    /// No entry of the batch took effect.
    #[error("no entry of the batch is valid")]
    EmptyBatch,
    /// The record does not decode.
    #[error("record does not decode")]
    Undecodable,
}

impl ControlState {
    /// Applies the record at `offset`.
    ///
    /// # Panics
    ///
    /// Panics if `offset` is not the next one. If records were left out, the
    /// state of this process would differ from that of the others.
    pub fn apply(&mut self, offset: Offset, record: &ControlRecord) -> Outcome {
        assert_eq!(offset, self.next_offset, "records are applied in offset order");
        self.next_offset = offset.next();
        if !self.insert_recent_id(record.id) {
            return Outcome::Void(VoidReason::Duplicate);
        }
        match self.apply_body(offset, &record.body) {
            Ok(changes) => Outcome::Applied(changes),
            Err(reason) => Outcome::Void(reason),
        }
    }

    /// Skips the record at `offset`, which does not decode. Every process skips
    /// the same records.
    pub fn skip(&mut self, offset: Offset) -> Outcome {
        assert_eq!(offset, self.next_offset, "records are applied in offset order");
        self.next_offset = offset.next();
        Outcome::Void(VoidReason::Undecodable)
    }

    fn insert_recent_id(&mut self, id: RecordId) -> bool {
        if !self.recent_id_set.insert(id) {
            return false;
        }
        self.recent_ids.push_back(id);
        if self.recent_ids.len() > MAX_RECENT_IDS
            && let Some(oldest) = self.recent_ids.pop_front()
        {
            self.recent_id_set.remove(&oldest);
        }
        true
    }

    fn apply_body(
        &mut self,
        offset: Offset,
        body: &RecordBody,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        match body {
            RecordBody::ConfigCommit(commit) => self.apply_commit(offset, commit),
            RecordBody::DataCentreSet { data_centre, in_service, author: _ } => {
                self.set_data_centre(data_centre, *in_service)
            }
            RecordBody::SessionOpen(open) => self.open_session(offset, open),
            RecordBody::SessionRenew { session, renewal, next_offset } => {
                self.renew_session(*session, *renewal, *next_offset)
            }
            RecordBody::SessionExpire { session, seen_renewal, vm_gone } => {
                self.expire_session(offset, *session, *seen_renewal, *vm_gone)
            }
            RecordBody::SessionClose { session, released } => {
                let release = if *released { Release::Complete } else { Release::Unknown };
                self.end_session(offset, *session, release)
            }
            RecordBody::VmBatch(observations) => self.apply_observations(offset, observations),
            RecordBody::DrainBegin { vm, purpose } => self.begin_drain(offset, *vm, *purpose),
            RecordBody::VmOperation { vm, operation, step } => {
                self.step_operation(offset, *vm, *operation, *step)
            }
            RecordBody::GrantBatch(changes) => self.apply_grants(changes),
            RecordBody::WaveUpdate { wave, phase, width } => {
                self.update_wave(*wave, *phase, *width)
            }
        }
    }

    fn set_data_centre(
        &mut self,
        name: &str,
        in_service: bool,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let id = self.data_centre_by_name(name).ok_or_else(|| missing("data centre", name))?;
        let data_centre: &mut DataCentre =
            self.data_centres.get_mut(id).expect("the name index names an entry");
        data_centre.in_service = in_service;
        Ok(vec![ControlChange::DataCentre(id)])
    }

    fn apply_observations(
        &mut self,
        offset: Offset,
        observations: &[VmObservation],
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let mut changes = Vec::new();
        for observation in observations {
            let change = match observation {
                VmObservation::Joined(joined) => self.join_vm(offset, joined),
                VmObservation::Health { vm, health } => self.set_health(*vm, *health),
                VmObservation::Left { vm } => self.remove_vm(offset, *vm),
            };
            changes.extend(change);
        }
        if changes.is_empty() { Err(VoidReason::EmptyBatch) } else { Ok(changes) }
    }

    fn join_vm(&mut self, offset: Offset, joined: &Arc<VmJoined>) -> Option<ControlChange> {
        let Err(position) = self.vm_names.find(&joined.name, |id| self.vm_name(id)) else {
            return None;
        };
        let data_centre = self.data_centre_by_name(&joined.data_centre)?;
        let pool = self.pool_by_name(&joined.pool)?;
        let rack = self.intern_rack(&joined.data_centre, &joined.rack);
        let vm = Vm {
            joined: Arc::clone(joined),
            joined_at: offset,
            pool_since: offset,
            data_centre,
            rack,
            pool,
            health: Health::Up,
            operation: None,
        };
        let id = match self.reusable_vm_id(offset) {
            Some(id) => {
                self.vms.insert_at(id, vm);
                id
            }
            None => self.vms.insert(vm),
        };
        self.vm_names.insert(position, id);
        Some(ControlChange::Vm(id))
    }

    fn reusable_vm_id(&mut self, offset: Offset) -> Option<VmId> {
        let (freed_at, id) = self.freed_vms.front().copied()?;
        // A writer that still refers to the VM that left stops retrying before
        // that many records are appended.
        if offset.0 - freed_at.0 <= MAX_RECENT_IDS as u64 {
            return None;
        }
        self.freed_vms.pop_front();
        Some(id)
    }

    fn intern_rack(&mut self, data_centre: &str, rack: &str) -> RackId {
        let name = format!("{data_centre}/{rack}");
        match self.rack_names.find(&name, |id| self.rack_name(id)) {
            Ok(id) => id,
            Err(position) => {
                let id = self.racks.insert(name);
                self.rack_names.insert(position, id);
                id
            }
        }
    }

    fn set_health(&mut self, id: VmId, health: Health) -> Option<ControlChange> {
        let vm = self.vms.get_mut(id)?;
        if vm.health == health {
            return None;
        }
        vm.health = health;
        self.update_waves_on_health(id, health);
        Some(ControlChange::Vm(id))
    }

    fn remove_vm(&mut self, offset: Offset, id: VmId) -> Option<ControlChange> {
        self.vms.get(id)?;
        let mut names = std::mem::take(&mut self.vm_names);
        names.remove(self.vm_name(id), |id| self.vm_name(id));
        self.vm_names = names;
        self.vms.remove(id);
        self.remove_from_wave_steps(id);
        self.freed_vms.push_back((offset, id));
        Some(ControlChange::Vm(id))
    }

    fn apply_grants(&mut self, batch: &[GrantChange]) -> Result<Vec<ControlChange>, VoidReason> {
        let mut changes = Vec::new();
        for change in batch {
            if self.apply_grant(change) {
                changes.push(ControlChange::Grant(change.organisation, change.partition));
            }
        }
        if changes.is_empty() { Err(VoidReason::EmptyBatch) } else { Ok(changes) }
    }

    fn apply_grant(&mut self, change: &GrantChange) -> bool {
        let owner = self.owners.get(&change.partition).and_then(|ownership| ownership.owner);
        let Some(organisation) = self.organisations.get(change.organisation) else { return false };
        if owner != Some(change.owner) {
            return false;
        }
        let limit = organisation.spec.limit;
        let held = self.grant(change.organisation, change.partition);
        let next = match change.direction {
            GrantDirection::Take => {
                let sum = self.granted(change.organisation).saturating_add(change.amount);
                if !sum.fits_in(limit) {
                    return false;
                }
                held.saturating_add(change.amount)
            }
            GrantDirection::Return => {
                if !change.amount.fits_in(held) {
                    return false;
                }
                held.saturating_sub(change.amount)
            }
        };
        if next.is_zero() {
            self.grants.remove(&(change.organisation, change.partition));
        } else {
            self.grants.insert((change.organisation, change.partition), next);
        }
        true
    }
}

pub(crate) fn missing(kind: &'static str, name: &str) -> VoidReason {
    VoidReason::Missing { kind, name: name.to_owned() }
}
