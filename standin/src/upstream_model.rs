//! State of an upstream instance: slots, queued requests and injected faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::time::TimeMs;

use crate::history::RunCounts;

/// Settings of an upstream instance.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSettings {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are
    /// refused.
    pub max_waiting: usize,
    /// Service time of a request that does not specify one.
    pub service_ms: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self { slots: 8, max_waiting: 52, service_ms: 50 }
    }
}

/// Fault of the response to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseFault {
    /// The response is complete and on time.
    #[default]
    None,
    /// The response is complete, but delayed beyond the service time.
    Delayed {
        /// Time by which the response is delayed.
        by_ms: u64,
    },
    /// The connection closes after half of the length that the head declares.
    Truncated,
    /// The response is sent twice on the connection.
    Duplicated,
    /// The connection closes without a response after the request has run.
    CloseAfterRun,
    /// The connection closes without a response, and the request is not run.
    CloseBeforeRun,
}

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFaults {
    /// Fault of the responses.
    pub response: ResponseFault,
    /// Number of next responses that have the fault; `None` means all.
    pub faulty_responses: Option<u32>,
    /// Refuses every request with status 503 and does not run it.
    pub refuse: bool,
    /// Refuses requests as `refuse` does, but with `Connection: close`, as if
    /// the instance were shutting down.
    pub shutting_down: bool,
}

/// Identifies a request within one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Decision about a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now or as soon as a slot is free.
    Accepted(RequestId),
    /// The request is refused and not run.
    Refused,
    /// The request is refused and not run because the instance is shutting
    /// down.
    ShuttingDown,
    /// The connection of the request closes, and the request is not run.
    ConnectionClosed,
}

/// A change of the state of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request got a slot and runs.
    Started {
        /// Idempotency key of the request.
        key: String,
    },
    /// The request has run.
    Finished {
        /// The request.
        id: RequestId,
        /// Idempotency key of the request.
        key: String,
        /// Fault of the response.
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
    /// Creates an instance without requests.
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

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: UpstreamFaults) {
        self.faults = faults;
    }

    /// Returns the run counts by idempotency key. Requests without a key are
    /// counted under "".
    pub fn run_counts(&self) -> &BTreeMap<String, RunCounts> {
        &self.run_counts
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that were refused, or whose connection
    /// was closed before they ran.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Decides about a request that arrives. `service_ms` overrides the service
    /// time of the settings.
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

    /// Returns the time at which the next request ends, or `None` if none runs.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.running.first_key_value().map(|((at, _), _)| *at)
    }

    /// Finishes the requests that are due by `now` and starts waiting ones.
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

    /// Returns the events since the last call, in order.
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
            let delay_ms = match request.response {
                ResponseFault::Delayed { by_ms } => by_ms,
                ResponseFault::None
                | ResponseFault::Truncated
                | ResponseFault::Duplicated
                | ResponseFault::CloseAfterRun
                | ResponseFault::CloseBeforeRun => 0,
            };
            self.run_counts.entry(request.key.clone()).or_default().started += 1;
            self.events.push(RequestEvent::Started { key: request.key.clone() });
            let end = now.plus(request.service_ms).plus(delay_ms);
            self.running.insert((end, request.id), request);
        }
    }
}
