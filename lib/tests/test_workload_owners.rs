//! Tests of jobs and their records while owners, workers and the store fail.

mod workload_fake;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::report::EndedTask;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::FORMER_RENEWS_MS;
use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::LEASE_TIMES;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::STATUS_KEPT_MS;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// A long-running task must run again within this time after its worker is
/// lost.
const LONG_RUNNING_RECOVERY_MS: u64 = 6_000;

fn name(job: JobKey, step: u32, index: u32) -> TaskName {
    TaskName { job, occurrence: 0, step, index }
}

fn long_running(task_count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(task_count, cores(1)) }
}

#[test]
fn tasks_keep_running_under_a_new_owner() {
    let mut fleet = Fleet::new(2, cores(4));
    let key = fleet.submit(1, job(vec![step(4, cores(1))]), Work { work_ms: 3_000, fails: false });
    fleet.advance(1_000);
    fleet.replace_owner(false);
    fleet.advance(4_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 4);
    fleet.assert_no_violations();
}

/// A new owner that has not recovered the jobs yet must neither stop the tasks
/// of a worker as unassigned nor acknowledge their ends.
#[test]
fn reports_before_recovery_are_ignored() {
    let times = LEASE_TIMES;
    let incarnation = NodeIncarnation { node: "n".to_owned(), incarnation: 1 };
    let mut owner = Dispatcher::new(1, incarnation, TimeMs(0), times, STATUS_KEPT_MS);
    let worker = owner.worker_id("w0");
    let task = name(JobKey(1), 0, 0);
    let report = WorkerReport {
        sent_at: TimeMs(10),
        started_unix_ms: Some(1),
        lease: LeaseGrant::None,
        running: vec![RunningTask { task, attempt: 1, checkpoint: None, percent: 0, reading: 0 }],
        ended: vec![EndedTask {
            number: 1,
            task,
            attempt: 1,
            end: TaskEnd::Done,
            checkpoint: None,
        }],
        has_more_ends: false,
    };
    owner.worker_reported(TimeMs(20), worker, &report);
    let batch = owner.take_batch(TimeMs(30));
    assert!(owner.take_orders().is_empty());
    assert!(batch.acknowledged.is_empty() && batch.records.is_empty());
}

#[test]
fn tasks_of_an_unreachable_worker_wait_for_its_leases() {
    let mut fleet = Fleet::new(2, cores(2));
    let key = fleet.submit(1, job(vec![long_running(2)]), SHORT_WORK);
    fleet.advance(500);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(LEASE_MS - 200);
    assert!(fleet.starts == 2, "nothing starts while a lease may be valid");
    fleet.advance(1_000);
    assert_eq!(fleet.starts, fleet.running() as u64 + 1, "one task is restarted");
    assert!(fleet.worker("w1").running.len() == 2);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(2_000);
    assert!(fleet.outcome(key).is_none());
    fleet.assert_no_violations();
}

/// A worker is lost during a rolling restart in which each owner runs for two
/// seconds. Each successor must count the time for which its predecessors have
/// waited for the worker's leases.
#[test]
fn wait_for_a_lost_worker_does_not_restart_with_each_owner() {
    let mut fleet = Fleet::new(3, cores(2));
    fleet.submit(1, job(vec![long_running(3)]), SHORT_WORK);
    fleet.advance(500);
    let lost_at = fleet.now;
    fleet.worker("w0").is_up = false;
    let lost = fleet.worker("w0").running.len();
    while fleet.running() < 3 && fleet.now < lost_at + 20_000 {
        fleet.advance(2_000);
        fleet.replace_owner(true);
    }
    assert_eq!(lost, 1);
    assert!(
        fleet.now - lost_at <= LONG_RUNNING_RECOVERY_MS,
        "recovery took {} ms",
        fleet.now - lost_at
    );
    fleet.assert_no_violations();
}

/// An owner was killed together with a worker. Its successor must assume that
/// it still renews leases, but only until its process has restarted.
#[test]
fn restart_of_the_former_owner_ends_the_wait_for_its_leases() {
    let mut fleet = Fleet::new(3, cores(2));
    fleet.submit(1, job(vec![long_running(3)]), SHORT_WORK);
    fleet.advance(500);
    let former = fleet.epoch;
    fleet.worker("w0").is_up = false;
    let lost_at = fleet.now;
    fleet.replace_owner(false);
    let present = NodeIncarnation { node: format!("n{former}"), incarnation: 77 };
    let now = fleet.time();
    fleet.owner.as_mut().expect("an owner").node_started(now, &present);
    while fleet.running() < 3 && fleet.now < lost_at + 20_000 {
        fleet.advance(100);
    }
    assert!(
        fleet.now - lost_at <= LONG_RUNNING_RECOVERY_MS,
        "recovery took {} ms",
        fleet.now - lost_at
    );
    fleet.assert_no_violations();
}

