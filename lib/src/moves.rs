//! Which VM changes its pool and when.
//!
//! A VM that a pool no longer needs stays until holding it has cost as much
//! as moving it, as in the ski rental problem: whatever the demand does next,
//! the cost is at most twice that of a policy that knows it. Until then it is
//! lent to a pool that lacks one, which saves a move through the spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::buffer::Demand;
use crate::buffer::PoolBuffer;
use crate::buffer::buffers;
use crate::buffer::shift;
use crate::control::ControlState;
use crate::control::OperationPhase;
use crate::control::Vm;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::move_choice::Choice;
use crate::move_choice::advance_drain;
use crate::move_choice::advance_moved;
use crate::move_choice::hold_ms;
use crate::move_choice::learning;
use crate::move_choice::pools_by_deficit;
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

/// Time of holding a VM free that costs as much as a move, at equal weights.
/// A move takes a VM out of service for about a minute and disturbs tasks.
pub const MOVE_COST_MS: u64 = 900_000;

/// Time for which a pool that lacks only a part of its reserve waits for the
/// budget of one that has more VMs than it needs. A pool gives about two VMs a
/// minute.
pub const LENDER_WAIT_MS: u64 = 300_000;

/// Time that a VM gets to come back when it is rebooted during a move and no
/// wave says otherwise.
const DEFAULT_REBOOT_TIMEOUT_MS: u64 = 1_800_000;

/// What a planner decides on.
#[derive(Clone, Copy, Debug)]
pub struct MoveView<'a> {
    /// The folded state.
    pub state: &'a ControlState,
    /// The time.
    pub now: TimeMs,
    /// Demand of the pools.
    pub demand: &'a Demand,
    /// Reports of VMs that have an operation.
    pub reports: &'a BTreeMap<VmId, VmReport>,
}

/// Plans all moves. One process does so, the one whose session has the lowest
/// id; two that race are settled by the fold.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    operations: OperationTracker,
    /// Since when each VM above the high mark of a pool was there; the one
    /// that has been there longest first.
    surplus: BTreeMap<PoolId, Vec<TimeMs>>,
    proposed: BTreeMap<VmId, (PoolId, TimeMs)>,
}

