//! The processes that run on one VM: a worker and, if it serves requests, an
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

/// Tickets that one life of a worker issues at most.
const TICKETS_PER_LIFE: u64 = 1 << 32;

/// A VM that is to be run.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// Unique name.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its rack.
    pub rack: String,
    /// Name of its pool.
    pub pool: String,
    /// What its worker can do.
    pub worker: WorkerSettings,
    /// What its upstream instance can do, if it has one.
    pub upstream: Option<UpstreamSettings>,
}

/// Mailboxes of the processes of a VM that is up, for faults and questions.
#[derive(Clone, Debug)]
pub struct VmMailboxes {
    /// The worker.
    pub worker: mpsc::Sender<WorkerMessage>,
    /// The upstream instance, if there is one.
    pub upstream: Option<mpsc::Sender<UpstreamMessage>>,
}

/// A VM with its processes, which keep their addresses over a reboot.
#[derive(Debug)]
pub(crate) struct Vm {
    spec: VmSpec,
    clock: Clock,
    reporter: Reporter,
    worker_address: SocketAddr,
    upstream_address: SocketAddr,
    lives: u64,
    processes: Option<Processes>,
}

#[derive(Debug)]
struct Processes {
    worker: Handle<WorkerMessage>,
    upstream: Option<Handle<UpstreamMessage>>,
}

impl Vm {
    /// Starts the processes of a VM on free ports.
    pub(crate) async fn start(
        spec: VmSpec,
        clock: Clock,
        recorder: mpsc::Sender<RecorderMessage>,
    ) -> Result<Self, Error> {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let mut machine = Self {
            reporter: Reporter::new(&spec.name, recorder),
            spec,
            clock,
            worker_address: any_port,
            upstream_address: any_port,
            lives: 0,
            processes: None,
        };
        machine.power_on().await?;
        Ok(machine)
    }

    /// Starts the processes, if they do not run.
    pub(crate) async fn power_on(&mut self) -> Result<(), Error> {
        if self.processes.is_some() {
            return Ok(());
        }
        self.lives += 1;
        let (clock, reporter) = (self.clock, &self.reporter);
        let first_ticket = self.lives * TICKETS_PER_LIFE;
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
            let started =
                upstream_server::start(self.upstream_address, settings, clock, reporter.clone());
            let started = started.await?;
            self.upstream_address = started.address();
            upstream = Some(started);
        }
        self.processes = Some(Processes { worker, upstream });
        Ok(())
    }

    /// Ends the processes with all that they run.
    pub(crate) async fn power_off(&mut self) {
        let Some(processes) = self.processes.take() else { return };
        processes.worker.shutdown().await;
        if let Some(upstream) = processes.upstream {
            upstream.shutdown().await;
        }
        self.reporter.down(self.clock.now()).await;
    }

    /// What the VM list shows of the VM.
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

    /// Mailboxes of the processes, if they run.
    pub(crate) fn mailboxes(&self) -> Option<VmMailboxes> {
        let processes = self.processes.as_ref()?;
        Some(VmMailboxes {
            worker: processes.worker.mailbox(),
            upstream: processes.upstream.as_ref().map(Handle::mailbox),
        })
    }
}
