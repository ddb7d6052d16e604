//! Conversion of messages about idempotency keys between the generated and the
//! checked types.

use cowslipport_lib::idempotency::AttemptId;
use cowslipport_lib::idempotency::AttemptState;
use cowslipport_lib::idempotency::KeyHash;
use cowslipport_lib::idempotency::RecordAnswer;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::refusal::FirstAttempt;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::witness::AttemptEntry;

/// The key hash of a message, or `None` if its length is not valid.
pub(crate) fn key(bytes: &[u8]) -> Option<KeyHash> {
    bytes.try_into().ok().map(KeyHash)
}

/// The attempt id of a message.
pub(crate) fn attempt(session: u64, number: u64) -> AttemptId {
    AttemptId { session: SessionId(session), number }
}

/// The state and the HTTP status of an attempt for a message.
pub(crate) fn raw_state(state: AttemptState) -> (raw::AttemptState, u32) {
    match state {
        AttemptState::NotRun => (raw::AttemptState::NotRun, 0),
        AttemptState::Dispatched => (raw::AttemptState::Dispatched, 0),
        AttemptState::Unknown => (raw::AttemptState::Unknown, 0),
        AttemptState::Completed { status } => (raw::AttemptState::Completed, status.into()),
    }
}

/// The state in a message, or `None` if it is not valid.
pub(crate) fn state(state: raw::AttemptState, status: u32) -> Option<AttemptState> {
    Some(match state {
        raw::AttemptState::Unspecified => return None,
        raw::AttemptState::NotRun => AttemptState::NotRun,
        raw::AttemptState::Dispatched => AttemptState::Dispatched,
        raw::AttemptState::Unknown => AttemptState::Unknown,
        raw::AttemptState::Completed => {
            AttemptState::Completed { status: u16::try_from(status).ok()? }
        }
    })
}

/// The answer of a witness as a message.
pub(crate) fn raw_answer(answer: RecordAnswer) -> raw::RecordAttemptReply {
    let (kind, known) = match answer {
        RecordAnswer::Recorded => (raw::AttemptAnswer::Recorded, None),
        RecordAnswer::OldEpoch => (raw::AttemptAnswer::OldEpoch, None),
        RecordAnswer::NotReady => (raw::AttemptAnswer::NotReady, None),
        RecordAnswer::Known(first) => {
            let state = match first {
                FirstAttempt::InProgress => AttemptState::Dispatched,
                FirstAttempt::Unknown => AttemptState::Unknown,
                FirstAttempt::Completed { status } => AttemptState::Completed { status },
            };
            (raw::AttemptAnswer::Known, Some(state))
        }
    };
    let (known_state, known_status) = known.map_or((raw::AttemptState::Unspecified, 0), raw_state);
    raw::RecordAttemptReply { answer: kind.into(), known_state: known_state.into(), known_status }
}

/// The answer in a message, or `None` if it is not specified.
pub(crate) fn answer(reply: &raw::RecordAttemptReply) -> Option<RecordAnswer> {
    match reply.answer() {
        raw::AttemptAnswer::Unspecified => None,
        raw::AttemptAnswer::Recorded => Some(RecordAnswer::Recorded),
        raw::AttemptAnswer::OldEpoch => Some(RecordAnswer::OldEpoch),
        raw::AttemptAnswer::NotReady => Some(RecordAnswer::NotReady),
        raw::AttemptAnswer::Known => {
            let first = match state(reply.known_state(), reply.known_status) {
                Some(AttemptState::Dispatched) => FirstAttempt::InProgress,
                Some(AttemptState::Completed { status }) => FirstAttempt::Completed { status },
                Some(AttemptState::Unknown | AttemptState::NotRun) | None => FirstAttempt::Unknown,
            };
            Some(RecordAnswer::Known(first))
        }
    }
}

/// An entry and its age as a message.
pub(crate) fn raw_entry((key, entry, age_ms): &(KeyHash, AttemptEntry, u64)) -> raw::AttemptEntry {
    let (state, status) = raw_state(entry.state);
    raw::AttemptEntry {
        key_hash: key.0.to_vec(),
        session: entry.attempt.session.0,
        attempt: entry.attempt.number,
        state: state.into(),
        status,
        age_ms: *age_ms,
    }
}

/// The entries of a message. Returns `None` if an entry is not valid, since the
/// result would be incomplete without it.
pub(crate) fn entries(raw: &[raw::AttemptEntry]) -> Option<Vec<(KeyHash, AttemptEntry, u64)>> {
    raw.iter()
        .map(|entry| {
            let attempt = attempt(entry.session, entry.attempt);
            let state = state(entry.state(), entry.status)?;
            let recorded_at = TimeMs::default();
            Some((
                key(&entry.key_hash)?,
                AttemptEntry { attempt, state, recorded_at },
                entry.age_ms,
            ))
        })
        .collect()
}
