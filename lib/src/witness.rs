//! The witness of idempotency keys in one process.
//!
//! An attempt that got its quorum while an earlier set of members was in force
//! is held by two of them at least. Each witness that answers has pulled the
//! entries of all of those members but one, or the window of those entries is
//! over; so it knows every such attempt. A member that has applied the next
//! set records nothing more for the earlier one, which makes a pull complete.
//! Sets are settled in their order, so a pulled member knows what went before.

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

/// Time beyond the window for which an entry is kept. It covers the way of a
/// question from an attempt at the end of the window, and a process that has
/// not applied a change of the members, which is stale well before.
const MARGIN_MS: u64 = 10_000;
/// At about 150 bytes for each entry, 75 MB.
const MAX_ENTRIES: usize = 500_000;

/// What a witness holds of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEntry {
    /// The attempt.
    pub attempt: AttemptId,
    /// What is known of it.
    pub state: AttemptState,
    /// When it was recorded, on the clock of this process.
    pub recorded_at: TimeMs,
}

/// A set of members that is no longer in force and whose entries this process
/// does not know yet.
#[derive(Clone, Debug)]
struct Unsettled {
    ended_by: Offset,
    members: BTreeSet<SessionId>,
    may_miss: usize,
    until: TimeMs,
}

/// A pull that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullOrder {
    /// Epoch that the asked members must have applied.
    pub epoch: Offset,
    /// Members to ask.
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
    unsettled: Vec<Unsettled>,
    /// Highest epoch of a pull from each member.
    pulled: BTreeMap<SessionId, Offset>,
}

impl Witness {
    /// A witness that knows no members and answers nothing.
    pub fn new(me: SessionId, window_ms: u64) -> Self {
        Self {
            me,
            window_ms,
            epoch: Offset(0),
            members: BTreeSet::new(),
            entries: BTreeMap::new(),
            by_age: BTreeSet::new(),
            unsettled: Vec::new(),
            pulled: BTreeMap::new(),
        }
    }

    /// Changes the window.
    pub fn set_window(&mut self, window_ms: u64) {
        self.window_ms = window_ms;
    }

    /// Takes over one change of the members. `follows` is true if the state
    /// before was that of the record before; it is false when the state came
    /// from a snapshot, after which the members before are not known.
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
        let mut may_miss = 1;
        if !follows {
            // The member that is missing may be the one that was replaced.
            before = self.members.clone();
            before.remove(&self.me);
            may_miss = 0;
        }
        self.epoch = epoch;
        if !follows && !self.members.contains(&self.me) {
            // When it becomes a member, it pulls from members that know what
            // went before.
            self.unsettled.clear();
            return;
        }
        let until = now.plus(self.window_ms + MARGIN_MS);
        self.unsettled.push(Unsettled { ended_by: epoch, members: before, may_miss, until });
        self.settle(now);
    }

    fn settle(&mut self, now: TimeMs) {
        let (me, pulled) = (self.me, &self.pulled);
        let settled = |set: &Unsettled| {
            let missed = set.members.iter().filter(|member| {
                **member != me && pulled.get(member).is_none_or(|epoch| *epoch < set.ended_by)
            });
            missed.count() <= set.may_miss || set.until <= now
        };
        let count = self.unsettled.iter().take_while(|set| settled(set)).count();
        self.unsettled.drain(..count);
    }

    /// True if this process may answer as a witness.
    pub fn is_ready(&mut self, now: TimeMs) -> bool {
        self.settle(now);
        self.unsettled.is_empty() && self.members.contains(&self.me)
    }

    /// The pull that is due, if any.
    pub fn next_pull(&mut self, now: TimeMs) -> Option<PullOrder> {
        self.settle(now);
        let set = self.unsettled.first()?;
        let members = set
            .members
            .iter()
            .filter(|member| **member != self.me)
            .filter(|member| self.pulled.get(member).is_none_or(|epoch| *epoch < set.ended_by))
            .copied()
            .collect();
        Some(PullOrder { epoch: set.ended_by, members })
    }

    /// Answers a pull, with the age of each entry. `None` if this process has
    /// not applied the epoch, or lacks entries from before it.
    pub fn answer_pull(
        &mut self,
        now: TimeMs,
        epoch: Offset,
    ) -> Option<Vec<(KeyHash, AttemptEntry, u64)>> {
        self.expire(now);
        self.settle(now);
        let lacks_earlier = self.unsettled.first().is_some_and(|set| set.ended_by < epoch);
        if self.epoch < epoch || lacks_earlier {
            return None;
        }
        let aged =
            |(key, entry): (&KeyHash, &AttemptEntry)| (*key, *entry, now.since(entry.recorded_at));
        Some(self.entries.iter().map(aged).collect())
    }

    /// Takes the answer to a pull. Entries look younger by the time of the
    /// answer's way, and are kept for as much longer.
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
        self.settle(now);
    }

    /// An entry process asks to record an attempt before its dispatch.
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
                // A repeated question after a lost answer.
                AttemptState::Dispatched if is_same => return RecordAnswer::Recorded,
                AttemptState::Dispatched => return RecordAnswer::Known(self.in_progress(entry)),
                AttemptState::Completed { status } => {
                    return RecordAnswer::Known(FirstAttempt::Completed { status });
                }
                AttemptState::Unknown => return RecordAnswer::Known(FirstAttempt::Unknown),
                // The question came after the end of its own attempt.
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
            // Its process is gone and nobody will say how it ended.
            FirstAttempt::Unknown
        }
    }

    /// The end of an attempt. It may come before the question to record it.
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
            // The attempt itself says that it was not run.
            (AttemptState::Dispatched, AttemptState::NotRun) => same,
            (AttemptState::NotRun, AttemptState::Dispatched) => !same,
            (old_state, new_state) => new_state > old_state,
        };
        if replaces {
            // The time of the first record of an attempt counts.
            let at = if same { old.recorded_at } else { new.recorded_at };
            self.put(key, AttemptEntry { recorded_at: at, ..new });
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

    /// Drops the entries whose window is over.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.by_age.first().copied()
            && now.since(at) > self.window_ms + MARGIN_MS
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
