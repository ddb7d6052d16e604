//! What the fold says about a worker.

use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::control::Vm;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::record::Health;
use cowslipport_lib::scheduler_event::WorkerService;
use cowslipport_lib::scheduler_event::WorkerSpec;

/// Fencing token for a worker. Epochs of different partitions are not ordered
/// by a move, so a VM that came from another pool is fenced from its former
/// owners by the offset of the move.
pub(crate) fn worker_epoch(epoch: Epoch, vm: &Vm) -> Epoch {
    epoch.max(Epoch(vm.pool_since.0))
}

/// True while the platform reboots the VM.
pub(crate) fn is_rebooting(vm: &Vm) -> bool {
    match vm.operation.map(|operation| operation.phase) {
        Some(OperationPhase::Rebooting) => true,
        Some(OperationPhase::Draining | OperationPhase::Moved) | None => false,
    }
}

/// What the fold says about the worker of a VM.
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
