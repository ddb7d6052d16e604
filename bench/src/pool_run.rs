//! Moves between pools over the demand trace, with failures and a wave.

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
use crate::move_bound::Reached;
use crate::profile::Profile;
use crate::roll_out::Machines;
use crate::trace::Burst;
use crate::trace::CYCLE;
use crate::trace::SECONDS;
use crate::trace::Trace;

const WAVE: WaveId = WaveId(0);

/// Second in which the wave begins.
const WAVE_START: u32 = SECONDS / 2;

/// What the run took.
pub(crate) struct PoolRun {
    /// VMs in the pools of services that are not down.
    pub(crate) reached: Reached,
    pub(crate) moves: u32,
    pub(crate) violations: u32,
    pub(crate) late_permille: f64,
}

struct Planners {
    moves: MovePlanner,
    wave: WavePlanner,
    demand: Demand,
}

/// Runs the demand trace.
pub(crate) fn run(profile: &Profile, trace: &Trace) -> PoolRun {
    let mut fleet = Fleet::new(profile);
    let pools: Vec<PoolId> = (0..profile.services).map(|pool| fleet.pool(profile, pool)).collect();
    let offered: Vec<Vec<u32>> =
        (0..profile.services as usize).map(|service| trace.offered(service)).collect();
    let mut machines = Machines::new(trace);
    let mut planners = Planners {
        moves: MovePlanner::default(),
        wave: WavePlanner::new(WAVE),
        demand: Demand::default(),
    };
    let mut queues = vec![Queue::default(); pools.len()];
    let mut run =
        PoolRun { reached: Reached::default(), moves: 0, violations: 0, late_permille: 0.0 };
    run.reached.most = trace.bursts.iter().map(|bursts| vec![0; bursts.len()]).collect();
    for second in 0..SECONDS {
        let now = TimeMs(u64::from(second) * 1000);
        fail(&mut fleet, trace, second);
        if second == WAVE_START {
            fleet.begin_wave(profile);
        }
        for (index, pool) in pools.iter().enumerate() {
            let slots = offered[index][second as usize];
            let tracker = planners.demand.pools.entry(*pool).or_default();
            tracker.record(slots, profile.slots_per_vm);
            queues[index].second(slots, serving(&fleet, *pool) * profile.slots_per_vm);
        }
        for (index, pool) in pools.iter().enumerate() {
            let held = |vm: &Vm| vm.pool == *pool && vm.health != Health::Down;
            let vms = fleet.state.vms.iter().filter(|(_, vm)| held(vm)).count() as u32;
            run.reached.held += f64::from(vms);
            note_most(&mut run.reached.most[index], &trace.bursts[index], second, vms);
        }
        let reports = machines.reports(&fleet, now, profile.move_ms);
        run.moves += step(&mut fleet, &mut machines, &mut planners, &reports, now);
    }
    let sum = |value: fn(&Queue) -> u64| queues.iter().map(value).sum::<u64>() as f64;
    run.late_permille = sum(|queue| queue.late) * 1000.0 / sum(|queue| queue.offered);
    run.violations = fleet.violations;
    run
}

/// Notes the VMs of a pool if the second is part of a burst, or of the time
/// in which its work may still be done.
fn note_most(most: &mut [u32], bursts: &[Burst], second: u32, vms: u32) {
    let first = (second / CYCLE).saturating_sub(1) as usize;
    for (burst, most) in bursts.iter().zip(most).skip(first).take(2) {
        if (burst.start..burst.end + WAIT_SAMPLES as u32).contains(&second) {
            *most = vms.max(*most);
        }
    }
}

/// Plans and appends; returns the number of VMs that changed their pool.
fn step(
    fleet: &mut Fleet,
    machines: &mut Machines<'_>,
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
            machines.reboot(vm, operation, now);
        }
        let Some(body) = decision.record() else { continue };
        let applied = fleet.append(body);
        if let MoveDecision::Move { .. } = decision {
            moved += u32::from(applied);
        }
    }
    for decision in waves {
        if let WaveDecision::RequestReboot { vm, operation } = decision {
            machines.reboot(vm, operation, now);
        }
        if let Some(body) = decision.record() {
            fleet.append(body);
        }
    }
    moved
}

fn fail(fleet: &mut Fleet, trace: &Trace, second: u32) {
    for failure in &trace.failures {
        if failure.start == second {
            fleet.set_health(VmId(failure.vm), Health::Down);
        }
        if failure.end == second {
            fleet.set_health(VmId(failure.vm), Health::Up);
        }
    }
}

fn serving(fleet: &Fleet, pool: PoolId) -> u32 {
    let in_service =
        fleet.state.vms.iter().filter(|(_, vm)| vm.pool == pool && fleet.state.is_in_service(vm));
    in_service.count() as u32
}

/// Requests of one service that wait for a slot.
#[derive(Clone, Default)]
struct Queue {
    backlog: u64,
    offered: u64,
    /// Work that waited longer than it may.
    late: u64,
}

impl Queue {
    fn second(&mut self, offered: u32, capacity: u32) {
        let (offered, capacity) = (u64::from(offered), u64::from(capacity));
        self.offered += offered;
        self.backlog = (self.backlog + offered).saturating_sub(capacity);
        let excess = self.backlog.saturating_sub(capacity * WAIT_SAMPLES);
        self.late += excess;
        // Work that waited too long is shed.
        self.backlog -= excess;
    }
}

impl PoolRun {
    pub(crate) fn rows(&self, profile: &Profile, trace: &Trace) -> Vec<Row> {
        let hours = |vm_seconds: f64| vm_seconds / 3600.0;
        let bound = move_bound::Bound::new(profile, trace, &self.reached);
        let used = bound.used_vm_seconds;
        vec![
            Row::new(
                Measure::BufferVmHours,
                hours(self.reached.held - used),
                hours(bound.fixed_split_vm_seconds() - used),
                hours(bound.held_vm_seconds() - used),
            ),
            Row::new(
                Measure::Moves,
                f64::from(self.moves),
                0.0,
                bound.fewest_moves(self.reached.held),
            ),
            Row::new(Measure::LateWorkPermille, self.late_permille, 0.0, 0.0),
        ]
    }
}
