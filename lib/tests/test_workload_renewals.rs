//! Tests of owners that are cut off from the store: for how long they renew leases, and
//! what their successors know of it.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::dispatcher::WorkerActivity;
use cowslipport_lib::workload::owner_record::FormerOwner;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::owner_record::Witness;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::spec::StepSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::workload_fake::EVIDENCE_MS;
use crate::workload_fake::FORMER_RENEWS_MS;
use crate::workload_fake::Fleet;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// The users allow a long-running task to be away for 6 s, and 3 s more.
const AWAY_MAX_MS: u64 = 9_000;
/// Time from the loss of an owner until the store chooses its successor.
const CHANGE_OF_OWNERS_MS: u64 = 1_300;
/// Time until the store has the first witnesses, and the leases of all tasks are known.
const SETTLED_MS: u64 = 3_000;
/// Number of seeds in CI. The environment variable `SEEDS` overrides it.
const SEEDS: u64 = 60;

fn long_running(task_count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(task_count, cores(1)) }
}

/// A fleet of two data centres with a long-running task on each worker.
fn busy_fleet(workers: u32) -> Fleet {
    let mut fleet = Fleet::new(workers as usize, cores(4));
    let spread = StepSpec { max_tasks_per_worker: Some(1), ..long_running(workers) };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.running(), workers as usize);
    fleet
}

/// Fleet with a job of one task that may run on any worker.
fn fleet_with_one_task(workers: usize) -> (Fleet, String) {
    let mut fleet = Fleet::new(workers, cores(4));
    fleet.submit(1, job(vec![long_running(1)]), SHORT_WORK);
    fleet.advance(SETTLED_MS);
    let busy = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let name = busy.expect("a worker runs the task").name.clone();
    (fleet, name)
}

/// Advances until the tasks run again, and returns the time since `lost_at`.
fn time_until_running(fleet: &mut Fleet, tasks: usize, lost_at: u64) -> u64 {
    while fleet.running() < tasks && fleet.now < lost_at + 30_000 {
        fleet.advance(20);
    }
    fleet.now - lost_at
}

/// Workers that are lost for good have no registry entry.
fn lose_worker(fleet: &mut Fleet, name: &str) {
    let worker = fleet.worker(name);
    worker.is_up = false;
    worker.is_unlisted = true;
    worker.running.clear();
}

fn stored_ownership(fleet: &Fleet) -> OwnershipRecord {
    OwnershipRecord::decode(&fleet.store[&RecordKey::Ownership]).expect("a valid record")
}

/// A worker is lost in the same moment as the owner. The successor waited for 8 s, in
/// which the owner might have renewed leases, so that the task was away for 14 s.
#[test]
fn task_that_is_lost_with_the_owner_runs_again_in_time() {
    let (mut fleet, busy) = fleet_with_one_task(6);
    let lost_at = fleet.now;
    lose_worker(&mut fleet, &busy);
    fleet.owner = None;
    fleet.advance(CHANGE_OF_OWNERS_MS);
    fleet.replace_owner(false);
    let away_ms = time_until_running(&mut fleet, 1, lost_at);
    assert!(away_ms <= AWAY_MAX_MS, "away for {away_ms} ms");
    fleet.assert_no_violations();
}

/// The same with two owners that are lost one after the other.
#[test]
fn task_that_is_lost_with_two_owners_runs_again_in_time() {
    let (mut fleet, busy) = fleet_with_one_task(6);
    let lost_at = fleet.now;
    lose_worker(&mut fleet, &busy);
    for lived_ms in [300, 0] {
        fleet.owner = None;
        fleet.advance(CHANGE_OF_OWNERS_MS);
        fleet.replace_owner(false);
        fleet.advance(lived_ms);
    }
    let away_ms = time_until_running(&mut fleet, 1, lost_at);
    assert!(away_ms <= AWAY_MAX_MS + CHANGE_OF_OWNERS_MS, "away for {away_ms} ms");
    fleet.assert_no_violations();
}

/// The same with all workers of a data centre.
#[test]
fn tasks_of_a_data_centre_that_is_lost_with_the_owner_run_again_in_time() {
    let mut fleet = Fleet::new(6, cores(4));
    fleet.submit(1, job(vec![long_running(6)]), SHORT_WORK);
    fleet.advance(SETTLED_MS);
    // Two of the five witnesses are in data centre b, whichever was chosen first.
    let lost_at = fleet.now;
    for name in ["w1", "w3", "w5"] {
        lose_worker(&mut fleet, name);
    }
    fleet.owner = None;
    fleet.advance(CHANGE_OF_OWNERS_MS);
    fleet.replace_owner(false);
    let away_ms = time_until_running(&mut fleet, 6, lost_at);
    assert!(away_ms <= AWAY_MAX_MS, "away for {away_ms} ms");
    fleet.assert_no_violations();
}

