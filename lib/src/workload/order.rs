//! What the owner wants done: orders to workers and records for the store.

use std::rc::Rc;

use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::record::RecordKey;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an attempt of a task.
    Start(StartOrder),
    /// Stop an attempt, and refuse it if it comes later.
    Stop {
        /// Name of the task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// Why.
        reason: StopReason,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// Name of the task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// Share of the speed.
        percent: u32,
    },
}

/// The start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub key: TaskKey,
    /// Its name.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// What the task receives.
    pub payload: Rc<str>,
    /// Progress that it resumes.
    pub checkpoint: Option<String>,
    /// Ticket that lets the worker run the step, where one is needed.
    pub ticket: Option<String>,
}

/// Why an attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// The job was cancelled.
    JobCancelled,
    /// A task of the job has failed too often.
    JobFailed,
    /// Nobody has asked for the task, or not for this attempt.
    NotAssigned,
    /// Its start was not answered.
    StartUnknown,
    /// Another member of its gang is not running.
    GangBroken,
    /// It makes no progress.
    Stalled,
    /// The VM is to be maintained.
    Maintenance,
}

impl StopReason {
    /// Name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::JobCancelled => "job_cancelled",
            Self::JobFailed => "job_failed",
            Self::NotAssigned => "not_ours",
            Self::StartUnknown => "start_unknown",
            Self::GangBroken => "gang_broken",
            Self::Stalled => "stalled",
            Self::Maintenance => "maintenance",
        }
    }
}

/// An order with the worker that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The order.
    pub order: Order,
}

/// Ends that a worker may forget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The worker.
    pub worker: WorkerId,
    /// Life of the worker that listed the ends; another counts anew.
    pub started_unix_ms: Option<u64>,
    /// Number of the last end.
    pub number: u64,
}

/// Records that must be stored before what depends on them is done.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Its number; batches are stored in the order of their numbers.
    pub number: u64,
    /// Records; an empty value drops the key.
    pub records: Vec<(RecordKey, Vec<u8>)>,
    /// Starts that may be sent once the records are stored.
    pub starts: Vec<TaskKey>,
    /// Ends that workers may forget once the records are stored.
    pub acknowledged: Vec<Acknowledgement>,
    /// Workers on which leases may be renewed again once the records are
    /// stored.
    pub reachable_again: Vec<WorkerId>,
}
