//! Reports of workers: registry entries, running and ended tasks, and answers
//! to starts.

use std::collections::BTreeSet;

use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::key::TaskName;

/// Entry of a worker in the platform's registry of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the worker. A worker that restarts may keep its name or take a
    /// new one.
    pub name: String,
    /// Pool that it serves.
    pub pool: String,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Rack of its VM, if it is known.
    pub rack: Option<String>,
    /// Labels of the worker, among them its kind and rack.
    pub labels: BTreeSet<String>,
    /// The worker accepts no new tasks and will leave.
    pub is_draining: bool,
    /// Start of this incarnation in milliseconds since 1970, if it is known.
    pub started_unix_ms: Option<u64>,
}

/// Running and ended tasks of a worker, as it reported them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// When the request for the report was sent.
    pub sent_at: TimeMs,
    /// Start of this incarnation of the worker in milliseconds since 1970, if
    /// it is known.
    pub started_unix_ms: Option<u64>,
    /// What the request for the report granted.
    pub lease: LeaseGrant,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Tasks that have ended and whose ends are not acknowledged.
    pub ended: Vec<EndedTask>,
    /// Whether more ends than these wait for their acknowledgement. A report that leaves
    /// ends out proves nothing of the attempts that it does not list.
    pub has_more_ends: bool,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Name of the task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// Last saved progress.
    pub checkpoint: Option<String>,
    /// Percentage of the work that is done; a long-running task is available at
    /// 100.
    pub percent: u32,
    /// Load measured by the worker. For a task that serves requests, the tail
    /// latency over the last half second in milliseconds; for any other task,
    /// its CPU use in thousandths of a core.
    pub reading: u64,
}

/// A task that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end within this incarnation of the worker, from 1.
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
    /// The task has done all its work.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The task was stopped by an order.
    Stopped,
    /// The lease of the attempt expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

impl TaskEnd {
    /// Name in log lines.
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

/// What is known of the leases that a call granted. A lease ends at a time on the
/// worker's clock, which begins anew when the worker restarts, and holds for all
/// tasks of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseGrant {
    /// The call granted no lease.
    None,
    /// The worker answered when the leases had this time left on its clock.
    Remaining {
        /// Time until the leases expire.
        ms: u64,
    },
    /// No answer tells when the leases expire.
    Unknown,
}

/// Outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartReply {
    /// The answer.
    pub answer: StartAnswer,
    /// What the start granted.
    pub lease: LeaseGrant,
}

impl StartReply {
    /// Reply for a start that was not sent, or that the worker has refused
    /// without granting a lease.
    pub fn without_lease(answer: StartAnswer) -> Self {
        Self { answer, lease: LeaseGrant::None }
    }
}

/// Answer of a worker to a start, or why the owner did not send the start or
/// received no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartAnswer {
    /// The attempt runs.
    Started,
    /// The worker has seen a higher epoch.
    EpochTooLow,
    /// This attempt or a later one was already stopped or has ended on the
    /// worker.
    AttemptTooLow,
    /// The lease of the attempt had expired when the start arrived at the
    /// worker, or the owner did not send the start in time: it was queued for
    /// too long, or could not be queued.
    TooLate,
    /// The worker has too little free capacity.
    NoRoom,
    /// The worker is not allowed to run this step.
    NotAllowed,
    /// The worker is unhealthy and starts nothing at present.
    Unhealthy,
    /// The worker could not read the order.
    Invalid,
    /// Another worker listens at the address.
    OtherWorker,
    /// The worker has restarted since the lease of the attempt was computed. The owner
    /// did not send the start.
    OtherIncarnation,
    /// No answer was received: the attempt may have started, or may start
    /// later.
    Unknown,
}

impl StartAnswer {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::EpochTooLow => "epoch_too_low",
            Self::AttemptTooLow => "attempt_too_low",
            Self::TooLate => "too_late",
            Self::NoRoom => "no_room",
            Self::NotAllowed => "not_allowed",
            Self::Unhealthy => "unhealthy",
            Self::Invalid => "invalid",
            Self::OtherWorker => "other_worker",
            Self::OtherIncarnation => "other_incarnation",
            Self::Unknown => "unknown",
        }
    }
}
