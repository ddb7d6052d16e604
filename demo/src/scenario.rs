//! The steps of the demo, in order.

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
use crate::traffic::API_KEY;
use crate::traffic::Traffic;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const TIME_BEFORE_REMOVAL: Duration = Duration::from_secs(5);
const TIME_OUT_OF_SERVICE: Duration = Duration::from_secs(6);
const TIME_AFTER_RETURN: Duration = Duration::from_secs(6);

/// Why the demo failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DemoError {
    #[error("cannot read {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("the manifest is not valid:\n{0}")]
    Manifest(#[from] Findings),
    #[error("cannot start a stand-in: {0}")]
    Standin(#[from] cowslipport_standin::serve::Error),
    #[error("cannot start an entry process: {0}")]
    Daemon(#[from] StartError),
    #[error("operator call failed: {}", .0.message())]
    Operator(#[from] tonic::Status),
    #[error("the manifest was not recorded: {0:?}")]
    NotRecorded(Box<raw::CommitReply>),
    #[error("the fleet is not ready after {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    #[error("cannot start logging: {0}")]
    Log(io::Error),
}

/// Settings of the demo.
pub(crate) struct Scenario {
    /// Manifest to commit.
    pub(crate) manifest: PathBuf,
    /// Whether the fleet keeps running after the report.
    pub(crate) stay: bool,
    /// Whether the processes write log lines to the standard error.
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
        let mut operator = Operator::for_process(processes[0].addresses().peers);
        wait_for_members(&mut operator, processes.len()).await?;
        let commit = operator.commit(&manifest).await?;
        if commit.result() != CommitResult::Recorded {
            return Err(DemoError::NotRecorded(Box::new(commit)));
        }
        let commit_in_force = operator.wait_in_force(commit.offset).await?;
        wait_until_ready(&entries).await?;
        println!("3 processes, {} VMs; manifest in force", platform.vms.len());
        let traffic = Traffic::start(&entries);
        tokio::time::sleep(TIME_BEFORE_REMOVAL).await;
        let out = operator.set_data_centre("dc1", false).await?;
        let out_in_force = operator.wait_in_force(out.offset).await?;
        println!("data centre dc1 taken out");
        tokio::time::sleep(TIME_OUT_OF_SERVICE).await;
        let back = operator.set_data_centre("dc1", true).await?;
        let back_in_force = operator.wait_in_force(back.offset).await?;
        println!("data centre dc1 is back");
        tokio::time::sleep(TIME_AFTER_RETURN).await;
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
        self.shut_down(processes, platform).await;
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

    async fn shut_down(&self, processes: Vec<Daemon>, platform: Fleet) {
        if self.stay {
            report::print_stay(&processes, API_KEY);
            // If the signal handler cannot be installed, the demo ends at once.
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
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if operator.status().await?.members.len() == count {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(DemoError::NotReady)
}

/// Waits until every process serves slots and accepts jobs.
async fn wait_until_ready(entries: &[SocketAddr]) -> Result<(), DemoError> {
    let client = Client::default();
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let mut ready = true;
        for entry in entries {
            let request =
                client.get(format!("http://{entry}/pools/web/slots")).bearer_auth(API_KEY);
            let slots_served = request.send().await.is_ok_and(|reply| reply.status().is_success());
            let job = serde_json::json!({
                "name": "first", "pool": "batch", "cpu_milli": 1_000, "memory_bytes": 1_000_000,
                "payload": "run_ms=100",
            });
            let request = client.post(format!("http://{entry}/jobs")).bearer_auth(API_KEY);
            let job_accepted =
                request.send_json(&job).await.is_ok_and(|reply| reply.status().is_success());
            ready &= slots_served && job_accepted;
        }
        if ready {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(DemoError::NotReady)
}