/// The former owner still reaches most of its witnesses, and renews leases for as long as
/// it may.
#[test]
fn leases_of_a_former_owner_are_waited_for() {
    let mut fleet = Fleet::new(3, cores(3));
    fleet.submit(1, job(vec![long_running(3)]), SHORT_WORK);
    fleet.advance(500);
    for name in ["w0", "w2"] {
        fleet.worker(name).is_reachable = false;
    }
    fleet.replace_owner(false);
    for _ in 0..(FORMER_RENEWS_MS / 500) {
        let now = fleet.now;
        for name in ["w0", "w2"] {
            fleet.worker(name).lease_until = now + LEASE_MS;
        }
        fleet.advance(500);
    }
    fleet.advance(LEASE_MS + 1_000);
    assert_eq!(fleet.running(), 3);
    fleet.assert_no_violations();
}

/// A start order is not answered and is carried out three seconds later. The
/// task must not be placed again before the worker has fenced that attempt.
#[test]
fn delayed_start_is_fenced_before_the_task_is_placed_again() {
    let mut fleet = Fleet::new(1, cores(2));
    fleet.delayed_worker = Some("w0".to_owned());
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
    fleet.advance(100);
    fleet.delayed_worker = None;
    fleet.advance(6_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 1, "the delayed start is refused");
    fleet.assert_no_violations();
}

#[test]
fn delayed_start_at_a_restarted_worker_does_not_run_twice() {
    let mut fleet = Fleet::new(2, cores(2));
    fleet.delayed_worker = Some("w0".to_owned());
    let key = fleet.submit(1, job(vec![step(2, cores(1))]), SHORT_WORK);
    fleet.advance(60);
    fleet.delayed_worker = None;
    fleet.restart_worker("w0");
    fleet.advance(8_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// A worker promises to refuse a start without an answer, and restarts before its next
/// report. It has forgotten the promise, and the start is only delayed: the owner
/// must get another promise before it starts the task elsewhere.
#[test]
fn promise_of_a_restarted_worker_does_not_count() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    fleet.delayed_worker = Some("w0".to_owned());
    fleet.worker("w1").is_draining = true;
    fleet.list_workers();
    fleet.submit(1, job(vec![step(1, cores(1))]), Work { work_ms: 60_000, fails: false });
    while fleet.worker("w0").fenced.is_empty() {
        assert!(fleet.now < 5_000, "the owner orders a stop");
        fleet.advance(20);
    }
    fleet.delayed_worker = None;
    fleet.restart_worker_unnoticed("w0");
    fleet.worker("w1").is_draining = false;
    fleet.list_workers();
    fleet.advance(6_000);
    assert_eq!(fleet.running(), 1);
    fleet.assert_no_violations();
}

/// A worker restarts under its name and starts tasks before the owner learns of
/// the restart. These run on; only those of the former incarnation have ended.
#[test]
fn tasks_that_a_restarted_worker_has_started_run_once() {
    let mut fleet = Fleet::new(1, cores(3));
    let work = Work { work_ms: 3_000, fails: false };
    let before = fleet.submit(1, job(vec![step(1, cores(1))]), work);
    fleet.advance(100);
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.restart_worker("w0");
    let after = fleet.submit(2, job(vec![step(2, cores(1))]), work);
    fleet.advance(100);
    assert_eq!(fleet.running(), 2, "the restarted worker has started tasks");
    fleet.unpolled_worker = None;
    fleet.advance(9_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.starts, 4, "only the task of the former incarnation starts again");
    assert_eq!(fleet.outcome(before), Some(JobOutcome::Completed));
    assert_eq!(fleet.outcome(after), Some(JobOutcome::Completed));
}

#[test]
fn nothing_starts_while_the_store_is_down() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    fleet.store_is_up = false;
    let key = fleet.submit(1, job(vec![step(2, cores(1))]), SHORT_WORK);
    fleet.advance(2_000);
    assert_eq!(fleet.starts, 0);
    fleet.store_is_up = true;
    fleet.advance(2_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

#[test]
fn loss_of_all_owners_loses_no_job() {
    let mut fleet = Fleet::new(3, cores(4));
    let keys: Vec<JobKey> =
        (1..=10).map(|key| fleet.submit(key, job(vec![step(3, cores(1))]), SHORT_WORK)).collect();
    fleet.advance(200);
    fleet.owner = None;
    fleet.advance(6_000);
    fleet.replace_owner(false);
    fleet.advance(20_000);
    for key in keys {
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "{key}");
    }
    fleet.assert_no_violations();
}

/// A worker is lost for good and has no registry entry any more, while owners
/// replace each other. The wait for its leases must not restart with each
/// owner. Found with pvbc-sched, scenario trouble-2.
#[test]
fn wait_for_an_unlisted_worker_does_not_restart_with_each_owner() {
    let mut fleet = Fleet::new(2, cores(4));
    let long_running = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![long_running]), Work { work_ms: 600_000, fails: false });
    fleet.advance(500);
    let worker = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let worker = worker.expect("a worker runs the task").name.clone();
    fleet.worker(&worker).is_up = false;
    fleet.worker(&worker).is_unlisted = true;
    fleet.worker(&worker).running.clear();
    let gone_at = fleet.now;
    for _ in 0..6 {
        fleet.replace_owner(false);
        fleet.advance(2_000);
    }
    // The leases and their slack. Each owner records the rest of the wait
    // within 300 ms, and again every 500 ms.
    let bound = FORMER_RENEWS_MS + LEASE_MS + 500 + 6 * 800;
    fleet.advance((gone_at + bound).saturating_sub(fleet.now));
    assert_eq!(fleet.running(), 1, "the task runs on the other worker");
    fleet.assert_no_violations();
}

