//! Waves keep every budget and end, whatever fails meanwhile.

mod fleet;

use std::collections::BTreeSet;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::DrainPurpose;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::record::VmStep;
use cowslipport_lib::record::WavePhase;
use cowslipport_lib::wave::WavePlanner;
use cowslipport_lib::wave::WaveView;
use cowslipport_lib::wave::planned_waves;
use cowslipport_lib::wave_decision::WaveDecision;
use cowslipport_lib::wave_decision::WaveWait;
use proptest::prelude::*;

use crate::fleet::Fleet;
use crate::fleet::budgets;
use crate::fleet::cases;
use crate::fleet::wave;

const WAVE: WaveId = WaveId(0);

fn planner() -> WavePlanner {
    WavePlanner::new(WAVE)
}

fn plan(fleet: &Fleet, planner: &mut WavePlanner) -> Vec<WaveDecision> {
    let reports = fleet.reports();
    let donor_pools = BTreeSet::new();
    let view = WaveView {
        state: &fleet.state,
        now: fleet.now,
        reports: &reports,
        donor_pools: &donor_pools,
    };
    planner.plan(view)
}

/// Plans before any record of the other planners is known, then appends.
fn step(fleet: &mut Fleet, planners: &mut [WavePlanner], reply_lost: bool) {
    let plans: Vec<Vec<WaveDecision>> =
        planners.iter_mut().map(|planner| plan(fleet, planner)).collect();
    for decisions in plans {
        for decision in &decisions {
            if let WaveDecision::RequestReboot { vm, operation } = decision {
                fleet.platform_reboot(*vm, *operation);
            }
        }
        let records = decisions.iter().filter_map(WaveDecision::record).collect();
        fleet.append_all(records, reply_lost);
    }
    fleet.tick();
}

fn run(fleet: &mut Fleet, planners: &mut [WavePlanner], seconds: u32) {
    for _ in 0..seconds {
        step(fleet, planners, false);
    }
}

fn phase(fleet: &Fleet) -> WavePhase {
    fleet.state.waves.get(WAVE).expect("the wave exists").phase
}

fn fleet_with_wave(initial_width: u32, max_failed: u32) -> Fleet {
    let mut fleet = Fleet::new(2, 24, &budgets(3, 2));
    fleet.commit(vec![wave("w", &["p0", "p1"], initial_width, max_failed)]);
    fleet
}

fn rebooting(fleet: &Fleet) -> Vec<(VmId, OperationId)> {
    let rebooting = |vm: &cowslipport_lib::control::Vm| {
        vm.operation.filter(|operation| operation.phase == OperationPhase::Rebooting)
    };
    fleet
        .state
        .vms
        .iter()
        .filter_map(|(id, vm)| rebooting(vm).map(|operation| (id, operation.id)))
        .collect()
}

