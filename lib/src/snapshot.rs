//! Snapshots of the control state: encoding, digest and chunks.

use std::collections::BTreeSet;
use std::sync::Arc;

use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::control::ControlState;
use crate::control::DataCentre;
use crate::control::Operation;
use crate::control::OperationPhase;
use crate::control::Organisation;
use crate::control::Ownership;
use crate::control::Pool;
use crate::control::Session;
use crate::control::Vm;
use crate::control::Wave;
use crate::findings::Findings;
use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::OrganisationId;
use crate::ids::PartitionId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::RegionId;
use crate::ids::Revision;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::name_index::NameIndex;
use crate::protos::config as raw_config;
use crate::protos::control as raw;
use crate::record::DrainPurpose;
use crate::record::WavePhase;
use crate::snapshot_encode;
use crate::wire::config::entity;

/// Largest chunk of an encoded snapshot, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Processes compare digests at the offsets that are multiples of this number,
/// times a factor for the size of the fleet.
const DIGEST_INTERVAL_RECORDS: u64 = 256;

/// Number of VMs up to which the interval between digests is the shortest.
const VMS_PER_DIGEST_INTERVAL: usize = 1250;

/// Smallest number of records between two snapshots.
const MIN_SNAPSHOT_INTERVAL_RECORDS: u64 = 4096;

/// Records between two snapshots for each VM, so that the snapshots of a large
/// fleet are rarer: at 20,000 VMs, a snapshot of 2.7 MB after every 4,096
/// records took 112 KB/s of one process in the worst hour, against 21 KB/s for
/// all control traffic.
const SNAPSHOT_RECORDS_PER_VM: u64 = 8;

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes do not decode.
    #[error("snapshot does not decode: {0}")]
    Decode(#[from] prost::DecodeError),
    /// An entity of the snapshot is not valid.
    #[error("snapshot is not valid: {0}")]
    Invalid(#[from] Findings),
    /// A field is missing.
    #[error("snapshot has no {0}")]
    Missing(&'static str),
    /// A chunk is missing or belongs to another snapshot.
    #[error("chunk {index} of the snapshot is missing")]
    ChunkMissing {
        /// Index of the chunk.
        index: usize,
    },
    /// The digest of the bytes is not the one that the chunks name.
    #[error("digest of the snapshot does not match its chunks")]
    DigestMismatch,
}

/// SHA-256 of the canonical encoding of a state.
pub type StateDigest = [u8; 32];

impl ControlState {
    /// Returns the canonical encoding of the state.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        snapshot_encode::for_each_part(self, |part| bytes.extend_from_slice(part));
        bytes
    }

    /// Decodes a state from its canonical encoding.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        Self::try_from(&raw::Snapshot::decode(bytes)?)
    }

    /// Returns the digest of the state.
    pub fn digest(&self) -> StateDigest {
        let mut hasher = Sha256::new();
        snapshot_encode::for_each_part(self, |part| hasher.update(part));
        hasher.finalize().into()
    }

    /// True if processes compare digests at the present offset. A digest
    /// encodes the whole state, so the interval grows with the number of VMs:
    /// at 20,000 VMs and 172 control records a second, a digest every 256
    /// records took 15 permille of a core, the limit for the whole process.
    pub fn digest_due(&self) -> bool {
        let scale = self.vms.slot_count().div_ceil(VMS_PER_DIGEST_INTERVAL).next_power_of_two();
        self.next_offset.0.is_multiple_of(DIGEST_INTERVAL_RECORDS * scale as u64)
    }

    /// Number of records after which the next snapshot is written. What a
    /// starting process reads after the snapshot is then about as long as the
    /// snapshot itself.
    pub fn snapshot_interval(&self) -> u64 {
        let scaled = self.vms.slot_count() as u64 * SNAPSHOT_RECORDS_PER_VM;
        scaled.max(MIN_SNAPSHOT_INTERVAL_RECORDS)
    }
}

/// Returns the chunks of a snapshot as records of the `snapshots` stream.
pub fn encode_chunks(state: &ControlState) -> Vec<Vec<u8>> {
    let bytes = state.encode();
    let digest: StateDigest = Sha256::digest(&bytes).into();
    let parts: Vec<&[u8]> = bytes.chunks(CHUNK_BYTES).collect();
    let chunk = |(index, part): (usize, &&[u8])| {
        raw::SnapshotChunk {
            next_offset: state.next_offset.0,
            index: u32::try_from(index).unwrap_or(u32::MAX),
            count: u32::try_from(parts.len()).unwrap_or(u32::MAX),
            data: part.to_vec(),
            digest: digest.to_vec(),
        }
        .encode_to_vec()
    };
    parts.iter().enumerate().map(chunk).collect()
}

