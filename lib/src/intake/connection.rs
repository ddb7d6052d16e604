//! One connection as the intake sees it.

use crate::generational_arena::GenerationalKey;
use crate::time::TimeMs;

/// Key of an open connection. The key of a closed one is not reused, since messages
/// about it may still be under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey {
    index: u32,
    generation: u32,
}

impl GenerationalKey for ConnectionKey {
    fn new(index: u32, generation: u32) -> Self {
        Self { index, generation }
    }

    fn index(self) -> u32 {
        self.index
    }

    fn generation(self) -> u32 {
        self.generation
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No request, or a head that is not complete.
    Quiet,
    /// A body that is not complete.
    Body,
    /// A whole request that waits for its answer. Such a connection is never closed.
    Answering,
}

impl Stage {
    /// All stages.
    pub const ALL: [Self; 3] = [Self::Quiet, Self::Body, Self::Answering];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Body => "body",
            Self::Answering => "answering",
        }
    }
}

/// Bytes that a connection has to send in a millisecond to keep its place in the order
/// of those that give way: 64 KB/s, with which the largest body takes 4 s. Nobody is
/// closed for being slower while there is room.
const PACE_BYTES_PER_MS: u64 = 64;

/// State of a connection.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) stage: Stage,
    /// Start of the stage.
    pub(super) since: TimeMs,
    /// When the connection was opened.
    pub(super) opened_at: TimeMs,
    /// It leaves after the answer to its present request.
    pub(super) is_leaving: bool,
    /// Time up to which what was sent would have taken at the pace.
    paced_until: TimeMs,
    /// Bytes beyond those that each connection has.
    pub(super) granted_bytes: u64,
    /// Bytes for which it waits.
    pub(super) asked_bytes: u64,
}

impl Connection {
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            stage: Stage::Quiet,
            since: now,
            opened_at: now,
            is_leaving: false,
            paced_until: now,
            granted_bytes: 0,
            asked_bytes: 0,
        }
    }

    pub(super) fn enter(&mut self, stage: Stage, now: TimeMs) {
        self.stage = stage;
        self.since = now;
    }

    /// Begins to count its time and its bytes anew.
    pub(super) fn restart(&mut self, now: TimeMs) {
        self.enter(Stage::Quiet, now);
        self.paced_until = now;
    }

    /// Counts bytes that were received.
    pub(super) fn progressed(&mut self, bytes: u64, now: TimeMs) {
        self.paced_until = now.min(self.paced_until.plus(bytes / PACE_BYTES_PER_MS));
    }

    /// Time that it has taken beyond what its bytes explain, or `None` if it must not be
    /// closed.
    pub(super) fn lag_ms(&self, now: TimeMs) -> Option<u64> {
        match self.stage {
            Stage::Quiet | Stage::Body => Some(now.since(self.paced_until)),
            Stage::Answering => None,
        }
    }
}
