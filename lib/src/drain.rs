//! When a VM that is being drained may be stopped or moved.

use std::collections::BTreeMap;
use std::fmt;

use crate::control::ControlState;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::time::TimeMs;

/// Drain timeouts after which a drain is given up if requests are still in
/// flight. A request that takes longer must not keep the budget of its pool
/// used up.
const GIVE_UP_TIMEOUTS: u64 = 2;

/// Longest time after an accepted record for which a process that has not
/// applied it routes requests; after that its view is stale.
const VIEW_AGE_MS: u64 = 2000;

/// What one process last said about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionReport {
    /// Offset of the first record that the process has not applied.
    pub applied: Offset,
    /// Requests of the process that are in flight to the VM.
    pub in_flight: u32,
    /// True if the process has been silent for so long that its view is
    /// stale and it starts no request.
    pub stale: bool,
}

/// Tasks that run on a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerTasks {
    /// The worker has not answered.
    #[default]
    Unknown,
    /// The VM runs no worker.
    NoWorker,
    /// Number of tasks in the last answer.
    Running(u32),
}

/// What is known about a VM that is being drained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Reports of all processes that have answered, also of those without
    /// an open session, as they serve requests too.
    pub sessions: BTreeMap<SessionId, SessionReport>,
    /// Tasks on the VM.
    pub tasks: WorkerTasks,
}

/// What the drain is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainGoal {
    /// The VM is stopped, which would cut requests in flight.
    Stop,
    /// The VM changes its pool and goes on running, so only new requests and
    /// tasks for the old pool have to be ruled out.
    Move,
}

/// A drain and its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The operation; its offset is that of the drain.
    pub operation: OperationId,
    /// What the drain is for.
    pub goal: DrainGoal,
    /// When this process first saw the drain in the fold.
    pub since: TimeMs,
    /// Drain timeout of the pool.
    pub timeout_ms: u64,
}

impl Drain {
    /// A drain of a VM of `pool`.
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
    /// Something is still in flight.
    Waiting(DrainWait),
    /// Requests did not end in time; the VM should return to service.
    Cancel {
        /// Process that has the requests.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
}

/// Why a VM counts as drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainedReason {
    /// Nothing is in flight.
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
    /// A process has not answered since the drain, or has not applied it.
    NotApplied(SessionId),
    /// A process has requests in flight.
    RequestsInFlight {
        /// The process.
        session: SessionId,
        /// Requests in flight.
        in_flight: u32,
    },
    /// A process is stale and may still have requests in flight.
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

/// Judges a drain. A process that has applied the drain and reports no
/// request in flight sends none to the VM any more. The timeout ends the wait
/// for processes that are silent and for tasks, never for a request that is
/// known to be in flight: no planned stop interrupts one.
pub fn status(
    state: &ControlState,
    drain: &Drain,
    report: &DrainReport,
    now: TimeMs,
) -> DrainStatus {
    let elapsed = now.since(drain.since);
    let mut waiting = None;
    for (session, wait) in session_waits(state, drain, report) {
        match wait {
            DrainWait::RequestsInFlight { in_flight, .. } => {
                if elapsed >= drain.timeout_ms.saturating_mul(GIVE_UP_TIMEOUTS) {
                    return DrainStatus::Cancel { session, in_flight };
                }
                waiting = Some(wait);
            }
            DrainWait::NotApplied(_)
            | DrainWait::StaleSession(_)
            | DrainWait::WorkerSilent
            | DrainWait::TasksRunning(_) => {
                // Such a process may have started a request just before its
                // view became stale.
                if elapsed < drain.timeout_ms.saturating_add(VIEW_AGE_MS) {
                    waiting = waiting.or(Some(wait));
                }
            }
        }
    }
    match waiting {
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

/// What each process still stands in the way with.
fn session_waits<'a>(
    state: &'a ControlState,
    drain: &'a Drain,
    report: &'a DrainReport,
) -> impl Iterator<Item = (SessionId, DrainWait)> + 'a {
    let silent = state
        .sessions
        .keys()
        .filter(|session| !report.sessions.contains_key(session))
        .map(|session| (*session, DrainWait::NotApplied(*session)));
    let heard = report
        .sessions
        .iter()
        .filter_map(|(session, said)| Some((*session, session_wait(drain, *session, *said)?)));
    silent.chain(heard)
}

fn session_wait(drain: &Drain, session: SessionId, said: SessionReport) -> Option<DrainWait> {
    let applied = said.applied > drain.operation.0;
    match (applied, said.in_flight, said.stale, drain.goal) {
        (true, 0, _, _) => None,
        (_, _, true, DrainGoal::Move) => None,
        (_, _, true, DrainGoal::Stop) => Some(DrainWait::StaleSession(session)),
        (false, _, false, _) => Some(DrainWait::NotApplied(session)),
        (true, in_flight, false, _) => Some(DrainWait::RequestsInFlight { session, in_flight }),
    }
}