/// Returns the newest complete snapshot among records of the `snapshots`
/// stream. Chunks of several writers may be mixed; a snapshot that is
/// incomplete or invalid is skipped.
pub fn newest_snapshot(records: &[Vec<u8>]) -> Option<ControlState> {
    let chunks: Vec<raw::SnapshotChunk> = records
        .iter()
        .filter_map(|record| raw::SnapshotChunk::decode(record.as_slice()).ok())
        .collect();
    let candidates: BTreeSet<(u64, Vec<u8>)> =
        chunks.iter().map(|chunk| (chunk.next_offset, chunk.digest.clone())).collect();
    candidates.iter().rev().find_map(|(next_offset, digest)| {
        let parts = chunks
            .iter()
            .filter(|chunk| chunk.next_offset == *next_offset && chunk.digest == *digest);
        join_chunks(parts).ok()
    })
}

fn join_chunks<'a, I>(chunks: I) -> Result<ControlState, SnapshotError>
where
    I: Iterator<Item = &'a raw::SnapshotChunk>,
{
    let mut parts: Vec<&raw::SnapshotChunk> = chunks.collect();
    parts.sort_by_key(|chunk| chunk.index);
    parts.dedup_by_key(|chunk| chunk.index);
    let first = parts.first().ok_or(SnapshotError::ChunkMissing { index: 0 })?;
    let count = first.count as usize;
    let digest = first.digest.clone();
    let mut bytes = Vec::new();
    for index in 0..count {
        let part = parts
            .get(index)
            .filter(|part| part.index as usize == index)
            .ok_or(SnapshotError::ChunkMissing { index })?;
        bytes.extend_from_slice(&part.data);
    }
    if Sha256::digest(&bytes).as_slice() != digest.as_slice() {
        return Err(SnapshotError::DigestMismatch);
    }
    ControlState::decode(&bytes)
}

impl TryFrom<&raw::Snapshot> for ControlState {
    type Error = SnapshotError;

    fn try_from(raw: &raw::Snapshot) -> Result<Self, SnapshotError> {
        let mut state = Self {
            next_offset: Offset(raw.next_offset),
            revision: Revision(raw.revision),
            revision_author: raw.revision_author.clone(),
            policy: raw.policy.as_ref().map(entity::policy).unwrap_or_default(),
            membership_epoch: Offset(raw.membership_epoch),
            quorum_epoch: Offset(raw.quorum_epoch),
            recent_ids: raw.recent_ids.iter().map(Into::into).collect(),
            recent_id_set: raw.recent_ids.iter().map(Into::into).collect(),
            freed_vms: raw
                .freed_vms
                .iter()
                .map(|freed| (Offset(freed.freed_at), VmId(freed.id)))
                .collect(),
            ..Self::default()
        };
        for name in &raw.regions {
            state.regions.insert(name.clone());
        }
        for name in &raw.racks {
            state.racks.insert(name.clone());
        }
        let racks = state.racks.iter().map(|(id, _)| id).collect();
        state.rack_names = NameIndex::new(racks, |id| state.rack_name(id));
        read_data_centres(raw, &mut state)?;
        read_pools(raw, &mut state)?;
        read_organisations(raw, &mut state)?;
        read_waves(raw, &mut state)?;
        read_sessions(raw, &mut state)?;
        read_vms(raw, &mut state)?;
        read_grants_and_owners(raw, &mut state);
        Ok(state)
    }
}

fn read_data_centres(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for entry in &raw.data_centres {
        let Some(spec) = &entry.data_centre else {
            state.data_centres.push_free();
            continue;
        };
        state.data_centres.insert(DataCentre {
            spec: entity::data_centre(spec)?,
            region: RegionId(entry.region),
            in_service: entry.in_service,
        });
    }
    Ok(())
}

