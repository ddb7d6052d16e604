//! Availability budgets: whether a VM may be made unavailable.

use std::fmt;

use crate::config::BudgetScope;
use crate::control::ControlState;
use crate::control::Vm;
use crate::ids::VmId;

/// The budget that a drain would break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// Failure domain of the budget.
    pub scope: BudgetScope,
    /// VMs that are unavailable in the domain now.
    pub unavailable: u32,
    /// VMs that may be.
    pub max_unavailable: u32,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scope = match self.scope {
            BudgetScope::Pool => "pool",
            BudgetScope::DataCentre => "data centre",
            BudgetScope::Rack => "rack",
        };
        write!(
            f,
            "{} VMs of the {scope} are unavailable and the budget is {}",
            self.unavailable, self.max_unavailable
        )
    }
}

/// Checks that every budget of the VM's pool allows one more unavailable VM.
/// A VM that is unavailable already costs nothing.
pub fn check_drain(state: &ControlState, id: VmId) -> Result<(), BudgetExceeded> {
    let Some(vm) = state.vms.get(id) else { return Ok(()) };
    if !state.is_in_service(vm) {
        return Ok(());
    }
    let Some(pool) = state.pools.get(vm.pool) else { return Ok(()) };
    for budget in &pool.budgets {
        let unavailable = unavailable_near(state, vm, budget.scope);
        if unavailable + 1 > budget.max_unavailable {
            return Err(BudgetExceeded {
                scope: budget.scope,
                unavailable,
                max_unavailable: budget.max_unavailable,
            });
        }
    }
    Ok(())
}

/// Number of unavailable VMs of the VM's pool in its failure domain. A VM is
/// unavailable if it is not healthy, has an operation, or is in a data centre
/// that is out of service.
pub fn unavailable_near(state: &ControlState, vm: &Vm, scope: BudgetScope) -> u32 {
    let in_domain = |other: &Vm| match scope {
        BudgetScope::Pool => true,
        BudgetScope::DataCentre => other.data_centre == vm.data_centre,
        BudgetScope::Rack => other.rack == vm.rack,
    };
    let count = state
        .vms
        .iter()
        .filter(|(_, other)| other.pool == vm.pool && in_domain(other))
        .filter(|(_, other)| !state.is_in_service(other))
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
