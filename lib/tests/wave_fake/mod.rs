//! A maintenance wave of one VM, and the lists that show it.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::owner_record::WaveProgress;
use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::vm::VmAction;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::Fleet;
use crate::workload_fake::POOL;
use crate::workload_fake::cores;
use crate::workload_fake::step;

pub(crate) static NO_VMS: BTreeSet<String> = BTreeSet::new();
/// More orders than any test gives.
pub(crate) const UNLIMITED: usize = 1_000;

/// A scheduler with a wave of one VM.
pub(crate) fn scheduler_for(vm: &str, fleet: &Fleet) -> MaintenanceScheduler {
    let mut scheduler = MaintenanceScheduler::default();
    let wave = WaveSpec { wave: 1, vms: vec![vm.to_owned()], deadline_ms: 10_000, max_down: 1 };
    scheduler.wave_requested(fleet.time(), wave);
    scheduler
}

/// A VM, with its worker if the VM is up.
pub(crate) fn vm(name: &str, state: VmState, worker: &str) -> VmEntry {
    VmEntry {
        vm: name.to_owned(),
        pool: POOL.to_owned(),
        state,
        worker: (state == VmState::Up).then(|| worker.to_owned()),
        data_centre: "a".to_owned(),
        rack: None,
        capacity: cores(4),
    }
}

/// Input without limits on the orders.
pub(crate) fn plan_input<'a>(vms: &'a VmList, excluded: &'a BTreeSet<String>) -> VmPlanInput<'a> {
    let maybe_ordered = &NO_VMS;
    let (max_orders, may_stop_long_running) = (UNLIMITED, true);
    VmPlanInput { vms, excluded, maybe_ordered, max_orders, may_stop_long_running }
}

/// A step of `count` long-running tasks, of which one may be unavailable.
pub(crate) fn long_running(count: u32) -> StepSpec {
    StepSpec { long_running: true, max_unavailable: Some(1), ..step(count, cores(1)) }
}

/// Orders one VM down and returns the scheduler and when it did.
pub(crate) fn scheduler_with_order(fleet: &mut Fleet) -> (MaintenanceScheduler, TimeMs) {
    let mut scheduler = scheduler_for("vm", fleet);
    let now = fleet.time();
    let vms = VmList::new(now, vec![vm("vm", VmState::Up, "w0")]);
    let excluded = BTreeSet::new();
    let owner = fleet.owner.as_mut().expect("an owner");
    let orders = scheduler.plan_maintenance(now, plan_input(&vms, &excluded), owner);
    assert_eq!(orders.len(), 1, "the VM is empty");
    (scheduler, now)
}

/// Whether the wave has completed, as far as it was recorded since the last
/// call.
pub(crate) fn is_recorded_as_completed(scheduler: &mut MaintenanceScheduler) -> bool {
    scheduler
        .take_changed()
        .iter()
        .any(|(_, progress)| matches!(progress, Some(progress) if progress.completed))
}

/// A list that shows another VM, and the VM of the wave in a state, if any.
pub(crate) fn list_with(at: TimeMs, state: Option<VmState>) -> VmList {
    let mut vms = vec![vm("other", VmState::Up, "w1")];
    vms.extend(state.map(|state| vm("vm", state, "w0")));
    VmList::new(at, vms)
}

/// Applies a list and plans maintenance. Returns the number of orders.
pub(crate) fn apply_list(
    scheduler: &mut MaintenanceScheduler,
    fleet: &mut Fleet,
    vms: &VmList,
) -> usize {
    plan_orders(scheduler, fleet, vms).len()
}

/// The last record of the wave's progress since the last call.
pub(crate) fn last_progress(scheduler: &mut MaintenanceScheduler) -> Option<WaveProgress> {
    scheduler.take_changed().pop().and_then(|(_, progress)| progress)
}

/// Plans maintenance and returns the waves that the VM is ordered down for.
pub(crate) fn plan_orders(
    scheduler: &mut MaintenanceScheduler,
    fleet: &mut Fleet,
    vms: &VmList,
) -> Vec<u64> {
    let owner = fleet.owner.as_mut().expect("an owner");
    scheduler.vms_listed(vms, owner);
    let excluded = BTreeSet::new();
    let orders =
        scheduler.plan_maintenance(vms.requested_at, plan_input(vms, &excluded), owner).into_iter();
    let wave = |order: VmOrder| match order.action {
        VmAction::Maintain { wave } => Some(wave),
        VmAction::MoveTo { .. } => None,
    };
    orders.filter_map(wave).collect()
}
