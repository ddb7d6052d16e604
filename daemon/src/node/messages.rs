//! Messages between the tasks of a node.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::advice::AdviceAnswer;
use cowslipport_lib::workload::advice::AdviceRequest;
use cowslipport_lib::workload::key::TaskKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::node::calls::CallRequest;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Topic;

/// Messages that wait for the core. A burst of calls beyond this waits in the
/// connections of the callers.
pub(crate) const CORE_MAILBOX: usize = 2_048;

/// What a topic brought.
#[derive(Clone, Debug)]
pub(crate) enum TailEvent {
    /// All newest records; what was known before and is not among them is gone.
    Snapshot(Vec<KeyedRecord>),
    /// Further records, perhaps none.
    Records(Vec<KeyedRecord>),
}

/// A message for the core.
pub(crate) enum CoreMessage {
    /// A topic was read.
    Tail {
        topic: Topic,
        event: TailEvent,
        /// When the read was sent, if it reached the end of the topic: nothing
        /// older is missing then.
        confirmed_at: Option<TimeMs>,
    },
    /// A caller asks something.
    Call { request: CallRequest, reply: oneshot::Sender<CallAnswer> },
    /// The store answered a call for the seat.
    Seat { sent_at: TimeMs, answer: JoinAnswer },
    /// Which nodes stand for the seat.
    Members { members: Vec<String> },
    /// The node has left the group.
    SeatLeft,
    /// Something for the owner of this epoch.
    Owner { epoch: u64, message: OwnerMessage },
    /// The process stops: the seat is to be given up.
    Stop { done: oneshot::Sender<()> },
}

/// A message for the owner.
pub(crate) enum OwnerMessage {
    /// All jobs of the store, read after the former owner was fenced.
    Recovered(Vec<KeyedRecord>),
    /// The batch in flight is stored.
    Stored,
    /// A later owner has fenced this one.
    Fenced,
    /// A worker told what runs there.
    Reported { worker: WorkerId, clock: WorkerClock, report: WorkerReport },
    /// A worker did not answer.
    Silent {
        worker: WorkerId,
        /// When a question that renewed its leases was sent.
        renewed_at: Option<TimeMs>,
        reason: String,
    },
    /// Another worker listens at the address of this one.
    Replaced { worker: WorkerId },
    /// A worker answered a start.
    Started { worker: WorkerId, task: TaskKey, attempt: u32, answer: StartAnswer },
    /// A worker answered a stop.
    Stopped { worker: WorkerId, task: TaskName, attempt: u32 },
    /// A worker did not answer a change of pace.
    PaceUnanswered { worker: WorkerId, task: TaskName, attempt: u32 },
    /// The list of VMs.
    VmsListed { sent_at: TimeMs, vms: Vec<VmEntry> },
    /// The list of VMs could not be read.
    VmsUnlisted,
    /// The advice service answered, or did not.
    Advised { question: AdviceRequest, answer: Option<AdviceAnswer> },
    /// The VM service answered an order.
    VmOrdered { order: VmOrder, answer: VmOrderAnswer },
}

/// A worker's clock at a moment of ours.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    pub(crate) worker_ms: u64,
    pub(crate) at: TimeMs,
}

/// Part of the time since a sample by which the clock of a worker has at least
/// moved on, in percent: it may be 2% slow.
const LEAST_ADVANCE_PERCENT: u64 = 98;

impl WorkerClock {
    /// A time that the clock of the worker has reached at `now`.
    pub(crate) fn reached(self, now: TimeMs) -> u64 {
        self.worker_ms + now.since(self.at) * LEAST_ADVANCE_PERCENT / 100
    }
}

/// The mailbox of the core as the tasks of one owner use it.
#[derive(Clone)]
pub(crate) struct OwnerMailbox {
    pub(crate) epoch: u64,
    pub(crate) core: mpsc::Sender<CoreMessage>,
}

impl OwnerMailbox {
    /// Sends a message; false if the core is gone.
    pub(crate) async fn send(&self, message: OwnerMessage) -> bool {
        self.core.send(CoreMessage::Owner { epoch: self.epoch, message }).await.is_ok()
    }
}
