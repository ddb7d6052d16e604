//! Tests of starts on workers that have restarted or change while the starts wait for the
//! store.

mod workload_fake;

use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::dispatcher::WorkerActivity;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::Run;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const JOB: JobKey = JobKey(1);
/// Time until the store answers, in which the owner learns of all changes.
const OUTAGE_MS: u64 = 400;
const SETTLED_MS: u64 = 3_000;

fn labelled(task_count: u32) -> StepSpec {
    StepSpec { required_label: Some("kind".to_owned()), ..step(task_count, cores(1)) }
}

/// A fleet of one worker, with starts on it that the store has not recorded yet.
fn fleet_with_planned_starts(spec: StepSpec) -> Fleet {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    fleet.submit(1, job(vec![spec]), SHORT_WORK);
    fleet.advance(20);
    let batch = fleet.in_flight.as_ref().expect("a batch");
    assert!(!batch.starts.is_empty(), "starts are planned");
    fleet.store_is_up = false;
    fleet
}

fn dispatcher(fleet: &mut Fleet) -> &mut Dispatcher {
    fleet.owner.as_mut().expect("an owner")
}

/// Restarts the worker as one of another kind, with less capacity.
fn restart_as_another_kind(fleet: &mut Fleet) {
    fleet.restart_worker("w0");
    let worker = fleet.worker("w0");
    worker.labels.clear();
    worker.capacity = cores(2);
}

/// Lets the store answer after a change of the worker. Nothing may start there by what it
/// was before; the tasks start on another worker.
fn check_change<F>(change: F)
where
    F: FnOnce(&mut Fleet),
{
    let mut fleet = fleet_with_planned_starts(labelled(4));
    change(&mut fleet);
    fleet.advance(OUTAGE_MS);
    fleet.store_is_up = true;
    fleet.advance(SETTLED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.starts, 0);
    fleet.add_worker("w1", "b", cores(4));
    fleet.list_workers();
    fleet.advance(SETTLED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.outcome(JOB), Some(JobOutcome::Completed));
}

/// A placement is stored after its worker has restarted as one of another kind: the task
/// started without the label that it requires, and over the capacity.
#[test]
fn planned_task_does_not_start_on_a_restarted_worker() {
    check_change(restart_as_another_kind);
}

/// The same while the registry still has the entry of the former incarnation.
#[test]
fn planned_task_does_not_start_by_a_former_entry() {
    check_change(|fleet| {
        restart_as_another_kind(fleet);
        fleet.worker("w0").cannot_register = true;
    });
}

/// The same while only the registry shows the restart.
#[test]
fn planned_task_does_not_start_by_a_former_report() {
    check_change(|fleet| {
        fleet.unpolled_worker = Some("w0".to_owned());
        restart_as_another_kind(fleet);
        fleet.list_workers();
    });
}

/// The same after two restarts, of which the owner sees the second one only.
#[test]
fn planned_task_does_not_start_after_two_restarts() {
    check_change(|fleet| {
        fleet.restart_worker("w0");
        fleet.now += 20;
        restart_as_another_kind(fleet);
    });
}

/// A start that waits for the store must not reach a worker that is leaving.
#[test]
fn planned_task_does_not_start_on_a_draining_worker() {
    check_change(|fleet| {
        fleet.worker("w0").is_draining = true;
        fleet.list_workers();
    });
}

/// The same for one that has left the registry.
#[test]
fn planned_task_does_not_start_on_a_removed_worker() {
    check_change(|fleet| {
        fleet.worker("w0").is_unlisted = true;
        dispatcher(fleet).worker_unlisted("w0");
    });
}

/// The same for one that is to be maintained.
#[test]
fn planned_task_does_not_start_on_a_cordoned_worker() {
    check_change(|fleet| dispatcher(fleet).set_cordoned("w0", true));
}

/// The same for one whose data centre is out of service.
#[test]
fn planned_task_does_not_start_in_a_data_centre_that_is_out() {
    check_change(|fleet| dispatcher(fleet).set_data_centre_out("a", true));
}

