//! Preemption of tasks that are not urgent, which frees capacity and grant for
//! urgent jobs.

use crate::ids::JobId;
use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::placement::Scheduler;
use crate::placement::control::Action;
use crate::placement::start::Reservation;
use crate::placement::start::StartRound;
use crate::preemption;
use crate::preemption::PreemptionCandidate;
use crate::preemption::Victim;
use crate::resources::Resources;
use crate::scheduler_decision::ControlReason;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_decision::WaitReason;
use crate::time::TimeMs;
use crate::worker_view::Task;
use crate::worker_view::TaskPhase;
use crate::worker_view::Worker;

/// Time after which a reservation of an urgent job is dropped if no task on
/// its worker is ending, so that another worker is tried.
const URGENT_RESERVATION_MS: u64 = 1_000;

/// Time after which the reservation of a starved job is dropped, so that a
/// worker with long tasks is not kept partly idle.
const STARVED_RESERVATION_MS: u64 = 120_000;

impl Scheduler {
    /// Drops reservations whose job no longer waits, whose worker no longer
    /// takes work, or that have expired.
    pub(crate) fn drop_stale_reservations(&mut self, now: TimeMs) {
        let reservations = std::mem::take(&mut self.reservations);
        self.reservations = reservations
            .into_iter()
            .filter(|reservation| {
                let waits = self.queue.get(reservation.job).is_some_and(|job| job.is_queued());
                let worker = self.workers.get(&reservation.vm);
                let accepts_work = worker
                    .is_some_and(|worker| self.accepts_work(now, reservation.vm, worker, false));
                let age_ms = now.since(reservation.since);
                let in_time = if reservation.urgent {
                    age_ms < URGENT_RESERVATION_MS || worker.is_some_and(has_ending_tasks)
                } else {
                    age_ms < STARVED_RESERVATION_MS
                };
                waits && accepts_work && in_time
            })
            .collect();
    }

    /// Preempts tasks on one worker for an urgent job and reserves the capacity
    /// for it. Returns why the job waits meanwhile.
    pub(crate) fn preempt_for_job(
        &mut self,
        now: TimeMs,
        id: JobId,
        round: &StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) -> WaitReason {
        if self.reservations.iter().any(|reservation| reservation.job == id) {
            return WaitReason::Preempting;
        }
        let Some(job) = self.queue.get(id) else { return WaitReason::NoRoom };
        let failed = self.health.failed_workers(&job.spec.job);
        let mut candidates: Vec<PreemptionCandidate> = self
            .workers
            .iter()
            .filter(|(vm, worker)| {
                !failed.contains(vm) && self.accepts_work(now, **vm, worker, false)
            })
            .map(|(vm, worker)| {
                let ending = worker.live_tasks().filter(|(_, task)| task.is_ending());
                let free_soon = ending
                    .fold(self.available_for(*vm, id, true, round), |free, (_, task)| {
                        free.saturating_add(task.size(&self.classes))
                    });
                PreemptionCandidate {
                    vm: *vm,
                    needed: worker.size_of(now, &job.class, job.spec.request, &self.classes),
                    free: free_soon,
                    victims: self.victims(now, *vm, worker),
                }
            })
            .collect();
        candidates.retain(|candidate| !candidate.needed.is_zero());
        let Some(plan) = preemption::plan_preemption(&candidates) else {
            return WaitReason::NoRoom;
        };
        let others = plan.eligible.saturating_sub(u32::try_from(plan.actions.len()).unwrap_or(0));
        for (task, action) in plan.actions {
            let (vm, reason) = (plan.vm, ControlReason::UrgentRoom);
            self.send_action(now, Action { vm, task, action, reason, candidates: others }, out);
        }
        let (vm, size) = (plan.vm, plan.needed);
        self.reservations.push(Reservation { vm, job: id, size, urgent: true, since: now });
        WaitReason::Preempting
    }

    /// Checkpoints tasks of an organisation that uses its whole limit, so that
    /// an urgent job of the same organisation can start.
    pub(crate) fn preempt_own_tasks(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        missing: Resources,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let of_organisation = |id: &TaskId| id.job.organisation == organisation;
        let ending = self
            .workers
            .values()
            .flat_map(Worker::live_tasks)
            .filter(|(id, task)| of_organisation(id) && task.is_ending())
            .fold(Resources::ZERO, |sum, (_, task)| sum.saturating_add(task.request));
        let missing = missing.saturating_sub(ending);
        if missing.is_zero() {
            return;
        }
        let victims: Vec<Victim> = self
            .workers
            .iter()
            .flat_map(|(vm, worker)| self.victims(now, *vm, worker))
            .filter(|victim| of_organisation(&victim.task))
            .collect();
        let Some(chosen) = preemption::plan_grant_preemption(missing, &victims) else { return };
        let others = u32::try_from(victims.len() - chosen.len()).unwrap_or(u32::MAX);
        for victim in chosen {
            let Victim { vm, task, .. } = victim.clone();
            let (action, reason) = (TaskAction::Checkpoint, ControlReason::UrgentGrant);
            self.send_action(now, Action { vm, task, action, reason, candidates: others }, out);
        }
    }

    /// Tasks of a worker that may be preempted: their start is confirmed, and
    /// they are neither urgent nor ending.
    fn victims(&self, now: TimeMs, vm: VmId, worker: &Worker) -> Vec<Victim> {
        let is_urgent =
            |id: &TaskId| self.queue.by_name(&id.job).is_some_and(|job| job.spec.urgent);
        worker
            .live_tasks()
            .filter(|(id, task)| {
                task.phase != TaskPhase::Starting && !task.is_ending() && !is_urgent(id)
            })
            .map(|(id, task)| self.victim(now, vm, worker, id, task))
            .collect()
    }

    /// Unthrottles tasks on workers that have enough free capacity and no
    /// reservation.
    pub(crate) fn unthrottle(
        &mut self,
        now: TimeMs,
        round: &StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let mut chosen = Vec::new();
        for (vm, worker) in &self.workers {
            if self.reservations.iter().any(|reservation| reservation.vm == *vm) {
                continue;
            }
            let mut free = round.free.get(vm).copied().unwrap_or_default();
            for (id, task) in worker.live_tasks().filter(|(_, task)| is_throttled(task)) {
                let full = task.full_size(&self.classes);
                let more = full.saturating_sub(task.size(&self.classes));
                if more.fits_in(free) {
                    free = free.saturating_sub(more);
                    chosen.push((*vm, id.clone()));
                }
            }
        }
        for (vm, task) in chosen {
            let (action, reason) = (TaskAction::Unthrottle, ControlReason::RoomAgain);
            self.send_action(now, Action { vm, task, action, reason, candidates: 0 }, out);
        }
    }
}

fn has_ending_tasks(worker: &Worker) -> bool {
    worker.live_tasks().any(|(_, task)| task.is_ending())
}

fn is_throttled(task: &Task) -> bool {
    task.phase == TaskPhase::Reported(TaskState::Throttled) && task.pending.is_none()
}
