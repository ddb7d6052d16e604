//! Sessions of members: opening, renewing and expiring them, and the authority
//! of the owner of a partition to start work.

use std::collections::BTreeMap;

use crate::control::ControlState;
use crate::control::Ownership;
use crate::freshness::CONFIRMATION_MAX_AGE_MS;
use crate::freshness::FreshnessTracker;
use crate::freshness::ViewState;
use crate::ids::Offset;
use crate::ids::PartitionId;
use crate::ids::SessionId;
use crate::record::RecordBody;
use crate::record::SessionOpen;
use crate::time::TimeMs;

/// Lease of a session: other members expire it after this time without a
/// renewal.
pub const SESSION_LEASE_MS: u64 = 6_000;

/// Time between renewals.
pub const RENEW_INTERVAL_MS: u64 = 2_000;

/// Time for which a worker accepts a ticket, on the worker's clock.
pub const TICKET_LIFETIME_MS: u64 = 2_000;

/// Time that a new owner waits after a majority has applied the change of
/// ownership: the former owner may act on its last confirmation until that is
/// too old, and a start that it sent then may arrive while its ticket is valid.
pub const TAKEOVER_WAIT_MS: u64 = CONFIRMATION_MAX_AGE_MS + TICKET_LIFETIME_MS;

/// Time after which the record that opens the session is appended again.
const OPEN_RETRY_MS: u64 = 400;

/// Time between renewals while a change of the members awaits its majority.
const CONFIRM_INTERVAL_MS: u64 = 200;

/// Delay between one member and the next that may expire a session, so that
/// normally only one of them writes the record.
const EXPIRY_STAGGER_MS: u64 = 500;

/// Renews the session of this process and expires those of other members.
#[derive(Clone, Debug)]
pub struct SessionKeeper {
    open: SessionOpen,
    closing: bool,
    renewal: u64,
    open_sent_at: Option<TimeMs>,
    renewals_sent: BTreeMap<u64, TimeMs>,
    lease_until: Option<TimeMs>,
    last_renewed_at: Option<TimeMs>,
    last_reported: Offset,
    other_renewals: BTreeMap<SessionId, SeenRenewal>,
    majority_applied_at: BTreeMap<Offset, TimeMs>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRenewal {
    renewal: u64,
    since: TimeMs,
}

/// Whether a session may start work in a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAuthority {
    /// The session may start work.
    Granted,
    /// Another session owns the partition, or none does.
    NotOwner,
    /// The view of the control state is stale.
    StaleView,
    /// The lease of the session has expired, or the session is being closed.
    LeaseExpired,
    /// The former owner may still start work.
    TakeoverWait,
}

impl SessionKeeper {
    /// Creates the keeper of the session that `open` describes.
    pub fn new(open: SessionOpen) -> Self {
        Self {
            open,
            closing: false,
            renewal: 0,
            open_sent_at: None,
            renewals_sent: BTreeMap::new(),
            lease_until: None,
            last_renewed_at: None,
            last_reported: Offset(0),
            other_renewals: BTreeMap::new(),
            majority_applied_at: BTreeMap::new(),
        }
    }

    /// Number of the session.
    pub fn session(&self) -> SessionId {
        self.open.session
    }

    /// End of the lease of the session, according to the renewals that were
    /// applied.
    pub fn lease_until(&self) -> Option<TimeMs> {
        self.lease_until
    }

    /// Stops renewals and refuses starts of work from now on. Returns the
    /// record that closes the session, to be appended after the last start of
    /// work.
    pub fn close(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        freshness: &FreshnessTracker,
    ) -> RecordBody {
        self.observe(now, state, freshness);
        let owned = state.owners.values().filter(|entry| entry.owner == Some(self.open.session));
        let released =
            owned.collect::<Vec<_>>().into_iter().all(|entry| self.takeover_is_over(now, entry));
        self.closing = true;
        RecordBody::SessionClose { session: self.open.session, released }
    }

    /// Records to append now.
    pub fn due_records(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        freshness: &FreshnessTracker,
    ) -> Vec<RecordBody> {
        self.observe(now, state, freshness);
        if self.closing || !freshness.log_reachable() {
            return Vec::new();
        }
        let mut records = Vec::new();
        records.extend(self.due_own_record(now, state));
        records.extend(self.due_expiry(now, state, freshness));
        records
    }

    /// Whether this session may start work in the partition.
    pub fn start_authority(
        &self,
        now: TimeMs,
        partition: PartitionId,
        state: &ControlState,
        view: ViewState,
    ) -> StartAuthority {
        let ownership = match state.owners.get(&partition) {
            Some(ownership) if ownership.owner == Some(self.open.session) => *ownership,
            Some(_) | None => return StartAuthority::NotOwner,
        };
        if self.closing {
            return StartAuthority::LeaseExpired;
        }
        match view {
            ViewState::Stale => return StartAuthority::StaleView,
            ViewState::Confirmed if !self.lease_valid(now) => return StartAuthority::LeaseExpired,
            ViewState::Confirmed | ViewState::Outage => {}
        }
        if self.takeover_is_over(now, &ownership) {
            StartAuthority::Granted
        } else {
            StartAuthority::TakeoverWait
        }
    }

