//! Connections of the owner to the workers: for each worker a task that polls
//! it and a task that sends orders to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Acknowledgement;
use cowslipport_lib::workload::order::Order;
use slog::Logger;
use slog::o;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::WorkerClockReading;
use crate::node::order_task::ORDER_QUEUE_CAPACITY;
use crate::node::order_task::OrderTask;
use crate::node::order_task::QueuedOrder;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::platform::Platform;
use crate::node::platform::WorkerLease;
use crate::node::poll_task::PollActivity;
use crate::node::poll_task::PollMessage;
use crate::node::poll_task::PollState;
use crate::node::poll_task::PollTask;

/// Capacity of the mailbox of a poll task, which reads it about once a second.
const POLL_MAILBOX_CAPACITY: usize = 64;

/// Connections to all workers.
pub(crate) struct WorkerConnections<P> {
    platform: P,
    clock: Clock,
    ownership: OwnershipCheck,
    owner: OwnerMailbox,
    logger: Logger,
    connections: BTreeMap<WorkerId, WorkerConnection>,
}

/// Mailboxes of the two tasks of one worker, with the last reading of the
/// worker's clock.
struct WorkerConnection {
    address: SocketAddr,
    polls: mpsc::Sender<PollMessage>,
    orders: mpsc::Sender<QueuedOrder>,
    activity: Option<PollActivity>,
    worker_clock: Option<WorkerClockReading>,
    is_unreachable: bool,
    /// Aborted when the connection is dropped.
    _tasks: JoinSet<()>,
}

impl<P> WorkerConnections<P>
where
    P: Platform,
{
    pub(crate) fn new(
        platform: P,
        clock: Clock,
        ownership: OwnershipCheck,
        owner: OwnerMailbox,
        logger: Logger,
    ) -> Self {
        Self { platform, clock, ownership, owner, logger, connections: BTreeMap::new() }
    }

    /// Connects to a worker, or connects again if the address has changed.
    pub(crate) fn connect(&mut self, id: WorkerId, name: &str, address: SocketAddr) {
        if self.connections.get(&id).is_some_and(|connection| connection.address == address) {
            return;
        }
        let logger = self.logger.new(o!("worker" => name.to_owned()));
        let (polls, poll_mailbox) = mpsc::channel(POLL_MAILBOX_CAPACITY);
        let (orders, order_mailbox) = mpsc::channel(ORDER_QUEUE_CAPACITY);
        let poll_task = PollTask {
            worker: id,
            client: self.platform.worker(name, address),
            clock: self.clock,
            ownership: self.ownership.clone(),
            mailbox: poll_mailbox,
            owner: self.owner.clone(),
            state: PollState::default(),
        };
        let order_task = OrderTask {
            worker: id,
            client: self.platform.worker(name, address),
            clock: self.clock,
            ownership: self.ownership.clone(),
            mailbox: order_mailbox,
            owner: self.owner.clone(),
            logger,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn_local(poll_task.run());
        tasks.spawn_local(order_task.run());
        let connection = WorkerConnection {
            address,
            polls,
            orders,
            activity: None,
            worker_clock: None,
            is_unreachable: false,
            _tasks: tasks,
        };
        self.connections.insert(id, connection);
    }

    /// Ends the connections to all workers.
    pub(crate) fn disconnect_all(&mut self) {
        self.connections.clear();
    }

    /// Ends the connection to a worker.
    pub(crate) fn disconnect(&mut self, id: WorkerId) {
        self.connections.remove(&id);
    }

    /// Notes that a worker answered a poll. Returns true if the worker was
    /// unreachable before.
    pub(crate) fn mark_reachable(&mut self, id: WorkerId, clock: WorkerClockReading) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.worker_clock = Some(clock);
        std::mem::replace(&mut connection.is_unreachable, false)
    }

    /// Notes that a worker did not answer a poll. Returns true if the worker
    /// was reachable before.
    pub(crate) fn mark_unreachable(&mut self, id: WorkerId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        !std::mem::replace(&mut connection.is_unreachable, true)
    }

    /// Tells the poll task that the store has ended tasks, which the worker may
    /// then forget.
    pub(crate) fn acknowledge(&mut self, acknowledgement: Acknowledgement) {
        let Some(connection) = self.connections.get(&acknowledgement.worker) else { return };
        if connection.polls.try_send(PollMessage::Acknowledged(acknowledgement)).is_err() {
            warn!(self.logger, "acknowledgement dropped; the worker repeats its report";
                "number" => acknowledgement.number);
        }
    }

    /// Tells the poll task what the worker is polled for. Returns false if its mailbox
    /// is full.
    pub(crate) fn set_activity(&mut self, id: WorkerId, activity: PollActivity) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return true };
        if connection.activity == Some(activity) {
            return true;
        }
        match connection.polls.try_send(PollMessage::Activity(activity)) {
            Ok(()) => {
                connection.activity = Some(activity);
                true
            }
            Err(TrySendError::Full(_)) => false,
            // The poll task has ended; the owner hears why from its last message.
            Err(TrySendError::Closed(_)) => true,
        }
    }

    /// Queues an order. Returns false if the order cannot be sent. A start gets its lease
    /// by the clock of the incarnation that it is for.
    pub(crate) fn send(&mut self, now: TimeMs, id: WorkerId, order: Order) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let lease = match (&order, connection.worker_clock) {
            (Order::Start(start), Some(clock))
                if clock.incarnation_unix_ms == start.incarnation_unix_ms =>
            {
                clock.new_lease(now)
            }
            (Order::Start(_), Some(_) | None) => return false,
            (Order::Stop { .. } | Order::Pace { .. }, _) => WorkerLease::default(),
        };
        connection.orders.try_send(QueuedOrder { order, created_at: now, lease }).is_ok()
    }
}
