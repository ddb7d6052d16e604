//! Tests of the checkpoints of gangs: a gang that does not start again from one
//! checkpoint never comes together.

mod workload_fake;

use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record::StepProgress;
use cowslipport_lib::workload::record::TaskProgress;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MAX_MS;
use crate::workload_fake::Work;
use crate::workload_fake::checkpoint_at;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const WORK: Work = Work { work_ms: 10_000, fails: false };
const MEMBERS: u32 = 4;

/// A job of one step with a task on each of four workers.
fn start_step(fleet: &mut Fleet, gang: bool) -> JobKey {
    let spec = StepSpec { gang, checkpoints: true, ..step(MEMBERS, cores(1)) };
    let key = fleet.submit(1, job(vec![spec]), WORK);
    fleet.advance(100);
    assert_eq!(fleet.running(), MEMBERS as usize);
    key
}

fn start_gang(fleet: &mut Fleet) -> JobKey {
    start_step(fleet, true)
}

/// Attempts and checkpoints of the running tasks, in order of their index.
fn running(fleet: &Fleet) -> Vec<(u32, Option<String>)> {
    let mut runs: Vec<(TaskName, u32, Option<String>)> = Vec::new();
    for worker in fleet.workers.values().filter(|worker| worker.is_up) {
        let running = worker.running.iter();
        runs.extend(running.map(|(task, run)| (*task, run.attempt, run.checkpoint.clone())));
    }
    runs.sort_unstable();
    runs.into_iter().map(|(_, attempt, checkpoint)| (attempt, checkpoint)).collect()
}

/// Waits until the tasks have ended and started again.
fn wait_for_start(fleet: &mut Fleet) {
    for is_empty in [true, false] {
        let until = fleet.now + 2 * LEASE_MAX_MS;
        while running(fleet).is_empty() != is_empty {
            fleet.advance(20);
            assert!(fleet.now < until, "the tasks do not start again");
        }
    }
}

fn assert_gang_runs(fleet: &Fleet, attempt: u32, checkpoint: &str) {
    assert_eq!(running(fleet), vec![(attempt, Some(checkpoint.to_owned())); MEMBERS as usize]);
}

