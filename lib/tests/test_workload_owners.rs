//! Jobs and their records while owners, workers and the store fail.

mod workload_fake;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::lease::LeaseTimes;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::RecordKey;
use cowslipport_lib::workload::report::EndedTask;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::FORMER_RENEWS_MS;
use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::STATUS_KEPT_MS;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// A lasting task must run again within this time of its last run.
const LASTING_BACK_MS: u64 = 6_000;

fn name(job: JobKey, step: u32, index: u32) -> TaskName {
    TaskName { job, occurrence: 0, step, index }
}

fn lasting(task_count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(task_count, cores(1)) }
}

#[test]
fn tasks_go_on_under_a_new_owner() {
    let mut fleet = Fleet::new(2, cores(4));
    let key = fleet.submit(1, job(vec![step(4, cores(1))]), Work { work_ms: 3_000, fails: false });
    fleet.advance(1_000);
    fleet.replace_owner(false);
    fleet.advance(4_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 4);
    fleet.assert_no_violations();
}

/// A new owner that does not know the jobs yet must not take the tasks of a
/// worker for nobody's, nor acknowledge their ends.
#[test]
fn reports_before_the_jobs_are_known_change_nothing() {
    let times = LeaseTimes { lease_ms: LEASE_MS, former_renewal_ms: FORMER_RENEWS_MS };
    let life = NodeIncarnation { node: "n".to_owned(), incarnation: 1 };
    let mut owner = Dispatcher::new(1, life, TimeMs(0), times, STATUS_KEPT_MS);
    let worker = owner.worker_id("w0");
    let task = name(JobKey(1), 0, 0);
    let report = WorkerReport {
        sent_at: TimeMs(10),
        started_unix_ms: Some(1),
        running: vec![RunningTask { task, attempt: 1, checkpoint: None, percent: 0, reading: 0 }],
        ended: vec![EndedTask {
            number: 1,
            task,
            attempt: 1,
            end: TaskEnd::Done,
            checkpoint: None,
        }],
    };
    owner.worker_reported(TimeMs(20), worker, &report);
    let batch = owner.take_batch(TimeMs(30));
    assert!(owner.take_orders().is_empty());
    assert!(batch.acknowledged.is_empty() && batch.records.is_empty());
}

#[test]
fn tasks_of_a_cut_off_worker_wait_for_its_leases() {
    let mut fleet = Fleet::new(2, cores(2));
    let key = fleet.submit(1, job(vec![lasting(2)]), SHORT_WORK);
    fleet.advance(500);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(LEASE_MS - 200);
    assert!(fleet.starts == 2, "nothing starts while a lease may last");
    fleet.advance(1_000);
    assert_eq!(fleet.starts, fleet.running() as u64 + 1, "one is restarted");
    assert!(fleet.worker("w1").running.len() == 2);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(2_000);
    assert!(fleet.outcome(key).is_none());
    fleet.assert_no_violations();
}

/// Rolling stops: each owner lives for two seconds, and a worker is gone. Each
/// successor must count the time that the former ones have waited.
#[test]
fn wait_for_a_lost_worker_does_not_begin_anew_with_each_owner() {
    let mut fleet = Fleet::new(3, cores(2));
    fleet.submit(1, job(vec![lasting(3)]), SHORT_WORK);
    fleet.advance(500);
    let lost_at = fleet.now;
    fleet.worker("w0").is_up = false;
    let lost = fleet.worker("w0").running.len();
    while fleet.running() < 3 && fleet.now < lost_at + 20_000 {
        fleet.advance(2_000);
        fleet.replace_owner(true);
    }
    assert_eq!(lost, 1);
    assert!(fleet.now - lost_at <= LASTING_BACK_MS, "it took {} ms", fleet.now - lost_at);
    fleet.assert_no_violations();
}

/// An owner that was killed together with a worker may still renew leases as
/// far as its successor knows, until its process has started again.
#[test]
fn restart_of_the_former_owner_ends_the_doubt_about_its_leases() {
    let mut fleet = Fleet::new(3, cores(2));
    fleet.submit(1, job(vec![lasting(3)]), SHORT_WORK);
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
    assert!(fleet.now - lost_at <= LASTING_BACK_MS, "it took {} ms", fleet.now - lost_at);
    fleet.assert_no_violations();
}

#[test]
fn silent_former_owner_is_waited_for() {
    let mut fleet = Fleet::new(3, cores(2));
    fleet.submit(1, job(vec![lasting(3)]), SHORT_WORK);
    fleet.advance(500);
    fleet.worker("w0").is_reachable = false;
    fleet.replace_owner(false);
    // The former owner still reaches the worker and renews its leases.
    for _ in 0..(FORMER_RENEWS_MS / 500) {
        let now = fleet.now;
        fleet.worker("w0").lease_until = now + LEASE_MS;
        fleet.advance(500);
    }
    fleet.advance(LEASE_MS + 1_000);
    assert_eq!(fleet.running(), 3);
    fleet.assert_no_violations();
}

