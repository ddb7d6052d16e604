//! Moves VMs to the pools that need them, and idle ones to standby.
//!
//! Demand turns: each queue in its time asks for several times what its pool
//! holds. A VM that is idle in one pool is worth more in a pool whose jobs
//! wait, and costs less on standby.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::pool_load::PoolLoads;
use crate::workload::vm::VmAction;
use crate::workload::vm::VmEntry;
use crate::workload::vm::VmList;
use crate::workload::vm::VmOrder;
use crate::workload::vm::VmOrderAnswer;
use crate::workload::vm::VmPlanInput;
use crate::workload::vm::VmState;
use crate::workload::worker::Reachability;

/// A pool gets a further VM if it lacks at least this part of one, in
/// thousandths; less is gone before the VM arrives.
const SHORTAGE_MILLI: u64 = 400;
/// A pool keeps this part of its need, in percent, beyond what it uses.
const HEADROOM_PERCENT: u64 = 130;
/// A pool gives no VM to standby until it was idle for this time: a move there
/// and back costs as much as some two seconds of a VM, and a turn lasts for
/// several.
const IDLE_MS: u64 = 1_200;
/// VMs that a pool keeps whatever its need, for jobs that come next.
const MIN_WORKERS: usize = 3;
/// A move that shows no effect in the list of VMs for this time is given up.
const MOVE_TIMEOUT_MS: u64 = 5_000;
/// A VM that the service called busy is left alone for this time.
const BUSY_BACKOFF_MS: u64 = 2_000;

/// Moves that are under way, and how long pools have had too much.
#[derive(Clone, Debug, Default)]
pub struct PoolAutoscaler {
    moves: BTreeMap<String, Move>,
    idle_since: BTreeMap<PoolId, TimeMs>,
    left_alone_until: BTreeMap<String, TimeMs>,
}

/// A VM on its way to another pool.
#[derive(Clone, Debug)]
struct Move {
    to: PoolId,
    ordered_at: TimeMs,
    worker: Option<String>,
}

impl PoolAutoscaler {
    /// VMs that are being moved.
    pub fn moving_vms(&self) -> BTreeSet<String> {
        self.moves.keys().cloned().collect()
    }

    /// Takes over the list of VMs.
    pub fn vms_listed(&mut self, now: TimeMs, vms: &VmList, catalog: &mut Catalog) {
        self.moves.retain(|vm, under_way| {
            let Some(entry) = vms.get(vm) else { return false };
            let has_arrived =
                entry.state == VmState::Up && catalog.pool_id(&entry.pool) == under_way.to;
            let is_stuck = now.since(under_way.ordered_at) >= MOVE_TIMEOUT_MS;
            !(is_stuck || has_arrived && vms.requested_at > under_way.ordered_at)
        });
    }

