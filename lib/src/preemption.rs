//! Which tasks make room for urgent work: throttle, then checkpoint, then
//! stop, with the least lost work first.

use std::cmp::Reverse;

use crate::ids::VmId;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::resources::Resources;

/// Time for which a checkpoint may take before the task is stopped. Poll
/// interval, stop and start then still fit into the 2,900 ms of urgent work.
pub const CHECKPOINT_MS: u64 = 800;

/// A task that could make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim {
    /// VM of its worker.
    pub vm: VmId,
    /// The task.
    pub task: TaskId,
    /// Run time times dominant share that a stop would throw away.
    pub lost_work: u64,
    /// False if a stop would end the job for good; then only a checkpoint is
    /// left, and others are asked first.
    pub repeatable: bool,
    /// Room after it is throttled; nothing if it cannot be.
    pub freed_by_throttle: Resources,
    /// Room after it ends.
    pub freed_by_end: Resources,
    /// Declared size, which its organisation may use for other tasks after it ends.
    pub request: Resources,
}

/// A worker on which room could be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionCandidate {
    /// Its VM.
    pub vm: VmId,
    /// Size that the urgent job needs on this worker.
    pub needed: Resources,
    /// Room that is free, or will be when actions under way have their effect.
    pub free: Resources,
    /// Tasks that could make room.
    pub victims: Vec<Victim>,
}

/// Actions that make room on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// VM of the worker.
    pub vm: VmId,
    /// Size of the room that will be free for the urgent job.
    pub needed: Resources,
    /// The actions.
    pub actions: Vec<(TaskId, TaskAction)>,
    /// Tasks that were eligible on the worker.
    pub eligible: u32,
}

/// The plan with the mildest actions, and the least lost work among those.
pub fn plan_preemption(workers: &[PreemptionCandidate]) -> Option<PreemptionPlan> {
    let plans = workers.iter().filter_map(|worker| {
        let (cost, actions) = plan_worker(worker)?;
        let eligible = u32::try_from(worker.victims.len()).unwrap_or(u32::MAX);
        let plan = PreemptionPlan { vm: worker.vm, needed: worker.needed, actions, eligible };
        Some((cost, worker.vm, plan))
    });
    plans.min_by_key(|(cost, vm, _)| (*cost, *vm)).map(|(_, _, plan)| plan)
}

/// Order of plans: ended jobs that cannot be repeated, lost work, number of
/// actions.
type PlanCost = (u32, u64, usize);

fn plan_worker(worker: &PreemptionCandidate) -> Option<(PlanCost, Vec<(TaskId, TaskAction)>)> {
    let missing = worker.needed.saturating_sub(worker.free);
    if missing.is_zero() {
        return Some(((0, 0, 0), Vec::new()));
    }
    let mut by_throttle: Vec<&Victim> =
        worker.victims.iter().filter(|victim| !victim.freed_by_throttle.is_zero()).collect();
    by_throttle.sort_by_key(|victim| Reverse(victim.freed_by_throttle));
    if let Some(chosen) = choose(missing, &by_throttle, |victim| victim.freed_by_throttle) {
        let actions: Vec<_> =
            chosen.into_iter().map(|victim| (victim.task.clone(), TaskAction::Throttle)).collect();
        return Some(((0, 0, actions.len()), actions));
    }
    let by_lost_work = least_lost_first(&worker.victims);
    let chosen = choose(missing, &by_lost_work, |victim| victim.freed_by_end)?;
    let final_ends = chosen.iter().filter(|victim| !victim.repeatable).count();
    let lost = chosen.iter().fold(0_u64, |sum, victim| sum.saturating_add(victim.lost_work));
    let cost = (u32::try_from(final_ends).unwrap_or(u32::MAX), lost.max(1), chosen.len());
    let actions =
        chosen.into_iter().map(|victim| (victim.task.clone(), TaskAction::Checkpoint)).collect();
    Some((cost, actions))
}

/// Tasks whose end frees `missing` of the declared sizes of an organisation, on any
/// workers.
pub fn plan_grant_preemption(missing: Resources, victims: &[Victim]) -> Option<Vec<&Victim>> {
    choose(missing, &least_lost_first(victims), |victim| victim.request)
}

/// Tasks in the order in which they are ended.
fn least_lost_first(victims: &[Victim]) -> Vec<&Victim> {
    let mut ordered: Vec<&Victim> = victims.iter().collect();
    ordered.sort_by_key(|victim| (!victim.repeatable, victim.lost_work, &victim.task));
    ordered
}

/// The first victims that together free `missing`, without those that are not
/// needed once the later ones are chosen.
fn choose<'a, F>(missing: Resources, ordered: &[&'a Victim], frees: F) -> Option<Vec<&'a Victim>>
where
    F: Fn(&Victim) -> Resources,
{
    let mut freed = Resources::ZERO;
    let mut chosen = Vec::new();
    for victim in ordered {
        if missing.fits_in(freed) {
            break;
        }
        let left = missing.saturating_sub(freed);
        if left.min(frees(victim)).is_zero() {
            continue;
        }
        freed = freed.saturating_add(frees(victim));
        chosen.push(*victim);
    }
    if !missing.fits_in(freed) {
        return None;
    }
    let mut kept = Vec::new();
    for victim in chosen.into_iter().rev() {
        let without = freed.saturating_sub(frees(victim));
        if missing.fits_in(without) {
            freed = without;
        } else {
            kept.push(victim);
        }
    }
    kept.reverse();
    Some(kept)
}
