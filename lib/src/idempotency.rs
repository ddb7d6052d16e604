//! Idempotency keys: what witnesses record, and the choice of witnesses.
//!
//! Before dispatch, two of the three witnesses of a key have recorded the
//! attempt. Any two such quorums share a witness, so a second attempt through
//! any process meets the first. [`crate::witness`] keeps that true while the
//! members change.

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

/// Witnesses of a key.
pub const WITNESSES_PER_KEY: usize = 3;
/// Witnesses that record an attempt before its dispatch.
pub const WITNESS_QUORUM: usize = 2;

/// SHA-256 of an organisation and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// The hash of a key of an organisation.
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

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// Recorded, and then not sent to any upstream.
    NotRun,
    /// It may have been sent to an upstream.
    Dispatched,
    /// It was sent, and its outcome cannot be learned.
    Unknown,
    /// The upstream answered with this HTTP status.
    Completed {
        /// HTTP status.
        status: u16,
    },
}

/// Answer of a witness to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The attempt is recorded.
    Recorded,
    /// Another attempt, or the end of this one, was recorded before.
    Known(FirstAttempt),
    /// The witness knows newer members.
    OldEpoch,
    /// The witness does not know all earlier attempts, or not yet the members.
    NotReady,
}

/// The members and the offset of the record that made them so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Offset of the last change.
    pub epoch: Offset,
    /// Data centre of each member.
    pub members: BTreeMap<SessionId, String>,
}

impl Membership {
    /// The members of a state.
    pub fn of(state: &ControlState) -> Self {
        let members = state
            .sessions
            .iter()
            .map(|(session, entry)| (*session, entry.open.data_centre.clone()))
            .collect();
        Self { epoch: state.membership_epoch, members }
    }

    /// The witnesses of a key: the first members in rendezvous order that are
    /// in different data centres, then others in that order.
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

/// What an entry process does after an answer of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// Wait for more answers.
    Wait,
    /// The attempt may be dispatched.
    Proceed,
    /// An earlier attempt is known. This one is not run.
    Conflict(FirstAttempt),
    /// Too few witnesses answered. The attempt is not run.
    Unavailable,
}

/// One attempt as its entry process sees it.
#[derive(Clone, Debug)]
pub struct Attempt {
    witnesses: Vec<SessionId>,
    answers: BTreeMap<SessionId, Option<RecordAnswer>>,
}

impl Attempt {
    /// An attempt for which all `witnesses` are asked.
    pub fn new(witnesses: Vec<SessionId>) -> Self {
        Self { witnesses, answers: BTreeMap::new() }
    }

    /// Takes the answer of a witness, `None` if it gave none. A repeated
    /// answer counts once.
    pub fn answered(&mut self, witness: SessionId, answer: Option<RecordAnswer>) -> AttemptStep {
        if self.witnesses.contains(&witness) {
            self.answers.entry(witness).or_insert(answer);
        }
        self.step()
    }

    /// What to do now.
    pub fn step(&self) -> AttemptStep {
        let mut recorded = 0;
        let mut first: Option<FirstAttempt> = None;
        for answer in self.answers.values().flatten() {
            match answer {
                RecordAnswer::Recorded => recorded += 1,
                RecordAnswer::Known(known) => first = Some(stronger(first, *known)),
                RecordAnswer::OldEpoch | RecordAnswer::NotReady => {}
            }
        }
        if let Some(FirstAttempt::Completed { .. }) = first {
            return AttemptStep::Conflict(first.unwrap_or(FirstAttempt::Unknown));
        }
        if recorded >= WITNESS_QUORUM {
            // An attempt that a third witness knows has no quorum and gets none.
            return AttemptStep::Proceed;
        }
        let pending = self.witnesses.len().saturating_sub(self.answers.len());
        if recorded + pending >= WITNESS_QUORUM {
            return AttemptStep::Wait;
        }
        first.map_or(AttemptStep::Unavailable, AttemptStep::Conflict)
    }
}

fn stronger(first: Option<FirstAttempt>, other: FirstAttempt) -> FirstAttempt {
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
