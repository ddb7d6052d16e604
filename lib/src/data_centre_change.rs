//! What moves when operators take a data centre out of service, and how its
//! VMs are admitted when they bring it back.
//!
//! The fold excludes a data centre from new work at the offset of the record.
//! What is left to decide is the order in which running tasks leave it, and
//! the rate at which its VMs take work again: admitted all at once, the empty
//! VMs would draw every queued request and task in the same moment.

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
pub const DOUBLING_MS: u64 = 1000;

/// Part of the VMs of a data centre that is admitted at once, as a divisor.
pub const FIRST_PART: u32 = 16;

/// A task that runs in a data centre that was taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The job.
    pub job: JobId,
    /// VM that the task runs on.
    pub vm: VmId,
    /// True for urgent work.
    pub urgent: bool,
    /// What the task uses.
    pub usage: Resources,
    /// Time that the task still needs, if it is known.
    pub remaining_ms: Option<u64>,
}

/// What happens to a task in a data centre that was taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskDecision {
    /// The task is checkpointed and started again elsewhere.
    Checkpoint {
        /// The job.
        job: JobId,
    },
    /// The task runs to its end.
    Finish {
        /// The job.
        job: JobId,
        /// Why.
        reason: FinishReason,
    },
    /// The task runs on until another data centre has room for it.
    Wait {
        /// The job.
        job: JobId,
    },
}

/// Why a task runs to its end in a data centre that was taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The pool says so.
    Policy,
    /// It ends sooner than it could be moved.
    AlmostDone,
}

/// The decisions for the tasks of one pool in a data centre that was taken
/// out. A task is checkpointed only if `room` elsewhere takes it, so that no
/// work stands still; urgent tasks go first, then those with the most left to
/// do, as the others may end by themselves. `move_ms` is the time that a task
/// takes to be checkpointed and started again.
pub fn tasks_out(
    state: &ControlState,
    pool: PoolId,
    tasks: &[RunningTask],
    room: Resources,
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
    let mut room = room;
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
                if !task.usage.fits_in(room) {
                    return TaskDecision::Wait { job };
                }
                room = room.saturating_sub(task.usage);
                TaskDecision::Checkpoint { job }
            }
        }
    };
    ordered.into_iter().map(decide).collect()
}

/// Data centres that came back while this process watched.
#[derive(Clone, Debug, Default)]
pub struct ReturnRamp {
    in_service: BTreeMap<DataCentreId, bool>,
    back_since: BTreeMap<DataCentreId, TimeMs>,
}

impl ReturnRamp {
    /// Takes note of data centres that came back. A data centre that is in
    /// service when a process first looks is admitted whole: it may have been
    /// back for long.
    pub fn observe(&mut self, state: &ControlState, now: TimeMs) {
        for (id, data_centre) in state.data_centres.iter() {
            let before = self.in_service.insert(id, data_centre.in_service);
            match (before, data_centre.in_service) {
                (Some(false), true) => {
                    self.back_since.insert(id, now);
                }
                (_, false) => {
                    self.back_since.remove(&id);
                }
                (Some(true) | None, true) => {}
            }
        }
        self.back_since.retain(|id, since| {
            let vms = u32::try_from(vms_in(state, *id).count()).unwrap_or(u32::MAX);
            admitted_count(vms, now.since(*since)) < vms
        });
    }

    /// VMs in service that take no new work yet.
    pub fn held_back(&self, state: &ControlState, now: TimeMs) -> BTreeSet<VmId> {
        let mut held = BTreeSet::new();
        for (id, since) in &self.back_since {
            let order = admission_order(state, *id);
            let vms = u32::try_from(order.len()).unwrap_or(u32::MAX);
            let admitted = admitted_count(vms, now.since(*since)) as usize;
            held.extend(order.into_iter().skip(admitted));
        }
        held
    }

    /// True if every VM in service takes work.
    pub fn is_over(&self) -> bool {
        self.back_since.is_empty()
    }
}

/// Number of VMs that are admitted `elapsed_ms` after the return.
pub fn admitted_count(vms: u32, elapsed_ms: u64) -> u32 {
    let first = u64::from(vms.div_ceil(FIRST_PART));
    let doublings = u32::try_from(elapsed_ms / DOUBLING_MS).unwrap_or(u32::MAX).min(31);
    u32::try_from((first << doublings).min(u64::from(vms))).unwrap_or(vms)
}

fn vms_in(state: &ControlState, data_centre: DataCentreId) -> impl Iterator<Item = (VmId, &Vm)> {
    state.vms.iter().filter(move |(_, vm)| vm.data_centre == data_centre && vm.health == Health::Up)
}

/// Pools take turns, the one with the fewest VMs in service elsewhere first,
/// and within a pool racks take turns.
fn admission_order(state: &ControlState, data_centre: DataCentreId) -> Vec<VmId> {
    let mut elsewhere: BTreeMap<PoolId, u32> = BTreeMap::new();
    for (_, vm) in state.vms.iter() {
        if vm.data_centre != data_centre && state.is_in_service(vm) {
            *elsewhere.entry(vm.pool).or_default() += 1;
        }
    }
    let mut in_rack = BTreeMap::new();
    let mut spread: Vec<_> = vms_in(state, data_centre)
        .map(|(id, vm)| {
            let turn: &mut u32 = in_rack.entry((vm.pool, vm.rack)).or_default();
            *turn += 1;
            (vm.pool, *turn, vm.rack, id)
        })
        .collect();
    spread.sort_unstable();
    let mut in_pool = BTreeMap::new();
    let mut order: Vec<_> = spread
        .into_iter()
        .map(|(pool, _, _, id)| {
            let turn: &mut u32 = in_pool.entry(pool).or_default();
            *turn += 1;
            (*turn, elsewhere.get(&pool).copied().unwrap_or_default(), id)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, id)| id).collect()
}
