//! Processes and a platform that listen on loopback, for end-to-end tests.

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod stalls;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use awc::http::Method;
use cowslipport_daemon::app::Addresses;
use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::platform::GrpcVmList;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_daemon::platform::ListedVm;
use cowslipport_daemon::platform::LogError;
use cowslipport_daemon::platform::LogService;
use cowslipport_daemon::platform::ReadBatch;
use cowslipport_daemon::platform::VmList;
use cowslipport_daemon::platform::VmListError;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::protos::config as raw_config;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::protos::peer::admin_client::AdminClient;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::fleet;
use cowslipport_standin::fleet::Fleet;
use cowslipport_standin::fleet::FleetSpec;
use cowslipport_standin::fleet::RackSpec;
use cowslipport_standin::upstream_model::UpstreamSettings;
use cowslipport_standin::vm_inventory::InventorySettings;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::transport::Channel;

/// Key of organisation `web` in [`MANIFEST`].
pub(crate) const KEY: &str = "secret";

/// Two data centres, a pool, and an organisation with the key [`KEY`].
pub(crate) const MANIFEST: &str = r#"
[[data_centre]]
name = "dc1"
region = "south"

[[data_centre]]
name = "dc2"
region = "south"

[[pool]]
name = "booking"
slots_per_vm = 8
max_vms = 10
drain_timeout_ms = 2000

[[budget]]
pool = "booking"
max_unavailable = 1

[[organisation]]
name = "web"
share_milli = 1000
limit_cpu_milli = 64000
limit_memory_bytes = 64000000000

[[organisation.key]]
name = "k1"
# SHA-256 of "secret".
sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
"#;

/// Starts a platform with two VMs of pool `booking` in each of two data
/// centres.
pub(crate) async fn start_fleet() -> Fleet {
    let rack = |data_centre: &str| RackSpec {
        data_centre: data_centre.to_owned(),
        rack: "r1".to_owned(),
        pool: "booking".to_owned(),
        vms: 2,
    };
    let spec = FleetSpec {
        inventory: InventorySettings { lag_ms: 200, reboot_ms: 1000, lists_rebooting: true },
        upstream: Some(UpstreamSettings::default()),
        racks: vec![rack("dc1"), rack("dc2")],
        ..FleetSpec::default()
    };
    fleet::start(spec).await.expect("the platform starts")
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

/// A running process, in the test's thread or in its own.
pub(crate) trait RunningProcess {
    /// Addresses on which the process listens.
    fn listen_addresses(&self) -> Addresses;
}

impl RunningProcess for Daemon {
    fn listen_addresses(&self) -> Addresses {
        self.addresses()
    }
}

impl RunningProcess for Process {
    fn listen_addresses(&self) -> Addresses {
        self.addresses
    }
}

/// A process on a thread of its own, which can be killed and disconnected from
/// the log service.
pub(crate) struct Process {
    addresses: Addresses,
    arbiter: Arbiter,
    log_unreachable: watch::Sender<bool>,
}

impl Process {
    /// Starts a process.
    pub(crate) async fn start(name: &str, fleet: &Fleet) -> Self {
        let (log_unreachable, is_unreachable) = watch::channel(false);
        let log = DisconnectableLog { log: GrpcLog::new(fleet.log.address()), is_unreachable };
        let vm_list = GrpcVmList::new(fleet.vm_list.address());
        let config = daemon_config(name);
        let (started, addresses) = oneshot::channel();
        let arbiter = Arbiter::new();
        arbiter.spawn(async move {
            let platform = PlatformClients { log, vm_list, workers: GrpcWorkers };
            let logger = Logger::root(Discard, o!());
            let daemon = Daemon::start(config, platform, None, logger).await;
            let daemon = daemon.expect("the process starts");
            // The test may have ended.
            let _ = started.send(daemon.addresses());
            std::future::pending::<()>().await;
        });
        let addresses = addresses.await.expect("the process starts");
        Self { addresses, arbiter, log_unreachable }
    }

    /// Ends the process without a shutdown.
    pub(crate) fn kill(self) {
        self.arbiter.stop();
        self.arbiter.join().expect("the thread ends");
    }

    /// Disconnects the process from the log service, or reconnects it.
    pub(crate) fn set_log_unreachable(&self, unreachable: bool) {
        let _ = self.log_unreachable.send(unreachable);
    }
}

/// Client of the log service whose calls can be made to fail.
#[derive(Clone)]
struct DisconnectableLog {
    log: GrpcLog,
    is_unreachable: watch::Receiver<bool>,
}

impl DisconnectableLog {
    fn check_reachable(&self) -> Result<(), LogError> {
        let reason = "disconnected by the test".to_owned();
        if *self.is_unreachable.borrow() { Err(LogError::Unavailable { reason }) } else { Ok(()) }
    }
}

impl LogService for DisconnectableLog {
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, LogError> {
        self.check_reachable()?;
        self.log.append(stream, record).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: u32,
    ) -> Result<ReadBatch, LogError> {
        self.check_reachable()?;
        self.log.read(stream, from, max_records, wait_ms).await
    }
}

fn daemon_config(name: &str) -> DaemonConfig {
    DaemonConfig {
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        callers: loopback(),
        peers: loopback(),
        health: loopback(),
        seeds: Vec::new(),
        peer_token: "peer".to_owned(),
        operator_token: "operator".to_owned(),
        limits: Limits { shutdown_timeout_ms: 3_000, ..Limits::default() },
    }
}

/// Starts a process that uses the services of `fleet`.
pub(crate) async fn start_daemon(name: &str, fleet: &Fleet) -> Daemon {
    let platform = PlatformClients {
        log: GrpcLog::new(fleet.log.address()),
        vm_list: GrpcVmList::new(fleet.vm_list.address()),
        workers: GrpcWorkers,
    };
    Daemon::start(daemon_config(name), platform, None, Logger::root(Discard, o!()))
        .await
        .expect("the process starts")
}

/// Starts three processes and commits [`MANIFEST`].
pub(crate) async fn start_three_daemons(fleet: &Fleet) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        daemons.push(start_daemon(name, fleet).await);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let reply = commit(&daemons[0], 0, MANIFEST).await;
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");
    daemons
}

