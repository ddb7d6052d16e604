//! Events that report the dispatcher's decisions and observations.

use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::fair_share::OrganisationUse;
use crate::workload::key::JobKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::record::JobOutcome;
use crate::workload::report::TaskEnd;
use crate::workload::run_time::CalibrationReport;

/// A decision or an observation of the dispatcher, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A task was placed on a worker.
    Placed {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Time since the task was ready to start.
        waited_ms: u64,
    },
    /// A worker has restarted under its name.
    WorkerRestarted {
        /// The worker.
        worker: WorkerId,
        /// Start of the former incarnation in milliseconds since 1970.
        former_unix_ms: u64,
        /// Start of the present incarnation in milliseconds since 1970.
        present_unix_ms: u64,
        /// Tasks that the present incarnation runs or has run.
        reported: usize,
    },
    /// A worker lacks an attempt that it had started under a former owner, so it has
    /// restarted since.
    RestartInferred {
        /// The worker.
        worker: WorkerId,
        /// The task of the attempt.
        task: TaskName,
    },
    /// The leases on a worker last longer than owners intend.
    LeaseTooLong {
        /// The worker.
        worker: WorkerId,
        /// Time until the leases expire, as the worker said.
        remaining_ms: u64,
    },
    /// Most witnesses of a former owner have answered this one, so that it renews no
    /// leases after a known time.
    FormerOwnerEnding {
        /// Name of the node.
        node: String,
        /// Time until then.
        remaining_ms: u64,
        /// By how much this is earlier than without witnesses.
        earlier_ms: u64,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        end: TaskEnd,
    },
    /// A placement was released without a reported end: the attempt is known
    /// not to run.
    PlacementReleased {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Why the placement was released.
        reason: PlacementReleaseReason,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobKey,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// A worker gets no new tasks for some time, since its tasks fail.
    WorkerAvoided {
        /// The worker.
        worker: WorkerId,
        /// Time until which it gets none.
        until: TimeMs,
    },
    /// The checkpoints of a job do not fit into its record.
    CheckpointsNotStored {
        /// The job.
        job: JobKey,
        /// Size of the record with the checkpoints.
        bytes: usize,
    },
    /// The capacity and demand of a pool were computed.
    PoolMeasured {
        /// The pool.
        pool: PoolId,
        /// Its capacity and demand.
        load: PoolLoad,
    },
    /// Run times of a queue were compared with what was expected of them.
    RunTimesCompared {
        /// The comparison.
        report: CalibrationReport,
        /// Number of sources of tasks that are told apart.
        sources: usize,
    },
    /// The use of a full pool by an organisation was computed.
    ShareMeasured {
        /// The pool.
        pool: PoolId,
        /// The organisation; none for jobs of public queues.
        organisation: Option<OrganisationId>,
        /// Its use and its due share.
        share: OrganisationUse,
    },
    /// Tasks of a step are ready to start, and no worker can take them.
    StepWaiting {
        /// The job.
        job: JobKey,
        /// Occurrence, from 0.
        occurrence: u32,
        /// Step, from 0.
        step: u32,
        /// Number of waiting tasks.
        tasks: u32,
        /// Time for which the step has waited.
        waited_ms: u64,
        /// Why no worker takes the tasks.
        blockers: PlacementBlockers,
    },
}

/// Why no worker takes the tasks of a step. Each worker of the pool is counted
/// once, under the first reason that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementBlockers {
    /// One more task would exceed the limit of the organisation.
    pub over_limit: bool,
    /// Workers that drain, or whose data centre is out of service.
    pub leaving: u32,
    /// Workers that are not known to be reachable.
    pub unreached: u32,
    /// Workers whose registry entry is of another incarnation than their last report.
    pub restarted: u32,
    /// Workers that are kept empty for maintenance or a move.
    pub cordoned: u32,
    /// Workers that have recently failed or refused tasks.
    pub avoided: u32,
    /// Workers that lack the label that the step requires.
    pub unsuited: u32,
    /// Workers that run as many tasks of the step as it allows on one worker.
    pub spread: u32,
    /// Workers without a valid ticket of the advice service.
    pub without_ticket: u32,
    /// Workers without enough free capacity.
    pub full: u32,
    /// Workers whose free capacity is reserved for other tasks.
    pub kept: u32,
}

/// The first reason for which a worker gets no task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Blocker {
    /// The worker drains, or its data centre is out of service.
    Leaving,
    /// The worker is not known to be reachable.
    Unreached,
    /// The registry entry is of another incarnation than the last report.
    Restarted,
    /// The worker is kept empty for maintenance or a move.
    Cordoned,
    /// The worker has recently failed or refused tasks.
    Avoided,
    /// The worker lacks the label that the step requires.
    Unsuited,
    /// The worker runs as many tasks of the step as it allows on one worker.
    Spread,
    /// No valid ticket of the advice service.
    WithoutTicket,
    /// Not enough free capacity.
    Full,
    /// The worker could run a task, but others are preferred or the capacity is
    /// reserved for other tasks.
    Kept,
}

impl Blocker {
    /// Name in log lines and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Unreached => "unreached",
            Self::Restarted => "restarted",
            Self::Cordoned => "cordoned",
            Self::Avoided => "avoided",
            Self::Unsuited => "unsuited",
            Self::Spread => "spread",
            Self::WithoutTicket => "without_ticket",
            Self::Full => "full",
            Self::Kept => "kept",
        }
    }
}

impl PlacementBlockers {
    /// Counts a worker.
    pub(crate) fn count(&mut self, blocker: Blocker) {
        let count = match blocker {
            Blocker::Leaving => &mut self.leaving,
            Blocker::Unreached => &mut self.unreached,
            Blocker::Restarted => &mut self.restarted,
            Blocker::Cordoned => &mut self.cordoned,
            Blocker::Avoided => &mut self.avoided,
            Blocker::Unsuited => &mut self.unsuited,
            Blocker::Spread => &mut self.spread,
            Blocker::WithoutTicket => &mut self.without_ticket,
            Blocker::Full => &mut self.full,
            Blocker::Kept => &mut self.kept,
        };
        *count += 1;
    }
}

/// Why a placement was released without a reported end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementReleaseReason {
    /// The worker refused the start.
    Refused,
    /// The worker has promised to refuse the attempt, and does not report it as
    /// running.
    Fenced,
    /// All leases on the worker have expired.
    LeaseExpired,
    /// The worker restarted: it is another incarnation.
    WorkerRestarted,
    /// Another worker listens at its address.
    WorkerReplaced,
    /// The start was not sent to the worker.
    NotSent,
    /// The VM went down for maintenance.
    VmDown,
    /// The worker does not answer, and the VM list shows that it has ended.
    WorkerGone,
}

impl PlacementReleaseReason {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Fenced => "barred",
            Self::LeaseExpired => "lease_ran_out",
            Self::WorkerRestarted => "worker_reborn",
            Self::WorkerReplaced => "worker_replaced",
            Self::NotSent => "not_sent",
            Self::VmDown => "vm_down",
            Self::WorkerGone => "worker_gone",
        }
    }
}
