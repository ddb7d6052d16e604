//! State of an upstream instance: slots, waiting requests and faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::time::TimeMs;

use crate::history::RunCounts;

/// What an instance can do.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Requests that are served at the same time.
    pub slots: usize,
    /// Requests that wait for a slot; more are refused.
    pub max_waiting: usize,
    /// Service time of a request that does not say one.
    pub service_ms: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self { slots: 8, max_waiting: 52, service_ms: 50 }
    }
}

/// How an instance answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// Whole and in time.
    #[default]
    None,
    /// Whole, but later than the service time.
    Delayed {
        /// By how much.
        by_ms: u64,
    },
    /// The head says a length, and the connection closes half way.
    Truncated,
    /// The answer is sent twice on the connection.
    Duplicated,
    /// The connection closes without an answer, after the request was run.
    CloseAfterRun,
    /// The connection closes without an answer, before the request is run.
    CloseBeforeRun,
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFaults {
    /// How requests are answered.
    pub response: ResponseFault,
    /// Number of requests that are answered so, all if none.
    pub faulty_responses: Option<u32>,
    /// Every request is refused with 503 and not run.
    pub refuse: bool,
    /// As `refuse`, with `Connection: close`: the instance is leaving.
    pub shutting_down: bool,
}

/// Number of a request in one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now or when a slot is free.
    Accepted(RequestId),
    /// It is refused and not run.
    Refused,
    /// It is refused and not run, as the instance is leaving.
    ShuttingDown,
    /// Its connection closes; it is not run.
    ConnectionClosed,
}

/// A change of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// It has a slot and runs.
    Started {
        /// Idempotency key of the request.
        key: String,
    },
    /// It has run.
    Finished {
        /// The request.
        id: RequestId,
        /// Idempotency key of the request.
        key: String,
        /// How it is answered.
        response: ResponseFault,
    },
}

#[derive(Debug)]
struct Accepted {
    id: RequestId,
    key: String,
    service_ms: u64,
    response: ResponseFault,
}

/// One upstream instance.
#[derive(Debug)]
pub struct UpstreamModel {
    settings: UpstreamSettings,
    faults: UpstreamFaults,
    next_id: u64,
    waiting: VecDeque<Accepted>,
    /// Running requests by the time at which they end.
    running: BTreeMap<(TimeMs, RequestId), Accepted>,
    run_counts: BTreeMap<String, RunCounts>,
    events: Vec<RequestEvent>,
    refused: u64,
}

impl UpstreamModel {
    /// An instance without requests.
    pub fn new(settings: UpstreamSettings) -> Self {
        Self {
            settings,
            faults: UpstreamFaults::default(),
            next_id: 0,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            run_counts: BTreeMap::new(),
            events: Vec::new(),
            refused: 0,
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: UpstreamFaults) {
        self.faults = faults;
    }

    /// Run counts by idempotency key. Requests without a key count under "".
    pub fn run_counts(&self) -> &BTreeMap<String, RunCounts> {
        &self.run_counts
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// A request arrives.
    pub fn admit(&mut self, now: TimeMs, key: &str, service_ms: Option<u64>) -> Admission {
        self.advance(now);
        if self.faults.shutting_down || self.faults.refuse || self.is_full() {
            self.refused += 1;
            return if self.faults.shutting_down {
                Admission::ShuttingDown
            } else {
                Admission::Refused
            };
        }
        let response = self.next_response();
        if response == ResponseFault::CloseBeforeRun {
            self.refused += 1;
            return Admission::ConnectionClosed;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let service_ms = service_ms.unwrap_or(self.settings.service_ms);
        self.waiting.push_back(Accepted { id, key: key.to_owned(), service_ms, response });
        self.fill_slots(now);
        Admission::Accepted(id)
    }

    /// When the next request ends, if any runs.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.running.first_key_value().map(|((at, _), _)| *at)
    }

    /// Ends the requests that end until `now`.
    pub fn advance(&mut self, now: TimeMs) {
        while let Some(entry) = self.running.first_entry() {
            let at = entry.key().0;
            if at > now {
                break;
            }
            let Accepted { id, key, response, service_ms: _ } = entry.remove();
            self.run_counts.entry(key.clone()).or_default().finished += 1;
            self.events.push(RequestEvent::Finished { id, key, response });
            self.fill_slots(at);
        }
    }

    /// Takes the events since the last call, in their order.
    pub fn take_events(&mut self) -> Vec<RequestEvent> {
        std::mem::take(&mut self.events)
    }

    fn is_full(&self) -> bool {
        self.running.len() >= self.settings.slots && self.waiting.len() >= self.settings.max_waiting
    }

    fn next_response(&mut self) -> ResponseFault {
        match &mut self.faults.faulty_responses {
            None => self.faults.response,
            Some(0) => ResponseFault::None,
            Some(left) => {
                *left -= 1;
                self.faults.response
            }
        }
    }

    fn fill_slots(&mut self, now: TimeMs) {
        while self.running.len() < self.settings.slots {
            let Some(request) = self.waiting.pop_front() else { break };
            let late_ms = match request.response {
                ResponseFault::Delayed { by_ms } => by_ms,
                ResponseFault::None
                | ResponseFault::Truncated
                | ResponseFault::Duplicated
                | ResponseFault::CloseAfterRun
                | ResponseFault::CloseBeforeRun => 0,
            };
            self.run_counts.entry(request.key.clone()).or_default().started += 1;
            self.events.push(RequestEvent::Started { key: request.key.clone() });
            let end = now.plus(request.service_ms).plus(late_ms);
            self.running.insert((end, request.id), request);
        }
    }
}
