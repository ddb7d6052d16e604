//! Jobs with several steps on workers that fail, under successive owners.

mod workload_fake;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::workload::advice::AdviceAnswer;
use cowslipport_lib::workload::catalog::ResourceLimit;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record::RecordedPhase;
use cowslipport_lib::workload::record::RecordedPlacement;
use cowslipport_lib::workload::record::StepProgress;
use cowslipport_lib::workload::record::TaskProgress;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::MAX_TASKS;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::MAX_RECORD_BYTES;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const ALWAYS_FAILS: Work = Work { work_ms: 100, fails: true };

fn task_name(job: JobKey, step: u32, index: u32) -> TaskName {
    TaskName { job, occurrence: 0, step, index }
}

fn long_running(task_count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(task_count, cores(1)) }
}

#[test]
fn steps_run_in_dependency_order_and_the_job_completes() {
    let mut fleet = Fleet::new(2, cores(4));
    let second = StepSpec { depends_on: vec![0], ..step(3, cores(1)) };
    let key = fleet.submit(1, job(vec![step(4, cores(1)), second]), SHORT_WORK);
    fleet.advance(3_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    let first_done = (0..4).map(|index| fleet.done[&task_name(key, 0, index)]).max();
    let second_done = (0..3).map(|index| fleet.done[&task_name(key, 1, index)]).min();
    assert!(second_done >= first_done.map(|at| at + SHORT_WORK.work_ms));
    fleet.assert_no_violations();
}

#[test]
fn cancelled_job_stops_and_does_not_start_again() {
    let mut fleet = Fleet::new(2, cores(2));
    let key = fleet.submit(1, job(vec![long_running(6)]), SHORT_WORK);
    fleet.advance(500);
    fleet.cancel(key);
    fleet.advance(1_000);
    assert_eq!(fleet.running(), 0);
    let starts = fleet.starts;
    fleet.replace_owner(false);
    fleet.advance(2_000);
    assert_eq!(fleet.starts, starts);
    fleet.assert_no_violations();
}

#[test]
fn job_fails_once_a_task_has_used_up_its_attempts() {
    let mut fleet = Fleet::new(4, cores(2));
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), ALWAYS_FAILS);
    fleet.advance(5_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Failed));
    assert_eq!(fleet.starts, 3);
    fleet.assert_no_violations();
}

#[test]
fn organisation_stays_within_its_limit() {
    let mut fleet = Fleet::new(4, cores(8));
    fleet.limit = ResourceLimit { cpu_milli: Some(5_000), ..ResourceLimit::default() };
    fleet.configure(2);
    for key in 1..=4 {
        fleet.submit(key, job(vec![step(4, cores(1))]), SHORT_WORK);
    }
    for _ in 0..100 {
        fleet.advance(100);
        assert!(fleet.running() <= 5, "{} run", fleet.running());
    }
    assert_eq!(fleet.done.len(), 16);
    fleet.assert_no_violations();
}

