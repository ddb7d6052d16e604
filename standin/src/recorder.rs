//! The task that owns the history of the fleet.

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
    /// What an organisation occupies on one VM.
    Running {
        /// The VM.
        vm: String,
        /// What it occupies.
        sample: RunningSample,
    },
    /// An upstream begins a request.
    Started {
        /// The VM.
        vm: String,
        /// Idempotency key of the request.
        key: String,
    },
    /// An upstream has ended a request.
    Finished {
        /// The VM.
        vm: String,
        /// Idempotency key of the request.
        key: String,
    },
    /// A VM went away.
    Down {
        /// The VM.
        vm: String,
        /// When it went away.
        at: TimeMs,
    },
    /// Asks for a summary.
    Summary(oneshot::Sender<Summary>),
    /// Asks for the sums of an organisation over time.
    Samples {
        /// The organisation.
        organisation: OrganisationId,
        /// Gets the sums.
        reply: oneshot::Sender<Vec<FleetSample>>,
    },
    /// Asks how often a request was run.
    RunCounts {
        /// Idempotency key of the request.
        key: String,
        /// Gets the counts.
        reply: oneshot::Sender<RunCounts>,
    },
}

/// Counts over the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests that were begun at least once.
    pub requests: usize,
    /// Idempotency keys of requests that were begun more than once.
    pub repeated_keys: Vec<String>,
    /// Requests that were in flight on a VM when it went away.
    pub interrupted_requests: u32,
    /// Tasks that ran on a VM when it went away.
    pub interrupted_tasks: u32,
}

/// Starts a recorder, which ends when its last sender is dropped.
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
        // The asker of the following may be gone.
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

/// Sends what happens on one VM to a recorder, if there is one.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    vm: String,
    recorder: Option<mpsc::Sender<RecorderMessage>>,
}

impl Reporter {
    /// A reporter for a VM.
    pub fn new(vm: &str, recorder: mpsc::Sender<RecorderMessage>) -> Self {
        Self { vm: vm.to_owned(), recorder: Some(recorder) }
    }

    pub(crate) async fn running(&self, sample: RunningSample) {
        self.send(|vm| RecorderMessage::Running { vm, sample }).await;
    }

    pub(crate) async fn started(&self, key: String) {
        self.send(|vm| RecorderMessage::Started { vm, key }).await;
    }

    pub(crate) async fn finished(&self, key: String) {
        self.send(|vm| RecorderMessage::Finished { vm, key }).await;
    }

    pub(crate) async fn down(&self, at: TimeMs) {
        self.send(|vm| RecorderMessage::Down { vm, at }).await;
    }

    async fn send<F>(&self, message: F)
    where
        F: FnOnce(String) -> RecorderMessage,
    {
        if let Some(recorder) = &self.recorder {
            // A recorder that has ended is not interested.
            let _ = recorder.send(message(self.vm.clone())).await;
        }
    }
}
