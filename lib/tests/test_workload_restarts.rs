//! Tests of workers that restart under their names. Calls that were meant for the
//! former incarnation reach the new one, which grants longer leases than the owner
//! intends.

mod workload_fake;

use cowslipport_lib::generational_arena::GenerationalKey;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::JobId;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::StepKey;
use cowslipport_lib::workload::key::TaskKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MAX_MS;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::SLOW_START_MS;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const LONG_WORK: Work = Work { work_ms: 60_000, fails: false };
/// Time for which the clock of the former incarnation is ahead of the new one.
const FORMER_RUN_MS: u64 = 20_000;
/// A task that may run elsewhere must have started within this time: the longest
/// lease, 2% for the speed of the worker's clock and the slack for its estimate.
const LONGEST_WAIT_MS: u64 = 10_500;
/// A worker that has restarted may carry out a start that got no answer this much later,
/// which renews the leases of all its tasks.
const LATE_START_MS: u64 = 3_000;

/// Time after which a poll is given up.
const POLL_TIMEOUT_MS: u64 = 1_200;

/// Sets whether a worker gets no new tasks.
fn set_draining(fleet: &mut Fleet, name: &str, is_draining: bool) {
    fleet.worker(name).is_draining = is_draining;
    fleet.list_workers();
}

/// Restarts `w0` without the owner's knowledge. No other worker gets tasks.
fn restart_unnoticed(fleet: &mut Fleet) {
    fleet.advance(FORMER_RUN_MS);
    set_draining(fleet, "w1", true);
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.worker("w0").cannot_register = true;
    fleet.restart_worker_unnoticed("w0");
}

/// Submits a job of one task to `w0`, which has restarted without the owner's
/// knowledge, and returns once the task runs there.
fn start_on_restarted_worker(fleet: &mut Fleet, spec: StepSpec, work: Work) -> JobKey {
    restart_unnoticed(fleet);
    let key = fleet.submit(1, job(vec![spec]), work);
    fleet.advance(100);
    assert_eq!(fleet.worker("w0").running.len(), 1, "the new incarnation runs the task");
    set_draining(fleet, "w1", false);
    key
}

/// Lets the owner learn of the restart of `w0`, by its report and its registry entry.
fn learn_of_restart(fleet: &mut Fleet) {
    fleet.unpolled_worker = None;
    fleet.worker("w0").cannot_register = false;
    fleet.list_workers();
    fleet.advance(100);
}

/// Cuts `w0` off, and checks that the task runs elsewhere once its lease has expired,
/// and not before.
fn check_cut_off_worker(fleet: &mut Fleet, wait_ms: u64) {
    fleet.worker("w0").is_reachable = false;
    fleet.unpolled_worker = None;
    fleet.advance(wait_ms + 1_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.worker("w1").running.len(), 1, "the task runs elsewhere");
}

/// A start with a lease on the clock of the former incarnation is answered, and the
/// worker is cut off: the task started elsewhere while it still ran.
#[test]
fn task_with_a_lease_by_a_former_clock_does_not_run_twice() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// The same, after the owner has learned of the restart and renewed the leases by the
/// clock of the new incarnation, which does not shorten them.
#[test]
fn renewed_leases_of_a_restarted_worker_are_as_long_as_before() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    fleet.unpolled_worker = None;
    fleet.advance(1_000);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// A lease holds for all tasks of a worker: a task that the owner starts later, with
/// the right lease, runs as long as the others.
#[test]
fn later_task_of_a_restarted_worker_does_not_run_twice() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    learn_of_restart(&mut fleet);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(100);
    assert_eq!(fleet.worker("w0").running.len(), 2);
    set_draining(&mut fleet, "w1", false);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(LONGEST_WAIT_MS + 1_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.worker("w1").running.len(), 2, "both tasks run elsewhere");
}

