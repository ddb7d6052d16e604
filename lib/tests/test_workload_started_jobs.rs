//! Tests of what callers are shown of jobs whose tasks are placed, refused, and started.

mod workload_fake;

use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::JobStatus;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const JOB: JobKey = JobKey(1);
const WORKER: &str = "w0";
const LONG_WORK: Work = Work { work_ms: 6_000, fails: false };
/// Time from a start until all nodes show it; the page of the platform allows 2 s, of
/// which the nodes need some to read it.
const SHOWN_MS: u64 = 1_500;
/// Time in which a start without an answer is not carried out.
const DELAY_MS: u64 = 2_000;
/// Time in which a task that waits for its worker is placed anew.
const PLACED_MS: u64 = 20_000;

/// A fleet of one worker with a job that is placed there.
fn fleet_with_job<F>(prepare: F, work: Work) -> Fleet
where
    F: FnOnce(&mut Fleet),
{
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    prepare(&mut fleet);
    fleet.submit(JOB.0, job(vec![step(1, cores(1))]), work);
    fleet
}

/// The same with a worker that refuses every start.
fn fleet_with_refused_job() -> Fleet {
    fleet_with_job(|fleet| fleet.refusing_worker = Some(WORKER.to_owned()), LONG_WORK)
}

fn check_queued_for(fleet: &mut Fleet, ms: u64) {
    let until = fleet.now + ms;
    while fleet.now < until {
        fleet.advance(20);
        assert_eq!(fleet.status(JOB), JobStatus::default(), "at {}", fleet.now);
    }
    assert_eq!(fleet.starts, 0);
}

/// Runs the fleet until the job is shown as started. Fails if that takes longer than
/// `SHOWN_MS` from the start.
fn check_shown(fleet: &mut Fleet) {
    let until = fleet.now + PLACED_MS;
    while fleet.starts == 0 && fleet.now < until {
        assert!(!fleet.status(JOB).has_started, "at {}", fleet.now);
        fleet.advance(20);
    }
    assert!(fleet.starts > 0, "nothing has started");
    fleet.advance(SHOWN_MS);
    assert_eq!(fleet.status(JOB), JobStatus { outcome: None, has_started: true });
    fleet.assert_no_violations();
}

/// Every start is refused: the job counted as started from its first placement.
#[test]
fn job_with_refused_starts_is_queued() {
    let mut fleet = fleet_with_refused_job();
    check_queued_for(&mut fleet, DELAY_MS);
    fleet.refusing_worker = None;
    check_shown(&mut fleet);
}

/// The same under an owner that recovers in between, which read "started" from the store.
#[test]
fn job_with_refused_starts_is_queued_under_the_next_owner() {
    let mut fleet = fleet_with_refused_job();
    check_queued_for(&mut fleet, DELAY_MS);
    fleet.replace_owner(false);
    check_queued_for(&mut fleet, DELAY_MS);
    fleet.refusing_worker = None;
    check_shown(&mut fleet);
}

/// A start without an answer counted as carried out.
#[test]
fn job_with_an_unanswered_start_is_queued() {
    let delay = |fleet: &mut Fleet| fleet.delayed_worker = Some(WORKER.to_owned());
    let mut fleet = fleet_with_job(delay, LONG_WORK);
    check_queued_for(&mut fleet, DELAY_MS);
    fleet.delayed_worker = None;
    check_shown(&mut fleet);
}

/// A start that is carried out, but whose answer is lost, is shown by the next report.
#[test]
fn job_whose_start_is_only_reported_is_active() {
    let mute = |fleet: &mut Fleet| fleet.mute_worker = Some(WORKER.to_owned());
    let mut fleet = fleet_with_job(mute, LONG_WORK);
    check_shown(&mut fleet);
}

/// A placement that no owner has ordered counted as a start under the next one.
#[test]
fn job_that_was_only_placed_is_queued_under_the_next_owner() {
    let mut fleet = fleet_with_job(|_| {}, LONG_WORK);
    fleet.advance(20);
    let batch = fleet.in_flight.take().expect("a batch");
    assert!(!batch.starts.is_empty(), "a start is planned");
    fleet.persist(&batch);
    assert!(!fleet.status(JOB).has_started);
    fleet.replace_owner(false);
    check_shown(&mut fleet);
}

/// A placement that is stored too late to be ordered counted as a start.
#[test]
fn job_that_is_placed_too_late_is_queued() {
    let mut fleet = fleet_with_job(|_| {}, LONG_WORK);
    fleet.advance(20);
    fleet.store_is_up = false;
    fleet.worker(WORKER).is_draining = true;
    fleet.list_workers();
    fleet.advance(400);
    fleet.store_is_up = true;
    check_queued_for(&mut fleet, DELAY_MS);
    fleet.worker(WORKER).is_draining = false;
    fleet.list_workers();
    check_shown(&mut fleet);
}

/// The progress of a job need not tell of its start yet when the owner is lost. The next
/// one must not take the start back.
#[test]
fn job_stays_active_under_the_next_owner() {
    let mut fleet = fleet_with_job(|_| {}, LONG_WORK);
    check_shown(&mut fleet);
    fleet.worker(WORKER).is_reachable = false;
    fleet.replace_owner(false);
    let until = fleet.now + PLACED_MS;
    while fleet.now < until {
        fleet.advance(20);
        assert!(fleet.status(JOB).has_started, "at {}", fleet.now);
    }
    fleet.worker(WORKER).is_reachable = true;
    fleet.advance(PLACED_MS);
    assert_eq!(fleet.status(JOB).outcome, Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// A job that ends before its start is recorded is shown with both.
#[test]
fn job_of_short_tasks_is_completed_and_started() {
    let mut fleet = fleet_with_job(|_| {}, SHORT_WORK);
    fleet.advance(SHOWN_MS);
    let completed = JobStatus { outcome: Some(JobOutcome::Completed), has_started: true };
    assert_eq!(fleet.status(JOB), completed);
}

/// A job that is cancelled while its starts are refused has not started.
#[test]
fn cancelled_job_with_refused_starts_has_not_started() {
    let mut fleet = fleet_with_refused_job();
    fleet.advance(DELAY_MS);
    fleet.cancel(JOB);
    check_queued_for(&mut fleet, DELAY_MS);
}

/// A gang counts as started with its first member: the others may be refused.
#[test]
fn gang_that_is_refused_in_part_is_active() {
    let mut fleet = Fleet::new(2, cores(2));
    fleet.advance(100);
    fleet.refusing_worker = Some("w1".to_owned());
    let gang = StepSpec { gang: true, ..step(4, cores(1)) };
    fleet.submit(JOB.0, job(vec![gang]), LONG_WORK);
    check_shown(&mut fleet);
}
