//! Tests of what counts as the maintenance of a VM in a wave, and of waves that are
//! withdrawn.

mod wave_fake;
mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::owner_record::WaveProgress;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmState;

use crate::wave_fake::NO_VMS;
use crate::wave_fake::apply_list;
use crate::wave_fake::is_recorded_as_completed;
use crate::wave_fake::last_progress;
use crate::wave_fake::list_with;
use crate::wave_fake::long_running;
use crate::wave_fake::plan_input;
use crate::wave_fake::plan_orders;
use crate::wave_fake::scheduler_for;
use crate::wave_fake::scheduler_with_order;
use crate::wave_fake::vm;
use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Work that takes longer than any test.
const LONG_WORK: Work = Work { work_ms: 600_000, fails: false };

/// An order for maintenance gets no answer and is never carried out. Then the
/// VM crashes and comes back with another worker. That is no maintenance: the
/// order must be repeated.
#[test]
fn restart_of_a_vm_does_not_count_as_its_maintenance() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(20),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Unknown,
        owner,
    );
    let excluded = BTreeSet::new();
    let mut orders = 0;
    for (after_ms, state) in
        [(400, VmState::Down), (800, VmState::Moving), (1_200, VmState::Up), (9_000, VmState::Up)]
    {
        let now = ordered_at.plus(after_ms);
        let vms = VmList::new(now, vec![vm("vm", state, "w1")]);
        scheduler.vms_listed(&vms, owner);
        orders += scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner).len();
        assert!(!is_recorded_as_completed(&mut scheduler), "after {after_ms} ms");
    }
    assert_eq!(orders, 1, "the order is repeated");
    let now = ordered_at.plus(9_100);
    scheduler.order_answered(now, now, "vm", 1, VmOrderAnswer::Accepted, owner);
    for (after_ms, state) in [(9_400, VmState::Maintenance), (11_000, VmState::Up)] {
        let now = ordered_at.plus(after_ms);
        let vms = VmList::new(now, vec![vm("vm", state, "w2")]);
        scheduler.vms_listed(&vms, owner);
        scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner);
    }
    assert!(is_recorded_as_completed(&mut scheduler));
}

/// An order gets no answer and is never carried out, and one list misses the VM.
/// That is no maintenance: the order must be repeated.
#[test]
fn vm_that_one_list_misses_is_not_maintained() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(20),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Unknown,
        owner,
    );
    let mut orders = 0;
    for (after_ms, state) in [(400, None), (800, Some(VmState::Up)), (4_100, Some(VmState::Up))] {
        orders +=
            apply_list(&mut scheduler, &mut fleet, &list_with(ordered_at.plus(after_ms), state));
        assert!(!is_recorded_as_completed(&mut scheduler), "after {after_ms} ms");
    }
    assert_eq!(orders, 1, "the order is repeated");
}

/// A wave must not wait for a VM that was removed. If the VM is back later, its
/// maintenance is still due.
#[test]
fn removed_vm_is_due_again_when_it_is_back() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    assert_eq!(apply_list(&mut scheduler, &mut fleet, &list_with(now, None)), 0);
    assert!(!is_recorded_as_completed(&mut scheduler), "one list may miss a VM");
    apply_list(&mut scheduler, &mut fleet, &list_with(now.plus(2_000), None));
    let progress = last_progress(&mut scheduler).expect("the wave has changed");
    assert!(progress.completed && progress.maintained.is_empty(), "{progress:?}");
    let back = list_with(now.plus(2_400), Some(VmState::Up));
    assert_eq!(apply_list(&mut scheduler, &mut fleet, &back), 1);
    let progress = last_progress(&mut scheduler).expect("the wave has changed");
    assert!(!progress.completed && progress.removed.is_empty(), "{progress:?}");
}

/// A new owner knows which VMs of a completed wave were removed. The wave stays
/// completed.
#[test]
fn wave_with_a_removed_vm_stays_completed_under_a_new_owner() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    for after_ms in [0, 2_000] {
        apply_list(&mut scheduler, &mut fleet, &list_with(now.plus(after_ms), None));
    }
    let progress = last_progress(&mut scheduler).expect("the wave has changed");
    let mut successor = scheduler_for("vm", &fleet);
    successor.wave_restored(1, &WaveProgress::decode(&progress.encode()).expect("a record"));
    apply_list(&mut successor, &mut fleet, &list_with(now.plus(2_400), None));
    let restored = last_progress(&mut successor).expect("the wave was requested");
    assert_eq!(restored, progress);
}

