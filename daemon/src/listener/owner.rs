//! The task that accepts connections and owns what is decided about them.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use cowslipport_lib::intake::Cause;
use cowslipport_lib::intake::ConnectionKey;
use cowslipport_lib::intake::Intake;
use cowslipport_lib::intake::IntakeAction;
use cowslipport_lib::intake::IntakeLimits;
use cowslipport_lib::intake::STEP_BYTES;
use cowslipport_lib::intake::Stage;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::listener::KEEP_ALIVE;
use crate::listener::ListenLimits;
use crate::listener::messages::ConnectionHandle;
use crate::listener::messages::Event;
use crate::listener::messages::StreamOrder;

/// Interval at which times are checked and metrics are set while there are connections.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same while connections wait for room, and the pause after a failure to accept, for
/// which the usual cause is that no descriptor is left.
const SHORT_INTERVAL: Duration = Duration::from_millis(50);
/// Closed connections whose descriptors may not be free yet.
const MAX_CLOSING: usize = 32;

/// What the owner knows of a connection besides what the intake does.
struct Peer {
    orders: mpsc::UnboundedSender<StreamOrder>,
    /// Refuses the request whose body is arriving.
    refuse: Option<oneshot::Sender<()>>,
    /// Closes the connection after the answer to the present request.
    leave: Option<oneshot::Sender<()>>,
    task: AbortHandle,
}

/// Tells the owner that a connection has ended, in whatever way.
struct ClosedGuard {
    handle: ConnectionHandle,
}

impl Drop for ClosedGuard {
    fn drop(&mut self) {
        self.handle.tell_owner(Event::Closed { key: self.handle.key });
    }
}

/// The owner of a listener's connections.
pub(super) struct Owner {
    limits: ListenLimits,
    intake: Intake,
    peers: BTreeMap<ConnectionKey, Peer>,
    connections: JoinSet<()>,
    events: mpsc::UnboundedReceiver<Event>,
    events_sender: mpsc::UnboundedSender<Event>,
    clock: Clock,
    logger: Logger,
    /// Connections that gave way since this was last logged.
    gave_way: BTreeMap<Cause, u64>,
    /// Failures to accept since they were last logged, with the last one.
    accept_failures: Option<(u64, std::io::Error)>,
    accept_at: Instant,
    check_at: Instant,
    /// Whether the metrics may differ from what was reported.
    has_news: bool,
}

impl Owner {
    pub(super) fn new(limits: ListenLimits, logger: Logger) -> Self {
        let (events_sender, events) = mpsc::unbounded_channel();
        let intake = Intake::new(IntakeLimits {
            connections: limits.max_connections,
            budget_bytes: limits.body_memory_bytes,
            quiet_ms: as_ms(KEEP_ALIVE + limits.head_timeout),
            body_ms: as_ms(limits.body_timeout),
        });
        Self {
            limits,
            intake,
            peers: BTreeMap::new(),
            connections: JoinSet::new(),
            events,
            events_sender,
            clock: Clock::start(),
            logger,
            gave_way: BTreeMap::new(),
            accept_failures: None,
            accept_at: Instant::now(),
            check_at: Instant::now(),
            has_news: false,
        }
    }

    /// Accepts connections until `stop` completes.
    pub(super) async fn accept_until<C, F, S>(&mut self, listener: TcpListener, connect: C, stop: S)
    where
        C: Fn(TcpStream, SocketAddr, ConnectionHandle, mpsc::UnboundedReceiver<StreamOrder>) -> F,
        F: Future<Output = ()> + 'static,
        S: Future<Output = ()>,
    {
        let mut stop: Pin<&mut S> = std::pin::pin!(stop);
        loop {
            self.take_events();
            let actions = self.intake.end_turns(self.clock.now());
            self.perform(actions);
            let can_accept = self.can_accept();
            let wake_at = self.wake_at();
            tokio::select! {
                accepted = listener.accept(), if can_accept => match accepted {
                    Ok((stream, address)) => self.add(stream, address, &connect),
                    Err(error) => self.accept_failed(error),
                },
                Some(event) = self.events.recv() => self.handle(event),
                Some(_) = self.connections.join_next() => {}
                () = sleep_until(wake_at), if !self.is_at_rest() => self.check(),
                () = &mut stop => return,
            }
        }
    }

    /// Serves the open connections until all of them have ended.
    pub(super) async fn run_until_empty(mut self) {
        while !self.connections.is_empty() {
            self.take_events();
            let wake_at = self.wake_at();
            tokio::select! {
                Some(event) = self.events.recv() => self.handle(event),
                Some(_) = self.connections.join_next() => {}
                () = sleep_until(wake_at) => self.check(),
            }
        }
    }

    fn can_accept(&self) -> bool {
        self.connections.len() < self.limits.max_connections.saturating_add(MAX_CLOSING)
            && self.accept_at <= Instant::now()
            && self.intake.can_open(self.clock.now())
    }

    fn is_at_rest(&self) -> bool {
        !self.has_news && self.accept_failures.is_none()
    }

    fn wake_at(&self) -> Instant {
        if self.intake.is_short() || self.accept_at > Instant::now() {
            self.check_at.min(Instant::now() + SHORT_INTERVAL)
        } else {
            self.check_at
        }
    }

