//! The task that compares the VM list with the control state and appends
//! records of the differences.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::replica::ControlFeed;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::platform::ListedVm;
use crate::platform::VmList;
use crate::platform::VmListError;
use crate::tasks::control::AppendOutcome;
use crate::tasks::control::ControlHandle;

const LIST_INTERVAL: Duration = Duration::from_secs(1);
const MAILBOX_CAPACITY: usize = 64;
/// Largest number of observations in one record, which keeps it under 64 KiB.
const MAX_OBSERVATIONS: usize = 256;

/// Messages of the fleet task.
pub(crate) enum FleetMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// Whether this process reads the VM list.
    ReadList(bool),
    /// A read of the VM list ended.
    Listed(Result<Vec<ListedVm>, VmListError>),
    /// An append of observations ended.
    Recorded(AppendOutcome),
}

/// Creates the mailbox of the fleet task.
pub(crate) fn mailbox() -> (mpsc::Sender<FleetMessage>, mpsc::Receiver<FleetMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task that compares the VM list with the control state.
pub(crate) struct FleetTask<V> {
    list: V,
    control: ControlHandle,
    logger: Logger,
    sender: mpsc::WeakSender<FleetMessage>,
    state: ControlState,
    reads_list: bool,
    listing: bool,
    recording: bool,
}

impl<V> FleetTask<V>
where
    V: VmList,
{
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
        list: V,
        control: ControlHandle,
        logger: Logger,
        (sender, receiver): (mpsc::Sender<FleetMessage>, mpsc::Receiver<FleetMessage>),
    ) {
        let task = Self {
            list,
            control,
            logger,
            sender: sender.downgrade(),
            state: ControlState::default(),
            reads_list: false,
            listing: false,
            recording: false,
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<FleetMessage>) {
        let mut ticks = tokio::time::interval(LIST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.list(),
            }
        }
    }

    fn handle(&mut self, message: FleetMessage) {
        match message {
            FleetMessage::Control(feed) => {
                self.state.apply_feed(&feed);
            }
            FleetMessage::ReadList(reads_list) => self.reads_list = reads_list,
            FleetMessage::Listed(result) => {
                self.listing = false;
                self.handle_list(result);
            }
            FleetMessage::Recorded(outcome) => {
                self.recording = false;
                if let AppendOutcome::Unavailable(reason) | AppendOutcome::Unknown(reason) = outcome
                {
                    warn!(self.logger, "append of VM observations failed"; "reason" => reason);
                }
            }
        }
    }

    /// Reads the VM list. If two processes do so at the same time, they append
    /// the same observations, and the second ones are void.
    fn list(&mut self) {
        let (false, true, Some(sender)) = (self.listing, self.reads_list, self.sender.upgrade())
        else {
            return;
        };
        self.listing = true;
        let list = self.list.clone();
        actix_rt::spawn(async move {
            let result = list.list().await;
            let _ = sender.send(FleetMessage::Listed(result)).await;
        });
    }

    fn handle_list(&mut self, result: Result<Vec<ListedVm>, VmListError>) {
        let listed = match result {
            Ok(listed) => listed,
            Err(error) => {
                warn!(self.logger, "read of VM list failed"; "error" => error.to_string());
                return;
            }
        };
        let mut observations = differences(&self.state, &listed);
        observations.truncate(MAX_OBSERVATIONS);
        let (false, false, Some(sender)) =
            (self.recording, observations.is_empty(), self.sender.upgrade())
        else {
            return;
        };
        self.recording = true;
        let control = self.control.clone();
        actix_rt::spawn(async move {
            let outcome = control.append(RecordBody::VmBatch(observations)).await;
            let _ = sender.send(FleetMessage::Recorded(outcome)).await;
        });
    }
}

/// Observations that bring the control state in line with the list. A VM whose
/// pool or data centre is not in the manifest is left out; the next read tries
/// it again.
fn differences(state: &ControlState, listed: &[ListedVm]) -> Vec<VmObservation> {
    let by_name: BTreeMap<&str, &ListedVm> =
        listed.iter().map(|listed| (listed.vm.name.as_str(), listed)).collect();
    let mut observations = Vec::new();
    for (id, vm) in state.vms.iter() {
        match by_name.get(vm.joined.name.as_str()) {
            None => observations.push(VmObservation::Left { vm: id }),
            Some(listed) if listed.leaving && vm.health != Health::Leaving => {
                observations.push(VmObservation::Health { vm: id, health: Health::Leaving });
            }
            Some(listed) if !listed.leaving && vm.health == Health::Leaving => {
                observations.push(VmObservation::Health { vm: id, health: Health::Up });
            }
            Some(_) => {}
        }
    }
    for (name, listed) in by_name {
        let known = state.vm_by_name(name).is_some();
        let in_manifest = state.pool_by_name(&listed.vm.pool).is_some()
            && state.data_centre_by_name(&listed.vm.data_centre).is_some();
        if !known && in_manifest {
            observations.push(VmObservation::Joined(listed.vm.clone().into()));
        }
    }
    observations
}