/// A list without any VM says nothing about the VMs of a wave.
#[test]
fn empty_list_completes_no_wave() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    for after_ms in [0, 2_000, 4_000] {
        let vms = VmList::new(now.plus(after_ms), Vec::new());
        apply_list(&mut scheduler, &mut fleet, &vms);
        assert!(!is_recorded_as_completed(&mut scheduler), "after {after_ms} ms");
    }
}

/// A VM goes down while it is drained, and comes back with the same worker. It must
/// not be ordered down meanwhile, and its worker must not stay cordoned.
#[test]
fn vm_that_goes_down_while_drained_keeps_no_cordon() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    let up = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
    assert_eq!(apply_list(&mut scheduler, &mut fleet, &up), 0, "the VM is not empty");
    let down = VmList::new(now.plus(400), vec![vm("vm", VmState::Down, "w0")]);
    assert_eq!(apply_list(&mut scheduler, &mut fleet, &down), 0, "the VM is not up");
    assert!(scheduler.vms_under_maintenance().is_empty());
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    assert_eq!(fleet.running(), 2);
}

/// A list that was requested before the drain of a VM began misses the VM. The VM must
/// not count as empty, and the cordon of its worker must not be forgotten.
#[test]
fn vm_that_an_older_list_misses_is_not_ordered_down() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    let listed = list_with(now.minus(500), Some(VmState::Up));
    let excluded = BTreeSet::new();
    let owner = fleet.owner.as_mut().expect("an owner");
    assert!(scheduler.plan_maintenance(now, plan_input(&listed, &excluded), owner).is_empty());
    let older = list_with(now.minus(100), None);
    scheduler.vms_listed(&older, owner);
    let later = now.plus(20);
    assert!(scheduler.plan_maintenance(later, plan_input(&older, &excluded), owner).is_empty());
    scheduler.wave_withdrawn(1, owner);
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    assert_eq!(fleet.running(), 2);
}

/// A VM is in two waves. It must be maintained for one of them at a time: its state
/// in the list does not tell for which.
#[test]
fn vm_in_two_waves_is_ordered_for_one_at_a_time() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let vms = vec!["vm".to_owned()];
    let wave = WaveSpec { wave: 2, vms, deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(fleet.time(), wave);
    let now = fleet.time();
    let up = |at| list_with(at, Some(VmState::Up));
    assert_eq!(plan_orders(&mut scheduler, &mut fleet, &up(now)), [1]);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(now.plus(20), now, "vm", 1, VmOrderAnswer::Accepted, owner);
    assert_eq!(plan_orders(&mut scheduler, &mut fleet, &up(now.plus(2_400))), [2]);
}

/// The order for a VM gets no answer and is not carried out, while the VM is
/// maintained for another wave. That does not count: the order must be repeated
/// until the VM service accepts it.
#[test]
fn maintenance_for_another_wave_does_not_count() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(20),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Unknown,
        owner,
    );
    let under_way = list_with(ordered_at.plus(400), Some(VmState::Maintenance));
    assert!(plan_orders(&mut scheduler, &mut fleet, &under_way).is_empty());
    let up = list_with(ordered_at.plus(2_400), Some(VmState::Up));
    assert_eq!(plan_orders(&mut scheduler, &mut fleet, &up), [1], "the order is repeated");
    assert!(!is_recorded_as_completed(&mut scheduler));
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(2_500),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Accepted,
        owner,
    );
    let up = list_with(ordered_at.plus(2_800), Some(VmState::Up));
    assert!(plan_orders(&mut scheduler, &mut fleet, &up).is_empty());
    assert!(is_recorded_as_completed(&mut scheduler));
}

/// A former owner may have ordered a VM of the wave, which the list does not show yet.
/// Until it does, the VM counts against the VMs that may be down.
#[test]
fn vm_that_a_former_owner_may_have_ordered_counts_as_down() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let mut scheduler = MaintenanceScheduler::default();
    let vms = vec!["vm".to_owned(), "other".to_owned()];
    let wave = WaveSpec { wave: 1, vms, deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(fleet.time(), wave);
    let vms = list_with(fleet.time(), Some(VmState::Up));
    let reserved = BTreeSet::from(["vm".to_owned()]);
    let mut input = plan_input(&vms, &reserved);
    input.maybe_ordered = &reserved;
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    assert!(scheduler.plan_maintenance(now, input, owner).is_empty());
    input.maybe_ordered = &NO_VMS;
    assert_eq!(scheduler.plan_maintenance(now, input, owner).len(), 1);
}

