//! Shares of organisations in a full pool: a hot organisation, weights, lent
//! room, large jobs, ageing, and the loss of the owner.

mod workload_fake;

use std::collections::BTreeMap;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::spec::JobSpec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::workload_fake::Fleet;
use crate::workload_fake::POOL;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const WORKERS: usize = 4;
const WORKER_CORES: u64 = 8;
const POOL_CORES: u64 = 32;
/// Part of its due share by which an organisation may miss it while the pool is
/// full, in permille.
const SHARE_ERROR_PERMILLE: u64 = 100;
/// Part of their jobs that a hot organisation may cost the others, in permille.
const HOT_COST_PERMILLE: u64 = 50;
/// Ageing bound of the design note.
const AGEING_MS: u64 = 10_000;
const RUN_MS: u64 = 500;
const RUN: Work = Work { work_ms: RUN_MS, fails: false };

fn fleet(weights: &[(&str, u64)], share_by_weight: bool) -> Fleet {
    let mut fleet = Fleet::new(WORKERS, cores(WORKER_CORES));
    fleet.weights = weights.iter().map(|(name, weight)| ((*name).to_owned(), *weight)).collect();
    fleet.configure(2);
    fleet.features.share_by_weight = share_by_weight;
    let features = fleet.features;
    fleet.owner.as_mut().expect("an owner").set_features(features);
    fleet
}

fn job_of(organisation: &str, tasks: u32, request: Resources) -> JobSpec {
    JobSpec { organisation: Some(organisation.to_owned()), ..job(vec![step(tasks, request)]) }
}

/// Submits `count` jobs of one task, with one core each.
fn flood(fleet: &mut Fleet, organisation: &str, first: u64, count: u64, work: Work) {
    for key in first..first + count {
        let mut spec = job_of(organisation, 1, cores(1));
        spec.accepted_unix_ms = fleet.now;
        fleet.submit(key, spec, work);
    }
}

/// Cores that the tasks of each organisation run on.
fn running(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut running = BTreeMap::new();
    for task in fleet.workers.values().flat_map(|worker| worker.running.keys()) {
        let spec = &fleet.jobs[&task.job];
        let cores = spec.steps[task.step as usize].request.cpu_milli / 1_000;
        *running.entry(spec.organisation.clone().expect("an organisation")).or_default() += cores;
    }
    running
}

/// Core-milliseconds that each organisation gets in `ms`.
fn measure(fleet: &mut Fleet, ms: u64) -> BTreeMap<String, u64> {
    let mut got: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..ms / 20 {
        fleet.advance(20);
        for (organisation, cores) in running(fleet) {
            *got.entry(organisation).or_default() += cores * 20;
        }
    }
    got
}

/// A load that takes half of the pool, as one job of "calm" each 125 ms, for 8 s,
/// and from 2 to 6 s ten times what the pool can do from "hot". Returns the number
/// of jobs of "calm" that ended within their objective.
fn calm_jobs_in_time(share_by_weight: bool, is_hot: bool) -> usize {
    const OBJECTIVE_MS: u64 = 1_400;
    let mut fleet = fleet(&[("calm", 8), ("hot", 8)], share_by_weight);
    let begin = fleet.now;
    let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
    for tick in 0..64 {
        let spec = job_of("calm", 4, cores(1));
        sent.insert(tick, fleet.now);
        fleet.submit(tick, spec, RUN);
        if is_hot && (2_000..6_000).contains(&(fleet.now - begin)) {
            flood(&mut fleet, "hot", 10_000 + tick * 100, 80, RUN);
        }
        fleet.advance(120);
    }
    fleet.advance(2_000);
    fleet.assert_no_violations();
    let in_time = |(key, sent): &(&u64, &u64)| {
        (0..4).all(|index| {
            let task = TaskName { job: JobKey(**key), occurrence: 0, step: 0, index };
            fleet.done.get(&task).is_some_and(|done| done - **sent <= OBJECTIVE_MS)
        })
    };
    sent.iter().filter(in_time).count()
}

/// Answers the load of an organisation that sends many times its due: the jobs of
/// the others waited behind it.
#[test]
fn hot_organisation_costs_the_others_at_most_the_stated_share() {
    let calm = calm_jobs_in_time(true, false) as u64;
    let beside_hot = calm_jobs_in_time(true, true) as u64;
    let without_shares = calm_jobs_in_time(false, true) as u64;
    assert!(beside_hot * 1_000 >= calm * (1_000 - HOT_COST_PERMILLE), "{beside_hot} of {calm}");
    assert!(without_shares < beside_hot, "the load of the test must do harm");
}

