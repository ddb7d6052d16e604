//! Choice of the donor pool and the VM of a move, and the next step of a move.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::budget::BudgetUsage;
use crate::buffer::PoolBuffer;
use crate::buffer::shift_vm;
use crate::config::Policy;
use crate::control::ControlState;
use crate::control::Vm;
use crate::drain::DrainGoal;
use crate::drain::DrainStatus;
use crate::ids::DataCentreId;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::VmId;
use crate::move_decision::MoveCancelReason;
use crate::move_decision::MoveDecision;
use crate::move_decision::MoveReason;
use crate::move_decision::MoveWait;
use crate::moves::MOVE_COST_MS;
use crate::moves::MoveView;
use crate::operation;
use crate::operation::TrackedOperation;
use crate::record::Health;
use crate::time::TimeMs;

/// Time for which a pool holds a VM that it does not need before the VM moves
/// to the spare pool.
pub(crate) fn max_hold_ms(policy: &Policy) -> u64 {
    let moves = u64::from(policy.weight_moves_milli);
    let buffer = u64::from(policy.weight_buffer_milli.max(1));
    MOVE_COST_MS.saturating_mul(moves) / buffer
}

/// Pools whose demand is not known yet.
pub(crate) fn pools_learning_demand<'a>(
    state: &'a ControlState,
    buffers: &'a BTreeMap<PoolId, PoolBuffer>,
) -> impl Iterator<Item = MoveWait> + 'a {
    state
        .pools
        .iter()
        .filter(|(id, pool)| {
            !pool.spec.spare && buffers.get(id).is_some_and(|buffer| buffer.need.is_none())
        })
        .map(|(pool, _)| MoveWait::Learning { pool })
}

/// Pools that lack VMs, ordered by the share that is missing, largest first.
pub(crate) fn pools_by_deficit(buffers: &BTreeMap<PoolId, PoolBuffer>) -> Vec<PoolId> {
    let mut pools: Vec<(Reverse<u64>, PoolId)> = buffers
        .iter()
        .filter(|(_, buffer)| buffer.deficit() > 0)
        .map(|(pool, buffer)| {
            let missing =
                u64::from(buffer.deficit()) * 1000 / u64::from(buffer.low_watermark.max(1));
            (Reverse(missing), *pool)
        })
        .collect();
    pools.sort_unstable();
    pools.into_iter().map(|(_, pool)| pool).collect()
}

/// Pools, budgets and VMs while a plan is made, including the effect of moves
/// that were proposed and are not applied yet.
pub(crate) struct PlanState<'a> {
    view: MoveView<'a>,
    pub(crate) buffers: BTreeMap<PoolId, PoolBuffer>,
    budgets: BudgetUsage,
    /// VMs of each pool that may be drained now.
    candidates: BTreeMap<PoolId, Vec<(VmId, &'a Vm)>>,
    /// Number of VMs of each pool in each rack once all moves are done.
    racks: BTreeMap<(PoolId, RackId), u32>,
    /// Number of VMs of each pool in each data centre once all moves are done.
    data_centres: BTreeMap<(PoolId, DataCentreId), u32>,
}

impl<'a> PlanState<'a> {
    pub(crate) fn new(
        view: MoveView<'a>,
        buffers: BTreeMap<PoolId, PoolBuffer>,
        proposed: &BTreeMap<VmId, (PoolId, TimeMs)>,
    ) -> Self {
        let mut plan = Self {
            view,
            buffers,
            budgets: BudgetUsage::new(view.state),
            candidates: BTreeMap::new(),
            racks: BTreeMap::new(),
            data_centres: BTreeMap::new(),
        };
        for (id, vm) in view.state.vms.iter() {
            let to = proposed.get(&id).map(|(to, _)| *to);
            plan.count(vm, to.unwrap_or(vm.pool_after_move()));
            if to.is_some() {
                plan.budgets.add_drain(vm);
            } else if view.state.is_in_service(vm) {
                plan.candidates.entry(vm.pool).or_default().push((id, vm));
            }
        }
        plan
    }

    fn count(&mut self, vm: &Vm, pool: PoolId) {
        *self.racks.entry((pool, vm.rack)).or_default() += 1;
        *self.data_centres.entry((pool, vm.data_centre)).or_default() += 1;
    }

    /// Number of VMs that a pool lacks, or nothing if it lacks none or has its
    /// maximum size.
    pub(crate) fn missing_vms(&self, pool: PoolId) -> Option<u32> {
        let missing = self.buffers.get(&pool)?.deficit();
        (missing > 0 && self.can_grow(pool)).then_some(missing)
    }

    /// True if the pool has fewer VMs than its maximum.
    pub(crate) fn can_grow(&self, pool: PoolId) -> bool {
        let size = self.buffers.get(&pool).map_or(0, |buffer| buffer.size);
        self.view.state.pools.get(pool).is_some_and(|pool| size < pool.spec.max_vms)
    }

