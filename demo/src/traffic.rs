//! The load of the demo: a fixed number of callers and one submitter of jobs,
//! which run until they are stopped.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

/// API key of the organisation `alpha` in the example manifest.
pub(crate) const API_KEY: &str = "demo-alpha-example-key";

const CALLERS: usize = 6;
const MAX_LATENCY_US: u64 = 60_000_000;
const CALL_PAUSE: Duration = Duration::from_millis(20);
const SUBMIT_PAUSE: Duration = Duration::from_millis(250);

/// Counts of the callers and the submitter.
#[derive(Debug)]
pub(crate) struct Counts {
    /// Requests that were answered by an upstream.
    pub(crate) answered: u64,
    /// Requests that were refused and not run.
    pub(crate) refused: u64,
    /// Requests with any other answer, or none.
    pub(crate) failed: u64,
    /// Jobs that were accepted.
    pub(crate) jobs: u64,
    /// Jobs that were not accepted.
    pub(crate) jobs_refused: u64,
    /// Latency of answered requests in microseconds.
    pub(crate) latency_us: Histogram<u64>,
}

enum Observation {
    Answered(Duration),
    Refused,
    Failed,
    JobAccepted,
    JobRefused,
}

/// The running callers and the submitter.
pub(crate) struct Traffic {
    stop: watch::Sender<bool>,
    observations: mpsc::Receiver<Observation>,
}

impl Traffic {
    /// Starts callers, spread over all processes, and one submitter.
    pub(crate) fn start(entries: &[SocketAddr]) -> Self {
        let (stop, stopped) = watch::channel(false);
        let (sender, observations) = mpsc::channel(1024 * 64);
        for index in 0..CALLERS {
            let entry = entries[index % entries.len()];
            actix_rt::spawn(run_caller(entry, sender.clone(), stopped.clone()));
        }
        actix_rt::spawn(run_submitter(entries.to_vec(), sender, stopped));
        Self { stop, observations }
    }

    /// Stops the traffic and returns its counts.
    pub(crate) async fn stop(mut self) -> Counts {
        // All callers and the submitter may have ended already.
        let _ = self.stop.send(true);
        let mut counts = Counts {
            answered: 0,
            refused: 0,
            failed: 0,
            jobs: 0,
            jobs_refused: 0,
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("3 significant digits are supported"),
        };
        while let Some(observation) = self.observations.recv().await {
            match observation {
                Observation::Answered(time) => {
                    counts.answered += 1;
                    let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                    counts.latency_us.saturating_record(time_us);
                }
                Observation::Refused => counts.refused += 1,
                Observation::Failed => counts.failed += 1,
                Observation::JobAccepted => counts.jobs += 1,
                Observation::JobRefused => counts.jobs_refused += 1,
            }
        }
        counts
    }
}

async fn run_caller(
    entry: SocketAddr,
    sender: mpsc::Sender<Observation>,
    stopped: watch::Receiver<bool>,
) {
    let client = Client::default();
    let url = format!("http://{entry}/pools/web/slots");
    while !*stopped.borrow() {
        let start = Instant::now();
        let observation = match client.get(&url).bearer_auth(API_KEY).send().await {
            Ok(mut response) => match (response.status(), response.body().await) {
                (StatusCode::OK, Ok(_)) => Observation::Answered(start.elapsed()),
                (_, Ok(body)) if is_not_run(&body) => Observation::Refused,
                (_, Ok(_) | Err(_)) => Observation::Failed,
            },
            Err(_) => Observation::Failed,
        };
        // The receiver is dropped only once the counts are no longer needed.
        let _ = sender.send(observation).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

fn is_not_run(body: &[u8]) -> bool {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    body["not_run"] == serde_json::Value::Bool(true)
}

async fn run_submitter(
    entries: Vec<SocketAddr>,
    sender: mpsc::Sender<Observation>,
    stopped: watch::Receiver<bool>,
) {
    let client = Client::default();
    let mut number = 0_usize;
    while !*stopped.borrow() {
        number += 1;
        let body = serde_json::json!({
            "name": format!("report-{number}"),
            "pool": "batch",
            "cpu_milli": 4_000,
            "memory_bytes": 1_000_000_000_u64,
            "urgent": number.is_multiple_of(5),
            "payload": "run_ms=2000",
            "repeatable": true,
        });
        let url = format!("http://{}/jobs", entries[number % entries.len()]);
        let reply = client.post(url).bearer_auth(API_KEY).send_json(&body).await;
        let accepted = reply.is_ok_and(|reply| reply.status().is_success());
        let observation = if accepted { Observation::JobAccepted } else { Observation::JobRefused };
        let _ = sender.send(observation).await;
        tokio::time::sleep(SUBMIT_PAUSE).await;
    }
}