    /// Takes over the answer to an order.
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
                let Some(under_way) = self.moves.remove(vm) else { return };
                if let Some(worker) = under_way.worker {
                    dispatcher.set_cordoned(&worker, false);
                }
                self.left_alone_until.insert(vm.to_owned(), now.plus(BUSY_BACKOFF_MS));
            }
        }
    }

    /// The moves that are to be ordered now.
    pub fn plan_moves(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &mut Catalog,
        round: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
    ) -> Vec<VmOrder> {
        let VmPlanInput { vms, excluded, max_orders, .. } = round;
        let mut balances = dispatcher.pool_loads(now, now_unix_ms, catalog);
        self.add_inbound(vms, &mut balances);
        let mut orders = Vec::new();
        let mut spare = self.spare_vms(now, catalog, vms, excluded, dispatcher, &balances);
        let stranded: Vec<Spare<'_>> = spare.extract_if(.., |vm| vm.is_out).collect();
        let mut short = shortages(vms, &balances);
        while orders.len() < max_orders {
            let Some(pool) = neediest(&short, &balances) else { break };
            if let Some(vm) = take_from(&mut spare, &mut balances, pool) {
                orders.push(self.order(now, catalog, &vm, pool, dispatcher));
                if let Some(missing) = short.get_mut(&pool) {
                    *missing -= 1;
                }
            } else {
                short.remove(&pool);
            }
            short.retain(|_, missing| *missing > 0);
        }
        let standby = catalog.pools().find(|(_, pool)| pool.is_standby).map(|(id, _)| id);
        let Some(standby) = standby else { return orders };
        for vm in stranded.iter().take(max_orders - orders.len()) {
            orders.push(self.order(now, catalog, vm.entry, standby, dispatcher));
        }
        for vm in self.long_idle(now, max_orders - orders.len(), &mut spare, &mut balances) {
            orders.push(self.order(now, catalog, &vm, standby, dispatcher));
        }
        orders
    }

    fn add_inbound(&self, vms: &VmList, balances: &mut PoolLoads) {
        for (vm, under_way) in &self.moves {
            let size = vms.get(vm).map_or(0, |entry| entry.capacity.cpu_milli);
            let Some(balance) = balances.get_mut(&under_way.to) else { continue };
            balance.capacity_cpu_milli += size;
            balance.workers += 1;
        }
    }

    /// VMs that may be moved: those on standby, and empty ones of pools.
    fn spare_vms<'a>(
        &self,
        now: TimeMs,
        catalog: &mut Catalog,
        vms: &'a VmList,
        excluded: &BTreeSet<String>,
        dispatcher: &mut Dispatcher,
        balances: &PoolLoads,
    ) -> Vec<Spare<'a>> {
        let mut spare = Vec::new();
        for entry in vms.iter().filter(|entry| entry.state == VmState::Up) {
            let is_left_alone =
                self.left_alone_until.get(&entry.vm).is_some_and(|until| now < *until);
            let is_moving = self.moves.contains_key(&entry.vm);
            if excluded.contains(&entry.vm) || is_left_alone || is_moving {
                continue;
            }
            let pool = catalog.pool_id(&entry.pool);
            let Some(spec) = catalog.pool(pool) else { continue };
            let is_idle = entry.worker.as_deref().is_none_or(|name| dispatcher.is_empty(name));
            let is_out = dispatcher.data_centres_out.contains(&entry.data_centre);
            if is_out && (spec.is_standby || !is_idle) {
                continue;
            }
            if spec.is_standby || (is_idle && balances.contains_key(&pool)) {
                spare.push(Spare { entry, pool, is_standby: spec.is_standby, is_out });
            }
        }
        // Those of pools first: a move from standby adds to the price.
        spare.sort_by_key(|spare| spare.is_standby);
        spare
    }

    fn order(
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
        let under_way = Move { to, ordered_at: now, worker: entry.worker.clone() };
        self.moves.insert(entry.vm.clone(), under_way);
        let pool = catalog.pool_name(to).to_owned();
        VmOrder { vm: entry.vm.clone(), action: VmAction::MoveTo { pool } }
    }

    /// VMs of pools that have long had too many.
    fn long_idle(
        &mut self,
        now: TimeMs,
        most: usize,
        spare: &mut Vec<Spare<'_>>,
        balances: &mut PoolLoads,
    ) -> Vec<VmEntry> {
        let mut idle = Vec::new();
        for pool in balances.keys().copied().collect::<Vec<PoolId>>() {
            if find_idle(spare, balances, pool).is_none() {
                self.idle_since.remove(&pool);
                continue;
            }
            let since = *self.idle_since.entry(pool).or_insert(now);
            if now.since(since) < IDLE_MS {
                continue;
            }
            while idle.len() < most {
                let Some(place) = find_idle(spare, balances, pool) else { break };
                let vm = spare.remove(place);
                if let Some(balance) = balances.get_mut(&pool) {
                    balance.give(vm.entry.capacity.cpu_milli);
                }
                idle.push(vm.entry.clone());
            }
        }
        idle
    }
}

/// A VM that may be moved.
#[derive(Clone, Copy, Debug)]
struct Spare<'a> {
    entry: &'a VmEntry,
    pool: PoolId,
    is_standby: bool,
    /// Its data centre is out of service: no task starts on it in any pool.
    is_out: bool,
}

