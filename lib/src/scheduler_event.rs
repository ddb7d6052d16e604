//! Events that the scheduler of a partition handles.

use std::collections::BTreeSet;

use crate::config::DataCentreOutPolicy;
use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::OrganisationId;
use crate::ids::RackId;
use crate::ids::VmId;
use crate::job::JobRef;
use crate::job::JobSpec;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::record::GrantDirection;
use crate::resources::Resources;
use crate::time::TimeMs;

/// Lease of a task on its worker, renewed by each poll.
pub const TASK_LEASE_MS: u64 = 30_000;

/// One event. Events of the `control` stream come in offset order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// The process owns the partition. Organisations, grants, workers and inherited
    /// jobs come before; nothing starts before [`Self::StartsAllowed`].
    OwnershipGained {
        /// Fencing token of the ownership.
        epoch: Epoch,
        /// Time since the last former owner was known to work that had owned
        /// the partition for longer than [`TASK_LEASE_MS`]. Owners after it
        /// may have left what they learned from the workers unrecorded.
        since_former_owner_ms: u64,
    },
    /// The process owns the partition no longer. Everything is forgotten.
    OwnershipLost,
    /// Whether the owner may start work: its lease holds, its view is fresh,
    /// and the wait after the former owner is over.
    StartsAllowed(bool),
    /// A job is in the stream.
    JobAccepted {
        /// The job.
        job: JobSpec,
        /// Whether a former owner may have started it.
        origin: JobOrigin,
    },
    /// The cancellation of a job is in the stream.
    JobCancelled(JobRef),
    /// The end of a job is in the stream.
    JobEnded(JobRef),
    /// The configuration of an organisation. A removed organisation has no key and no limit.
    OrganisationChanged {
        /// The organisation.
        organisation: OrganisationId,
        /// What the configuration says.
        view: OrganisationView,
    },
    /// The grant of an organisation changed, here or in another partition.
    GrantChanged {
        /// The organisation.
        organisation: OrganisationId,
        /// Grant of this partition.
        amount: Resources,
        /// Sum over all partitions.
        total: Resources,
    },
    /// The record of a decided grant change was applied or is void. Comes
    /// after the [`Self::GrantChanged`] that it caused.
    GrantChangeResolved {
        /// The organisation.
        organisation: OrganisationId,
        /// Direction of the decided change.
        direction: GrantDirection,
    },
    /// A worker joined the partition or changed.
    WorkerUpdated {
        /// Its VM.
        vm: VmId,
        /// What is known of it.
        spec: WorkerSpec,
    },
    /// A worker left the partition.
    WorkerLeft {
        /// Its VM.
        vm: VmId,
    },
    /// A worker answered a poll.
    WorkerReport {
        /// Its VM.
        vm: VmId,
        /// The answer.
        report: WorkerReport,
    },
    /// A worker missed three polls. Polls do not renew the leases of its
    /// tasks from now on until it answers one.
    WorkerUnreachable {
        /// Its VM.
        vm: VmId,
    },
    /// A start was answered, or its answer did not come.
    StartAnswered {
        /// VM of the worker.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// The answer.
        answer: StartAnswer,
        /// Ticket that came with the answer.
        ticket: Option<u64>,
    },
}

/// Whether a former owner may have started a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOrigin {
    /// This owner accepted the job.
    New,
    /// The job was accepted before this ownership.
    Inherited,
}

/// What the configuration says about an organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrganisationView {
    /// Weight when everything is full, in thousandths.
    pub share_milli: u32,
    /// Upper limit across the fleet.
    pub limit: Resources,
    /// Names of the granted keys.
    pub keys: BTreeSet<String>,
}

/// What the fold says about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// What it can run.
    pub capacity: Resources,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// Whether it takes new work.
    pub service: WorkerService,
    /// False while operators have taken the data centre out.
    pub data_centre_in_service: bool,
    /// What its tasks do when the data centre is taken out.
    pub on_data_centre_out: DataCentreOutPolicy,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerService {
    /// It takes new work.
    Open,
    /// Its VM is not healthy; tasks may go on.
    Closed,
    /// Its VM drains; tasks are checkpointed and continue elsewhere.
    Draining,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// When the poll was sent.
    pub polled_at: TimeMs,
    /// Number that the next start must name.
    pub ticket: u64,
    /// Time since the worker started, if it tells. It has forgotten all tasks
    /// from before.
    pub up_ms: Option<u64>,
    /// All tasks that the worker knows.
    pub tasks: Vec<TaskReport>,
}

/// What a worker reports about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Its state.
    pub state: TaskState,
    /// Its declared size.
    pub request: Resources,
    /// What it uses.
    pub used: Resources,
    /// Time since it started.
    pub age_ms: u64,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs.
    Started,
    /// The worker knew the task already.
    Known,
    /// The worker has seen a higher epoch.
    OldEpoch,
    /// The ticket was no longer valid.
    OldTicket,
    /// The worker has no room.
    NoRoom,
    /// No answer came; the task may or may not run.
    Unknown,
}
