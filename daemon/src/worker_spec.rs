//! Properties of a worker that follow from the control state.

use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::control::Vm;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::record::Health;
use cowslipport_lib::scheduler_event::WorkerService;
use cowslipport_lib::scheduler_event::WorkerSpec;

/// Fencing token for calls to a worker. A new partition of a VM may have a lower
/// epoch than its former one. The offset at which the VM moved to its pool is
/// therefore a lower bound of the token, so that the worker refuses calls of
/// the former owners.
pub(crate) fn worker_fence(epoch: Epoch, vm: &Vm) -> Epoch {
    epoch.max(Epoch(vm.pool_since.0))
}

/// True while the platform reboots the VM.
pub(crate) fn is_rebooting(vm: &Vm) -> bool {
    match vm.operation.map(|operation| operation.phase) {
        Some(OperationPhase::Rebooting) => true,
        Some(OperationPhase::Draining | OperationPhase::Moved) | None => false,
    }
}

/// The properties of the worker of a VM, or `None` if the pool of the VM is not
/// known.
pub(crate) fn worker_spec(state: &ControlState, vm: &Vm) -> Option<WorkerSpec> {
    let pool = state.pools.get(vm.pool)?;
    let service = match vm.health {
        _ if vm.operation.is_some() => WorkerService::Draining,
        Health::Up => WorkerService::Open,
        Health::Leaving => WorkerService::Draining,
        Health::Down | Health::Unknown => WorkerService::Closed,
    };
    Some(WorkerSpec {
        capacity: vm.joined.capacity,
        data_centre: vm.data_centre,
        rack: vm.rack,
        service,
        data_centre_in_service: state.data_centre_in_service(vm),
        on_data_centre_out: pool.spec.on_data_centre_out,
    })
}