/// A run that the owner has not assigned takes room until it has stopped.
#[test]
fn planned_task_does_not_start_beside_an_unassigned_run() {
    let mut fleet = fleet_with_planned_starts(labelled(4));
    let other = JobKey(9);
    fleet.jobs.insert(other, job(vec![step(1, cores(1))]));
    let task = TaskName { job: other, occurrence: 0, step: 0, index: 0 };
    let run = Run {
        attempt: 1,
        started_at: fleet.now,
        works_since: None,
        until: None,
        fails: false,
        stops_at: None,
        checkpoint: None,
        percent: 100,
        request: cores(1),
    };
    let lease_until = fleet.now + LEASE_MS;
    let worker = fleet.worker("w0");
    worker.running.insert(task, run);
    worker.lease_until = lease_until;
    fleet.advance(40);
    fleet.store_is_up = true;
    fleet.advance(2 * SETTLED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.outcome(JOB), Some(JobOutcome::Completed));
}

/// Tasks that were planned for a former incarnation of the same kind start anew.
#[test]
fn planned_tasks_of_a_restarted_worker_start_later() {
    let mut fleet = fleet_with_planned_starts(labelled(4));
    fleet.restart_worker("w0");
    fleet.advance(OUTAGE_MS);
    fleet.store_is_up = true;
    fleet.advance(SETTLED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.outcome(JOB), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 4);
}

/// One member's worker restarts as another kind: the gang starts as a whole later, and
/// only with the label.
#[test]
fn planned_gang_starts_as_a_whole_after_a_restart() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let spread = StepSpec { gang: true, max_tasks_per_worker: Some(2), ..labelled(4) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    fleet.advance(20);
    fleet.store_is_up = false;
    restart_as_another_kind(&mut fleet);
    fleet.advance(OUTAGE_MS);
    fleet.store_is_up = true;
    fleet.advance(SETTLED_MS);
    fleet.assert_no_violations();
    fleet.add_worker("w2", "b", cores(4));
    fleet.list_workers();
    fleet.advance(2 * SETTLED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.outcome(JOB), Some(JobOutcome::Completed));
}

/// A worker restarts with other labels and less capacity, and its registry entry is
/// still that of its former incarnation: tasks must not start there by that entry.
#[test]
fn restarted_worker_gets_no_tasks_by_its_former_entry() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    fleet.restart_worker("w0");
    fleet.worker("w0").cannot_register = true;
    fleet.worker("w0").labels.clear();
    fleet.worker("w0").capacity = cores(2);
    let required = StepSpec { required_label: Some("kind".to_owned()), ..step(1, cores(1)) };
    fleet.submit(1, job(vec![required]), SHORT_WORK);
    let any = fleet.submit(2, job(vec![step(3, cores(1))]), SHORT_WORK);
    fleet.advance(1_000);
    assert_eq!(fleet.starts, 0);
    fleet.worker("w0").cannot_register = false;
    fleet.advance(4_000);
    assert_eq!(fleet.outcome(any), Some(JobOutcome::Completed), "its own entry counts");
    assert_eq!(fleet.starts, 3);
    fleet.assert_no_violations();
}

/// The registry shows the restart of an idle worker, which is not polled: it must be
/// polled, or it would get no task any more.
#[test]
fn idle_worker_is_polled_after_a_restart() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    let activity = |fleet: &mut Fleet| {
        let owner = fleet.owner.as_mut().expect("an owner");
        let worker = owner.worker_id("w0");
        owner.activity(worker)
    };
    assert_eq!(activity(&mut fleet), WorkerActivity::Idle);
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.restart_worker("w0");
    fleet.list_workers();
    assert_eq!(activity(&mut fleet), WorkerActivity::Polled);
    fleet.unpolled_worker = None;
    fleet.advance(20);
    assert_eq!(activity(&mut fleet), WorkerActivity::Idle);
}
