//! Run times that are learned from finished runs. The loads are those of the users'
//! deployments: declared times that are wrong by up to nine tenths, and three tasks of a
//! hundred that take seven times as long as the others.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::order::StopReason;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::run_time::RunTimesRecord;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Steps in which the fake fleet advances; the error of each time that it measures.
const TICK_MS: u64 = 20;

fn work(work_ms: u64) -> Work {
    Work { work_ms, fails: false }
}

fn declared(estimate_ms: u64) -> StepSpec {
    StepSpec { estimate_ms, ..step(1, cores(1)) }
}

/// A fleet whose owner learns run times.
fn learning_fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count, cores(8));
    fleet.features.learn_run_times = true;
    fleet.replace_owner(true);
    fleet.advance(100);
    fleet
}

/// Runs jobs of one task each, given as declared and actual time, and returns the
/// expected time of each as of its submission.
fn run_jobs<I>(fleet: &mut Fleet, first: u64, jobs: I) -> Vec<u64>
where
    I: IntoIterator<Item = (u64, u64)>,
{
    let mut expected = Vec::new();
    for (key, (declared_ms, work_ms)) in (first..).zip(jobs) {
        let key = fleet.submit(key, job(vec![declared(declared_ms)]), work(work_ms));
        expected.push(expected_ms(fleet, key));
        fleet.advance(work_ms + 200);
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    }
    expected
}

/// Expected run time of the first step of an open job.
fn expected_ms(fleet: &Fleet, key: JobKey) -> u64 {
    let owner = fleet.owner.as_ref().expect("the fleet has an owner");
    owner.step_run_ms(key, 0).expect("the job is open")
}

/// Expected run time of a job that is submitted now, and does not run.
fn expected_of_new(fleet: &mut Fleet, key: u64, step: StepSpec) -> u64 {
    let key = fleet.submit(key, job(vec![step]), work(100));
    let expected = expected_ms(fleet, key);
    fleet.cancel(key);
    expected
}

#[track_caller]
fn check_about(value: u64, target: u64, percent: u64) {
    let error = value.abs_diff(target);
    assert!(error * 100 <= target * percent, "{value} is not within {percent}% of {target}");
}

/// Tasks of 1 s, declared as a tenth up to 1.9 s.
fn wrong_by_nine_tenths(count: u64) -> impl Iterator<Item = (u64, u64)> {
    (0..count).map(|index| (100 + index * 7 % 19 * 100, 1_000))
}

#[test]
fn without_the_feature_the_declared_time_counts() {
    let mut fleet = Fleet::new(2, cores(8));
    let expected = run_jobs(&mut fleet, 1, wrong_by_nine_tenths(30));
    let declared: Vec<u64> = wrong_by_nine_tenths(30).map(|(declared, _)| declared).collect();
    assert_eq!(expected, declared);
    assert!(!fleet.store.contains_key(&RecordKey::RunTimes));
}

#[test]
fn declared_times_that_tell_nothing_are_left_aside() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, wrong_by_nine_tenths(100));
    for declared_ms in [200, 1_000, 1_900] {
        let expected = expected_of_new(&mut fleet, 1_000 + declared_ms, declared(declared_ms));
        check_about(expected, 1_000, 35);
    }
}

#[test]
fn declared_times_that_are_all_too_low_by_one_factor_are_scaled() {
    let mut fleet = learning_fleet(2);
    let jobs = (0..60).map(|index| (100 + index % 4 * 200, 300 + index % 4 * 600));
    run_jobs(&mut fleet, 1, jobs);
    check_about(expected_of_new(&mut fleet, 1_000, declared(200)), 600, 35);
    check_about(expected_of_new(&mut fleet, 1_001, declared(700)), 2_100, 35);
}

#[test]
fn first_job_is_expected_to_take_what_it_declares() {
    let mut fleet = learning_fleet(1);
    assert_eq!(expected_of_new(&mut fleet, 1, declared(700)), 700);
}

#[test]
fn tail_is_in_the_distribution_and_not_in_the_middle() {
    let mut fleet = learning_fleet(2);
    let tail = |index| if index % 33 == 16 { 3_500 } else { 500 };
    run_jobs(&mut fleet, 1, (0..165).map(|index| (500, tail(index))));
    let key = fleet.submit(1_000, job(vec![declared(500)]), work(500));
    let owner = fleet.owner.as_ref().expect("the fleet has an owner");
    let quantile = |milli| owner.step_run_quantile_ms(key, 0, milli).expect("the job is open");
    check_about(quantile(500), 500, 15);
    check_about(quantile(900), 500, 15);
    check_about(quantile(990), 3_500, 25);
    // The mean of the load is 591 ms.
    check_about(expected_ms(&fleet, key), 591, 15);
}

