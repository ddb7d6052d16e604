//! Tests of the requests for tickets of the advice service, which lets only some
//! workers run a step.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::workload::advice::AdviceAnswer;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::LEASE_MS;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// More workers than one call names.
const MANY_WORKERS: usize = 24;
const LONG_VALID_MS: u64 = 30_000;
/// A long-running task must have a runner again within this time of the loss of
/// its worker, as the platform's rules state.
const MAX_AWAY_MS: u64 = 9_000;

/// An advice service that answers at once. The tickets of each call are new.
struct Advice {
    allowed: BTreeSet<String>,
    valid_ms: u64,
    /// Workers that each call named.
    calls: Vec<Vec<String>>,
}

impl Advice {
    fn new(allowed: &[&str], valid_ms: u64) -> Self {
        let allowed = allowed.iter().map(|name| (*name).to_owned()).collect();
        Self { allowed, valid_ms, calls: Vec::new() }
    }

    fn answer(&mut self, fleet: &mut Fleet) {
        let now = fleet.time();
        let owner = fleet.owner.as_mut().expect("an owner");
        for request in owner.advice_requests(now, now.0) {
            self.calls.push(request.workers.clone());
            let ticket = format!("ticket {}", self.calls.len());
            let granted = request.workers.iter().filter(|name| self.allowed.contains(*name));
            let granted = granted.map(|name| (name.clone(), ticket.clone())).collect();
            let answer = AdviceAnswer { sent_at: now, granted, valid_ms: self.valid_ms };
            owner.handle_advice_answer(now, &request, Some(&answer));
        }
    }

    fn advance(&mut self, fleet: &mut Fleet, ms: u64) {
        for _ in 0..ms / 20 {
            fleet.advance(20);
            self.answer(fleet);
        }
    }

    fn last_call(&self) -> Vec<&str> {
        self.calls.last().expect("a call").iter().map(String::as_str).collect()
    }
}

fn fleet_with_advice(workers: usize, cores_each: u64) -> Fleet {
    let mut fleet = Fleet::new(workers, cores(cores_each));
    fleet.needs_advice = true;
    fleet.configure(2);
    fleet
}

/// Review 10: a long-running task stayed away although allowed workers were
/// empty, because the tickets of the other tasks' workers were still valid.
#[test]
fn lost_worker_with_a_ticket_is_replaced_while_other_tickets_are_valid() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 16);
    // The first call names the workers up to w22.
    let mut advice = Advice::new(&["w0", "w1", "w10", "w11", "w8", "w9"], LONG_VALID_MS);
    let spread =
        StepSpec { long_running: true, max_tasks_per_worker: Some(1), ..step(4, cores(1)) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    advice.advance(&mut fleet, 500);
    assert_eq!(fleet.running(), 4);
    assert_eq!(advice.calls.len(), 1, "the workers with tickets take all tasks");
    fleet.worker("w0").is_up = false;
    advice.advance(&mut fleet, MAX_AWAY_MS);
    assert_eq!(fleet.running(), 4, "calls: {:?}", advice.calls);
    assert_eq!(advice.last_call(), ["w23", "w3", "w4", "w5", "w6", "w7", "w8", "w9"]);
    advice.advance(&mut fleet, 5_000);
    assert_eq!(advice.calls.len(), 2);
    fleet.assert_no_violations();
}

/// The service may be slow. A long-running task waited for the leases of its lost worker,
/// and only then for the tickets that it needed elsewhere.
#[test]
fn tickets_are_requested_while_the_leases_of_a_lost_worker_run() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 16);
    let mut advice = Advice::new(&["w0", "w1", "w10", "w11", "w8"], LONG_VALID_MS);
    let spread =
        StepSpec { long_running: true, max_tasks_per_worker: Some(1), ..step(4, cores(1)) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    advice.advance(&mut fleet, 500);
    assert_eq!(fleet.running(), 4);
    fleet.worker("w0").is_up = false;
    advice.advance(&mut fleet, LEASE_MS - 500);
    assert_eq!(advice.calls.len(), 2);
    // The service answers no more calls.
    fleet.advance(1_000);
    assert_eq!(fleet.running(), 4, "calls: {:?}", advice.calls);
    fleet.assert_no_violations();
}

