//! Tests of owners that are cut off from the store, with some of the workers, before it
//! has a record of theirs. Their successors read the record of an earlier owner.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::spec::StepSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::workload_fake::Fleet;
use crate::workload_fake::OWNERSHIP_TTL_MS;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const WORKERS: usize = 6;
/// Time until the store has the first witnesses, and the leases of all tasks are known.
const SETTLED_MS: u64 = 3_000;
/// Time for which an owner polls the workers before it is cut off.
const OWNED_MS: u64 = 300;
/// Longer than any lease.
const WATCHED_MS: u64 = 15_000;
/// Number of seeds in CI. The environment variable `SEEDS` overrides it.
const SEEDS: u64 = 60;

/// A fleet with a long-running task on each worker and room for all of them on two.
fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::new(WORKERS, cores(4));
    let spread = StepSpec {
        long_running: true,
        max_tasks_per_worker: Some(3),
        ..step(WORKERS as u32, cores(1))
    };
    fleet.submit(1, job(vec![spread]), SHORT_WORK);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.running(), WORKERS);
    fleet
}

/// Replaces the owner by one whose records are not stored, and cuts it off with these
/// workers. Its successor is chosen as soon as the store may choose one, and does not
/// reach them.
fn cut_unrecorded_owner_off(fleet: &mut Fleet, is_clean: bool, reached: &BTreeSet<String>) {
    fleet.replace_owner(is_clean);
    fleet.store_is_up = false;
    fleet.advance(OWNED_MS);
    fleet.cut_owner_off(reached.clone());
    for worker in fleet.workers.values_mut() {
        worker.is_reachable = !reached.contains(&worker.name);
    }
    fleet.advance(OWNERSHIP_TTL_MS);
    fleet.store_is_up = true;
}

fn workers(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Changes the ownership record that the next owner reads.
fn change_record<F>(fleet: &mut Fleet, change: F)
where
    F: FnOnce(&mut OwnershipRecord),
{
    let bytes = &fleet.store[&RecordKey::Ownership];
    let mut record = OwnershipRecord::decode(bytes).expect("a valid record");
    change(&mut record);
    fleet.store.insert(RecordKey::Ownership, record.encode());
}

/// No task runs twice, and those of the workers that are cut off run elsewhere.
fn check_successor(mut fleet: Fleet) {
    fleet.replace_owner(false);
    check_tasks(fleet);
}

fn check_tasks(mut fleet: Fleet) {
    fleet.advance(WATCHED_MS);
    fleet.assert_no_violations();
    assert_eq!(fleet.running(), WORKERS);
}

/// The successor takes the owner that has released its ownership for the last one, and
/// started the tasks of the workers that it did not reach before their leases expired.
#[test]
fn tasks_run_once_after_an_owner_without_a_record() {
    let mut fleet = busy_fleet();
    cut_unrecorded_owner_off(&mut fleet, true, &workers(&["w0", "w2"]));
    check_successor(fleet);
}

/// The same if the store has no ownership record at all.
#[test]
fn tasks_run_once_after_an_owner_without_any_record() {
    let mut fleet = busy_fleet();
    cut_unrecorded_owner_off(&mut fleet, false, &workers(&["w0", "w2"]));
    fleet.store.remove(&RecordKey::Ownership);
    check_successor(fleet);
}

/// The same if the record is one of the successor's own node.
#[test]
fn tasks_run_once_after_an_owner_between_two_of_one_node() {
    let mut fleet = busy_fleet();
    cut_unrecorded_owner_off(&mut fleet, false, &workers(&["w0", "w2"]));
    let node = format!("n{}", fleet.epoch + 1);
    change_record(&mut fleet, |record| record.owner.node = node);
    check_successor(fleet);
}

/// The same if the node of the recorded owner has started again meanwhile.
#[test]
fn tasks_run_once_after_an_owner_that_follows_a_restarted_node() {
    let mut fleet = busy_fleet();
    cut_unrecorded_owner_off(&mut fleet, false, &workers(&["w0", "w2"]));
    let record = OwnershipRecord::decode(&fleet.store[&RecordKey::Ownership]);
    let recorded = record.expect("a valid record").owner;
    fleet.replace_owner(false);
    let now = fleet.time();
    let restarted = NodeIncarnation { incarnation: u64::MAX, ..recorded };
    fleet.owner.as_mut().expect("an owner").node_started(now, &restarted);
    check_tasks(fleet);
}

/// The same after two owners without a record, which are cut off with other workers.
#[test]
fn tasks_run_once_after_two_owners_without_a_record() {
    let mut fleet = busy_fleet();
    cut_unrecorded_owner_off(&mut fleet, true, &workers(&["w0", "w2"]));
    cut_unrecorded_owner_off(&mut fleet, false, &workers(&["w1", "w3"]));
    for name in ["w0", "w2"] {
        fleet.worker(name).is_reachable = false;
    }
    check_successor(fleet);
}

/// Owners with and without records follow each other, each cut off with some workers.
fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = busy_fleet();
    for _ in 0..rng.random_range(1..5) {
        let share = rng.random_range(0.1..0.7);
        let names = fleet.workers.keys().cloned().collect::<Vec<_>>();
        let reached = names.into_iter().filter(|_| rng.random_bool(share)).collect();
        let is_clean = rng.random_bool(0.5);
        fleet.replace_owner(is_clean);
        fleet.store_is_up = rng.random_bool(0.3);
        fleet.advance(rng.random_range(0..600));
        fleet.cut_owner_off(reached);
        let reached = fleet.cut_off.last().expect("a former owner").reached.clone();
        for worker in fleet.workers.values_mut() {
            worker.is_reachable = !reached.contains(&worker.name);
        }
        fleet.store_is_up = true;
        fleet.advance(OWNERSHIP_TTL_MS + rng.random_range(0..400));
    }
    fleet.replace_owner(false);
    fleet.advance(WATCHED_MS);
    for worker in fleet.workers.values_mut() {
        worker.is_reachable = true;
    }
    fleet.list_workers();
    fleet.advance(WATCHED_MS);
    assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    assert!(fleet.running() >= WORKERS, "seed {seed}: {} tasks run", fleet.running());
}

#[test]
fn no_task_runs_twice_beside_owners_without_a_record() {
    let seeds = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        check_seed(seed);
    }
}
