//! Moves VMs to the pools that need them, and idle VMs to standby.
//!
//! The demand of each queue has peaks, in which it requests several times the
//! capacity of its pool, and the peaks of queues differ in time. A VM that is
//! idle in one pool is more useful in a pool whose jobs wait, and costs less on
//! standby.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::pool_load::PoolLoads;
use crate::workload::pool_room::ComingVms;
use crate::workload::vm::VmAction;
use crate::workload::vm::VmEntry;
use crate::workload::vm::VmList;
use crate::workload::vm::VmOrder;
use crate::workload::vm::VmOrderAnswer;
use crate::workload::vm::VmPlanInput;
use crate::workload::vm::VmState;
use crate::workload::worker::Reachability;

/// A pool gets another VM if it lacks at least this part of one, in
/// thousandths. A smaller shortage is over before the VM arrives.
const MIN_SHORTAGE_MILLI: u64 = 400;
/// A pool gives no VM to standby until it has had an idle one for this time. A
/// move to standby and back costs as much as some two seconds of a VM, and a
/// demand peak lasts for several.
const IDLE_MS: u64 = 1_200;
/// Number of VMs that a pool keeps regardless of its need, for the next jobs.
const MIN_POOL_WORKERS: usize = 3;
/// A move that the VM list does not show as complete after this time is
/// abandoned.
const MOVE_TIMEOUT_MS: u64 = 5_000;
/// A VM whose move the VM service refused is not moved for this time.
const REFUSED_MOVE_BACKOFF_MS: u64 = 2_000;

/// Decides which VMs move between pools, and keeps track of their moves.
#[derive(Clone, Debug, Default)]
pub struct PoolAutoscaler {
    moves: BTreeMap<String, Move>,
    idle_since: BTreeMap<PoolId, TimeMs>,
    backoff_until: BTreeMap<String, TimeMs>,
}

/// A move of a VM to another pool that was ordered.
#[derive(Clone, Debug)]
struct Move {
    to: PoolId,
    ordered_at: TimeMs,
    worker: Option<String>,
}

/// What the list of VMs shows of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveProgress {
    /// The order may still be carried out.
    Pending,
    /// The order was carried out.
    CarriedOut,
    /// The VM has not left its pool in time.
    TimedOut,
}

impl Move {
    fn progress(
        &self,
        now: TimeMs,
        listed_at: TimeMs,
        entry: Option<&VmEntry>,
        catalog: &mut Catalog,
    ) -> MoveProgress {
        let is_timed_out = now.since(self.ordered_at) >= MOVE_TIMEOUT_MS;
        let is_there = entry.is_some_and(|entry| {
            entry.state == VmState::Up && catalog.pool_id(&entry.pool) == self.to
        });
        let is_moving = entry.is_some_and(|entry| entry.state == VmState::Moving);
        if is_there && listed_at > self.ordered_at || is_moving && is_timed_out {
            MoveProgress::CarriedOut
        } else if is_timed_out {
            MoveProgress::TimedOut
        } else {
            MoveProgress::Pending
        }
    }

    /// Lets the worker of a VM that was not moved get tasks again.
    fn lift_cordon(&self, dispatcher: &mut Dispatcher) {
        if let Some(worker) = &self.worker {
            dispatcher.set_cordoned(worker, false);
        }
    }
}

impl PoolAutoscaler {
    /// VMs that are being moved.
    pub fn moving_vms(&self) -> BTreeSet<String> {
        self.moves.keys().cloned().collect()
    }

    /// Applies the list of VMs, which ends moves that are complete or timed
    /// out. A move that timed out was not carried out, as far as the list shows:
    /// its worker gets tasks again.
    pub fn vms_listed(
        &mut self,
        now: TimeMs,
        vms: &VmList,
        catalog: &mut Catalog,
        dispatcher: &mut Dispatcher,
    ) {
        self.moves.retain(|vm, pending| {
            match pending.progress(now, vms.requested_at, vms.get(vm), catalog) {
                MoveProgress::Pending => true,
                // The former worker has ended, but may still be registered.
                MoveProgress::CarriedOut => {
                    dispatcher.move_completed(vms.requested_at.since(pending.ordered_at));
                    false
                }
                MoveProgress::TimedOut => {
                    pending.lift_cordon(dispatcher);
                    false
                }
            }
        });
    }

