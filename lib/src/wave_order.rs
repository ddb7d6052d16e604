//! The order in which a wave drains VMs.
//!
//! A failure domain with `left` VMs and a budget of `max_unavailable` needs
//! at least `left / max_unavailable` rounds. The roll-out is over when the
//! domain with the most rounds is, so its VMs go first.

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

/// A VM that a wave could drain now if the budgets allow it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) id: VmId,
    pub(crate) vm: &'a Vm,
    /// Domain that needs the most rounds, if the pool has a budget.
    pub(crate) domain: Option<FailureDomain>,
    /// Rounds that the domain needs, in thousandths.
    pub(crate) rounds_milli: u64,
}

/// VMs that a wave has yet to maintain.
#[derive(Default)]
pub(crate) struct Left<'a> {
    /// VMs by pool, also those that cannot be drained now.
    pools: BTreeMap<PoolId, Vec<(VmId, &'a Vm)>>,
    /// Number of VMs that could be drained.
    pub(crate) in_service: u32,
    /// Number of VMs that cannot be drained now.
    pub(crate) not_in_service: u32,
}

/// Collects the VMs that a wave has yet to maintain.
pub(crate) fn left<'a>(state: &'a ControlState, id: WaveId, wave: &Wave) -> Left<'a> {
    let pools: BTreeSet<PoolId> =
        wave.spec.pools.iter().filter_map(|name| state.pool_by_name(name)).collect();
    let purpose = Some(DrainPurpose::Wave(id));
    let mut left = Left::default();
    for (id, vm) in state.vms.iter() {
        let leaving = vm.health == Health::Leaving;
        if leaving || !pools.contains(&vm.pool) || !wave.has_pending_vm(id, vm) {
            continue;
        }
        left.pools.entry(vm.pool).or_default().push((id, vm));
        if state.is_in_service(vm) {
            left.in_service += 1;
        } else if vm.operation.map(|operation| operation.purpose) != purpose {
            left.not_in_service += 1;
        }
    }
    left
}

impl<'a> Left<'a> {
    /// VMs that could be drained, the most urgent first.
    pub(crate) fn candidates(
        &self,
        state: &ControlState,
        donor_pools: &BTreeSet<PoolId>,
    ) -> Vec<Candidate<'a>> {
        let mut in_rack = vec![0_u32; state.racks.slots().count()];
        for (_, vm) in self.pools.values().flatten() {
            in_rack[vm.rack.index()] += 1;
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
            let due = donor_pools.contains(pool);
            for (id, vm) in vms.iter().filter(|(_, vm)| state.is_in_service(vm)) {
                let (domain, rounds_milli) = longest_domain(budgets, &domains, vm);
                let candidate = Candidate { id: *id, vm, domain, rounds_milli };
                let rack_left = in_rack[vm.rack.index()];
                let key = (Reverse(rounds_milli), Reverse(due), Reverse(rack_left), *id);
                candidates.push((key, candidate));
            }
        }
        candidates.sort_unstable_by_key(|(key, _)| *key);
        candidates.into_iter().map(|(_, candidate)| candidate).collect()
    }
}

fn longest_domain(
    budgets: &[Budget],
    left: &BTreeMap<FailureDomain, u32>,
    vm: &Vm,
) -> (Option<FailureDomain>, u64) {
    budgets
        .iter()
        .map(|budget| {
            let domain = FailureDomain::of(vm, budget.scope);
            let left = left.get(&domain).copied().unwrap_or_default();
            let rounds = u64::from(left) * 1000 / u64::from(budget.max_unavailable.max(1));
            (Some(domain), rounds)
        })
        .max_by_key(|(_, rounds)| *rounds)
        .unwrap_or((None, 0))
}
