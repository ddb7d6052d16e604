//! Which connections and bodies of callers a process holds, and which give way.
//!
//! Each connection may hold [`BASE_BYTES`], enough for a whole small request, so that
//! only larger ones take from the budget. While there is too little room, the connection
//! that has taken longest for the least progress gives way. A whole request keeps its
//! place until it is answered.

mod connection;
pub mod framing;

use std::collections::VecDeque;

pub use connection::ConnectionKey;
pub use connection::Stage;

use crate::generational_arena::GenerationalArena;
use crate::intake::connection::Connection;
use crate::time::TimeMs;

/// Bytes that each connection may hold without asking: a head and a small body.
pub const BASE_BYTES: u64 = 8_192;
/// Bytes that a connection asks for at a time. The largest body of the platform takes
/// five steps.
pub const STEP_BYTES: u64 = 65_536;
/// Age, beyond what its progress explains, from which a connection may give way: enough
/// for a small request over a slow link. It also bounds how many connections a second are
/// closed and accepted while all places are taken.
const GIVE_WAY_AFTER_MS: u64 = 100;
/// Time for which a connection keeps its place with requests in a row while all places are
/// taken. Each place is free several times while an ordinary caller waits.
const TURN_MS: u64 = 2_000;
/// Interval at which connections leave after their turn, and how many of them, so that
/// most places are kept by those whose turn is not over.
const LEAVE_INTERVAL_MS: u64 = 50;
const MAX_LEAVING: usize = 16;

/// Limits of an intake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Bytes that all connections together may hold beyond [`BASE_BYTES`] each.
    pub budget_bytes: u64,
    /// Time for which a connection may be without a request, including the head of the
    /// next one.
    pub quiet_ms: u64,
    /// Time within which a whole body must arrive.
    pub body_ms: u64,
}

/// Why a connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Another connection needs its place.
    Connections,
    /// Other bodies need its bytes.
    Bytes,
    /// No whole head came in time.
    QuietTimeout,
    /// The body was not complete in time.
    BodyTimeout,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] =
        [Self::Connections, Self::Bytes, Self::QuietTimeout, Self::BodyTimeout];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes => "bytes",
            Self::QuietTimeout => "quiet_timeout",
            Self::BodyTimeout => "body_timeout",
        }
    }
}

/// What is done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeAction {
    /// It may hold more bytes.
    Grant {
        /// The connection.
        key: ConnectionKey,
        /// Bytes beyond those that it may hold already.
        bytes: u64,
    },
    /// Its request is refused as not run, and its body is dropped.
    Refuse {
        /// The connection.
        key: ConnectionKey,
        /// Why it gives way.
        cause: Cause,
    },
    /// It leaves after its present answer.
    Leave {
        /// The connection.
        key: ConnectionKey,
    },
    /// It is closed. It has no request that was read whole.
    Close {
        /// The connection.
        key: ConnectionKey,
        /// Why it gives way.
        cause: Cause,
    },
}

/// What the connections hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeUsage {
    /// Bytes of the budget that are taken.
    pub held_bytes: u64,
    /// Connections by stage, in the order of [`Stage::ALL`].
    pub connections: [usize; Stage::ALL.len()],
}

/// The connections of a listener and the budget that they share.
#[derive(Clone, Debug)]
pub struct Intake {
    limits: IntakeLimits,
    connections: GenerationalArena<ConnectionKey, Connection>,
    open: usize,
    held_bytes: u64,
    /// Connections that wait for bytes, in the order in which they asked.
    waiting: VecDeque<ConnectionKey>,
    /// When connections last left after their turn.
    left_at: TimeMs,
}

