//! The VM list as evidence that a worker that does not answer has ended.

mod workload_fake;

use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::Fleet;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// A long-running task must run again within this time after its last run.
const LONG_RUNNING_RECOVERY_MS: u64 = 6_000;
const VM_LIST_INTERVAL_MS: u64 = 400;

/// Advances the time, with a VM list at each interval. `list` tells whether a
/// worker is in the list, and the state of its VM.
fn advance<F>(fleet: &mut Fleet, ms: u64, list: F)
where
    F: Fn(&str) -> Option<(VmState, bool)>,
{
    let until = fleet.now + ms;
    while fleet.now < until {
        fleet.advance(VM_LIST_INTERVAL_MS);
        let mut vms = Vec::new();
        for name in fleet.workers.keys() {
            let Some((state, has_worker)) = list(name) else { continue };
            vms.push(VmEntry {
                vm: format!("vm-{name}"),
                pool: workload_fake::POOL.to_owned(),
                state,
                worker: has_worker.then(|| name.clone()),
                data_centre: "a".to_owned(),
                rack: None,
                capacity: cores(4),
            });
        }
        let now = fleet.time();
        let vms = VmList::new(now, vms);
        if let Some(owner) = &mut fleet.owner {
            owner.vms_listed(now, &vms);
        }
    }
}

/// A fleet with one long-running task, and the name of its worker.
fn fleet_with_task() -> (Fleet, String) {
    let mut fleet = Fleet::new(3, cores(4));
    fleet.submit(1, job(vec![StepSpec { long_running: true, ..step(1, cores(1)) }]), SHORT_WORK);
    fleet.advance(400);
    let worker = fleet.workers.values().find(|worker| !worker.running.is_empty());
    let name = worker.expect("the task runs").name.clone();
    (fleet, name)
}

/// A former owner had the VM of a task moved, which ended the task. The new
/// owner cannot reach the worker and does not know how long the former one
/// renewed its leases.
#[test]
fn task_of_a_moved_vm_runs_again_under_a_new_owner() {
    for state in [None, Some((VmState::Moving, true)), Some((VmState::Maintenance, true))] {
        let (mut fleet, gone) = fleet_with_task();
        let worker = fleet.worker(&gone);
        worker.is_up = false;
        worker.running.clear();
        fleet.replace_owner(false);
        let list = |name: &str| if name == gone { state } else { Some((VmState::Up, true)) };
        advance(&mut fleet, LONG_RUNNING_RECOVERY_MS, list);
        assert_eq!(fleet.running(), 1, "{state:?}");
        fleet.assert_no_violations();
    }
}

/// A worker that is only cut off goes on running its task. The VM list shows
/// its VM, with or without the name of the worker.
#[test]
fn task_of_a_worker_that_is_cut_off_keeps_its_placement() {
    for (state, has_worker) in [(VmState::Up, true), (VmState::Down, true), (VmState::Up, false)] {
        let (mut fleet, cut) = fleet_with_task();
        fleet.worker(&cut).is_reachable = false;
        fleet.replace_owner(false);
        let list = |name: &str| match name == cut {
            true => Some((state, has_worker)),
            false => Some((VmState::Up, true)),
        };
        advance(&mut fleet, 20_000, list);
        fleet.assert_no_violations();
        assert_eq!(fleet.running(), 1, "{state:?}");
    }
}

/// The list lags: a worker that has just started is missing from it, gets a
/// task, and is cut off at once.
#[test]
fn new_worker_that_the_list_does_not_show_yet_keeps_its_task() {
    let (mut fleet, cut) = fleet_with_task();
    fleet.worker(&cut).is_reachable = false;
    advance(&mut fleet, 1_200, |name| (name != cut).then_some((VmState::Up, true)));
    assert_eq!(fleet.running(), 1);
    advance(&mut fleet, 20_000, |_| Some((VmState::Up, true)));
    fleet.assert_no_violations();
}