proptest! {
    #![proptest_config(cases(24))]

    /// Guards against racing or replaced planners, lost replies, failed VMs
    /// and a data centre that is out together breaking a budget, cutting a
    /// request, or stopping the wave for good. The invariants are checked at
    /// every offset.
    #[test]
    fn wave_ends_within_all_budgets(
        broken in prop::collection::btree_set(0_u32..24, 0..3),
        fragile in prop::collection::btree_set(0_u32..24, 0..2),
        in_flight in prop::collection::vec(0_u32..20, 24),
        lost in prop::collection::vec(any::<bool>(), 32),
        replaced in 1_usize..200,
        out in 0_usize..100,
        racing in any::<bool>(),
    ) {
        let mut fleet = fleet_with_wave(1, 24);
        fleet.broken = broken.iter().map(|vm| VmId(*vm)).collect();
        fleet.fragile = fragile.iter().map(|vm| VmId(*vm)).collect();
        fleet.in_flight =
            in_flight.iter().enumerate().map(|(vm, count)| (VmId(vm as u32), *count)).collect();
        let mut planners = vec![planner()];
        if racing {
            planners.push(planner());
        }
        let mut ended = false;
        for second in 0..4000 {
            if second == replaced {
                planners[0] = planner();
            }
            if second == out || second == out + 300 {
                fleet.set_data_centre("dc1", second != out);
            }
            // VMs that did not come back are repaired after a while.
            if second % 500 == 499 {
                let down: Vec<VmId> = fleet.state.vms.iter()
                    .filter(|(_, vm)| vm.health == Health::Down).map(|(id, _)| id).collect();
                for vm in down {
                    fleet.set_health(vm, Health::Up);
                }
            }
            step(&mut fleet, &mut planners, lost[second % lost.len()]);
            ended = phase(&fleet) == WavePhase::Finished;
            if ended {
                break;
            }
        }
        prop_assert!(ended, "{:?}", plan(&fleet, &mut planners[0]));
        let wave = fleet.state.waves.get(WAVE).unwrap();
        prop_assert_eq!(wave.done.len() + wave.failed.len(), 16);
        prop_assert!(fleet.rebooted.values().all(|count| *count == 1));
    }

    /// Guards against a wave that goes on into a failure that all VMs share.
    #[test]
    fn correlated_failure_halts_the_wave(max_failed in 0_u32..4, racing in any::<bool>()) {
        let mut fleet = fleet_with_wave(4, max_failed);
        fleet.broken = (0..24).map(VmId).collect();
        let mut planners = vec![planner()];
        if racing {
            planners.push(planner());
        }
        run(&mut fleet, &mut planners, 600);
        prop_assert_eq!(phase(&fleet), WavePhase::Halted);
        // At most the VMs that were under way when the first one failed.
        let failed = fleet.state.waves.get(WAVE).unwrap().failed.len();
        prop_assert!(failed <= max_failed as usize + 4, "{} failed", failed);
        prop_assert!(fleet.state.vms.iter().all(|(_, vm)| vm.operation.is_none()));
    }
}

/// Guards against VMs that break only after they came back going unnoticed.
#[test]
fn failure_in_the_soak_time_narrows_and_halts() {
    let mut fleet = fleet_with_wave(4, 0);
    fleet.fragile = (0..24).map(VmId).collect();
    run(&mut fleet, &mut [planner()], 300);
    assert_eq!(phase(&fleet), WavePhase::Halted);
    let wave = fleet.state.waves.get(WAVE).unwrap();
    assert_eq!((wave.width, wave.step_failed), (1, 4));
}

/// Guards against a proposal that was on its way resuming a halted wave, and
/// against a halted wave that an operator cannot resume.
#[test]
fn only_an_operator_resumes_a_halted_wave() {
    let mut fleet = fleet_with_wave(4, 0);
    fleet.broken.insert(VmId(0));
    run(&mut fleet, &mut [planner()], 200);
    assert_eq!(phase(&fleet), WavePhase::Halted);
    let update = |width| RecordBody::WaveUpdate { wave: WAVE, phase: WavePhase::Running, width };
    let record = ControlRecord { id: fleet.next_id(), body: update(8) };
    assert_eq!(fleet.append(&record), Outcome::Void(VoidReason::WaveStep(WAVE)));
    let width = fleet.state.waves.get(WAVE).unwrap().width;
    fleet.apply_valid(update(width));
    // Until it is repaired, the VM uses up the budget of its rack.
    fleet.set_health(VmId(0), Health::Up);
    run(&mut fleet, &mut [planner()], 2000);
    assert_eq!(phase(&fleet), WavePhase::Finished);
}

/// Guards against widening without evidence: no more VMs are under way or
/// unproven than the width, which starts small and doubles.
#[test]
fn wave_starts_small_and_doubles() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    let mut widths = vec![1];
    for _ in 0..400 {
        step(&mut fleet, &mut planners, false);
        let wave = fleet.state.waves.get(WAVE).unwrap();
        let under_way = fleet.state.vms.iter().filter(|(_, vm)| vm.operation.is_some()).count();
        assert!(under_way <= wave.width as usize);
        if widths.last() != Some(&wave.width) {
            widths.push(wave.width);
        }
    }
    assert_eq!(widths, [1, 2, 4, 8]);
}

