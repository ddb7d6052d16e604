//! How many VMs each pool needs for its demand, and how many more it holds
//! free for each failure domain.
//!
//! Demand comes in bursts of some seconds, far shorter than a move takes. A
//! pool therefore has VMs for its worst recent burst, spread over the time
//! that a request may wait, and moves follow only changes that last.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::config::BudgetScope;
use crate::control::ControlState;
use crate::control::Vm;
use crate::ids::PoolId;
use crate::ids::RackId;
use crate::record::Health;

/// Time between two samples of demand.
pub const SAMPLE_MS: u64 = 1000;

/// Samples of one chunk. A chunk is about as long as a round of bursts
/// through all pools, so most chunks of a pool hold one burst.
pub const CHUNK_SAMPLES: usize = 60;

/// Chunks that the estimate remembers.
pub const CHUNKS: usize = 15;

/// Chunks that have to be complete before a pool gives or takes a VM.
pub const LEARNING_CHUNKS: usize = 3;

/// Rank of the chunk, from the largest need, that sets the need of the pool.
/// With 2, two unusual bursts move no VM.
pub const NEED_RANK: usize = 2;

/// Chunks that all have to be far from the usual need for the need to follow
/// at once, so that VMs go directly from a pool whose demand falls to one
/// whose demand rises.
pub const SHIFT_CHUNKS: usize = 2;

/// How far below, in thousandths of the usual need. Bursts of usual demand
/// differ by about a fifth.
pub const DROP_PERMILLE: u64 = 700;

/// How far above, in thousandths of the usual need.
pub const RISE_PERMILLE: u64 = 1300;

/// Time that a request may wait for a slot, in samples.
pub const WAIT_SAMPLES: u64 = 10;

/// Demand of one pool, sampled once a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandTracker {
    chunk: Vec<u32>,
    needs: VecDeque<u32>,
    recent: VecDeque<u32>,
}

impl DemandTracker {
    /// Adds a sample: slots that the requests which arrived in the last
    /// second occupy, that is their number times their service time in
    /// seconds.
    pub fn record(&mut self, offered_slots: u32, slots_per_vm: u32) {
        self.recent.push_back(offered_slots);
        if self.recent.len() > CHUNKS * CHUNK_SAMPLES {
            self.recent.pop_front();
        }
        self.chunk.push(offered_slots);
        if self.chunk.len() == CHUNK_SAMPLES {
            self.needs.push_back(required_vms(&self.chunk, slots_per_vm));
            self.chunk.clear();
            if self.needs.len() > CHUNKS {
                self.needs.pop_front();
            }
        }
    }

    /// VMs that the pool needs, or nothing while the demand is being learned.
    pub fn need(&self) -> Option<u32> {
        if self.needs.len() < LEARNING_CHUNKS {
            return None;
        }
        let mut needs: Vec<u32> = self.needs.iter().copied().collect();
        needs.sort_unstable_by(|left, right| right.cmp(left));
        let usual = *needs.get(NEED_RANK)?;
        let recent = || self.needs.iter().rev().take(SHIFT_CHUNKS).copied();
        let (lowest, highest) = (recent().min()?, recent().max()?);
        let permille = |need: u32| u64::from(need) * 1000;
        let dropped = permille(highest) < u64::from(usual) * DROP_PERMILLE;
        let risen = permille(lowest) > u64::from(usual) * RISE_PERMILLE;
        Some(if dropped || risen { highest } else { usual })
    }

    /// Part of the high samples of this pool, in thousandths, at which the
    /// other pool is high as well. A sample is high above the mean.
    pub fn coincidence_permille(&self, other: &Self) -> u32 {
        let (mine, others) = (self.mean(), other.mean());
        let mut high = 0_u32;
        let mut both = 0_u32;
        for (left, right) in self.recent.iter().rev().zip(other.recent.iter().rev()) {
            if u64::from(*left) > mine {
                high += 1;
                both += u32::from(u64::from(*right) > others);
            }
        }
        (both * 1000).checked_div(high).unwrap_or_default()
    }

    fn mean(&self) -> u64 {
        let sum: u64 = self.recent.iter().map(|sample| u64::from(*sample)).sum();
        sum / (self.recent.len() as u64).max(1)
    }
}

/// The smallest number of VMs with which no work of the samples waits longer
/// than [`WAIT_SAMPLES`].
pub fn required_vms(samples: &[u32], slots_per_vm: u32) -> u32 {
    let slots = u64::from(slots_per_vm.max(1));
    let highest = samples.iter().copied().max().unwrap_or_default();
    let mut low = 0;
    let mut high = u64::from(highest).div_ceil(slots);
    while low < high {
        let middle = low.midpoint(high);
        if keeps_up(samples, middle * slots) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    u32::try_from(high).unwrap_or(u32::MAX)
}

fn keeps_up(samples: &[u32], capacity: u64) -> bool {
    let mut backlog = 0_u64;
    samples.iter().all(|sample| {
        backlog = (backlog + u64::from(*sample)).saturating_sub(capacity);
        backlog <= capacity * WAIT_SAMPLES
    })
}

/// Demand of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The pools with demand.
    pub pools: BTreeMap<PoolId, DemandTracker>,
}

