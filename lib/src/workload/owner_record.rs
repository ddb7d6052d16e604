//! Records of owners: who owns, which workers do not answer, and what has been
//! done of waves.

use std::fmt;

use prost::Message;

use crate::findings::Findings;
use crate::protos::workload as raw;
use crate::wire::control::one;

/// A life of a node: it ends when the process does.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeIncarnation {
    /// Name of the node.
    pub node: String,
    /// Chosen at random when the process starts.
    pub incarnation: u64,
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

/// An owner that may still renew leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerOwner {
    /// Who it is.
    pub owner: NodeIncarnation,
    /// Time from the record on for which it may renew leases.
    pub remaining_ms: u64,
}

/// The owner of an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The epoch.
    pub epoch: u64,
    /// Who it is.
    pub owner: NodeIncarnation,
    /// It renews no lease any more.
    pub is_over: bool,
    /// Earlier owners that may still renew leases.
    pub former: Vec<FormerOwner>,
}

impl Tenure {
    /// The bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        let former = self.former.iter().map(|former| raw::FormerOwner {
            node: former.owner.node.clone(),
            life: former.owner.incarnation,
            remaining_ms: former.remaining_ms,
        });
        raw::Tenure {
            epoch: self.epoch,
            node: self.owner.node.clone(),
            life: self.owner.incarnation,
            is_over: self.is_over,
            former: former.collect(),
        }
        .encode_to_vec()
    }

    /// The tenure of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Tenure::decode(bytes).map_err(|error| one("tenure", error.to_string()))?;
        let former = raw.former.into_iter().map(|former| FormerOwner {
            owner: NodeIncarnation { node: former.node, incarnation: former.life },
            remaining_ms: former.remaining_ms,
        });
        Ok(Self {
            epoch: raw.epoch,
            owner: NodeIncarnation { node: raw.node, incarnation: raw.life },
            is_over: raw.is_over,
            former: former.collect(),
        })
    }
}

/// What a node says of itself when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Chosen at random when the process starts.
    pub incarnation: u64,
    /// What the node has of processors, in thousandths of a core.
    pub processor_milli: u64,
}

impl NodeRecord {
    /// The bytes of the record.
    pub fn encode(self) -> Vec<u8> {
        raw::Life { life: self.incarnation, processor_milli: self.processor_milli }.encode_to_vec()
    }

    /// The life of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Life::decode(bytes).map_err(|error| one("life", error.to_string()))?;
        Ok(Self { incarnation: raw.life, processor_milli: raw.processor_milli })
    }
}

/// A worker that does not answer, as a successor finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreachableWorker {
    /// Time from the record on after which all leases have run out.
    pub remaining_ms: u64,
}

impl UnreachableWorker {
    /// The bytes of the record.
    pub fn encode(self, worker: &str) -> Vec<u8> {
        raw::Silence { worker: worker.to_owned(), remaining_ms: self.remaining_ms }.encode_to_vec()
    }

    /// The silence of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Silence::decode(bytes).map_err(|error| one("silence", error.to_string()))?;
        Ok(Self { remaining_ms: raw.remaining_ms })
    }
}

/// What has been done of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// Machines that were maintained.
    pub maintained: Vec<String>,
    /// All of it is done.
    pub completed: bool,
}

impl WaveProgress {
    /// The bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        raw::WaveProgress { maintained: self.maintained.clone(), completed: self.completed }
            .encode_to_vec()
    }

    /// The progress of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw =
            raw::WaveProgress::decode(bytes).map_err(|error| one("wave", error.to_string()))?;
        Ok(Self { maintained: raw.maintained, completed: raw.completed })
    }
}

/// VMs that an owner orders or has ordered of late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmOrders {
    /// Their names.
    pub vms: Vec<String>,
}

impl VmOrders {
    /// The bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        raw::VmOrders { vms: self.vms.clone() }.encode_to_vec()
    }

    /// The VMs of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw =
            raw::VmOrders::decode(bytes).map_err(|error| one("vm_orders", error.to_string()))?;
        Ok(Self { vms: raw.vms })
    }
}
