//! Canonical encoding of the control state, in parts.
//!
//! The encodings of the parts of a protobuf message, concatenated in the order
//! of their fields, are the encoding of the message. Encoding in parts limits
//! the memory: the generated types take more than the state itself, and only
//! one part at a time exists in that form.

use prost::Message;

use crate::control::ControlState;
use crate::control::DataCentre;
use crate::control::OperationPhase;
use crate::control::Ownership;
use crate::control::Session;
use crate::control::Vm;
use crate::control::Wave;
use crate::ids::PartitionId;
use crate::protos::control as raw;
use crate::record::DrainPurpose;
use crate::wire::config_encode::budgets_to_raw;

/// Number of VMs in one part.
const VMS_PER_PART: usize = 256;

/// Calls `sink` with each part of the encoding, in order.
pub(crate) fn for_each_part<F>(state: &ControlState, mut sink: F)
where
    F: FnMut(&[u8]),
{
    let mut bytes = Vec::new();
    let mut emit = |part: raw::Snapshot| {
        bytes.clear();
        part.encode(&mut bytes).expect("a vector takes any number of bytes");
        sink(&bytes);
    };
    emit(before_vms(state));
    let mut slots = state.vms.slots().peekable();
    while slots.peek().is_some() {
        let vms = slots.by_ref().take(VMS_PER_PART).map(vm_to_raw).collect();
        emit(raw::Snapshot { vms, ..raw::Snapshot::default() });
    }
    emit(after_vms(state));
}

/// The part with the fields whose numbers are below that of the VMs.
fn before_vms(state: &ControlState) -> raw::Snapshot {
    raw::Snapshot {
        next_offset: state.next_offset.0,
        revision: state.revision.0,
        revision_author: state.revision_author.clone(),
        data_centres: state.data_centres.slots().map(data_centre_to_raw).collect(),
        regions: state.regions.slots().map(|name| name.cloned().unwrap_or_default()).collect(),
        racks: state.racks.slots().map(|name| name.cloned().unwrap_or_default()).collect(),
        pools: state
            .pools
            .slots()
            .map(|pool| pool.map(|pool| (&pool.spec).into()).unwrap_or_default())
            .collect(),
        budgets: state
            .pools
            .iter()
            .map(|(_, pool)| raw::PoolBudgets {
                pool: pool.spec.name.clone(),
                budgets: budgets_to_raw(&pool.spec.name, &pool.budgets),
            })
            .collect(),
        organisations: state
            .organisations
            .slots()
            .map(|organisation| {
                organisation.map(|organisation| (&organisation.spec).into()).unwrap_or_default()
            })
            .collect(),
        waves: state.waves.slots().map(wave_to_raw).collect(),
        policy: Some((&state.policy).into()),
        sessions: state.sessions.values().map(session_to_raw).collect(),
        ..raw::Snapshot::default()
    }
}

/// The part with the fields whose numbers are above that of the VMs.
fn after_vms(state: &ControlState) -> raw::Snapshot {
    let removed = state.organisations.iter().filter(|(_, organisation)| organisation.removed);
    raw::Snapshot {
        grants: grants_to_raw(state),
        recent_ids: state.recent_ids.iter().map(|id| (*id).into()).collect(),
        freed_vms: state
            .freed_vms
            .iter()
            .map(|(freed_at, id)| raw::FreedId { id: id.0, freed_at: freed_at.0 })
            .collect(),
        epochs: state
            .owners
            .iter()
            .map(|(partition, ownership)| epoch_to_raw(*partition, ownership))
            .collect(),
        membership_epoch: state.membership_epoch.0,
        removed_organisations: removed.map(|(id, _)| id.0).collect(),
        quorum_epoch: state.quorum_epoch.0,
        ..raw::Snapshot::default()
    }
}

fn data_centre_to_raw(entry: Option<&DataCentre>) -> raw::DataCentreState {
    let Some(entry) = entry else { return raw::DataCentreState::default() };
    raw::DataCentreState {
        data_centre: Some((&entry.spec).into()),
        region: entry.region.0,
        in_service: entry.in_service,
    }
}

fn wave_to_raw(entry: Option<&Wave>) -> raw::WaveState {
    let Some(wave) = entry else { return raw::WaveState::default() };
    raw::WaveState {
        wave: Some((&wave.spec).into()),
        phase: raw::WavePhase::from(wave.phase).into(),
        width: wave.width,
        done_vms: wave.done.iter().map(|vm| vm.0).collect(),
        failed_vms: wave.failed.iter().map(|vm| vm.0).collect(),
        started_at: wave.started_at.0,
        step_done_vms: wave.step_done.iter().map(|vm| vm.0).collect(),
        step_failed: wave.step_failed,
        step_needed: wave.step_needed,
    }
}

fn session_to_raw(session: &Session) -> raw::SessionState {
    raw::SessionState {
        open: Some((&session.open).into()),
        renewal: session.renewal,
        next_offset: session.next_offset.0,
        opened_at: session.opened_at.0,
    }
}

fn vm_to_raw(entry: Option<&Vm>) -> raw::VmState {
    let Some(vm) = entry else { return raw::VmState::default() };
    let phase = match vm.operation.map(|operation| operation.phase) {
        None => raw::OperationPhase::Unspecified,
        Some(OperationPhase::Draining) => raw::OperationPhase::Draining,
        Some(OperationPhase::Rebooting) => raw::OperationPhase::Rebooting,
        Some(OperationPhase::Moved) => raw::OperationPhase::Moved,
    };
    raw::VmState {
        joined: Some((&*vm.joined).into()),
        health: raw::Health::from(vm.health).into(),
        joined_at: vm.joined_at.0,
        pool_since: vm.pool_since.0,
        operation: vm.operation.map_or(0, |operation| operation.id.0.0),
        phase: phase.into(),
        purpose: vm.operation.map(|operation| match operation.purpose {
            DrainPurpose::Wave(wave) => raw::vm_state::Purpose::Wave(wave.0),
            DrainPurpose::Move(pool) => raw::vm_state::Purpose::MoveToPool(pool.0),
        }),
        data_centre: vm.data_centre.0,
        rack: vm.rack.0,
        pool: vm.pool.0,
    }
}

fn grants_to_raw(state: &ControlState) -> Vec<raw::GrantState> {
    state
        .grants
        .iter()
        .map(|((organisation, partition), amount)| raw::GrantState {
            organisation: organisation.0,
            pool: partition.pool.0,
            region: partition.region.0,
            amount: Some((*amount).into()),
        })
        .collect()
}

fn epoch_to_raw(partition: PartitionId, ownership: &Ownership) -> raw::EpochState {
    raw::EpochState {
        pool: partition.pool.0,
        region: partition.region.0,
        owner: ownership.owner.map_or(0, |owner| owner.0),
        epoch: ownership.epoch.0,
        released: ownership.released,
    }
}
