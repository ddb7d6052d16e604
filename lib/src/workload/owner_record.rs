//! Records of owners and nodes in the store: ownership, unreachable workers,
//! progress of waves, recent VM orders, and the incarnations of nodes.

use std::fmt;

use prost::Message;

use crate::findings::Findings;
use crate::protos::workload as raw;
use crate::wire::control::decode_error;
use crate::workload::pool_room::PoolRoom;

/// One incarnation of a node, which ends when its process does.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeIncarnation {
    /// Name of the node.
    pub node: String,
    /// Number of the incarnation, see [`Self::number`].
    pub incarnation: u64,
}

/// Random bits of the number of an incarnation; the time takes the others until the
/// year 2109.
const RANDOM_BITS: u32 = 22;

impl NodeIncarnation {
    /// Number of an incarnation that starts at a time of day. Numbers rise with each
    /// start of a node, so that a record that is stored late is known to be old. Random
    /// bits tell starts within a millisecond apart.
    pub fn number(started_unix_ms: u64, random: u64) -> u64 {
        (started_unix_ms << RANDOM_BITS) | (random & ((1 << RANDOM_BITS) - 1))
    }
}

/// Prints the names that logs show.
impl fmt::Debug for NodeIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeLife")
            .field("node", &self.node)
            .field("life", &self.incarnation)
            .finish()
    }
}

/// An incarnation of a worker that tells an owner of its successor: it refuses an owner
/// once a later one has called it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Name of the worker.
    pub worker: String,
    /// Start of the incarnation in milliseconds since 1970.
    pub started_unix_ms: u64,
}

impl Witness {
    fn to_raw(&self) -> raw::Witness {
        raw::Witness { worker: self.worker.clone(), started_unix_ms: self.started_unix_ms }
    }

    fn from_raw(raw: raw::Witness) -> Self {
        Self { worker: raw.worker, started_unix_ms: raw.started_unix_ms }
    }
}

/// An owner that may still renew leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerOwner {
    /// The incarnation of a node that was the owner.
    pub owner: NodeIncarnation,
    /// Time for which the former owner may still renew leases, as of the
    /// record.
    pub remaining_ms: u64,
    /// Its witnesses.
    pub witnesses: Vec<Witness>,
}

/// The ownership record, which the owner of an epoch writes.
#[derive(Clone, PartialEq, Eq)]
pub struct OwnershipRecord {
    /// The epoch.
    pub epoch: u64,
    /// The owner.
    pub owner: NodeIncarnation,
    /// Whether the owner has released its ownership and renews no more leases.
    pub is_over: bool,
    /// Former owners that may still renew leases.
    pub former: Vec<FormerOwner>,
    /// Time until the owner can order the start of a task that is requested
    /// now, because starts before it take its link.
    pub start_delay_ms: u64,
    /// Without the store, the owner renews leases only while most of these answer it.
    pub witnesses: Vec<Witness>,
    /// What new jobs have to expect of each pool; empty if the owner does not say.
    pub rooms: Vec<PoolRoom>,
}

/// Prints the name of the stored message, which appears in log lines.
impl fmt::Debug for OwnershipRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenure")
            .field("epoch", &self.epoch)
            .field("owner", &self.owner)
            .field("is_over", &self.is_over)
            .field("former", &self.former)
            .field("start_delay_ms", &self.start_delay_ms)
            .field("witnesses", &self.witnesses)
            .field("rooms", &self.rooms.len())
            .finish()
    }
}

