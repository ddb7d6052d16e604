//! Waves of maintenance: which tasks are stopped, and when a VM goes down.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::order::StopReason;
use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// More orders than any test needs.
const MANY: usize = 1_000;
/// A task that works for longer than any test.
const LONG: Work = Work { work_ms: 600_000, fails: false };

/// A wave of one VM.
fn wave_of(vm: &str, fleet: &Fleet) -> MaintenanceScheduler {
    let mut upkeep = MaintenanceScheduler::default();
    let wave = WaveSpec { wave: 1, vms: vec![vm.to_owned()], deadline_ms: 10_000, max_down: 1 };
    upkeep.wave_requested(fleet.time(), wave);
    upkeep
}

/// A VM, with its worker while it is up.
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

/// A round without bounds.
fn round<'a>(vms: &'a VmList, excluded: &'a BTreeSet<String>) -> VmPlanInput<'a> {
    VmPlanInput { vms, excluded, max_orders: MANY, may_stop_long_running: true }
}

/// A step of `count` tasks that last, of which one may be away.
fn lasting(count: u32) -> StepSpec {
    StepSpec { long_running: true, max_unavailable: Some(1), ..step(count, cores(1)) }
}

/// A wave must not take a task away while another of its step is on a worker
/// that does not answer, though that worker was well when it last did.
#[test]
fn task_on_a_silent_worker_counts_as_away() {
    let mut fleet = Fleet::new(4, cores(4));
    let spread = StepSpec { max_tasks_per_worker: Some(1), ..lasting(3) };
    fleet.submit(1, job(vec![spread]), Work { work_ms: 100, fails: false });
    fleet.advance(300);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(100);
    let mut upkeep = wave_of("vm", &fleet);
    let vms = VmList::new(fleet.time(), vec![vm("vm", VmState::Up, "w1")]);
    let excluded = BTreeSet::new();
    let round = round(&vms, &excluded);
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    assert!(upkeep.plan_maintenance(now, round, owner).is_empty());
    assert!(owner.take_orders().is_empty(), "no task is stopped");
    fleet.worker("w0").is_reachable = true;
    fleet.advance(100);
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    upkeep.plan_maintenance(now, round, owner);
    assert_eq!(owner.take_orders().len(), 1, "now one may go");
}

/// The hunt of predah-sched-grown, mix --seed 647923003744: a task was stopped
/// for maintenance, its VM went down, and the owner was replaced before the
/// store held the end. The successor waited 12 s for a worker that was gone.
#[test]
fn vm_goes_down_only_once_the_ends_of_its_tasks_are_stored() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.submit(1, job(vec![lasting(1)]), LONG);
    fleet.advance(300);
    let holder = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let holder = holder.expect("a worker runs the task").name.clone();
    let mut upkeep = wave_of("vm", &fleet);
    let vms = VmList::new(fleet.time(), vec![vm("vm", VmState::Up, &holder)]);
    let excluded = BTreeSet::new();
    let decide = |upkeep: &mut MaintenanceScheduler, fleet: &mut Fleet| {
        let round = round(&vms, &excluded);
        let now = fleet.time();
        upkeep.plan_maintenance(now, round, fleet.owner.as_mut().expect("an owner")).len()
    };
    assert_eq!(decide(&mut upkeep, &mut fleet), 0, "the task has to be stopped first");
    fleet.store_is_up = false;
    fleet.advance(1_000);
    assert!(fleet.workers[&holder].running.is_empty(), "it has stopped");
    assert_eq!(decide(&mut upkeep, &mut fleet), 0, "a successor would wait for the worker");
    fleet.store_is_up = true;
    fleet.advance(100);
    assert_eq!(decide(&mut upkeep, &mut fleet), 1);
}

/// An order for a VM that was maintained before is accepted and ends nothing:
/// only the list tells that the VM is down.
#[test]
fn tasks_of_a_vm_are_free_once_the_list_shows_it_down() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG);
    fleet.advance(300);
    let mut upkeep = wave_of("vm", &fleet);
    let vm = |state| vm("vm", state, "w0");
    let excluded = BTreeSet::new();
    let mut orders = 0;
    while orders == 0 && fleet.now < 10_000 {
        fleet.advance(100);
        let now = fleet.time();
        let vms = VmList::new(now, vec![vm(VmState::Up)]);
        let round = round(&vms, &excluded);
        orders = upkeep.plan_maintenance(now, round, fleet.owner.as_mut().expect("an owner")).len();
    }
    assert_eq!(orders, 1, "the task has had its time");
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    let worker = owner.worker_id("w0");
    upkeep.order_answered(now.plus(20), "vm", 1, VmOrderAnswer::Accepted, owner);
    upkeep.vms_listed(&VmList::new(now.plus(10), vec![vm(VmState::Up)]), owner);
    assert!(owner.has_tasks(worker), "it may still run");
    let mut repeated = upkeep.clone();
    upkeep.vms_listed(&VmList::new(now.plus(500), vec![vm(VmState::Maintenance)]), owner);
    assert!(!owner.has_tasks(worker));
    // A former owner had it maintained: it stays up, and is not ordered again.
    let vms = VmList::new(now.plus(500), vec![vm(VmState::Up)]);
    repeated.vms_listed(&vms, owner);
    let round = round(&vms, &excluded);
    assert!(repeated.plan_maintenance(now.plus(10_000), round, owner).is_empty());
    assert!(repeated.take_changed().iter().any(|(_, progress)| progress.completed));
}

/// A stop that the owner before has ordered may still be under way: its worker
/// shows the task at work, and another of its step must not be stopped, too.
#[test]
fn new_owner_stops_no_lasting_task_at_first() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.submit(1, job(vec![lasting(2)]), LONG);
    fleet.advance(300);
    let mut upkeep = wave_of("vm", &fleet);
    let (now, excluded) = (fleet.time(), BTreeSet::new());
    let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
    let owner = fleet.owner.as_mut().expect("an owner");
    let mut round = round(&vms, &excluded);
    round.may_stop_long_running = false;
    upkeep.plan_maintenance(now, round, owner);
    assert!(owner.take_orders().is_empty());
    round.may_stop_long_running = true;
    upkeep.plan_maintenance(now, round, owner);
    assert_eq!(owner.take_orders().len(), 1);
}

/// A stop that is repeated, since the worker still shows the task, names the
/// reason of the first one in the log.
#[test]
fn repeated_stop_keeps_its_reason() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![lasting(1)]), LONG);
    fleet.advance(300);
    let mut upkeep = wave_of("vm", &fleet);
    let (now, excluded) = (fleet.time(), BTreeSet::new());
    let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
    let round = round(&vms, &excluded);
    let report = fleet.workers["w0"].report(now);
    let owner = fleet.owner.as_mut().expect("an owner");
    upkeep.plan_maintenance(now, round, owner);
    let worker = owner.worker_id("w0");
    owner.worker_reported(now.plus(20), worker, &report);
    let reasons: Vec<StopReason> = owner
        .take_orders()
        .into_iter()
        .filter_map(|order| match order.order {
            Order::Stop { reason, .. } => Some(reason),
            Order::Start(_) | Order::Pace { .. } => None,
        })
        .collect();
    assert_eq!(reasons, [StopReason::Maintenance, StopReason::Maintenance]);
}