impl PoolLoad {
    /// True if the pool can do without a VM of this size.
    fn can_spare(&self, size: u64) -> bool {
        let left = self.capacity_cpu_milli.saturating_sub(size);
        self.workers > MIN_WORKERS.max(self.spread_workers)
            && left.saturating_mul(100) >= self.need_cpu_milli.saturating_mul(HEADROOM_PERCENT)
    }

    fn give(&mut self, size: u64) {
        self.capacity_cpu_milli = self.capacity_cpu_milli.saturating_sub(size);
        self.workers = self.workers.saturating_sub(1);
    }
}

/// Pools that lack VMs, with the number.
fn shortages(vms: &VmList, balances: &PoolLoads) -> BTreeMap<PoolId, usize> {
    let size = vms.iter().map(|entry| entry.capacity.cpu_milli).max().unwrap_or(0).max(1);
    let mut shortages = BTreeMap::new();
    for (pool, balance) in balances {
        let missing_cpu_milli = balance.need_cpu_milli.saturating_sub(balance.capacity_cpu_milli);
        let missing_milli = missing_cpu_milli * 1_000 / size;
        let for_spread = balance.spread_workers.saturating_sub(balance.workers);
        let for_need = (missing_milli + 1_000 - SHORTAGE_MILLI) / 1_000;
        let missing = usize::try_from(for_need).unwrap_or(usize::MAX).max(for_spread);
        if missing > 0 {
            shortages.insert(*pool, missing);
        }
    }
    shortages
}

/// The pool that gets the next VM: one whose lasting tasks have too few workers
/// to spread over, else the one that has the smallest part of its need. The
/// pool that lacks most would leave nothing for one whose turn begins.
fn neediest(short: &BTreeMap<PoolId, usize>, balances: &PoolLoads) -> Option<PoolId> {
    let rank = |pool: &&PoolId| {
        let balance = &balances[*pool];
        let can_spread = balance.workers >= balance.spread_workers;
        let covered_milli = balance.capacity_cpu_milli * 1_000 / balance.need_cpu_milli.max(1);
        (can_spread, covered_milli)
    };
    short.keys().min_by_key(rank).copied()
}

/// Place of an idle VM that a pool can do without.
fn find_idle(spare: &[Spare<'_>], balances: &PoolLoads, pool: PoolId) -> Option<usize> {
    let place = spare.iter().position(|vm| vm.pool == pool && !vm.is_standby)?;
    balances[&pool].can_spare(spare[place].entry.capacity.cpu_milli).then_some(place)
}

/// A VM for a pool: an idle one of a pool that can do without it, else one on
/// standby.
fn take_from(spare: &mut Vec<Spare<'_>>, balances: &mut PoolLoads, to: PoolId) -> Option<VmEntry> {
    let place = spare.iter().position(|vm| {
        let size = vm.entry.capacity.cpu_milli;
        let can_spare = || balances.get(&vm.pool).is_some_and(|balance| balance.can_spare(size));
        vm.pool != to && (vm.is_standby || can_spare())
    })?;
    let vm = spare.remove(place);
    let size = vm.entry.capacity.cpu_milli;
    if let Some(balance) = balances.get_mut(&vm.pool) {
        balance.give(size);
    }
    if let Some(balance) = balances.get_mut(&to) {
        balance.capacity_cpu_milli += size;
        balance.workers += 1;
    }
    Some(vm.entry.clone())
}

impl Dispatcher {
    /// True if nothing has a place on a worker that answers, and nothing is
    /// planned there.
    fn is_empty(&mut self, name: &str) -> bool {
        let id: WorkerId = self.worker_id(name);
        self.is_known_well(id) && self.is_stored_as_empty(id)
    }

    /// True if a worker has an entry in the registry and answered last time.
    pub(crate) fn is_known_well(&self, id: WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| {
            worker.listing.is_some() && worker.reachability == Reachability::Reachable
        })
    }
}
