//! Sends the load and measures latency and processor time.

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

/// Rate and duration of the load.
#[derive(Clone, Copy)]
pub(crate) struct LoadSettings {
    pub(crate) rate: u32,
    pub(crate) seconds: u32,
}

/// The path of a request. The variant names are printed in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Path {
    /// To an upstream on a kept-alive connection.
    Direct,
    /// To an upstream on a new connection.
    DirectNew,
    /// Through the daemon on a kept-alive connection.
    Daemon,
}

const PATHS: [Path; 3] = [Path::Direct, Path::DirectNew, Path::Daemon];

struct Sample {
    path: Path,
    micros: u64,
    ok: bool,
}

/// Latencies of one path.
struct Latency {
    path: Path,
    requests: u64,
    failed: u64,
    p50_us: u64,
    p99_us: u64,
}

/// Measured figures of one run.
pub(crate) struct Report {
    latencies: Vec<Latency>,
    processor_us: f64,
    idle_us_per_s: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for latency in &self.latencies {
            let Latency { path, requests, failed, p50_us, p99_us } = latency;
            writeln!(
                f,
                "{path:?}: {requests} requests, {failed} failed, p50 {p50_us} us, p99 {p99_us} us"
            )?;
        }
        writeln!(f, "processor time of the daemon: {:.0} us a request", self.processor_us)?;
        write!(f, "processor time of the daemon when idle: {} us a second", self.idle_us_per_s)
    }
}

/// Processor time of the daemon's thread in nanoseconds.
pub(crate) fn processor_ns(daemon: &DaemonThread) -> Result<u64, Error> {
    let stat_path = format!("/proc/self/task/{}/schedstat", daemon.thread_id);
    let text = std::fs::read_to_string(stat_path)?;
    let first = text.split(' ').next().and_then(|value| value.parse().ok());
    first.ok_or(Error::ProcessorTime)
}

/// Sends requests at a fixed rate, alternating between the paths. A request does
/// not wait for the one before it, so that a stall of the receiver shows in the
/// latencies.
pub(crate) async fn measure(
    settings: LoadSettings,
    daemon: &DaemonThread,
    upstreams: &[SocketAddr],
    idle_ns_per_s: u64,
) -> Result<Report, Error> {
    let (samples, mut results) = mpsc::channel(4096);
    let client = Client::default();
    let before = processor_ns(daemon)?;
    let start = Instant::now();
    let interval = Duration::from_secs(1) / (settings.rate * PATHS.len() as u32);
    for number in 0..settings.rate * settings.seconds * PATHS.len() as u32 {
        let due = start + interval * number;
        tokio::time::sleep_until(due).await;
        // Latency counts from the actual send time: the timer wakes up to a
        // millisecond late, and the delay differs between the paths.
        let sent = Instant::now();
        let path = PATHS[number as usize % PATHS.len()];
        let upstream = upstreams[number as usize / PATHS.len() % upstreams.len()];
        let (client, samples, callers) = (client.clone(), samples.clone(), daemon.callers);
        actix_rt::spawn(async move {
            let ok = send(&client, path, upstream, callers).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = samples.send(Sample { path, micros, ok }).await;
        });
    }
    drop(samples);
    let mut collected = Vec::new();
    while let Some(sample) = results.recv().await {
        collected.push(sample);
    }
    let idle_ns = idle_ns_per_s * start.elapsed().as_secs();
    let used_ns = (processor_ns(daemon)? - before).saturating_sub(idle_ns);
    let requests = settings.rate * settings.seconds;
    let processor_us = used_ns as f64 / 1000.0 / f64::from(requests);
    let latencies = PATHS.iter().map(|path| latency(*path, &collected)).collect();
    Ok(Report { latencies, processor_us, idle_us_per_s: idle_ns_per_s / 1000 })
}

fn latency(path: Path, samples: &[Sample]) -> Latency {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are valid");
    let of_path = || samples.iter().filter(|sample| sample.path == path);
    for sample in of_path() {
        histogram.record(sample.micros).expect("the histogram grows");
    }
    Latency {
        path,
        requests: of_path().count() as u64,
        failed: of_path().filter(|sample| !sample.ok).count() as u64,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

async fn send(client: &Client, path: Path, upstream: SocketAddr, callers: SocketAddr) -> bool {
    let request = match path {
        Path::Direct => client.get(format!("http://{upstream}/slots")),
        Path::DirectNew => client.get(format!("http://{upstream}/slots")).force_close(),
        Path::Daemon => {
            client.get(format!("http://{callers}/pools/booking/slots")).bearer_auth(KEY)
        }
    };
    match request.send().await {
        Ok(mut answer) => answer.body().await.is_ok() && answer.status().is_success(),
        Err(_) => false,
    }
}
