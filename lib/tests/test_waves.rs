//! Waves stay within every budget and finish despite failures.

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
use crate::fleet::proptest_config;
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

/// Lets all planners plan on the same state, then appends their records and
/// advances the clock.
fn plan_and_append(fleet: &mut Fleet, planners: &mut [WavePlanner], reply_lost: bool) {
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

fn run_seconds(fleet: &mut Fleet, planners: &mut [WavePlanner], seconds: u32) {
    for _ in 0..seconds {
        plan_and_append(fleet, planners, false);
    }
}

fn wave_phase(fleet: &Fleet) -> WavePhase {
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
    #![proptest_config(proptest_config(24))]

    /// Guards against a combination of racing or replaced planners, lost
    /// replies, failed VMs and a data centre out of service that exceeds a
    /// budget, interrupts a request or stalls the wave for ever. The
    /// invariants are asserted at every offset.
    #[test]
    fn wave_ends_within_all_budgets(
        failing_reboots in prop::collection::btree_set(0_u32..24, 0..3),
        failing_after_reboot in prop::collection::btree_set(0_u32..24, 0..2),
        in_flight in prop::collection::vec(0_u32..20, 24),
        reply_lost in prop::collection::vec(any::<bool>(), 32),
        replaced_at in 1_usize..200,
        outage_start in 0_usize..100,
        racing in any::<bool>(),
    ) {
        let mut fleet = fleet_with_wave(1, 24);
        fleet.failing_reboots = failing_reboots.iter().map(|vm| VmId(*vm)).collect();
        fleet.failing_after_reboot = failing_after_reboot.iter().map(|vm| VmId(*vm)).collect();
        fleet.in_flight =
            in_flight.iter().enumerate().map(|(vm, count)| (VmId(vm as u32), *count)).collect();
        let mut planners = vec![planner()];
        if racing {
            planners.push(planner());
        }
        let mut finished = false;
        for second in 0..4000 {
            if second == replaced_at {
                planners[0] = planner();
            }
            if second == outage_start || second == outage_start + 300 {
                fleet.set_data_centre("dc1", second != outage_start);
            }
            // VMs that are down are repaired every 500 seconds.
            if second % 500 == 499 {
                let down: Vec<VmId> = fleet.state.vms.iter()
                    .filter(|(_, vm)| vm.health == Health::Down).map(|(id, _)| id).collect();
                for vm in down {
                    fleet.set_health(vm, Health::Up);
                }
            }
            plan_and_append(&mut fleet, &mut planners, reply_lost[second % reply_lost.len()]);
            finished = wave_phase(&fleet) == WavePhase::Finished;
            if finished {
                break;
            }
        }
        prop_assert!(finished, "{:?}", plan(&fleet, &mut planners[0]));
        let wave = fleet.state.waves.get(WAVE).unwrap();
        prop_assert_eq!(wave.done.len() + wave.failed.len(), 16);
        prop_assert!(fleet.reboot_counts.values().all(|count| *count == 1));
    }

    /// Guards against a wave that continues although all VMs fail for the same
    /// reason.
    #[test]
    fn correlated_failure_halts_the_wave(max_failed in 0_u32..4, racing in any::<bool>()) {
        let mut fleet = fleet_with_wave(4, max_failed);
        fleet.failing_reboots = (0..24).map(VmId).collect();
        let mut planners = vec![planner()];
        if racing {
            planners.push(planner());
        }
        run_seconds(&mut fleet, &mut planners, 600);
        prop_assert_eq!(wave_phase(&fleet), WavePhase::Halted);
        // Only VMs whose maintenance had begun when the limit was exceeded may
        // fail in addition.
        let failed = fleet.state.waves.get(WAVE).unwrap().failed.len();
        prop_assert!(failed <= max_failed as usize + 4, "{} failed", failed);
        prop_assert!(fleet.state.vms.iter().all(|(_, vm)| vm.operation.is_none()));
    }
}

/// Guards against a wave that ignores VMs that come back and go down within the
/// soak time.
#[test]
fn failure_in_the_soak_time_narrows_and_halts() {
    let mut fleet = fleet_with_wave(4, 0);
    fleet.failing_after_reboot = (0..24).map(VmId).collect();
    run_seconds(&mut fleet, &mut [planner()], 300);
    assert_eq!(wave_phase(&fleet), WavePhase::Halted);
    let wave = fleet.state.waves.get(WAVE).unwrap();
    assert_eq!((wave.width, wave.step_failed), (1, 4));
}

/// Guards against a halted wave that is resumed by a record proposed before it
/// halted, and against one that an operator cannot resume.
#[test]
fn only_an_operator_resumes_a_halted_wave() {
    let mut fleet = fleet_with_wave(4, 0);
    fleet.failing_reboots.insert(VmId(0));
    run_seconds(&mut fleet, &mut [planner()], 200);
    assert_eq!(wave_phase(&fleet), WavePhase::Halted);
    let update = |width| RecordBody::WaveUpdate { wave: WAVE, phase: WavePhase::Running, width };
    let record = ControlRecord { id: fleet.next_id(), body: update(8) };
    assert_eq!(fleet.append(&record), Outcome::Void(VoidReason::WaveStep(WAVE)));
    let width = fleet.state.waves.get(WAVE).unwrap().width;
    fleet.apply_valid(update(width));
    // Until the VM is repaired, it uses up the budget of its rack.
    fleet.set_health(VmId(0), Health::Up);
    run_seconds(&mut fleet, &mut [planner()], 2000);
    assert_eq!(wave_phase(&fleet), WavePhase::Finished);
}

/// Guards against a wave that widens before its VMs stayed healthy for the soak
/// time: the width starts small and doubles, and no more VMs have an operation
/// than it allows.
#[test]
fn wave_starts_small_and_doubles() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    let mut widths = vec![1];
    for _ in 0..400 {
        plan_and_append(&mut fleet, &mut planners, false);
        let wave = fleet.state.waves.get(WAVE).unwrap();
        let under_way = fleet.state.vms.iter().filter(|(_, vm)| vm.operation.is_some()).count();
        assert!(under_way <= wave.width as usize);
        if widths.last() != Some(&wave.width) {
            widths.push(wave.width);
        }
    }
    assert_eq!(widths, [1, 2, 4, 8]);
}

