//! A complete platform on the loopback interface: log, VM list, and VMs with
//! workers and upstream instances.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslipport_lib::record::VmJoined;

use crate::clock::Clock;
use crate::log_server;
use crate::log_server::LogMessage;
use crate::log_store::LogLimits;
use crate::recorder;
use crate::recorder::RecorderMessage;
use crate::recorder::Summary;
use crate::serve::Error;
use crate::serve::Handle;
use crate::upstream_model::UpstreamSettings;
use crate::vm::VmMailboxes;
use crate::vm::VmSpec;
use crate::vm_inventory::InventorySettings;
use crate::vm_list_server;
use crate::vm_list_server::VmListMessage;
use crate::worker_agent::WorkerSettings;

/// The VMs of one pool in one rack.
#[derive(Clone, Debug)]
pub struct RackSpec {
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the rack, unique within the data centre.
    pub rack: String,
    /// Name of the pool.
    pub pool: String,
    /// Number of VMs.
    pub vms: u32,
}

/// Settings of a platform.
#[derive(Clone, Debug, Default)]
pub struct FleetSpec {
    /// Limits of the log.
    pub log: LogLimits,
    /// Settings of the VM list.
    pub inventory: InventorySettings,
    /// Settings of each worker.
    pub worker: WorkerSettings,
    /// Settings of the upstream instance of each VM; `None` starts no upstream
    /// instances.
    pub upstream: Option<UpstreamSettings>,
    /// The VMs to start.
    pub racks: Vec<RackSpec>,
    /// Port of the log; 0 chooses a free port.
    pub log_port: u16,
    /// Port of the VM list; 0 chooses a free port.
    pub vm_list_port: u16,
    /// Seed of the random choice of the calls that the log rejects.
    pub seed: u64,
}

/// A running platform.
#[derive(Debug)]
pub struct Fleet {
    /// The log.
    pub log: Handle<LogMessage>,
    /// The VM list.
    pub vm_list: Handle<VmListMessage>,
    /// The recorder of the history of all VMs.
    pub recorder: mpsc::Sender<RecorderMessage>,
    /// All VMs started so far.
    pub vms: Vec<VmJoined>,
    /// The clock that the VM list, all workers and all upstreams share.
    pub clock: Clock,
}

/// Starts a platform. The caller must run on an `actix-rt` runtime, because the
/// stand-ins are local tasks.
pub async fn start(spec: FleetSpec) -> Result<Fleet, Error> {
    let clock = Clock::start();
    let loopback = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let log = log_server::start(loopback(spec.log_port), spec.log, spec.seed).await?;
    let recorder = recorder::start();
    let list_address = loopback(spec.vm_list_port);
    let vm_list =
        vm_list_server::start(list_address, spec.inventory, clock, recorder.clone()).await?;
    let mut fleet = Fleet { log, vm_list, recorder, vms: Vec::new(), clock };
    for rack in &spec.racks {
        for index in 0..rack.vms {
            fleet.start_vm(vm_spec(&spec, rack, index)).await?;
        }
    }
    Ok(fleet)
}

fn vm_spec(spec: &FleetSpec, rack: &RackSpec, index: u32) -> VmSpec {
    let RackSpec { data_centre, rack, pool, vms: _ } = rack;
    VmSpec {
        name: format!("{data_centre}-{rack}-{pool}-{index}"),
        data_centre: data_centre.clone(),
        rack: rack.clone(),
        pool: pool.clone(),
        worker: spec.worker,
        upstream: spec.upstream,
    }
}

impl Fleet {
    /// Starts one more VM.
    pub async fn start_vm(&mut self, spec: VmSpec) -> Result<VmJoined, Error> {
        let (reply, started) = oneshot::channel();
        self.send(VmListMessage::Start { spec, reply }).await;
        let joined = started.await.expect("the VM list runs as long as the fleet")?;
        self.vms.push(joined.clone());
        Ok(joined)
    }

    /// Sends a message to the VM list.
    pub async fn send(&self, message: VmListMessage) {
        let sent = self.vm_list.mailbox().send(message).await;
        assert!(sent.is_ok(), "the VM list runs as long as the fleet");
    }

    /// Returns the mailboxes of the processes of a VM, or `None` if the VM is
    /// not running.
    pub async fn mailboxes(&self, vm: &str) -> Option<VmMailboxes> {
        let (reply, mailboxes) = oneshot::channel();
        self.send(VmListMessage::Mailboxes { vm: vm.to_owned(), reply }).await;
        mailboxes.await.ok().flatten()
    }

    /// Returns counts over the whole fleet.
    pub async fn summary(&self) -> Summary {
        let (reply, summary) = oneshot::channel();
        let sent = self.recorder.send(RecorderMessage::Summary(reply)).await;
        assert!(sent.is_ok(), "the recorder runs as long as the fleet");
        summary.await.expect("the recorder runs as long as the fleet")
    }

    /// Stops all VMs, the VM list and the log.
    pub async fn shutdown(self) {
        let (reply, powered_off) = oneshot::channel();
        self.send(VmListMessage::PowerOffAll(reply)).await;
        // There is no reply if the VM list panicked; the sockets are closed
        // in that case too.
        let _ = powered_off.await;
        self.vm_list.shutdown().await;
        self.log.shutdown().await;
    }
}
