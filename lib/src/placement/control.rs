//! Actions on running tasks: stops the tasks of closed jobs, checkpoints tasks
//! for lowered limits, drains and data centres out of service, and repeats
//! actions that had no effect.

use crate::config::DataCentreOutPolicy;
use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::job::JobState;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::placement::Scheduler;
use crate::preemption;
use crate::preemption::CHECKPOINT_MS;
use crate::preemption::Victim;
use crate::resources::Resources;
use crate::scheduler_decision::ControlReason;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_event::WorkerService;
use crate::time::TimeMs;
use crate::worker_view::PendingAction;
use crate::worker_view::Task;
use crate::worker_view::TaskPhase;
use crate::worker_view::Worker;
use crate::worker_view::throttled;

/// Time after which an action is sent again if no report shows its effect.
const RESEND_MS: u64 = 1_000;

/// The same for checkpoints that no urgent job or limit waits for, since
/// writing one may take long.
const SLOW_RESEND_MS: u64 = 5_000;

/// An action to be sent to the worker of a task.
pub(crate) struct Action {
    pub(crate) vm: VmId,
    pub(crate) task: TaskId,
    pub(crate) action: TaskAction,
    pub(crate) reason: ControlReason,
    /// Number of other eligible tasks.
    pub(crate) candidates: u32,
}

impl Scheduler {
    /// Decides the actions that do not depend on waiting jobs.
    pub(crate) fn control_tasks(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        if self.reconcile_needed && !self.is_waiting_for_workers(now) {
            self.stop_tasks_of_closed_jobs(now, out);
            self.reconcile_needed = false;
        }
        self.checkpoint_displaced_tasks(now, out);
        self.enforce_limits(now, out);
        self.retry_pending_actions(now, out);
    }

    /// Records an action as pending on its task and adds the decision to send
    /// it.
    pub(crate) fn send_action(
        &mut self,
        now: TimeMs,
        action: Action,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let Action { vm, task: id, action, reason, candidates } = action;
        let task = self.workers.get_mut(&vm).and_then(|worker| worker.tasks.get_mut(&id));
        let Some(task) = task else { return };
        task.pending = Some(PendingAction { action, reason, since: now });
        task.stop_sent |= action == TaskAction::Stop;
        out.push(SchedulerDecision::Control { task: id, vm, action, reason, candidates });
    }

    fn send_actions(
        &mut self,
        now: TimeMs,
        actions: Vec<Action>,
        out: &mut Vec<SchedulerDecision>,
    ) {
        for action in actions {
            self.send_action(now, action, out);
        }
    }

    /// Live tasks of all workers whose start is confirmed, so that their
    /// workers can act on them.
    fn running_tasks(&self) -> impl Iterator<Item = (VmId, &Worker, &TaskId, &Task)> {
        self.workers.iter().flat_map(|(vm, worker)| {
            let tasks = worker.live_tasks().filter(|(_, task)| task.phase != TaskPhase::Starting);
            tasks.map(move |(id, task)| (*vm, worker, id, task))
        })
    }

    fn stop_tasks_of_closed_jobs(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        let actions = self
            .running_tasks()
            .filter(|(_, _, _, task)| !is_stopping(task))
            .filter_map(|(vm, _, id, _)| {
                let reason = match self.queue.by_name(&id.job).map(|job| job.state) {
                    None | Some(JobState::Ending { .. }) => ControlReason::JobClosed,
                    Some(JobState::Active { attempt, .. }) if attempt > id.attempt => {
                        ControlReason::Superseded
                    }
                    Some(JobState::Active { .. } | JobState::Queued) => return None,
                };
                Some(Action {
                    vm,
                    task: id.clone(),
                    action: TaskAction::Stop,
                    reason,
                    candidates: 0,
                })
            })
            .collect();
        self.send_actions(now, actions, out);
    }

    /// Checkpoints tasks on workers that drain or whose data centre is out of
    /// service, so that they continue elsewhere.
    fn checkpoint_displaced_tasks(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        let actions = self
            .running_tasks()
            .filter(|(_, worker, _, task)| !task.is_ending() && worker.unreachable_since.is_none())
            .filter_map(|(vm, worker, id, _)| {
                let reason = match (worker.spec.service, worker.spec.on_data_centre_out) {
                    (WorkerService::Draining, _) => ControlReason::Draining,
                    (WorkerService::Open | WorkerService::Closed, policy) => {
                        let leaves = policy == DataCentreOutPolicy::Checkpoint
                            && !worker.spec.data_centre_in_service;
                        leaves.then_some(ControlReason::DataCentreOut)?
                    }
                };
                Some(Action {
                    vm,
                    task: id.clone(),
                    action: TaskAction::Checkpoint,
                    reason,
                    candidates: 0,
                })
            })
            .collect();
        self.send_actions(now, actions, out);
    }