    /// Handles the answer to an order.
    pub fn order_answered(
        &mut self,
        now: TimeMs,
        vm: &str,
        answer: VmOrderAnswer,
        dispatcher: &mut Dispatcher,
    ) {
        match answer {
            VmOrderAnswer::Accepted | VmOrderAnswer::Unknown => {}
            VmOrderAnswer::Busy
            | VmOrderAnswer::NotDue
            | VmOrderAnswer::EpochTooLow
            | VmOrderAnswer::Refused => {
                let Some(pending) = self.moves.remove(vm) else { return };
                pending.lift_cordon(dispatcher);
                self.backoff_until.insert(vm.to_owned(), now.plus(REFUSED_MOVE_BACKOFF_MS));
            }
        }
    }

    /// Orders moves of VMs: to pools that lack capacity, and to standby.
    pub fn plan_moves(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &mut Catalog,
        input: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
    ) -> Vec<VmOrder> {
        let VmPlanInput { vms, max_orders, .. } = input;
        let mut loads = dispatcher.pool_loads(now, now_unix_ms, catalog);
        self.add_incoming_vms(vms, &mut loads);
        dispatcher.learn_demand(now, &loads);
        dispatcher.apply_forecasts(now, &mut loads);
        dispatcher.choose_emptying(&loads);
        let mut orders = Vec::new();
        let mut missing_vms = shortages(vms, &loads);
        let uses_standby = !missing_vms.is_empty();
        let mut spare = self.spare_vms(now, catalog, input, dispatcher, &loads, uses_standby);
        let out_of_service: Vec<SpareVm<'_>> = spare.extract_if(.., |vm| vm.is_out).collect();
        while orders.len() < max_orders {
            let Some(pool) = neediest_pool(&missing_vms, &loads) else { break };
            if let Some(vm) = take_spare_vm(&mut spare, &mut loads, pool) {
                orders.push(self.order_move(now, catalog, &vm, pool, dispatcher));
                if let Some(missing) = missing_vms.get_mut(&pool) {
                    *missing -= 1;
                }
            } else {
                missing_vms.remove(&pool);
            }
            missing_vms.retain(|_, missing| *missing > 0);
        }
        let standby = catalog.pools().find(|(_, pool)| pool.is_standby).map(|(id, _)| id);
        let Some(standby) = standby else { return orders };
        for vm in out_of_service.iter().take(max_orders - orders.len()) {
            orders.push(self.order_move(now, catalog, vm.entry, standby, dispatcher));
        }
        for (vm, pool) in take_lent(max_orders - orders.len(), &mut spare, &mut loads) {
            orders.push(self.order_move(now, catalog, &vm, pool, dispatcher));
        }
        for vm in self.take_long_idle(now, max_orders - orders.len(), &mut spare, &mut loads) {
            orders.push(self.order_move(now, catalog, &vm, standby, dispatcher));
        }
        orders
    }

    /// CPU of the VMs that pools get or could get, but that are not workers yet.
    pub fn coming_vms(&self, vms: &VmList, catalog: &mut Catalog) -> ComingVms {
        let mut coming = ComingVms::default();
        for entry in vms.iter() {
            let size = entry.capacity.cpu_milli;
            if let Some(pending) = self.moves.get(&entry.vm) {
                let sum = coming.moving_cpu_milli.entry(pending.to).or_default();
                *sum = sum.saturating_add(size);
                continue;
            }
            let pool = catalog.pool_id(&entry.pool);
            let is_standby = catalog.pool(pool).is_some_and(|spec| spec.is_standby);
            if is_standby && entry.state != VmState::Down {
                coming.standby_cpu_milli = coming.standby_cpu_milli.saturating_add(size);
            }
        }
        coming
    }

    fn add_incoming_vms(&self, vms: &VmList, loads: &mut PoolLoads) {
        for (vm, pending) in &self.moves {
            let size = vms.get(vm).map_or(0, |entry| entry.capacity.cpu_milli);
            let Some(load) = loads.get_mut(&pending.to) else { continue };
            load.add_incoming(size);
        }
    }