/// The answer to the start is lost, so that the owner cannot learn of the lease.
#[test]
fn unanswered_start_at_a_restarted_worker_does_not_run_twice() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.mute_worker = Some("w0".to_owned());
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// Restarts `w0`, which runs a task, while a poll that renews its leases is under way. The
/// new incarnation carries the poll out. Returns when the poll was sent.
fn restart_during_poll(fleet: &mut Fleet) -> TimeMs {
    set_draining(fleet, "w1", true);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(FORMER_RUN_MS);
    assert_eq!(fleet.worker("w0").running.len(), 1);
    let sent_at = fleet.time();
    let lease_until = fleet.now + LEASE_MS - fleet.worker("w0").started_at;
    fleet.unpolled_worker = Some("w0".to_owned());
    fleet.restart_worker("w0");
    fleet.advance(20);
    let now = fleet.now;
    fleet.worker("w0").renew(now, lease_until);
    fleet.advance(POLL_TIMEOUT_MS);
    sent_at
}

/// Tells the owner that the poll got no answer.
fn give_poll_up(fleet: &mut Fleet, sent_at: TimeMs) {
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    let id = owner.worker_id("w0");
    owner.worker_unreachable(now, id, Some(sent_at));
}

/// Cuts `w0` off once the task has started there again.
fn check_cut_off_after_restart(fleet: &mut Fleet) {
    learn_of_restart(fleet);
    fleet.advance(500);
    assert_eq!(fleet.worker("w0").running.len(), 1, "the task has started again");
    set_draining(fleet, "w1", false);
    check_cut_off_worker(fleet, LONGEST_WAIT_MS + LATE_START_MS);
}

/// A poll that was meant for the former incarnation gets no answer, and the new one carries
/// it out before the owner hears of the restart. The tasks that are started there later ran
/// on for 10 s after the worker was cut off, and twice.
#[test]
fn unanswered_poll_at_a_restarted_worker_counts_as_a_lease() {
    let mut fleet = Fleet::new(2, cores(4));
    let sent_at = restart_during_poll(&mut fleet);
    give_poll_up(&mut fleet, sent_at);
    check_cut_off_after_restart(&mut fleet);
}

/// The same, and the owner is replaced after it has started the task again.
#[test]
fn successor_counts_an_unanswered_poll_that_its_predecessor_knew() {
    for is_clean in [true, false] {
        let mut fleet = Fleet::new(2, cores(4));
        let sent_at = restart_during_poll(&mut fleet);
        give_poll_up(&mut fleet, sent_at);
        learn_of_restart(&mut fleet);
        fleet.advance(500);
        fleet.replace_owner(is_clean);
        check_cut_off_after_restart(&mut fleet);
    }
}

/// The same, and the owner is lost before it hears of the restart. Its successor finds a
/// task that the worker had started, and no longer lists.
#[test]
fn successor_counts_an_unanswered_poll_of_its_predecessor() {
    let mut fleet = Fleet::new(2, cores(4));
    restart_during_poll(&mut fleet);
    fleet.replace_owner(false);
    check_cut_off_after_restart(&mut fleet);
}

/// The owner is lost after the start. Its successor hears the worker once, or not at
/// all, before the worker is cut off.
#[test]
fn successor_waits_for_leases_by_a_former_clock() {
    for heard_ms in [0, 40, 1_000] {
        for is_answered in [true, false] {
            let mut fleet = Fleet::new(2, cores(4));
            fleet.mute_worker = (!is_answered).then(|| "w0".to_owned());
            start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
            fleet.worker("w0").is_reachable = heard_ms > 0;
            fleet.unpolled_worker = None;
            fleet.replace_owner(true);
            fleet.advance(heard_ms);
            let wait_ms =
                if heard_ms > 0 { LONGEST_WAIT_MS + LATE_START_MS } else { LONGEST_WAIT_MS };
            check_cut_off_worker(&mut fleet, wait_ms);
        }
    }
}

/// The owner has recorded that the worker is unreachable, and is lost. The record must
/// state the wait for the start without an answer, which is longer than for others.
#[test]
fn record_of_an_unreachable_worker_states_the_longest_wait() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.mute_worker = Some("w0".to_owned());
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    fleet.worker("w0").is_reachable = false;
    fleet.unpolled_worker = None;
    fleet.advance(1_500);
    fleet.replace_owner(false);
    check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
}

