//! Tickets of the advice service, for queues whose policy lets only some
//! workers run a step.
//!
//! The service is slow and serves one call at a time. Each step therefore
//! requests tickets for a few workers as soon as it may start, and uses its
//! tickets for all of its tasks. It requests more only while no worker with a
//! ticket can take its next task, or those that it may lose with workers that do
//! not answer: the service may take as long as the leases of these workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;

/// Workers that one call names. The duration of a call grows with their number.
const MAX_WORKERS_PER_CALL: usize = 16;
/// Calls in flight at a time. The service refuses more than 32.
const MAX_CALLS_IN_FLIGHT: usize = 4;
/// Part of its validity, in percent, for which a ticket is used: a start must
/// reach the worker before its ticket expires.
const TICKET_USE_PERCENT: u64 = 80;
/// Delay of the next request of a step after a call that failed, or whose tickets
/// arrived too late to be used.
const RETRY_DELAY_MS: u64 = 1_000;

/// A call of the advice service for the tickets of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Job of the step.
    pub job: JobKey,
    /// Names of the workers that tickets are requested for.
    pub workers: Vec<String>,
}

/// Answer of the advice service to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// When the request was sent.
    pub sent_at: TimeMs,
    /// Names of the workers that may run the step, with their tickets.
    pub granted: Vec<(String, String)>,
    /// Time for which the tickets are valid.
    pub valid_ms: u64,
}

/// Answers of the advice service for all steps that need them, and the calls in
/// flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    /// Steps with a call in flight, and the workers that it names.
    in_flight: BTreeMap<StepKey, Vec<WorkerIncarnation>>,
    /// Steps for which the last placement round found no worker.
    unplaced: BTreeSet<StepKey>,
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    answers: BTreeMap<WorkerId, WorkerAnswer>,
    /// Earliest time of the next request.
    retry_at: TimeMs,
}

/// A worker, and the start of its incarnation if that is known. Answers of the
/// service hold for one incarnation.
type WorkerIncarnation = (WorkerId, Option<u64>);

/// What the service answered for one worker.
#[derive(Clone, Debug)]
struct WorkerAnswer {
    incarnation_unix_ms: Option<u64>,
    permission: Permission,
}

#[derive(Clone, Debug)]
enum Permission {
    /// The worker may not run the step. The service does not change its decision.
    Denied,
    Granted(Ticket),
}

#[derive(Clone, Debug)]
struct Ticket {
    value: String,
    usable_until: TimeMs,
}

/// A request that is due.
#[derive(Debug)]
struct DueRequest {
    urgency: Urgency,
    step: StepKey,
    workers: Vec<WorkerId>,
}

/// A worker that a request may name.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerId,
    /// Tasks of the step that the worker has room for now.
    slots_now: u32,
    /// The service has granted a ticket, which has expired.
    was_granted: bool,
}

/// Order of due requests, field by field; the lowest goes first. Under overload
/// more requests are due than the service can answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// No worker that the request names can take a task now.
    has_no_room: bool,
    /// Workers with tickets could take the tasks once they have room.
    has_tickets: bool,
}

impl Tickets {
    fn answer(
        &self,
        step: StepKey,
        (worker, incarnation): WorkerIncarnation,
    ) -> Option<&Permission> {
        let answer = self.steps.get(&step)?.answers.get(&worker)?;
        (answer.incarnation_unix_ms == incarnation).then_some(&answer.permission)
    }

    /// Discards the tickets of a job.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Discards the ticket of a worker that has refused it.
    pub(crate) fn refused(&mut self, step: StepKey, worker: WorkerId) {
        if let Some(state) = self.steps.get_mut(&step) {
            state.answers.remove(&worker);
        }
    }

    /// Starts a placement round.
    pub(crate) fn round_started(&mut self) {
        self.unplaced.clear();
    }

    /// Notes that the placement round found no worker for a task of the step.
    pub(crate) fn not_placed(&mut self, step: StepKey) {
        self.unplaced.insert(step);
    }

    fn is_request_due(&self, now: TimeMs, step: StepKey) -> bool {
        !self.in_flight.contains_key(&step)
            && self.steps.get(&step).is_none_or(|state| now >= state.retry_at)
    }
}

