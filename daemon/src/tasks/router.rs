//! The task that chooses an upstream for each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ejection::ExchangeResult;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::refusal::RefusalReason;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::replica::ReplicaChange;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::route::routing::RouteDecision;
use cowslipport_lib::route::routing::RouteRequest;
use cowslipport_lib::route::routing::Router;
use cowslipport_lib::route::routing::RouterSettings;
use metrics::counter;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::authority::View;
use crate::clock::Clock;
use crate::peer_report::OwnLoad;
use crate::placement_log::vm_name;
use crate::tasks::peer::PeerMessage;
use crate::violation;

const MAILBOX_CAPACITY: usize = 4096;
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between checks of the deadlines of waiting requests.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Messages of the router task.
pub(crate) enum RouterMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// The state of the view changed.
    View(View),
    /// Another process reported its requests in flight.
    PeerInFlight { session: SessionId, in_flight: BTreeMap<VmId, u32> },
    /// Asks for the organisation of a key.
    Organisation { key: KeyDigest, reply: oneshot::Sender<Option<OrganisationId>> },
    /// Asks for an upstream. A closed reply channel means that the caller has
    /// disconnected.
    Route { request: RouteRequest, reply: oneshot::Sender<RouteReply> },
    /// The caller of a waiting request has disconnected.
    Abandon(RequestId),
    /// A request that was sent to a VM ended.
    Finished { vm: VmId, result: ExchangeResult },
}

/// Answer to a request for an upstream.
#[derive(Debug)]
pub(crate) enum RouteReply {
    /// Send the request to an upstream.
    Send {
        /// The VM.
        vm: VmId,
        /// Address of its upstream instance.
        address: SocketAddr,
    },
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after_ms: Option<u64>,
    },
}

struct WaitingRequest {
    pool: String,
    reply: oneshot::Sender<RouteReply>,
}

