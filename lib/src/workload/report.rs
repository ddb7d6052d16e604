//! What workers tell of themselves.

use std::collections::BTreeSet;

use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::key::TaskName;

/// Entry of a worker in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the worker, one for each of its lives unless it is born again
    /// under the same name.
    pub name: String,
    /// Pool that it serves.
    pub pool: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// All that it has.
    pub capacity: Resources,
    /// Rack that its VM is in, if it tells.
    pub rack: Option<String>,
    /// Kind of the worker, its rack, and other labels.
    pub labels: BTreeSet<String>,
    /// It takes no new task and will leave.
    pub is_draining: bool,
    /// When this life began, in milliseconds since 1970, if it tells.
    pub started_unix_ms: Option<u64>,
}

/// A list of what runs and what has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// When the question was sent.
    pub sent_at: TimeMs,
    /// When this life of the worker began, if it tells.
    pub started_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<EndedTask>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Its name.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// Last saved progress.
    pub checkpoint: Option<String>,
    /// Part of its work that is done; a lasting task is at work at 100.
    pub percent: u32,
    /// For a task that serves, the tail of its response times in the last half
    /// second in milliseconds; for another, the processor time that it uses in
    /// thousandths of a core.
    pub reading: u64,
}

/// A task that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub end: TaskEnd,
    /// Last saved progress.
    pub checkpoint: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskEnd {
    /// All its work is done.
    Done,
    /// Its own fault, or that of the worker.
    Failed,
    /// By an order.
    Stopped,
    /// The lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangIncomplete,
}

impl TaskEnd {
    /// Name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "gang_broken",
            Self::GangIncomplete => "gang_alone",
        }
    }
}

/// What a worker answered to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartAnswer {
    /// The attempt runs.
    Started,
    /// The worker has seen a higher epoch.
    EpochTooLow,
    /// The worker has seen this attempt, or a later one, stop or end.
    AttemptTooLow,
    /// The lease of the start had run out when it arrived.
    LeaseExpired,
    /// The worker has no room.
    NoRoom,
    /// The worker may not run this step.
    NotAllowed,
    /// The worker does nothing at present.
    Unhealthy,
    /// The worker does not understand the order.
    Invalid,
    /// Another worker listens at the address.
    OtherWorker,
    /// It may or may not have been carried out, now or later.
    Unknown,
}

impl StartAnswer {
    /// Name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::EpochTooLow => "epoch_too_low",
            Self::AttemptTooLow => "attempt_too_low",
            Self::LeaseExpired => "too_late",
            Self::NoRoom => "no_room",
            Self::NotAllowed => "not_allowed",
            Self::Unhealthy => "unhealthy",
            Self::Invalid => "invalid",
            Self::OtherWorker => "other_worker",
            Self::Unknown => "unknown",
        }
    }
}
