//! Real daemons and a log service in one thread, for the path from end to end.

use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::thread::JoinHandle;

use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::edges::ListedVm;
use cowslipport_daemon::edges::VmList;
use cowslipport_daemon::edges::VmListError;
use cowslipport_daemon::platform_client::GrpcLog;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::log_server;
use cowslipport_standin::log_store::LogLimits;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;

use super::TOKEN;

/// A list without VMs.
#[derive(Clone)]
struct NoVms;

impl VmList for NoVms {
    async fn list(&self) -> Result<Vec<ListedVm>, VmListError> {
        Ok(Vec::new())
    }

    async fn reboot(&self, _vm: &str, _token: &str) -> Result<(), VmListError> {
        Ok(())
    }
}

/// Running daemons; they end with the value.
pub(crate) struct Daemons {
    /// Addresses for operators.
    pub(crate) addresses: Vec<String>,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemons {
    /// Starts a log service and the named daemons.
    pub(crate) fn start(names: &'static [&'static str]) -> Self {
        let (addresses_to_test, addresses) = thread_channel::channel();
        let (shutdown, ended) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let log = log_server::start(loopback(), LogLimits::default(), 1);
                let log = log.await.expect("the log service starts");
                let mut daemons = Vec::new();
                for name in names {
                    daemons.push(start(name, log.address()).await);
                }
                let peers = daemons.iter().map(|daemon| daemon.addresses().peers.to_string());
                addresses_to_test.send(peers.collect()).expect("the test waits");
                // Either the test sends, or it has ended.
                let _ = ended.await;
            });
        });
        let addresses = addresses.recv().expect("the daemons start");
        Self { addresses, shutdown: Some(shutdown), thread: Some(thread) }
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        self.shutdown.take().map(|shutdown| shutdown.send(()));
        self.thread.take().map(JoinHandle::join);
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start(name: &str, log: SocketAddr) -> Daemon {
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
    let logger = Logger::root(Discard, o!());
    Daemon::start(config, GrpcLog::new(log), NoVms, None, logger).await.expect("the daemon starts")
}