fn assert_completes(fleet: &mut Fleet, key: JobKey) {
    fleet.advance(WORK.work_ms);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// Guards against a lost member that resumes from its last report while the others
/// resume from their later ends (review 7).
#[test]
fn gang_resumes_from_one_checkpoint_after_a_member_is_lost() {
    let mut fleet = Fleet::new(4, cores(1));
    let key = start_gang(&mut fleet);
    fleet.advance(600);
    fleet.unpolled_worker = Some("w3".to_owned());
    fleet.advance(1_000);
    fleet.restart_worker("w3");
    fleet.unpolled_worker = None;
    wait_for_start(&mut fleet);
    assert_gang_runs(&fleet, 2, &checkpoint_at(1_500));
    assert_completes(&mut fleet, key);
}

/// Guards against a member whose report arrives last and takes work from the gang.
#[test]
fn late_report_of_a_running_member_takes_no_work() {
    let mut fleet = Fleet::new(4, cores(1));
    let key = start_gang(&mut fleet);
    fleet.advance(600);
    let (now, worker) = (fleet.time(), &fleet.workers["w0"]);
    let late = worker.report(now, LeaseGrant::None);
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.advance(1_000);
    let owner = fleet.owner.as_mut().expect("an owner");
    let id = owner.worker_id("w0");
    owner.worker_reported(now, id, &late);
    fleet.unpolled_worker = None;
    for name in ["w0", "w1", "w2", "w3"] {
        fleet.restart_worker(name);
    }
    wait_for_start(&mut fleet);
    assert_gang_runs(&fleet, 2, &checkpoint_at(1_500));
    assert_completes(&mut fleet, key);
}

/// Guards against the loss of the work that only the end of a stopped member has,
/// whether its end arrives before or after those of the others.
#[test]
fn gang_resumes_from_the_checkpoint_of_a_stop() {
    for name in ["w0", "w3"] {
        let mut fleet = Fleet::new(4, cores(1));
        let key = start_gang(&mut fleet);
        fleet.advance(600);
        let now = fleet.now;
        let worker = fleet.worker(name);
        let (task, run) = worker.running.first_key_value().expect("a member");
        let (task, since) = (*task, run.works_since.expect("the gang works"));
        worker.stop(now, task, 1);
        fleet.advance(600);
        assert_gang_runs(&fleet, 2, &checkpoint_at(now + workload_fake::STOP_MS - since));
        assert_completes(&mut fleet, key);
    }
}

/// Guards against members that a new owner starts from different checkpoints, because
/// the former one has acknowledged the ends of some of them.
#[test]
fn successor_starts_a_gang_from_one_checkpoint() {
    let mut fleet = Fleet::new(5, cores(1));
    let key = start_gang(&mut fleet);
    fleet.advance(600);
    let lost = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let lost = lost.expect("a member").name.clone();
    fleet.unpolled_worker = Some(lost.clone());
    fleet.advance(1_000);
    fleet.worker(&lost).is_up = false;
    fleet.unpolled_worker = None;
    fleet.advance(500);
    assert!(fleet.workers.values().all(|worker| worker.ended.is_empty()), "ends are acknowledged");
    fleet.replace_owner(false);
    wait_for_start(&mut fleet);
    assert_gang_runs(&fleet, 2, &checkpoint_at(1_500));
    assert_completes(&mut fleet, key);
}

/// Guards against a successor that keeps the different checkpoints of a record that an
/// earlier version has written.
#[test]
fn gang_of_an_earlier_record_starts_from_one_checkpoint() {
    let mut fleet = Fleet::new(4, cores(1));
    fleet.advance(WORK.work_ms);
    let key = JobKey(1);
    let tasks = (1..=MEMBERS).map(|half_seconds| TaskProgress {
        attempt: 3,
        checkpoint: Some(checkpoint_at(u64::from(half_seconds) * 500)),
        ..TaskProgress::default()
    });
    let step_progress = StepProgress { occurrence: 0, step: 0, tasks: tasks.collect() };
    let progress = Progress { steps: vec![step_progress], epoch: 1, ..Progress::default() };
    fleet.store.insert(RecordKey::Progress(key), progress.encode());
    let spec = StepSpec { gang: true, checkpoints: true, ..step(MEMBERS, cores(1)) };
    fleet.jobs.insert(key, job(vec![spec]));
    fleet.work.insert(key, WORK);
    fleet.replace_owner(true);
    fleet.advance(100);
    let runs = running(&fleet);
    assert_eq!(runs.len(), MEMBERS as usize);
    assert!(runs.iter().all(|run| *run == runs[0] && run.0 == 4 && run.1.is_some()), "{runs:?}");
    assert_completes(&mut fleet, key);
}

/// Guards against tasks that get the checkpoint of another task of their step.
#[test]
fn tasks_outside_a_gang_resume_from_their_own_checkpoints() {
    let mut fleet = Fleet::new(4, cores(1));
    start_step(&mut fleet, false);
    let mut expected = Vec::new();
    for worker in fleet.workers.values_mut() {
        for (task, run) in &mut worker.running {
            run.checkpoint = Some(task.index.to_string());
            expected.push((task.index, (2, run.checkpoint.clone())));
        }
    }
    expected.sort_unstable();
    fleet.advance(100);
    for name in ["w0", "w1", "w2", "w3"] {
        fleet.restart_worker(name);
    }
    fleet.advance(60);
    fleet.replace_owner(true);
    fleet.advance(100);
    let runs = running(&fleet);
    assert_eq!(runs, expected.into_iter().map(|(_, run)| run).collect::<Vec<_>>());
    fleet.assert_no_violations();
}
