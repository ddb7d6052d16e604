//! Decides whether a process may act on its view of the control state.
//!
//! Ages are measured from the time at which this process sent its request, so
//! clocks need not agree, and an answer that is delayed only looks older.

use std::collections::BTreeMap;

use crate::control::ControlState;
use crate::ids::Offset;
use crate::ids::SessionId;
use crate::snapshot::StateDigest;
use crate::time::TimeMs;

/// Largest age at which a confirmation against the head of the log is valid.
pub const CONFIRMATION_MAX_AGE_MS: u64 = 2_000;

/// Largest age at which the report of a member is used, for example as evidence
/// of an outage of the log.
pub const REPORT_MAX_AGE_MS: u64 = 1_500;

/// Whether a process may act on its view, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViewState {
    /// The view held every record of the log at its last confirmation, which is
    /// recent enough.
    Confirmed,
    /// A majority of the members reports that it cannot reach the log, so no
    /// record can have been accepted that this process does not know.
    Outage,
    /// The view may lack records; no new work is started.
    Stale,
}

/// Report of a member on its own view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReport {
    /// Offset of the next record that the member will apply.
    pub next_offset: Offset,
    /// True if the member can reach the log.
    pub log_reachable: bool,
    /// Lower bound, on the clock of this process, for the time at which the
    /// member last confirmed its view.
    pub confirmed_at: Option<TimeMs>,
    /// Lower bound, on the clock of this process, for the time of the report.
    pub reported_at: TimeMs,
    /// Digest of the state of the member at an offset.
    pub digest: Option<(Offset, StateDigest)>,
}

/// Tracks how recently the view of one process was confirmed.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTracker {
    confirmed_at: Option<TimeMs>,
    log_reachable: bool,
    log_reachable_since: Option<TimeMs>,
    unconfirmed_head: Option<(TimeMs, Offset)>,
    members: BTreeMap<SessionId, MemberReport>,
}

impl FreshnessTracker {
    /// Handles an answer of the log to a request sent at `sent_at`: `head` is
    /// the offset of the next append.
    pub fn log_answered(&mut self, sent_at: TimeMs, head: Offset, applied: Offset) {
        if !self.log_reachable {
            self.log_reachable_since = Some(sent_at);
        }
        self.log_reachable = true;
        if applied >= head {
            self.confirm(sent_at);
        } else {
            self.unconfirmed_head = Some((sent_at, head));
        }
    }

    /// Handles a request that the log did not answer.
    pub fn log_failed(&mut self) {
        self.log_reachable = false;
        self.log_reachable_since = None;
    }

    /// Handles progress of the state: `applied` is the offset of the next
    /// record that it will apply.
    pub fn applied(&mut self, applied: Offset) {
        if let Some((sent_at, head)) = self.unconfirmed_head
            && applied >= head
        {
            self.unconfirmed_head = None;
            self.confirm(sent_at);
        }
        self.confirm_from_members(applied);
    }

    /// Handles the report of a member. A report that is older than the known
    /// one is dropped.
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

    /// The time until which this process may act on its view if no further
    /// report arrives. Evidence of an outage extends a confirmation that is
    /// about to become too old, so that there is no gap between the two.
    pub fn valid_until(&self, now: TimeMs, me: SessionId, state: &ControlState) -> TimeMs {
        let confirmed = self.confirmed_at.map_or(now, |at| at.plus(CONFIRMATION_MAX_AGE_MS + 1));
        if self.has_outage_evidence(now, me, state) {
            // The reports are at most `REPORT_MAX_AGE_MS` old now, so at this
            // time they are at most `CONFIRMATION_MAX_AGE_MS` old.
            confirmed.max(now.plus(CONFIRMATION_MAX_AGE_MS - REPORT_MAX_AGE_MS))
        } else {
            confirmed
        }
    }

    /// Time of the last confirmation of the view.
    pub fn confirmed_at(&self) -> Option<TimeMs> {
        self.confirmed_at
    }

    /// True if the log answered the last request.
    pub fn log_reachable(&self) -> bool {
        self.log_reachable
    }

    /// Start of the time during which the log has answered every request.
    pub fn log_reachable_since(&self) -> Option<TimeMs> {
        self.log_reachable_since
    }

    /// The last report of each member.
    pub fn members(&self) -> &BTreeMap<SessionId, MemberReport> {
        &self.members
    }

    /// The member to fetch records from: the one that has applied most records
    /// after `applied`.
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
        let mut without_log = usize::from(state.sessions.contains_key(&me));
        for (member, report) in &self.members {
            if *member == me || now.since(report.reported_at) > REPORT_MAX_AGE_MS {
                continue;
            }
            if report.log_reachable || report.next_offset > state.next_offset {
                return false;
            }
            if state.sessions.contains_key(member) {
                without_log += 1;
            }
        }
        without_log >= state.majority()
    }
}
