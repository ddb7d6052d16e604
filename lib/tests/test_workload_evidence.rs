//! What the owner may conclude from answers, records and lists that do not tell all.

mod workload_fake;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record::RecordedPhase;
use cowslipport_lib::workload::record::RecordedPlacement;
use cowslipport_lib::workload::record::StepProgress;
use cowslipport_lib::workload::record::TaskProgress;

use crate::workload_fake::FORMER_RENEWS_MS;
use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const LONG_WORK: Work = Work { work_ms: 60_000, fails: false };
/// Time for which the clock of a former incarnation is ahead of the present one.
const FORMER_RUN_MS: u64 = 20_000;
/// A task that may run elsewhere must have started within this time: the longest lease,
/// 2% for the speed of the worker's clock and the slack for its estimate.
const LONGEST_WAIT_MS: u64 = 10_500;
/// A start without an answer may renew the leases of a worker that has restarted this
/// much later.
const LATE_START_MS: u64 = 3_000;

/// Sets whether a worker gets no new tasks.
fn set_draining(fleet: &mut Fleet, name: &str, is_draining: bool) {
    fleet.worker(name).is_draining = is_draining;
    fleet.list_workers();
}

/// A placement and the record that its worker is unreachable are stored at once, and the
/// worker answers again before they are. A successor would count the leases by the
/// record, so the start must wait until the record is dropped.
#[test]
fn nothing_starts_while_the_store_holds_that_the_worker_is_unreachable() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.store_is_up = false;
    fleet.advance(40);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(3_000);
    fleet.store_is_up = true;
    fleet.advance(20);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(20);
    fleet.replace_owner(false);
    fleet.worker("w0").is_reachable = false;
    set_draining(&mut fleet, "w1", false);
    fleet.advance(20_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.assert_no_violations();
}

/// A worker was unreachable, its tasks were released, and it still runs them when it is
/// back. Until they have stopped, new tasks would exceed its capacity.
#[test]
fn worker_that_runs_unassigned_tasks_gets_no_new_ones() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(4, cores(1))]), LONG_WORK);
    fleet.advance(500);
    assert_eq!(fleet.running(), 4);
    fleet.worker("w0").is_reachable = false;
    // The worker keeps longer leases than its contract allows.
    let until = fleet.now + 60_000;
    fleet.worker("w0").lease_until = until;
    fleet.advance(6_000);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(2_000);
    assert_eq!(fleet.running(), 4);
    fleet.assert_no_violations();
}

/// More ends wait on a worker than one report lists, because the store is down. Tasks
/// whose ends are not listed yet must not start again (review 6).
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_start_again() {
    let mut fleet = Fleet::new(1, cores(64));
    let request = Resources { cpu_milli: 50, memory_bytes: 1_000_000, accelerators: 0 };
    let work = Work { work_ms: 700, fails: false };
    let keys: Vec<_> =
        (1..=4).map(|key| fleet.submit(key, job(vec![step(300, request)]), work)).collect();
    while fleet.starts < 1_200 {
        fleet.advance(20);
        assert!(fleet.now < 10_000, "{} of 1,200 tasks have started", fleet.starts);
    }
    fleet.store_is_up = false;
    fleet.advance(4_000);
    fleet.store_is_up = true;
    fleet.advance(6_000);
    for key in keys {
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "{key}");
    }
    assert_eq!(fleet.starts, 1_200);
    fleet.assert_no_violations();
}

/// The record of an incarnation of a node is stored late, when the next one is the owner
/// and renews leases without the store. Its successor must not take the owner for ended.
#[test]
fn late_record_of_a_node_ends_no_later_incarnation() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    let lost_at = fleet.now;
    let former = NodeIncarnation { node: format!("n{}", fleet.epoch), incarnation: 0 };
    fleet.replace_owner(false);
    fleet.worker("w0").is_reachable = false;
    set_draining(&mut fleet, "w1", false);
    let now = fleet.time();
    fleet.owner.as_mut().expect("an owner").node_started(now, &former);
    while fleet.now < lost_at + FORMER_RENEWS_MS - 100 {
        let renewed_until = fleet.now + LEASE_MS;
        fleet.worker("w0").lease_until = renewed_until;
        fleet.advance(100);
    }
    fleet.advance(20_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.assert_no_violations();
}

