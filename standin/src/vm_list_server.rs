//! The VM list as a gRPC server. It also runs the processes of its VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use cowslipport_lib::protos::platform as raw;
use cowslipport_lib::protos::platform::vm_list_server::VmList;
use cowslipport_lib::protos::platform::vm_list_server::VmListServer;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::time::TimeMs;

use crate::clock::Clock;
use crate::recorder::RecorderMessage;
use crate::serve;
use crate::serve::Error;
use crate::serve::Handle;
use crate::vm::Vm;
use crate::vm::VmMailboxes;
use crate::vm::VmSpec;
use crate::vm_inventory::InventorySettings;
use crate::vm_inventory::ListedVm;
use crate::vm_inventory::RebootError;
use crate::vm_inventory::RebootOutcome;
use crate::vm_inventory::VmInventory;
use crate::vm_inventory::VmListFaults;

/// Messages to the task that owns the VM list.
#[derive(Debug)]
pub enum VmListMessage {
    /// A call by a client.
    Call(VmListCall),
    /// Replaces the injected faults.
    SetFaults(VmListFaults),
    /// Adds a VM whose processes run elsewhere.
    Add(VmJoined),
    /// Starts the processes of a VM and adds it.
    Start {
        /// Settings of the VM.
        spec: VmSpec,
        /// Receives the description that the list will publish.
        reply: oneshot::Sender<Result<VmJoined, Error>>,
    },
    /// Removes a VM and stops its processes.
    Remove {
        /// Name of the VM.
        vm: String,
    },
    /// Stops the processes of a VM without changing the list.
    PowerOff {
        /// Name of the VM.
        vm: String,
    },
    /// Starts the processes of a VM again.
    PowerOn {
        /// Name of the VM.
        vm: String,
    },
    /// Sets or clears the mark of a VM as leaving.
    SetLeaving {
        /// Name of the VM.
        vm: String,
        /// Whether the VM is leaving.
        leaving: bool,
    },
    /// Asks for the mailboxes of the processes of a VM.
    Mailboxes {
        /// Name of the VM.
        vm: String,
        /// Receives the mailboxes, or `None` if the VM is not running.
        reply: oneshot::Sender<Option<VmMailboxes>>,
    },
    /// Asks how many reboots were started.
    Reboots(oneshot::Sender<u64>),
    /// Stops the processes of all VMs.
    PowerOffAll(oneshot::Sender<()>),
}

/// A call by a client of the VM list.
#[derive(Debug)]
pub enum VmListCall {
    /// Lists the VMs.
    List(oneshot::Sender<Result<Vec<ListedVm>, Status>>),
    /// Reboots a VM.
    Reboot {
        /// Name of the VM.
        vm: String,
        /// Idempotency token: repeated requests with it take effect once.
        token: String,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), Status>>,
    },
}

/// Starts a VM list. The caller must run on an `actix-rt` runtime, because the
/// stand-ins are local tasks.
pub async fn start(
    listen: SocketAddr,
    settings: InventorySettings,
    clock: Clock,
    recorder: mpsc::Sender<RecorderMessage>,
) -> Result<Handle<VmListMessage>, Error> {
    let (listener, address) = serve::bind(listen).await?;
    let (mailbox, messages) = mpsc::channel(serve::MAILBOX_MESSAGES);
    let (stop, stopped) = oneshot::channel::<()>();
    let task = VmListTask {
        inventory: VmInventory::new(settings),
        vms: BTreeMap::new(),
        clock,
        recorder,
        messages,
        delayed: BTreeMap::new(),
        next_call_number: 0,
    };
    let state = actix_rt::spawn(task.run());
    let service = VmListServer::new(VmListService { mailbox: mailbox.clone() });
    let server = actix_rt::spawn(async move {
        let shutdown = async move { drop(stopped.await) };
        let incoming = serve::incoming(listener);
        // If the listener fails, the server stops and its clients see that it
        // is unavailable.
        let _ = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, shutdown)
            .await;
    });
    Ok(Handle::new(address, mailbox, stop, server, state))
}

struct VmListService {
    mailbox: mpsc::Sender<VmListMessage>,
}

#[tonic::async_trait]
impl VmList for VmListService {
    async fn list(
        &self,
        _request: Request<raw::ListRequest>,
    ) -> Result<Response<raw::ListReply>, Status> {
        let call = |reply| VmListMessage::Call(VmListCall::List(reply));
        let listed = serve::request_reply(&self.mailbox, call).await??;
        let to_raw = |entry: &ListedVm| raw::ListedVm {
            vm: Some((&entry.vm).into()),
            leaving: entry.leaving,
        };
        Ok(Response::new(raw::ListReply { vms: listed.iter().map(to_raw).collect() }))
    }