#[test]
fn stopped_and_failed_runs_are_no_short_runs() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, (0..20).map(|_| (1_000, 1_000)));
    for key in 100..160 {
        let key = fleet.submit(key, job(vec![declared(1_000)]), work(1_000));
        fleet.advance(200);
        fleet.cancel(key);
        fleet.advance(600);
    }
    for key in 200..220 {
        let fails = Work { work_ms: 40, fails: true };
        fleet.submit(key, job(vec![declared(1_000)]), fails);
        fleet.advance(1_000);
    }
    fleet.advance(20_000);
    check_about(expected_of_new(&mut fleet, 1_000, declared(1_000)), 1_000, 10);
}

#[test]
fn run_that_was_stopped_late_counts_as_a_long_one() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, (0..20).map(|_| (500, 500)));
    for key in 100..140 {
        let key = fleet.submit(key, job(vec![declared(500)]), work(60_000));
        fleet.advance(3_000);
        fleet.cancel(key);
        fleet.advance(600);
    }
    let expected = expected_of_new(&mut fleet, 1_000, declared(500));
    assert!(expected >= 1_500, "expected {expected}");
}

#[test]
fn run_that_resumed_from_a_checkpoint_is_only_the_rest() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, (0..20).map(|_| (1_000, 1_000)));
    for key in 100..140 {
        let spec = StepSpec { checkpoints: true, ..declared(1_000) };
        let key = fleet.submit(key, job(vec![spec]), work(1_000));
        fleet.advance(800);
        let now = fleet.now;
        for worker in fleet.workers.values_mut() {
            for run in worker.running.values_mut() {
                run.checkpoint = Some("0.8".to_owned());
                run.stops_at = Some(now);
            }
        }
        fleet.work.insert(key, work(200));
        fleet.advance(1_000);
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    }
    check_about(expected_of_new(&mut fleet, 1_000, declared(1_000)), 1_000, 15);
}

#[test]
fn slow_worker_does_not_make_tasks_long() {
    let mut fleet = learning_fleet(2);
    let labels = ["fast", "slow"];
    for (name, label) in ["w0", "w1"].iter().zip(labels) {
        fleet.worker(name).labels = BTreeSet::from([label.to_owned()]);
    }
    fleet.list_workers();
    for key in 1..160 {
        let is_slow = key % 2 == 0;
        let label = labels[usize::from(is_slow)].to_owned();
        let spec = StepSpec { required_label: Some(label), ..declared(600) };
        fleet.submit(key, job(vec![spec]), work(if is_slow { 1_500 } else { 600 }));
        fleet.advance(1_700);
    }
    check_about(expected_of_new(&mut fleet, 1_000, declared(600)), 600, 25);
}

#[test]
fn tasks_far_from_their_data_do_not_make_tasks_long() {
    let mut fleet = learning_fleet(2);
    let near = |rack: &str| StepSpec { data_rack: Some(rack.to_owned()), ..declared(600) };
    for key in 1..160 {
        // No worker is on the rack of the data of every other job.
        let is_far = key % 2 == 0;
        let rack = if is_far { "rack-none" } else { "rack-a" };
        fleet.submit(key, job(vec![near(rack)]), work(if is_far { 1_800 } else { 600 }));
        fleet.advance(2_000);
    }
    check_about(expected_of_new(&mut fleet, 1_000, near("rack-a")), 600, 25);
}

#[test]
fn tasks_of_one_step_tell_of_each_other() {
    let mut fleet = learning_fleet(1);
    let spec = StepSpec { task_count: 40, ..declared(300) };
    let key = fleet.submit(1, job(vec![spec]), work(1_500));
    fleet.advance(1_800);
    assert_eq!(fleet.outcome(key), None);
    check_about(expected_ms(&fleet, key), 1_500, 15);
}

