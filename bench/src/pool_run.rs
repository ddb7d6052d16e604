//! Simulates moves between pools on the demand trace, with VM failures and a
//! wave.

use std::collections::BTreeMap;

use cowslipport_lib::buffer::Demand;
use cowslipport_lib::buffer::WAIT_SAMPLES;
use cowslipport_lib::control::Vm;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::move_decision::MoveDecision;
use cowslipport_lib::moves::MovePlanner;
use cowslipport_lib::moves::MoveView;
use cowslipport_lib::operation::VmReport;
use cowslipport_lib::record::Health;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::wave::WavePlanner;
use cowslipport_lib::wave::WaveView;
use cowslipport_lib::wave_decision::WaveDecision;

use crate::fleet::Fleet;
use crate::measure::Measure;
use crate::measure::Row;
use crate::move_bound;
use crate::move_bound::HeldVms;
use crate::profile::Profile;
use crate::roll_out::SimulatedVms;
use crate::trace::Burst;
use crate::trace::CYCLE_SECONDS;
use crate::trace::TRACE_SECONDS;
use crate::trace::Trace;

const WAVE: WaveId = WaveId(0);

/// Second in which the wave starts.
const WAVE_START: u32 = TRACE_SECONDS / 2;

/// Result of the run.
pub(crate) struct PoolRun {
    /// VMs in service pools that are not down.
    pub(crate) held_vms: HeldVms,
    pub(crate) moves: u32,
    pub(crate) violations: u32,
    pub(crate) late_permille: f64,
}

struct Planners {
    moves: MovePlanner,
    wave: WavePlanner,
    demand: Demand,
}

/// Simulates the demand trace.
pub(crate) fn run(profile: &Profile, trace: &Trace) -> PoolRun {
    let mut fleet = Fleet::new(profile);
    let pools: Vec<PoolId> = (0..profile.services).map(|pool| fleet.pool(profile, pool)).collect();
    let offered: Vec<Vec<u32>> =
        (0..profile.services as usize).map(|service| trace.offered(service)).collect();
    let mut simulated_vms = SimulatedVms::new(trace);
    let mut planners = Planners {
        moves: MovePlanner::default(),
        wave: WavePlanner::new(WAVE),
        demand: Demand::default(),
    };
    let mut queues = vec![Queue::default(); pools.len()];
    let mut run =
        PoolRun { held_vms: HeldVms::default(), moves: 0, violations: 0, late_permille: 0.0 };
    run.held_vms.peaks = trace.bursts.iter().map(|bursts| vec![0; bursts.len()]).collect();
    for second in 0..TRACE_SECONDS {
        let now = TimeMs(u64::from(second) * 1000);
        apply_failures(&mut fleet, trace, second);
        if second == WAVE_START {
            fleet.begin_wave(profile);
        }
        for (index, pool) in pools.iter().enumerate() {
            let slots = offered[index][second as usize];
            let tracker = planners.demand.pools.entry(*pool).or_default();
            tracker.record(slots, profile.slots_per_vm);
            queues[index]
                .advance_second(slots, vms_in_service(&fleet, *pool) * profile.slots_per_vm);
        }
        for (index, pool) in pools.iter().enumerate() {
            let is_held = |vm: &Vm| vm.pool == *pool && vm.health != Health::Down;
            let vms = fleet.state.vms.iter().filter(|(_, vm)| is_held(vm)).count() as u32;
            run.held_vms.vm_seconds += f64::from(vms);
            update_peak(&mut run.held_vms.peaks[index], &trace.bursts[index], second, vms);
        }
        let reports = simulated_vms.reports(&fleet, now, profile.move_ms);
        run.moves += plan_and_append(&mut fleet, &mut simulated_vms, &mut planners, &reports, now);
    }
    let sum = |value: fn(&Queue) -> u64| queues.iter().map(value).sum::<u64>() as f64;
    run.late_permille = sum(|queue| queue.late) * 1000.0 / sum(|queue| queue.offered);
    run.violations = fleet.violations;
    run
}