    fn takeover_is_over(&self, now: TimeMs, ownership: &Ownership) -> bool {
        let applied_at = self.majority_applied_at.get(&Offset(ownership.epoch.0));
        ownership.released || applied_at.is_some_and(|at| now.since(*at) >= TAKEOVER_WAIT_MS)
    }

    fn lease_valid(&self, now: TimeMs) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    fn observe(&mut self, now: TimeMs, state: &ControlState, freshness: &FreshnessTracker) {
        self.confirm_own_renewal(state);
        self.record_majorities(now, state, freshness);
        let log_since = freshness.log_reachable_since();
        let me = self.open.session;
        self.other_renewals.retain(|session, _| state.sessions.contains_key(session));
        for (session, entry) in state.sessions.iter().filter(|(session, _)| **session != me) {
            let observed = SeenRenewal { renewal: entry.renewal, since: now };
            let seen = self.other_renewals.entry(*session).or_insert(observed);
            if seen.renewal != entry.renewal || log_since.is_none_or(|since| since > seen.since) {
                *seen = observed;
            }
        }
    }

    fn confirm_own_renewal(&mut self, state: &ControlState) {
        let Some(session) = state.sessions.get(&self.open.session) else { return };
        let Some(sent_at) = self.renewals_sent.get(&session.renewal).copied() else { return };
        self.renewals_sent = self.renewals_sent.split_off(&(session.renewal + 1));
        let until = sent_at.plus(self.open.lease_ms);
        self.lease_until = self.lease_until.max(Some(until));
        self.open_sent_at = None;
    }

    fn record_majorities(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        freshness: &FreshnessTracker,
    ) {
        let me = self.open.session;
        let own_epochs: Vec<Offset> = state
            .owners
            .values()
            .filter(|ownership| ownership.owner == Some(me))
            .map(|ownership| Offset(ownership.epoch.0))
            .collect();
        self.majority_applied_at.retain(|offset, _| own_epochs.contains(offset));
        for offset in own_epochs {
            if !self.majority_applied_at.contains_key(&offset)
                && freshness.majority_applied(offset, me, state)
            {
                self.majority_applied_at.insert(offset, now);
            }
        }
    }

    fn due_own_record(&mut self, now: TimeMs, state: &ControlState) -> Option<RecordBody> {
        let Some(session) = state.sessions.get(&self.open.session) else {
            if self.open_sent_at.is_some_and(|since| now.since(since) < OPEN_RETRY_MS)
                || !self.may_open(state)
            {
                return None;
            }
            // The lease starts at the first append that may have taken effect.
            if self.open_sent_at.is_none() {
                self.renewals_sent.remove(&0);
            }
            self.renewals_sent.entry(0).or_insert(now);
            self.open_sent_at = Some(now);
            return Some(RecordBody::SessionOpen(self.open.clone()));
        };
        // The next change of the members waits until a majority has reported
        // that it applied the last one, so this member reports it soon.
        let report_due = state.quorum_epoch >= self.last_reported;
        let interval_ms = if report_due { CONFIRM_INTERVAL_MS } else { RENEW_INTERVAL_MS };
        if self.last_renewed_at.is_some_and(|at| now.since(at) < interval_ms) {
            return None;
        }
        self.last_renewed_at = Some(now);
        self.last_reported = state.next_offset;
        self.renewal = self.renewal.max(session.renewal) + 1;
        self.renewals_sent.insert(self.renewal, now);
        Some(RecordBody::SessionRenew {
            session: self.open.session,
            renewal: self.renewal,
            next_offset: state.next_offset,
        })
    }

    /// True if the record that opens the session would take effect, or would
    /// end the session of an earlier incarnation of this process.
    fn may_open(&self, state: &ControlState) -> bool {
        let mut sessions = state.sessions.values();
        state.membership_confirmed() || sessions.any(|other| other.open.name == self.open.name)
    }

    fn due_expiry(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        freshness: &FreshnessTracker,
    ) -> Option<RecordBody> {
        let log_since = freshness.log_reachable_since()?;
        let me = self.open.session;
        let mut live: Vec<SessionId> = state.sessions.keys().copied().collect();
        for (session, seen) in &self.other_renewals {
            let lease_ms = state.sessions.get(session)?.open.lease_ms;
            live.retain(|other| other != session);
            let position = live.iter().position(|other| *other == me).unwrap_or(live.len());
            let expiry_ms = lease_ms + EXPIRY_STAGGER_MS * position as u64;
            if now.since(seen.since) >= expiry_ms && now.since(log_since) >= expiry_ms {
                let since = SeenRenewal { renewal: seen.renewal, since: now };
                let record = RecordBody::SessionExpire {
                    session: *session,
                    seen_renewal: seen.renewal,
                    vm_gone: false,
                };
                let session = *session;
                self.other_renewals.insert(session, since);
                return Some(record);
            }
        }
        None
    }
}
