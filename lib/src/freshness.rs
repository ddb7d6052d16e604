//! Whether a process may act on its view of the control state.
//!
//! Ages are measured from the moment at which this process sent its question,
//! so clocks need not agree and a delayed answer only looks older.

use std::collections::BTreeMap;

use crate::control::ControlState;
use crate::ids::Offset;
use crate::ids::SessionId;
use crate::snapshot::StateDigest;
use crate::time::TimeMs;

/// Largest age of a confirmation against the log head.
pub const CONFIRMATION_MAX_AGE_MS: u64 = 2_000;

/// Largest age of what a member said, to count as evidence of an outage.
pub const REPORT_MAX_AGE_MS: u64 = 1_500;

/// What a process may do with its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViewState {
    /// The view holds every record that was in the log a moment ago.
    Confirmed,
    /// No member of a majority can reach the log, so no commit can have been
    /// accepted that this process does not know.
    Outage,
    /// A record may be missing; no new work is started.
    Stale,
}

/// What one member said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Offset of the next record that it will apply.
    pub next_offset: Offset,
    /// True if it can reach the log.
    pub log_reachable: bool,
    /// When it had confirmed its view, on this process's clock and not later
    /// than in truth.
    pub confirmed_at: Option<TimeMs>,
    /// When it said so, on this process's clock and not later than in truth.
    pub reported_at: TimeMs,
    /// Digest of its state at an offset.
    pub digest: Option<(Offset, StateDigest)>,
}

/// Judges the view of one process.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    confirmed_at: Option<TimeMs>,
    log_reachable: bool,
    log_reachable_since: Option<TimeMs>,
    head_to_reach: Option<(TimeMs, Offset)>,
    members: BTreeMap<SessionId, MemberReport>,
}

impl FreshnessTracker {
    /// Notes an answer of the log: asked at `sent_at`, it named `head` as the
    /// offset of the next append.
    pub fn log_answered(&mut self, sent_at: TimeMs, head: Offset, applied: Offset) {
        if !self.log_reachable {
            self.log_reachable_since = Some(sent_at);
        }
        self.log_reachable = true;
        if applied >= head {
            self.confirm(sent_at);
        } else {
            self.head_to_reach = Some((sent_at, head));
        }
    }

    /// Notes that the log did not answer.
    pub fn log_failed(&mut self) {
        self.log_reachable = false;
        self.log_reachable_since = None;
    }

    /// Notes that records up to `applied` have been applied.
    pub fn applied(&mut self, applied: Offset) {
        if let Some((sent_at, head)) = self.head_to_reach
            && applied >= head
        {
            self.head_to_reach = None;
            self.confirm(sent_at);
        }
        self.confirm_from_members(applied);
    }

    /// Notes what a member said. Older reports than the known one are dropped.
    pub fn member_reported(&mut self, member: SessionId, report: MemberReport, applied: Offset) {
        match self.members.get(&member) {
            Some(known) if known.reported_at > report.reported_at => {}
            Some(_) | None => {
                self.members.insert(member, report);
            }
        }
        self.confirm_from_members(applied);
    }

    /// Drops members that are no longer in the control state.
    pub fn retain_members(&mut self, state: &ControlState) {
        self.members.retain(|member, _| state.sessions.contains_key(member));
    }

    /// The state of the view at `now`.
    pub fn view(&self, now: TimeMs, me: SessionId, state: &ControlState) -> ViewState {
        if self.confirmed_at.is_some_and(|at| now.since(at) <= CONFIRMATION_MAX_AGE_MS) {
            return ViewState::Confirmed;
        }
        if self.has_outage_evidence(now, me, state) { ViewState::Outage } else { ViewState::Stale }
    }

    /// Until when this process may act on its view if no further report arrives.
    /// A confirmation that is about to be too old is covered by evidence of an
    /// outage, so that there is no gap between the two.
    pub fn valid_until(&self, now: TimeMs, me: SessionId, state: &ControlState) -> TimeMs {
        let confirmed = self.confirmed_at.map_or(now, |at| at.plus(CONFIRMATION_MAX_AGE_MS + 1));
        if self.has_outage_evidence(now, me, state) {
            // Together with the age of the evidence this stays within the
            // bound of a confirmation.
            confirmed.max(now.plus(CONFIRMATION_MAX_AGE_MS - REPORT_MAX_AGE_MS))
        } else {
            confirmed
        }
    }

    /// When the view was last confirmed.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// True if the log answered the last call.
    pub fn log_reachable(&self) -> bool {
        self.log_reachable
    }

    /// Since when the log has answered without a failure.
    pub fn log_reachable_since(&self) -> Option<TimeMs> {
        self.log_reachable_since
    }

    /// What the members said last.
    pub fn members(&self) -> &BTreeMap<SessionId, MemberReport> {
        &self.members
    }

    /// The member to fetch records from: the one that is furthest ahead.
    pub fn most_advanced_member(&self, now: TimeMs, applied: Offset) -> Option<SessionId> {
        self.members
            .iter()
            .filter(|(_, report)| now.since(report.reported_at) <= REPORT_MAX_AGE_MS)
            .filter(|(_, report)| report.next_offset > applied)
            .max_by_key(|(_, report)| report.next_offset)
            .map(|(member, _)| *member)
    }

    /// True if a majority of the sessions has applied the record at `offset`.
    pub fn majority_applied(&self, offset: Offset, me: SessionId, state: &ControlState) -> bool {
        let has_applied = |member: &SessionId| match self.members.get(member) {
            Some(report) => report.next_offset > offset,
            None => *member == me && state.next_offset > offset,
        };
        let count = state.sessions.keys().filter(|member| has_applied(member)).count();
        count >= state.majority()
    }

    fn confirm(&mut self, at: TimeMs) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn confirm_from_members(&mut self, applied: Offset) {
        let newest = self
            .members
            .values()
            .filter(|report| report.next_offset <= applied)
            .filter_map(|report| report.confirmed_at)
            .max();
        self.confirmed_at = self.confirmed_at.max(newest);
    }

    fn has_outage_evidence(&self, now: TimeMs, me: SessionId, state: &ControlState) -> bool {
        if self.log_reachable {
            return false;
        }
        let mut heard = usize::from(state.sessions.contains_key(&me));
        for (member, report) in &self.members {
            if *member == me || now.since(report.reported_at) > REPORT_MAX_AGE_MS {
                continue;
            }
            if report.log_reachable || report.next_offset > state.next_offset {
                return false;
            }
            if state.sessions.contains_key(member) {
                heard += 1;
            }
        }
        heard >= state.majority()
    }
}