/// An operator adds a VM to a wave that has completed. The wave must not be
/// reported as completed until that VM is maintained, too.
#[test]
fn vm_added_to_a_completed_wave_is_due() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(20),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Accepted,
        owner,
    );
    let list = list_with(ordered_at.plus(2_400), Some(VmState::Up));
    apply_list(&mut scheduler, &mut fleet, &list);
    assert!(is_recorded_as_completed(&mut scheduler));
    let vms = vec!["vm".to_owned(), "other".to_owned()];
    let wave = WaveSpec { wave: 1, vms, deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(fleet.time(), wave);
    assert!(!is_recorded_as_completed(&mut scheduler));
    let list = list_with(ordered_at.plus(2_800), Some(VmState::Up));
    assert_eq!(apply_list(&mut scheduler, &mut fleet, &list), 1);
}

/// Tasks have started on a VM that came back with another worker. They have to
/// be drained before the order for its maintenance is repeated.
#[test]
fn repeated_order_waits_until_the_vm_is_drained() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    fleet.add_worker("w1", "a", cores(4));
    fleet.list_workers();
    fleet.worker("w0").is_up = false;
    fleet.submit(1, job(vec![long_running(1)]), LONG_WORK);
    fleet.advance(1_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.advance(5_000);
    let now = fleet.time();
    assert!(now > ordered_at.plus(4_000), "the repetition is due");
    let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w1")]);
    let excluded = BTreeSet::new();
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.vms_listed(&vms, owner);
    assert!(scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner).is_empty());
    let stops = owner.take_orders().into_iter();
    assert_eq!(stops.filter(|order| matches!(order.order, Order::Stop { .. })).count(), 1);
}

/// A wave is withdrawn while a VM is drained for it. The worker on the VM must get
/// tasks again.
#[test]
fn withdrawn_wave_gives_its_workers_back() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    let now = fleet.time();
    let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
    let excluded = BTreeSet::new();
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner);
    scheduler.wave_withdrawn(1, owner);
    assert!(scheduler.vms_under_maintenance().is_empty());
    fleet.submit(2, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    assert_eq!(fleet.running(), 2);
}

/// A wave is withdrawn after a VM was ordered down. The order may still be carried
/// out, so the worker gets no tasks until the list shows the outcome, or the order
/// has had no effect for a while.
#[test]
fn withdrawn_wave_waits_for_its_orders() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.wave_withdrawn(1, owner);
    assert_eq!(scheduler.vms_under_maintenance().len(), 1);
    let excluded = BTreeSet::new();
    for after_ms in [400, 3_900, 4_100] {
        let now = ordered_at.plus(after_ms);
        let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
        scheduler.vms_listed(&vms, owner);
        assert!(scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner).is_empty());
        assert_eq!(scheduler.vms_under_maintenance().is_empty(), after_ms > 4_000);
    }
    assert!(!is_recorded_as_completed(&mut scheduler));
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.advance(200);
    assert_eq!(fleet.running(), 1);
}

/// What was maintained for a withdrawn wave must not count if the wave is requested
/// again under another owner.
#[test]
fn withdrawn_wave_deletes_its_progress() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.advance(100);
    let mut scheduler = scheduler_for("vm", &fleet);
    scheduler.take_changed();
    scheduler.wave_withdrawn(1, fleet.owner.as_mut().expect("an owner"));
    assert_eq!(scheduler.take_changed(), [(1, None)]);
    scheduler.forget_progress(2);
    assert_eq!(scheduler.take_changed(), [(2, None)], "a former owner stored it");
}

/// The order for a VM is accepted, and its wave is withdrawn and requested again. The
/// VM must be ordered down again.
#[test]
fn orders_before_a_withdrawal_do_not_count() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    let (mut scheduler, ordered_at) = scheduler_with_order(&mut fleet);
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.order_answered(
        ordered_at.plus(20),
        ordered_at,
        "vm",
        1,
        VmOrderAnswer::Accepted,
        owner,
    );
    scheduler.wave_withdrawn(1, owner);
    let wave = WaveSpec { wave: 1, vms: vec!["vm".to_owned()], deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(ordered_at.plus(100), wave);
    let up = list_with(ordered_at.plus(2_400), Some(VmState::Up));
    assert!(plan_orders(&mut scheduler, &mut fleet, &up).is_empty());
    assert!(!is_recorded_as_completed(&mut scheduler));
    let up = list_with(ordered_at.plus(4_100), Some(VmState::Up));
    assert_eq!(plan_orders(&mut scheduler, &mut fleet, &up), [1]);
}
