//! Which tasks move when operators take a data centre out of service, and how
//! its VMs are admitted when the data centre returns.
//!
//! A data centre that is out of service gets no new work from the offset of the
//! record onwards. This module decides in which order running tasks leave the
//! data centre, and at which rate its VMs take work again: if all were admitted
//! at once, the empty VMs would attract every queued request and task at the
//! same moment.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::DataCentreOutPolicy;
use crate::control::ControlState;
use crate::control::Vm;
use crate::ids::DataCentreId;
use crate::ids::JobId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::record::Health;
use crate::resources::Resources;
use crate::time::TimeMs;

/// Time in which the number of admitted VMs doubles.
pub const ADMISSION_DOUBLING_MS: u64 = 1000;

/// The number of VMs of a data centre is divided by this to get the number that
/// is admitted at once.
pub const FIRST_ADMISSION_DIVISOR: u32 = 16;

/// A task that runs in a data centre that was taken out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The job.
    pub job: JobId,
    /// VM that the task runs on.
    pub vm: VmId,
    /// True for urgent work.
    pub urgent: bool,
    /// Resources that the task uses.
    pub usage: Resources,
    /// Time until the task ends, if it is known.
    pub remaining_ms: Option<u64>,
}

/// Decision on a task in a data centre that was taken out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskDecision {
    /// The task is checkpointed and started again in another data centre.
    Checkpoint {
        /// The job.
        job: JobId,
    },
    /// The task runs until it ends.
    Finish {
        /// The job.
        job: JobId,
        /// Why the task is not moved.
        reason: FinishReason,
    },
    /// The task continues to run until another data centre has free capacity
    /// for it.
    Wait {
        /// The job.
        job: JobId,
    },
}

/// Why a task is not moved out of a data centre that was taken out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The policy of the pool requires it.
    Policy,
    /// The task ends sooner than it could be moved.
    AlmostDone,
}

/// Decides on the tasks of one pool in a data centre that was taken out of
/// service. A task is checkpointed only if it fits into `free_capacity` of
/// other data centres, so that no work is stalled. Urgent tasks come first,
/// then those with the longest remaining time, as the others may end before
/// they have to move. `move_ms` is the time to checkpoint a task and start it
/// again.
pub fn plan_evacuation(
    state: &ControlState,
    pool: PoolId,
    tasks: &[RunningTask],
    free_capacity: Resources,
    move_ms: u64,
) -> Vec<TaskDecision> {
    let policy = state
        .pools
        .get(pool)
        .map_or(DataCentreOutPolicy::Finish, |pool| pool.spec.on_data_centre_out);
    let mut ordered: Vec<&RunningTask> = tasks.iter().collect();
    ordered.sort_by_key(|task| {
        let remaining_ms = task.remaining_ms.unwrap_or(u64::MAX);
        (Reverse(task.urgent), Reverse(remaining_ms), task.job)
    });
    let mut free_capacity = free_capacity;
    let decide = |task: &RunningTask| {
        let job = task.job;
        match policy {
            DataCentreOutPolicy::Finish => {
                TaskDecision::Finish { job, reason: FinishReason::Policy }
            }
            DataCentreOutPolicy::Checkpoint => {
                if task.remaining_ms.is_some_and(|remaining_ms| remaining_ms <= move_ms) {
                    return TaskDecision::Finish { job, reason: FinishReason::AlmostDone };
                }
                if !task.usage.fits_in(free_capacity) {
                    return TaskDecision::Wait { job };
                }
                free_capacity = free_capacity.saturating_sub(task.usage);
                TaskDecision::Checkpoint { job }
            }
        }
    };
    ordered.into_iter().map(decide).collect()
}

/// Admits the VMs of data centres that returned to service since this process
/// started to observe them.
#[derive(Clone, Debug, Default)]
pub struct ReadmissionRamp {
    in_service: BTreeMap<DataCentreId, bool>,
    returned_at: BTreeMap<DataCentreId, TimeMs>,
}

impl ReadmissionRamp {
    /// Records which data centres returned to service. A data centre that is in
    /// service at the first observation is admitted completely, as it may have
    /// returned long ago.
    pub fn observe(&mut self, state: &ControlState, now: TimeMs) {
        for (id, data_centre) in state.data_centres.iter() {
            let before = self.in_service.insert(id, data_centre.in_service);
            match (before, data_centre.in_service) {
                (Some(false), true) => {
                    self.returned_at.insert(id, now);
                }
                (_, false) => {
                    self.returned_at.remove(&id);
                }
                (Some(true) | None, true) => {}
            }
        }
        self.returned_at.retain(|id, since| {
            let vms = u32::try_from(vms_in(state, *id).count()).unwrap_or(u32::MAX);
            admitted_count(vms, now.since(*since)) < vms
        });
    }

    /// VMs in service that get no new work yet.
    pub fn vms_not_admitted(&self, state: &ControlState, now: TimeMs) -> BTreeSet<VmId> {
        let mut not_admitted = BTreeSet::new();
        for (id, since) in &self.returned_at {
            let order = admission_order(state, *id);
            let vms = u32::try_from(order.len()).unwrap_or(u32::MAX);
            let admitted = admitted_count(vms, now.since(*since)) as usize;
            not_admitted.extend(order.into_iter().skip(admitted));
        }
        not_admitted
    }

    /// True if every VM in service is admitted.
    pub fn is_complete(&self) -> bool {
        self.returned_at.is_empty()
    }
}

/// Number of VMs, out of `vms`, that are admitted `elapsed_ms` after their data
/// centre returned to service.
pub fn admitted_count(vms: u32, elapsed_ms: u64) -> u32 {
    let first = u64::from(vms.div_ceil(FIRST_ADMISSION_DIVISOR));
    let doublings = u32::try_from(elapsed_ms / ADMISSION_DOUBLING_MS).unwrap_or(u32::MAX).min(31);
    u32::try_from((first << doublings).min(u64::from(vms))).unwrap_or(vms)
}

fn vms_in(state: &ControlState, data_centre: DataCentreId) -> impl Iterator<Item = (VmId, &Vm)> {
    state.vms.iter().filter(move |(_, vm)| vm.data_centre == data_centre && vm.health == Health::Up)
}

/// Order in which the VMs of a data centre are admitted: round-robin over the
/// pools, the pool with the fewest VMs in service elsewhere first, and within a
/// pool round-robin over its racks.
fn admission_order(state: &ControlState, data_centre: DataCentreId) -> Vec<VmId> {
    let mut elsewhere: BTreeMap<PoolId, u32> = BTreeMap::new();
    for (_, vm) in state.vms.iter() {
        if vm.data_centre != data_centre && state.is_in_service(vm) {
            *elsewhere.entry(vm.pool).or_default() += 1;
        }
    }
    let mut positions_in_rack = BTreeMap::new();
    let mut by_rack_position: Vec<_> = vms_in(state, data_centre)
        .map(|(id, vm)| {
            let position: &mut u32 = positions_in_rack.entry((vm.pool, vm.rack)).or_default();
            *position += 1;
            (vm.pool, *position, vm.rack, id)
        })
        .collect();
    by_rack_position.sort_unstable();
    let mut positions_in_pool = BTreeMap::new();
    let mut order: Vec<_> = by_rack_position
        .into_iter()
        .map(|(pool, _, _, id)| {
            let position: &mut u32 = positions_in_pool.entry(pool).or_default();
            *position += 1;
            (*position, elsewhere.get(&pool).copied().unwrap_or_default(), id)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, id)| id).collect()
}