/// Guards against weights that have no effect while all organisations want more
/// than the pool has.
#[test]
fn weights_divide_a_full_pool() {
    let weights = [("a", 1), ("b", 2), ("c", 5)];
    let mut fleet = fleet(&weights, true);
    for (number, (name, _)) in (1..).zip(weights) {
        flood(&mut fleet, name, number * 10_000, 400, RUN);
    }
    fleet.advance(1_000);
    let got = measure(&mut fleet, 5_000);
    let all: u64 = got.values().sum();
    for (name, weight) in weights {
        let due = all * weight / 8;
        let error = got[name].abs_diff(due) * 1_000 / due;
        assert!(error <= SHARE_ERROR_PERMILLE, "{name}: {} of {due}", got[name]);
    }
    fleet.assert_no_violations();
}

/// Guards against room that stays idle because nobody below its share wants it,
/// and against a later debt for what was lent.
#[test]
fn unused_room_is_lent_and_returned() {
    let mut fleet = fleet(&[("a", 1), ("b", 9)], true);
    flood(&mut fleet, "a", 1, 200, RUN);
    fleet.advance(300);
    assert_eq!(running(&fleet)["a"], POOL_CORES);
    let first = fleet.now;
    flood(&mut fleet, "b", 10_000, 200, RUN);
    fleet.advance(RUN_MS + 200);
    let b = running(&fleet)["b"];
    assert!(b * 1_000 >= POOL_CORES * 900 * (1_000 - SHARE_ERROR_PERMILLE) / 1_000, "{b}");
    assert!(fleet.now - first < 2 * RUN_MS);
    fleet.assert_no_violations();
}

/// Answers small tasks that take the room that frees on each worker, so that a
/// large task never finds enough on one.
#[test]
fn large_job_of_a_small_organisation_starts_beside_small_ones() {
    let mut fleet = fleet(&[("large", 1), ("small", 9)], true);
    flood(&mut fleet, "small", 1, 200, RUN);
    fleet.advance(300);
    let key = fleet.submit(10_000, job_of("large", 1, cores(WORKER_CORES)), RUN);
    fleet.advance(3 * RUN_MS);
    let task = TaskName { job: key, occurrence: 0, step: 0, index: 0 };
    assert!(fleet.last_starts.contains_key(&task), "the task did not start");
    fleet.assert_no_violations();
}

/// Guards against a job that waits for ever behind newer jobs of its organisation
/// and of others.
#[test]
fn oldest_job_starts_within_the_ageing_bound() {
    let mut fleet = fleet(&[("a", 1), ("b", 99)], true);
    flood(&mut fleet, "b", 1, 500, RUN);
    fleet.advance(100);
    let old = fleet.submit(20_000, job_of("a", 8, cores(4)), RUN);
    let task = TaskName { job: old, occurrence: 0, step: 0, index: 0 };
    let begin = fleet.now;
    let mut key = 30_000;
    while !fleet.last_starts.contains_key(&task) {
        assert!(fleet.now - begin < AGEING_MS + 2 * RUN_MS, "the job did not start");
        flood(&mut fleet, "b", key, 8, RUN);
        flood(&mut fleet, "a", key + 100, 1, RUN);
        key += 200;
        fleet.advance(100);
    }
    fleet.assert_no_violations();
}

/// Guards against shares that need what the lost owner knew: its successor takes
/// what runs and waits from the store.
#[test]
fn shares_hold_after_the_loss_of_the_owner() {
    let weights = [("a", 1), ("b", 3)];
    let mut fleet = fleet(&weights, true);
    for (number, (name, _)) in (1..).zip(weights) {
        flood(&mut fleet, name, number * 10_000, 400, RUN);
    }
    fleet.advance(2_000);
    fleet.replace_owner(false);
    fleet.advance(2_000);
    let got = measure(&mut fleet, 4_000);
    let all: u64 = got.values().sum();
    let (a, due) = (got["a"], all / 4);
    assert!(a.abs_diff(due) * 1_000 / due <= SHARE_ERROR_PERMILLE, "{a} of {due}");
    fleet.assert_no_violations();
}

/// Guards against a class or a share that outlives the shortage.
#[test]
fn no_organisation_is_beyond_its_share_while_the_pool_has_room() {
    let mut fleet = fleet(&[("a", 1), ("b", 1)], true);
    let pool = fleet.catalog.pool_id(POOL);
    let a = Some(fleet.catalog.organisation_id("a"));
    flood(&mut fleet, "a", 1, 200, RUN);
    flood(&mut fleet, "b", 10_000, 4, RUN);
    fleet.advance(200);
    let owner = fleet.owner.as_ref().expect("an owner");
    assert!(owner.is_pool_full(pool) && owner.is_beyond_share(a, pool));
    assert!(owner.use_by_organisation(pool)[&a].used_ppm > 500_000);
    fleet.advance(6_000);
    flood(&mut fleet, "a", 20_000, 8, RUN);
    fleet.advance(40);
    let owner = fleet.owner.as_ref().expect("an owner");
    assert!(!owner.is_pool_full(pool) && !owner.is_beyond_share(a, pool));
}

