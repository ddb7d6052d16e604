//! Which nodes stand for the seat.
//!
//! Ordering workers takes processor time, and nodes differ in what they have. A
//! node with much less than the largest stays out of the group while there is
//! an owner. It stands once no tenure record has come for a while, and steps down
//! when it learns that a larger node stands.

use std::collections::BTreeMap;

use crate::time::TimeMs;

/// A node with this part of the processor of the largest, in percent, stands
/// as it does.
const ENOUGH_PERCENT: u64 = 50;
/// Time between two tenure records of an owner that has nothing to add.
pub(crate) const TENURE_INTERVAL_MS: u64 = 1_000;
/// A smaller node stands after this time without a tenure record: the time to
/// live of a larger one's seat (1 s) and two records of its successor.
const OWNERLESS_MS: u64 = 3_000;
/// In a view this old, a missing tenure record means nothing.
const VIEW_AGE_MAX_MS: u64 = 1_500;

/// What a node knows of those that may stand.
#[derive(Clone, Debug)]
pub struct Candidacy {
    node: String,
    processor_milli: u64,
    /// Processor of each node that has started at some time.
    processors: BTreeMap<String, u64>,
    /// When another node was last known to own, or may have been.
    owner_seen_at: TimeMs,
    /// A larger node stands.
    is_outranked: bool,
}

impl Candidacy {
    /// A node that knows of no other.
    pub fn new(node: &str, processor_milli: u64, now: TimeMs) -> Self {
        Self {
            node: node.to_owned(),
            processor_milli,
            processors: BTreeMap::new(),
            owner_seen_at: now,
            is_outranked: false,
        }
    }

    /// Takes over that a node has started.
    pub fn node_started(&mut self, node: &str, processor_milli: u64) {
        self.processors.insert(node.to_owned(), processor_milli);
    }

    /// Takes over the tenure record of an owner.
    pub fn owner_seen(&mut self, now: TimeMs, node: &str) {
        if node != self.node {
            self.owner_seen_at = now;
        }
    }

    /// Takes over which nodes stand.
    pub fn members_seen(&mut self, members: &[String]) {
        self.is_outranked = !self.is_large(self.processor_milli)
            && members
                .iter()
                .any(|member| self.processors.get(member).is_some_and(|p| self.is_large(*p)));
    }

    /// This node has left the group for a larger one.
    pub fn stepped_down(&mut self, now: TimeMs) {
        self.is_outranked = false;
        self.owner_seen_at = now;
    }

    /// True if this node is to stand for the seat.
    pub fn is_candidate(&self, now: TimeMs, jobs_known_at: Option<TimeMs>, is_owner: bool) -> bool {
        // The first view tells which nodes there are.
        let Some(known_at) = jobs_known_at else { return is_owner };
        if self.is_large(self.processor_milli) {
            return true;
        }
        if is_owner {
            return !self.is_outranked;
        }
        now.since(known_at) <= VIEW_AGE_MAX_MS && now.since(self.owner_seen_at) > OWNERLESS_MS
    }

    fn is_large(&self, processor_milli: u64) -> bool {
        let largest = self.processors.values().copied().max().unwrap_or(0);
        processor_milli.saturating_mul(100) >= largest.saturating_mul(ENOUGH_PERCENT)
    }
}