/// The time of day of a start orders the incarnations of a node.
#[test]
fn numbers_of_incarnations_rise_with_their_starts() {
    let earlier = NodeIncarnation::number(1_796_597_833_333, u64::MAX);
    assert!(earlier < NodeIncarnation::number(1_796_597_833_334, 0));
    assert_ne!(earlier, NodeIncarnation::number(1_796_597_833_333, 1));
}

/// A record with a phase that this version does not know must not be read as one with
/// fewer tasks, which gives them the workers and attempts of others.
#[test]
fn record_with_an_unknown_phase_is_refused() {
    let placed = |worker: &str, attempt| TaskProgress {
        phase: RecordedPhase::Placed(RecordedPlacement {
            worker: worker.to_owned(),
            incarnation_unix_ms: None,
            is_lease_known: false,
        }),
        attempt,
        failures: 0,
        checkpoint: None,
    };
    let tasks = vec![placed("w0", 5), placed("w1", 7)];
    let steps = vec![StepProgress { occurrence: 0, step: 0, tasks }];
    let mut bytes = Progress { outcome: None, steps, epoch: 1, has_started: true }.encode();
    let phases = bytes.windows(3).position(|window| window == [2, 1, 1]).expect("two phases");
    assert!(Progress::decode(&bytes).is_ok());
    bytes[phases + 1] = 9;
    assert!(Progress::decode(&bytes).is_err());
}

/// Has a task started on `w0` while the answers to starts are lost, or are not. The owner
/// does not know that the worker has restarted.
fn start_on_restarted_worker(fleet: &mut Fleet, is_answered: bool) {
    fleet.mute_worker = (!is_answered).then(|| "w0".to_owned());
    fleet.advance(FORMER_RUN_MS);
    set_draining(fleet, "w1", true);
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.restart_worker_unnoticed("w0");
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(100);
    assert_eq!(fleet.worker("w0").running.len(), 1);
    set_draining(fleet, "w1", false);
}

/// Cuts `w0` off. Its task must run elsewhere within `wait_ms`, but not too early.
fn check_cut_off_worker(fleet: &mut Fleet, wait_ms: u64) {
    fleet.worker("w0").is_reachable = false;
    fleet.unpolled_worker = None;
    fleet.advance(wait_ms + 1_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.worker("w1").running.len(), 1, "the task runs elsewhere");
}

/// A poll that was meant for a former incarnation is carried out and answered. The leases
/// of all tasks are longer from then on than the owner intended.
#[test]
fn answered_poll_by_a_former_clock_counts_as_a_lease() {
    let mut fleet = Fleet::new(2, cores(4));
    set_draining(&mut fleet, "w1", true);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(1_000);
    set_draining(&mut fleet, "w1", false);
    let (now, now_ms) = (fleet.time(), fleet.now);
    let worker = fleet.worker("w0");
    let lease = worker.renew(now_ms, worker.clock_ms(now_ms) + FORMER_RUN_MS);
    let report = worker.report(now, lease);
    let owner = fleet.owner.as_mut().expect("an owner");
    let id = owner.worker_id("w0");
    owner.worker_reported(now, id, &report);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// A start and a later poll are carried out by another incarnation than the owner knows,
/// and neither is answered. The task runs for the longest lease from the poll on.
#[test]
fn unanswered_poll_counts_as_a_lease() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, false);
    fleet.advance(2_000);
    let (now, now_ms) = (fleet.time(), fleet.now);
    fleet.worker("w0").renew(now_ms, FORMER_RUN_MS + LEASE_MS);
    let owner = fleet.owner.as_mut().expect("an owner");
    let id = owner.worker_id("w0");
    owner.worker_unreachable(now, id, Some(now));
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// A worker that has answered a new owner refuses calls of former ones, so that its tasks
/// need not wait for leases that a lost owner might still renew elsewhere.
#[test]
fn successor_that_heard_a_worker_waits_for_no_former_owner() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, false);
    fleet.unpolled_worker = None;
    fleet.replace_owner(false);
    fleet.advance(40);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS + LATE_START_MS);
}
