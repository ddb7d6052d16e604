//! Decisions of the scheduler of a partition, with their reasons.

use crate::ids::Epoch;
use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::invariant::Violation;
use crate::job::JobOutcome;
use crate::job::JobRef;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::resources::Resources;

/// A decision of the scheduler. Each is carried out and logged once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerDecision {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// VM of the chosen worker.
        vm: VmId,
        /// Epoch of the owner, used as the fencing token.
        epoch: Epoch,
        /// Last ticket that the worker issued; it accepts the start only with
        /// a valid one.
        ticket: u64,
        /// Declared size of the task.
        request: Resources,
        /// Payload that the worker receives.
        payload: String,
        /// Why the job is served now.
        reason: StartReason,
        /// Number of other eligible workers.
        candidates: u32,
    },
    /// Tell a worker to act on a task.
    Control {
        /// The task.
        task: TaskId,
        /// VM of its worker.
        vm: VmId,
        /// The action.
        action: TaskAction,
        /// Why the worker is told to act.
        reason: ControlReason,
        /// Number of other eligible tasks.
        candidates: u32,
    },
    /// Tell a worker that the end of a task is recorded and may be dropped.
    Acknowledge {
        /// The task.
        task: TaskId,
        /// VM of its worker.
        vm: VmId,
    },
    /// Append a record that takes grant from an organisation's limit.
    TakeGrant {
        /// The organisation.
        organisation: OrganisationId,
        /// Amount of grant to take.
        amount: Resources,
        /// Why the grant is taken.
        reason: TakeReason,
    },
    /// Append a record that returns grant to an organisation's limit.
    ReturnGrant {
        /// The organisation.
        organisation: OrganisationId,
        /// Amount of grant to return.
        amount: Resources,
        /// Why the grant is returned.
        reason: ReturnReason,
    },
    /// Put a worker into quarantine: start no more work on it.
    Quarantine {
        /// VM of the worker.
        vm: VmId,
        /// Why the worker is quarantined.
        reason: QuarantineReason,
        /// Number of distinct jobs whose failures count against the worker.
        failed_jobs: u32,
        /// Time until the worker is probed.
        duration_ms: u64,
    },
    /// Release a worker from quarantine: start work on it again.
    Release {
        /// VM of the worker.
        vm: VmId,
        /// Why the worker is released.
        reason: ReleaseReason,
    },
    /// Append the end of a job.
    EndJob {
        /// The job.
        job: JobRef,
        /// How the job ended.
        outcome: JobOutcome,
        /// Why the job ends.
        reason: EndReason,
        /// VM of the job's last worker, if there was one.
        vm: Option<VmId>,
    },
    /// An action was refused because it would have broken an invariant.
    Refused(Violation),
}

/// Why a job is served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReason {
    /// The job is urgent.
    Urgent,
    /// The job has waited so long that it goes before others that are not
    /// urgent.
    Aged,
    /// The organisation uses the least in proportion to its share.
    FairShare,
    /// The worker is on probation, and the job probes it.
    Probe,
}

/// Why a worker is told to act on a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlReason {
    /// The action frees capacity for an urgent job.
    UrgentRoom,
    /// The action frees grant for an urgent job of the same organisation.
    UrgentGrant,
    /// A checkpoint took too long, so the task is stopped.
    Escalation,
    /// The organisation's limit was lowered.
    LimitLowered,
    /// The data centre was taken out of service.
    DataCentreOut,
    /// The VM drains.
    Draining,
    /// The job was cancelled or has ended.
    JobClosed,
    /// A later attempt of the job runs.
    Superseded,
    /// The worker has free capacity again.
    RoomAgain,
}

/// Why grant is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeReason {
    /// Queued jobs need the grant.
    Queued,
    /// An urgent job needs the grant, so it is taken at once.
    Urgent,
}

/// Why grant is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// The grant was unused for some time.
    Unused,
    /// The organisation's limit was lowered.
    LimitLowered,
}

/// Why a worker is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineReason {
    /// Several jobs failed on the worker that do not fail elsewhere.
    ManyJobsFailed,
    /// The job that probed the worker failed.
    ProbeFailed,
}

/// Why a worker is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The job that probed the worker succeeded or ran long enough.
    ProbeSucceeded,
}

/// Why a job ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The task succeeded.
    TaskSucceeded,
    /// The task failed, and the job may not be started again.
    TaskFailed,
    /// The job failed on several different workers.
    FailedOnWorkers,
    /// The task was stopped, and the job may not be started again.
    StoppedForGood,
    /// The worker was lost, and the job may not be started again.
    WorkerLost,
    /// A worker left or restarted before it reported whether a former owner's
    /// start of the job took effect, and the job may not be started again.
    MayHaveRun,
    /// The key with which the job was submitted was revoked.
    KeyRevoked,
    /// No worker of the partition is large enough.
    LargerThanWorkers,
    /// The job's declared size is larger than the organisation's limit.
    LargerThanLimit,
}

/// Why a queued job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The scheduler has not considered the job yet.
    New,
    /// The process does not own the partition or may not start work now.
    StartsForbidden,
    /// A worker has not answered the new owner yet.
    WorkersUnknown,
    /// A former owner may have started the job on a worker that has not
    /// answered yet.
    MayHaveRun,
    /// The configuration of the organisation is not known yet.
    OrganisationUnknown,
    /// The organisation uses as much as its limit allows.
    OrganisationLimit,
    /// The partition waits for grant that it takes from the organisation's
    /// limit.
    GrantPending,
    /// No worker takes new work.
    NoWorker,
    /// No worker has enough free capacity.
    NoRoom,
    /// Running tasks are being preempted for the job.
    Preempting,
    /// An attempt of the job failed a short time ago.
    Backoff,
}