fn read_pools(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for spec in &raw.pools {
        if *spec == raw_config::Pool::default() {
            state.pools.push_free();
            continue;
        }
        state.pools.insert(Pool { spec: entity::pool(spec)?, budgets: Vec::new() });
    }
    for entry in &raw.budgets {
        let budgets = entity::budgets(&entry.pool, &entry.budgets)?;
        let id =
            state.pool_by_name(&entry.pool).ok_or(SnapshotError::Missing("pool of a budget"))?;
        if let Some(pool) = state.pools.get_mut(id) {
            pool.budgets = budgets;
        }
    }
    Ok(())
}

fn read_organisations(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for spec in &raw.organisations {
        state
            .organisations
            .insert(Organisation { spec: entity::organisation(spec)?, removed: false });
    }
    for id in &raw.removed_organisations {
        if let Some(organisation) = state.organisations.get_mut(OrganisationId(*id)) {
            organisation.removed = true;
        }
    }
    Ok(())
}

fn read_waves(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for entry in &raw.waves {
        let Some(spec) = &entry.wave else {
            state.waves.push_free();
            continue;
        };
        state.waves.insert(Wave {
            spec: entity::wave(spec)?,
            phase: WavePhase::try_from(entry.phase())?,
            width: entry.width,
            done: entry.done_vms.iter().map(|id| VmId(*id)).collect(),
            failed: entry.failed_vms.iter().map(|id| VmId(*id)).collect(),
            started_at: Offset(entry.started_at),
            step_done: entry.step_done_vms.iter().map(|id| VmId(*id)).collect(),
            step_failed: entry.step_failed,
            step_needed: entry.step_needed,
        });
    }
    Ok(())
}

fn read_sessions(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for entry in &raw.sessions {
        let open = entry.open.as_ref().ok_or(SnapshotError::Missing("session"))?;
        let session = Session {
            open: open.into(),
            renewal: entry.renewal,
            next_offset: Offset(entry.next_offset),
            opened_at: Offset(entry.opened_at),
        };
        state.sessions.insert(session.open.session, session);
    }
    Ok(())
}

fn read_vms(raw: &raw::Snapshot, state: &mut ControlState) -> Result<(), SnapshotError> {
    for entry in &raw.vms {
        let Some(joined) = &entry.joined else {
            state.vms.push_free();
            continue;
        };
        let vm = Vm {
            joined: Arc::new(joined.into()),
            joined_at: Offset(entry.joined_at),
            pool_since: Offset(entry.pool_since),
            data_centre: DataCentreId(entry.data_centre),
            rack: RackId(entry.rack),
            pool: PoolId(entry.pool),
            health: entry.health().try_into()?,
            operation: read_operation(entry)?,
        };
        state.vms.insert(vm);
    }
    let ids = state.vms.iter().map(|(id, _)| id).collect();
    state.vm_names = NameIndex::new(ids, |id| state.vm_name(id));
    Ok(())
}

fn read_operation(entry: &raw::VmState) -> Result<Option<Operation>, SnapshotError> {
    let phase = match entry.phase() {
        raw::OperationPhase::Unspecified => return Ok(None),
        raw::OperationPhase::Draining => OperationPhase::Draining,
        raw::OperationPhase::Rebooting => OperationPhase::Rebooting,
        raw::OperationPhase::Moved => OperationPhase::Moved,
    };
    let purpose = match &entry.purpose {
        None => return Err(SnapshotError::Missing("purpose of an operation")),
        Some(raw::vm_state::Purpose::Wave(wave)) => DrainPurpose::Wave(WaveId(*wave)),
        Some(raw::vm_state::Purpose::MoveToPool(pool)) => DrainPurpose::Move(PoolId(*pool)),
    };
    Ok(Some(Operation { id: OperationId(Offset(entry.operation)), purpose, phase }))
}

fn read_grants_and_owners(raw: &raw::Snapshot, state: &mut ControlState) {
    for grant in &raw.grants {
        let partition = PartitionId { pool: PoolId(grant.pool), region: RegionId(grant.region) };
        let amount = grant.amount.unwrap_or_default().into();
        state.grants.insert((OrganisationId(grant.organisation), partition), amount);
    }
    for entry in &raw.epochs {
        let partition = PartitionId { pool: PoolId(entry.pool), region: RegionId(entry.region) };
        let owner = (entry.owner != 0).then_some(SessionId(entry.owner));
        let epoch = Epoch(entry.epoch);
        state.owners.insert(partition, Ownership { owner, epoch, released: entry.released });
    }
}
