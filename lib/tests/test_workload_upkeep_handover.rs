//! Tests of the limit of a maintenance wave while it is not known which of its VMs
//! are down.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::owner_record::WaveProgress;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::Fleet;
use crate::workload_fake::cores;

static NO_VMS: BTreeSet<String> = BTreeSet::new();

/// A scheduler with a wave of the VMs `a` and `b`, one of which may be down.
fn scheduler(now: TimeMs) -> MaintenanceScheduler {
    let mut scheduler = MaintenanceScheduler::default();
    let vms = vec!["a".to_owned(), "b".to_owned()];
    let wave = WaveSpec { wave: 1, vms, deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(now, wave);
    scheduler
}

fn vm(name: &str, state: VmState, worker: &str) -> VmEntry {
    VmEntry {
        vm: name.to_owned(),
        pool: workload_fake::POOL.to_owned(),
        state,
        worker: (state == VmState::Up).then(|| worker.to_owned()),
        data_centre: "a".to_owned(),
        rack: None,
        capacity: cores(4),
    }
}

/// A list with `b` up, and `a` in a state, if any.
fn list(requested_at: TimeMs, state: Option<VmState>) -> VmList {
    let mut vms = vec![vm("b", VmState::Up, "w1")];
    vms.extend(state.map(|state| vm("a", state, "w0")));
    VmList::new(requested_at, vms)
}

/// Two idle workers that have reported, and the owner's scheduler of the wave.
fn idle_fleet() -> (Fleet, MaintenanceScheduler) {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let scheduler = scheduler(fleet.time());
    (fleet, scheduler)
}

/// Plans with a list and returns the VMs that are ordered down. VMs in `reserved`
/// must not be ordered yet.
fn plan_at(
    scheduler: &mut MaintenanceScheduler,
    fleet: &mut Fleet,
    now: TimeMs,
    vms: &VmList,
    reserved: &BTreeSet<String>,
) -> Vec<String> {
    let input = VmPlanInput {
        vms,
        excluded: reserved,
        maybe_ordered: reserved,
        max_orders: 10,
        may_stop_long_running: true,
    };
    let owner = fleet.owner.as_mut().expect("an owner");
    let orders = scheduler.plan_maintenance(now, input, owner);
    orders.into_iter().map(|order| order.vm).collect()
}

/// Applies a list and plans with it.
fn plan(scheduler: &mut MaintenanceScheduler, fleet: &mut Fleet, vms: &VmList) -> Vec<String> {
    scheduler.vms_listed(vms, fleet.owner.as_mut().expect("an owner"));
    plan_at(scheduler, fleet, vms.requested_at, vms, &NO_VMS)
}

/// Handles the answer to the order for `a` that was planned at a time, 100 ms later.
fn answer(
    scheduler: &mut MaintenanceScheduler,
    fleet: &mut Fleet,
    planned_at: TimeMs,
    answer: VmOrderAnswer,
) {
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(planned_at.plus(100), planned_at, "a", 1, answer, owner);
}

/// The list shows a VM under maintenance that this owner has not ordered, and the next
/// list misses it. Another VM must not go down besides.
#[test]
fn vm_under_maintenance_that_one_list_misses_counts_as_down() {
    let (mut fleet, mut scheduler) = idle_fleet();
    let now = fleet.time();
    let under_way = list(now, Some(VmState::Maintenance));
    assert!(plan(&mut scheduler, &mut fleet, &under_way).is_empty());
    assert!(plan(&mut scheduler, &mut fleet, &list(now.plus(400), None)).is_empty());
    let up = list(now.plus(800), Some(VmState::Up));
    assert_eq!(plan(&mut scheduler, &mut fleet, &up).len(), 1);
}

/// An order gets no answer, and its repetition is refused because the first one is
/// being carried out. The last list is from before. Another VM must not go down
/// besides.
#[test]
fn refused_repetition_does_not_settle_the_first_order() {
    for refusal in [VmOrderAnswer::Busy, VmOrderAnswer::Refused] {
        let (mut fleet, mut scheduler) = idle_fleet();
        let now = fleet.time();
        let up = |after_ms| list(now.plus(after_ms), Some(VmState::Up));
        assert_eq!(plan(&mut scheduler, &mut fleet, &up(0)), ["a"]);
        answer(&mut scheduler, &mut fleet, now, VmOrderAnswer::Unknown);
        assert_eq!(plan(&mut scheduler, &mut fleet, &up(4_000)), ["a"], "a repetition");
        answer(&mut scheduler, &mut fleet, now.plus(4_000), refusal);
        let at = now.plus(4_200);
        assert!(plan_at(&mut scheduler, &mut fleet, at, &up(4_000), &NO_VMS).is_empty());
        assert_eq!(plan(&mut scheduler, &mut fleet, &up(5_200)), ["a"], "a second repetition");
        answer(&mut scheduler, &mut fleet, now.plus(5_200), VmOrderAnswer::Accepted);
        assert_eq!(plan(&mut scheduler, &mut fleet, &up(5_600)), ["b"]);
    }
}

/// The scheduler of a new owner that inherits what the store has of `former`.
fn successor(
    former: &mut MaintenanceScheduler,
    fleet: &Fleet,
    now: TimeMs,
) -> MaintenanceScheduler {
    let record = VmOrders { vms: Vec::new(), open: former.open_orders() };
    let record = VmOrders::decode(&record.encode()).expect("a record");
    let mut successor = scheduler(fleet.time());
    successor.orders_inherited(now, record.open);
    for (wave, progress) in former.take_changed() {
        successor.wave_restored(wave, &progress.expect("the wave is not withdrawn"));
    }
    successor
}

/// An order without an answer may be carried out long after its owner was replaced,
/// once its VM is back from a crash. Another VM must not go down before the order of
/// the successor was accepted and a list shows the outcome.
#[test]
fn order_of_a_former_owner_counts_as_down_until_it_is_settled() {
    let (mut fleet, mut former) = idle_fleet();
    let now = fleet.time();
    let up = |after_ms| list(now.plus(after_ms), Some(VmState::Up));
    assert_eq!(plan(&mut former, &mut fleet, &up(0)), ["a"]);
    let mut successor = successor(&mut former, &fleet, now.plus(200));
    let reserved = BTreeSet::from(["a".to_owned()]);
    for after_ms in [600, 3_100] {
        let (at, vms) = (now.plus(after_ms), up(after_ms));
        successor.vms_listed(&vms, fleet.owner.as_mut().expect("an owner"));
        assert!(plan_at(&mut successor, &mut fleet, at, &vms, &reserved).is_empty());
    }
    let crashed = list(now.plus(3_300), Some(VmState::Down));
    assert!(plan(&mut successor, &mut fleet, &crashed).is_empty());
    assert_eq!(plan(&mut successor, &mut fleet, &up(3_700)), ["a"], "the order is repeated");
    answer(&mut successor, &mut fleet, now.plus(3_700), VmOrderAnswer::Accepted);
    let missed = list(now.plus(4_100), None);
    assert!(plan(&mut successor, &mut fleet, &missed).is_empty());
    assert_eq!(plan(&mut successor, &mut fleet, &up(4_500)), ["b"]);
}

/// The record of orders may be older than that of a wave: it is stored with the next
/// order. The VMs that were maintained or removed since must not be ordered again, and
/// the wave completes.
#[test]
fn inherited_orders_that_are_settled_are_dropped() {
    let (mut fleet, mut former) = idle_fleet();
    let now = fleet.time();
    assert_eq!(plan(&mut former, &mut fleet, &list(now, Some(VmState::Up))), ["a"]);
    let progress = |maintained: &[&str], removed: &[&str]| WaveProgress {
        maintained: maintained.iter().map(|vm| (*vm).to_owned()).collect(),
        removed: removed.iter().map(|vm| (*vm).to_owned()).collect(),
        completed: true,
    };
    for (progress, state) in
        [(progress(&["a", "b"], &[]), Some(VmState::Up)), (progress(&["b"], &["a"]), None)]
    {
        let mut successor = successor(&mut former, &fleet, now.plus(200));
        successor.wave_restored(1, &progress);
        assert!(plan(&mut successor, &mut fleet, &list(now.plus(4_000), state)).is_empty());
        let recorded = successor.take_changed().pop().and_then(|(_, progress)| progress);
        assert_eq!(recorded, Some(progress));
    }
}

/// A new owner may read the request of a wave after the orders of its predecessor.
#[test]
fn orders_are_inherited_for_a_wave_that_is_read_later() {
    let (mut fleet, mut former) = idle_fleet();
    let now = fleet.time();
    assert_eq!(plan(&mut former, &mut fleet, &list(now, Some(VmState::Up))), ["a"]);
    let mut successor = MaintenanceScheduler::default();
    successor.orders_inherited(now.plus(200), former.open_orders());
    let vms = vec!["a".to_owned(), "b".to_owned()];
    let wave = WaveSpec { wave: 1, vms, deadline_ms: 10_000, max_down: 1 };
    successor.wave_requested(now.plus(300), wave);
    assert_eq!(successor.open_orders(), former.open_orders());
}

/// The answer to an order comes after its VM was removed, is back, and is drained or
/// ordered down again. A refusal of the old order must not lift the cordon.
#[test]
fn refusal_of_an_earlier_order_does_not_end_a_later_one() {
    let (mut fleet, mut scheduler) = idle_fleet();
    let now = fleet.time();
    let up = |after_ms| list(now.plus(after_ms), Some(VmState::Up));
    assert_eq!(plan(&mut scheduler, &mut fleet, &up(0)), ["a"]);
    let reserved = BTreeSet::from(["b".to_owned()]);
    for after_ms in [400, 2_400] {
        let missed = list(now.plus(after_ms), None);
        scheduler.vms_listed(&missed, fleet.owner.as_mut().expect("an owner"));
        plan_at(&mut scheduler, &mut fleet, missed.requested_at, &missed, &reserved);
    }
    assert!(scheduler.open_orders().is_empty(), "the VM was removed");
    assert_eq!(plan(&mut scheduler, &mut fleet, &up(4_400)), ["a"]);
    answer(&mut scheduler, &mut fleet, now, VmOrderAnswer::Refused);
    assert_eq!(scheduler.open_orders().len(), 1, "the new order is under way");
    answer(&mut scheduler, &mut fleet, now.plus(4_400), VmOrderAnswer::Refused);
    assert!(scheduler.open_orders().is_empty());
}
