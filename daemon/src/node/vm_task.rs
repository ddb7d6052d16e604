//! The tasks that call the VM service: one reads the list of VMs, and a few
//! send orders. They are separate because a list that was delayed by orders
//! would be too old for decisions.

use cowslipport_lib::workload::vm::VmOrder;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
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

/// A request to read the list of VMs.
pub(crate) struct ReadList;

/// Mailboxes of the tasks.
pub(crate) struct VmMailboxes {
    pub(crate) reads: mpsc::Sender<ReadList>,
    orders: Vec<mpsc::Sender<VmOrder>>,
}

impl VmMailboxes {
    /// Queues an order. Returns false if the queue is full. All orders for a VM
    /// go through the same task, so that they arrive in sequence.
    pub(crate) fn send_order(&self, order: VmOrder) -> bool {
        let hash: usize = order.vm.bytes().map(usize::from).sum();
        self.orders[hash % self.orders.len()].try_send(order).is_ok()
    }
}

/// Starts the tasks and returns their mailboxes.
pub(crate) fn spawn<P>(
    platform: &P,
    holder: &str,
    clock: Clock,
    owner: &OwnerMailbox,
    logger: &Logger,
    tasks: &mut JoinSet<()>,
) -> VmMailboxes
where
    P: Platform,
{
    let (reads, mailbox) = mpsc::channel(READ_QUEUE_CAPACITY);
    let (owner, logger) = (|| owner.clone(), || logger.clone());
    tasks.spawn_local(read_lists(platform.vm_service(), clock, mailbox, owner(), logger()));
    let mut orders = Vec::with_capacity(ORDER_TASKS);
    for _ in 0..ORDER_TASKS {
        let (sender, mailbox) = mpsc::channel(ORDER_QUEUE_CAPACITY);
        let service = platform.vm_service();
        tasks.spawn_local(send_orders(service, holder.to_owned(), mailbox, owner()));
        orders.push(sender);
    }
    VmMailboxes { reads, orders }
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

async fn send_orders<V>(
    mut service: V,
    holder: String,
    mut mailbox: mpsc::Receiver<VmOrder>,
    owner: OwnerMailbox,
) where
    V: VmService,
{
    while let Some(order) = mailbox.recv().await {
        let answer = service.order(&holder, owner.epoch, &order).await;
        if !owner.send(OwnerMessage::VmOrderAnswered { order, answer }).await {
            return;
        }
    }
}