impl MovePlanner {
    /// The decisions that are due. Called once a second: a call looks at every
    /// VM.
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
        self.count_proposed(view.state, &mut buffers);
        self.observe_surplus(view.now, &buffers);
        let mut decisions = self.advance_operations(view, &buffers);
        decisions.extend(self.begin_moves(view, buffers));
        decisions
    }

    /// Pools that are about to give a VM, for the order of waves.
    pub fn donor_pools(&self, state: &ControlState) -> BTreeSet<PoolId> {
        let gives = |pool: &PoolId| state.pools.get(*pool).is_some_and(|pool| !pool.spec.spare);
        let surplus = self.surplus.iter().filter(|(_, since)| !since.is_empty());
        surplus.map(|(pool, _)| *pool).filter(gives).collect()
    }

    fn count_proposed(&self, state: &ControlState, buffers: &mut BTreeMap<PoolId, PoolBuffer>) {
        for (id, (to, _)) in &self.proposed {
            let Some(vm) = state.vms.get(*id) else { continue };
            shift(buffers, vm.pool, *to);
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
        let mut waits: BTreeSet<MoveWait> = learning(view.state, &buffers).collect();
        let takers = pools_by_deficit(&buffers);
        let givers = self.due_returns(view);
        let mut decisions = Vec::new();
        // Most of the time nothing is due, and the VMs need not be sorted.
        if !takers.is_empty() || !givers.is_empty() {
            let mut choice = Choice::new(view, buffers, &self.proposed);
            for taker in takers {
                decisions.extend(self.fill(view, &mut choice, taker, &mut waits));
            }
            decisions.extend(self.return_surplus(view, &mut choice, &givers, &mut waits));
        }
        decisions.extend(waits.into_iter().map(MoveDecision::Wait));
        decisions
    }

    fn fill(
        &mut self,
        view: MoveView<'_>,
        choice: &mut Choice<'_>,
        taker: PoolId,
        waits: &mut BTreeSet<MoveWait>,
    ) -> Vec<MoveDecision> {
        let mut decisions = Vec::new();
        while let Some(missing) = choice.missing(taker) {
            let donors = self.donors(view, &choice.buffers, taker);
            match choice.vm(&donors, taker) {
                Ok((from, id)) => {
                    let reason = choice.deficit_reason(from, taker);
                    decisions.push(self.begin(view.now, choice, (id, from), taker, reason));
                }
                Err(wait) => {
                    waits.insert(wait.unwrap_or(MoveWait::NoDonor { pool: taker, missing }));
                    break;
                }
            }
        }
        decisions
    }

    /// Pools that can give a VM to `taker`: those that have more than they
    /// need, the one whose bursts coincide least first, then spare pools. A
    /// taker that lacks only a part of its reserve leaves the spare pool alone
    /// for a while if another pool can give a VM as soon as its budget allows.
    fn donors(
        &self,
        view: MoveView<'_>,
        buffers: &BTreeMap<PoolId, PoolBuffer>,
        taker: PoolId,
    ) -> Vec<PoolId> {
        let mut lenders = Vec::new();
        let mut spares = Vec::new();
        let mut can_wait = buffers.get(&taker).is_some_and(PoolBuffer::covers_need);
        let mut lender_soon = false;
        for (pool, buffer) in buffers.iter().filter(|(pool, _)| **pool != taker) {
            let Some(entry) = view.state.pools.get(*pool) else { continue };
            if buffer.surplus() == 0 || buffer.have <= entry.spec.min_vms {
                continue;
            }
            if entry.spec.spare {
                spares.push(*pool);
                continue;
            }
            let longest = self.surplus.get(pool).and_then(|since| since.first());
            lender_soon |= longest.is_none_or(|since| view.now.since(*since) < LENDER_WAIT_MS);
            lenders.push((view.demand.coincidence_permille(taker, *pool), *pool));
        }
        can_wait &= lender_soon;
        lenders.sort_unstable();
        let lenders = lenders.into_iter().map(|(_, pool)| pool);
        if can_wait { lenders.collect() } else { lenders.chain(spares).collect() }
    }

    /// Pools that have held a VM for as long as a move costs.
    fn due_returns(&self, view: MoveView<'_>) -> Vec<PoolId> {
        let hold_ms = hold_ms(&view.state.policy);
        let is_due = |pool: &PoolId, since: &[TimeMs]| {
            let spare = view.state.pools.get(*pool).is_none_or(|pool| pool.spec.spare);
            !spare && since.first().is_some_and(|since| view.now.since(*since) >= hold_ms)
        };
        self.surplus.iter().filter(|(pool, since)| is_due(pool, since)).map(|(id, _)| *id).collect()
    }

    fn return_surplus(
        &mut self,
        view: MoveView<'_>,
        choice: &mut Choice<'_>,
        givers: &[PoolId],
        waits: &mut BTreeSet<MoveWait>,
    ) -> Vec<MoveDecision> {
        let spare = view.state.pools.iter().find(|(_, pool)| pool.spec.spare);
        let Some((spare, _)) = spare else { return Vec::new() };
        let hold_ms = hold_ms(&view.state.policy);
        let mut decisions = Vec::new();
        for giver in givers {
            let held = self.surplus.get(giver).cloned().unwrap_or_default();
            let is_due = |since: &&TimeMs| view.now.since(**since) >= hold_ms;
            for since in held.iter().filter(is_due) {
                let free = choice.buffers.get(giver).is_some_and(|buffer| buffer.surplus() > 0);
                if !free || !choice.has_room(spare) {
                    break;
                }
                let (from, id) = match choice.vm(&[*giver], spare) {
                    Ok(chosen) => chosen,
                    Err(wait) => {
                        waits.extend(wait);
                        break;
                    }
                };
                let reason = MoveReason::Surplus { held_ms: view.now.since(*since) };
                decisions.push(self.begin(view.now, choice, (id, from), spare, reason));
            }
        }
        decisions
    }

    fn begin(
        &mut self,
        now: TimeMs,
        choice: &mut Choice<'_>,
        (id, from): (VmId, PoolId),
        to: PoolId,
        reason: MoveReason,
    ) -> MoveDecision {
        choice.take(id, from, to);
        if let Some(since) = self.surplus.get_mut(&from)
            && !since.is_empty()
        {
            since.remove(0);
        }
        self.proposed.insert(id, (to, now));
        MoveDecision::BeginDrain { vm: id, from, to, reason }
    }
}