/// The owner is lost after it has learned of the restart, and has started a task with
/// the right lease. Its successor must learn that the leases are longer.
#[test]
fn successor_waits_for_leases_that_its_predecessor_knew() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    learn_of_restart(&mut fleet);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    // By now, leases that are not longer than intended would be recorded as known.
    fleet.advance(3_000);
    assert_eq!(fleet.worker("w0").running.len(), 2);
    set_draining(&mut fleet, "w1", false);
    fleet.worker("w0").is_reachable = false;
    fleet.replace_owner(true);
    fleet.advance(LONGEST_WAIT_MS + 1_000);
    fleet.assert_no_violations();
    assert_eq!(fleet.worker("w1").running.len(), 2, "both tasks run elsewhere");
}

/// The worker completes the task while it is cut off, and reports it later. The end
/// was acknowledged although the task had been started again meanwhile.
#[test]
fn task_that_ends_during_a_long_lease_starts_once() {
    let mut fleet = Fleet::new(2, cores(4));
    let work = Work { work_ms: 7_000, fails: false };
    let key = start_on_restarted_worker(&mut fleet, step(1, cores(1)), work);
    fleet.worker("w0").is_reachable = false;
    fleet.unpolled_worker = None;
    fleet.advance(8_000);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(1_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(fleet.starts, 1);
    fleet.assert_no_violations();
}

/// A start that the new incarnation refuses renews its leases all the same.
#[test]
fn refused_start_by_a_former_clock_counts_as_a_lease() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    let first = fleet.worker("w0").lease_until;
    fleet.advance(1_000);
    let task = *fleet.worker("w0").running.keys().next().expect("a running task");
    let fenced = TaskName { job: JobKey(2), ..task };
    fleet.worker("w0").fenced.insert(fenced, u32::MAX);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(40);
    assert!(fleet.worker("w0").lease_until > first, "the refused start renews the leases");
    set_draining(&mut fleet, "w1", false);
    fleet.worker("w0").is_reachable = false;
    fleet.unpolled_worker = None;
    fleet.advance(LONGEST_WAIT_MS + 1_000);
    fleet.assert_no_violations();
}

/// A start without an answer is carried out by the new incarnation, and its task ends
/// before the first report, or is refused: nothing that is listed shows the long lease,
/// which holds for the next task, too.
#[test]
fn unanswered_start_that_no_longer_runs_counts_as_a_lease() {
    for is_refused in [false, true] {
        for is_owner_replaced in [false, true] {
            let mut fleet = Fleet::new(2, cores(4));
            restart_unnoticed(&mut fleet);
            fleet.mute_worker = Some("w0".to_owned());
            let short = Work { work_ms: 100, fails: false };
            let key = fleet.submit(1, job(vec![step(1, cores(1))]), short);
            if is_refused {
                let task = TaskName { job: key, occurrence: 0, step: 0, index: 0 };
                fleet.worker("w0").fenced.insert(task, 1);
            }
            fleet.advance(400);
            assert_eq!(fleet.worker("w0").running.len(), 0);
            fleet.mute_worker = None;
            if is_owner_replaced {
                fleet.replace_owner(true);
            }
            learn_of_restart(&mut fleet);
            fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
            fleet.advance(1_000);
            set_draining(&mut fleet, "w1", false);
            check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS + LATE_START_MS);
        }
    }
}

/// A start without an answer is carried out after the new incarnation has reported, and
/// renews the leases of a task that has started there since.
#[test]
fn late_start_renews_the_leases_of_other_tasks() {
    let mut fleet = Fleet::new(2, cores(4));
    restart_unnoticed(&mut fleet);
    fleet.delayed_worker = Some("w0".to_owned());
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(40);
    fleet.delayed_worker = None;
    learn_of_restart(&mut fleet);
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(3_500);
    assert!(fleet.worker("w0").lease_until > fleet.now + 8_000, "the start has arrived");
    set_draining(&mut fleet, "w1", false);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(LONGEST_WAIT_MS + LATE_START_MS + 1_000);
    fleet.assert_no_violations();
}

