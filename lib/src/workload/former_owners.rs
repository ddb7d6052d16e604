//! Former owners that may still renew leases on workers that do not answer.
//!
//! A former owner is known to have ended if it released its ownership, if its
//! process was restarted, or after the time for which an owner that cannot
//! reach the store goes on renewing leases.

use crate::time::TimeMs;
use crate::workload::candidacy::OWNERSHIP_RECORD_INTERVAL_MS;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::lease::LeaseTimes;
use crate::workload::owner_record::FormerOwner;
use crate::workload::owner_record::NodeIncarnation;
use crate::workload::owner_record::OwnershipRecord;

/// Time between two ownership records while a former owner may still renew
/// leases.
const FORMER_OWNER_INTERVAL_MS: u64 = 500;

/// The former owners that may still renew leases, and the state of the record
/// that lists them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormerOwners {
    possible_owners: Vec<PossibleOwner>,
    /// Time from which on no other former owner renews leases.
    others_ended_at: TimeMs,
    recorded_at: Option<TimeMs>,
    is_changed: bool,
}

/// A former owner that may still renew leases.
#[derive(Clone, Debug)]
struct PossibleOwner {
    owner: NodeIncarnation,
    until: TimeMs,
}

impl FormerOwners {
    /// The state before the store was read: any node may have been the owner.
    pub(crate) fn unknown(gained_at: TimeMs, times: LeaseTimes) -> Self {
        Self { others_ended_at: gained_at.plus(times.former_renewal_ms), ..Self::default() }
    }

    /// Time from which on no former owner can renew leases.
    pub(crate) fn may_renew_until(&self) -> TimeMs {
        let ends = self.possible_owners.iter().map(|former| former.until);
        ends.fold(self.others_ended_at, TimeMs::max)
    }

    /// Handles the record of an incarnation of a node, which ends the former ones. The
    /// record may be stored late, when a later incarnation runs.
    fn node_started(&mut self, now: TimeMs, present: &NodeIncarnation) {
        let has_ended = |former: &PossibleOwner| {
            former.owner.node == present.node && former.owner.incarnation < present.incarnation
        };
        let count = self.possible_owners.len();
        self.possible_owners.retain(|former| !has_ended(former));
        if self.possible_owners.len() < count {
            self.others_ended_at = self.others_ended_at.max(now);
            self.is_changed = true;
        }
    }

    /// The former owners that may still renew leases at `now`.
    fn remaining(&self, now: TimeMs) -> Vec<FormerOwner> {
        let left = self.possible_owners.iter().filter(|former| former.until > now);
        left.map(|former| FormerOwner {
            owner: former.owner.clone(),
            remaining_ms: former.until.since(now),
        })
        .collect()
    }
}

impl Dispatcher {
    /// Applies the last ownership record of the store, which was read after its
    /// writer was fenced.
    pub fn restore_former_owners(&mut self, now: TimeMs, record: Option<OwnershipRecord>) {
        // The previous owner lost the ownership when this one gained it. It
        // renews leases for no longer than if it had last reached the store at
        // that time.
        let until = self.former_owners.may_renew_until();
        let mut former =
            FormerOwners { others_ended_at: now, is_changed: true, ..FormerOwners::default() };
        if let Some(record) = record {
            // An earlier incarnation of this node has ended.
            let has_ended = record.is_over || record.owner.node == self.owner.node;
            former
                .possible_owners
                .extend((!has_ended).then_some(PossibleOwner { owner: record.owner, until }));
            let earlier = record.former.into_iter();
            former.possible_owners.extend(earlier.map(|earlier| PossibleOwner {
                owner: earlier.owner,
                until: now.plus(earlier.remaining_ms),
            }));
        }
        self.former_owners = former;
    }

    /// Applies the present incarnation of a node.
    pub fn node_started(&mut self, now: TimeMs, present: &NodeIncarnation) {
        self.former_owners.node_started(now, present);
    }

    /// The ownership record, if it is due to be written. It also tells smaller
    /// nodes that there is an owner.
    pub(crate) fn ownership_record(&mut self, now: TimeMs) -> Option<OwnershipRecord> {
        let former = self.former_owners.remaining(now);
        let interval_ms =
            if former.is_empty() { OWNERSHIP_RECORD_INTERVAL_MS } else { FORMER_OWNER_INTERVAL_MS };
        let is_old = self
            .former_owners
            .recorded_at
            .is_none_or(|recorded_at| now.since(recorded_at) >= interval_ms);
        let is_due = self.former_owners.is_changed || is_old;
        if !is_due || !self.is_recovered {
            return None;
        }
        self.former_owners.is_changed = false;
        self.former_owners.recorded_at = Some(now);
        let (epoch, owner) = (self.epoch, self.owner.clone());
        Some(OwnershipRecord {
            epoch,
            owner,
            is_over: self.is_released,
            former,
            start_delay_ms: self.start_delay_ms,
        })
    }

    /// Releases the ownership: from now on no lease is renewed.
    pub fn release(&mut self) {
        self.is_released = true;
        self.former_owners.is_changed = true;
    }
}
