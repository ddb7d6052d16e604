//! Selection of the tasks that are preempted for urgent work. Tasks are
//! throttled if that frees enough; otherwise they are checkpointed and, if that
//! takes too long, stopped. Tasks with the least lost work go first.

use std::cmp::Reverse;

use crate::ids::VmId;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::resources::Resources;

/// Time that a checkpoint may take before the task is stopped. Poll interval,
/// stop and start then still fit into the 2,900 ms within which urgent work
/// must start.
pub const CHECKPOINT_MS: u64 = 800;

/// A task that may be preempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim {
    /// VM of the task's worker.
    pub vm: VmId,
    /// The task.
    pub task: TaskId,
    /// Work that a stop would lose: run time times dominant share.
    pub lost_work: u64,
    /// False if a stop would end the job for good. Such a task is only
    /// checkpointed, and chosen after repeatable ones.
    pub repeatable: bool,
    /// Capacity freed by throttling the task; zero if it cannot be throttled.
    pub freed_by_throttle: Resources,
    /// Capacity freed by the end of the task.
    pub freed_by_end: Resources,
    /// Declared size of the task, which is freed of its organisation's grant
    /// when it ends.
    pub request: Resources,
}

/// A worker on which tasks may be preempted for an urgent job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionCandidate {
    /// VM of the worker.
    pub vm: VmId,
    /// Resources that the urgent job needs on this worker.
    pub needed: Resources,
    /// Capacity that is free, or will be once ending tasks have ended.
    pub free: Resources,
    /// Tasks that may be preempted.
    pub victims: Vec<Victim>,
}

/// Actions that free capacity on one worker for an urgent job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// VM of the worker.
    pub vm: VmId,
    /// Resources that the urgent job needs on the worker.
    pub needed: Resources,
    /// Actions on the tasks of the worker.
    pub actions: Vec<(TaskId, TaskAction)>,
    /// Number of eligible tasks on the worker.
    pub eligible: u32,
}

/// The plan with the mildest actions, and the least lost work among those.
pub fn plan_preemption(workers: &[PreemptionCandidate]) -> Option<PreemptionPlan> {
    let plans = workers.iter().filter_map(|worker| {
        let (cost, actions) = plan_on_worker(worker)?;
        let eligible = u32::try_from(worker.victims.len()).unwrap_or(u32::MAX);
        let plan = PreemptionPlan { vm: worker.vm, needed: worker.needed, actions, eligible };
        Some((cost, worker.vm, plan))
    });
    plans.min_by_key(|(cost, vm, _)| (*cost, *vm)).map(|(_, _, plan)| plan)
}

/// Cost of a plan: tasks of jobs that are not repeatable, lost work, number of
/// actions. The cheapest plan is chosen.
type PlanCost = (u32, u64, usize);

fn plan_on_worker(worker: &PreemptionCandidate) -> Option<(PlanCost, Vec<(TaskId, TaskAction)>)> {
    let missing = worker.needed.saturating_sub(worker.free);
    if missing.is_zero() {
        return Some(((0, 0, 0), Vec::new()));
    }
    let mut by_throttle: Vec<&Victim> =
        worker.victims.iter().filter(|victim| !victim.freed_by_throttle.is_zero()).collect();
    by_throttle.sort_by_key(|victim| Reverse(victim.freed_by_throttle));
    if let Some(chosen) = choose_victims(missing, &by_throttle, |victim| victim.freed_by_throttle) {
        let actions: Vec<_> =
            chosen.into_iter().map(|victim| (victim.task.clone(), TaskAction::Throttle)).collect();
        return Some(((0, 0, actions.len()), actions));
    }
    let by_lost_work = least_lost_first(&worker.victims);
    let chosen = choose_victims(missing, &by_lost_work, |victim| victim.freed_by_end)?;
    let unrepeatable = chosen.iter().filter(|victim| !victim.repeatable).count();
    let lost = chosen.iter().fold(0_u64, |sum, victim| sum.saturating_add(victim.lost_work));
    let cost = (u32::try_from(unrepeatable).unwrap_or(u32::MAX), lost.max(1), chosen.len());
    let actions =
        chosen.into_iter().map(|victim| (victim.task.clone(), TaskAction::Checkpoint)).collect();
    Some((cost, actions))
}

/// Chooses tasks of an organisation, on any workers, whose declared sizes
/// together are at least `missing`.
pub fn plan_grant_preemption(missing: Resources, victims: &[Victim]) -> Option<Vec<&Victim>> {
    choose_victims(missing, &least_lost_first(victims), |victim| victim.request)
}

/// Tasks in the order in which they are chosen to end.
fn least_lost_first(victims: &[Victim]) -> Vec<&Victim> {
    let mut ordered: Vec<&Victim> = victims.iter().collect();
    ordered.sort_by_key(|victim| (!victim.repeatable, victim.lost_work, &victim.task));
    ordered
}

/// Chooses the first victims that together free `missing`, and drops those
/// that are not needed once later ones are chosen.
fn choose_victims<'a, F>(
    missing: Resources,
    ordered: &[&'a Victim],
    frees: F,
) -> Option<Vec<&'a Victim>>
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