/// Updates the peaks of a pool if the second is part of a burst or of the time
/// after it in which its work may still be done.
fn update_peak(peaks: &mut [u32], bursts: &[Burst], second: u32, vms: u32) {
    let first = (second / CYCLE_SECONDS).saturating_sub(1) as usize;
    for (burst, peak) in bursts.iter().zip(peaks).skip(first).take(2) {
        if (burst.start..burst.end + WAIT_SAMPLES as u32).contains(&second) {
            *peak = vms.max(*peak);
        }
    }
}

/// Runs both planners and appends the records of their decisions. Returns the
/// number of VMs that changed their pool.
fn plan_and_append(
    fleet: &mut Fleet,
    simulated_vms: &mut SimulatedVms<'_>,
    planners: &mut Planners,
    reports: &BTreeMap<VmId, VmReport>,
    now: TimeMs,
) -> u32 {
    let state = &fleet.state;
    let view = MoveView { state, now, demand: &planners.demand, reports };
    let moves = planners.moves.plan(view);
    let donor_pools = planners.moves.donor_pools(state);
    let view = WaveView { state, now, reports, donor_pools: &donor_pools };
    let waves = match state.waves.get(WAVE) {
        Some(_) => planners.wave.plan(view),
        None => Vec::new(),
    };
    let mut moved = 0;
    for decision in moves {
        if let MoveDecision::RequestReboot { vm, operation } = decision {
            simulated_vms.reboot(vm, operation, now);
        }
        let Some(body) = decision.record() else { continue };
        let applied = fleet.append(body);
        if let MoveDecision::Move { .. } = decision {
            moved += u32::from(applied);
        }
    }
    for decision in waves {
        if let WaveDecision::RequestReboot { vm, operation } = decision {
            simulated_vms.reboot(vm, operation, now);
        }
        if let Some(body) = decision.record() {
            fleet.append(body);
        }
    }
    moved
}

fn apply_failures(fleet: &mut Fleet, trace: &Trace, second: u32) {
    for failure in &trace.failures {
        if failure.start == second {
            fleet.set_health(VmId(failure.vm), Health::Down);
        }
        if failure.end == second {
            fleet.set_health(VmId(failure.vm), Health::Up);
        }
    }
}

fn vms_in_service(fleet: &Fleet, pool: PoolId) -> u32 {
    let in_service =
        fleet.state.vms.iter().filter(|(_, vm)| vm.pool == pool && fleet.state.is_in_service(vm));
    in_service.count() as u32
}

/// Requests of one service that wait for a slot, as a fluid model.
#[derive(Clone, Default)]
struct Queue {
    backlog: u64,
    offered: u64,
    /// Work that waited longer than `WAIT_SAMPLES` seconds.
    late: u64,
}

impl Queue {
    fn advance_second(&mut self, offered: u32, capacity: u32) {
        let (offered, capacity) = (u64::from(offered), u64::from(capacity));
        self.offered += offered;
        self.backlog = (self.backlog + offered).saturating_sub(capacity);
        let excess = self.backlog.saturating_sub(capacity * WAIT_SAMPLES);
        self.late += excess;
        // The queue drops work that waited too long.
        self.backlog -= excess;
    }
}

impl PoolRun {
    pub(crate) fn rows(&self, profile: &Profile, trace: &Trace) -> Vec<Row> {
        let hours = |vm_seconds: f64| vm_seconds / 3600.0;
        let bound = move_bound::Bound::new(profile, trace, &self.held_vms);
        let used = bound.used_vm_seconds;
        vec![
            Row::new(
                Measure::BufferVmHours,
                hours(self.held_vms.vm_seconds - used),
                hours(bound.fixed_split_vm_seconds() - used),
                hours(bound.held_vm_seconds() - used),
            ),
            Row::new(
                Measure::Moves,
                f64::from(self.moves),
                0.0,
                bound.fewest_moves(self.held_vms.vm_seconds),
            ),
            Row::new(Measure::LateWorkPermille, self.late_permille, 0.0, 0.0),
        ]
    }
}
