//! The tasks that call the VM service: one reads the list of VMs, and a few
//! send orders. They are separate because a list that was delayed by orders
//! would be too old for decisions.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::platform::Platform;
use crate::node::platform::VmService;

/// Number of tasks that send orders. If the service answers in 20 ms, they send
/// 400 orders a second, twice what the service of the largest deployment
/// accepts.
const ORDER_TASKS: usize = 8;
/// Capacity of the queue of one task that sends orders.
const ORDER_QUEUE_CAPACITY: usize = 64;
/// Capacity of the queue of reads: the owner requests one read at a time.
const READ_QUEUE_CAPACITY: usize = 1;
/// An order that was planned longer ago is not sent. From 4 s after its planning
/// on, an order without an effect in the list of VMs may count as ineffective,
/// and tasks are placed on its VM again. The rest of that time is left for the
/// call and for the list.
pub(crate) const VM_ORDER_AGE_MAX_MS: u64 = 1_000;

/// A request to read the list of VMs.
pub(crate) struct ReadList;

/// An order with the time at which it was planned.
#[derive(Clone, Debug)]
pub(crate) struct QueuedVmOrder {
    pub(crate) order: VmOrder,
    pub(crate) planned_at: TimeMs,
}

/// Mailboxes of the tasks.
pub(crate) struct VmMailboxes {
    pub(crate) reads: mpsc::Sender<ReadList>,
    orders: Vec<mpsc::Sender<QueuedVmOrder>>,
}

impl VmMailboxes {
    /// Queues an order. Returns false if the queue is full. All orders for a VM
    /// go through the same task, so that they arrive in sequence.
    pub(crate) fn send_order(&self, queued: QueuedVmOrder) -> bool {
        let hash: usize = queued.order.vm.bytes().map(usize::from).sum();
        self.orders[hash % self.orders.len()].try_send(queued).is_ok()
    }
}

/// What the tasks need.
pub(crate) struct VmTasks<'a, P> {
    pub(crate) platform: &'a P,
    /// Name of this node, under which orders are sent.
    pub(crate) holder: &'a str,
    pub(crate) clock: Clock,
    pub(crate) ownership: &'a OwnershipCheck,
    pub(crate) owner: &'a OwnerMailbox,
    pub(crate) logger: &'a Logger,
}

impl<P> VmTasks<'_, P>
where
    P: Platform,
{
    /// Starts the tasks and returns their mailboxes.
    pub(crate) fn spawn(&self, tasks: &mut JoinSet<()>) -> VmMailboxes {
        let (reads, mailbox) = mpsc::channel(READ_QUEUE_CAPACITY);
        let service = self.platform.vm_service();
        let (owner, logger) = (self.owner.clone(), self.logger.clone());
        tasks.spawn_local(read_lists(service, self.clock, mailbox, owner, logger));
        let mut orders = Vec::with_capacity(ORDER_TASKS);
        for _ in 0..ORDER_TASKS {
            let (sender, mailbox) = mpsc::channel(ORDER_QUEUE_CAPACITY);
            let task = VmOrderTask {
                service: self.platform.vm_service(),
                holder: self.holder.to_owned(),
                clock: self.clock,
                ownership: self.ownership.clone(),
                mailbox,
                owner: self.owner.clone(),
                logger: self.logger.clone(),
            };
            tasks.spawn_local(task.run());
            orders.push(sender);
        }
        VmMailboxes { reads, orders }
    }
}

async fn read_lists<V>(
    mut service: V,
    clock: Clock,
    mut mailbox: mpsc::Receiver<ReadList>,
    owner: OwnerMailbox,
    logger: Logger,
) where
    V: VmService,
{
    while let Some(ReadList) = mailbox.recv().await {
        let sent_at = clock.now();
        let message = match service.list().await {
            Ok(vms) => OwnerMessage::VmListRead { sent_at, vms },
            Err(error) => {
                warn!(logger, "reading the list of VMs failed"; "error" => %error);
                OwnerMessage::VmListFailed
            }
        };
        if !owner.send(message).await {
            return;
        }
    }
}

/// Sends orders to the VM service, one at a time.
struct VmOrderTask<V> {
    service: V,
    holder: String,
    clock: Clock,
    ownership: OwnershipCheck,
    mailbox: mpsc::Receiver<QueuedVmOrder>,
    owner: OwnerMailbox,
    logger: Logger,
}

impl<V> VmOrderTask<V>
where
    V: VmService,
{
    async fn run(mut self) {
        while let Some(queued) = self.mailbox.recv().await {
            let answer = self.send(&queued).await;
            if !self.owner.send(OwnerMessage::VmOrderAnswered { queued, answer }).await {
                return;
            }
        }
    }

    /// Sends an order, unless it has become too old while it was queued, or
    /// another node may have become the owner.
    async fn send(&mut self, queued: &QueuedVmOrder) -> VmOrderAnswer {
        let order = &queued.order;
        let is_old = self.clock.now().since(queued.planned_at) > VM_ORDER_AGE_MAX_MS;
        if is_old || !self.ownership.is_confirmed() {
            let reason = if is_old { "too old" } else { "the ownership is not confirmed" };
            warn!(self.logger, "VM order dropped"; "vm" => &order.vm, "reason" => reason);
            return VmOrderAnswer::Refused;
        }
        self.service.order(&self.holder, self.owner.epoch, order).await
    }
}
