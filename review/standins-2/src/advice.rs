//! Stand-in for the service that decides which minions may run a step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::Response;
use crate::json;
use crate::json::Value;
use crate::json::object;
use crate::record::Record;

/// The service. The minions that may run a step do not change.
pub struct Advice {
    pub decision_ms: u64,
    pub period_ms: u64,
    pub valid_ms: u64,
    /// Ids of the minions that may run each step.
    pub allowed: BTreeSet<String>,
    /// Tickets with the end of their validity.
    tickets: Mutex<BTreeMap<String, Instant>>,
    record: Record,
}

impl Advice {
    pub fn new(
        decision_ms: u64,
        period_ms: u64,
        valid_ms: u64,
        allowed: BTreeSet<String>,
        record: Record,
    ) -> Self {
        Self { decision_ms, period_ms, valid_ms, allowed, tickets: Mutex::default(), record }
    }

    /// Answers a call; calls wait for each other.
    pub fn handle(&self, request: &Request) -> Response {
        let mut tickets = self.tickets.lock().unwrap();
        let body = json::parse(request.text()).unwrap_or(Value::Null);
        let workers = body.get("workers").list();
        let phase = body.get("phase").text();
        if workers.len() > 100 {
            return Response::new(400, "{}");
        }
        thread::sleep(Duration::from_millis(
            self.decision_ms + self.period_ms * workers.len() as u64,
        ));
        let until = Instant::now() + Duration::from_millis(self.valid_ms);
        let mut granted = Vec::new();
        for worker in workers.iter().map(Value::text) {
            if self.allowed.contains(worker) {
                let ticket = ticket_of(phase, worker);
                tickets.insert(ticket.clone(), until);
                granted.push(Value::List(vec![worker.into(), ticket.into()]));
            }
        }
        self.record.line(format!(
            "ADVICE {phase} asked={} granted={}",
            workers.len(),
            granted.len()
        ));
        let reply = object(&[("granted", granted.into()), ("valid_ms", self.valid_ms.into())]);
        Response::new(200, reply.to_string())
    }

    /// Whether a start of a step on a minion carries a valid ticket.
    pub fn is_valid(&self, phase: &str, minion: &str, ticket: &str) -> bool {
        let tickets = self.tickets.lock().unwrap();
        ticket == ticket_of(phase, minion)
            && tickets.get(ticket).is_some_and(|until| Instant::now() < *until)
    }
}

fn ticket_of(phase: &str, minion: &str) -> String {
    format!("t-{phase}-{minion}")
}
