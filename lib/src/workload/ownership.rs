//! The seat of the one process that orders workers.
//!
//! The store gives the seat to one member of a group for as long as its calls
//! arrive within a time to live. The generation in which a member was given
//! the seat is its epoch: it rises from owner to owner, and workers and the
//! store refuse a lower one.

use crate::time::TimeMs;

/// What a call that joins the group, or stays in it, returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinAnswer {
    /// Rises with each change in the group.
    pub generation: u64,
    /// True if this member has the seat.
    pub is_owner: bool,
}

/// A change of the role of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// It owns the fleet from now on.
    Gained {
        /// Its epoch.
        epoch: u64,
    },
    /// Another process owns the fleet, or may.
    Lost,
}

/// Whether this process has the seat, and how sure that is.
#[derive(Clone, Debug)]
pub struct Ownership {
    ttl_ms: u64,
    generation: u64,
    epoch: Option<u64>,
    /// When the last call that was answered had been sent.
    confirmed_at: TimeMs,
}

impl Ownership {
    /// A process without the seat. The store takes the seat from a member that
    /// was silent for `ttl_ms`.
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, generation: 0, epoch: None, confirmed_at: TimeMs::default() }
    }

    /// Generation that the next call names.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Epoch of this process, if it has the seat.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Takes over the answer to a call that was sent at `sent_at`.
    pub fn join_answered(
        &mut self,
        sent_at: TimeMs,
        answer: JoinAnswer,
    ) -> Option<OwnershipChange> {
        let generation_before = self.generation;
        self.generation = answer.generation;
        let lapsed = sent_at.since(self.confirmed_at) >= self.ttl_ms;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        match (answer.is_owner, self.epoch) {
            (true, None) => {
                self.epoch = Some(answer.generation);
                Some(OwnershipChange::Gained { epoch: answer.generation })
            }
            // Another member may have had the seat in between.
            (true, Some(_)) if lapsed && answer.generation != generation_before => {
                self.epoch = None;
                Some(OwnershipChange::Lost)
            }
            (false, Some(_)) => {
                self.epoch = None;
                Some(OwnershipChange::Lost)
            }
            (true, Some(_)) | (false, None) => None,
        }
    }

    /// Gives the seat up, on evidence of another owner.
    pub fn give_up(&mut self) {
        self.epoch = None;
    }

    /// True while no other process can have been given the seat.
    pub fn is_confirmed(&self, now: TimeMs) -> bool {
        self.epoch.is_some() && now.since(self.confirmed_at) < self.ttl_ms
    }

    /// Time since the store was last known to answer.
    pub fn unconfirmed_ms(&self, now: TimeMs) -> u64 {
        now.since(self.confirmed_at)
    }
}