#[test]
fn lowered_limit_stops_new_starts_but_no_running_task() {
    let mut fleet = Fleet::new(4, cores(8));
    fleet.submit(1, job(vec![step(8, cores(1))]), Work { work_ms: 2_000, fails: false });
    fleet.advance(200);
    fleet.limit = ResourceLimit { cpu_milli: Some(1_000), ..ResourceLimit::default() };
    fleet.configure(2);
    let later = fleet.submit(2, job(vec![step(2, cores(1))]), SHORT_WORK);
    fleet.advance(1_500);
    assert_eq!(fleet.running(), 8);
    fleet.advance(5_000);
    assert_eq!(fleet.outcome(later), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

#[test]
fn nothing_starts_on_draining_workers_or_in_a_data_centre_out_of_service() {
    let mut fleet = Fleet::new(4, cores(4));
    fleet.owner.as_mut().expect("an owner").set_data_centre_out("b", true);
    fleet.worker("w0").is_draining = true;
    fleet.list_workers();
    fleet.submit(1, job(vec![step(8, cores(1))]), SHORT_WORK);
    fleet.advance(400);
    for (name, worker) in &fleet.workers {
        assert_eq!(worker.running.is_empty(), name != "w2", "{name}");
    }
    fleet.assert_no_violations();
}

#[test]
fn gang_starts_as_a_whole_or_not_at_all() {
    let mut fleet = Fleet::new(2, cores(2));
    let filler = fleet.submit(1, job(vec![step(2, cores(1))]), SHORT_WORK);
    fleet.advance(60);
    let gang = StepSpec { gang: true, ..step(4, cores(1)) };
    let key = fleet.submit(2, job(vec![gang]), SHORT_WORK);
    fleet.advance(300);
    assert_eq!(fleet.running(), 2, "no part of the gang runs");
    fleet.advance(3_000);
    assert_eq!(fleet.outcome(filler), Some(JobOutcome::Completed));
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

#[test]
fn step_keeps_its_largest_number_of_tasks_per_worker() {
    let mut fleet = Fleet::new(3, cores(8));
    let spread = StepSpec { max_tasks_per_worker: Some(2), ..step(6, cores(1)) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    fleet.advance(200);
    for worker in fleet.workers.values() {
        assert_eq!(worker.running.len(), 2);
    }
    fleet.assert_no_violations();
}

#[test]
fn tasks_start_only_on_workers_with_the_required_label() {
    let mut fleet = Fleet::new(3, cores(8));
    fleet.worker("w1").labels.insert("special".to_owned());
    fleet.list_workers();
    let special = StepSpec { required_label: Some("special".to_owned()), ..step(4, cores(1)) };
    fleet.submit(1, job(vec![special]), SHORT_WORK);
    fleet.advance(200);
    assert_eq!(fleet.worker("w1").running.len(), 4);
    fleet.assert_no_violations();
}

/// A worker that fails every task must not use up the attempts of the jobs
/// while other workers have free capacity.
#[test]
fn worker_that_fails_everything_is_avoided() {
    let mut fleet = Fleet::new(4, cores(4));
    fleet.worker("w0").fails_every_task = true;
    let keys: Vec<JobKey> =
        (1..=20).map(|key| fleet.submit(key, job(vec![step(2, cores(1))]), SHORT_WORK)).collect();
    fleet.advance(12_000);
    for key in keys {
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "{key}");
    }
    fleet.assert_no_violations();
}

#[test]
fn long_running_task_restarts_after_every_failure() {
    let mut fleet = Fleet::new(2, cores(4));
    let work = Work { work_ms: 800, fails: true };
    let key = fleet.submit(1, job(vec![long_running(1)]), work);
    fleet.advance(10_000);
    assert!(fleet.starts >= 8, "{} starts", fleet.starts);
    assert_eq!(fleet.outcome(key), None, "a long-running task has no limit of attempts");
    fleet.assert_no_violations();
}

/// A long-running task that needs a whole worker must not wait behind a queue
/// of short jobs, which would take each core as soon as it is free.
#[test]
fn long_running_task_is_placed_in_a_full_pool() {
    let mut fleet = Fleet::new(2, cores(4));
    for key in 1..=60 {
        fleet.submit(key, job(vec![step(4, cores(1))]), SHORT_WORK);
    }
    fleet.advance(300);
    let wide = StepSpec { long_running: true, ..step(1, cores(4)) };
    let key = fleet.submit(100, job(vec![wide]), SHORT_WORK);
    fleet.advance(2_000);
    let runs = fleet.workers.values().any(|w| w.running.contains_key(&task_name(key, 0, 0)));
    assert!(runs, "the long-running task runs");
    fleet.assert_no_violations();
}

#[test]
fn tasks_of_a_restarted_worker_start_again() {
    let mut fleet = Fleet::new(1, cores(4));
    let key = fleet.submit(1, job(vec![step(2, cores(1))]), SHORT_WORK);
    fleet.advance(300);
    fleet.restart_worker("w0");
    fleet.advance(3_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 4);
    fleet.assert_no_violations();
}

/// A long-running task must return to the worker on which it failed if no other
/// worker may take it. Here the other workers already run as many tasks of the
/// step as one worker may.
#[test]
fn long_running_task_returns_to_the_only_eligible_worker() {
    let mut fleet = Fleet::new(3, cores(8));
    let spread = StepSpec { max_tasks_per_worker: Some(2), ..long_running(5) };
    let work = Work { work_ms: 4_000, fails: true };
    let key = fleet.submit(1, job(vec![spread]), work);
    fleet.advance(3_500);
    for index in 1..5 {
        // The other tasks run on, so that only the first one fails.
        let task = task_name(key, 0, index);
        for worker in fleet.workers.values_mut() {
            if let Some(run) = worker.running.get_mut(&task) {
                run.until = None;
            }
        }
    }
    fleet.advance(2_000);
    assert_eq!(fleet.running(), 5);
    fleet.assert_no_violations();
}

/// A worker on which tasks stall, although it reports itself healthy, must not
/// hold up jobs for ever.
#[test]
fn stalled_tasks_start_on_other_workers() {
    let mut fleet = Fleet::new(3, cores(4));
    fleet.worker("w0").is_stalled = true;
    let keys: Vec<JobKey> =
        (1..=6).map(|key| fleet.submit(key, job(vec![step(2, cores(1))]), SHORT_WORK)).collect();
    fleet.advance(8_000);
    for key in keys {
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "{key}");
    }
    fleet.assert_no_violations();
}

/// Only the advice service knows which workers may run a step. One answer must
/// serve all tasks of the step, and no start may go out without a ticket.
#[test]
fn step_that_needs_advice_starts_only_with_tickets() {
    let mut fleet = Fleet::new(3, cores(8));
    fleet.needs_advice = true;
    fleet.configure(2);
    let key = fleet.submit(1, job(vec![step(4, cores(1))]), SHORT_WORK);
    fleet.advance(300);
    assert_eq!(fleet.starts, 0);
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    let questions = owner.advice_requests(now, now.0);
    assert_eq!(questions.len(), 1);
    assert_eq!(questions[0].workers.len(), 3);
    assert!(owner.advice_requests(now, now.0).is_empty(), "one call per step");
    let answer = AdviceAnswer {
        sent_at: now,
        granted: vec![("w1".to_owned(), "ticket".to_owned())],
        valid_ms: 3_000,
    };
    owner.handle_advice_answer(now, &questions[0], Some(&answer));
    fleet.advance(2_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    let expected = ("w1".to_owned(), Some("ticket".to_owned()));
    assert!(fleet.tickets.iter().all(|ticket| *ticket == expected), "{:?}", fleet.tickets);
    fleet.assert_no_violations();
}

/// A long-running task must reserve a worker whose memory will become free. The
/// worker with the most free cores is the wrong one here: a task that never
/// ends holds its memory.
#[test]
fn long_running_task_waits_where_memory_becomes_free() {
    let gigabytes = |count: u64| count * 1_000_000_000;
    let size = |cores: u64, memory_gb: u64| Resources {
        cpu_milli: cores * 1_000,
        memory_bytes: gigabytes(memory_gb),
        accelerators: 0,
    };
    let mut fleet = Fleet::new(2, size(16, 16));
    let pinned = StepSpec {
        long_running: true,
        required_label: Some("rack-a".to_owned()),
        ..step(1, size(1, 14))
    };
    fleet.submit(1, job(vec![pinned]), SHORT_WORK);
    fleet.advance(100);
    // The small tasks end one at a time, so that without a reservation there
    // would never be enough free memory for the large task.
    for key in 10..90 {
        let work = Work { work_ms: 300 + key % 7 * 90, fails: false };
        fleet.submit(key, job(vec![step(1, size(1, 4))]), work);
    }
    fleet.advance(300);
    let wide = StepSpec { long_running: true, ..step(1, size(1, 10)) };
    let key = fleet.submit(2, job(vec![wide]), SHORT_WORK);
    fleet.advance(2_000);
    let runs = fleet.workers.values().any(|w| w.running.contains_key(&task_name(key, 0, 0)));
    assert!(runs, "the long-running task runs");
    fleet.assert_no_violations();
}

/// Long-running steps wait for the limit of their organisation, not for
/// capacity. They must keep no worker from the jobs of others.
#[test]
fn steps_over_a_limit_reserve_no_workers() {
    let mut fleet = Fleet::new(3, cores(8));
    fleet.limit = ResourceLimit { cpu_milli: Some(2_000), ..ResourceLimit::default() };
    fleet.configure(2);
    for key in 1..=10 {
        let step = StepSpec { long_running: true, ..step(1, cores(1)) };
        fleet.submit(key, job(vec![step]), SHORT_WORK);
    }
    fleet.advance(500);
    assert_eq!(fleet.running(), 2, "the limit allows two tasks");
    let other = JobSpec { organisation: Some("other".to_owned()), ..job(vec![step(1, cores(1))]) };
    let other = fleet.submit(20, other, SHORT_WORK);
    fleet.advance(1_000);
    assert_eq!(fleet.outcome(other), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// Long-running steps wait for tickets of the advice service. They must keep no
/// worker from the jobs of other queues.
#[test]
fn steps_without_tickets_reserve_no_workers() {
    let mut fleet = Fleet::new(3, cores(8));
    fleet.needs_advice = true;
    fleet.configure(2);
    for key in 1..=10 {
        let step = StepSpec { long_running: true, ..step(1, cores(1)) };
        fleet.submit(key, job(vec![step]), SHORT_WORK);
    }
    fleet.advance(500);
    assert_eq!(fleet.running(), 0, "no step has a ticket");
    let other = JobSpec { queue: "other".to_owned(), ..job(vec![step(1, cores(1))]) };
    let other = fleet.submit(20, other, SHORT_WORK);
    fleet.advance(1_000);
    assert_eq!(fleet.outcome(other), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// The store refuses records over its limit. A job with the largest number of
/// tasks must fit although all of them have saved progress.
#[test]
fn largest_job_with_checkpoints_fits_into_a_record() {
    let tasks = u32::try_from(MAX_TASKS).expect("a small number");
    let mut fleet = Fleet::new(2, cores(MAX_TASKS));
    let work = Work { work_ms: 2_000, fails: false };
    let key = fleet.submit(1, job(vec![step(tasks, cores(1))]), work);
    fleet.advance(100);
    for worker in fleet.workers.values_mut() {
        for run in worker.running.values_mut() {
            run.checkpoint = Some("00000bb87a21d94b".to_owned());
        }
    }
    fleet.advance(3_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
}

/// Occurrences take more of a record than tasks of one step.
#[test]
fn record_of_most_occurrences_fits_without_checkpoints() {
    let occurrence = |occurrence| StepProgress {
        occurrence,
        step: 1,
        tasks: vec![TaskProgress {
            phase: RecordedPhase::Placed(RecordedPlacement {
                worker: format!("i-{:09}", occurrence % 1_000),
                incarnation_unix_ms: Some(1_700_000_000_000),
                is_lease_known: true,
            }),
            attempt: 100,
            failures: 100,
            checkpoint: None,
        }],
    };
    let tasks = u32::try_from(MAX_TASKS).expect("a small number");
    let steps = (0..tasks).map(occurrence).collect();
    let progress = Progress { outcome: None, steps, epoch: 1_000, has_started: true };
    let bytes = progress.encode().len();
    assert!(bytes < MAX_RECORD_BYTES, "{bytes} bytes");
}

/// A task that has failed on every worker with free capacity must be retried
/// there. In the run hunt-edb8-27 of pvbc-sched, such a task waited for ever for
/// the only other worker, which long-running tasks kept full.
#[test]
fn failed_task_does_not_wait_for_a_worker_that_stays_full() {
    let mut fleet = Fleet::new(2, cores(2));
    let filler = StepSpec { long_running: true, ..step(1, cores(2)) };
    fleet.submit(1, job(vec![filler]), Work { work_ms: 600_000, fails: false });
    fleet.advance(500);
    let failing = fleet.submit(2, job(vec![step(1, cores(1))]), Work { work_ms: 200, fails: true });
    fleet.advance(15_000);
    assert_eq!(fleet.outcome(failing), Some(JobOutcome::Failed), "all attempts were used up");
    fleet.assert_no_violations();
}

/// A worker that was cut off had completed a task, and its report arrives while
/// the record of a further attempt is being stored. The job ends, and another
/// job takes its place before the record is stored. The stored start belongs to
/// neither.
#[test]
fn start_of_an_ended_job_does_not_reach_the_next_job() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.submit(1, job(vec![step(2, cores(4))]), SHORT_WORK);
    fleet.advance(100);
    for worker in fleet.workers.values_mut() {
        worker.is_reachable = false;
    }
    // Both tasks complete, and then their leases expire.
    fleet.advance(LEASE_MS + 1_000);
    fleet.worker("w0").is_reachable = true;
    fleet.poll("w0");
    fleet.store_is_up = false;
    let now = fleet.time();
    let unix_now_ms = fleet.now;
    let owner = fleet.owner.as_mut().expect("an owner");
    owner.place_tasks(now, unix_now_ms, &fleet.catalog);
    let batch = owner.take_batch(now);
    assert_eq!(batch.starts.len(), 1, "the other task is placed again");
    fleet.worker("w1").is_reachable = true;
    fleet.poll("w1");
    let ended = fleet.owner.as_ref().expect("an owner").open_jobs();
    assert_eq!(ended, 0, "the late report ends the job");
    fleet.submit(2, job(vec![step(1, cores(1))]), SHORT_WORK);
    let owner = fleet.owner.as_mut().expect("an owner");
    owner.batch_stored(now, &batch, true);
    assert!(owner.take_orders().is_empty());
}
