//! The order in which a wave drains VMs.
//!
//! A failure domain with `remaining` VMs and a budget of `max_unavailable`
//! needs at least `remaining / max_unavailable` rounds. The roll-out ends no
//! sooner than the domain that needs the most rounds, so its VMs are drained
//! first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::arena::ArenaKey;
use crate::budget::FailureDomain;
use crate::config::Budget;
use crate::config::BudgetScope;
use crate::control::ControlState;
use crate::control::Vm;
use crate::control::Wave;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::record::DrainPurpose;
use crate::record::Health;

/// A VM that a wave may drain now if the budgets allow it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) id: VmId,
    pub(crate) vm: &'a Vm,
    /// Failure domain of the VM that needs the most rounds, if the pool has a
    /// budget.
    pub(crate) domain: Option<FailureDomain>,
    /// Rounds that this domain needs, in thousandths.
    pub(crate) rounds_milli: u64,
}

/// VMs that a wave has yet to maintain.
#[derive(Default)]
pub(crate) struct RemainingVms<'a> {
    /// VMs by pool, including those that cannot be drained now.
    pools: BTreeMap<PoolId, Vec<(VmId, &'a Vm)>>,
    /// Number of VMs that may be drained now.
    pub(crate) in_service: u32,
    /// Number of VMs that cannot be drained now.
    pub(crate) not_in_service: u32,
}

/// Collects the VMs that a wave has yet to maintain.
pub(crate) fn remaining_vms<'a>(
    state: &'a ControlState,
    id: WaveId,
    wave: &Wave,
) -> RemainingVms<'a> {
    let pools: BTreeSet<PoolId> =
        wave.spec.pools.iter().filter_map(|name| state.pool_by_name(name)).collect();
    let purpose = Some(DrainPurpose::Wave(id));
    let mut remaining = RemainingVms::default();
    for (id, vm) in state.vms.iter() {
        let leaving = vm.health == Health::Leaving;
        if leaving || !pools.contains(&vm.pool) || !wave.has_pending_vm(id, vm) {
            continue;
        }
        remaining.pools.entry(vm.pool).or_default().push((id, vm));
        if state.is_in_service(vm) {
            remaining.in_service += 1;
        } else if vm.operation.map(|operation| operation.purpose) != purpose {
            remaining.not_in_service += 1;
        }
    }
    remaining
}

impl<'a> RemainingVms<'a> {
    /// VMs that may be drained now. VMs of the domain that needs the most
    /// rounds come first, then those of pools that have a VM to give, then
    /// those of the rack with the most remaining VMs.
    pub(crate) fn candidates(
        &self,
        state: &ControlState,
        donor_pools: &BTreeSet<PoolId>,
    ) -> Vec<Candidate<'a>> {
        let mut remaining_in_rack = vec![0_u32; state.racks.slots().count()];
        for (_, vm) in self.pools.values().flatten() {
            remaining_in_rack[vm.rack.index()] += 1;
        }
        let mut candidates = Vec::new();
        for (pool, vms) in &self.pools {
            let budgets = state.pools.get(*pool).map_or(&[][..], |pool| &pool.budgets);
            let mut domains: BTreeMap<FailureDomain, u32> = BTreeMap::new();
            let scopes: BTreeSet<BudgetScope> = budgets.iter().map(|budget| budget.scope).collect();
            for (_, vm) in vms {
                for scope in &scopes {
                    *domains.entry(FailureDomain::of(vm, *scope)).or_default() += 1;
                }
            }
            let is_donor = donor_pools.contains(pool);
            for (id, vm) in vms.iter().filter(|(_, vm)| state.is_in_service(vm)) {
                let (domain, rounds_milli) = slowest_domain(budgets, &domains, vm);
                let candidate = Candidate { id: *id, vm, domain, rounds_milli };
                let rack_remaining = remaining_in_rack[vm.rack.index()];
                let key = (Reverse(rounds_milli), Reverse(is_donor), Reverse(rack_remaining), *id);
                candidates.push((key, candidate));
            }
        }
        candidates.sort_unstable_by_key(|(key, _)| *key);
        candidates.into_iter().map(|(_, candidate)| candidate).collect()
    }
}

fn slowest_domain(
    budgets: &[Budget],
    remaining: &BTreeMap<FailureDomain, u32>,
    vm: &Vm,
) -> (Option<FailureDomain>, u64) {
    budgets
        .iter()
        .map(|budget| {
            let domain = FailureDomain::of(vm, budget.scope);
            let remaining = remaining.get(&domain).copied().unwrap_or_default();
            let rounds = u64::from(remaining) * 1000 / u64::from(budget.max_unavailable.max(1));
            (Some(domain), rounds)
        })
        .max_by_key(|(_, rounds)| *rounds)
        .unwrap_or((None, 0))
}
