//! Moves follow lasting changes of demand and keep budgets and pool sizes.

mod fleet;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::buffer::Demand;
use cowslipport_lib::buffer::WINDOW_SAMPLES;
use cowslipport_lib::buffer::required_vms;
use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::move_decision::MoveDecision;
use cowslipport_lib::moves::MOVE_COST_MS;
use cowslipport_lib::moves::MovePlanner;
use cowslipport_lib::moves::MoveView;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::DrainPurpose;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmStep;
use cowslipport_lib::wave::WavePlanner;
use cowslipport_lib::wave::WaveView;
use cowslipport_lib::wave_decision::WaveDecision;
use proptest::prelude::*;

use crate::fleet::Fleet;
use crate::fleet::budgets;
use crate::fleet::cases;
use crate::fleet::wave;

const SPARE: PoolId = PoolId(2);

/// Pools `p0` and `p1` with 8 VMs each and a spare pool with 8.
struct Run {
    fleet: Fleet,
    movers: Vec<MovePlanner>,
    waves: Vec<WavePlanner>,
    demand: Demand,
    begun: u32,
}

impl Run {
    fn new(movers: usize) -> Self {
        let fleet = Fleet::new(2, 24, &budgets(2, 2));
        let movers = vec![MovePlanner::default(); movers];
        Self { fleet, movers, waves: Vec::new(), demand: Demand::default(), begun: 0 }
    }

    /// One second with the slots that each pool is offered.
    fn second(&mut self, offered: [u32; 2], reply_lost: bool) {
        for (pool, slots) in offered.into_iter().enumerate() {
            self.demand.pools.entry(PoolId(pool as u32)).or_default().record(slots, 8);
        }
        let reports = self.fleet.reports();
        let state = &self.fleet.state;
        let now = self.fleet.now;
        let due = BTreeSet::new();
        let view = MoveView { state, now, demand: &self.demand, reports: &reports };
        let moves: Vec<_> = self.movers.iter_mut().map(|mover| mover.plan(view)).collect();
        let view = WaveView { state, now, reports: &reports, donor_pools: &due };
        let waves: Vec<_> = self.waves.iter_mut().map(|wave| wave.plan(view)).collect();
        for decisions in moves {
            for decision in &decisions {
                match decision {
                    MoveDecision::RequestReboot { vm, operation } => {
                        self.fleet.platform_reboot(*vm, *operation);
                    }
                    MoveDecision::BeginDrain { .. } => self.begun += 1,
                    MoveDecision::Move { .. }
                    | MoveDecision::Reboot { .. }
                    | MoveDecision::Done { .. }
                    | MoveDecision::Failed { .. }
                    | MoveDecision::Cancel { .. }
                    | MoveDecision::Wait(_) => {}
                }
            }
            let records = decisions.iter().filter_map(MoveDecision::record).collect();
            self.fleet.append_all(records, reply_lost);
            self.check_sizes();
        }
        for decisions in waves {
            for decision in &decisions {
                if let WaveDecision::RequestReboot { vm, operation } = decision {
                    self.fleet.platform_reboot(*vm, *operation);
                }
            }
            let records = decisions.iter().filter_map(WaveDecision::record).collect();
            self.fleet.append_all(records, reply_lost);
        }
        self.fleet.tick();
    }

    /// Bursts of `level` slots for five seconds of every minute, in turn.
    fn bursts(&mut self, seconds: usize, level: [u32; 2]) {
        for second in 0..seconds {
            let in_burst = |pool: usize| (second + 30 * pool) % 60 < 5;
            let offered = |pool: usize| if in_burst(pool) { level[pool] } else { 1 };
            self.second([offered(0), offered(1)], false);
        }
    }

    fn check_sizes(&self) {
        for (id, pool) in self.fleet.state.pools.iter() {
            let size = self.fleet.state.pool_size_after_moves(id);
            assert!(size >= pool.spec.min_vms && size <= pool.spec.max_vms, "{id}: {size}");
        }
    }

    fn sizes(&self) -> Vec<u32> {
        (0..3).map(|pool| self.fleet.state.pool_size_after_moves(PoolId(pool))).collect()
    }

    fn idle(&self) -> bool {
        self.fleet.state.vms.iter().all(|(_, vm)| vm.operation.is_none())
    }
}

proptest! {
    #![proptest_config(cases(12))]

    /// Guards against two movers and a wave on one log that break a budget or
    /// a pool size, put a VM in no pool, or leave one drained. Budgets and
    /// pools are checked at every offset.
    #[test]
    fn racing_movers_keep_budgets_and_sizes(
        levels in prop::collection::vec((0_u32..200, 0_u32..200), 1..6),
        lost in prop::collection::vec(any::<bool>(), 32),
        replaced in 0_usize..3000,
        down in prop::collection::btree_set(0_u32..24, 0..3),
        out in 0_usize..3000,
        in_flight in prop::collection::vec(0_u32..20, 24),
    ) {
        let mut run = Run::new(2);
        run.fleet.commit(vec![wave("w", &["p0", "p1", "spare"], 1, 24)]);
        run.waves = vec![WavePlanner::new(WaveId(0))];
        run.fleet.in_flight =
            in_flight.iter().enumerate().map(|(vm, count)| (VmId(vm as u32), *count)).collect();
        for second in 0..4000 {
            if second == replaced {
                run.movers[0] = MovePlanner::default();
            }
            if second == out || second == out + 300 {
                run.fleet.set_data_centre("dc1", second != out);
                for vm in &down {
                    let health = if second == out { Health::Down } else { Health::Up };
                    run.fleet.set_health(VmId(*vm), health);
                }
            }
            let (left, right) = levels[second * levels.len() / 4000];
            let burst = second % 60 < 5;
            let offered = if burst { [left, right / 20] } else { [left / 20, right] };
            run.second(offered, lost[second % lost.len()]);
        }
        // Without demand for a while, whatever was under way ends.
        for _ in 0..400 {
            run.second([0, 0], false);
        }
        let idle = |vm: &cowslipport_lib::control::Vm| {
            vm.operation.is_none_or(|operation| matches!(operation.purpose, DrainPurpose::Move(_)))
        };
        prop_assert!(run.fleet.state.vms.iter().all(|(_, vm)| idle(vm)));
    }
}

