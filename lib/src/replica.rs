//! Replicas of the control state, one for each task that needs it. The task
//! that follows the log sends the same records to all of them.

use std::sync::Arc;

use crate::control::ControlState;
use crate::fold::ControlChange;
use crate::fold::Outcome;
use crate::ids::Offset;
use crate::record::ControlRecord;

/// What the follower of the log sends.
#[derive(Clone, Debug)]
pub enum ControlFeed {
    /// The state to start from.
    Reset(Arc<ControlState>),
    /// Records in offset order. One that does not decode is `None`.
    Records(Arc<Vec<(Offset, Option<ControlRecord>)>>),
}

/// What a feed changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Everything may have changed.
    All,
    /// These entities have changed.
    Some(Vec<ControlChange>),
}

impl ControlState {
    /// Applies what the follower of the log sent.
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
