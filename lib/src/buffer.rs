//! How many VMs each pool needs for its demand, and how many more it holds in
//! reserve for failures and maintenance.
//!
//! Demand comes in bursts of some seconds, far shorter than a move takes. A
//! pool is therefore sized for its recent bursts, smoothed over the time that
//! a request may wait, and VMs move only after lasting changes of demand.

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

/// Samples of one window. A window is about as long as it takes until every
/// pool has had a burst, so most windows of a pool contain one.
pub const WINDOW_SAMPLES: usize = 60;

/// Number of most recent windows from which the need is estimated.
pub const MAX_WINDOWS: usize = 15;

/// Number of complete windows from which the need of a pool is known. Until
/// then the pool takes or gives a VM only to stay within its size limits.
pub const MIN_WINDOWS: usize = 3;

/// Index, by descending need, of the window that sets the need of the pool.
/// With 2, two unusual bursts cause no move.
pub const NEED_RANK: usize = 2;

/// Number of most recent windows that all have to be far from the usual need
/// for the estimate to follow at once, so that VMs move directly from a pool
/// whose demand falls to one whose demand rises.
pub const SHIFT_WINDOWS: usize = 2;

/// Need below which a window counts as a drop, in thousandths of the usual
/// need. Bursts of usual demand differ by about a fifth.
pub const DROP_PERMILLE: u64 = 700;

/// Need above which a window counts as a rise, in thousandths of the usual
/// need.
pub const RISE_PERMILLE: u64 = 1300;

/// Time that a request may wait for a slot, in samples.
pub const WAIT_SAMPLES: u64 = 10;

/// Demand of one pool, sampled once a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandTracker {
    window: Vec<u32>,
    needs: VecDeque<u32>,
    recent: VecDeque<u32>,
}

impl DemandTracker {
    /// Adds a sample: the slots that the requests of the last second occupy,
    /// which is their number times their service time in seconds.
    pub fn record(&mut self, offered_slots: u32, slots_per_vm: u32) {
        self.recent.push_back(offered_slots);
        if self.recent.len() > MAX_WINDOWS * WINDOW_SAMPLES {
            self.recent.pop_front();
        }
        self.window.push(offered_slots);
        if self.window.len() == WINDOW_SAMPLES {
            self.needs.push_back(required_vms(&self.window, slots_per_vm));
            self.window.clear();
            if self.needs.len() > MAX_WINDOWS {
                self.needs.pop_front();
            }
        }
    }

    /// Number of VMs that the pool needs, or nothing before [`MIN_WINDOWS`]
    /// windows are complete.
    pub fn need(&self) -> Option<u32> {
        if self.needs.len() < MIN_WINDOWS {
            return None;
        }
        let mut needs: Vec<u32> = self.needs.iter().copied().collect();
        needs.sort_unstable_by(|left, right| right.cmp(left));
        let usual = *needs.get(NEED_RANK)?;
        let recent = || self.needs.iter().rev().take(SHIFT_WINDOWS).copied();
        let (lowest, highest) = (recent().min()?, recent().max()?);
        let permille = |need: u32| u64::from(need) * 1000;
        let dropped = permille(highest) < u64::from(usual) * DROP_PERMILLE;
        let risen = permille(lowest) > u64::from(usual) * RISE_PERMILLE;
        Some(if dropped || risen { highest } else { usual })
    }

