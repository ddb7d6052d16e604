//! Keys of the records in the store.

use std::fmt;

use crate::workload::key::JobKey;

/// Key of a record in the store.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// Submission of an accepted job. Any process writes it.
    Submission(JobKey),
    /// Request to cancel a job. Any process writes it.
    Cancellation(JobKey),
    /// Progress of the tasks of a job. Only the owner writes it.
    Progress(JobKey),
    /// The part of the progress that callers see. Only the owner writes it.
    Status(JobKey),
    /// Progress of a maintenance wave. Only the owner writes it.
    Wave(u64),
    /// The worker with this name is unreachable. Only the owner writes it.
    Unreachable(String),
    /// Ownership record: the owner and the former owners that may still renew
    /// leases. Only the owner writes it.
    Ownership,
    /// VMs that were ordered recently. Only the owner writes it.
    VmOrders,
    /// What was learned of the run times of tasks. Only the owner writes it.
    RunTimes,
    /// Learned demand of the pools. Only the owner writes it.
    Demand,
    /// The present incarnation of the node with this name, which writes it.
    Node(String),
}

/// Prints the names of the stored messages, which appear in log lines.
impl fmt::Debug for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submission(job) => f.debug_tuple("Submission").field(job).finish(),
            Self::Cancellation(job) => f.debug_tuple("Cancellation").field(job).finish(),
            Self::Progress(job) => f.debug_tuple("Progress").field(job).finish(),
            Self::Status(job) => f.debug_tuple("JobStatus").field(job).finish(),
            Self::Wave(wave) => f.debug_tuple("Wave").field(wave).finish(),
            Self::Unreachable(worker) => f.debug_tuple("Silence").field(worker).finish(),
            Self::Ownership => f.write_str("Tenure"),
            Self::VmOrders => f.write_str("VmOrders"),
            Self::RunTimes => f.write_str("RunTimes"),
            Self::Demand => f.write_str("Demand"),
            Self::Node(node) => f.debug_tuple("Life").field(node).finish(),
        }
    }
}

const SUBMISSION: u8 = b's';
const CANCELLATION: u8 = b'c';
const PROGRESS: u8 = b'p';
const STATUS: u8 = b'j';
const WAVE: u8 = b'w';
const UNREACHABLE_WORKER: u8 = b'l';
const OWNERSHIP: u8 = b't';
const NODE: u8 = b'n';
const VM_ORDERS: u8 = b'v';
const RUN_TIMES: u8 = b'r';
const DEMAND: u8 = b'd';

/// The nodes that read a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// Every node reads the record as soon as it is stored.
    AllNodes,
    /// A new owner reads the record in its recovery.
    Owner,
}

impl RecordKey {
    /// The nodes that read the record. The progress of tasks is most of what an
    /// owner writes, so that the reads of all nodes would be the limit of a
    /// large fleet.
    pub fn audience(&self) -> Audience {
        match self {
            Self::Submission(_)
            | Self::Cancellation(_)
            | Self::Status(_)
            | Self::Ownership
            | Self::Node(_) => Audience::AllNodes,
            Self::Progress(_)
            | Self::Wave(_)
            | Self::Unreachable(_)
            | Self::VmOrders
            | Self::RunTimes
            | Self::Demand => Audience::Owner,
        }
    }

    /// Encodes the key: one byte for the kind, then a number or a name.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, number) = match self {
            Self::Submission(job) => (SUBMISSION, job.0),
            Self::Cancellation(job) => (CANCELLATION, job.0),
            Self::Progress(job) => (PROGRESS, job.0),
            Self::Status(job) => (STATUS, job.0),
            Self::Wave(wave) => (WAVE, *wave),
            Self::Unreachable(worker) => return encode_named(UNREACHABLE_WORKER, worker),
            Self::Node(node) => return encode_named(NODE, node),
            Self::Ownership => return vec![OWNERSHIP],
            Self::VmOrders => return vec![VM_ORDERS],
            Self::RunTimes => return vec![RUN_TIMES],
            Self::Demand => return vec![DEMAND],
        };
        let mut bytes = vec![kind];
        bytes.extend_from_slice(&number.to_be_bytes());
        bytes
    }

    /// Decodes a key; none if `bytes` are not a known key.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (kind, rest) = bytes.split_first()?;
        let name = || std::str::from_utf8(rest).ok().map(str::to_owned);
        match *kind {
            UNREACHABLE_WORKER => return name().map(Self::Unreachable),
            NODE => return name().map(Self::Node),
            OWNERSHIP => return Some(Self::Ownership),
            VM_ORDERS => return Some(Self::VmOrders),
            RUN_TIMES => return Some(Self::RunTimes),
            DEMAND => return Some(Self::Demand),
            _ => {}
        }
        let number = u64::from_be_bytes(rest.try_into().ok()?);
        match *kind {
            SUBMISSION => Some(Self::Submission(JobKey(number))),
            CANCELLATION => Some(Self::Cancellation(JobKey(number))),
            PROGRESS => Some(Self::Progress(JobKey(number))),
            STATUS => Some(Self::Status(JobKey(number))),
            WAVE => Some(Self::Wave(number)),
            _ => None,
        }
    }
}

fn encode_named(kind: u8, name: &str) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(name.as_bytes());
    bytes
}