impl Permission {
    fn usable_ticket(&self, now: TimeMs) -> Option<&str> {
        match self {
            Self::Granted(ticket) if now < ticket.usable_until => Some(&ticket.value),
            Self::Granted(_) | Self::Denied => None,
        }
    }
}

impl Dispatcher {
    /// The usable ticket of a worker for a step.
    pub(crate) fn ticket(&self, now: TimeMs, step: StepKey, worker: WorkerId) -> Option<&str> {
        self.tickets.answer(step, self.incarnation(worker))?.usable_ticket(now)
    }

    fn incarnation(&self, id: WorkerId) -> WorkerIncarnation {
        (id, self.workers.get(id).and_then(|worker| worker.started_unix_ms))
    }

    /// The requests to send to the advice service now, after a placement round.
    pub fn advice_requests(&mut self, now: TimeMs, now_unix_ms: u64) -> Vec<AdviceRequest> {
        let available = MAX_CALLS_IN_FLIGHT.saturating_sub(self.tickets.in_flight.len());
        if available == 0 {
            return Vec::new();
        }
        let mut due = self.due_requests(now, now_unix_ms);
        due.sort_by_key(|request| request.urgency);
        due.truncate(available);
        let mut requests = Vec::new();
        for DueRequest { step, workers, .. } in due {
            let Some(job) = self.jobs.get(step.job) else { continue };
            let names = workers.iter().map(|id| self.worker_name(*id).to_owned()).collect();
            requests.push(AdviceRequest { step, job: job.key, workers: names });
            let named = workers.into_iter().map(|id| self.incarnation(id)).collect();
            self.tickets.in_flight.insert(step, named);
        }
        requests
    }

