//! The recorder: the task that owns the history of the fleet.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::time::TimeMs;

use crate::history::FleetHistory;
use crate::history::FleetSample;
use crate::history::RunCounts;
use crate::serve;
use crate::worker_agent::RunningSample;

/// Messages to the task that owns the history.
#[derive(Debug)]
pub enum RecorderMessage {
    /// Reports what an organisation occupies on one VM.
    Running {
        /// Name of the VM.
        vm: String,
        /// The resources that the organisation occupies.
        sample: RunningSample,
    },
    /// Reports that an upstream started a request.
    Started {
        /// Name of the VM.
        vm: String,
        /// Idempotency key of the request.
        key: String,
    },
    /// Reports that an upstream finished a request.
    Finished {
        /// Name of the VM.
        vm: String,
        /// Idempotency key of the request.
        key: String,
    },
    /// Reports that a VM stopped.
    Down {
        /// Name of the VM.
        vm: String,
        /// When the VM stopped.
        at: TimeMs,
    },
    /// Asks for counts over the whole fleet.
    Summary(oneshot::Sender<Summary>),
    /// Asks for the resources of an organisation over time.
    Samples {
        /// The organisation.
        organisation: OrganisationId,
        /// Receives the sums over the fleet.
        reply: oneshot::Sender<Vec<FleetSample>>,
    },
    /// Asks how often a request ran.
    RunCounts {
        /// Idempotency key of the request.
        key: String,
        /// Receives the counts.
        reply: oneshot::Sender<RunCounts>,
    },
}

/// Counts over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of requests that were started at least once.
    pub requests: usize,
    /// Idempotency keys of requests that were started more than once.
    pub repeated_keys: Vec<String>,
    /// Number of requests in flight on a VM when it stopped.
    pub interrupted_requests: u32,
    /// Number of tasks running on a VM when it stopped.
    pub interrupted_tasks: u32,
}

/// Starts a recorder, which stops when its last sender is dropped.
pub fn start() -> mpsc::Sender<RecorderMessage> {
    let (mailbox, mut messages) = mpsc::channel(serve::MAILBOX_MESSAGES);
    let mut history = FleetHistory::default();
    actix_rt::spawn(async move {
        while let Some(message) = messages.recv().await {
            handle(&mut history, message);
        }
    });
    mailbox
}

fn handle(history: &mut FleetHistory, message: RecorderMessage) {
    match message {
        RecorderMessage::Running { vm, sample } => history.record_running(&vm, sample),
        RecorderMessage::Started { vm, key } => history.record_started(&vm, &key),
        RecorderMessage::Finished { vm, key } => history.record_finished(&vm, &key),
        RecorderMessage::Down { vm, at } => history.record_vm_down(&vm, at),
        // The receiver of a reply may have been dropped.
        RecorderMessage::Summary(reply) => drop(reply.send(Summary {
            requests: history.run_counts().len(),
            repeated_keys: history.repeated_keys(),
            interrupted_requests: history.interrupted_requests(),
            interrupted_tasks: history.interrupted_tasks(),
        })),
        RecorderMessage::Samples { organisation, reply } => {
            drop(reply.send(history.samples(organisation)));
        }
        RecorderMessage::RunCounts { key, reply } => {
            let _ = reply.send(history.run_counts().get(&key).copied().unwrap_or_default());
        }
    }
}

/// Reports the events of one VM to a recorder, or discards them if there is
/// none.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    vm: String,
    recorder: Option<mpsc::Sender<RecorderMessage>>,
}

impl Reporter {
    /// Creates a reporter for the VM named `vm`.
    pub fn new(vm: &str, recorder: mpsc::Sender<RecorderMessage>) -> Self {
        Self { vm: vm.to_owned(), recorder: Some(recorder) }
    }

    pub(crate) async fn report_running(&self, sample: RunningSample) {
        self.send(|vm| RecorderMessage::Running { vm, sample }).await;
    }

    pub(crate) async fn report_started(&self, key: String) {
        self.send(|vm| RecorderMessage::Started { vm, key }).await;
    }

    pub(crate) async fn report_finished(&self, key: String) {
        self.send(|vm| RecorderMessage::Finished { vm, key }).await;
    }

    pub(crate) async fn report_down(&self, at: TimeMs) {
        self.send(|vm| RecorderMessage::Down { vm, at }).await;
    }

    async fn send<F>(&self, message: F)
    where
        F: FnOnce(String) -> RecorderMessage,
    {
        if let Some(recorder) = &self.recorder {
            // The recorder may have stopped.
            let _ = recorder.send(message(self.vm.clone())).await;
        }
    }
}