/// The former incarnation ran for less than a second, and the start was under way for
/// longer than that: what is left of its lease is as long as intended, but ends later.
#[test]
fn slow_start_of_a_short_incarnation_counts_from_its_answer() {
    for former_run_ms in [600, 1_000, 1_400] {
        let mut fleet = Fleet::new(2, cores(4));
        fleet.advance(FORMER_RUN_MS);
        fleet.restart_worker("w0");
        fleet.list_workers();
        fleet.advance(100);
        set_draining(&mut fleet, "w1", true);
        fleet.advance(former_run_ms - 100);
        fleet.unpolled_worker = Some("w0".to_owned());
        fleet.worker("w0").cannot_register = true;
        fleet.restart_worker_unnoticed("w0");
        fleet.slow_worker = Some("w0".to_owned());
        fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
        fleet.advance(SLOW_START_MS + 100);
        assert_eq!(fleet.worker("w0").running.len(), 1);
        fleet.slow_worker = None;
        set_draining(&mut fleet, "w1", false);
        check_cut_off_worker(&mut fleet, LONGEST_WAIT_MS);
    }
}

/// The store holds that the lease of a long-running task is known, and a refused start
/// that was meant for a former incarnation makes the leases of its worker longer. A
/// successor must not go by the record.
#[test]
fn recorded_lease_that_becomes_longer_is_recorded_again() {
    let mut fleet = Fleet::new(2, cores(4));
    set_draining(&mut fleet, "w1", true);
    let long_running = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![long_running]), LONG_WORK);
    fleet.advance(1_000);
    assert_eq!(fleet.worker("w0").running.len(), 1);
    let now = fleet.time();
    let until = fleet.now + LEASE_MAX_MS;
    fleet.worker("w0").lease_until = until;
    let owner = fleet.owner.as_mut().expect("an owner");
    let worker = owner.worker_id("w0");
    let step = StepKey { job: JobId::new(7, 7), occurrence: 0, step: 0 };
    let lease = LeaseGrant::Remaining { ms: LEASE_MAX_MS };
    let reply = StartReply { answer: StartAnswer::AttemptTooLow, lease };
    owner.start_answered(now, worker, TaskKey { step, index: 0 }, 1, reply);
    fleet.advance(100);
    set_draining(&mut fleet, "w1", false);
    fleet.worker("w0").is_reachable = false;
    fleet.replace_owner(true);
    fleet.advance(LONGEST_WAIT_MS + 1_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.assert_no_violations();
}

/// A lost poll or owner must not keep the tasks of a worker that has not restarted for
/// longer than their leases.
#[test]
fn tasks_of_a_lost_worker_do_not_wait_for_the_longest_lease() {
    for is_owner_replaced in [false, true] {
        let mut fleet = Fleet::new(2, cores(4));
        set_draining(&mut fleet, "w1", true);
        let long_running = StepSpec { long_running: true, ..step(2, cores(1)) };
        fleet.submit(1, job(vec![long_running]), LONG_WORK);
        fleet.advance(1_000);
        assert_eq!(fleet.worker("w0").running.len(), 2);
        set_draining(&mut fleet, "w1", false);
        fleet.worker("w0").is_reachable = false;
        if is_owner_replaced {
            fleet.replace_owner(true);
        }
        fleet.advance(LEASE_MS + 1_000);
        assert_eq!(fleet.worker("w1").running.len(), 2, "owner replaced: {is_owner_replaced}");
        fleet.assert_no_violations();
    }
}

/// The leases of a restarted worker are short again once the long one has expired.
#[test]
fn long_lease_of_a_restarted_worker_ends() {
    let mut fleet = Fleet::new(2, cores(4));
    start_on_restarted_worker(&mut fleet, step(1, cores(1)), LONG_WORK);
    fleet.unpolled_worker = None;
    fleet.advance(LEASE_MAX_MS + 1_000);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(LEASE_MS + 1_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.assert_no_violations();
}