/// Guards against a stop that nobody can explain.
#[test]
fn a_used_up_budget_is_named() {
    let mut fleet = fleet_with_wave(4, 1);
    for vm in [0, 12] {
        fleet.set_health(VmId(vm), Health::Down);
    }
    let decisions = plan(&fleet, &mut planner());
    let waits: Vec<String> = decisions
        .iter()
        .filter_map(|decision| {
            let WaveDecision::Wait(wait) = decision else { return None };
            Some(wait.describe(&fleet.state))
        })
        .collect();
    insta::assert_debug_snapshot!(waits, @r#"
    [
        "waits for budget of pool p0 in data centre dc0: 2 unavailable of 2",
        "waits for budget of pool p1 in rack dc1/r1: 1 unavailable of 1",
    ]
    "#);
}

/// Guards against a VM that stays drained because its wave is gone.
#[test]
fn removed_wave_leaves_no_vm_drained() {
    let mut fleet = fleet_with_wave(4, 1);
    let mut planners = [planner()];
    run(&mut fleet, &mut planners, 3);
    assert!(!rebooting(&fleet).is_empty());
    fleet.commit(vec![ConfigChange::RemoveWave("w".to_owned())]);
    assert_eq!(planned_waves(&fleet.state), BTreeSet::from([WAVE]));
    run(&mut fleet, &mut planners, 60);
    assert!(fleet.state.vms.iter().all(|(_, vm)| vm.operation.is_none()));
    assert!(planned_waves(&fleet.state).is_empty());
}

/// Guards against drains of a data centre that is out exceeding the budget
/// when it comes back.
#[test]
fn operations_stay_within_the_budget_of_a_data_centre_that_is_out() {
    let mut fleet = fleet_with_wave(1, 1);
    fleet.set_data_centre("dc0", false);
    let purpose = DrainPurpose::Wave(WAVE);
    let drained = (0..24)
        .filter(|vm| vm / 4 % 3 == 0 && vm % 3 == 0)
        .map(|vm| ControlRecord {
            id: fleet.next_id(),
            body: RecordBody::DrainBegin { vm: VmId(vm), purpose },
        })
        .collect::<Vec<_>>()
        .iter()
        .filter(|record| matches!(fleet.append(record), Outcome::Applied(_)))
        .count();
    assert_eq!(drained, 2);
}

/// Guards against a wave that waits for ever for a VM that came back and then
/// left the fleet to stay healthy.
#[test]
fn vm_that_leaves_in_its_soak_time_does_not_stop_the_wave() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    while fleet.state.waves.get(WAVE).unwrap().step_done.is_empty() {
        step(&mut fleet, &mut planners, false);
    }
    let vm = fleet.state.waves.get(WAVE).unwrap().step_done[0];
    fleet.apply_valid(RecordBody::VmBatch(vec![VmObservation::Left { vm }]));
    run(&mut fleet, &mut planners, 2000);
    assert_eq!(phase(&fleet), WavePhase::Finished);
}

/// Guards against a VM of a data centre that is out counting as failed.
#[test]
fn reboot_timeout_does_not_run_in_a_data_centre_that_is_out() {
    let mut fleet = fleet_with_wave(4, 0);
    let mut planners = [planner()];
    run(&mut fleet, &mut planners, 3);
    let (vm, operation) = rebooting(&fleet)[0];
    let data_centre = fleet.state.vms.get(vm).unwrap().joined.data_centre.clone();
    fleet.broken.insert(vm);
    fleet.set_data_centre(&data_centre, false);
    run(&mut fleet, &mut planners, 200);
    assert!(fleet.state.waves.get(WAVE).unwrap().failed.is_empty());
    fleet.set_data_centre(&data_centre, true);
    fleet.broken.clear();
    run(&mut fleet, &mut planners, 2);
    let step = RecordBody::VmOperation { vm, operation, step: VmStep::Done };
    let record = ControlRecord { id: fleet.next_id(), body: step };
    assert!(matches!(fleet.append(&record), Outcome::Void(_)), "the planner was done before");
    assert!(fleet.state.waves.get(WAVE).unwrap().done.contains(&vm));
}

/// Guards against a wait without end for a width that is used up.
#[test]
fn width_is_named_as_the_reason() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    run(&mut fleet, &mut planners, 2);
    let decisions = plan(&fleet, &mut planners[0]);
    assert!(decisions.contains(&WaveDecision::Wait(WaveWait::Width { width: 1 })));
}