/// In an outage of the store without a successor, leases are renewed for 8 s, as long as
/// most witnesses answer.
#[test]
fn leases_outlast_an_outage_of_the_store() {
    let mut fleet = busy_fleet(5);
    let names: BTreeSet<String> = fleet.workers.keys().cloned().collect();
    let cut_at = fleet.now;
    fleet.cut_owner_off(names);
    while fleet.now < cut_at + FORMER_RENEWS_MS - 20 {
        fleet.advance(20);
        assert!(fleet.cut_off[0].renewable_until() > fleet.now);
    }
    fleet.advance(20);
    assert_eq!(fleet.cut_off[0].renewable_until(), cut_at + FORMER_RENEWS_MS);
    assert_eq!(fleet.running(), 5, "no lease has expired");
}

/// An owner that most witnesses do not answer may be the one that is cut off.
#[test]
fn owner_that_reaches_few_witnesses_stops_renewing() {
    let mut fleet = busy_fleet(5);
    let cut_at = fleet.now;
    fleet.cut_owner_off(BTreeSet::from(["w0".to_owned(), "w1".to_owned()]));
    fleet.advance(EVIDENCE_MS + 500);
    assert_eq!(fleet.cut_off[0].renewable_until(), cut_at + EVIDENCE_MS);
}

/// The store may hold the old or the new witnesses while their record is under way, so
/// that most of both have to answer.
#[test]
fn witnesses_count_until_others_are_stored() {
    let mut fleet = busy_fleet(6);
    let stored = stored_ownership(&fleet).witnesses;
    let leaving = stored[0].worker.clone();
    fleet.worker(&leaving).is_draining = true;
    fleet.list_workers();
    let new = loop {
        fleet.advance(20);
        let records = fleet.in_flight.iter().flat_map(|batch| &batch.records);
        let mut records = records.filter(|(key, _)| *key == RecordKey::Ownership);
        let record = records.next().map(|(_, bytes)| OwnershipRecord::decode(bytes));
        let witnesses = record.map(|record| record.expect("a valid record").witnesses);
        if let Some(new) = witnesses.filter(|new| *new != stored) {
            break new;
        }
    };
    assert_eq!(stored_ownership(&fleet).witnesses, stored);
    let added = new.iter().filter(|witness| !stored.contains(witness));
    let kept = new.iter().filter(|witness| stored.contains(witness)).take(2);
    let most_of_new: BTreeSet<String> =
        added.chain(kept).map(|witness| witness.worker.clone()).collect();
    assert_eq!(most_of_new.len(), 3);
    let cut_at = fleet.now;
    fleet.cut_owner_off(most_of_new);
    fleet.advance(EVIDENCE_MS);
    assert_eq!(fleet.cut_off[0].renewable_until(), cut_at + EVIDENCE_MS);
}

/// A worker that restarts forgets which owners have called it, so that its answers no
/// longer show that there is no later owner.
#[test]
fn restarted_witness_does_not_count() {
    let mut fleet = busy_fleet(3);
    let names: BTreeSet<String> = fleet.workers.keys().cloned().collect();
    fleet.cut_owner_off(names);
    fleet.advance(100);
    fleet.restart_worker("w0");
    fleet.restart_worker("w1");
    let restarted_at = fleet.now;
    fleet.advance(EVIDENCE_MS + 500);
    assert!(fleet.cut_off[0].renewable_until() <= restarted_at + EVIDENCE_MS);
}

/// Without most of the witnesses, a successor knows no more than that the former owner
/// stops after the longest time.
#[test]
fn successor_that_reaches_few_witnesses_waits_longer() {
    let mut fleet = busy_fleet(5);
    let reached: BTreeSet<String> = ["w0", "w1", "w2"].map(str::to_owned).into();
    for name in &reached {
        fleet.worker(name).is_reachable = false;
    }
    fleet.cut_owner_off(reached);
    fleet.advance(1_000);
    fleet.replace_owner(false);
    fleet.advance(FORMER_RENEWS_MS);
    assert_eq!(fleet.starts, 5, "nothing starts while the former owner may renew leases");
    fleet.assert_no_violations();
}

/// Witnesses that run no tasks are polled only while the store does not confirm the
/// ownership.
#[test]
fn idle_witnesses_are_polled_without_the_store() {
    let (mut fleet, _) = fleet_with_one_task(5);
    let witnesses = stored_ownership(&fleet).witnesses;
    assert_eq!(witnesses.len(), 5);
    let owner = fleet.owner.as_mut().expect("an owner");
    let ids: Vec<_> = witnesses.iter().map(|witness| owner.worker_id(&witness.worker)).collect();
    let count = |owner: &Dispatcher| {
        ids.iter().filter(|id| owner.activity(**id) == WorkerActivity::Polled).count()
    };
    owner.take_activity_changes();
    assert_eq!(count(owner), 1);
    owner.set_confirmed(false);
    assert_eq!(count(owner), 5);
    assert_eq!(owner.take_activity_changes().len(), 5, "the poll tasks are told");
    owner.set_confirmed(true);
    assert_eq!(count(owner), 1);
    assert_eq!(owner.take_activity_changes().len(), 5);
}

