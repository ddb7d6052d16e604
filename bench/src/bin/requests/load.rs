//! The load and its figures.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::Error;
use crate::platform::DaemonThread;
use crate::platform::KEY;

/// How much load.
#[derive(Clone, Copy)]
pub(crate) struct Run {
    pub(crate) rate: u32,
    pub(crate) seconds: u32,
}

/// The way of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    /// To an upstream on a connection that is kept.
    Direct,
    /// To an upstream on a new connection.
    DirectNew,
    /// Through the daemon on a connection that is kept.
    Daemon,
}

const WAYS: [Way; 3] = [Way::Direct, Way::DirectNew, Way::Daemon];

struct Sample {
    way: Way,
    micros: u64,
    ok: bool,
}

/// Latencies of one way in microseconds.
struct Latency {
    way: Way,
    requests: u64,
    failed: u64,
    p50_us: u64,
    p99_us: u64,
}

/// The figures of a run.
pub(crate) struct Report {
    latencies: Vec<Latency>,
    processor_us: f64,
    idle_us_per_s: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for latency in &self.latencies {
            let Latency { way, requests, failed, p50_us, p99_us } = latency;
            writeln!(
                f,
                "{way:?}: {requests} requests, {failed} failed, p50 {p50_us} us, p99 {p99_us} us"
            )?;
        }
        writeln!(f, "processor time of the daemon: {:.0} us a request", self.processor_us)?;
        write!(f, "processor time of the daemon when idle: {} us a second", self.idle_us_per_s)
    }
}

/// Processor time of the daemon's thread in nanoseconds.
pub(crate) fn processor_ns(daemon: &DaemonThread) -> Result<u64, Error> {
    let path = format!("/proc/self/task/{}/schedstat", daemon.thread);
    let text = std::fs::read_to_string(path)?;
    let first = text.split(' ').next().and_then(|value| value.parse().ok());
    first.ok_or(Error::ProcessorTime)
}

/// Sends requests at a fixed rate, in turn on each way. A request does not wait
/// for the one before it, so a stall of the other side is not hidden.
pub(crate) async fn measure(
    run: Run,
    daemon: &DaemonThread,
    upstreams: &[SocketAddr],
    idle_ns_per_s: u64,
) -> Result<Report, Error> {
    let (samples, mut results) = mpsc::channel(4096);
    let client = Client::default();
    let before = processor_ns(daemon)?;
    let start = Instant::now();
    let step = Duration::from_secs(1) / (run.rate * WAYS.len() as u32);
    for number in 0..run.rate * run.seconds * WAYS.len() as u32 {
        let due = start + step * number;
        tokio::time::sleep_until(due).await;
        // The timer wakes up to a millisecond late, by the phase of each way.
        let sent = Instant::now();
        let way = WAYS[number as usize % WAYS.len()];
        let upstream = upstreams[number as usize / WAYS.len() % upstreams.len()];
        let (client, samples, callers) = (client.clone(), samples.clone(), daemon.callers);
        actix_rt::spawn(async move {
            let ok = send(&client, way, upstream, callers).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = samples.send(Sample { way, micros, ok }).await;
        });
    }
    drop(samples);
    let mut taken = Vec::new();
    while let Some(sample) = results.recv().await {
        taken.push(sample);
    }
    let idle_ns = idle_ns_per_s * start.elapsed().as_secs();
    let used_ns = (processor_ns(daemon)? - before).saturating_sub(idle_ns);
    let requests = run.rate * run.seconds;
    let processor_us = used_ns as f64 / 1000.0 / f64::from(requests);
    let latencies = WAYS.iter().map(|way| latency(*way, &taken)).collect();
    Ok(Report { latencies, processor_us, idle_us_per_s: idle_ns_per_s / 1000 })
}

fn latency(way: Way, samples: &[Sample]) -> Latency {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are valid");
    let of_way = || samples.iter().filter(|sample| sample.way == way);
    for sample in of_way() {
        histogram.record(sample.micros).expect("the histogram grows");
    }
    Latency {
        way,
        requests: of_way().count() as u64,
        failed: of_way().filter(|sample| !sample.ok).count() as u64,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

async fn send(client: &Client, way: Way, upstream: SocketAddr, callers: SocketAddr) -> bool {
    let request = match way {
        Way::Direct => client.get(format!("http://{upstream}/slots")),
        Way::DirectNew => client.get(format!("http://{upstream}/slots")).force_close(),
        Way::Daemon => client.get(format!("http://{callers}/pools/booking/slots")).bearer_auth(KEY),
    };
    match request.send().await {
        Ok(mut answer) => answer.body().await.is_ok() && answer.status().is_success(),
        Err(_) => false,
    }
}
