//! What happens in the demo, in order.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use awc::Client;
use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::StartError;
use cowslipport_daemon::logging;
use cowslipport_daemon::logging::Destination;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::findings::Findings;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::settings::Logging;
use cowslipport_standin::fleet::Fleet;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::time::Instant;

use crate::fleet;
use crate::operator::Operator;
use crate::report;
use crate::report::Report;
use crate::traffic::KEY;
use crate::traffic::Traffic;

const READY_LIMIT: Duration = Duration::from_secs(30);
const BEFORE: Duration = Duration::from_secs(5);
const OUT: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(6);

/// Why the demo ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DemoError {
    #[error("cannot read {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("the manifest is not valid:\n{0}")]
    Manifest(#[from] Findings),
    #[error("a stand-in does not start: {0}")]
    Standin(#[from] cowslipport_standin::serve::Error),
    #[error("a process does not start: {0}")]
    Daemon(#[from] StartError),
    #[error("a call of the operator failed: {}", .0.message())]
    Operator(#[from] tonic::Status),
    #[error("the manifest was not recorded: {0:?}")]
    NotRecorded(Box<raw::CommitReply>),
    #[error("the fleet is not ready after {} s", READY_LIMIT.as_secs())]
    NotReady,
    #[error("the log cannot be written: {0}")]
    Log(io::Error),
}

/// What is run.
pub(crate) struct Scenario {
    /// Manifest that is committed.
    pub(crate) manifest: PathBuf,
    /// Whether the fleet stays up.
    pub(crate) stay: bool,
    /// Whether the processes log.
    pub(crate) log: bool,
}

impl Scenario {
    /// Runs the demo from start to report.
    pub(crate) async fn run(self) -> Result<(), DemoError> {
        let manifest = self.read_manifest()?;
        let (logger, log_thread) = self.logger()?;
        let platform = fleet::start_platform().await?;
        let processes = start_processes(&platform, &logger).await?;
        let entries: Vec<SocketAddr> =
            processes.iter().map(|process| process.addresses().callers).collect();
        let mut operator = Operator::at(processes[0].addresses().peers);
        wait_for_members(&mut operator, processes.len()).await?;
        let commit = operator.commit(&manifest).await?;
        if commit.result() != CommitResult::Recorded {
            return Err(DemoError::NotRecorded(Box::new(commit)));
        }
        let commit_in_force = operator.wait_in_force(commit.offset).await?;
        wait_until_ready(&entries).await?;
        println!("3 processes, {} VMs; manifest in force", platform.vms.len());
        let traffic = Traffic::start(&entries);
        tokio::time::sleep(BEFORE).await;
        let out = operator.set_data_centre("dc1", false).await?;
        let out_in_force = operator.wait_in_force(out.offset).await?;
        println!("data centre dc1 taken out");
        tokio::time::sleep(OUT).await;
        let back = operator.set_data_centre("dc1", true).await?;
        let back_in_force = operator.wait_in_force(back.offset).await?;
        println!("data centre dc1 is back");
        tokio::time::sleep(AFTER).await;
        let counts = traffic.stop().await;
        let report = Report {
            commit_in_force,
            out_in_force,
            back_in_force,
            counts,
            summary: platform.summary().await,
            status: operator.status().await?,
            job: operator.explain("job", "alpha/report-5").await?,
        };
        report::print(&report);
        self.end(processes, platform).await;
        if let Some(log_thread) = log_thread {
            log_thread.finish();
        }
        Ok(())
    }

    fn read_manifest(&self) -> Result<Manifest, DemoError> {
        let text = fs::read_to_string(&self.manifest)
            .map_err(|source| DemoError::Read { path: self.manifest.clone(), source })?;
        Ok(Manifest::from_toml(&text)?)
    }

    fn logger(&self) -> Result<(Logger, Option<logging::LogThread>), DemoError> {
        if !self.log {
            return Ok((Logger::root(Discard, o!()), None));
        }
        let (logger, thread) =
            logging::start(&Logging::default(), Destination::Stderr).map_err(DemoError::Log)?;
        Ok((logger, Some(thread)))
    }

    async fn end(&self, processes: Vec<Daemon>, platform: Fleet) {
        if self.stay {
            report::print_stay(&processes, KEY);
            // An error means that no signal will come; the demo ends then.
            let _ = tokio::signal::ctrl_c().await;
        }
        for process in processes {
            process.stop().await;
        }
        platform.shutdown().await;
    }
}

async fn start_processes(platform: &Fleet, logger: &Logger) -> Result<Vec<Daemon>, DemoError> {
    let mut processes = Vec::new();
    for (name, data_centre) in [("entry-1", "dc1"), ("entry-2", "dc2"), ("entry-3", "dc2")] {
        processes.push(fleet::start_process(name, data_centre, platform, logger.clone()).await?);
    }
    Ok(processes)
}

async fn wait_for_members(operator: &mut Operator, count: usize) -> Result<(), DemoError> {
    let deadline = Instant::now() + READY_LIMIT;
    while Instant::now() < deadline {
        if operator.status().await?.members.len() == count {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(DemoError::NotReady)
}

/// Waits until requests and jobs are taken through every process.
async fn wait_until_ready(entries: &[SocketAddr]) -> Result<(), DemoError> {
    let client = Client::default();
    let deadline = Instant::now() + READY_LIMIT;
    while Instant::now() < deadline {
        let mut ready = true;
        for entry in entries {
            let request = client.get(format!("http://{entry}/pools/web/slots")).bearer_auth(KEY);
            let served = request.send().await.is_ok_and(|reply| reply.status().is_success());
            let job = serde_json::json!({
                "name": "first", "pool": "batch", "cpu_milli": 1_000, "memory_bytes": 1_000_000,
                "payload": "run_ms=100",
            });
            let request = client.post(format!("http://{entry}/jobs")).bearer_auth(KEY);
            let taken =
                request.send_json(&job).await.is_ok_and(|reply| reply.status().is_success());
            ready &= served && taken;
        }
        if ready {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(DemoError::NotReady)
}