    /// Chooses a VM of the first donor whose budgets allow a drain. The choice
    /// spreads the VMs of the receiver over racks and data centres; among equal
    /// ones it prefers the rack in which the donor has most VMs.
    pub(crate) fn choose_vm(
        &self,
        donors: &[PoolId],
        receiver: PoolId,
    ) -> Result<(PoolId, VmId), Option<MoveWait>> {
        let mut wait = None;
        for donor in donors {
            let candidates = self.candidates.get(donor).map_or(&[][..], Vec::as_slice);
            let mut vms: Vec<_> =
                candidates.iter().map(|(id, vm)| (self.cost(vm, receiver), *id, *vm)).collect();
            vms.sort_unstable_by_key(|(cost, id, _)| (*cost, *id));
            for (_, id, vm) in vms {
                match self.budgets.check(self.view.state, vm) {
                    Ok(()) => return Ok((*donor, id)),
                    Err((domain, exceeded)) => {
                        wait = wait.or(Some(MoveWait::budget(*donor, domain, exceeded)));
                    }
                }
            }
        }
        Err(wait)
    }

    fn cost(&self, vm: &Vm, receiver: PoolId) -> (u32, u32, Reverse<u32>) {
        let rack = |pool| self.racks.get(&(pool, vm.rack)).copied().unwrap_or_default();
        let centre =
            self.data_centres.get(&(receiver, vm.data_centre)).copied().unwrap_or_default();
        (rack(receiver), centre, Reverse(rack(vm.pool)))
    }

    /// Applies the effect of a move that begins.
    pub(crate) fn add_move(&mut self, id: VmId, from: PoolId, to: PoolId) {
        let candidates = self.candidates.entry(from).or_default();
        let Some(index) = candidates.iter().position(|(candidate, _)| *candidate == id) else {
            return;
        };
        let (_, vm) = candidates.remove(index);
        self.budgets.add_drain(vm);
        shift_vm(&mut self.buffers, from, to);
        if let Some(count) = self.racks.get_mut(&(from, vm.rack)) {
            *count -= 1;
        }
        if let Some(count) = self.data_centres.get_mut(&(from, vm.data_centre)) {
            *count -= 1;
        }
        self.count(vm, to);
    }

    pub(crate) fn deficit_reason(&self, from: PoolId, to: PoolId) -> MoveReason {
        let (have, want) =
            self.buffers.get(&to).map_or((0, 0), |buffer| (buffer.have, buffer.low_watermark));
        let coincidence_permille = self.view.demand.coincidence_permille(to, from);
        MoveReason::Deficit { have, want, coincidence_permille }
    }
}

/// Returns the next step of a VM that is drained for a move.
pub(crate) fn advance_drain(
    view: MoveView<'_>,
    buffers: &BTreeMap<PoolId, PoolBuffer>,
    id: VmId,
    vm: &Vm,
    tracked: &TrackedOperation,
) -> MoveDecision {
    let operation = tracked.id;
    if let Some(reason) = cancel_reason(view.state, buffers, vm) {
        return MoveDecision::Cancel { vm: id, operation, reason };
    }
    let report = view.reports.get(&id);
    match operation::drain_status(view.state, vm, tracked, DrainGoal::Move, report, view.now) {
        DrainStatus::Drained(reason) => MoveDecision::Move { vm: id, operation, reason },
        DrainStatus::Waiting(wait) => MoveDecision::Wait(MoveWait::Drain { vm: id, wait }),
        DrainStatus::Cancel { session, in_flight } => {
            let reason = MoveCancelReason::RequestsInFlight { session, in_flight };
            MoveDecision::Cancel { vm: id, operation, reason }
        }
    }
}

fn cancel_reason(
    state: &ControlState,
    buffers: &BTreeMap<PoolId, PoolBuffer>,
    vm: &Vm,
) -> Option<MoveCancelReason> {
    let to = vm.pool_after_move();
    let Some(target) = state.pools.get(to) else {
        return Some(MoveCancelReason::PoolRemoved(to));
    };
    let healthy = match vm.health {
        Health::Up | Health::Unknown => true,
        Health::Down | Health::Leaving => false,
    };
    if !healthy || !state.data_centre_in_service(vm) {
        return Some(MoveCancelReason::VmNotInService);
    }
    let needed = buffers.get(&vm.pool).is_some_and(|buffer| buffer.deficit() > 0);
    (target.spec.spare && needed).then_some(MoveCancelReason::NeededAgain)
}

/// Returns the next step of a VM that has changed its pool. A VM that moved to
/// a spare pool is not needed at once, so it is rebooted before it serves there
/// if a running wave still has to maintain it.
pub(crate) fn advance_moved(
    view: MoveView<'_>,
    id: VmId,
    vm: &Vm,
    tracked: &TrackedOperation,
) -> MoveDecision {
    let operation = tracked.id;
    let spare = view.state.pools.get(vm.pool).is_some_and(|pool| pool.spec.spare);
    let in_service = vm.health == Health::Up && view.state.data_centre_in_service(vm);
    if !spare || !in_service || view.state.running_waves_for(id).is_empty() {
        return MoveDecision::Done { vm: id, operation };
    }
    let report = view.reports.get(&id);
    match operation::drain_status(view.state, vm, tracked, DrainGoal::Stop, report, view.now) {
        DrainStatus::Drained(_) => MoveDecision::Reboot { vm: id, operation },
        DrainStatus::Waiting(wait) => MoveDecision::Wait(MoveWait::Drain { vm: id, wait }),
        DrainStatus::Cancel { .. } => MoveDecision::Done { vm: id, operation },
    }
}
