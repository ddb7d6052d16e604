//! When a VM that is being drained may be stopped or moved.

use std::collections::BTreeMap;
use std::fmt;

use crate::control::ControlState;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::time::TimeMs;

/// Number of drain timeouts after which a drain is cancelled if requests are
/// still in flight, so that one long request does not keep the budget of its
/// pool used up.
const CANCEL_AFTER_TIMEOUTS: u64 = 2;

/// Longest time after the log accepted a record for which a process that has
/// not applied it still routes requests; after that its view is stale.
const MAX_VIEW_AGE_MS: u64 = 2000;

/// What one process last reported about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionReport {
    /// Offset of the first record that the process has not applied.
    pub applied: Offset,
    /// Requests of the process that are in flight to the VM.
    pub in_flight: u32,
    /// True if the last report of the process is so old that its view may be
    /// stale. A process with a stale view starts no request.
    pub stale: bool,
}

/// Tasks on the worker of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerTasks {
    /// The worker has not answered.
    #[default]
    Unknown,
    /// The VM runs no worker.
    NoWorker,
    /// Number of running tasks in the last answer of the worker.
    Running(u32),
}

/// What is known about a VM that is being drained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Reports of all processes that have answered, including those without an
    /// open session, as they send requests too.
    pub sessions: BTreeMap<SessionId, SessionReport>,
    /// Tasks on the VM.
    pub tasks: WorkerTasks,
}

/// What the drain is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainGoal {
    /// The VM is stopped, which would interrupt requests in flight.
    Stop,
    /// The VM changes its pool and continues to run, so only new requests and
    /// tasks for the old pool have to be prevented.
    Move,
}

/// A drain and its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The operation; its offset is that of the drain.
    pub operation: OperationId,
    /// What the drain is for.
    pub goal: DrainGoal,
    /// When this process first observed the drain in the control state.
    pub since: TimeMs,
    /// Drain timeout of the pool.
    pub timeout_ms: u64,
}

impl Drain {
    /// Creates a drain of a VM of `pool`.
    pub fn new(
        state: &ControlState,
        pool: PoolId,
        operation: OperationId,
        goal: DrainGoal,
        since: TimeMs,
    ) -> Self {
        let timeout_ms = state.pools.get(pool).map_or(0, |pool| pool.spec.drain_timeout_ms);
        Self { operation, goal, since, timeout_ms }
    }
}

/// Whether a VM is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStatus {
    /// The VM may be stopped or moved.
    Drained(DrainedReason),
    /// Requests or tasks may still be running.
    Waiting(DrainWait),
    /// Requests did not end in time; the drain is to be cancelled and the VM
    /// returned to service.
    Cancel {
        /// Session of the process that sent the requests.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
}

/// Why a VM counts as drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainedReason {
    /// No request and no task is known to be running.
    Idle,
    /// The timeout is over. No process is known to have a request in flight;
    /// tasks that still run have to be checkpointed.
    TimedOut {
        /// Tasks that still run.
        tasks: u32,
    },
}

/// What a drain waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainWait {
    /// A process has not reported at all, or has not applied the drain.
    NotApplied(SessionId),
    /// A process has requests in flight.
    RequestsInFlight {
        /// Session of the process.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// A process has a stale view and may still have requests in flight.
    StaleSession(SessionId),
    /// The worker has not answered.
    WorkerSilent,
    /// Tasks run on the worker.
    TasksRunning(u32),
}

impl fmt::Display for DrainWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(session) => write!(f, "session {session} has not applied the drain"),
            Self::RequestsInFlight { session, in_flight } => {
                write!(f, "session {session} has {in_flight} requests in flight")
            }
            Self::StaleSession(session) => {
                write!(f, "session {session} is stale and may have requests in flight")
            }
            Self::WorkerSilent => f.write_str("the worker has not answered"),
            Self::TasksRunning(tasks) => write!(f, "{tasks} tasks run on the worker"),
        }
    }
}

impl fmt::Display for DrainedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Idle => f.write_str("nothing is in flight"),
            Self::TimedOut { tasks } => {
                write!(f, "drain timeout is over, {tasks} tasks are checkpointed")
            }
        }
    }
}

/// Returns whether a VM is drained. A process that has applied the drain and
/// reports no request in flight sends no more requests to the VM. After the
/// timeout the drain no longer waits for tasks and for processes that do not
/// report, but it always waits for requests that are known to be in flight: no
/// planned stop interrupts one.
pub fn status(
    state: &ControlState,
    drain: &Drain,
    report: &DrainReport,
    now: TimeMs,
) -> DrainStatus {
    let elapsed = now.since(drain.since);
    let mut pending_wait = None;
    for (session, wait) in session_waits(state, drain, report) {
        match wait {
            DrainWait::RequestsInFlight { in_flight, .. } => {
                if elapsed >= drain.timeout_ms.saturating_mul(CANCEL_AFTER_TIMEOUTS) {
                    return DrainStatus::Cancel { session, in_flight };
                }
                pending_wait = Some(wait);
            }
            DrainWait::NotApplied(_)
            | DrainWait::StaleSession(_)
            | DrainWait::WorkerSilent
            | DrainWait::TasksRunning(_) => {
                // The process may have started a request just before its view
                // became stale.
                if elapsed < drain.timeout_ms.saturating_add(MAX_VIEW_AGE_MS) {
                    pending_wait = pending_wait.or(Some(wait));
                }
            }
        }
    }
    match pending_wait {
        Some(wait) => DrainStatus::Waiting(wait),
        None => task_status(report.tasks, elapsed >= drain.timeout_ms),
    }
}

fn task_status(tasks: WorkerTasks, timed_out: bool) -> DrainStatus {
    match (tasks, timed_out) {
        (WorkerTasks::NoWorker | WorkerTasks::Running(0), _) => {
            DrainStatus::Drained(DrainedReason::Idle)
        }
        (WorkerTasks::Unknown, false) => DrainStatus::Waiting(DrainWait::WorkerSilent),
        (WorkerTasks::Running(tasks), false) => {
            DrainStatus::Waiting(DrainWait::TasksRunning(tasks))
        }
        (WorkerTasks::Unknown, true) => DrainStatus::Drained(DrainedReason::TimedOut { tasks: 0 }),
        (WorkerTasks::Running(tasks), true) => {
            DrainStatus::Drained(DrainedReason::TimedOut { tasks })
        }
    }
}

/// What the drain waits for in each process.
fn session_waits<'a>(
    state: &'a ControlState,
    drain: &'a Drain,
    report: &'a DrainReport,
) -> impl Iterator<Item = (SessionId, DrainWait)> + 'a {
    let unreported = state
        .sessions
        .keys()
        .filter(|session| !report.sessions.contains_key(session))
        .map(|session| (*session, DrainWait::NotApplied(*session)));
    let reported = report.sessions.iter().filter_map(|(session, session_report)| {
        Some((*session, session_wait(drain, *session, *session_report)?))
    });
    unreported.chain(reported)
}

fn session_wait(
    drain: &Drain,
    session: SessionId,
    session_report: SessionReport,
) -> Option<DrainWait> {
    let applied = session_report.applied > drain.operation.0;
    match (applied, session_report.in_flight, session_report.stale, drain.goal) {
        (true, 0, _, _) => None,
        (_, _, true, DrainGoal::Move) => None,
        (_, _, true, DrainGoal::Stop) => Some(DrainWait::StaleSession(session)),
        (false, _, false, _) => Some(DrainWait::NotApplied(session)),
        (true, in_flight, false, _) => Some(DrainWait::RequestsInFlight { session, in_flight }),
    }
}
