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

/// Duration of the lease of the tasks on a worker. Each poll renews it.
pub const TASK_LEASE_MS: u64 = 30_000;

/// An event that the scheduler handles. Events from the `control` stream come
/// in offset order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerEvent {
    /// The process gained ownership of the partition. The events for the
    /// organisations, grants, workers and inherited jobs come before this one.
    /// No job starts before [`Self::StartsAllowed`].
    OwnershipGained {
        /// Epoch of the ownership, used as the fencing token.
        epoch: Epoch,
        /// Time since the last sign of activity of a former owner, the latest
        /// one that had owned the partition for longer than
        /// [`TASK_LEASE_MS`]. Owners after it may not have recorded what the
        /// workers reported to them.
        since_former_owner_ms: u64,
    },
    /// The process no longer owns the partition. The scheduler drops all
    /// state.
    OwnershipLost,
    /// Whether the owner may start work: its lease is valid, its view is
    /// fresh, and the waiting time after the former owner is over.
    StartsAllowed(bool),
    /// The acceptance of a job is in the stream.
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
    /// The configuration of an organisation changed. A removed organisation
    /// has no keys and a limit of zero.
    OrganisationChanged {
        /// The organisation.
        organisation: OrganisationId,
        /// The organisation's configuration.
        view: OrganisationView,
    },
    /// The grant of an organisation changed, here or in another partition.
    GrantChanged {
        /// The organisation.
        organisation: OrganisationId,
        /// Grant of this partition.
        amount: Resources,
        /// Sum of the grants of all partitions.
        total: Resources,
    },
    /// The record of a decided grant change was applied or is void. This event
    /// comes after the [`Self::GrantChanged`] that the record caused.
    GrantChangeResolved {
        /// The organisation.
        organisation: OrganisationId,
        /// Direction of the decided change.
        direction: GrantDirection,
    },
    /// A worker joined the partition or changed.
    WorkerUpdated {
        /// VM of the worker.
        vm: VmId,
        /// Properties of the worker.
        spec: WorkerSpec,
    },
    /// A worker left the partition.
    WorkerLeft {
        /// VM of the worker.
        vm: VmId,
    },
    /// A worker answered a poll.
    WorkerReport {
        /// VM of the worker.
        vm: VmId,
        /// The worker's answer.
        report: WorkerReport,
    },
    /// A worker missed three polls. From now on polls do not renew the leases
    /// of its tasks until it answers one.
    WorkerUnreachable {
        /// VM of the worker.
        vm: VmId,
    },
    /// A worker answered a start, or the wait for its answer timed out.
    StartAnswered {
        /// VM of the worker.
        vm: VmId,
        /// The task.
        task: TaskId,
        /// The answer.
        answer: StartAnswer,
        /// New ticket of the worker, if the answer brought one.
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

/// Configuration of an organisation, as far as the scheduler uses it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrganisationView {
    /// Weight in fair sharing when the fleet is full, in thousandths.
    pub share_milli: u32,
    /// Upper limit on use across the fleet.
    pub limit: Resources,
    /// Names of the valid keys.
    pub keys: BTreeSet<String>,
}

/// Properties of a worker in the folded control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Capacity for tasks.
    pub capacity: Resources,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Whether the worker takes new work.
    pub service: WorkerService,
    /// False while operators have taken the data centre out of service.
    pub data_centre_in_service: bool,
    /// What happens to the worker's tasks when the data centre is taken out of
    /// service.
    pub on_data_centre_out: DataCentreOutPolicy,
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerService {
    /// The worker takes new work.
    Open,
    /// The VM is not healthy: the worker takes no new work, but its tasks may
    /// continue.
    Closed,
    /// The VM drains: tasks are checkpointed and continue elsewhere.
    Draining,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// Time at which the poll was sent.
    pub polled_at: TimeMs,
    /// Ticket that the next start must carry.
    pub ticket: u64,
    /// Time since the worker started, if it reports that. A worker loses all
    /// tasks when it restarts.
    pub up_ms: Option<u64>,
    /// All tasks that the worker keeps, including ended ones that are not
    /// acknowledged.
    pub tasks: Vec<TaskReport>,
}

/// A worker's report of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// State of the task.
    pub state: TaskState,
    /// Declared size of the task.
    pub request: Resources,
    /// Observed use of the task.
    pub used: Resources,
    /// Time since the task started.
    pub age_ms: u64,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker started the task.
    Started,
    /// The worker already has the task.
    Known,
    /// The worker has seen a higher epoch.
    OldEpoch,
    /// The ticket is no longer valid.
    OldTicket,
    /// The worker does not have enough free capacity.
    NoRoom,
    /// No answer arrived; the task may or may not run.
    Unknown,
}