    /// VMs that may be moved: idle ones of pools, and those on standby if pools
    /// lack VMs. The lookups that exclude most VMs come first, because the owner
    /// plans moves several times a second.
    fn spare_vms<'a>(
        &self,
        now: TimeMs,
        catalog: &mut Catalog,
        input: VmPlanInput<'a>,
        dispatcher: &mut Dispatcher,
        loads: &PoolLoads,
        uses_standby: bool,
    ) -> Vec<SpareVm<'a>> {
        let VmPlanInput { vms, excluded, .. } = input;
        let mut spare = Vec::new();
        for entry in vms.iter().filter(|entry| entry.state == VmState::Up) {
            let pool = catalog.pool_id(&entry.pool);
            let Some(is_standby) = catalog.pool(pool).map(|spec| spec.is_standby) else { continue };
            let is_available = match is_standby {
                true => uses_standby,
                false => {
                    let worker = entry.worker.as_deref();
                    loads.contains_key(&pool)
                        && worker.is_none_or(|name| dispatcher.is_worker_idle(name))
                }
            };
            let is_out = dispatcher.data_centres_out.contains(&entry.data_centre);
            if !is_available || is_out && is_standby {
                continue;
            }
            let is_in_backoff = self.backoff_until.get(&entry.vm).is_some_and(|until| now < *until);
            let is_moving = self.moves.contains_key(&entry.vm);
            if !excluded.contains(&entry.vm) && !is_in_backoff && !is_moving {
                spare.push(SpareVm { entry, pool, is_standby, is_out });
            }
        }
        // VMs of pools come first, because a VM on standby costs less than one
        // in a pool.
        spare.sort_by_key(|spare| spare.is_standby);
        spare
    }

    fn order_move(
        &mut self,
        now: TimeMs,
        catalog: &Catalog,
        entry: &VmEntry,
        to: PoolId,
        dispatcher: &mut Dispatcher,
    ) -> VmOrder {
        if let Some(worker) = &entry.worker {
            dispatcher.set_cordoned(worker, true);
        }
        let pending = Move { to, ordered_at: now, worker: entry.worker.clone() };
        self.moves.insert(entry.vm.clone(), pending);
        let pool = catalog.pool_name(to).to_owned();
        VmOrder { vm: entry.vm.clone(), action: VmAction::MoveTo { pool } }
    }

    /// Takes the VMs to be moved to standby, from pools that have had an idle
    /// VM for long enough.
    fn take_long_idle(
        &mut self,
        now: TimeMs,
        max: usize,
        spare: &mut Vec<SpareVm<'_>>,
        loads: &mut PoolLoads,
    ) -> Vec<VmEntry> {
        let mut idle = Vec::new();
        for pool in loads.keys().copied().collect::<Vec<PoolId>>() {
            if find_idle_vm(spare, loads, pool).is_none() {
                self.idle_since.remove(&pool);
                continue;
            }
            let since = *self.idle_since.entry(pool).or_insert(now);
            if now.since(since) < loads.get(&pool).map_or(IDLE_MS, PoolLoad::idle_ms) {
                continue;
            }
            while idle.len() < max {
                let Some(index) = find_idle_vm(spare, loads, pool) else { break };
                let vm = spare.remove(index);
                if let Some(load) = loads.get_mut(&pool) {
                    load.remove_vm(vm.entry.capacity.cpu_milli);
                }
                idle.push(vm.entry.clone());
            }
        }
        idle
    }
}

/// A VM that may be moved.
#[derive(Clone, Copy, Debug)]
struct SpareVm<'a> {
    entry: &'a VmEntry,
    pool: PoolId,
    is_standby: bool,
    /// Whether the VM's data centre is out of service, so that no task starts
    /// on the VM in any pool.
    is_out: bool,
}

impl PoolLoad {
    /// True if the pool keeps enough capacity and workers without a VM of this
    /// size.
    fn can_spare(&self, size: u64) -> bool {
        let left = self.capacity_cpu_milli.saturating_sub(size);
        self.workers > MIN_POOL_WORKERS.max(self.spread_workers) && left >= self.keep_cpu_milli
    }

    /// Time for which a pool has had an idle VM before it gives VMs to standby.
    /// A forecast that the load falls says that they will not be needed.
    fn idle_ms(&self) -> u64 {
        if self.is_forecast && self.is_falling { 0 } else { IDLE_MS }
    }

    fn remove_vm(&mut self, size: u64) {
        self.capacity_cpu_milli = self.capacity_cpu_milli.saturating_sub(size);
        self.workers = self.workers.saturating_sub(1);
    }
}

