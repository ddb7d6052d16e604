//! Ownership of the fleet: the right of one process to order workers.
//!
//! The store grants the ownership to one member of a group for as long as the
//! member's calls arrive within a time to live. The generation in which a
//! member was granted the ownership is its epoch. Epochs rise from owner to
//! owner, and workers and the store refuse lower ones.
//!
//! An epoch belongs to one ownership of one incarnation of a process, because
//! the store takes the first appends of another one for repeats and drops them.
//! A process that starts again before its membership has expired is still the
//! owner for the store, in the epoch of its former incarnation. It uses no epoch
//! that may be in use, but leaves the group and joins it again.

use crate::time::TimeMs;

/// Answer to a call that joins the group or renews the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinAnswer {
    /// Rises with each change in the group.
    pub generation: u64,
    /// True if this member is the owner.
    pub is_owner: bool,
}

/// A change in the ownership of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// This process is the owner from now on.
    Gained {
        /// Epoch of the ownership.
        epoch: u64,
    },
    /// Another process is the owner, or may be.
    Lost,
    /// The store confirms the ownership in an epoch that may have been used
    /// before. The process has to leave the group to gain a later one.
    EpochUsed {
        /// The epoch.
        epoch: u64,
    },
}

/// Whether this process is the owner, and when the store last confirmed it.
#[derive(Clone, Debug)]
pub struct Ownership {
    ttl_ms: u64,
    generation: u64,
    epoch: Option<u64>,
    /// Highest epoch that this process or a former incarnation of it may have
    /// used; `None` before the first answer.
    last_used_epoch: Option<u64>,
    /// When the last call that was answered was sent.
    confirmed_at: TimeMs,
}

impl Ownership {
    /// The state of a process that is not the owner. The store withdraws the
    /// ownership from a member that has made no call for `ttl_ms`.
    pub fn new(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            generation: 0,
            epoch: None,
            last_used_epoch: None,
            confirmed_at: TimeMs::default(),
        }
    }

    /// Generation to be sent with the next call.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Epoch of this process, if it is the owner.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Handles the answer to a call that was sent at `sent_at`.
    pub fn join_answered(
        &mut self,
        sent_at: TimeMs,
        answer: JoinAnswer,
    ) -> Option<OwnershipChange> {
        let generation_before = self.generation;
        self.generation = answer.generation;
        let has_expired = sent_at.since(self.confirmed_at) >= self.ttl_ms;
        self.confirmed_at = self.confirmed_at.max(sent_at);
        let last_used_epoch = self.last_used_epoch.get_or_insert(answer.generation);
        match (answer.is_owner, self.epoch) {
            (true, None) if answer.generation <= *last_used_epoch => {
                Some(OwnershipChange::EpochUsed { epoch: answer.generation })
            }
            (true, None) => {
                *last_used_epoch = answer.generation;
                self.epoch = Some(answer.generation);
                Some(OwnershipChange::Gained { epoch: answer.generation })
            }
            // Another member may have been the owner in between.
            (true, Some(_)) if has_expired && answer.generation != generation_before => {
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

    /// Gives the ownership up, for instance on evidence of another owner.
    pub fn give_up(&mut self) {
        self.epoch = None;
    }

    /// True if this process is the owner and no other can have become it yet.
    pub fn is_confirmed(&self, now: TimeMs) -> bool {
        now < self.confirmed_until()
    }

    /// Time until which no other process can be the owner; zero if this one is
    /// not.
    pub fn confirmed_until(&self) -> TimeMs {
        match self.epoch {
            Some(_) => self.confirmed_at.plus(self.ttl_ms),
            None => TimeMs::default(),
        }
    }

    /// When the last call was sent with which the store confirmed the ownership of this
    /// process; `None` if it is not the owner.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.epoch.map(|_| self.confirmed_at)
    }
}
