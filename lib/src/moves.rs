//! Which VM changes its pool and when.
//!
//! A VM that a pool no longer needs stays until holding it has cost as much
//! as moving it, as in the ski rental problem: whatever the demand does next,
//! the cost is at most twice that of a policy that knows it. Until then it may
//! move directly to a pool that lacks a VM, which saves a move through the
//! spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::buffer::Demand;
use crate::buffer::PoolBuffer;
use crate::buffer::buffers;
use crate::buffer::shift_vm;
use crate::control::ControlState;
use crate::control::OperationPhase;
use crate::control::Vm;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::move_choice::PlanState;
use crate::move_choice::advance_drain;
use crate::move_choice::advance_moved;
use crate::move_choice::max_hold_ms;
use crate::move_choice::pools_by_deficit;
use crate::move_choice::pools_learning_demand;
use crate::move_decision::MoveDecision;
use crate::move_decision::MoveReason;
use crate::move_decision::MoveWait;
use crate::operation::OperationTracker;
use crate::operation::PROPOSAL_RETRY_MS;
use crate::operation::RebootStatus;
use crate::operation::TrackedOperation;
use crate::operation::VmReport;
use crate::record::DrainPurpose;
use crate::time::TimeMs;

/// Time for which holding a surplus VM costs as much as moving it, at equal
/// weights. A move takes a VM out of service for about a minute and interrupts
/// tasks.
pub const MOVE_COST_MS: u64 = 900_000;

/// Time for which a pool that lacks only a part of its reserve waits until the
/// budget of a pool with a surplus allows a drain. A pool can give about two
/// VMs a minute.
pub const DONOR_BUDGET_WAIT_MS: u64 = 300_000;

/// Reboot timeout of a VM that is rebooted during a move, if no running wave
/// covers the VM.
const DEFAULT_REBOOT_TIMEOUT_MS: u64 = 1_800_000;

/// Input of the move planner.
#[derive(Clone, Copy, Debug)]
pub struct MoveView<'a> {
    /// The control state.
    pub state: &'a ControlState,
    /// Current time.
    pub now: TimeMs,
    /// Demand of the pools.
    pub demand: &'a Demand,
    /// Reports of VMs that have an operation.
    pub reports: &'a BTreeMap<VmId, VmReport>,
}

/// Plans all moves. Only the process whose session has the lowest id does so.
/// If two processes do so at once, the order of their records in the log
/// decides: a record that conflicts with an earlier one is void.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    operations: OperationTracker,
    /// For each VM of a pool above the high watermark, the time since which
    /// the pool has had that many VMs; the earliest first.
    surplus: BTreeMap<PoolId, Vec<TimeMs>>,
    /// Moves that were proposed and are not applied yet: receiving pool and
    /// time of the proposal.
    proposed: BTreeMap<VmId, (PoolId, TimeMs)>,
}

impl MovePlanner {
    /// Returns the decisions that are due. A call iterates over every VM, so it
    /// should be made about once a second.
    pub fn plan(&mut self, view: MoveView<'_>) -> Vec<MoveDecision> {
        let is_move = |purpose| match purpose {
            DrainPurpose::Move(_) => true,
            DrainPurpose::Wave(_) => false,
        };
        self.operations.observe(view.state, view.now, is_move);
        let (operations, now) = (&self.operations, view.now);
        self.proposed.retain(|vm, (_, proposed)| {
            !operations.contains(*vm) && now.since(*proposed) < PROPOSAL_RETRY_MS
        });
        let mut buffers = buffers(view.state, view.demand);
        self.apply_proposed(view.state, &mut buffers);
        self.observe_surplus(view.now, &buffers);
        let mut decisions = self.advance_operations(view, &buffers);
        decisions.extend(self.begin_moves(view, buffers));
        decisions
    }

    /// Pools other than spare pools that have a surplus VM to give. Among VMs
    /// that are equally urgent, waves drain those of these pools first.
    pub fn donor_pools(&self, state: &ControlState) -> BTreeSet<PoolId> {
        let is_not_spare =
            |pool: &PoolId| state.pools.get(*pool).is_some_and(|pool| !pool.spec.spare);
        let surplus = self.surplus.iter().filter(|(_, since)| !since.is_empty());
        surplus.map(|(pool, _)| *pool).filter(is_not_spare).collect()
    }