/// Guards against moves that chase bursts of some seconds.
#[test]
fn bursts_in_turn_move_nothing() {
    let mut run = Run::new(1);
    run.bursts(3600, [144, 144]);
    let settled = run.begun;
    run.bursts(7200, [144, 144]);
    assert_eq!(run.begun, settled);
}

/// Guards against a pool left with too few VMs while another has spare ones.
#[test]
fn lasting_demand_brings_vms() {
    let mut run = Run::new(1);
    run.bursts(1200, [144, 144]);
    run.bursts(1800, [360, 144]);
    // 360 slots for 5 s, done within 15 s, take 15 VMs; the budget takes two
    // more, so the pool gets all eight spare VMs and misses one.
    assert_eq!(required_vms(&[360, 360, 360, 360, 360], 8), 15);
    assert_eq!(run.sizes(), [16, 8, 0]);
}

/// Guards against giving a VM back at once, only to fetch it again.
#[test]
fn surplus_is_held_as_long_as_a_move_costs() {
    let mut run = Run::new(1);
    run.bursts(1200, [144, 144]);
    assert_eq!((run.begun, run.sizes()), (0, vec![8, 8, 8]));
    run.bursts(600, [24, 144]);
    assert_eq!(run.begun, 0);
    run.bursts(MOVE_COST_MS as usize / 1000 + 600, [24, 144]);
    assert_eq!(run.sizes()[0], 3);
    assert!(run.idle());
}

/// Guards against two movers that together leave a pool with too few VMs, or
/// bring too many into another.
#[test]
fn second_move_that_breaks_a_pool_size_is_void() {
    for (min_vms, max_vms, pool) in [(7, 50, PoolId(0)), (2, 9, PoolId(1))] {
        let mut fleet = Fleet::new(2, 24, &[]);
        let sizes = [fleet::pool("p0", false, min_vms, 50), fleet::pool("p1", false, 2, max_vms)];
        fleet.commit(sizes.to_vec());
        let purpose = DrainPurpose::Move(PoolId(1));
        fleet.apply_valid(RecordBody::DrainBegin { vm: VmId(0), purpose });
        let body = RecordBody::DrainBegin { vm: VmId(3), purpose };
        let record = ControlRecord { id: fleet.next_id(), body };
        let vms = if pool == PoolId(0) { 6 } else { 10 };
        let reason = VoidReason::PoolSize { pool, vms };
        assert_eq!(fleet.append(&record), Outcome::Void(reason));
    }
}

/// Guards against a pool that no longer exists receiving a VM, which would
/// then be in no pool.
#[test]
fn move_to_a_removed_pool_is_void() {
    let mut run = Run::new(1);
    run.fleet.commit(vec![fleet::pool("p9", false, 0, 50)]);
    let to = run.fleet.state.pool_by_name("p9").unwrap();
    let operation = OperationId(run.fleet.state.next_offset);
    run.fleet.apply_valid(RecordBody::DrainBegin { vm: VmId(0), purpose: DrainPurpose::Move(to) });
    run.fleet.commit(vec![ConfigChange::RemovePool("p9".to_owned())]);
    let body = RecordBody::VmOperation { vm: VmId(0), operation, step: VmStep::Move };
    let record = ControlRecord { id: run.fleet.next_id(), body };
    assert!(matches!(
        run.fleet.append(&record),
        Outcome::Void(VoidReason::Missing { kind: "pool", .. })
    ));
    run.second([0, 0], false);
    assert!(run.idle(), "the move is given up");
}

/// Guards against draining a VM twice, for a move and for a wave.
#[test]
fn vm_on_its_way_to_the_spare_pool_is_maintained() {
    let mut run = Run::new(1);
    run.fleet.commit(vec![wave("w", &["p0", "p1", "spare"], 1, 1)]);
    run.bursts(WINDOW_SAMPLES * 40, [24, 144]);
    let done = &run.fleet.state.waves.get(WaveId(0)).unwrap().done;
    let moved: BTreeMap<VmId, PoolId> = run
        .fleet
        .state
        .vms
        .iter()
        .filter(|(id, vm)| vm.pool == SPARE && id.0 % 3 != 2)
        .map(|(id, vm)| (id, vm.pool))
        .collect();
    assert_eq!(moved.len(), 5);
    assert_eq!(*done, moved.keys().copied().collect::<BTreeSet<_>>());
}

/// Guards against giving a VM away that its pool needs again.
#[test]
fn move_is_given_up_when_the_pool_needs_the_vm() {
    let mut run = Run::new(1);
    let spare = DrainPurpose::Move(SPARE);
    run.bursts(600, [160, 24]);
    run.fleet.in_flight.insert(VmId(0), 10);
    let vm = run.fleet.state.vms.get(VmId(0)).unwrap();
    assert!(vm.operation.is_none() && vm.pool == PoolId(0));
    run.fleet.apply_valid(RecordBody::DrainBegin { vm: VmId(0), purpose: spare });
    run.second([160, 24], false);
    assert!(run.fleet.state.vms.get(VmId(0)).unwrap().operation.is_none());
}
