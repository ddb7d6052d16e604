//! Queues whose policy lets only some workers run a step: tickets of the
//! advice service.
//!
//! The service is slow and serves one call at a time, so each step asks once
//! for few workers, as soon as it is known, and its tickets are used again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;

/// Workers that one call names. The time of a call grows with each.
const WORKERS_A_CALL: usize = 16;
/// Calls that wait for the service at a time; it turns away more than 32.
const CALLS_AT_A_TIME: usize = 4;
/// Part of its time, in percent, for which a ticket is used: a start with it
/// must arrive before it is over.
const USED_PERCENT: u64 = 80;
/// A step that got no ticket asks again after this time.
const ASK_AGAIN_MS: u64 = 1_000;

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Job of the step.
    pub job: JobKey,
    /// Names of workers.
    pub workers: Vec<String>,
}

/// What the advice service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// When the question was sent.
    pub sent_at: TimeMs,
    /// Workers that may run the step, with their tickets.
    pub granted: Vec<(String, String)>,
    /// Time for which the tickets are valid.
    pub valid_ms: u64,
}

/// Tickets of all steps that need them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    asking: BTreeSet<StepKey>,
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    granted: BTreeMap<WorkerId, Ticket>,
    /// Workers that were asked for; what the service says of them stays.
    asked: BTreeSet<WorkerId>,
    ask_at: TimeMs,
}

#[derive(Clone, Debug)]
struct Ticket {
    value: String,
    until: TimeMs,
}

impl Tickets {
    /// The ticket of a worker for a step.
    pub(crate) fn get(&self, now: TimeMs, step: StepKey, worker: WorkerId) -> Option<&str> {
        let ticket = self.steps.get(&step)?.granted.get(&worker)?;
        (now < ticket.until).then_some(ticket.value.as_str())
    }

    /// Forgets the steps of a job.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }
}

impl Dispatcher {
    /// True if the steps of a job need tickets.
    pub(crate) fn needs_advice(&self, catalog: &Catalog, id: JobId) -> bool {
        let queue = self.jobs.get(id).and_then(|job| catalog.find_queue_id(&job.spec.queue));
        queue.and_then(|queue| catalog.queue(queue)).is_some_and(|queue| queue.needs_advice)
    }

    /// The questions that are to be asked now.
    pub fn advice_requests(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> Vec<AdviceRequest> {
        let mut questions = Vec::new();
        for step in self.steps_without_tickets(now, now_unix_ms, catalog) {
            if self.tickets.asking.len() >= CALLS_AT_A_TIME {
                break;
            }
            let Some(job) = self.jobs.get(step.job) else { continue };
            let (key, pool) = (job.key, job.pool);
            let known = self.tickets.steps.get(&step);
            let candidates = self.schedulable_workers(now, pool).into_iter();
            let workers: Vec<WorkerId> = candidates
                .filter(|id| known.is_none_or(|known| !known.asked.contains(id)))
                .take(WORKERS_A_CALL)
                .collect();
            let state = self.tickets.steps.entry(step).or_default();
            if workers.is_empty() {
                // All are known; their tickets have run out.
                state.asked.clear();
                state.ask_at = now.plus(ASK_AGAIN_MS);
                continue;
            }
            state.asked.extend(&workers);
            self.tickets.asking.insert(step);
            let workers = workers.iter().map(|id| self.worker_name(*id).to_owned()).collect();
            questions.push(AdviceRequest { step, job: key, workers });
        }
        questions
    }

    fn steps_without_tickets(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> Vec<StepKey> {
        let mut steps = Vec::new();
        for (id, job) in self.jobs.iter() {
            if job.is_closing() || !self.needs_advice(catalog, id) {
                continue;
            }
            for (step, _) in job.startable_steps(id, now_unix_ms) {
                if self.tickets.asking.contains(&step) {
                    continue;
                }
                let known = self.tickets.steps.get(&step);
                let has_ticket = known.is_some_and(|known| {
                    now < known.ask_at || known.granted.values().any(|ticket| now < ticket.until)
                });
                if !has_ticket {
                    steps.push(step);
                }
            }
        }
        steps
    }

    /// Takes over an answer; none if the service did not give one.
    pub fn handle_advice_answer(
        &mut self,
        now: TimeMs,
        question: &AdviceRequest,
        answer: Option<&AdviceAnswer>,
    ) {
        self.tickets.asking.remove(&question.step);
        // The arena may hold another job under the key by now.
        let job = self.jobs.get(question.step.job);
        if job.is_none_or(|job| job.key != question.job) {
            return;
        }
        let Some(answer) = answer else {
            if let Some(state) = self.tickets.steps.get_mut(&question.step) {
                state.asked.clear();
                state.ask_at = now.plus(ASK_AGAIN_MS);
            }
            return;
        };
        let until = answer.sent_at.plus(answer.valid_ms * USED_PERCENT / 100);
        for (name, value) in &answer.granted {
            let worker = self.worker_id(name);
            let ticket = Ticket { value: value.clone(), until };
            let state = self.tickets.steps.entry(question.step).or_default();
            state.granted.insert(worker, ticket);
        }
    }
}