/// The records of a job are dropped some time after its end, also by a later
/// owner. Those of an open job are kept.
#[test]
fn records_of_ended_jobs_are_dropped_after_a_while() {
    let mut fleet = Fleet::new(2, cores(4));
    let short = Work { work_ms: 100, fails: false };
    let done = fleet.submit(1, job(vec![step(2, cores(1))]), short);
    let cancelled = fleet.submit(2, job(vec![step(1, cores(1))]), short);
    let long_running = StepSpec { long_running: true, ..step(1, cores(1)) };
    let open = fleet.submit(3, job(vec![long_running]), Work { work_ms: 600_000, fails: false });
    fleet.cancel(cancelled);
    fleet.advance(2_000);
    assert!(fleet.store.contains_key(&RecordKey::Progress(done)));
    fleet.advance(STATUS_KEPT_MS / 2);
    fleet.replace_owner(true);
    fleet.advance(STATUS_KEPT_MS / 2 + 2_000);
    assert!(
        fleet.store.contains_key(&RecordKey::Progress(done)),
        "the successor keeps them for the full time again"
    );
    fleet.dropped.clear();
    fleet.advance(STATUS_KEPT_MS / 2);
    let expected = [
        RecordKey::Submission(done),
        RecordKey::Submission(cancelled),
        RecordKey::Cancellation(cancelled),
        RecordKey::Status(done),
        RecordKey::Status(cancelled),
        RecordKey::Progress(done),
        RecordKey::Progress(cancelled),
    ];
    assert!(expected.iter().all(|key| fleet.dropped.contains(key)), "{:?}", fleet.dropped);
    assert_eq!(fleet.dropped.len(), expected.len(), "{:?}", fleet.dropped);
    assert!(fleet.store.contains_key(&RecordKey::Progress(open)));
    fleet.assert_no_violations();
}

/// The records of an ended job are deleted in two batches. An owner that is lost
/// between them must not leave a submission without its progress, which the next
/// one would run again.
#[test]
fn submission_is_deleted_before_the_progress() {
    let mut fleet = Fleet::new(1, cores(4));
    let done = fleet.submit(1, job(vec![step(1, cores(1))]), Work { work_ms: 100, fails: false });
    fleet.advance(2_000);
    while !fleet.dropped.contains(&RecordKey::Submission(done)) {
        fleet.advance(20);
        assert!(fleet.now < 2 * STATUS_KEPT_MS, "the submission is deleted");
    }
    assert!(fleet.store.contains_key(&RecordKey::Progress(done)));
    fleet.advance(100);
    assert!(!fleet.store.contains_key(&RecordKey::Progress(done)));
}

/// A new owner took 2.5 s to read the jobs from a slow store. The time for
/// which the former owner may still renew leases must count from the change of
/// ownership, not from the end of the reads. Found with pvbc-sched, scenario
/// trouble-2, seed 947487340256.
#[test]
fn wait_for_the_former_owner_counts_from_the_change_of_ownership() {
    let mut fleet = Fleet::new(2, cores(4));
    let long_running = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![long_running]), Work { work_ms: 600_000, fails: false });
    fleet.advance(500);
    let worker = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let worker = worker.expect("a worker runs the task").name.clone();
    fleet.worker(&worker).is_up = false;
    fleet.worker(&worker).is_unlisted = true;
    fleet.worker(&worker).running.clear();
    let read_ms = 2_500;
    fleet.advance(read_ms);
    fleet.replace_owner_after(false, read_ms);
    fleet.advance(FORMER_RENEWS_MS + LEASE_MS + 500 - read_ms);
    assert_eq!(fleet.running(), 1, "the task runs on the other worker");
    fleet.assert_no_violations();
}

/// All nodes were lost while jobs waited for capacity. Under the new owner, a
/// job that has long missed its objective must not come before one that can
/// still meet it.
#[test]
fn jobs_keep_their_age_under_a_new_owner() {
    let old = JobKey(1);
    let new = JobKey(2);
    let mut fleet = Fleet::new(1, cores(1));
    fleet.owner = None;
    let spec = |accepted_unix_ms, estimate_ms| JobSpec {
        accepted_unix_ms,
        ..job(vec![StepSpec { estimate_ms, ..step(1, cores(1)) }])
    };
    fleet.now = 60_000;
    // By remaining work the old job would come first.
    fleet.submit(old.0, spec(30_000, 400), SHORT_WORK);
    fleet.submit(new.0, spec(59_500, 500), SHORT_WORK);
    fleet.replace_owner(false);
    fleet.advance(300);
    let running: Vec<JobKey> = fleet.workers["w0"].running.keys().map(|task| task.job).collect();
    assert_eq!(running, [new]);
}
