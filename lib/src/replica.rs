//! Replicas of the control state, one for each task that needs it. The task
//! that reads the log sends the same records to all of them.

use std::sync::Arc;

use crate::control::ControlState;
use crate::fold::ControlChange;
use crate::fold::Outcome;
use crate::ids::Offset;
use crate::record::ControlRecord;

/// Message of the task that reads the log to the replicas.
#[derive(Clone, Debug)]
pub enum ControlFeed {
    /// A state that replaces the one of the replica.
    Reset(Arc<ControlState>),
    /// Records in offset order; a record that does not decode is `None`.
    Records(Arc<Vec<(Offset, Option<ControlRecord>)>>),
}

/// What a message changed in a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Everything may have changed.
    All,
    /// These entities have changed.
    Some(Vec<ControlChange>),
}

impl ControlState {
    /// Applies a message of the task that reads the log.
    pub fn apply_feed(&mut self, feed: &ControlFeed) -> ReplicaChange {
        match feed {
            ControlFeed::Reset(state) => {
                *self = (**state).clone();
                ReplicaChange::All
            }
            ControlFeed::Records(records) => {
                let mut changes = Vec::new();
                for (offset, record) in records.iter() {
                    let outcome = match record {
                        Some(record) => self.apply(*offset, record),
                        None => self.skip(*offset),
                    };
                    if let Outcome::Applied(applied) = outcome {
                        changes.extend(applied);
                    }
                }
                ReplicaChange::Some(changes)
            }
        }
    }
}
