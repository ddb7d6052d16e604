//! Randomised tests of the dispatcher: workers are unreachable, restart, or
//! fail every task, starts and polls are delayed, owners replace each other, and the
//! store is down.

mod workload_fake;

use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::spec::StepSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Number of seeds of a run in CI. The environment variable `SEEDS` overrides
/// it.
const SEEDS: u64 = 60;
const FAULT_ROUNDS: u64 = 60;
/// Every open job must end within this time after the last fault: the longest
/// wait for a former owner and its leases, and then the work itself.
const RECOVERY_MS: u64 = 60_000;

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn worker_name(rng: &mut ChaCha8Rng) -> String {
    format!("w{}", rng.random_range(0..6))
}

fn submit(rng: &mut ChaCha8Rng, fleet: &mut Fleet, key: u64) -> JobKey {
    let first = step(rng.random_range(1..6), cores(rng.random_range(1..3)));
    let second = StepSpec {
        depends_on: vec![0],
        gang: rng.random_bool(0.2),
        max_tasks_per_worker: rng.random_bool(0.3).then_some(2),
        ..step(rng.random_range(1..4), cores(1))
    };
    let work = Work { work_ms: rng.random_range(100..2_000), fails: rng.random_bool(0.1) };
    fleet.submit(key, job(vec![first, second]), work)
}

fn inject_fault(rng: &mut ChaCha8Rng, fleet: &mut Fleet) {
    let name = worker_name(rng);
    match rng.random_range(0..11) {
        0 => fleet.worker(&name).is_reachable = false,
        1 | 2 => fleet.worker(&name).is_reachable = true,
        3 => fleet.restart_worker(&name),
        4 => fleet.replace_owner(rng.random_bool(0.5)),
        5 => fleet.delayed_worker = Some(name),
        6 => fleet.delayed_worker = None,
        7 => fleet.store_is_up = rng.random_bool(0.6),
        8 => fleet.worker(&name).fails_every_task = rng.random_bool(0.3),
        9 => fleet.unpolled_worker = Some(name),
        10 => fleet.unpolled_worker = None,
        _ => unreachable!("the range ends before"),
    }
}

fn check_seed(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(6, cores(4));
    let mut keys = Vec::new();
    for round in 0..FAULT_ROUNDS {
        if rng.random_bool(0.7) {
            keys.push(submit(&mut rng, &mut fleet, round + 1));
        }
        if rng.random_bool(0.1) && !keys.is_empty() {
            let key = keys.swap_remove(rng.random_range(0..keys.len()));
            fleet.cancel(key);
        }
        inject_fault(&mut rng, &mut fleet);
        fleet.advance(rng.random_range(20..800));
        assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    }
    fleet.delayed_worker = None;
    fleet.unpolled_worker = None;
    fleet.store_is_up = true;
    for index in 0..6 {
        let worker = fleet.worker(&format!("w{index}"));
        worker.is_reachable = true;
        worker.fails_every_task = false;
    }
    fleet.list_workers();
    fleet.advance(RECOVERY_MS);
    assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    for key in keys {
        assert!(fleet.outcome(key).is_some(), "seed {seed}: job {key} has not ended");
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    for seed in 0..seeds() {
        check_seed(seed);
    }
}