impl Demand {
    /// How much the bursts of two pools coincide, in thousandths.
    pub fn coincidence_permille(&self, left: PoolId, right: PoolId) -> u32 {
        match (self.pools.get(&left), self.pools.get(&right)) {
            (Some(left), Some(right)) => left.coincidence_permille(right),
            (None, _) | (_, None) => 0,
        }
    }
}

/// What a pool has and what it should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolBuffer {
    /// VMs for the demand; nothing while the demand is being learned.
    pub need: Option<u32>,
    /// VMs held free on top, so that the loss of a rack or the VMs that a
    /// budget allows to be unavailable leave the need.
    pub reserve: u32,
    /// VMs that can serve, and those that are down as far as the reserve
    /// covers them, with those on their way to the pool and without those on
    /// their way out.
    pub have: u32,
    /// All VMs, with those on their way to the pool and without those on their
    /// way out.
    pub size: u32,
    /// Low mark: with fewer VMs the pool takes one.
    pub low_mark: u32,
    /// High mark: with more VMs the pool can give one.
    pub high_mark: u32,
}

impl PoolBuffer {
    /// VMs that are missing.
    pub fn deficit(&self) -> u32 {
        self.low_mark.saturating_sub(self.have)
    }

    /// True if at most a part of the reserve is missing.
    pub fn covers_need(&self) -> bool {
        self.need.is_some_and(|need| self.have >= need)
    }

    /// VMs above the high mark.
    pub fn surplus(&self) -> u32 {
        self.have.saturating_sub(self.high_mark)
    }
}

/// VMs of a pool once all moves are done.
#[derive(Clone, Debug, Default)]
struct Members {
    serving: u32,
    out_of_service: u32,
    /// Rack of each.
    racks: Vec<RackId>,
}

/// What each pool has and should have. A spare pool needs nothing.
pub fn buffers(state: &ControlState, demand: &Demand) -> BTreeMap<PoolId, PoolBuffer> {
    let mut members: BTreeMap<PoolId, Members> = BTreeMap::new();
    for (_, vm) in state.vms.iter().filter(|(_, vm)| vm.health != Health::Leaving) {
        let count = members.entry(vm.pool_after_move()).or_default();
        if serves(state, vm) {
            count.serving += 1;
        } else {
            count.out_of_service += 1;
        }
        count.racks.push(vm.rack);
    }
    let mut buffers = BTreeMap::new();
    for (id, pool) in state.pools.iter() {
        let mut members = members.remove(&id).unwrap_or_default();
        members.racks.sort_unstable();
        let largest_rack =
            members.racks.chunk_by(|left, right| left == right).map(<[_]>::len).max();
        let largest_rack = u32::try_from(largest_rack.unwrap_or_default()).unwrap_or(u32::MAX);
        let need = demand.pools.get(&id).and_then(DemandTracker::need);
        let reserve = if pool.spec.spare { 0 } else { pool_reserve(state, id).max(largest_rack) };
        // The reserve is there for VMs that fail; they are replaced only when
        // more of them are out than the reserve covers.
        let have = members.serving + members.out_of_service.min(reserve);
        let want = match (pool.spec.spare, need) {
            (true, _) => 0,
            (false, Some(need)) => need + reserve,
            (false, None) => have,
        };
        let want = want.clamp(pool.spec.min_vms, pool.spec.max_vms.max(pool.spec.min_vms));
        let size = members.serving + members.out_of_service;
        let buffer = PoolBuffer { need, reserve, have, size, low_mark: want, high_mark: want };
        buffers.insert(id, buffer);
    }
    buffers
}

/// Counts a VM of `from` as one of `to`.
pub(crate) fn shift(buffers: &mut BTreeMap<PoolId, PoolBuffer>, from: PoolId, to: PoolId) {
    if let Some(buffer) = buffers.get_mut(&from) {
        buffer.have = buffer.have.saturating_sub(1);
        buffer.size = buffer.size.saturating_sub(1);
    }
    if let Some(buffer) = buffers.get_mut(&to) {
        buffer.have += 1;
        buffer.size += 1;
    }
}

/// VMs of a pool that its budgets allow to be unavailable, at least one for a
/// VM that fails.
pub fn pool_reserve(state: &ControlState, pool: PoolId) -> u32 {
    let Some(pool) = state.pools.get(pool) else { return 0 };
    pool.budgets
        .iter()
        .filter(|budget| budget.scope == BudgetScope::Pool)
        .map(|budget| budget.max_unavailable)
        .min()
        .unwrap_or(1)
        .max(1)
}

/// True if the VM serves its pool or will once its operation is done.
fn serves(state: &ControlState, vm: &Vm) -> bool {
    match vm.health {
        Health::Up => state.data_centre_in_service(vm),
        // A VM that reboots does not answer.
        Health::Down | Health::Unknown => {
            vm.operation.is_some() && state.data_centre_in_service(vm)
        }
        Health::Leaving => false,
    }
}
