//! The witness of idempotency keys in one process.
//!
//! An attempt that reached its quorum under a former set of members was
//! recorded by at least two of them. A witness answers only after it has pulled
//! the entries of all members of each former set but one, or after the window
//! of those entries, so it knows every such attempt. A member that has applied
//! the next set records nothing more under the former one, so a pull is
//! complete. The former sets are covered in their order, so a member that is
//! pulled from already knows the entries of earlier sets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::idempotency::AttemptId;
use crate::idempotency::AttemptState;
use crate::idempotency::KeyHash;
use crate::idempotency::RecordAnswer;
use crate::ids::Offset;
use crate::ids::SessionId;
use crate::refusal::FirstAttempt;
use crate::time::TimeMs;

/// Time beyond the window for which an entry is kept. It covers the delay of a
/// request to record an attempt at the end of the window, and a process that
/// has not applied a change of the members; its view is stale well before.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// Largest number of entries: 75 MB at about 150 bytes each.
const MAX_ENTRIES: usize = 500_000;

/// Entry of a witness for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// Last known state of the attempt.
    pub state: AttemptState,
    /// Time of the record on the clock of this process.
    pub recorded_at: TimeMs,
}

/// A set of members that is no longer in force and whose entries this process
/// has not pulled yet.
#[derive(Clone, Debug)]
struct FormerSet {
    ended_by: Offset,
    members: BTreeSet<SessionId>,
    max_missing: usize,
    window_ends_at: TimeMs,
}

/// A pull that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullOrder {
    /// Epoch that the members must have applied.
    pub epoch: Offset,
    /// Members to pull from.
    pub members: Vec<SessionId>,
}

/// The idempotency entries of one process.
#[derive(Clone, Debug)]
pub struct Witness {
    me: SessionId,
    window_ms: u64,
    epoch: Offset,
    members: BTreeSet<SessionId>,
    entries: BTreeMap<KeyHash, AttemptEntry>,
    by_age: BTreeSet<(TimeMs, KeyHash)>,
    former_sets: Vec<FormerSet>,
    /// Highest epoch of a pull from each member.
    pulled: BTreeMap<SessionId, Offset>,
}

impl Witness {
    /// Creates a witness that knows no members and is not ready to answer.
    pub fn new(me: SessionId, window_ms: u64) -> Self {
        Self {
            me,
            window_ms,
            epoch: Offset(0),
            members: BTreeSet::new(),
            entries: BTreeMap::new(),
            by_age: BTreeSet::new(),
            former_sets: Vec::new(),
            pulled: BTreeMap::new(),
        }
    }

    /// Sets the time for which a key is protected against a second dispatch.
    pub fn set_window(&mut self, window_ms: u64) {
        self.window_ms = window_ms;
    }

    /// Applies one change of the members. `follows` is true if the change comes
    /// directly after the state that this witness knows; it is false if the
    /// state came from a snapshot, so that the former members are not known.
    pub fn members_changed(
        &mut self,
        now: TimeMs,
        epoch: Offset,
        members: BTreeSet<SessionId>,
        follows: bool,
    ) {
        if epoch <= self.epoch && members == self.members {
            return;
        }
        let mut before = std::mem::replace(&mut self.members, members);
        let mut max_missing = 1;
        if !follows {
            // The one member that may be missing is possibly one that has left,
            // so all present members are pulled from.
            before = self.members.clone();
            before.remove(&self.me);
            max_missing = 0;
        }
        self.epoch = epoch;
        if !follows && !self.members.contains(&self.me) {
            // Once this process is a member, it pulls from members that know
            // the entries of earlier sets.
            self.former_sets.clear();
            return;
        }
        let window_ends_at = now.plus(self.window_ms + RETENTION_MARGIN_MS);
        self.former_sets.push(FormerSet {
            ended_by: epoch,
            members: before,
            max_missing,
            window_ends_at,
        });
        self.drop_covered_sets(now);
    }

    fn drop_covered_sets(&mut self, now: TimeMs) {
        let (me, pulled) = (self.me, &self.pulled);
        let is_covered = |set: &FormerSet| {
            let missing = set.members.iter().filter(|member| {
                **member != me && pulled.get(member).is_none_or(|epoch| *epoch < set.ended_by)
            });
            missing.count() <= set.max_missing || set.window_ends_at <= now
        };
        let count = self.former_sets.iter().take_while(|set| is_covered(set)).count();
        self.former_sets.drain(..count);
    }

    /// True if this process may answer requests to record an attempt.
    pub fn is_ready(&mut self, now: TimeMs) -> bool {
        self.drop_covered_sets(now);
        self.former_sets.is_empty() && self.members.contains(&self.me)
    }

    /// The pull that is due, if any.
    pub fn next_pull(&mut self, now: TimeMs) -> Option<PullOrder> {
        self.drop_covered_sets(now);
        let set = self.former_sets.first()?;
        let members = set
            .members
            .iter()
            .filter(|member| **member != self.me)
            .filter(|member| self.pulled.get(member).is_none_or(|epoch| *epoch < set.ended_by))
            .copied()
            .collect();
        Some(PullOrder { epoch: set.ended_by, members })
    }

