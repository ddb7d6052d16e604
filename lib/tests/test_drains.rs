//! A drained VM has no request in flight from any process.

mod fleet;

use cowslipport_lib::drain;
use cowslipport_lib::drain::Drain;
use cowslipport_lib::drain::DrainGoal;
use cowslipport_lib::drain::DrainReport;
use cowslipport_lib::drain::DrainStatus;
use cowslipport_lib::drain::DrainWait;
use cowslipport_lib::drain::DrainedReason;
use cowslipport_lib::drain::SessionReport;
use cowslipport_lib::drain::WorkerTasks;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::time::TimeMs;

use crate::fleet::Fleet;

const TIMEOUT_MS: u64 = 30_000;
const IDLE: SessionReport = SessionReport { applied: Offset(10), in_flight: 0, stale: false };

/// Returns the status of a drain at offset 9 in a fleet with the sessions 11
/// and 12.
fn status(
    goal: DrainGoal,
    after_ms: u64,
    reports: &[(u64, SessionReport)],
    tasks: WorkerTasks,
) -> DrainStatus {
    let fleet = Fleet::new(1, 4, &[]);
    let sessions = reports.iter().map(|(session, report)| (SessionId(*session), *report)).collect();
    let operation = OperationId(Offset(9));
    let drain = Drain { operation, goal, since: TimeMs(0), timeout_ms: TIMEOUT_MS };
    drain::status(&fleet.state, &drain, &DrainReport { sessions, tasks }, TimeMs(after_ms))
}

/// Guards against a VM that is stopped while a process still routes to it, as
/// the process has not applied the drain or has not reported.
#[test]
fn every_process_applies_the_drain_first() {
    let behind = SessionReport { applied: Offset(9), ..IDLE };
    for reports in [vec![(11, IDLE)], vec![(11, IDLE), (12, behind)]] {
        for goal in [DrainGoal::Stop, DrainGoal::Move] {
            let status = status(goal, TIMEOUT_MS, &reports, WorkerTasks::Running(0));
            assert_eq!(status, DrainStatus::Waiting(DrainWait::NotApplied(SessionId(12))));
        }
    }
}

/// Guards against a VM that is stopped while a process without a session has a
/// request in flight to it.
#[test]
fn process_without_a_session_counts() {
    let session = SessionId(77);
    let reports = [(11, IDLE), (12, IDLE), (77, SessionReport { in_flight: 1, ..IDLE })];
    let status = status(DrainGoal::Stop, 0, &reports, WorkerTasks::Running(0));
    let wait = DrainWait::RequestsInFlight { session, in_flight: 1 };
    assert_eq!(status, DrainStatus::Waiting(wait));
}

/// Guards against a request that is interrupted by the drain timeout. A drain
/// that takes too long is cancelled.
#[test]
fn timeout_interrupts_no_request() {
    let session = SessionId(12);
    let reports = [(11, IDLE), (12, SessionReport { in_flight: 2, ..IDLE })];
    let at = |after_ms| status(DrainGoal::Stop, after_ms, &reports, WorkerTasks::Running(0));
    let wait = DrainWait::RequestsInFlight { session, in_flight: 2 };
    assert_eq!(at(2 * TIMEOUT_MS - 1), DrainStatus::Waiting(wait));
    assert_eq!(at(2 * TIMEOUT_MS), DrainStatus::Cancel { session, in_flight: 2 });
}

/// Guards against a VM that is stopped while a process with a stale view has
/// requests in flight to it. A move stops no VM and does not wait for them.
#[test]
fn stale_process_may_have_requests_in_flight() {
    let stale = SessionReport { applied: Offset(9), in_flight: 3, stale: true };
    let reports = [(11, IDLE), (12, stale)];
    let at = |goal, after_ms| status(goal, after_ms, &reports, WorkerTasks::Running(0));
    let wait = DrainStatus::Waiting(DrainWait::StaleSession(SessionId(12)));
    assert_eq!(at(DrainGoal::Stop, TIMEOUT_MS + 1999), wait);
    let drained = DrainStatus::Drained(DrainedReason::Idle);
    assert_eq!(at(DrainGoal::Stop, TIMEOUT_MS + 2000), drained);
    assert_eq!(at(DrainGoal::Move, 0), drained);
}

/// Guards against a task that is stopped before the drain timeout, and against
/// a task that delays the maintenance of its VM for ever.
#[test]
fn tasks_run_until_the_timeout() {
    let reports = [(11, IDLE), (12, IDLE)];
    let at = |after_ms, tasks| status(DrainGoal::Stop, after_ms, &reports, tasks);
    let running = WorkerTasks::Running(4);
    let wait = DrainStatus::Waiting(DrainWait::TasksRunning(4));
    assert_eq!(at(TIMEOUT_MS - 1, running), wait);
    let timed_out = |tasks| DrainStatus::Drained(DrainedReason::TimedOut { tasks });
    assert_eq!(at(TIMEOUT_MS, running), timed_out(4));
    assert_eq!(at(0, WorkerTasks::Unknown), DrainStatus::Waiting(DrainWait::WorkerSilent));
    assert_eq!(at(TIMEOUT_MS, WorkerTasks::Unknown), timed_out(0));
    assert_eq!(at(0, WorkerTasks::NoWorker), DrainStatus::Drained(DrainedReason::Idle));
}
