//! The tasks that talk to the VM service: one reads the list, a few give
//! orders. A list that waited behind orders would be too old to decide with.

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

/// Links that give orders at the same time. With an answer in 20 ms they carry
/// 400 orders a second, twice what the service of the largest deployment takes.
const ORDER_LINKS: usize = 8;
/// Orders that wait for one link.
const WAITING_ORDERS: usize = 64;
/// Reads of the list that wait: the one that was asked for.
const WAITING_READS: usize = 1;

/// A request for the list.
pub(crate) struct ReadList;

/// Mailboxes of the tasks.
pub(crate) struct VmMailboxes {
    pub(crate) reads: mpsc::Sender<ReadList>,
    orders: Vec<mpsc::Sender<VmOrder>>,
}

impl VmMailboxes {
    /// Hands an order over; false if too many wait. Orders for one VM take the
    /// same link, so that they arrive in their order.
    pub(crate) fn order(&self, order: VmOrder) -> bool {
        let sum: usize = order.vm.bytes().map(usize::from).sum();
        self.orders[sum % self.orders.len()].try_send(order).is_ok()
    }
}

/// Starts the tasks of an owner.
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
    let (reads, mailbox) = mpsc::channel(WAITING_READS);
    let (owner, logger) = (|| owner.clone(), || logger.clone());
    tasks.spawn_local(read_lists(platform.vm_service(), clock, mailbox, owner(), logger()));
    let mut orders = Vec::with_capacity(ORDER_LINKS);
    for _ in 0..ORDER_LINKS {
        let (sender, mailbox) = mpsc::channel(WAITING_ORDERS);
        let service = platform.vm_service();
        tasks.spawn_local(give_orders(service, holder.to_owned(), mailbox, owner()));
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
            Ok(vms) => OwnerMessage::VmsListed { sent_at, vms },
            Err(error) => {
                warn!(logger, "list of VMs cannot be read"; "error" => %error);
                OwnerMessage::VmsUnlisted
            }
        };
        if !owner.send(message).await {
            return;
        }
    }
}

async fn give_orders<V>(
    mut service: V,
    holder: String,
    mut mailbox: mpsc::Receiver<VmOrder>,
    owner: OwnerMailbox,
) where
    V: VmService,
{
    while let Some(order) = mailbox.recv().await {
        let answer = service.order(&holder, owner.epoch, &order).await;
        if !owner.send(OwnerMessage::VmOrdered { order, answer }).await {
            return;
        }
    }
}
