//! The order in which a wave drains VMs.
//!
//! A failure domain with `left` VMs and a budget of `max_unavailable` needs
//! at least `left / max_unavailable` rounds. The roll-out is over when the
//! domain with the most rounds is, so its VMs go first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::budget::Domain;
use crate::control::ControlState;
use crate::control::Vm;
use crate::control::Wave;
use crate::ids::PoolId;
use crate::ids::RackId;
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
    pub(crate) domain: Option<Domain>,
    /// Rounds that the domain needs, in thousandths.
    pub(crate) rounds_milli: u64,
}

/// VMs that a wave has yet to maintain.
pub(crate) struct Left<'a> {
    /// VMs that could be drained, the most urgent first.
    pub(crate) candidates: Vec<Candidate<'a>>,
    /// Number of VMs that cannot be drained now.
    pub(crate) not_in_service: u32,
}

/// Collects the VMs that a wave has yet to maintain.
pub(crate) fn left<'a>(
    state: &'a ControlState,
    id: WaveId,
    wave: &Wave,
    due_moves: &BTreeSet<PoolId>,
) -> Left<'a> {
    let pools: BTreeSet<PoolId> =
        wave.spec.pools.iter().filter_map(|name| state.pool_by_name(name)).collect();
    let vms: Vec<(VmId, &Vm)> = state
        .vms
        .iter()
        .filter(|(id, vm)| pools.contains(&vm.pool) && wave.is_left(*id, vm))
        .filter(|(_, vm)| vm.health != Health::Leaving)
        .collect();
    let counts = count_left(state, &vms);
    let purpose = Some(DrainPurpose::Wave(id));
    let mut candidates = Vec::new();
    let mut not_in_service = 0;
    for (id, vm) in vms {
        if state.is_in_service(vm) {
            let (domain, rounds_milli) = longest_domain(state, &counts.domains, vm);
            candidates.push(Candidate { id, vm, domain, rounds_milli });
        } else if vm.operation.map(|operation| operation.purpose) != purpose {
            not_in_service += 1;
        }
    }
    candidates.sort_by_key(|candidate| {
        let rack_left = counts.racks.get(&candidate.vm.rack).copied().unwrap_or_default();
        let due = due_moves.contains(&candidate.vm.pool);
        (Reverse(candidate.rounds_milli), Reverse(due), Reverse(rack_left), candidate.id)
    });
    Left { candidates, not_in_service }
}

#[derive(Default)]
struct LeftCounts {
    domains: BTreeMap<(PoolId, Domain), u32>,
    racks: BTreeMap<RackId, u32>,
}

fn count_left(state: &ControlState, vms: &[(VmId, &Vm)]) -> LeftCounts {
    let mut counts = LeftCounts::default();
    for (_, vm) in vms {
        *counts.racks.entry(vm.rack).or_default() += 1;
        let Some(pool) = state.pools.get(vm.pool) else { continue };
        let domains: BTreeSet<Domain> =
            pool.budgets.iter().map(|budget| Domain::of(vm, budget.scope)).collect();
        for domain in domains {
            *counts.domains.entry((vm.pool, domain)).or_default() += 1;
        }
    }
    counts
}

fn longest_domain(
    state: &ControlState,
    counts: &BTreeMap<(PoolId, Domain), u32>,
    vm: &Vm,
) -> (Option<Domain>, u64) {
    let Some(pool) = state.pools.get(vm.pool) else { return (None, 0) };
    let rounds = |max_unavailable: u32, domain: Domain| {
        let left = counts.get(&(vm.pool, domain)).copied().unwrap_or_default();
        u64::from(left) * 1000 / u64::from(max_unavailable.max(1))
    };
    pool.budgets
        .iter()
        .map(|budget| {
            let domain = Domain::of(vm, budget.scope);
            (Some(domain), rounds(budget.max_unavailable, domain))
        })
        .max_by_key(|(_, rounds)| *rounds)
        .unwrap_or((None, 0))
}