impl Intake {
    /// An intake without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: GenerationalArena::default(),
            open: 0,
            held_bytes: 0,
            waiting: VecDeque::new(),
            left_at: TimeMs::default(),
        }
    }

    /// Whether a connection may be accepted now, if need be in place of another.
    pub fn can_open(&self, now: TimeMs) -> bool {
        self.open < self.limits.connections || self.slowest(now, |_| true).is_some()
    }

    /// Whether all places are taken or a connection waits for bytes, so that time alone
    /// may change what is decided.
    pub fn is_short(&self) -> bool {
        self.open >= self.limits.connections || !self.waiting.is_empty()
    }

    /// Adds a connection. If all places are taken, another one is closed.
    pub fn open(&mut self, now: TimeMs) -> (ConnectionKey, Option<IntakeAction>) {
        let is_full = self.open >= self.limits.connections;
        let closed = is_full.then(|| self.slowest(now, |_| true)).flatten();
        if let Some(key) = closed {
            self.close(key);
        }
        self.open += 1;
        let key = self.connections.insert(Connection::new(now));
        (key, closed.map(|key| IntakeAction::Close { key, cause: Cause::Connections }))
    }

    /// A whole head has arrived.
    pub fn begin_request(&mut self, key: ConnectionKey, has_body: bool, now: TimeMs) {
        if let Some(connection) = self.connections.get_mut(key) {
            let stage = if has_body { Stage::Body } else { Stage::Answering };
            connection.enter(stage, now);
            connection.is_leaving = false;
        }
    }

    /// A whole body has arrived.
    pub fn complete_body(&mut self, key: ConnectionKey, now: TimeMs) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(Stage::Answering, now);
        }
    }

    /// The answer to a request was decided, and what the request held was freed.
    pub fn end_request(&mut self, key: ConnectionKey, now: TimeMs) {
        self.release(key);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.restart(now);
        }
    }

    /// A connection has received all that it may hold, and asks for more.
    pub fn ask(&mut self, key: ConnectionKey, received_bytes: u64, bytes: u64, now: TimeMs) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.progressed(received_bytes, now);
        if connection.asked_bytes == 0 {
            self.waiting.push_back(key);
        }
        connection.asked_bytes = bytes;
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        self.release(key);
        if self.connections.remove(key).is_some() {
            self.open -= 1;
        }
    }

    /// Grants bytes in the order in which they were asked for. If there are too few,
    /// those that hold some give way, the slowest first.
    pub fn grant(&mut self, now: TimeMs) -> Vec<IntakeAction> {
        let mut actions = Vec::new();
        while let Some(&key) = self.waiting.front() {
            let Some(connection) = self.connections.get_mut(key) else {
                self.waiting.pop_front();
                continue;
            };
            let bytes = connection.asked_bytes;
            if self.held_bytes + bytes <= self.limits.budget_bytes {
                connection.asked_bytes = 0;
                connection.granted_bytes += bytes;
                self.held_bytes += bytes;
                self.waiting.pop_front();
                actions.push(IntakeAction::Grant { key, bytes });
            } else if let Some(holder) = self.slowest(now, |other| other.granted_bytes > 0) {
                actions.push(self.give_way(holder, Cause::Bytes, now));
            } else {
                break;
            }
        }
        actions
    }

    /// Lets those leave after their present answer that have had their turn, if all places
    /// are taken. A connection whose requests follow each other is never without one.
    pub fn end_turns(&mut self, now: TimeMs) -> Vec<IntakeAction> {
        if self.open < self.limits.connections || now.since(self.left_at) < LEAVE_INTERVAL_MS {
            return Vec::new();
        }
        self.left_at = now;
        let over = self.connections.iter().filter(|(_, connection)| {
            connection.stage == Stage::Answering
                && !connection.is_leaving
                && now.since(connection.opened_at) >= TURN_MS
        });
        let mut over: Vec<_> = over.map(|(key, connection)| (connection.opened_at, key)).collect();
        over.sort_unstable();
        over.truncate(MAX_LEAVING);
        for (_, key) in &over {
            if let Some(connection) = self.connections.get_mut(*key) {
                connection.is_leaving = true;
            }
        }
        over.into_iter().map(|(_, key)| IntakeAction::Leave { key }).collect()
    }

    /// Lets those go whose head or body took too long.
    pub fn expire(&mut self, now: TimeMs) -> Vec<IntakeAction> {
        let limits = self.limits;
        let expired = self.connections.iter().filter_map(|(key, connection)| {
            let age_ms = now.since(connection.since);
            match connection.stage {
                Stage::Quiet if age_ms > limits.quiet_ms => Some((key, Cause::QuietTimeout)),
                Stage::Body if age_ms > limits.body_ms => Some((key, Cause::BodyTimeout)),
                Stage::Quiet | Stage::Body | Stage::Answering => None,
            }
        });
        let expired: Vec<_> = expired.collect();
        expired.into_iter().map(|(key, cause)| self.give_way(key, cause, now)).collect()
    }

    /// What the connections hold now.
    pub fn usage(&self) -> IntakeUsage {
        let mut usage =
            IntakeUsage { held_bytes: self.held_bytes, connections: Default::default() };
        for (_, connection) in self.connections.iter() {
            let index = match connection.stage {
                Stage::Quiet => 0,
                Stage::Body => 1,
                Stage::Answering => 2,
            };
            usage.connections[index] += 1;
        }
        usage
    }

    fn give_way(&mut self, key: ConnectionKey, cause: Cause, now: TimeMs) -> IntakeAction {
        match self.connections.get(key).map(|connection| connection.stage) {
            Some(Stage::Body) => {
                // It still has to send the refusal, for which it needs its place.
                self.end_request(key, now);
                IntakeAction::Refuse { key, cause }
            }
            Some(Stage::Quiet | Stage::Answering) | None => {
                self.close(key);
                IntakeAction::Close { key, cause }
            }
        }
    }

    /// The connection among those that `filter` admits that has taken longest for the
    /// least progress.
    fn slowest<F>(&self, now: TimeMs, filter: F) -> Option<ConnectionKey>
    where
        F: Fn(&Connection) -> bool,
    {
        let candidates = self.connections.iter().filter(|(_, connection)| filter(connection));
        let lags = candidates
            .filter_map(|(key, connection)| Some((connection.lag_ms(now)?, key)))
            .filter(|(lag_ms, _)| *lag_ms >= GIVE_WAY_AFTER_MS);
        lags.max().map(|(_, key)| key)
    }

    fn release(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        self.held_bytes -= connection.granted_bytes;
        connection.granted_bytes = 0;
        if connection.asked_bytes > 0 {
            connection.asked_bytes = 0;
            self.waiting.retain(|waiting| *waiting != key);
        }
    }
}
