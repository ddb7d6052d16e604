//! What the dispatcher tells of its decisions and of what it has learned.

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::key::JobKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::record::JobOutcome;
use crate::workload::report::TaskEnd;

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A place was chosen for a task.
    Placed {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Time since the task could start.
        waited_ms: u64,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How.
        end: TaskEnd,
    },
    /// An attempt is known not to run, without an end.
    PlacementReleased {
        /// The task.
        task: TaskName,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: PlacementReleaseReason,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobKey,
        /// How.
        outcome: JobOutcome,
    },
    /// A worker fails what it starts and is avoided.
    WorkerAvoided {
        /// The worker.
        worker: WorkerId,
        /// Until when.
        until: TimeMs,
    },
    /// What a pool has and needs.
    PoolMeasured {
        /// The pool.
        pool: PoolId,
        /// Its room and need.
        balance: PoolLoad,
    },
    /// Tasks of a step could start and find no worker.
    StepWaiting {
        /// The job.
        job: JobKey,
        /// Occurrence, from 0.
        occurrence: u32,
        /// Step, from 0.
        step: u32,
        /// Number of its tasks that wait.
        tasks: u32,
        /// For how long.
        waited_ms: u64,
        /// Why.
        blockers: PlacementBlockers,
    },
}

/// Why tasks of a step find no worker. Each worker of the pool is counted
/// once, under the first reason that holds for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementBlockers {
    /// One task more would be over the limit of its organisation.
    pub over_limit: bool,
    /// Workers that drain, or whose data centre is out of service.
    pub leaving: u32,
    /// Workers that have not answered.
    pub unreached: u32,
    /// Workers that are kept empty for maintenance or a move.
    pub cordoned: u32,
    /// Workers that failed or refused tasks of late.
    pub avoided: u32,
    /// Workers without the label that the step asks for.
    pub unsuited: u32,
    /// Workers that have as many tasks of the step as they may.
    pub spread: u32,
    /// Workers without a ticket of the advice service.
    pub without_ticket: u32,
    /// Workers without room.
    pub full: u32,
    /// Workers with room that is kept for other tasks.
    pub kept: u32,
}

/// Why a place is free again without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementReleaseReason {
    /// The worker refused the start.
    Refused,
    /// The worker has promised to refuse it and does not list it.
    Fenced,
    /// All leases on the worker have run out.
    LeaseExpired,
    /// The worker was born again.
    WorkerRestarted,
    /// Another worker listens at its address.
    WorkerReplaced,
    /// The order was not sent.
    NotSent,
    /// Its VM went down for maintenance.
    VmDown,
}

impl PlacementReleaseReason {
    /// Name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Fenced => "barred",
            Self::LeaseExpired => "lease_ran_out",
            Self::WorkerRestarted => "worker_reborn",
            Self::WorkerReplaced => "worker_replaced",
            Self::NotSent => "not_sent",
            Self::VmDown => "vm_down",
        }
    }
}
