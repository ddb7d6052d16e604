//! Validated types of jobs, their tasks and the records of a `jobs` stream.

use std::fmt;
use std::str::FromStr;

use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::ids::RecordId;
use crate::ids::VmId;
use crate::resources::Resources;

/// Identifies a job by the name that its submitter chose, which is unique
/// within the organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRef {
    /// Organisation that submitted the job.
    pub organisation: OrganisationId,
    /// Name that the submitter chose.
    pub name: String,
}

impl fmt::Display for JobRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.name)
    }
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Organisation and name of the job.
    pub job: JobRef,
    /// Name of the organisation's key with which the job was submitted.
    pub key: String,
    /// Pool in which the job runs.
    pub pool: PoolId,
    /// Declared size.
    pub request: Resources,
    /// True if the job goes before work that is not urgent.
    pub urgent: bool,
    /// Declared run time, if there is one.
    pub declared_run_ms: Option<u64>,
    /// Command or payload reference that the worker receives.
    pub payload: String,
    /// True if the job may be started again after a worker was lost.
    pub repeatable: bool,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// The job ran to completion.
    Succeeded,
    /// The job failed, or it was stopped and may not be started again.
    Failed,
    /// The submitter cancelled the job.
    Cancelled,
    /// The job's key was revoked before it started.
    KeyWithdrawn,
    /// The job is larger than every worker or than the organisation's limit.
    CannotRun,
    /// It is unknown whether the job ran to completion.
    Lost,
}

/// Identifies an attempt to run a job. Ids of later attempts are greater, also
/// those of a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Epoch of the owner that made the attempt.
    pub epoch: Epoch,
    /// Number of the attempt among those of the same owner.
    pub sequence: u64,
}

/// Identifies a task, which is one attempt to run a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobRef,
    /// The attempt.
    pub attempt: AttemptId,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptId { epoch, sequence } = self.attempt;
        write!(f, "{}/{}.{sequence}/{}", self.job.organisation, epoch.0, self.job.name)
    }
}

/// Error for a text that is not a task id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a task of the form organisation/epoch.attempt/job")]
pub struct InvalidTaskId(pub String);

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<Self, InvalidTaskId> {
        let parse = || {
            let (organisation, rest) = text.split_once('/')?;
            let (attempt, name) = rest.split_once('/')?;
            let (epoch, sequence) = attempt.split_once('.')?;
            let job = JobRef {
                organisation: OrganisationId(organisation.parse().ok()?),
                name: name.to_owned(),
            };
            let epoch = Epoch(epoch.parse().ok()?);
            let attempt = AttemptId { epoch, sequence: sequence.parse().ok()? };
            Some(Self { job, attempt })
        };
        parse().ok_or_else(|| InvalidTaskId(text.to_owned()))
    }
}

/// State of a task on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task runs with a small part of its processor time.
    Throttled,
    /// The task wrote a checkpoint and ended; another attempt continues from
    /// the checkpoint.
    Checkpointed,
    /// The task ran to completion.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped, or its lease expired.
    Stopped,
}

impl TaskState {
    /// True if the task still uses resources of its worker.
    pub fn is_live(self) -> bool {
        match self {
            Self::Running | Self::Throttled => true,
            Self::Checkpointed | Self::Succeeded | Self::Failed | Self::Stopped => false,
        }
    }
}

/// Action on a task that the owner sends to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskAction {
    /// Run the task with a small part of its processor time.
    Throttle,
    /// Run the task with its full processor time again.
    Unthrottle,
    /// Write a checkpoint and end the task.
    Checkpoint,
    /// End the task at once.
    Stop,
}

/// One record of a `jobs` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// Id of the record, by which a repeated append is recognised.
    pub id: RecordId,
    /// Epoch of the owner that wrote the record.
    pub epoch: Epoch,
    /// Body of the record.
    pub body: JobRecordBody,
}

/// Body of a record of a `jobs` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRecordBody {
    /// Jobs were accepted.
    Accepted(Vec<JobSpec>),
    /// Jobs were cancelled by their submitters.
    Cancelled(Vec<JobRef>),
    /// Jobs ended.
    Ended(Vec<JobEnd>),
    /// The open jobs at this offset.
    Snapshot(JobSnapshot),
}

/// The end of one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobEnd {
    /// The job.
    pub job: JobRef,
    /// How the job ended.
    pub outcome: JobOutcome,
}

/// Snapshot of the open jobs of a partition. With it, a new owner need not
/// read the stream from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobSnapshot {
    /// Offset of the first record that is not part of the snapshot.
    pub next_offset: Offset,
    /// Highest epoch of the records before `next_offset`.
    pub epoch: Epoch,
    /// Open jobs in the order in which they were accepted.
    pub jobs: Vec<JobSpec>,
    /// Ends of the jobs that ended last, oldest first.
    pub recent_ends: Vec<JobEnd>,
    /// Ids of the last records, oldest first.
    pub recent_ids: Vec<RecordId>,
}

/// State of an open job at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// The job waits to be started.
    Queued,
    /// The start of an attempt was sent to a worker, and the attempt may run.
    Active {
        /// VM of the worker.
        vm: VmId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The end of the job was decided but is not in the stream yet.
    Ending {
        /// How the job ended.
        outcome: JobOutcome,
    },
}