    /// Handles all waiting messages, so that no connection is closed whose request has
    /// just become whole, and grants what there is.
    fn take_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
        if self.intake.is_short() {
            let actions = self.intake.grant(self.clock.now());
            self.perform(actions);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Began { key, refuse, leave } => {
                self.intake.begin_request(key, refuse.is_some(), now);
                if let Some(peer) = self.peers.get_mut(&key) {
                    peer.refuse = refuse;
                    peer.leave = Some(leave);
                }
            }
            Event::BodyWhole { key } => self.intake.complete_body(key, now),
            Event::Ended { key } => self.intake.end_request(key, now),
            Event::Asks { key, received_bytes } => {
                self.intake.ask(key, received_bytes, STEP_BYTES, now);
            }
            Event::Closed { key } => {
                self.intake.close(key);
                self.peers.remove(&key);
            }
        }
    }

    fn perform(&mut self, actions: Vec<IntakeAction>) {
        for action in actions {
            match action {
                IntakeAction::Grant { key, bytes } => {
                    if let Some(peer) = self.peers.get(&key) {
                        // The stream is gone if the caller has disconnected.
                        let _ = peer.orders.send(StreamOrder::Granted { bytes });
                    }
                }
                IntakeAction::Leave { key } => {
                    *self.gave_way.entry(Cause::Connections).or_default() += 1;
                    let peer = self.peers.get_mut(&key);
                    if let Some(leave) = peer.and_then(|peer| peer.leave.take()) {
                        // The request is gone if it was just answered.
                        let _ = leave.send(());
                    }
                }
                IntakeAction::Refuse { key, cause } => {
                    *self.gave_way.entry(cause).or_default() += 1;
                    let peer = self.peers.get_mut(&key);
                    if let Some(refuse) = peer.and_then(|peer| peer.refuse.take()) {
                        // The request is gone if the caller has disconnected.
                        let _ = refuse.send(());
                    }
                }
                IntakeAction::Close { key, cause } => {
                    *self.gave_way.entry(cause).or_default() += 1;
                    if let Some(peer) = self.peers.remove(&key) {
                        peer.task.abort();
                    }
                }
            }
        }
    }

    fn add<C, F>(&mut self, stream: TcpStream, address: SocketAddr, connect: &C)
    where
        C: Fn(TcpStream, SocketAddr, ConnectionHandle, mpsc::UnboundedReceiver<StreamOrder>) -> F,
        F: Future<Output = ()> + 'static,
    {
        self.take_events();
        let (key, closed) = self.intake.open(self.clock.now());
        self.perform(closed.into_iter().collect());
        let (orders, orders_receiver) = mpsc::unbounded_channel();
        let events = self.events_sender.clone();
        let handle = ConnectionHandle { key, events, orders: orders.clone() };
        let guard = ClosedGuard { handle: handle.clone() };
        let connection = connect(stream, address, handle, orders_receiver);
        let task = self.connections.spawn_local(async move {
            connection.await;
            drop(guard);
        });
        self.has_news = true;
        self.peers.insert(key, Peer { orders, refuse: None, leave: None, task });
    }

    fn accept_failed(&mut self, error: std::io::Error) {
        let count = self.accept_failures.take().map_or(0, |(count, _)| count);
        self.accept_failures = Some((count + 1, error));
        self.accept_at = Instant::now() + SHORT_INTERVAL;
    }

    fn check(&mut self) {
        if self.check_at > Instant::now() {
            return;
        }
        self.check_at = Instant::now() + CHECK_INTERVAL;
        self.has_news = !self.peers.is_empty();
        let actions = self.intake.expire(self.clock.now());
        self.perform(actions);
        self.report();
    }

    /// Sets the metrics, and logs at most one line for all that gave way.
    fn report(&mut self) {
        let listener = self.limits.name;
        let usage = self.intake.usage();
        metrics::gauge!("cowslipport_intake_held_bytes", "listener" => listener)
            .set(as_float(usage.held_bytes));
        for (stage, count) in Stage::ALL.into_iter().zip(usage.connections) {
            metrics::gauge!("cowslipport_intake_connections", "listener" => listener,
                "stage" => stage.as_str())
            .set(as_float(count as u64));
        }
        if let Some((count, error)) = self.accept_failures.take() {
            warn!(self.logger, "accept failed"; "listener" => listener, "count" => count,
                "error" => error.to_string());
        }
        if self.gave_way.is_empty() {
            return;
        }
        let gave_way = std::mem::take(&mut self.gave_way);
        let count = |cause| gave_way.get(&cause).copied().unwrap_or_default();
        warn!(self.logger, "callers gave way"; "listener" => listener,
            "connections" => count(Cause::Connections), "bytes" => count(Cause::Bytes),
            "quiet_timeout" => count(Cause::QuietTimeout),
            "body_timeout" => count(Cause::BodyTimeout),
            "held_bytes" => usage.held_bytes,
            "open" => usage.connections.iter().sum::<usize>());
        for (cause, count) in gave_way {
            metrics::counter!("cowslipport_intake_gave_way_total", "listener" => listener,
                "cause" => cause.as_str())
            .increment(count);
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "a metric")]
fn as_float(value: u64) -> f64 {
    value as f64
}
