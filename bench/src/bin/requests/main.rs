//! Measures the overhead that one daemon adds to a request: latency compared with
//! direct requests to the same upstreams in the same run, and processor time. All
//! traffic is on loopback, and the arguments bound it.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use cowslipport_standin::upstream_model::UpstreamSettings;

mod load;
mod platform;

/// Measures the overhead that one daemon adds to a request.
#[derive(Debug, Parser)]
#[command(name = "cowslipport-requests", version)]
struct Arguments {
    /// Requests per second on each path, direct and through the daemon.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rate: u32,
    /// Seconds of load.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=60))]
    seconds: u32,
    /// Service time of the upstreams in milliseconds.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=1000))]
    service_ms: u64,
    /// Upstream instances.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=50))]
    upstreams: u32,
}

/// Reasons why there is no report.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("cannot write the report: {0}")]
    Write(#[from] std::io::Error),
    #[error("cannot start the platform: {0}")]
    Platform(#[from] cowslipport_standin::serve::Error),
    #[error("cannot start the daemon: {0}")]
    Daemon(#[from] cowslipport_daemon::app::StartError),
    #[error("cannot commit the manifest: {0}")]
    Commit(String),
    #[error("a thread ended before it was ready")]
    Thread,
    #[error("cannot read the processor time of the daemon")]
    ProcessorTime,
}

fn main() -> Result<(), Error> {
    let arguments = Arguments::parse();
    let settings = UpstreamSettings { service_ms: arguments.service_ms, ..Default::default() };
    let upstreams = platform::start_upstreams(arguments.upstreams, settings)?;
    let addresses = upstreams.upstreams.iter().map(SocketAddr::to_string).collect();
    let daemon = platform::start_daemon(upstreams.log, addresses)?;
    let report = actix_rt::System::new().block_on(async {
        platform::prepare(&daemon).await?;
        let idle = load::processor_ns(&daemon)?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle_ns_per_s = (load::processor_ns(&daemon)? - idle) / 3;
        let settings = load::LoadSettings { rate: arguments.rate, seconds: arguments.seconds };
        load::measure(settings, &daemon, &upstreams.upstreams, idle_ns_per_s).await
    })?;
    writeln!(std::io::stdout(), "{report}")?;
    Ok(())
}
