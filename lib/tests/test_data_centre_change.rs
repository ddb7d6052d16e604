//! Tasks leave a data centre in order, and its VMs are readmitted gradually.

mod fleet;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::data_centre_change::FinishReason;
use cowslipport_lib::data_centre_change::ReadmissionRamp;
use cowslipport_lib::data_centre_change::RunningTask;
use cowslipport_lib::data_centre_change::TaskDecision;
use cowslipport_lib::data_centre_change::admitted_count;
use cowslipport_lib::data_centre_change::plan_evacuation;
use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::JobId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::fleet::Fleet;

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_bytes: 0, accelerators: 0 }
}

fn task(job: u32, urgent: bool, remaining_ms: Option<u64>) -> RunningTask {
    RunningTask { job: JobId(job), vm: VmId(0), urgent, usage: cpu(1000), remaining_ms }
}

/// Guards against a burst of work on the VMs of a data centre that returns, and
/// against a data centre whose VMs are never all admitted.
#[test]
fn returning_data_centre_is_admitted_by_doubling() {
    let mut fleet = Fleet::new(2, 96, &[]);
    let mut ramp = ReadmissionRamp::default();
    ramp.observe(&fleet.state, TimeMs(0));
    assert!(ramp.is_complete(), "a data centre that is in service at first is admitted completely");
    fleet.set_data_centre("dc0", false);
    ramp.observe(&fleet.state, TimeMs(1000));
    fleet.set_data_centre("dc0", true);
    let mut not_admitted = Vec::new();
    for second in 2..8 {
        ramp.observe(&fleet.state, TimeMs(second * 1000));
        not_admitted.push(ramp.vms_not_admitted(&fleet.state, TimeMs(second * 1000)).len());
    }
    assert_eq!(not_admitted, [30, 28, 24, 16, 0, 0]);
    assert!(ramp.is_complete());
}

/// Guards against one pool or rack that is admitted completely before others.
#[test]
fn pools_and_racks_are_admitted_round_robin() {
    let mut fleet = Fleet::new(3, 96, &[]);
    let mut ramp = ReadmissionRamp::default();
    for (second, in_service) in [(0, false), (1, true)] {
        fleet.set_data_centre("dc0", in_service);
        ramp.observe(&fleet.state, TimeMs(second * 1000));
    }
    let not_admitted = ramp.vms_not_admitted(&fleet.state, TimeMs(3000));
    let admitted: Vec<_> = fleet
        .state
        .vms
        .iter()
        .filter(|(id, vm)| vm.data_centre == DataCentreId(0) && !not_admitted.contains(id))
        .map(|(_, vm)| (vm.pool, vm.rack))
        .collect();
    let racks: std::collections::BTreeSet<_> = admitted.iter().collect();
    assert_eq!(admitted.len(), 8);
    assert_eq!(racks.len(), 8);
    for pool in 0..4 {
        assert_eq!(admitted.iter().filter(|(of, _)| *of == PoolId(pool)).count(), 2);
    }
}

/// Guards against a number of admitted VMs that falls or never reaches all VMs.
#[test]
fn admitted_count_rises_to_all() {
    for vms in [0, 1, 3, 16, 1500] {
        let counts: Vec<u32> = (0..20).map(|second| admitted_count(vms, second * 1000)).collect();
        assert!(counts.is_sorted());
        assert_eq!(*counts.last().unwrap(), vms);
    }
    assert_eq!(admitted_count(1500, u64::MAX), 1500);
}

/// Guards against stalled work: a task is checkpointed only if another data
/// centre has free capacity for it, and urgent tasks come first.
#[test]
fn tasks_leave_urgent_first_and_only_into_free_capacity() {
    let mut fleet = Fleet::new(1, 4, &[]);
    let tasks = [
        task(1, false, Some(600_000)),
        task(2, true, None),
        task(3, false, Some(900_000)),
        task(4, false, Some(1000)),
    ];
    let decide = |fleet: &Fleet| plan_evacuation(&fleet.state, PoolId(0), &tasks, cpu(2000), 5000);
    let finish = TaskDecision::Finish { job: JobId(2), reason: FinishReason::Policy };
    assert_eq!(decide(&fleet)[0], finish);
    let mut pool = fleet.state.pools.get(PoolId(0)).unwrap().spec.clone();
    pool.on_data_centre_out = DataCentreOutPolicy::Checkpoint;
    fleet.commit(vec![ConfigChange::PutPool(pool)]);
    assert_eq!(
        decide(&fleet),
        [
            TaskDecision::Checkpoint { job: JobId(2) },
            TaskDecision::Checkpoint { job: JobId(3) },
            TaskDecision::Wait { job: JobId(1) },
            TaskDecision::Finish { job: JobId(4), reason: FinishReason::AlmostDone },
        ]
    );
}