/// Client of the service for operators.
pub(crate) async fn admin<P>(process: &P) -> AdminClient<Channel>
where
    P: RunningProcess,
{
    let address = format!("http://{}", process.listen_addresses().peers);
    AdminClient::connect(address).await.expect("the process listens")
}

/// Adds the operator token to a request.
pub(crate) fn authorized<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    request.metadata_mut().insert("authorization", "Bearer operator".parse().expect("valid"));
    request
}

/// Commits a manifest through a process.
pub(crate) async fn commit<P>(
    process: &P,
    expected_revision: u64,
    manifest: &str,
) -> raw::CommitReply
where
    P: RunningProcess,
{
    let manifest = Manifest::from_toml(manifest).expect("the manifest is valid");
    let request = raw::CommitRequest {
        expected_revision,
        author: "ana".to_owned(),
        manifest: Some(raw_config::Manifest::from(&manifest)),
        dry_run: false,
    };
    let reply = admin(process).await.commit(authorized(request)).await;
    reply.expect("the call is accepted").into_inner()
}

/// Takes a data centre out of service or back into service.
pub(crate) async fn set_data_centre<P>(
    process: &P,
    name: &str,
    in_service: bool,
) -> raw::CommitReply
where
    P: RunningProcess,
{
    let request = raw::SetDataCentreRequest {
        data_centre: name.to_owned(),
        in_service,
        author: "ana".to_owned(),
    };
    let reply = admin(process).await.set_data_centre(authorized(request)).await;
    reply.expect("the call is accepted").into_inner()
}

/// Status of the fleet as one process sees it.
pub(crate) async fn status<P>(process: &P) -> raw::StatusReply
where
    P: RunningProcess,
{
    let reply = admin(process).await.status(authorized(raw::StatusRequest {})).await;
    reply.expect("the call is accepted").into_inner()
}

/// Sends a request of a caller and returns the status and body of the answer.
pub(crate) async fn call<P>(
    process: &P,
    method: Method,
    path: &str,
    key: &str,
    body: &str,
) -> (u16, String)
where
    P: RunningProcess,
{
    let url = format!("http://{}{path}", process.listen_addresses().callers);
    let client = awc::Client::default();
    let request = client.request(method, url).bearer_auth(key);
    let mut response = request.send_body(body.to_owned()).await.expect("the process answers");
    let body = response.body().await.expect("the answer is complete");
    (response.status().as_u16(), String::from_utf8_lossy(&body).into_owned())
}

/// Waits until `condition` holds; panics if it does not within `limit`.
pub(crate) async fn wait_until<F, R>(limit: Duration, what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + limit;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "{what} within {limit:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts three processes that can be killed, commits [`MANIFEST`] and waits
/// until all of them serve requests.
pub(crate) async fn start_three_processes(fleet: &Fleet) -> Vec<Process> {
    let mut processes = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        processes.push(Process::start(name, fleet).await);
    }
    wait_until(Duration::from_secs(10), "all processes are members", || async {
        status(&processes[0]).await.members.len() == 3
    })
    .await;
    let reply = commit(&processes[0], 0, MANIFEST).await;
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");
    wait_until(Duration::from_secs(10), "requests are served", || async {
        for process in &processes {
            if get(process, KEY).await.0 != 200 {
                return false;
            }
        }
        true
    })
    .await;
    processes
}

/// Sends a request for pool `booking`.
pub(crate) async fn get<P>(process: &P, key: &str) -> (u16, String)
where
    P: RunningProcess,
{
    call(process, Method::GET, "/pools/booking/slots", key, "").await
}

/// A VM list with one VM for each upstream.
#[derive(Clone)]
pub(crate) struct FixedList {
    upstreams: Vec<String>,
}

impl VmList for FixedList {
    async fn list(&self) -> Result<Vec<ListedVm>, VmListError> {
        let listed = |(index, upstream): (usize, &String)| ListedVm {
            vm: VmJoined {
                name: format!("vm-{index}"),
                data_centre: "dc1".to_owned(),
                rack: "r1".to_owned(),
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

/// Starts a process with small limits, the log service at `log`, and one VM for
/// each upstream.
pub(crate) async fn start_with_upstreams(log: SocketAddr, upstreams: &[String]) -> Daemon {
    let limits = Limits {
        max_body_bytes: 1000,
        max_connections: 4,
        // The library reads the clock of this timeout every 500 ms, so that one below may
        // be over when a connection is accepted.
        request_read_timeout_ms: 1_000,
        shutdown_timeout_ms: 500,
        ..Limits::default()
    };
    let platform = PlatformClients {
        log: GrpcLog::new(log),
        vm_list: FixedList { upstreams: upstreams.to_vec() },
        workers: GrpcWorkers,
    };
    let config = DaemonConfig { limits, ..daemon_config("entry-1") };
    Daemon::start(config, platform, None, Logger::root(Discard, o!()))
        .await
        .expect("the process starts")
}
