//! Decides which nodes are candidates for ownership.
//!
//! An owner needs processor time, and nodes differ in how much they have. A
//! node with much less than the largest stays out of the group while there is
//! an owner. It becomes a candidate once no ownership record has arrived for a
//! while, and steps down when it learns of a larger candidate.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::return_schedule::ReturnShare;

/// A node with at least this part of the largest node's processor, in percent,
/// counts as large and is always a candidate.
const LARGE_NODE_PERCENT: u64 = 50;
/// Time between two ownership records whose content has not changed.
pub(crate) const OWNERSHIP_RECORD_INTERVAL_MS: u64 = 1_000;
/// A smaller node becomes a candidate after this time without an ownership
/// record. It covers the time until a larger owner's ownership expires (1 s)
/// and two records of its successor.
const NO_OWNER_TIMEOUT_MS: u64 = 3_000;
/// In an older view, the lack of ownership records does not show that there is
/// no owner.
const MAX_VIEW_AGE_MS: u64 = 1_500;

/// A node's view of the candidates for ownership.
#[derive(Clone, Debug)]
pub struct Candidacy {
    node: String,
    processor_milli: u64,
    /// Processor of each node that has ever started, in thousandths of a core.
    processors_milli: BTreeMap<String, u64>,
    /// When another node was last known to be the owner, or may have been.
    owner_seen_at: TimeMs,
    /// Whether a larger node is a candidate.
    has_larger_candidate: bool,
}

impl Candidacy {
    /// The view of a node that knows of no other nodes.
    pub fn new(node: &str, processor_milli: u64, now: TimeMs) -> Self {
        Self {
            node: node.to_owned(),
            processor_milli,
            processors_milli: BTreeMap::new(),
            owner_seen_at: now,
            has_larger_candidate: false,
        }
    }

    /// Applies the record of a node that has started.
    pub fn node_started(&mut self, node: &str, processor_milli: u64) {
        self.processors_milli.insert(node.to_owned(), processor_milli);
    }

    /// Number of nodes that have ever started, this one included, and the number of
    /// this node among them.
    pub fn share(&self) -> ReturnShare {
        let others = self.processors_milli.keys().filter(|name| **name != self.node);
        let before = others.clone().filter(|name| **name < self.node).count();
        let count = |nodes: usize| u64::try_from(nodes).unwrap_or(u64::MAX);
        ReturnShare { nodes: count(others.count() + 1), index: count(before) }
    }

    /// Applies the ownership record of an owner.
    pub fn owner_seen(&mut self, now: TimeMs, node: &str) {
        if node != self.node {
            self.owner_seen_at = now;
        }
    }

    /// Applies the list of the nodes that are candidates.
    pub fn members_seen(&mut self, members: &[String]) {
        self.has_larger_candidate = !self.is_large(self.processor_milli)
            && members
                .iter()
                .any(|member| self.processors_milli.get(member).is_some_and(|p| self.is_large(*p)));
    }

    /// Handles that this node has left the group. A larger candidate becomes the
    /// owner.
    pub fn left_group(&mut self, now: TimeMs) {
        if std::mem::take(&mut self.has_larger_candidate) {
            self.owner_seen_at = now;
        }
    }

    /// True if this node should be a candidate for ownership.
    pub fn is_candidate(&self, now: TimeMs, jobs_known_at: Option<TimeMs>, is_owner: bool) -> bool {
        // The other nodes are not known before the first view of the store.
        let Some(known_at) = jobs_known_at else { return is_owner };
        if self.is_large(self.processor_milli) {
            return true;
        }
        if is_owner {
            return !self.has_larger_candidate;
        }
        now.since(known_at) <= MAX_VIEW_AGE_MS
            && now.since(self.owner_seen_at) > NO_OWNER_TIMEOUT_MS
    }

    fn is_large(&self, processor_milli: u64) -> bool {
        let largest = self.processors_milli.values().copied().max().unwrap_or(0);
        processor_milli.saturating_mul(100) >= largest.saturating_mul(LARGE_NODE_PERCENT)
    }
}
