//! The tasks of each worker, as the owner holds them.

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
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::hold::HoldMessage;
use crate::node::hold::HoldState;
use crate::node::hold::HoldTask;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::WorkerClock;
use crate::node::orders::DatedOrder;
use crate::node::orders::OrderTask;
use crate::node::orders::WAITING_ORDERS;
use crate::node::platform::Platform;
use crate::node::settings::LEASE_MS;

/// Messages that wait for a hold task, which takes them every second or so.
const WAITING_HOLD_MESSAGES: usize = 64;

/// The tasks of all workers.
pub(crate) struct WorkerLinks<P> {
    platform: P,
    clock: Clock,
    owner: OwnerMailbox,
    logger: Logger,
    links: BTreeMap<WorkerId, WorkerLink>,
}

/// The tasks of one worker, and what is known of its leases.
struct WorkerLink {
    address: SocketAddr,
    hold: mpsc::Sender<HoldMessage>,
    orders: mpsc::Sender<DatedOrder>,
    activity: Option<(bool, bool)>,
    sample: Option<WorkerClock>,
    is_silent: bool,
    /// Ends with the link.
    _tasks: JoinSet<()>,
}

impl<P> WorkerLinks<P>
where
    P: Platform,
{
    pub(crate) fn new(platform: P, clock: Clock, owner: OwnerMailbox, logger: Logger) -> Self {
        Self { platform, clock, owner, logger, links: BTreeMap::new() }
    }

    /// Connects to a worker, anew if its address has changed.
    pub(crate) fn connect(&mut self, id: WorkerId, name: &str, address: SocketAddr) {
        if self.links.get(&id).is_some_and(|link| link.address == address) {
            return;
        }
        let logger = self.logger.new(o!("worker" => name.to_owned()));
        let (hold, hold_mailbox) = mpsc::channel(WAITING_HOLD_MESSAGES);
        let (orders, order_mailbox) = mpsc::channel(WAITING_ORDERS);
        let hold_task = HoldTask {
            worker: id,
            link: self.platform.worker(name, address),
            clock: self.clock,
            mailbox: hold_mailbox,
            owner: self.owner.clone(),
            state: HoldState::default(),
        };
        let order_task = OrderTask {
            worker: id,
            link: self.platform.worker(name, address),
            clock: self.clock,
            mailbox: order_mailbox,
            owner: self.owner.clone(),
            logger,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn_local(hold_task.run());
        tasks.spawn_local(order_task.run());
        let link = WorkerLink {
            address,
            hold,
            orders,
            activity: None,
            sample: None,
            is_silent: false,
            _tasks: tasks,
        };
        self.links.insert(id, link);
    }

    /// Ends the tasks of all workers.
    pub(crate) fn disconnect_all(&mut self) {
        self.links.clear();
    }

    /// Ends the tasks of a worker.
    pub(crate) fn disconnect(&mut self, id: WorkerId) {
        self.links.remove(&id);
    }

    /// A worker answered. Returns true if it was silent before.
    pub(crate) fn answered(&mut self, id: WorkerId, clock: WorkerClock) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        link.sample = Some(clock);
        std::mem::replace(&mut link.is_silent, false)
    }

    /// A worker did not answer. Returns true if it did before.
    pub(crate) fn silent(&mut self, id: WorkerId) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        !std::mem::replace(&mut link.is_silent, true)
    }

    /// Lets a worker forget ends.
    pub(crate) fn acknowledge(&mut self, acknowledgement: Acknowledgement) {
        let Some(link) = self.links.get(&acknowledgement.worker) else { return };
        if link.hold.try_send(HoldMessage::Acknowledged(acknowledgement)).is_err() {
            // The worker lists the ends again.
            warn!(self.logger, "acknowledgement is dropped";
                "number" => acknowledgement.number);
        }
    }

    /// Tells the task of a worker whether tasks may run there.
    pub(crate) fn set_activity(&mut self, id: WorkerId, is_active: bool, renews: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.activity == Some((is_active, renews)) {
            return;
        }
        if link.hold.try_send(HoldMessage::Activity { is_active, renews }).is_ok() {
            link.activity = Some((is_active, renews));
        }
    }

    /// Sends an order. Returns false if it cannot be sent.
    pub(crate) fn send(&mut self, now: TimeMs, id: WorkerId, order: Order) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        let lease_until_worker_ms = match (&order, link.sample) {
            (Order::Start(_), Some(sample)) => sample.reached(now) + LEASE_MS,
            (Order::Start(_), None) => return false,
            (Order::Stop { .. } | Order::Pace { .. }, _) => 0,
        };
        link.orders.try_send(DatedOrder { order, made_at: now, lease_until_worker_ms }).is_ok()
    }
}
