//! Tests of the forecast of demand: VMs come ahead of turns that repeat, and
//! demand that does not repeat costs no more than without a forecast.

mod demand_world;
mod workload_fake;

use crate::demand_world::Cost;
use crate::demand_world::Rates;
use crate::demand_world::World;

const SEEDS: [u64; 3] = [0x1234_5678, 0x9e37_79b9, 0x0bad_cafe];
const CYCLE_MS: u64 = 12_000;

/// The demand rises by turns: twenty jobs a second for 4 s, one in between.
fn turns(now: u64) -> [u64; 2] {
    let rate = |phase_ms: u64| if (now + phase_ms) % CYCLE_MS < 4_000 { 20 } else { 1 };
    [rate(0), rate(6_000)]
}

/// Costs of a time with and without the forecast, over all seeds.
fn costs(rates: Rates, from: u64, until: u64) -> (Cost, Cost) {
    let cost = |is_on: bool| {
        let mut sum = Cost::default();
        for seed in SEEDS {
            let mut world = World::new(seed, rates, is_on);
            world.run_until(from);
            add(&mut sum, world.run_until(until));
        }
        assert_eq!(sum.stopped, 0, "a move stopped tasks");
        sum
    };
    (cost(true), cost(false))
}

fn add(sum: &mut Cost, cost: Cost) {
    sum.vm_ms += cost.vm_ms;
    sum.moves += cost.moves;
    sum.waited_ms += cost.waited_ms;
    sum.stopped += cost.stopped;
}

/// Guards against VMs that come only when tasks wait: once turns are learned,
/// tasks wait for half as long, with fewer VMs and moves.
#[test]
fn turns_that_repeat_are_met_by_vms() {
    let (on, off) = costs(turns, 48_000, 96_000);
    assert!(on.waited_ms * 2 <= off.waited_ms, "{on:?} {off:?}");
    assert!(on.vm_ms <= off.vm_ms && on.moves <= off.moves, "{on:?} {off:?}");
}

/// Guards against trust in a period that has changed: VMs for turns that no
/// longer come would be paid for nothing.
#[test]
fn period_that_has_changed_is_given_up() {
    let shift: Rates = |now| if now < 60_000 { turns(now) } else { turns(now + now / 3) };
    let (on, off) = costs(shift, 60_000, 100_000);
    assert!(on.vm_ms <= off.vm_ms && on.moves <= off.moves, "{on:?} {off:?}");
    assert!(on.waited_ms <= off.waited_ms, "{on:?} {off:?}");
}

/// Guards against VMs for a burst that does not come again.
#[test]
fn single_burst_costs_no_more_vms() {
    let burst: Rates = |now| if (20_000..22_500).contains(&now) { [25, 3] } else { [3, 3] };
    let (on, off) = costs(burst, 0, 40_000);
    assert!(on.vm_ms <= off.vm_ms && on.moves <= off.moves, "{on:?} {off:?}");
}

/// Guards against moves back and forth while the demand only varies by chance.
#[test]
fn noise_moves_no_more_vms() {
    let (on, off) = costs(|_| [8, 8], 5_000, 40_000);
    assert!(on.moves <= off.moves && on.vm_ms <= off.vm_ms, "{on:?} {off:?}");
}

/// Guards against the loss of what was learned with the owner: its successor
/// meets the next turn as well as the former owner would have. Without the
/// record it still serves the turn.
#[test]
fn successor_takes_over_the_learned_turns() {
    let mut waited = [Cost::default(); 2];
    for seed in SEEDS {
        for (sum, keeps_record) in waited.iter_mut().zip([true, false]) {
            let mut world = World::new(seed, turns, true);
            world.run_until(47_000);
            world.replace_owner(keeps_record);
            add(sum, world.run_until(58_000));
        }
    }
    let [with, without] = waited;
    assert!(with.waited_ms * 2 <= without.waited_ms, "{with:?} {without:?}");
}

/// Guards against moves by a list that is too old: while the VM service gives
/// no list nothing moves, and no task is stopped once it does.
#[test]
fn no_vm_moves_without_the_list() {
    let mut world = World::new(SEEDS[0], turns, true);
    world.run_until(47_000);
    world.lists_vms = false;
    world.run_until(48_600);
    assert_eq!(world.run_until(52_000).moves, 0);
    world.lists_vms = true;
    let cost = world.run_until(60_000);
    assert!(cost.moves > 0 && cost.stopped == 0, "{cost:?}");
}
