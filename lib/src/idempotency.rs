//! Idempotency keys: what witnesses record, and the choice of witnesses.
//!
//! An attempt is dispatched only after two of the three witnesses of its key
//! have recorded it. Any two such quorums share a witness, so a second attempt
//! through any process finds the first. [`crate::witness`] keeps this true
//! while the members change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sha2::Digest;
use sha2::Sha256;

use crate::control::ControlState;
use crate::ids::Offset;
use crate::ids::OrganisationId;
use crate::ids::SessionId;
use crate::refusal::FirstAttempt;
use crate::rendezvous;

/// Number of witnesses of a key.
pub const WITNESSES_PER_KEY: usize = 3;
/// Number of witnesses that must record an attempt before its dispatch.
pub const WITNESS_QUORUM: usize = 2;

/// SHA-256 of an organisation and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key of an organisation.
    pub fn of(organisation: OrganisationId, key: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(organisation.0.to_be_bytes());
        hasher.update(key);
        Self(hasher.finalize().into())
    }

    fn rendezvous_key(&self) -> u64 {
        self.0.iter().take(8).fold(0, |key, byte| (key << 8) | u64::from(*byte))
    }
}

/// One attempt to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Session of the entry process.
    pub session: SessionId,
    /// Number of the attempt, unique for its session.
    pub number: u64,
}

/// Last known state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// The attempt was recorded and then not sent to any upstream.
    NotRun,
    /// The attempt may have been sent to an upstream.
    Dispatched,
    /// The attempt was sent, and its outcome cannot be determined.
    Unknown,
    /// The upstream answered with this HTTP status.
    Completed {
        /// HTTP status.
        status: u16,
    },
}

/// Answer of a witness to a request to record an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The attempt is recorded.
    Recorded,
    /// Another attempt, or the end of this one, was recorded before.
    Known(FirstAttempt),
    /// The witness has applied a later change of the members.
    OldEpoch,
    /// The witness does not know all earlier attempts, has not applied the
    /// members of the request yet, or has no space for another entry.
    NotReady,
}

/// A set of members and the offset of the record that established it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Offset of the last change of the members.
    pub epoch: Offset,
    /// Data centre of each member.
    pub members: BTreeMap<SessionId, String>,
}

impl Membership {
    /// Returns the members of a state.
    pub fn of(state: &ControlState) -> Self {
        let members = state
            .sessions
            .iter()
            .map(|(session, entry)| (*session, entry.open.data_centre.clone()))
            .collect();
        Self { epoch: state.membership_epoch, members }
    }

    /// Returns the witnesses of a key: the first members in rendezvous order
    /// that are in different data centres, then others in that order.
    pub fn witnesses(&self, key: &KeyHash) -> Vec<SessionId> {
        let ranked = rendezvous::ranked(key.rendezvous_key(), self.members.keys().copied());
        let mut data_centres = BTreeSet::new();
        let (mut chosen, others): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|session| data_centres.insert(self.members.get(session)));
        chosen.extend(others);
        chosen.truncate(WITNESSES_PER_KEY);
        chosen
    }
}

/// What an entry process does next with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// Wait for more answers.
    Wait,
    /// The attempt may be dispatched.
    Proceed,
    /// An earlier attempt is known, so this one is not run.
    Conflict(FirstAttempt),
    /// Too few witnesses answered. The attempt is not run.
    Unavailable,
}

/// The answers of the witnesses to one attempt, collected by its entry process.
#[derive(Clone, Debug)]
pub struct Attempt {
    witnesses: Vec<SessionId>,
    answers: BTreeMap<SessionId, Option<RecordAnswer>>,
}

impl Attempt {
    /// Creates an attempt that all `witnesses` are asked to record.
    pub fn new(witnesses: Vec<SessionId>) -> Self {
        Self { witnesses, answers: BTreeMap::new() }
    }

    /// Handles the answer of a witness, or `None` if the witness did not answer
    /// in time. A repeated answer counts once.
    pub fn answered(&mut self, witness: SessionId, answer: Option<RecordAnswer>) -> AttemptStep {
        if self.witnesses.contains(&witness) {
            self.answers.entry(witness).or_insert(answer);
        }
        self.step()
    }

    /// The next step according to the answers so far.
    pub fn step(&self) -> AttemptStep {
        let mut recorded = 0;
        let mut first: Option<FirstAttempt> = None;
        for answer in self.answers.values().flatten() {
            match answer {
                RecordAnswer::Recorded => recorded += 1,
                RecordAnswer::Known(known) => first = Some(more_certain(first, *known)),
                RecordAnswer::OldEpoch | RecordAnswer::NotReady => {}
            }
        }
        if let Some(FirstAttempt::Completed { .. }) = first {
            return AttemptStep::Conflict(first.unwrap_or(FirstAttempt::Unknown));
        }
        if recorded >= WITNESS_QUORUM {
            // Another attempt that the third witness knows has no quorum and
            // cannot reach one.
            return AttemptStep::Proceed;
        }
        let pending = self.witnesses.len().saturating_sub(self.answers.len());
        if recorded + pending >= WITNESS_QUORUM {
            return AttemptStep::Wait;
        }
        first.map_or(AttemptStep::Unavailable, AttemptStep::Conflict)
    }
}

fn more_certain(first: Option<FirstAttempt>, other: FirstAttempt) -> FirstAttempt {
    let rank = |attempt: FirstAttempt| match attempt {
        FirstAttempt::InProgress => 0,
        FirstAttempt::Unknown => 1,
        FirstAttempt::Completed { .. } => 2,
    };
    match first {
        Some(first) if rank(first) >= rank(other) => first,
        Some(_) | None => other,
    }
}