/// Creates the mailbox of the router task.
pub(crate) fn mailbox() -> (mpsc::Sender<RouterMessage>, mpsc::Receiver<RouterMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task that owns the routing state.
pub(crate) struct RouterTask {
    clock: Clock,
    logger: Logger,
    peer: mpsc::Sender<PeerMessage>,
    state: ControlState,
    view: View,
    router: Router,
    waiting: BTreeMap<RequestId, WaitingRequest>,
}

impl RouterTask {
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
        settings: RouterSettings,
        clock: Clock,
        logger: Logger,
        peer: mpsc::Sender<PeerMessage>,
        receiver: mpsc::Receiver<RouterMessage>,
    ) {
        let task = Self {
            clock,
            logger,
            peer,
            state: ControlState::default(),
            view: View::STALE,
            router: Router::new(settings),
            waiting: BTreeMap::new(),
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<RouterMessage>) {
        let mut reports = tokio::time::interval(LOAD_REPORT_INTERVAL);
        let mut deadlines = tokio::time::interval(DEADLINE_CHECK_INTERVAL);
        deadlines.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = reports.tick() => {
                    let in_flight = self.router.in_flight().collect();
                    let load = OwnLoad { in_flight, waiting: self.waiting_by_pool() };
                    // A dropped message does no harm: the next one carries
                    // newer counts.
                    let _ = self.peer.try_send(PeerMessage::Load(load));
                }
                _ = deadlines.tick(), if !self.waiting.is_empty() => {}
            }
            self.serve_waiting();
        }
    }

    fn waiting_by_pool(&self) -> BTreeMap<PoolId, u32> {
        let mut counts = BTreeMap::new();
        for waiting in self.waiting.values() {
            if let Some(pool) = self.state.pool_by_name(&waiting.pool) {
                *counts.entry(pool).or_insert(0) += 1;
            }
        }
        counts
    }

    fn handle(&mut self, message: RouterMessage) {
        let now = self.clock.now();
        match message {
            RouterMessage::Control(feed) => match self.state.apply_feed(&feed) {
                ReplicaChange::All => self.router.rebuild(now, &self.state),
                ReplicaChange::Some(changes) => self.router.refresh(now, &self.state, &changes),
            },
            RouterMessage::View(view) => self.view = view,
            RouterMessage::PeerInFlight { session, in_flight } => {
                if self.state.sessions.contains_key(&session) {
                    self.router.set_peer_in_flight(now, session, in_flight);
                }
            }
            RouterMessage::Organisation { key, reply } => {
                // The asker may have stopped waiting.
                let _ = reply.send(self.router.organisation(&key));
            }
            RouterMessage::Route { request, reply } => self.route(request, reply),
            RouterMessage::Abandon(id) => {
                self.router.cancel_queued(id);
                self.waiting.remove(&id);
            }
            RouterMessage::Finished { vm, result } => self.router.finished(now, vm, result),
        }
    }

    fn route(&mut self, request: RouteRequest, reply: oneshot::Sender<RouteReply>) {
        let now = self.clock.now();
        self.router.set_view(self.view.at(now));
        let (id, pool) = (request.id, request.pool.clone());
        let decision = self.router.route(now, request);
        self.log(&pool, id, &decision);
        if matches!(decision, RouteDecision::Queue { .. }) {
            self.waiting.insert(id, WaitingRequest { pool, reply });
        } else {
            self.answer(reply, &decision);
        }
    }

    fn serve_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.router.set_view(self.view.at(now));
        for event in self.router.serve_queues(now) {
            let Some(waiting) = self.waiting.remove(&event.id) else { continue };
            self.log(&waiting.pool, event.id, &event.decision);
            self.answer(waiting.reply, &event.decision);
        }
    }

    fn answer(&mut self, reply: oneshot::Sender<RouteReply>, decision: &RouteDecision) {
        let answer = match decision {
            RouteDecision::Send { vm, .. } => {
                match self.router.address(*vm).and_then(|address| address.parse().ok()) {
                    Some(address) => RouteReply::Send { vm: *vm, address },
                    None => {
                        let result = ExchangeResult::ConnectFailed;
                        self.router.finished(self.clock.now(), *vm, result);
                        let reason = RefusalReason::NoUpstream;
                        RouteReply::Refuse { reason, retry_after_ms: None }
                    }
                }
            }
            RouteDecision::Refuse { reason, retry_after_ms } => {
                RouteReply::Refuse { reason: *reason, retry_after_ms: *retry_after_ms }
            }
            RouteDecision::Violated(_) => {
                RouteReply::Refuse { reason: RefusalReason::NoUpstream, retry_after_ms: None }
            }
            RouteDecision::Queue { .. } => return,
        };
        if let Err(RouteReply::Send { vm, .. }) = reply.send(answer) {
            self.router.finished(self.clock.now(), vm, ExchangeResult::Abandoned);
        }
    }

    fn log(&self, pool: &str, id: RequestId, decision: &RouteDecision) {
        match decision {
            RouteDecision::Send { vm, reason, eligible } => {
                counter!("cowslipport_routing_decisions_total", "decision" => "send",
                    "reason" => reason.name())
                .increment(1);
                let names = || -> Vec<String> {
                    eligible.iter().map(|vm| vm_name(&self.state, *vm)).collect()
                };
                info!(self.logger, "request routed"; "subject" => pool, "request" => id.0,
                    "decision" => "send", "choice" => vm_name(&self.state, *vm),
                    "reason" => reason.name(),
                    "eligible" => slog::FnValue(|_| names().join(",")));
            }
            RouteDecision::Queue { position } => {
                counter!("cowslipport_routing_decisions_total", "decision" => "queue",
                    "reason" => "no_free_slot")
                .increment(1);
                info!(self.logger, "request routed"; "subject" => pool, "request" => id.0,
                    "decision" => "queue", "choice" => position, "reason" => "no_free_slot",
                    "eligible" => "");
            }
            RouteDecision::Violated(violation) => violation::report(&self.logger, violation),
            RouteDecision::Refuse { reason, .. } => {
                counter!("cowslipport_routing_decisions_total", "decision" => "refuse",
                    "reason" => reason.name())
                .increment(1);
                info!(self.logger, "request routed"; "subject" => pool, "request" => id.0,
                    "decision" => "refuse", "choice" => "", "reason" => reason.name(),
                    "eligible" => "");
            }
        }
    }
}