impl OwnershipRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let former = self.former.iter().map(|former| raw::FormerOwner {
            node: former.owner.node.clone(),
            life: former.owner.incarnation,
            remaining_ms: former.remaining_ms,
            witnesses: former.witnesses.iter().map(Witness::to_raw).collect(),
        });
        raw::Tenure {
            epoch: self.epoch,
            node: self.owner.node.clone(),
            life: self.owner.incarnation,
            is_over: self.is_over,
            former: former.collect(),
            start_delay_ms: self.start_delay_ms,
            witnesses: self.witnesses.iter().map(Witness::to_raw).collect(),
            rooms: self.rooms.iter().map(PoolRoom::to_raw).collect(),
        }
        .encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Tenure::decode(bytes)
            .map_err(|error| decode_error("tenure", error.to_string()))?;
        let former = raw.former.into_iter().map(|former| FormerOwner {
            owner: NodeIncarnation { node: former.node, incarnation: former.life },
            remaining_ms: former.remaining_ms,
            witnesses: former.witnesses.into_iter().map(Witness::from_raw).collect(),
        });
        Ok(Self {
            epoch: raw.epoch,
            owner: NodeIncarnation { node: raw.node, incarnation: raw.life },
            is_over: raw.is_over,
            former: former.collect(),
            start_delay_ms: raw.start_delay_ms,
            witnesses: raw.witnesses.into_iter().map(Witness::from_raw).collect(),
            rooms: raw.rooms.into_iter().map(PoolRoom::from_raw).collect(),
        })
    }
}

/// The record that a node writes when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Number of the incarnation.
    pub incarnation: u64,
    /// Processor capacity of the node, in thousandths of a core.
    pub processor_milli: u64,
}

impl NodeRecord {
    /// Encodes the record.
    pub fn encode(self) -> Vec<u8> {
        raw::Life { life: self.incarnation, processor_milli: self.processor_milli }.encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw =
            raw::Life::decode(bytes).map_err(|error| decode_error("life", error.to_string()))?;
        Ok(Self { incarnation: raw.life, processor_milli: raw.processor_milli })
    }
}

/// The record of an unreachable worker, which tells a successor how long to
/// wait for the worker's leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unreachable {
    /// Time until all known leases on the worker have expired, as of the record.
    pub remaining_ms: u64,
    /// Time until the leases of starts without an answer have expired, which may be
    /// longer.
    pub unknown_remaining_ms: u64,
}

impl Unreachable {
    /// Encodes the record.
    pub fn encode(self, worker: &str) -> Vec<u8> {
        raw::Silence {
            worker: worker.to_owned(),
            remaining_ms: self.remaining_ms,
            unknown_remaining_ms: self.unknown_remaining_ms,
        }
        .encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Silence::decode(bytes)
            .map_err(|error| decode_error("silence", error.to_string()))?;
        Ok(Self { remaining_ms: raw.remaining_ms, unknown_remaining_ms: raw.unknown_remaining_ms })
    }
}

/// Progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// VMs that were maintained.
    pub maintained: Vec<String>,
    /// VMs that were removed before they were maintained.
    pub removed: Vec<String>,
    /// Whether the wave is completed.
    pub completed: bool,
}

impl WaveProgress {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        raw::WaveProgress {
            maintained: self.maintained.clone(),
            removed: self.removed.clone(),
            completed: self.completed,
        }
        .encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::WaveProgress::decode(bytes)
            .map_err(|error| decode_error("wave", error.to_string()))?;
        Ok(Self { maintained: raw.maintained, removed: raw.removed, completed: raw.completed })
    }
}

/// VMs that an owner orders or has ordered recently.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmOrders {
    /// Names of the VMs.
    pub vms: Vec<String>,
    /// Orders for maintenance whose outcome is not known, also older ones.
    pub open: Vec<OpenMaintenance>,
}

/// An order for the maintenance of a VM whose outcome is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenMaintenance {
    /// Name of the VM.
    pub vm: String,
    /// Wave that the VM was ordered down for.
    pub wave: u64,
}

impl VmOrders {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        let open = self.open.iter();
        let open = open.map(|open| raw::OpenMaintenance { vm: open.vm.clone(), wave: open.wave });
        raw::VmOrders { vms: self.vms.clone(), open: open.collect() }.encode_to_vec()
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::VmOrders::decode(bytes)
            .map_err(|error| decode_error("vm_orders", error.to_string()))?;
        let open = raw.open.into_iter();
        let open = open.map(|open| OpenMaintenance { vm: open.vm, wave: open.wave });
        Ok(Self { vms: raw.vms, open: open.collect() })
    }
}