    async fn reboot(
        &self,
        request: Request<raw::RebootRequest>,
    ) -> Result<Response<raw::RebootReply>, Status> {
        let raw::RebootRequest { vm, token } = request.into_inner();
        let call = |reply| VmListMessage::Call(VmListCall::Reboot { vm, token, reply });
        serve::request_reply(&self.mailbox, call).await??;
        Ok(Response::new(raw::RebootReply {}))
    }
}

/// Owns the VMs, their processes, and the delayed calls.
struct VmListTask {
    inventory: VmInventory,
    vms: BTreeMap<String, Vm>,
    clock: Clock,
    recorder: mpsc::Sender<RecorderMessage>,
    messages: mpsc::Receiver<VmListMessage>,
    /// Delayed calls by the time at which they take effect.
    delayed: BTreeMap<(TimeMs, u64), VmListCall>,
    next_call_number: u64,
}

impl VmListTask {
    async fn run(mut self) {
        loop {
            let delayed = self.delayed.first_key_value().map(|((time, _), _)| *time);
            let deadline = delayed.into_iter().chain(self.inventory.next_event()).min();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => break,
                },
                () = self.clock.sleep_until(deadline) => {}
            }
            self.run_delayed().await;
            for name in self.inventory.advance(self.clock.now()) {
                self.power_on(&name).await;
            }
        }
    }

    /// Handles a message. The receiver of its reply may have been dropped.
    async fn handle(&mut self, message: VmListMessage) {
        let now = self.clock.now();
        match message {
            VmListMessage::Call(call) => {
                let effect_at = now.plus(self.inventory.faults().delay_ms);
                self.delayed.insert((effect_at, self.next_call_number), call);
                self.next_call_number += 1;
            }
            VmListMessage::SetFaults(faults) => self.inventory.set_faults(faults),
            VmListMessage::Add(vm) => self.inventory.add(now, vm),
            VmListMessage::Start { spec, reply } => drop(reply.send(self.start_vm(spec).await)),
            VmListMessage::Remove { vm } => {
                self.power_off(&vm).await;
                self.vms.remove(&vm);
                self.inventory.remove(now, &vm);
            }
            VmListMessage::PowerOff { vm } => self.power_off(&vm).await,
            VmListMessage::PowerOn { vm } => self.power_on(&vm).await,
            VmListMessage::SetLeaving { vm, leaving } => {
                self.inventory.set_leaving(now, &vm, leaving);
            }
            VmListMessage::Mailboxes { vm, reply } => {
                drop(reply.send(self.vms.get(&vm).and_then(Vm::mailboxes)));
            }
            VmListMessage::Reboots(reply) => {
                let _ = reply.send(self.inventory.reboots());
            }
            VmListMessage::PowerOffAll(reply) => {
                for vm in self.vms.values_mut() {
                    vm.power_off().await;
                }
                let _ = reply.send(());
            }
        }
    }

    async fn start_vm(&mut self, spec: VmSpec) -> Result<VmJoined, Error> {
        let vm = Vm::start(spec, self.clock, self.recorder.clone()).await?;
        let description = vm.description();
        self.inventory.add(self.clock.now(), description.clone());
        self.vms.insert(description.name.clone(), vm);
        Ok(description)
    }

    async fn power_on(&mut self, name: &str) {
        if let Some(vm) = self.vms.get_mut(name) {
            // The VM stays off if another process has taken its port.
            let _ = vm.power_on().await;
        }
    }

    async fn power_off(&mut self, name: &str) {
        if let Some(vm) = self.vms.get_mut(name) {
            vm.power_off().await;
        }
    }

    async fn run_delayed(&mut self) {
        let now = self.clock.now();
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                VmListCall::List(reply) => {
                    let down = self.inventory.faults().down;
                    drop(reply.send(if down {
                        Err(down_status())
                    } else {
                        Ok(self.inventory.list(now))
                    }));
                }
                VmListCall::Reboot { vm, token, reply } => {
                    let result = self.reboot(now, &vm, &token).await;
                    let lost = result.is_ok() && self.inventory.take_lost_reboot_reply();
                    drop(reply.send(if lost { Err(down_status()) } else { result }));
                }
            }
        }
    }

    async fn reboot(&mut self, now: TimeMs, vm: &str, token: &str) -> Result<(), Status> {
        if self.inventory.faults().down {
            return Err(down_status());
        }
        match self.inventory.reboot(now, vm, token) {
            Ok(RebootOutcome::Started) => self.power_off(vm).await,
            Ok(RebootOutcome::Repeated) => {}
            Err(error @ RebootError::UnknownVm(_)) => {
                return Err(Status::not_found(error.to_string()));
            }
            Err(error @ RebootError::TokenReused(_)) => {
                return Err(Status::invalid_argument(error.to_string()));
            }
        }
        Ok(())
    }
}

fn down_status() -> Status {
    Status::unavailable("the VM list is down")
}