/// A worker with a ticket and room is enough for a task that may be lost.
#[test]
fn no_ticket_is_requested_if_another_worker_with_a_ticket_has_room() {
    let mut fleet = fleet_with_advice(4, 16);
    let mut advice = Advice::new(&["w0", "w1", "w2"], LONG_VALID_MS);
    let spread =
        StepSpec { long_running: true, max_tasks_per_worker: Some(1), ..step(2, cores(1)) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    advice.advance(&mut fleet, 500);
    assert_eq!((fleet.running(), advice.calls.len()), (2, 1));
    let busy = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let name = busy.expect("a worker runs a task").name.clone();
    fleet.worker(&name).is_up = false;
    advice.advance(&mut fleet, LEASE_MS - 500);
    assert_eq!(advice.calls.len(), 1, "{:?}", advice.calls);
    advice.advance(&mut fleet, 1_000);
    assert_eq!(fleet.running(), 2);
    fleet.assert_no_violations();
}

/// The tickets were all for workers without room, and workers with room were not
/// asked for. Those for which nothing can change must not be asked for again.
#[test]
fn workers_with_room_are_asked_for_while_those_with_tickets_are_full() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 2);
    let mut advice = Advice::new(&["w0", "w9"], LONG_VALID_MS);
    let key = fleet.submit(1, job(vec![step(6, cores(1))]), Work { work_ms: 5_000, fails: false });
    advice.advance(&mut fleet, 500);
    assert_eq!(fleet.running(), 4, "two allowed workers have room for two tasks each");
    advice.advance(&mut fleet, 12_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    let named: Vec<&String> = advice.calls.iter().flatten().collect();
    assert_eq!(named.len(), MANY_WORKERS, "each worker is named once: {:?}", advice.calls);
    fleet.assert_no_violations();
}

/// A worker that drains takes no task, so its ticket must not keep the step from
/// asking for others.
#[test]
fn ticket_of_a_draining_worker_serves_no_step() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 2);
    let mut advice = Advice::new(&["w0", "w9"], LONG_VALID_MS);
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
    fleet.advance(20);
    advice.answer(&mut fleet);
    fleet.worker("w0").is_draining = true;
    fleet.list_workers();
    advice.advance(&mut fleet, 2_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "calls: {:?}", advice.calls);
    fleet.assert_no_violations();
}

/// A gang needs more tickets than the first call brought.
#[test]
fn gang_asks_until_its_tickets_suffice() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 2);
    let mut advice = Advice::new(&["w0", "w1", "w8", "w9"], LONG_VALID_MS);
    let gang = StepSpec { gang: true, max_tasks_per_worker: Some(1), ..step(4, cores(1)) };
    let key = fleet.submit(1, job(vec![gang]), SHORT_WORK);
    advice.advance(&mut fleet, 2_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "calls: {:?}", advice.calls);
    fleet.assert_no_violations();
}

/// Steps for which no worker had room took all calls, and a task that could have
/// started waited for them.
#[test]
fn step_that_has_room_asks_before_those_without() {
    let mut fleet = fleet_with_advice(3, 2);
    let fill = JobSpec { queue: "other".to_owned(), ..job(vec![step(5, cores(1))]) };
    fleet.submit(1, fill, Work { work_ms: 5_000, fails: false });
    fleet.advance(100);
    for key in 2..=8 {
        fleet.submit(key, job(vec![step(1, cores(2))]), SHORT_WORK);
    }
    let small = fleet.submit(9, job(vec![step(1, cores(1))]), SHORT_WORK);
    fleet.advance(20);
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    let requests = owner.advice_requests(now, now.0);
    assert_eq!(requests[0].job, small);
    assert!(requests.len() < 8, "the service takes only so many calls");
}