/// Guards against a job that fits on no worker and makes its pool count as full
/// for organisations that have all that they want.
#[test]
fn job_without_a_worker_puts_nobody_beyond_their_share() {
    let mut fleet = fleet(&[("a", 1), ("b", 1)], true);
    let pool = fleet.catalog.pool_id(POOL);
    let a = Some(fleet.catalog.organisation_id("a"));
    let mut spec = job_of("b", 1, cores(1));
    spec.steps[0].required_label = Some("missing".to_owned());
    fleet.submit(1, spec, RUN);
    flood(&mut fleet, "a", 10, 8, RUN);
    fleet.advance(200);
    assert_eq!(running(&fleet)["a"], 8);
    assert!(!fleet.owner.as_ref().expect("an owner").is_beyond_share(a, pool));
    fleet.assert_no_violations();
}

/// Weighted max-min fairness in cores, by filling all organisations at the same
/// pace in small amounts.
fn reference(organisations: &[(u64, u64)]) -> Vec<f64> {
    const AMOUNT: f64 = 0.001;
    let mut shares = vec![0.0; organisations.len()];
    let mut left = POOL_CORES as f64;
    while left > 0.0 {
        let mut filled = 0.0;
        for (share, (weight, wanted)) in shares.iter_mut().zip(organisations) {
            let added = (AMOUNT * *weight as f64).min(*wanted as f64 - *share).max(0.0);
            *share += added;
            filled += added;
        }
        if filled == 0.0 {
            break;
        }
        left -= filled;
    }
    shares
}

/// Guards against weights and demands in whose combination an organisation gets
/// less than its share while the pool is full.
#[test]
fn random_demands_get_the_shares_of_the_reference() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[46; 32]);
    let config = ProptestConfig { cases: 24, failure_persistence: None, ..Default::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let demands = prop::collection::vec((1_u64..10, 1_u64..40), 2..6);
    let check = |organisations: Vec<(u64, u64)>| {
        let names: Vec<String> = (0..organisations.len()).map(|n| format!("o{n}")).collect();
        let weights: Vec<(&str, u64)> = names
            .iter()
            .zip(&organisations)
            .map(|(name, (weight, _))| (&**name, *weight))
            .collect();
        let mut fleet = fleet(&weights, true);
        // Each wanted core is a chain of steps, so that the demand stays the same.
        let chain = |spec: &JobSpec| {
            let first = spec.steps[0].clone();
            let later = (1..20).map(|number| {
                let depends_on = vec![number - 1];
                cowslipport_lib::workload::spec::StepSpec { depends_on, ..first.clone() }
            });
            [first.clone()].into_iter().chain(later).collect::<Vec<_>>()
        };
        let mut key = 0;
        for (name, (_, wanted)) in names.iter().zip(&organisations) {
            for _ in 0..*wanted {
                key += 1;
                let mut spec = job_of(name, 1, cores(1));
                spec.steps = chain(&spec);
                fleet.submit(key, spec, Work { work_ms: 200, fails: false });
            }
        }
        let is_full = organisations.iter().map(|(_, wanted)| wanted).sum::<u64>() > POOL_CORES;
        fleet.advance(500);
        let got = measure(&mut fleet, 3_000);
        let all: u64 = got.values().sum();
        let due = reference(&organisations);
        let due_all: f64 = due.iter().sum();
        for (name, due) in names.iter().zip(due) {
            let got = *got.get(name).unwrap_or(&0) as f64 * due_all / all as f64;
            // One core more or less is one task.
            let error = due * SHARE_ERROR_PERMILLE as f64 / 1_000.0 + 1.0;
            prop_assert!(!is_full || got >= due - error, "{name}: {got} of {due}");
        }
        prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        Ok(())
    };
    runner.run(&demands, check).unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against time that runs backwards between two owners.
#[test]
fn earlier_time_changes_no_share() {
    let mut fleet = fleet(&[("a", 1), ("b", 1)], true);
    flood(&mut fleet, "a", 1, 200, RUN);
    fleet.advance(200);
    let now = fleet.now;
    let owner = fleet.owner.as_mut().expect("an owner");
    owner.place_tasks(TimeMs(now.saturating_sub(100)), now, &fleet.catalog);
    fleet.advance(1_000);
    assert_eq!(running(&fleet)["a"], POOL_CORES);
    fleet.assert_no_violations();
}