    /// Answers a pull with all entries and their ages. Returns `None` if this
    /// process has not applied the epoch, or lacks entries of earlier sets.
    pub fn answer_pull(
        &mut self,
        now: TimeMs,
        epoch: Offset,
    ) -> Option<Vec<(KeyHash, AttemptEntry, u64)>> {
        self.expire(now);
        self.drop_covered_sets(now);
        let lacks_earlier = self.former_sets.first().is_some_and(|set| set.ended_by < epoch);
        if self.epoch < epoch || lacks_earlier {
            return None;
        }
        let aged =
            |(key, entry): (&KeyHash, &AttemptEntry)| (*key, *entry, now.since(entry.recorded_at));
        Some(self.entries.iter().map(aged).collect())
    }

    /// Handles the answer to a pull. Entries look younger by the delay of the
    /// answer, and are kept longer by as much.
    pub fn pulled(
        &mut self,
        now: TimeMs,
        from: SessionId,
        epoch: Offset,
        entries: &[(KeyHash, AttemptEntry, u64)],
    ) {
        for (key, entry, age_ms) in entries {
            self.merge(*key, AttemptEntry { recorded_at: now.minus(*age_ms), ..*entry });
        }
        let known = self.pulled.entry(from).or_default();
        *known = epoch.max(*known);
        self.drop_covered_sets(now);
    }

    /// Handles the request of an entry process to record an attempt before its
    /// dispatch.
    pub fn record(
        &mut self,
        now: TimeMs,
        epoch: Offset,
        key: KeyHash,
        attempt: AttemptId,
    ) -> RecordAnswer {
        self.expire(now);
        if epoch < self.epoch {
            return RecordAnswer::OldEpoch;
        }
        if epoch > self.epoch || !self.is_ready(now) {
            return RecordAnswer::NotReady;
        }
        if let Some(entry) = self.entries.get(&key) {
            let is_same = entry.attempt == attempt;
            match entry.state {
                // The request was repeated after its answer was lost.
                AttemptState::Dispatched if is_same => return RecordAnswer::Recorded,
                AttemptState::Dispatched => return RecordAnswer::Known(self.in_progress(entry)),
                AttemptState::Completed { status } => {
                    return RecordAnswer::Known(FirstAttempt::Completed { status });
                }
                AttemptState::Unknown => return RecordAnswer::Known(FirstAttempt::Unknown),
                // The request arrived after the end of its own attempt.
                AttemptState::NotRun if is_same => {
                    return RecordAnswer::Known(FirstAttempt::Unknown);
                }
                AttemptState::NotRun => {}
            }
        }
        if self.entries.len() >= MAX_ENTRIES {
            return RecordAnswer::NotReady;
        }
        self.put(key, AttemptEntry { attempt, state: AttemptState::Dispatched, recorded_at: now });
        RecordAnswer::Recorded
    }

    fn in_progress(&self, entry: &AttemptEntry) -> FirstAttempt {
        if self.members.contains(&entry.attempt.session) {
            FirstAttempt::InProgress
        } else {
            // Its entry process is gone, so its end will not be reported.
            FirstAttempt::Unknown
        }
    }

    /// Records the end of an attempt. It may arrive before the request to
    /// record the attempt.
    pub fn finish(&mut self, now: TimeMs, key: KeyHash, attempt: AttemptId, state: AttemptState) {
        self.expire(now);
        self.merge(key, AttemptEntry { attempt, state, recorded_at: now });
    }

    fn merge(&mut self, key: KeyHash, new: AttemptEntry) {
        let Some(old) = self.entries.get(&key) else {
            return self.put(key, new);
        };
        let same = old.attempt == new.attempt;
        let replaces = match (old.state, new.state) {
            // Only the attempt itself can report that it was not run.
            (AttemptState::Dispatched, AttemptState::NotRun) => same,
            (AttemptState::NotRun, AttemptState::Dispatched) => !same,
            (old_state, new_state) => new_state > old_state,
        };
        if replaces {
            // An attempt keeps the time of its first record.
            let recorded_at = if same { old.recorded_at } else { new.recorded_at };
            self.put(key, AttemptEntry { recorded_at, ..new });
        }
    }

    fn put(&mut self, key: KeyHash, entry: AttemptEntry) {
        self.by_age.insert((entry.recorded_at, key));
        if let Some(old) = self.entries.insert(key, entry)
            && old.recorded_at != entry.recorded_at
        {
            self.by_age.remove(&(old.recorded_at, key));
        }
    }

    /// Drops the entries that are older than the window and its margin.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.by_age.first().copied()
            && now.since(at) > self.window_ms + RETENTION_MARGIN_MS
        {
            self.by_age.remove(&(at, key));
            self.entries.remove(&key);
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
