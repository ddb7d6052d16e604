//! Messages between the tasks of a node.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::advice::AdviceAnswer;
use cowslipport_lib::workload::advice::AdviceRequest;
use cowslipport_lib::workload::key::TaskKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::preview::PreviewAnswer;
use cowslipport_lib::workload::preview::PreviewQuestion;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::node::calls::CallRequest;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Topic;
use crate::node::platform::WorkerLease;
use crate::node::settings::LEASE_MS;
use crate::node::vm_task::QueuedVmOrder;

/// Capacity of the core's mailbox. Calls beyond it are refused at once.
pub(crate) const CORE_MAILBOX_CAPACITY: usize = 2_048;

/// Records that a read of a topic returned.
#[derive(Clone, Debug)]
pub(crate) enum TopicUpdate {
    /// The newest record of each key. All other keys have been deleted.
    Snapshot(Vec<KeyedRecord>),
    /// Later records, perhaps none.
    Records(Vec<KeyedRecord>),
}

/// A message for the core.
pub(crate) enum CoreMessage {
    /// A topic was read.
    TopicUpdate {
        topic: Topic,
        update: TopicUpdate,
        /// When the read was sent, if it reached the end of the topic. The core
        /// then knows all records that are older than this.
        confirmed_at: Option<TimeMs>,
    },
    /// A call of a submitter.
    Call { request: CallRequest, reply: oneshot::Sender<CallAnswer> },
    /// A question of an operator: what would happen to a job.
    Preview { question: PreviewQuestion, reply: oneshot::Sender<PreviewAnswer> },
    /// Whether the head of a call suffices to refuse it.
    CheckHead { request: CallRequest, reply: oneshot::Sender<Option<CallAnswer>> },
    /// The store answered a call to join the group.
    Joined { sent_at: TimeMs, answer: JoinAnswer },
    /// The nodes in the group, which are the candidates for ownership.
    Members { members: Vec<String> },
    /// The node has left the group.
    LeftGroup,
    /// A message for the owner of this epoch.
    Owner { epoch: u64, message: OwnerMessage },
    /// The process is shutting down: the core releases the ownership.
    Shutdown { done: oneshot::Sender<()> },
}

/// A message for the owner.
pub(crate) enum OwnerMessage {
    /// All job records of the store, read after the former owner was fenced.
    Recovered(Vec<KeyedRecord>),
    /// The store has what a successor needs of the batch in flight.
    Stored { batch: u64 },
    /// The store also has what all nodes need of the batches up to this one.
    Published { batch: u64 },
    /// A later owner has fenced this one.
    Fenced,
    /// A worker answered a poll.
    Reported { worker: WorkerId, clock: WorkerClockReading, report: WorkerReport },
    /// A worker did not answer a poll.
    Unreachable {
        worker: WorkerId,
        /// When the poll was sent, if it renewed the worker's leases.
        renewed_at: Option<TimeMs>,
        reason: String,
    },
    /// Another worker listens at the address of this one.
    Replaced { worker: WorkerId },
    /// A worker answered the start of an attempt.
    StartAnswered { worker: WorkerId, task: TaskKey, attempt: u32, reply: StartReply },
    /// A worker answered the stop of an attempt.
    StopAnswered { worker: WorkerId, task: TaskName, attempt: u32, ordered_at: TimeMs },
    /// A worker did not answer a change of pace.
    PaceUnanswered { worker: WorkerId, task: TaskName, attempt: u32 },
    /// The list of VMs was read.
    VmListRead { sent_at: TimeMs, vms: Vec<VmEntry> },
    /// The list of VMs could not be read.
    VmListFailed,
    /// The advice service answered a request, or the call failed.
    AdviceAnswered { request: AdviceRequest, answer: Option<AdviceAnswer> },
    /// The VM service answered an order.
    VmOrderAnswered { queued: QueuedVmOrder, answer: VmOrderAnswer },
}

/// Reading of a worker's clock, with the time on the local clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClockReading {
    /// Start of the incarnation in milliseconds since 1970, if it is known.
    pub(crate) incarnation_unix_ms: Option<u64>,
    pub(crate) worker_ms: u64,
    pub(crate) at: TimeMs,
}

/// Least speed of a worker's clock relative to the local clock, in percent: a
/// worker's clock may be 2% slow.
const MIN_CLOCK_SPEED_PERCENT: u64 = 98;

impl WorkerClockReading {
    /// A lease that is granted at `now`.
    pub(crate) fn new_lease(self, now: TimeMs) -> WorkerLease {
        let lower_bound = self.worker_ms + now.since(self.at) * MIN_CLOCK_SPEED_PERCENT / 100;
        WorkerLease {
            incarnation_unix_ms: self.incarnation_unix_ms,
            until_worker_ms: lower_bound + LEASE_MS,
        }
    }
}

/// Handle with which the tasks of one owner send messages to the core.
#[derive(Clone)]
pub(crate) struct OwnerMailbox {
    pub(crate) epoch: u64,
    pub(crate) core: mpsc::Sender<CoreMessage>,
}

impl OwnerMailbox {
    /// Sends a message. Returns false if the core has ended.
    pub(crate) async fn send(&self, message: OwnerMessage) -> bool {
        self.core.send(CoreMessage::Owner { epoch: self.epoch, message }).await.is_ok()
    }
}