/// Witnesses are spread, and one that restarts or leaves is replaced.
#[test]
fn witnesses_are_spread_and_replaced() {
    let mut fleet = Fleet::new(12, cores(4));
    fleet.advance(SETTLED_MS);
    let names = |fleet: &Fleet| -> BTreeSet<String> {
        stored_ownership(fleet).witnesses.into_iter().map(|witness| witness.worker).collect()
    };
    let first = names(&fleet);
    assert_eq!(first.len(), 5);
    let in_a = first.iter().filter(|name| fleet.workers[*name].data_centre == "a").count();
    assert!((2..=3).contains(&in_a), "{first:?}");
    let (leaving, staying) = (first.first().cloned(), first.last().cloned());
    let (leaving, staying) = (leaving.expect("a witness"), staying.expect("a witness"));
    fleet.worker(&leaving).is_draining = true;
    fleet.list_workers();
    fleet.advance(1_200);
    let second = names(&fleet);
    assert!(!second.contains(&leaving) && second.contains(&staying), "{second:?}");
    assert_eq!(second.len(), 5);
}

/// With fewer than three workers, the loss of one could end the renewals in an outage of
/// the store.
#[test]
fn small_fleet_has_no_witnesses() {
    let mut fleet = busy_fleet(2);
    assert!(stored_ownership(&fleet).witnesses.is_empty());
    let cut_at = fleet.now;
    fleet.cut_owner_off(BTreeSet::new());
    fleet.advance(100);
    assert_eq!(fleet.cut_off[0].renewable_until(), cut_at + FORMER_RENEWS_MS);
}

#[test]
fn ownership_record_keeps_the_witnesses() {
    let owner = |node: &str| NodeIncarnation { node: node.to_owned(), incarnation: 7 };
    let witness = |worker: &str| Witness { worker: worker.to_owned(), started_unix_ms: 1_000 };
    let record = OwnershipRecord {
        epoch: 3,
        owner: owner("n1"),
        is_over: false,
        former: vec![FormerOwner {
            owner: owner("n0"),
            remaining_ms: 500,
            witnesses: vec![witness("w0")],
        }],
        start_delay_ms: 0,
        witnesses: vec![witness("w1"), witness("w2")],
        rooms: Vec::new(),
    };
    assert_eq!(OwnershipRecord::decode(&record.encode()), Ok(record));
}

fn some_workers(rng: &mut ChaCha8Rng, fleet: &Fleet) -> BTreeSet<String> {
    let share = rng.random_range(0.1..1.0);
    fleet.workers.keys().filter(|_| rng.random_bool(share)).cloned().collect()
}

/// Owners are cut off one after the other, each with some of the workers, while workers
/// restart and are lost. No task may run twice, and all run again in the end.
fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let workers = rng.random_range(3..9);
    let mut fleet = Fleet::new(workers, cores(8));
    let tasks = rng.random_range(workers..2 * workers);
    let steps = vec![long_running(u32::try_from(tasks).expect("few tasks"))];
    fleet.submit(1, job(steps), SHORT_WORK);
    let lasting = Work { work_ms: 60_000, fails: false };
    fleet.submit(2, job(vec![step(3, cores(1))]), lasting);
    fleet.advance(rng.random_range(40..SETTLED_MS));
    for _ in 0..rng.random_range(1..4) {
        let reached = some_workers(&mut rng, &fleet);
        fleet.cut_owner_off(reached.clone());
        fleet.advance(rng.random_range(0..1_500));
        // An owner and its successor mostly reach different workers, since the successor
        // ends its predecessor through any that both reach.
        let overlap = if rng.random_bool(0.7) { 0.0 } else { rng.random_range(0.0..0.5) };
        for worker in fleet.workers.values_mut() {
            worker.is_reachable = !reached.contains(&worker.name) || rng.random_bool(overlap);
        }
        fleet.replace_owner(false);
        for _ in 0..rng.random_range(0..6) {
            fleet.advance(rng.random_range(20..1_500));
            let name = format!("w{}", rng.random_range(0..workers));
            match rng.random_range(0..8) {
                0 | 1 => fleet.restart_worker(&name),
                2 => fleet.worker(&name).is_reachable = rng.random_bool(0.5),
                3 => {
                    let reached = some_workers(&mut rng, &fleet);
                    fleet.cut_off.iter_mut().for_each(|owner| owner.reached = reached.clone());
                }
                _ => {}
            }
        }
    }
    fleet.advance(rng.random_range(0..15_000));
    assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    for worker in fleet.workers.values_mut() {
        worker.is_reachable = true;
    }
    fleet.list_workers();
    fleet.advance(30_000);
    assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    assert!(fleet.running() >= tasks, "seed {seed}: {} tasks run", fleet.running());
}

#[test]
fn no_task_runs_twice_beside_owners_without_the_store() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        check_seed(seed);
    }
}