    fn due_requests(&self, now: TimeMs, now_unix_ms: u64) -> Vec<DueRequest> {
        let mut due = Vec::new();
        let at_risk = self.long_running_tasks_at_risk();
        let mut pools: BTreeMap<PoolId, Vec<WorkerId>> = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            if job.is_closing() || !job.rules.needs_advice {
                continue;
            }
            let schedulable =
                pools.entry(job.pool).or_insert_with(|| self.schedulable_workers(now, job.pool));
            let steps_at_risk = at_risk.keys().copied().filter(|step| step.job == id);
            let startable = job.startable_steps(id, now_unix_ms).map(|(step, _)| step);
            for step in startable.chain(steps_at_risk).collect::<BTreeSet<_>>() {
                if self.tickets.is_request_due(now, step) {
                    let at_risk = at_risk.get(&step).copied().unwrap_or(0);
                    due.extend(self.due_request(now, job, step, at_risk, schedulable));
                }
            }
        }
        due
    }

    /// Numbers of the long-running tasks, by step, that have to be placed elsewhere if
    /// their workers do not answer any more.
    fn long_running_tasks_at_risk(&self) -> BTreeMap<StepKey, u32> {
        let mut at_risk = BTreeMap::new();
        for (_, worker) in self.workers.iter().filter(|(_, worker)| worker.is_unreachable()) {
            for key in &worker.tasks {
                let job = self.jobs.get(key.step.job);
                if job.is_some_and(|job| job.step_spec(key.step.step).long_running) {
                    *at_risk.entry(key.step).or_default() += 1;
                }
            }
        }
        at_risk
    }

    /// The request of a step with tasks that wait or are at risk; none if it needs none,
    /// or if no further worker could take a task. Workers that have room now are named
    /// first. The others are named only if no worker with a ticket will do, so that
    /// a step holds tickets when capacity becomes free.
    fn due_request(
        &self,
        now: TimeMs,
        job: &Job,
        step: StepKey,
        at_risk: u32,
        schedulable: &[WorkerId],
    ) -> Option<DueRequest> {
        let (spec, waiting) = (job.step_spec(step.step), job.step(step).waiting());
        let wanted = waiting.saturating_add(at_risk);
        let tasks_by_worker = self.tasks_by_worker(step, spec);
        let slots = |id: WorkerId, room: Resources| {
            let tasks_here = tasks_by_worker.get(&id).copied().unwrap_or(0);
            self.task_slots(id, spec, tasks_here, room, wanted)
        };
        let ticketed = self.workers_with_tickets(now, step, schedulable);
        let slots_later = ticketed.iter().map(|id| slots(*id, self.capacity(*id)));
        let needed = if spec.gang { waiting } else { 1 };
        let has_tickets = slots_later.fold(0, u32::saturating_add) >= needed;
        let is_served = match at_risk {
            0 => has_tickets && !self.tickets.unplaced.contains(&step),
            _ => {
                let slots_now = ticketed.iter().map(|id| slots(*id, self.free_capacity(*id)));
                slots_now.fold(0, u32::saturating_add) >= wanted
            }
        };
        if is_served {
            return None;
        }
        let mut candidates = Vec::new();
        for &worker in schedulable {
            let slots_now = slots(worker, self.free_capacity(worker));
            let has_room_later = !has_tickets && slots(worker, self.capacity(worker)) > 0;
            if slots_now == 0 && !has_room_later {
                continue;
            }
            let was_granted = match self.tickets.answer(step, self.incarnation(worker)) {
                Some(Permission::Denied) => continue,
                Some(granted) if granted.usable_ticket(now).is_some() => continue,
                Some(Permission::Granted(_)) => true,
                None => false,
            };
            candidates.push(Candidate { worker, slots_now, was_granted });
        }
        candidates.sort_by_key(|candidate| (candidate.slots_now == 0, !candidate.was_granted));
        let has_no_room = candidates.first()?.slots_now == 0;
        let workers = workers_to_name(&candidates, wanted);
        Some(DueRequest { urgency: Urgency { has_no_room, has_tickets }, step, workers })
    }

    /// The workers with usable tickets for a step that may get new tasks.
    fn workers_with_tickets(
        &self,
        now: TimeMs,
        step: StepKey,
        schedulable: &[WorkerId],
    ) -> Vec<WorkerId> {
        let Some(known) = self.tickets.steps.get(&step) else { return Vec::new() };
        let is_usable = |id: &WorkerId| {
            schedulable.binary_search(id).is_ok() && self.ticket(now, step, *id).is_some()
        };
        known.answers.keys().copied().filter(is_usable).collect()
    }

    /// Handles the answer to a request; none if the call failed.
    pub fn handle_advice_answer(
        &mut self,
        now: TimeMs,
        request: &AdviceRequest,
        answer: Option<&AdviceAnswer>,
    ) {
        let step = request.step;
        let Some(named) = self.tickets.in_flight.remove(&step) else { return };
        // The arena may have reused the key for another job since the request.
        let job = self.jobs.get(step.job);
        if job.is_none_or(|job| job.key != request.job) {
            return;
        }
        let mut state = self.tickets.steps.remove(&step).unwrap_or_default();
        match answer {
            None => state.retry_at = now.plus(RETRY_DELAY_MS),
            Some(answer) => {
                let usable_until = answer.sent_at.plus(answer.valid_ms * TICKET_USE_PERCENT / 100);
                if usable_until <= now {
                    state.retry_at = now.plus(RETRY_DELAY_MS);
                }
                for (worker, incarnation_unix_ms) in named {
                    let name = self.worker_name(worker);
                    let granted = answer.granted.iter().find(|(granted, _)| granted == name);
                    let permission = match granted {
                        Some((_, value)) => {
                            Permission::Granted(Ticket { value: value.clone(), usable_until })
                        }
                        None => Permission::Denied,
                    };
                    let answer = WorkerAnswer { incarnation_unix_ms, permission };
                    state.answers.insert(worker, answer);
                }
            }
        }
        self.tickets.steps.insert(step, state);
    }
}

/// The first candidates, as many as one call names. Those that are granted a ticket
/// again are enough if they have room for all tasks that need a worker.
fn workers_to_name(candidates: &[Candidate], wanted: u32) -> Vec<WorkerId> {
    let mut workers = Vec::new();
    let mut served: u32 = 0;
    for candidate in candidates.iter().take(MAX_WORKERS_PER_CALL) {
        if served >= wanted {
            break;
        }
        if candidate.was_granted {
            served = served.saturating_add(candidate.slots_now);
        }
        workers.push(candidate.worker);
    }
    workers
}