    fn apply_proposed(&self, state: &ControlState, buffers: &mut BTreeMap<PoolId, PoolBuffer>) {
        for (id, (to, _)) in &self.proposed {
            let Some(vm) = state.vms.get(*id) else { continue };
            shift_vm(buffers, vm.pool, *to);
        }
    }

    fn observe_surplus(&mut self, now: TimeMs, buffers: &BTreeMap<PoolId, PoolBuffer>) {
        self.surplus.retain(|pool, _| buffers.contains_key(pool));
        for (pool, buffer) in buffers {
            let since = self.surplus.entry(*pool).or_default();
            since.resize(buffer.surplus() as usize, now);
        }
    }

    fn advance_operations(
        &mut self,
        view: MoveView<'_>,
        buffers: &BTreeMap<PoolId, PoolBuffer>,
    ) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        for (id, tracked) in self.operations.newest_first() {
            let Some(vm) = view.state.vms.get(id) else { continue };
            let decision = match tracked.phase {
                OperationPhase::Draining => advance_drain(view, buffers, id, vm, &tracked),
                OperationPhase::Moved => advance_moved(view, id, vm, &tracked),
                OperationPhase::Rebooting => self.advance_reboot(view, id, vm, &tracked),
            };
            if decision.record().is_none() || self.operations.may_propose(id, view.now) {
                decisions.push(decision);
            }
        }
        decisions
    }

    fn advance_reboot(
        &mut self,
        view: MoveView<'_>,
        id: VmId,
        vm: &Vm,
        tracked: &TrackedOperation,
    ) -> MoveDecision {
        let operation = tracked.id;
        let waves = view.state.running_waves_for(id);
        let timeout_ms = waves
            .iter()
            .filter_map(|wave| Some(view.state.waves.get(*wave)?.spec.reboot_timeout_ms))
            .max()
            .unwrap_or(DEFAULT_REBOOT_TIMEOUT_MS);
        let report = view.reports.get(&id);
        match self.operations.reboot_status(view.state, (id, vm), report, timeout_ms, view.now) {
            RebootStatus::Back => MoveDecision::Done { vm: id, operation },
            RebootStatus::Failed { waited_ms } => {
                MoveDecision::Failed { vm: id, operation, waited_ms }
            }
            RebootStatus::CallPlatform => MoveDecision::RequestReboot { vm: id, operation },
            RebootStatus::Waiting => MoveDecision::Wait(MoveWait::Reboot { vm: id }),
        }
    }

    fn begin_moves(
        &mut self,
        view: MoveView<'_>,
        buffers: BTreeMap<PoolId, PoolBuffer>,
    ) -> Vec<MoveDecision> {
        let mut waits: BTreeSet<MoveWait> = pools_learning_demand(view.state, &buffers).collect();
        let receivers = pools_by_deficit(&buffers);
        let donors = self.pools_due_to_return(view);
        let mut decisions = Vec::new();
        // Usually no move is due, and sorting the VMs is skipped.
        if !receivers.is_empty() || !donors.is_empty() {
            let mut plan = PlanState::new(view, buffers, &self.proposed);
            for receiver in receivers {
                decisions.extend(self.fill_deficit(view, &mut plan, receiver, &mut waits));
            }
            decisions.extend(self.return_surplus(view, &mut plan, &donors, &mut waits));
        }
        decisions.extend(waits.into_iter().map(MoveDecision::Wait));
        decisions
    }

    fn fill_deficit(
        &mut self,
        view: MoveView<'_>,
        plan: &mut PlanState<'_>,
        receiver: PoolId,
        waits: &mut BTreeSet<MoveWait>,
    ) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        while let Some(missing) = plan.missing_vms(receiver) {
            let donors = self.donors(view, &plan.buffers, receiver);
            match plan.choose_vm(&donors, receiver) {
                Ok((from, id)) => {
                    let reason = plan.deficit_reason(from, receiver);
                    decisions.push(self.begin(view.now, plan, (id, from), receiver, reason));
                }
                Err(wait) => {
                    waits.insert(wait.unwrap_or(MoveWait::NoDonor { pool: receiver, missing }));
                    break;
                }
            }
        }
        decisions
    }

    /// Pools that can give a VM to `receiver`: first those with a surplus,
    /// ordered by how little their bursts coincide with those of the receiver,
    /// then spare pools. Spare pools are left out for up to
    /// [`DONOR_BUDGET_WAIT_MS`] if the receiver lacks only a part of its
    /// reserve and another pool can give a VM as soon as its budget allows.
    fn donors(
        &self,
        view: MoveView<'_>,
        buffers: &BTreeMap<PoolId, PoolBuffer>,
        receiver: PoolId,
    ) -> Vec<PoolId> {
        let mut surplus_pools = Vec::new();
        let mut spares = Vec::new();
        let mut wait_for_donor = buffers.get(&receiver).is_some_and(PoolBuffer::covers_need);
        let mut donor_expected = false;
        for (pool, buffer) in buffers.iter().filter(|(pool, _)| **pool != receiver) {
            let Some(entry) = view.state.pools.get(*pool) else { continue };
            if buffer.surplus() == 0 || buffer.have <= entry.spec.min_vms {
                continue;
            }
            if entry.spec.spare {
                spares.push(*pool);
                continue;
            }
            let longest = self.surplus.get(pool).and_then(|since| since.first());
            donor_expected |=
                longest.is_none_or(|since| view.now.since(*since) < DONOR_BUDGET_WAIT_MS);
            surplus_pools.push((view.demand.coincidence_permille(receiver, *pool), *pool));
        }
        wait_for_donor &= donor_expected;
        surplus_pools.sort_unstable();
        let surplus_pools = surplus_pools.into_iter().map(|(_, pool)| pool);
        if wait_for_donor { surplus_pools.collect() } else { surplus_pools.chain(spares).collect() }
    }

    /// Pools that have held a surplus VM until holding it cost as much as a
    /// move, and that return the VM to the spare pool.
    fn pools_due_to_return(&self, view: MoveView<'_>) -> Vec<PoolId> {
        let max_hold_ms = max_hold_ms(&view.state.policy);
        let is_due = |pool: &PoolId, since: &[TimeMs]| {
            let spare = view.state.pools.get(*pool).is_none_or(|pool| pool.spec.spare);
            !spare && since.first().is_some_and(|since| view.now.since(*since) >= max_hold_ms)
        };
        self.surplus.iter().filter(|(pool, since)| is_due(pool, since)).map(|(id, _)| *id).collect()
    }

    fn return_surplus(
        &mut self,
        view: MoveView<'_>,
        plan: &mut PlanState<'_>,
        donors: &[PoolId],
        waits: &mut BTreeSet<MoveWait>,
    ) -> Vec<MoveDecision> {
        let spare = view.state.pools.iter().find(|(_, pool)| pool.spec.spare);
        let Some((spare, _)) = spare else { return Vec::new() };
        let max_hold_ms = max_hold_ms(&view.state.policy);
        let mut decisions = Vec::new();
        for donor in donors {
            let held = self.surplus.get(donor).cloned().unwrap_or_default();
            let is_due = |since: &&TimeMs| view.now.since(**since) >= max_hold_ms;
            for since in held.iter().filter(is_due) {
                let free = plan.buffers.get(donor).is_some_and(|buffer| buffer.surplus() > 0);
                if !free || !plan.can_grow(spare) {
                    break;
                }
                let (from, id) = match plan.choose_vm(&[*donor], spare) {
                    Ok(chosen) => chosen,
                    Err(wait) => {
                        waits.extend(wait);
                        break;
                    }
                };
                let reason = MoveReason::Surplus { held_ms: view.now.since(*since) };
                decisions.push(self.begin(view.now, plan, (id, from), spare, reason));
            }
        }
        decisions
    }

    fn begin(
        &mut self,
        now: TimeMs,
        plan: &mut PlanState<'_>,
        (id, from): (VmId, PoolId),
        to: PoolId,
        reason: MoveReason,
    ) -> MoveDecision {
        plan.add_move(id, from, to);
        if let Some(since) = self.surplus.get_mut(&from)
            && !since.is_empty()
        {
            since.remove(0);
        }
        self.proposed.insert(id, (to, now));
        MoveDecision::BeginDrain { vm: id, from, to, reason }
    }
}