#[test]
fn successor_knows_what_was_learned_from_the_record() {
    for is_clean in [false, true] {
        let mut fleet = learning_fleet(2);
        run_jobs(&mut fleet, 1, wrong_by_nine_tenths(100));
        let before = expected_of_new(&mut fleet, 1_000, declared(1_900));
        fleet.replace_owner(is_clean);
        fleet.advance(100);
        let after = expected_of_new(&mut fleet, 1_001, declared(1_900));
        // An owner that ended at once has lost what it learned in the last seconds.
        check_about(after, before, 10);
        fleet.assert_no_violations();
    }
}

#[test]
fn successor_without_the_record_takes_what_jobs_declare() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, wrong_by_nine_tenths(60));
    let running = fleet.submit(500, job(vec![declared(1_900)]), work(1_000));
    fleet.advance(500);
    fleet.store.remove(&RecordKey::RunTimes);
    fleet.replace_owner(false);
    // The run began under the former owner: its rest is no run of a short task.
    fleet.advance(2_000);
    assert_eq!(fleet.outcome(running), Some(JobOutcome::Completed));
    assert_eq!(expected_of_new(&mut fleet, 1_000, declared(1_900)), 1_900);
    fleet.assert_no_violations();
}

#[test]
fn state_and_record_stay_bounded_under_many_images() {
    let mut fleet = learning_fleet(4);
    for key in 1..=1_200 {
        let image = format!("image-{key}");
        fleet.submit(key, job(vec![StepSpec { image, ..declared(100) }]), work(100));
        fleet.advance(40);
    }
    fleet.advance(6_000);
    let owner = fleet.owner.as_ref().expect("the fleet has an owner");
    assert!(owner.run_time_sources() <= 256, "{} sources", owner.run_time_sources());
    let record = &fleet.store[&RecordKey::RunTimes];
    assert!(record.len() <= 16_384, "{} bytes", record.len());
    RunTimesRecord::decode(record).expect("a valid record");
    fleet.assert_no_violations();
}

#[test]
fn record_that_is_out_of_range_is_refused() {
    let mut fleet = learning_fleet(2);
    run_jobs(&mut fleet, 1, wrong_by_nine_tenths(40));
    let record = fleet.store[&RecordKey::RunTimes].clone();
    RunTimesRecord::decode(&record).expect("a valid record");
    for cut in 1..record.len() {
        // No bytes of the store may end the process; that each is refused is not said.
        let _: bool = RunTimesRecord::decode(&record[cut..]).is_ok();
    }
    assert!(RunTimesRecord::decode(&[0xff; 40]).is_err());
}

#[test]
fn comparison_of_predicted_and_seen_times_is_reported() {
    let mut fleet = learning_fleet(2);
    // Runs, and the sums of the sizes of their errors.
    let (mut runs, mut declared, mut learned) = (0, 0, 0);
    for round in 0..10 {
        run_jobs(&mut fleet, 1 + round * 100, wrong_by_nine_tenths(20));
        let (time, catalog) = (fleet.time(), &fleet.catalog);
        let owner = fleet.owner.as_mut().expect("the fleet has an owner");
        owner.explain(time, time.0, catalog);
        for event in owner.take_events() {
            if let DispatcherEvent::RunTimesCompared { report, .. } = event {
                runs += report.runs;
                declared += report.declared_error_milli * report.runs;
                learned += report.learned_error_milli * report.runs;
            }
        }
    }
    assert!(runs >= 10, "{runs} runs were compared");
    assert!(learned * 2 < declared, "errors {learned} and {declared} of {runs} runs");
}

/// A task of ten minutes gains less than one percent in the time after which others count
/// as stalled, and was stopped again and again.
#[test]
fn long_task_with_slow_progress_is_not_stopped_as_stalled() {
    for (learns, stalls) in [(true, false), (false, true)] {
        let mut fleet = Fleet::new(1, cores(8));
        fleet.features.learn_run_times = learns;
        fleet.replace_owner(true);
        fleet.worker("w0").is_stalled = true;
        fleet.submit(1, job(vec![declared(600_000)]), work(600_000));
        let mut stopped = false;
        for _ in 0..400 {
            fleet.now += TICK_MS;
            fleet.poll("w0");
            let now = TimeMs(fleet.now);
            if let Some(owner) = &mut fleet.owner {
                owner.place_tasks(now, now.0, &fleet.catalog);
                for order in owner.take_orders() {
                    stopped |=
                        matches!(order.order, Order::Stop { reason: StopReason::Stalled, .. });
                    fleet.send_order("w0", order.worker, &order.order);
                }
            }
            fleet.store_batch();
        }
        assert_eq!(stopped, stalls, "learns: {learns}");
    }
}
