//! Tickets of the advice service, for queues whose policy lets only some
//! workers run a step.
//!
//! The service is slow and serves one call at a time. Each step therefore
//! requests tickets for a few workers as soon as it may start, and uses its
//! tickets for all of its tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
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
/// Delay before a step without a valid ticket sends the next request.
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

/// Tickets of all steps that need them, and the steps with a call in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: BTreeMap<StepKey, StepTickets>,
    in_flight: BTreeSet<StepKey>,
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    granted: BTreeMap<WorkerId, Ticket>,
    /// Workers named in earlier requests. They are not named again until no
    /// others are left: the service answers the same for them.
    requested: BTreeSet<WorkerId>,
    /// Earliest time of the next request.
    retry_at: TimeMs,
}

#[derive(Clone, Debug)]
struct Ticket {
    value: String,
    usable_until: TimeMs,
}

impl Tickets {
    /// The valid ticket of a worker for a step.
    pub(crate) fn get(&self, now: TimeMs, step: StepKey, worker: WorkerId) -> Option<&str> {
        let ticket = self.steps.get(&step)?.granted.get(&worker)?;
        (now < ticket.usable_until).then_some(ticket.value.as_str())
    }

    /// Discards the tickets of a job.
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

    /// The requests to send to the advice service now.
    pub fn advice_requests(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
    ) -> Vec<AdviceRequest> {
        let mut requests = Vec::new();
        for step in self.steps_without_tickets(now, now_unix_ms, catalog) {
            if self.tickets.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
                break;
            }
            let Some(job) = self.jobs.get(step.job) else { continue };
            let (key, pool) = (job.key, job.pool);
            let known = self.tickets.steps.get(&step);
            let candidates = self.schedulable_workers(now, pool).into_iter();
            let workers: Vec<WorkerId> = candidates
                .filter(|id| known.is_none_or(|known| !known.requested.contains(id)))
                .take(MAX_WORKERS_PER_CALL)
                .collect();
            let state = self.tickets.steps.entry(step).or_default();
            if workers.is_empty() {
                // All schedulable workers were named in earlier requests, and no
                // ticket is valid any more.
                state.requested.clear();
                state.retry_at = now.plus(RETRY_DELAY_MS);
                continue;
            }
            state.requested.extend(&workers);
            self.tickets.in_flight.insert(step);
            let workers = workers.iter().map(|id| self.worker_name(*id).to_owned()).collect();
            requests.push(AdviceRequest { step, job: key, workers });
        }
        requests
    }

    /// Startable steps without a valid ticket whose next request is due.
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
                if self.tickets.in_flight.contains(&step) {
                    continue;
                }
                let known = self.tickets.steps.get(&step);
                let is_served = known.is_some_and(|known| {
                    now < known.retry_at
                        || known.granted.values().any(|ticket| now < ticket.usable_until)
                });
                if !is_served {
                    steps.push(step);
                }
            }
        }
        steps
    }

    /// Handles the answer to a request; none if the call failed.
    pub fn handle_advice_answer(
        &mut self,
        now: TimeMs,
        request: &AdviceRequest,
        answer: Option<&AdviceAnswer>,
    ) {
        self.tickets.in_flight.remove(&request.step);
        // The arena may have reused the key for another job since the request.
        let job = self.jobs.get(request.step.job);
        if job.is_none_or(|job| job.key != request.job) {
            return;
        }
        let Some(answer) = answer else {
            if let Some(state) = self.tickets.steps.get_mut(&request.step) {
                state.requested.clear();
                state.retry_at = now.plus(RETRY_DELAY_MS);
            }
            return;
        };
        let usable_until = answer.sent_at.plus(answer.valid_ms * TICKET_USE_PERCENT / 100);
        for (name, value) in &answer.granted {
            let worker = self.worker_id(name);
            let ticket = Ticket { value: value.clone(), usable_until };
            let state = self.tickets.steps.entry(request.step).or_default();
            state.granted.insert(worker, ticket);
        }
    }
}
