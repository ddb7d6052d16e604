//! The task that chooses an upstream for each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::TeamId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::replica::ControlFeed;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use subtle::ConstantTimeEq;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::authority::View;
use crate::clock::Clock;
use crate::peer_task::PeerMessage;

const MAILBOX_MESSAGES: usize = 4096;
const IN_FLIGHT_INTERVAL: Duration = Duration::from_millis(250);

/// Messages of the router task.
pub(crate) enum RouterMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// The state of the view.
    View(View),
    /// Requests in flight from another process.
    PeerInFlight { session: SessionId, in_flight: BTreeMap<VmId, u32> },
    /// Asks for an upstream.
    Route { request: RouteRequest, reply: oneshot::Sender<RouteReply> },
    /// A request that was sent to a VM ended.
    Finished { vm: VmId },
}

/// A request that asks for an upstream.
#[derive(Debug)]
pub(crate) struct RouteRequest {
    /// Name of the pool.
    pub(crate) pool: String,
    /// Key of the team, as presented.
    pub(crate) key: String,
}

/// Answer to a request for an upstream.
#[derive(Debug)]
pub(crate) enum RouteReply {
    /// Send the request here.
    Send {
        /// The VM.
        vm: VmId,
        /// Address of its upstream instance.
        address: SocketAddr,
    },
    /// The key is not granted.
    KeyNotGranted,
    /// The pool does not exist.
    PoolUnknown,
    /// The view is stale.
    ViewStale,
    /// No upstream is in service.
    NoUpstream,
}

/// The mailbox of a router task that is about to start.
pub(crate) fn mailbox() -> (mpsc::Sender<RouterMessage>, mpsc::Receiver<RouterMessage>) {
    mpsc::channel(MAILBOX_MESSAGES)
}

/// Owner of the routing state.
pub(crate) struct RouterTask {
    clock: Clock,
    logger: Logger,
    peer: mpsc::Sender<PeerMessage>,
    state: ControlState,
    view: View,
    own: BTreeMap<VmId, u32>,
    peers: BTreeMap<SessionId, BTreeMap<VmId, u32>>,
}

impl RouterTask {
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
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
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<RouterMessage>) {
        let mut ticks = tokio::time::interval(IN_FLIGHT_INTERVAL);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => {
                    // The next report carries newer counts.
                    let _ = self.peer.try_send(PeerMessage::InFlight(self.own.clone()));
                }
            }
        }
    }

    fn handle(&mut self, message: RouterMessage) {
        match message {
            RouterMessage::Control(feed) => {
                self.state.follow(&feed);
                self.peers.retain(|session, _| self.state.sessions.contains_key(session));
            }
            RouterMessage::View(view) => self.view = view,
            RouterMessage::PeerInFlight { session, in_flight } => {
                self.peers.insert(session, in_flight);
            }
            RouterMessage::Route { request, reply } => {
                let answer = self.route(&request);
                if let Err(RouteReply::Send { vm, .. }) = reply.send(answer) {
                    self.finished(vm);
                }
            }
            RouterMessage::Finished { vm } => self.finished(vm),
        }
    }

    fn finished(&mut self, vm: VmId) {
        if let Some(count) = self.own.get_mut(&vm) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(&vm);
            }
        }
    }

    fn route(&mut self, request: &RouteRequest) -> RouteReply {
        if self.view.at(self.clock.now()) == ViewState::Stale {
            return RouteReply::ViewStale;
        }
        let Some(team) = self.team_of_key(&request.key) else { return RouteReply::KeyNotGranted };
        let Some(pool) = self.state.pool_by_name(&request.pool) else {
            return RouteReply::PoolUnknown;
        };
        let mut eligible: Vec<(u32, VmId, SocketAddr)> = Vec::new();
        for (id, vm) in self.state.vms.iter().filter(|(_, vm)| vm.pool == pool) {
            if self.state.is_routable(vm)
                && let Ok(address) = vm.joined.upstream_address.parse()
            {
                eligible.push((self.known_in_flight(id), id, address));
            }
        }
        let Some((in_flight, vm, address)) = eligible.iter().min().copied() else {
            return RouteReply::NoUpstream;
        };
        *self.own.entry(vm).or_insert(0) += 1;
        info!(self.logger, "request routed"; "subject" => &request.pool, "team" => team.0,
            "decision" => vm.0, "reason" => "least_in_flight", "in_flight" => in_flight,
            "eligible" => eligible.len());
        RouteReply::Send { vm, address }
    }

    fn known_in_flight(&self, vm: VmId) -> u32 {
        let others: u32 = self.peers.values().filter_map(|counts| counts.get(&vm)).sum();
        self.own.get(&vm).copied().unwrap_or(0) + others
    }

    fn team_of_key(&self, key: &str) -> Option<TeamId> {
        let hash = Sha256::digest(key.as_bytes());
        let mut found = None;
        for (id, team) in self.state.teams.iter() {
            for granted in &team.spec.keys {
                if bool::from(granted.sha256.ct_eq(hash.as_slice())) {
                    found = Some(id);
                }
            }
        }
        found
    }
}
