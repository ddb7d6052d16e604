//! Output of the owner: orders to workers, and batches of records for the
//! store.

use std::rc::Rc;

use crate::workload::key::JobKey;
use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::record_key::RecordKey;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an attempt of a task.
    Start(StartOrder),
    /// Stop an attempt, and refuse its start if that arrives later.
    Stop {
        /// Name of the task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// Why the attempt is stopped.
        reason: StopReason,
    },
    /// Run a task at a percentage of its full speed.
    Pace {
        /// Name of the task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// Percentage of the full speed.
        percent: u32,
    },
}

/// The start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub key: TaskKey,
    /// Name of the task.
    pub task: TaskName,
    /// The attempt.
    pub attempt: u32,
    /// Start of the incarnation of the worker that the start is for, in milliseconds
    /// since 1970, if it is known.
    pub incarnation_unix_ms: Option<u64>,
    /// Input of the task.
    pub payload: Rc<str>,
    /// Saved progress from which the task resumes.
    pub checkpoint: Option<String>,
    /// Whether the task belongs to a long-running step.
    pub is_long_running: bool,
    /// Ticket of the advice service that lets the worker run the step, where
    /// the queue needs one.
    pub ticket: Option<String>,
}

/// Why an attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopReason {
    /// The job was cancelled.
    JobCancelled,
    /// A task of the job has failed too often.
    JobFailed,
    /// The owner has not assigned this attempt to the worker, or the job is
    /// already completed.
    NotAssigned,
    /// The start was not answered, and the attempt may be running.
    StartUnknown,
    /// Another member of the gang is not running.
    GangBroken,
    /// The task makes no progress.
    Stalled,
    /// The VM is due for maintenance.
    Maintenance,
}

impl StopReason {
    /// Name in log lines.
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

/// An order and the worker that receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The order.
    pub order: Order,
}

/// Acknowledgement of the ends of attempts up to a number; the worker no longer
/// reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The worker.
    pub worker: WorkerId,
    /// Start of the incarnation of the worker that reported the ends. Each
    /// incarnation numbers its ends from 1.
    pub started_unix_ms: Option<u64>,
    /// Number of the last acknowledged end.
    pub number: u64,
}

/// Records to store, and the actions that wait until they are stored.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Number of the batch; batches are stored in the order of their numbers.
    pub number: u64,
    /// Keys and values of the records; an empty value deletes the record.
    pub records: Vec<(RecordKey, Vec<u8>)>,
    /// Starts that may be sent once the records are stored.
    pub starts: Vec<TaskKey>,
    /// Acknowledgements to send to workers once the records are stored.
    pub acknowledged: Vec<Acknowledgement>,
    /// Ended jobs whose submissions the batch deletes.
    pub deleted_jobs: Vec<JobKey>,
    /// Workers that answer again. Their leases may be renewed once the records
    /// are stored.
    pub reachable_again: Vec<WorkerId>,
}
