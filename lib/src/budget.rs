//! Availability budgets: whether a VM may be made unavailable.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::Budget;
use crate::config::BudgetScope;
use crate::control::ControlState;
use crate::control::Vm;
use crate::ids::DataCentreId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::VmId;

/// A budget that a drain would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// Failure domain of the budget.
    pub scope: BudgetScope,
    /// VMs of the domain that count against the budget now.
    pub unavailable: u32,
    /// VMs of the domain that may be unavailable.
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

/// The failure domain in which one budget counts VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// The whole pool.
    Pool,
    /// The VMs of the pool in one data centre.
    DataCentre(DataCentreId),
    /// The VMs of the pool in one rack.
    Rack(RackId),
}

impl FailureDomain {
    /// The failure domain of a VM in a scope.
    pub fn of(vm: &Vm, scope: BudgetScope) -> Self {
        match scope {
            BudgetScope::Pool => Self::Pool,
            BudgetScope::DataCentre => Self::DataCentre(vm.data_centre),
            BudgetScope::Rack => Self::Rack(vm.rack),
        }
    }
}

/// VMs of one domain that count against its budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UnavailableCount {
    unavailable: u32,
    with_operation: u32,
}

/// Checks that every budget of the VM's pool allows the VM to be drained. A VM
/// that is unavailable already does not increase the number of unavailable VMs,
/// but the number of VMs with an operation must stay within the budget too:
/// otherwise a data centre that returns to service would have more VMs drained
/// than the budget allows.
pub fn check_drain(state: &ControlState, id: VmId) -> Result<(), BudgetExceeded> {
    let Some(vm) = state.vms.get(id) else { return Ok(()) };
    let Some(pool) = state.pools.get(vm.pool) else { return Ok(()) };
    let mut counts = vec![UnavailableCount::default(); pool.budgets.len()];
    for (_, other) in state.vms.iter().filter(|(_, other)| is_unavailable_in(state, vm.pool, other))
    {
        for (budget, count) in pool.budgets.iter().zip(&mut counts) {
            if FailureDomain::of(vm, budget.scope) == FailureDomain::of(other, budget.scope) {
                count.add(other);
            }
        }
    }
    let in_service = state.is_in_service(vm);
    let checked = pool.budgets.iter().zip(counts);
    checked.into_iter().try_for_each(|(budget, count)| count.check(*budget, in_service))
}

/// Number of unavailable VMs of the VM's pool in its failure domain. A VM is
/// unavailable if it is not healthy, has an operation, or is in a data centre
/// that is out of service. A VM that a move has brought into the pool and that
/// has not served yet does not count, as the pool loses no capacity by it.
pub fn unavailable_in_domain(state: &ControlState, vm: &Vm, scope: BudgetScope) -> u32 {
    let domain = FailureDomain::of(vm, scope);
    let count = state
        .vms
        .iter()
        .filter(|(_, other)| is_unavailable_in(state, vm.pool, other))
        .filter(|(_, other)| FailureDomain::of(other, scope) == domain)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn is_unavailable_in(state: &ControlState, pool: PoolId, vm: &Vm) -> bool {
    vm.pool == pool && !state.is_in_service(vm) && !vm.is_arriving()
}

impl UnavailableCount {
    fn add(&mut self, vm: &Vm) {
        self.unavailable += 1;
        self.with_operation += u32::from(vm.operation.is_some());
    }

    fn check(self, budget: Budget, in_service: bool) -> Result<(), BudgetExceeded> {
        let used = if in_service { self.unavailable } else { self.with_operation };
        if used < budget.max_unavailable {
            return Ok(());
        }
        Err(BudgetExceeded {
            scope: budget.scope,
            unavailable: used,
            max_unavailable: budget.max_unavailable,
        })
    }
}

/// Use of every budget, including drains that a planner has proposed and that
/// are not applied yet. It is computed in one pass over all VMs and serves any
/// number of checks.
#[derive(Clone, Debug, Default)]
pub struct BudgetUsage {
    counts: BTreeMap<(PoolId, FailureDomain), UnavailableCount>,
}

impl BudgetUsage {
    /// Computes the use of the budgets in the control state.
    pub fn new(state: &ControlState) -> Self {
        let mut usage = Self::default();
        for (_, vm) in state.vms.iter() {
            if !state.is_in_service(vm) && !vm.is_arriving() {
                usage.add(vm, vm.operation.is_some());
            }
        }
        usage
    }

    /// Checks a drain as [`check_drain`] does, and returns the failure domain
    /// of the exceeded budget.
    pub fn check(
        &self,
        state: &ControlState,
        vm: &Vm,
    ) -> Result<(), (FailureDomain, BudgetExceeded)> {
        let Some(pool) = state.pools.get(vm.pool) else { return Ok(()) };
        let in_service = state.is_in_service(vm);
        for budget in &pool.budgets {
            let domain = FailureDomain::of(vm, budget.scope);
            let count = self.counts.get(&(vm.pool, domain)).copied().unwrap_or_default();
            count.check(*budget, in_service).map_err(|exceeded| (domain, exceeded))?;
        }
        Ok(())
    }

    /// Adds the drain of a VM that is in service.
    pub fn add_drain(&mut self, vm: &Vm) {
        self.add(vm, true);
    }

    fn add(&mut self, vm: &Vm, with_operation: bool) {
        let scopes = [BudgetScope::Pool, BudgetScope::DataCentre, BudgetScope::Rack];
        for scope in scopes {
            let count = self.counts.entry((vm.pool, FailureDomain::of(vm, scope))).or_default();
            count.unavailable += 1;
            count.with_operation += u32::from(with_operation);
        }
    }
}