/// Pools that lack VMs, with the number of missing VMs.
fn shortages(vms: &VmList, loads: &PoolLoads) -> BTreeMap<PoolId, usize> {
    let size = vms.iter().map(|entry| entry.capacity.cpu_milli).max().unwrap_or(0).max(1);
    let mut shortages = BTreeMap::new();
    for (pool, load) in loads {
        let missing_cpu_milli = load.need_cpu_milli.saturating_sub(load.capacity_cpu_milli);
        let missing_milli = missing_cpu_milli.saturating_mul(1_000) / size;
        let for_spread = load.spread_workers.saturating_sub(load.workers);
        let for_need = missing_milli.saturating_add(1_000 - MIN_SHORTAGE_MILLI) / 1_000;
        let missing = usize::try_from(for_need).unwrap_or(usize::MAX).max(for_spread);
        if missing > 0 {
            shortages.insert(*pool, missing);
        }
    }
    shortages
}

/// The pool that gets the next VM: one with too few workers to spread its
/// long-running tasks over, else the one with the smallest part of its need. If
/// the pool with the largest shortage came first, it would leave nothing for a
/// pool whose demand peak begins.
fn neediest_pool(shortages: &BTreeMap<PoolId, usize>, loads: &PoolLoads) -> Option<PoolId> {
    let rank = |pool: &&PoolId| {
        let load = &loads[*pool];
        let can_spread = load.workers >= load.spread_workers;
        let covered_milli =
            load.capacity_cpu_milli.saturating_mul(1_000) / load.need_cpu_milli.max(1);
        (can_spread, covered_milli)
    };
    shortages.keys().min_by_key(rank).copied()
}

/// Index of an idle VM of a pool that can spare it.
fn find_idle_vm(spare: &[SpareVm<'_>], loads: &PoolLoads, pool: PoolId) -> Option<usize> {
    let index = spare.iter().position(|vm| vm.pool == pool && !vm.is_standby)?;
    loads[&pool].can_spare(spare[index].entry.capacity.cpu_milli).then_some(index)
}

/// Takes the idle VMs that pools would soon give to standby, for pools that will
/// need VMs soon. One move less is worth more than the time for which the VMs
/// come too early.
fn take_lent(
    max: usize,
    spare: &mut Vec<SpareVm<'_>>,
    loads: &mut PoolLoads,
) -> Vec<(VmEntry, PoolId)> {
    let mut lent = Vec::new();
    while lent.len() < max {
        let missing = |(pool, load): (&PoolId, &PoolLoad)| {
            let missing = load.soon_cpu_milli.saturating_sub(load.capacity_cpu_milli);
            (missing > 0).then_some((missing, *pool))
        };
        let Some((missing, to)) = loads.iter().filter_map(missing).max() else { break };
        let index = spare.iter().position(|vm| {
            let size = vm.entry.capacity.cpu_milli;
            let is_giving =
                |load: &PoolLoad| load.is_forecast && load.is_falling && load.can_spare(size);
            vm.pool != to && size <= missing && loads.get(&vm.pool).is_some_and(is_giving)
        });
        let Some(index) = index else { break };
        let vm = spare.remove(index);
        let size = vm.entry.capacity.cpu_milli;
        if let Some(load) = loads.get_mut(&vm.pool) {
            load.remove_vm(size);
        }
        if let Some(load) = loads.get_mut(&to) {
            load.add_capacity(size);
        }
        lent.push((vm.entry.clone(), to));
    }
    lent
}

/// Takes a VM for a pool: an idle one of a pool that can spare it, else one on
/// standby.
fn take_spare_vm(
    spare: &mut Vec<SpareVm<'_>>,
    loads: &mut PoolLoads,
    to: PoolId,
) -> Option<VmEntry> {
    let index = spare.iter().position(|vm| {
        let size = vm.entry.capacity.cpu_milli;
        let can_spare = || loads.get(&vm.pool).is_some_and(|load| load.can_spare(size));
        vm.pool != to && (vm.is_standby || can_spare())
    })?;
    let vm = spare.remove(index);
    let size = vm.entry.capacity.cpu_milli;
    if let Some(load) = loads.get_mut(&vm.pool) {
        load.remove_vm(size);
    }
    if let Some(load) = loads.get_mut(&to) {
        load.add_capacity(size);
    }
    Some(vm.entry.clone())
}

impl Dispatcher {
    /// True if a worker answers and the store records that no task is placed on
    /// it.
    fn is_worker_idle(&mut self, name: &str) -> bool {
        let id: WorkerId = self.worker_id(name);
        self.is_listed_and_reachable(id) && self.is_stored_as_empty(id)
    }

    /// True if a worker has a registry entry and answered the last call.
    pub(crate) fn is_listed_and_reachable(&self, id: WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| {
            worker.listing.is_some() && worker.reachability == Reachability::Reachable
        })
    }
}
