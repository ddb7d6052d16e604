//! The cowslipport daemon. Each entry VM runs one.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::app::StartError;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::platform::GrpcVmList;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_daemon::credentials;
use cowslipport_daemon::credentials::CredentialError;
use cowslipport_daemon::logging;
use cowslipport_daemon::logging::Destination;
use cowslipport_lib::findings::Findings;
use cowslipport_lib::settings::Settings;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Routes requests, places jobs and maintains the VMs of a fleet together with
/// the other entry processes.
#[derive(Parser)]
#[command(name = "cowslipportd", version)]
struct Arguments {
    /// Path of the settings file (TOML).
    #[arg(long)]
    settings: PathBuf,
}

/// Why the daemon cannot run.
#[derive(Debug, thiserror::Error)]
enum MainError {
    #[error("cannot read {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{} is not valid:\n{findings}", path.display())]
    Settings { path: PathBuf, findings: Findings },
    #[error(transparent)]
    Credential(#[from] CredentialError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("cannot install the signal handlers: {0}")]
    Signal(io::Error),
    #[error("cannot start the log thread: {0}")]
    Log(io::Error),
}

/// Exit status if the settings or credentials cannot be read or are not valid.
const EXIT_INVALID: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match actix_rt::System::new().block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            match error {
                MainError::Read { .. } | MainError::Settings { .. } | MainError::Credential(_) => {
                    ExitCode::from(EXIT_INVALID)
                }
                MainError::Start(_) | MainError::Signal(_) | MainError::Log(_) => ExitCode::FAILURE,
            }
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), MainError> {
    let settings = read_settings(arguments.settings)?;
    let config = daemon_config(&settings)?;
    let platform = PlatformClients {
        log: GrpcLog::new(settings.platform.log),
        vm_list: GrpcVmList::new(settings.platform.vm_list),
        workers: GrpcWorkers,
    };
    // Without a recorder, `/metrics` answers 404.
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let (logger, log_thread) =
        logging::start(&settings.logging, Destination::Stderr).map_err(MainError::Log)?;
    let daemon = Daemon::start(config, platform, metrics, logger).await?;
    wait_for_signal().await.map_err(MainError::Signal)?;
    daemon.stop().await;
    log_thread.finish();
    Ok(())
}

fn read_settings(path: PathBuf) -> Result<Settings, MainError> {
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(MainError::Read { path, source }),
    };
    Settings::from_toml(&text).map_err(|findings| MainError::Settings { path, findings })
}

fn daemon_config(settings: &Settings) -> Result<DaemonConfig, MainError> {
    Ok(DaemonConfig {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        health: settings.listen.health,
        seeds: settings.peers.clone(),
        peer_token: credentials::read(&settings.credentials.peer_token)?,
        operator_token: credentials::read(&settings.credentials.operator_token)?,
        limits: settings.limits,
    })
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
