//! Starts the log and the upstreams on one thread and one daemon on another.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_daemon::platform::ListedVm;
use cowslipport_daemon::platform::VmList;
use cowslipport_daemon::platform::VmListError;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::protos::config as raw_config;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::admin_client::AdminClient;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::clock::Clock;
use cowslipport_standin::log_server;
use cowslipport_standin::log_store::LogLimits;
use cowslipport_standin::recorder;
use cowslipport_standin::recorder::Reporter;
use cowslipport_standin::upstream_model::UpstreamSettings;
use cowslipport_standin::upstream_server;
use slog::Discard;
use slog::Logger;
use slog::o;

use crate::Error;

/// Key of the organisation, whose digest is in `MANIFEST`.
pub(crate) const KEY: &str = "secret";

const MANIFEST: &str = r#"
[[data_centre]]
name = "dc1"
region = "south"

[[pool]]
name = "booking"
slots_per_vm = 8
max_vms = 50

[[organisation]]
name = "web"
share_milli = 1000
limit_cpu_milli = 1000
limit_memory_bytes = 1000

[[organisation.key]]
name = "k1"
sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
"#;

/// Addresses of the log and the upstreams.
pub(crate) struct Platform {
    pub(crate) log: SocketAddr,
    pub(crate) upstreams: Vec<SocketAddr>,
}

/// A daemon that runs on a thread of its own.
pub(crate) struct DaemonThread {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// Thread id in the operating system.
    pub(crate) thread_id: u32,
}

#[derive(Clone)]
struct FixedVmList {
    upstreams: Vec<String>,
}

impl VmList for FixedVmList {
    async fn list(&self) -> Result<Vec<ListedVm>, VmListError> {
        let listed = |(index, upstream): (usize, &String)| ListedVm {
            vm: VmJoined {
                name: format!("vm-{index}"),
                data_centre: "dc1".to_owned(),
                rack: format!("r{}", index / 4),
                pool: "booking".to_owned(),
                worker_address: "127.0.0.1:9".to_owned(),
                upstream_address: upstream.clone(),
                capacity: Resources::ZERO,
            },
            leaving: false,
        };
        Ok(self.upstreams.iter().enumerate().map(listed).collect())
    }

    async fn reboot(&self, _vm: &str, _token: &str) -> Result<(), VmListError> {
        Ok(())
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts the log and the upstreams, which run until the process ends.
pub(crate) fn start_upstreams(count: u32, settings: UpstreamSettings) -> Result<Platform, Error> {
    let (ready, started) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let clock = Clock::start();
            let mut servers = Vec::new();
            let started = async {
                let log = log_server::start(loopback(), LogLimits::default(), 1).await?;
                for index in 0..count {
                    let reporter = Reporter::new(&format!("vm-{index}"), recorder::start());
                    let server =
                        upstream_server::start(loopback(), settings, clock, reporter).await?;
                    servers.push(server);
                }
                let upstreams = servers.iter().map(|server| server.address()).collect();
                Ok::<_, Error>((Platform { log: log.address(), upstreams }, log))
            };
            let (platform, log) = match started.await {
                Ok((platform, log)) => (Ok(platform), Some(log)),
                Err(error) => (Err(error), None),
            };
            let _ = ready.send(platform);
            std::future::pending::<()>().await;
            drop(log);
        });
    });
    started.recv().map_err(|_| Error::Thread)?
}

/// Starts a daemon, which runs until the process ends.
pub(crate) fn start_daemon(log: SocketAddr, upstreams: Vec<String>) -> Result<DaemonThread, Error> {
    let (ready, started) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let config = DaemonConfig {
                name: "entry-1".to_owned(),
                data_centre: "dc1".to_owned(),
                callers: loopback(),
                peers: loopback(),
                health: loopback(),
                seeds: Vec::new(),
                peer_token: "peer".to_owned(),
                operator_token: "operator".to_owned(),
                limits: Limits::default(),
            };
            let clients = PlatformClients {
                log: GrpcLog::new(log),
                vm_list: FixedVmList { upstreams },
                workers: GrpcWorkers,
            };
            let daemon = Daemon::start(config, clients, None, Logger::root(Discard, o!())).await;
            let started = daemon.as_ref().map(|daemon| DaemonThread {
                callers: daemon.addresses().callers,
                peers: daemon.addresses().peers,
                thread_id: rustix::thread::gettid().as_raw_nonzero().get().unsigned_abs(),
            });
            let failed = daemon.as_ref().is_err();
            let _ = match started {
                Ok(thread) => ready.send(Ok(thread)),
                Err(_) => Ok(()),
            };
            if failed {
                if let Err(error) = daemon {
                    let _ = ready.send(Err(Error::Daemon(error)));
                }
                return;
            }
            std::future::pending::<()>().await;
        });
    });
    started.recv().map_err(|_| Error::Thread)?
}

/// Commits the manifest and waits until the daemon answers requests and all
/// upstream instances have completed their slow start.
pub(crate) async fn prepare(daemon: &DaemonThread) -> Result<(), Error> {
    let commit_error = |error: &dyn std::fmt::Display| Error::Commit(error.to_string());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let manifest = Manifest::from_toml(MANIFEST).map_err(|error| commit_error(&error))?;
    let mut admin = AdminClient::connect(format!("http://{}", daemon.peers))
        .await
        .map_err(|error| commit_error(&error))?;
    let mut request = tonic::Request::new(raw::CommitRequest {
        expected_revision: 0,
        author: "bench".to_owned(),
        manifest: Some(raw_config::Manifest::from(&manifest)),
        dry_run: false,
    });
    let token = "Bearer operator".parse().map_err(|_| Error::Thread)?;
    request.metadata_mut().insert("authorization", token);
    admin.commit(request).await.map_err(|error| commit_error(&error))?;
    tokio::time::sleep(Duration::from_secs(8)).await;
    Ok(())
}