/// Guards against a wave that waits for a budget without naming it.
#[test]
fn wait_names_the_exhausted_budget() {
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

/// Guards against a VM that stays drained after its wave was removed.
#[test]
fn removed_wave_leaves_no_vm_drained() {
    let mut fleet = fleet_with_wave(4, 1);
    let mut planners = [planner()];
    run_seconds(&mut fleet, &mut planners, 3);
    assert!(!rebooting(&fleet).is_empty());
    fleet.commit(vec![ConfigChange::RemoveWave("w".to_owned())]);
    assert_eq!(planned_waves(&fleet.state), BTreeSet::from([WAVE]));
    run_seconds(&mut fleet, &mut planners, 60);
    assert!(fleet.state.vms.iter().all(|(_, vm)| vm.operation.is_none()));
    assert!(planned_waves(&fleet.state).is_empty());
}

/// Guards against drains in a data centre out of service that exceed the budget
/// when the data centre returns.
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

/// Guards against a wave that waits for ever for the soak time of a VM that has
/// left the fleet.
#[test]
fn vm_that_leaves_in_its_soak_time_does_not_stop_the_wave() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    while fleet.state.waves.get(WAVE).unwrap().step_done.is_empty() {
        plan_and_append(&mut fleet, &mut planners, false);
    }
    let vm = fleet.state.waves.get(WAVE).unwrap().step_done[0];
    fleet.apply_valid(RecordBody::VmBatch(vec![VmObservation::Left { vm }]));
    run_seconds(&mut fleet, &mut planners, 2000);
    assert_eq!(wave_phase(&fleet), WavePhase::Finished);
}

/// Guards against a VM that counts as failed because its data centre is out of
/// service.
#[test]
fn reboot_timeout_does_not_run_in_a_data_centre_that_is_out() {
    let mut fleet = fleet_with_wave(4, 0);
    let mut planners = [planner()];
    run_seconds(&mut fleet, &mut planners, 3);
    let (vm, operation) = rebooting(&fleet)[0];
    let data_centre = fleet.state.vms.get(vm).unwrap().joined.data_centre.clone();
    fleet.failing_reboots.insert(vm);
    fleet.set_data_centre(&data_centre, false);
    run_seconds(&mut fleet, &mut planners, 200);
    assert!(fleet.state.waves.get(WAVE).unwrap().failed.is_empty());
    fleet.set_data_centre(&data_centre, true);
    fleet.failing_reboots.clear();
    run_seconds(&mut fleet, &mut planners, 2);
    let step = RecordBody::VmOperation { vm, operation, step: VmStep::Done };
    let record = ControlRecord { id: fleet.next_id(), body: step };
    assert!(
        matches!(fleet.append(&record), Outcome::Void(_)),
        "the planner recorded the end before"
    );
    assert!(fleet.state.waves.get(WAVE).unwrap().done.contains(&vm));
}

/// Guards against a wave that waits for a free place within its width without
/// saying so.
#[test]
fn wait_names_the_used_up_width() {
    let mut fleet = fleet_with_wave(1, 1);
    let mut planners = [planner()];
    run_seconds(&mut fleet, &mut planners, 2);
    let decisions = plan(&fleet, &mut planners[0]);
    assert!(decisions.contains(&WaveDecision::Wait(WaveWait::Width { width: 1 })));
}