    /// Share of the high samples of this pool, in thousandths, at which the
    /// other pool has a high sample too. A sample is high if it is above the
    /// mean of its pool.
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

/// The smallest number of VMs with which no request of the samples waits
/// longer than [`WAIT_SAMPLES`].
pub fn required_vms(samples: &[u32], slots_per_vm: u32) -> u32 {
    let slots = u64::from(slots_per_vm.max(1));
    let highest = samples.iter().copied().max().unwrap_or_default();
    let mut low = 0;
    let mut high = u64::from(highest).div_ceil(slots);
    while low < high {
        let middle = low.midpoint(high);
        if meets_wait_limit(samples, middle * slots) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    u32::try_from(high).unwrap_or(u32::MAX)
}

fn meets_wait_limit(samples: &[u32], capacity: u64) -> bool {
    let mut backlog = 0_u64;
    samples.iter().all(|sample| {
        backlog = (backlog + u64::from(*sample)).saturating_sub(capacity);
        backlog <= capacity * WAIT_SAMPLES
    })
}

/// Demand of all pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Demand by pool.
    pub pools: BTreeMap<PoolId, DemandTracker>,
}

impl Demand {
    /// Share of the high samples of `left`, in thousandths, at which `right`
    /// has a high sample too; zero if a pool has no samples.
    pub fn coincidence_permille(&self, left: PoolId, right: PoolId) -> u32 {
        match (self.pools.get(&left), self.pools.get(&right)) {
            (Some(left), Some(right)) => left.coincidence_permille(right),
            (None, _) | (_, None) => 0,
        }
    }
}

/// Number of VMs that a pool has and should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolBuffer {
    /// VMs that the demand needs, or nothing while it is not known yet.
    pub need: Option<u32>,
    /// VMs in addition to the need, so that the need stays covered when a rack
    /// fails or as many VMs are unavailable as the pool budget allows.
    pub reserve: u32,
    /// VMs that can serve, plus VMs out of service up to the reserve. VMs that
    /// move to the pool count, VMs that move away do not.
    pub have: u32,
    /// All VMs. VMs that move to the pool count, VMs that move away do not.
    pub size: u32,
    /// With fewer VMs the pool lacks VMs and receives one.
    pub low_watermark: u32,
    /// With more VMs the pool has a surplus and can give one.
    pub high_watermark: u32,
}

impl PoolBuffer {
    /// VMs below the low watermark.
    pub fn deficit(&self) -> u32 {
        self.low_watermark.saturating_sub(self.have)
    }

    /// True if at most a part of the reserve is missing.
    pub fn covers_need(&self) -> bool {
        self.need.is_some_and(|need| self.have >= need)
    }

    /// VMs above the high watermark.
    pub fn surplus(&self) -> u32 {
        self.have.saturating_sub(self.high_watermark)
    }
}

/// VMs of a pool once all moves are done.
#[derive(Clone, Debug, Default)]
struct Members {
    serving: u32,
    out_of_service: u32,
    /// Rack of each VM.
    racks: Vec<RackId>,
}

/// Number of VMs that each pool has and should have. A spare pool needs none
/// beyond its minimum.
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
        // VMs that are out of service are replaced only when the reserve does
        // not cover them.
        let have = members.serving + members.out_of_service.min(reserve);
        let want = match (pool.spec.spare, need) {
            (true, _) => 0,
            (false, Some(need)) => need + reserve,
            (false, None) => have,
        };
        let want = want.clamp(pool.spec.min_vms, pool.spec.max_vms.max(pool.spec.min_vms));
        let size = members.serving + members.out_of_service;
        let buffer =
            PoolBuffer { need, reserve, have, size, low_watermark: want, high_watermark: want };
        buffers.insert(id, buffer);
    }
    buffers
}

/// Counts a VM of pool `from` as one of pool `to`.
pub(crate) fn shift_vm(buffers: &mut BTreeMap<PoolId, PoolBuffer>, from: PoolId, to: PoolId) {
    if let Some(buffer) = buffers.get_mut(&from) {
        buffer.have = buffer.have.saturating_sub(1);
        buffer.size = buffer.size.saturating_sub(1);
    }
    if let Some(buffer) = buffers.get_mut(&to) {
        buffer.have += 1;
        buffer.size += 1;
    }
}

/// Number of VMs of a pool that its budgets allow to be unavailable, and at
/// least one, to cover the failure of one VM.
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

/// True if the VM serves its pool, or will when its operation is done.
fn serves(state: &ControlState, vm: &Vm) -> bool {
    match vm.health {
        Health::Up => state.data_centre_in_service(vm),
        // A VM does not answer while it reboots.
        Health::Down | Health::Unknown => {
            vm.operation.is_some() && state.data_centre_in_service(vm)
        }
        Health::Leaving => false,
    }
}