/// No worker has room. The step holds tickets for the time when one has, and
/// repeats calls only when they expire, for the workers that were allowed.
#[test]
fn step_without_room_asks_again_only_for_allowed_workers() {
    let mut fleet = fleet_with_advice(3, 2);
    let mut advice = Advice::new(&["w1"], 1_000);
    let fill = JobSpec { queue: "other".to_owned(), ..job(vec![step(6, cores(1))]) };
    fleet.submit(1, fill, Work { work_ms: 5_000, fails: false });
    fleet.advance(100);
    let key = fleet.submit(2, job(vec![step(1, cores(1))]), SHORT_WORK);
    advice.advance(&mut fleet, 4_000);
    assert_eq!(advice.calls[0].len(), 3);
    assert!(advice.calls[1..].iter().all(|call| *call == ["w1"]), "{:?}", advice.calls);
    assert!((4..=6).contains(&advice.calls.len()), "a ticket is used for 0.8 s");
    advice.advance(&mut fleet, 3_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// A ticket holds for one incarnation of its worker. The next one would refuse
/// the start.
#[test]
fn ticket_is_not_used_after_a_restart_of_its_worker() {
    let mut fleet = fleet_with_advice(2, 2);
    let mut advice = Advice::new(&["w0"], LONG_VALID_MS);
    let lasting = StepSpec { long_running: true, ..step(1, cores(1)) };
    fleet.submit(1, job(vec![lasting]), SHORT_WORK);
    advice.advance(&mut fleet, 500);
    fleet.restart_worker("w0");
    fleet.list_workers();
    advice.advance(&mut fleet, 2_000);
    assert_eq!(fleet.running(), 1);
    let ticket = |call| ("w0".to_owned(), Some(format!("ticket {call}")));
    assert_eq!(fleet.tickets, [ticket(1), ticket(2)]);
    fleet.assert_no_violations();
}

/// The store was down until the ticket of a planned start had expired. The start went
/// out without a ticket, which workers refuse.
#[test]
fn start_whose_ticket_has_expired_is_not_sent() {
    let mut fleet = fleet_with_advice(1, 2);
    let mut advice = Advice::new(&["w0"], 1_000);
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
    fleet.advance(100);
    advice.answer(&mut fleet);
    fleet.store_is_up = false;
    fleet.advance(1_500);
    fleet.store_is_up = true;
    advice.advance(&mut fleet, 2_000);
    assert_eq!(fleet.tickets, [("w0".to_owned(), Some("ticket 2".to_owned()))]);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// The waiting jobs of a queue that was removed from the configuration were started
/// without tickets, which workers refuse.
#[test]
fn jobs_of_a_removed_queue_still_need_tickets() {
    for is_owner_replaced in [false, true] {
        let mut fleet = fleet_with_advice(3, 2);
        let mut advice = Advice::new(&["w1"], LONG_VALID_MS);
        let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
        fleet.is_queue_removed = true;
        fleet.configure(3);
        if is_owner_replaced {
            fleet.replace_owner(true);
        }
        fleet.advance(1_000);
        assert_eq!(fleet.starts, 0, "no ticket was granted");
        advice.advance(&mut fleet, 2_000);
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
        assert_eq!(fleet.tickets, [("w1".to_owned(), Some("ticket 1".to_owned()))]);
        fleet.assert_no_violations();
    }
}

/// A worker refused a ticket, which was then used again and again until it
/// expired.
#[test]
fn refused_ticket_is_requested_again() {
    let mut fleet = fleet_with_advice(2, 2);
    let mut advice = Advice::new(&["w0"], LONG_VALID_MS);
    fleet.refused_ticket = Some("ticket 1".to_owned());
    let key = fleet.submit(1, job(vec![step(1, cores(1))]), SHORT_WORK);
    advice.advance(&mut fleet, 2_000);
    assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed));
    assert_eq!(advice.calls.len(), 2);
    assert_eq!(advice.last_call(), ["w0"]);
    fleet.assert_no_violations();
}

/// A call that fails must not discard the tickets of earlier calls, nor be
/// repeated at once.
#[test]
fn failed_call_keeps_earlier_tickets_and_is_repeated_later() {
    let mut fleet = fleet_with_advice(MANY_WORKERS, 2);
    let mut advice = Advice::new(&["w0", "w9"], LONG_VALID_MS);
    let lasting = StepSpec { long_running: true, ..step(4, cores(1)) };
    fleet.submit(1, job(vec![lasting]), SHORT_WORK);
    fleet.advance(20);
    advice.answer(&mut fleet);
    fleet.advance(100);
    assert_eq!(fleet.running(), 2);
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    let requests = owner.advice_requests(now, now.0);
    assert_eq!(requests.len(), 1);
    owner.handle_advice_answer(now, &requests[0], None);
    assert!(owner.advice_requests(now, now.0).is_empty());
    advice.advance(&mut fleet, 900);
    assert_eq!(advice.calls.len(), 1);
    advice.advance(&mut fleet, 500);
    assert_eq!(fleet.running(), 4);
    assert_eq!(advice.calls[1..], [requests[0].workers.clone()]);
    fleet.assert_no_violations();
}
