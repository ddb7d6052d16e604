//! Real daemons and the fleet of the small example in one thread, for end-to-end
//! tests.

use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::thread::JoinHandle;

use cowslipport_daemon::app::Addresses;
use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::platform::GrpcVmList;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::fleet;
use cowslipport_standin::fleet::Fleet;
use cowslipport_standin::fleet::FleetSpec;
use cowslipport_standin::fleet::RackSpec;
use cowslipport_standin::vm_inventory::InventorySettings;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;

use super::TOKEN;
use super::stalls::StallMonitor;

/// Running daemons, which are shut down when the value is dropped.
pub(crate) struct Daemons {
    /// Addresses for gRPC calls of operators.
    pub(crate) operators: Vec<String>,
    /// Addresses for HTTP requests of callers.
    pub(crate) callers: Vec<String>,
    /// Watches for stalls on the runtime of the daemons.
    pub(crate) stalls: StallMonitor,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemons {
    /// Starts the fleet and daemons with the given names.
    pub(crate) fn start(names: &'static [&'static str]) -> Self {
        let (addresses_sender, addresses) = thread_channel::channel();
        let (shutdown, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(names, addresses_sender, stopped));
        });
        let (addresses, stalls) = addresses.recv().expect("the daemons start");
        let operators = addresses.iter().map(|address| address.peers.to_string()).collect();
        let callers = addresses.iter().map(|address| address.callers.to_string()).collect();
        Self { operators, callers, stalls, shutdown: Some(shutdown), thread: Some(thread) }
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        self.shutdown.take().map(|shutdown| shutdown.send(()));
        self.thread.take().map(JoinHandle::join);
    }
}

async fn serve(
    names: &[&str],
    started: thread_channel::Sender<(Vec<Addresses>, StallMonitor)>,
    stopped: oneshot::Receiver<()>,
) {
    let spec = FleetSpec {
        inventory: InventorySettings { lag_ms: 0, ..InventorySettings::default() },
        racks: vec![rack("dc1", "web"), rack("dc1", "batch"), rack("dc2", "batch")],
        ..FleetSpec::default()
    };
    let fleet = fleet::start(spec).await.expect("the fleet starts");
    let mut daemons = Vec::new();
    for name in names {
        daemons.push(start_daemon(name, &fleet).await);
    }
    started
        .send((daemons.iter().map(Daemon::addresses).collect(), StallMonitor::start()))
        .expect("the test waits for the addresses");
    // Both a message and a dropped sender mean that the test is done.
    let _ = stopped.await;
}

fn rack(data_centre: &str, pool: &str) -> RackSpec {
    RackSpec {
        data_centre: data_centre.to_owned(),
        rack: format!("{data_centre}-{pool}"),
        pool: pool.to_owned(),
        vms: 2,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_daemon(name: &str, fleet: &Fleet) -> Daemon {
    let config = DaemonConfig {
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        callers: loopback(),
        peers: loopback(),
        health: loopback(),
        seeds: Vec::new(),
        peer_token: "peers-secret".to_owned(),
        operator_token: TOKEN.to_owned(),
        limits: Limits { shutdown_timeout_ms: 500, ..Limits::default() },
    };
    let platform = PlatformClients {
        log: GrpcLog::new(fleet.log.address()),
        vm_list: GrpcVmList::new(fleet.vm_list.address()),
        workers: GrpcWorkers,
    };
    let logger = Logger::root(Discard, o!());
    Daemon::start(config, platform, None, logger).await.expect("the daemon starts")
}