/// The order is answered by nobody and carried out three seconds later.
#[test]
fn late_start_is_barred_before_the_task_is_placed_again() {
    let mut fleet = Fleet::new(1, cores(2));
    fleet.delayed_worker = Some("w0".to_owned());
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
    fleet.advance(100);
    fleet.delayed_worker = None;
    fleet.advance(6_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 1, "the late start is refused");
    fleet.assert_no_violations();
}

#[test]
fn late_start_in_a_new_life_of_the_worker_does_not_run_twice() {
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
fn all_owners_lost_at_once_lose_no_job() {
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

/// pvbc-sched, trouble-2: a worker is gone for good and has no entry any more,
/// and owners follow each other. The wait for its leases must not begin anew
/// with each of them.
#[test]
fn tasks_of_a_worker_without_an_entry_wait_once() {
    let mut fleet = Fleet::new(2, cores(4));
    let lasting = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![lasting]), Work { work_ms: 600_000, fails: false });
    fleet.advance(500);
    let holder = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let holder = holder.expect("a worker runs the task").name.clone();
    fleet.worker(&holder).is_up = false;
    fleet.worker(&holder).is_unlisted = true;
    fleet.worker(&holder).running.clear();
    let gone_at = fleet.now;
    for _ in 0..6 {
        fleet.replace_owner(false);
        fleet.advance(2_000);
    }
    // The leases with their slack; each owner tells what is left of them within
    // 300 ms, and again each 500 ms.
    let bound = FORMER_RENEWS_MS + LEASE_MS + 500 + 6 * 800;
    fleet.advance((gone_at + bound).saturating_sub(fleet.now));
    assert_eq!(fleet.running(), 1, "it runs on the other worker");
    fleet.assert_no_violations();
}

/// Records of a job leave the store some time after its end, whoever owns then,
/// and those of an open job stay.
#[test]
fn records_of_ended_jobs_are_dropped_after_a_while() {
    let mut fleet = Fleet::new(2, cores(4));
    let short = Work { work_ms: 100, fails: false };
    let done = fleet.submit(1, job(vec![step(2, cores(1))]), short);
    let cancelled = fleet.submit(2, job(vec![step(1, cores(1))]), short);
    let lasting = StepSpec { long_running: true, ..step(1, cores(1)) };
    let open = fleet.submit(3, job(vec![lasting]), Work { work_ms: 600_000, fails: false });
    fleet.cancel(cancelled);
    fleet.advance(2_000);
    assert!(fleet.store.contains_key(&RecordKey::Progress(done)));
    fleet.advance(STATUS_KEPT_MS / 2);
    fleet.replace_owner(true);
    fleet.advance(STATUS_KEPT_MS / 2 + 2_000);
    assert!(fleet.store.contains_key(&RecordKey::Progress(done)), "kept anew by the successor");
    fleet.dropped.clear();
    fleet.advance(STATUS_KEPT_MS / 2);
    let expected = [
        RecordKey::Submission(done),
        RecordKey::Submission(cancelled),
        RecordKey::Cancellation(cancelled),
        RecordKey::Progress(done),
        RecordKey::Progress(cancelled),
    ];
    assert!(expected.iter().all(|key| fleet.dropped.contains(key)), "{:?}", fleet.dropped);
    assert_eq!(fleet.dropped.len(), expected.len(), "{:?}", fleet.dropped);
    assert!(fleet.store.contains_key(&RecordKey::Progress(open)));
    fleet.assert_no_violations();
}

/// pvbc-sched, trouble-2 --seed 947487340256: a slow store took 2.5 s to hand the
/// jobs over. The former owner lost the seat when its successor gained it, so its
/// time without the store counts from then.
#[test]
fn former_owner_is_doubted_from_the_change_of_the_seat_on() {
    let mut fleet = Fleet::new(2, cores(4));
    let lasting = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![lasting]), Work { work_ms: 600_000, fails: false });
    fleet.advance(500);
    let holder = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let holder = holder.expect("a worker runs the task").name.clone();
    fleet.worker(&holder).is_up = false;
    fleet.worker(&holder).is_unlisted = true;
    fleet.worker(&holder).running.clear();
    let read_ms = 2_500;
    fleet.advance(read_ms);
    fleet.replace_owner_after(false, read_ms);
    fleet.advance(FORMER_RENEWS_MS + LEASE_MS + 500 - read_ms);
    assert_eq!(fleet.running(), 1, "it runs on the other worker");
    fleet.assert_no_violations();
}
