//! The processes of one VM: a worker and, if the VM serves requests, an
//! upstream instance.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::sync::mpsc;

use cowslipport_lib::record::VmJoined;

use crate::clock::Clock;
use crate::recorder::RecorderMessage;
use crate::recorder::Reporter;
use crate::serve::Error;
use crate::serve::Handle;
use crate::upstream_model::UpstreamSettings;
use crate::upstream_server;
use crate::upstream_server::UpstreamMessage;
use crate::worker_agent::WorkerSettings;
use crate::worker_server;
use crate::worker_server::WorkerMessage;

/// Maximum number of tickets that one incarnation of a worker issues. Each
/// incarnation numbers its tickets from a multiple of this.
const TICKETS_PER_INCARNATION: u64 = 1 << 32;

/// Settings of a VM.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// Name of the VM, unique in the fleet.
    pub name: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the rack.
    pub rack: String,
    /// Name of the pool.
    pub pool: String,
    /// Settings of the worker.
    pub worker: WorkerSettings,
    /// Settings of the upstream instance; `None` for a VM without one.
    pub upstream: Option<UpstreamSettings>,
}

/// Mailboxes of the processes of a running VM, for faults and queries.
#[derive(Clone, Debug)]
pub struct VmMailboxes {
    /// Mailbox of the worker.
    pub worker: mpsc::Sender<WorkerMessage>,
    /// Mailbox of the upstream instance, if the VM has one.
    pub upstream: Option<mpsc::Sender<UpstreamMessage>>,
}

/// A VM with its processes, which keep their addresses across reboots.
#[derive(Debug)]
pub(crate) struct Vm {
    spec: VmSpec,
    clock: Clock,
    reporter: Reporter,
    worker_address: SocketAddr,
    upstream_address: SocketAddr,
    incarnations: u64,
    processes: Option<Processes>,
}

#[derive(Debug)]
struct Processes {
    worker: Handle<WorkerMessage>,
    upstream: Option<Handle<UpstreamMessage>>,
}

impl Vm {
    /// Starts a VM whose processes listen on free ports.
    pub(crate) async fn start(
        spec: VmSpec,
        clock: Clock,
        recorder: mpsc::Sender<RecorderMessage>,
    ) -> Result<Self, Error> {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let mut vm = Self {
            reporter: Reporter::new(&spec.name, recorder),
            spec,
            clock,
            worker_address: any_port,
            upstream_address: any_port,
            incarnations: 0,
            processes: None,
        };
        vm.power_on().await?;
        Ok(vm)
    }

    /// Starts the processes unless they are running.
    pub(crate) async fn power_on(&mut self) -> Result<(), Error> {
        if self.processes.is_some() {
            return Ok(());
        }
        self.incarnations += 1;
        let (clock, reporter) = (self.clock, &self.reporter);
        let first_ticket = self.incarnations * TICKETS_PER_INCARNATION;
        let worker = worker_server::start(
            self.worker_address,
            self.spec.worker,
            first_ticket,
            clock,
            reporter.clone(),
        )
        .await?;
        self.worker_address = worker.address();
        let mut upstream = None;
        if let Some(settings) = self.spec.upstream {
            let server =
                upstream_server::start(self.upstream_address, settings, clock, reporter.clone());
            let server = server.await?;
            self.upstream_address = server.address();
            upstream = Some(server);
        }
        self.processes = Some(Processes { worker, upstream });
        Ok(())
    }

    /// Stops the processes, with all requests and tasks that they run.
    pub(crate) async fn power_off(&mut self) {
        let Some(processes) = self.processes.take() else { return };
        processes.worker.shutdown().await;
        if let Some(upstream) = processes.upstream {
            upstream.shutdown().await;
        }
        self.reporter.report_down(self.clock.now()).await;
    }

    /// Returns the description of the VM for the VM list.
    pub(crate) fn description(&self) -> VmJoined {
        let upstream_address = match self.spec.upstream {
            Some(_) => self.upstream_address.to_string(),
            None => String::new(),
        };
        VmJoined {
            name: self.spec.name.clone(),
            data_centre: self.spec.data_centre.clone(),
            rack: self.spec.rack.clone(),
            pool: self.spec.pool.clone(),
            worker_address: self.worker_address.to_string(),
            upstream_address,
            capacity: self.spec.worker.capacity,
        }
    }

    /// Returns the mailboxes of the processes, or `None` if they are not
    /// running.
    pub(crate) fn mailboxes(&self) -> Option<VmMailboxes> {
        let processes = self.processes.as_ref()?;
        Some(VmMailboxes {
            worker: processes.worker.mailbox(),
            upstream: processes.upstream.as_ref().map(Handle::mailbox),
        })
    }
}