    /// Checkpoints tasks of organisations whose limit was lowered, those with
    /// the least lost work first.
    fn enforce_limits(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        let capped: Vec<(OrganisationId, Resources)> = self
            .organisations
            .iter()
            .filter_map(|(organisation, state)| Some((*organisation, state.quota.cap()?)))
            .collect();
        for (organisation, cap) in capped {
            let mut remaining = Resources::ZERO;
            let mut victims = Vec::new();
            for (vm, worker) in &self.workers {
                for (id, task) in
                    worker.live_tasks().filter(|(id, _)| id.job.organisation == organisation)
                {
                    if task.is_ending() {
                        continue;
                    }
                    remaining = remaining.saturating_add(task.request);
                    if task.phase != TaskPhase::Starting {
                        victims.push(self.victim(now, *vm, worker, id, task));
                    }
                }
            }
            let excess = remaining.saturating_sub(cap);
            if excess.is_zero() {
                continue;
            }
            let candidates = u32::try_from(victims.len()).unwrap_or(u32::MAX).saturating_sub(1);
            // Tasks whose start is not confirmed cannot be checkpointed yet.
            // If the others do not free enough, all of them end.
            let chosen = preemption::plan_grant_preemption(excess, &victims)
                .unwrap_or_else(|| victims.iter().collect());
            for victim in chosen {
                let Victim { vm, task, .. } = victim.clone();
                let (action, reason) = (TaskAction::Checkpoint, ControlReason::LimitLowered);
                self.send_action(now, Action { vm, task, action, reason, candidates }, out);
            }
        }
    }

    /// Sends actions again that had no effect, and stops tasks whose checkpoint
    /// takes too long for the urgent job or the limit that waits for it.
    fn retry_pending_actions(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        let actions = self
            .running_tasks()
            .filter_map(|(vm, _, id, task)| {
                let pending = task.pending?;
                let age_ms = now.since(pending.since);
                let (action, reason) = match pending.action {
                    TaskAction::Checkpoint => {
                        self.next_checkpoint_action(id, pending.reason, age_ms)?
                    }
                    TaskAction::Throttle | TaskAction::Unthrottle | TaskAction::Stop => {
                        (age_ms >= RESEND_MS).then_some((pending.action, pending.reason))?
                    }
                };
                Some(Action { vm, task: id.clone(), action, reason, candidates: 0 })
            })
            .collect();
        self.send_actions(now, actions, out);
    }

    fn next_checkpoint_action(
        &self,
        id: &TaskId,
        reason: ControlReason,
        age_ms: u64,
    ) -> Option<(TaskAction, ControlReason)> {
        match reason {
            ControlReason::LimitLowered => {
                (age_ms >= CHECKPOINT_MS).then_some((TaskAction::Stop, ControlReason::Escalation))
            }
            ControlReason::UrgentRoom | ControlReason::UrgentGrant => {
                let repeatable = self.queue.by_name(&id.job).is_none_or(|job| job.spec.repeatable);
                if repeatable {
                    (age_ms >= CHECKPOINT_MS)
                        .then_some((TaskAction::Stop, ControlReason::Escalation))
                } else {
                    (age_ms >= RESEND_MS).then_some((TaskAction::Checkpoint, reason))
                }
            }
            ControlReason::Escalation
            | ControlReason::DataCentreOut
            | ControlReason::Draining
            | ControlReason::JobClosed
            | ControlReason::Superseded
            | ControlReason::RoomAgain => {
                (age_ms >= SLOW_RESEND_MS).then_some((TaskAction::Checkpoint, reason))
            }
        }
    }

    /// Describes what throttling or ending a task would free and lose.
    pub(crate) fn victim(
        &self,
        now: TimeMs,
        vm: VmId,
        worker: &Worker,
        id: &TaskId,
        task: &Task,
    ) -> Victim {
        let size = task.size(&self.classes);
        let can_throttle = task.phase == TaskPhase::Reported(TaskState::Running)
            && task.pending.is_none()
            && !worker.uses_declared_sizes(now);
        let freed_by_throttle = if can_throttle {
            size.saturating_sub(throttled(task.full_size(&self.classes)))
        } else {
            Resources::ZERO
        };
        let share = task.request.dominant_share_ppm(worker.spec.capacity).min(1_000_000);
        Victim {
            vm,
            task: id.clone(),
            lost_work: now.since(task.started_at).saturating_mul(share) / 1_000,
            repeatable: self.queue.by_name(&id.job).is_none_or(|job| job.spec.repeatable),
            freed_by_throttle,
            freed_by_end: size,
            request: task.request,
        }
    }
}

fn is_stopping(task: &Task) -> bool {
    task.pending.is_some_and(|pending| pending.action == TaskAction::Stop)
}
