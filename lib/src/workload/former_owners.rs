//! Former owners that may still renew leases on workers that do not answer.
//!
//! A former owner is known to have ended if it released its ownership, if its
//! process was restarted, or after the time for which an owner that cannot
//! reach the store goes on renewing leases. That time is short once most of
//! its witnesses have answered a later owner.

use crate::time::TimeMs;
use crate::workload::candidacy::OWNERSHIP_RECORD_INTERVAL_MS;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::lease::LeaseTimes;
use crate::workload::owner_record::FormerOwner;
use crate::workload::owner_record::NodeIncarnation;
use crate::workload::owner_record::OwnershipRecord;
use crate::workload::owner_record::Witness;
use crate::workload::renewal::WitnessId;
use crate::workload::renewal::WitnessSet;

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
    /// The witnesses of the former owner, with their answers to this one.
    witnesses: WitnessSet,
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

    /// Handles that a worker has answered this owner, and refuses former ones.
    pub(crate) fn witness_answered(
        &mut self,
        now: TimeMs,
        times: LeaseTimes,
        id: WitnessId,
    ) -> Vec<DispatcherEvent> {
        let mut events = Vec::new();
        for former in &mut self.possible_owners {
            if !former.witnesses.answered(id, now) || former.witnesses.majority_at().is_none() {
                continue;
            }
            // Each majority has a member in common with those that answered this owner,
            // so the former owner sent its last call of one before now.
            let until = now.plus(times.evidence_ms);
            if until < former.until {
                events.push(DispatcherEvent::FormerOwnerEnding {
                    node: former.owner.node.clone(),
                    remaining_ms: times.evidence_ms,
                    earlier_ms: former.until.since(until),
                });
                former.until = until;
                self.is_changed = true;
            }
        }
        events
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
            let witnesses = self.witness_ids(&record.witnesses);
            self.renewals.inherit(witnesses.clone());
            // An earlier incarnation of this node has ended.
            let has_ended = record.is_over || record.owner.node == self.owner.node;
            let witnesses = witnesses.into_iter().collect();
            let previous = PossibleOwner { owner: record.owner, until, witnesses };
            former.possible_owners.extend((!has_ended).then_some(previous));
            for earlier in record.former {
                let until = now.plus(earlier.remaining_ms);
                let witnesses = self.witness_ids(&earlier.witnesses).into_iter().collect();
                let earlier = PossibleOwner { owner: earlier.owner, until, witnesses };
                former.possible_owners.push(earlier);
            }
        }
        self.former_owners = former;
    }

    fn witness_ids(&mut self, witnesses: &[Witness]) -> Vec<WitnessId> {
        witnesses.iter().map(|witness| self.witness_id(witness)).collect()
    }

    /// The former owners that may still renew leases at `now`.
    fn remaining_former_owners(&self, now: TimeMs) -> Vec<FormerOwner> {
        let former = self.former_owners.possible_owners.iter();
        let remaining = former.filter(|former| former.until > now).map(|former| FormerOwner {
            owner: former.owner.clone(),
            remaining_ms: former.until.since(now),
            witnesses: former.witnesses.ids().map(|id| self.witness(id)).collect(),
        });
        remaining.collect()
    }

    /// Applies the present incarnation of a node.
    pub fn node_started(&mut self, now: TimeMs, present: &NodeIncarnation) {
        self.former_owners.node_started(now, present);
    }

    /// The ownership record, if it is due to be written. It also tells smaller
    /// nodes that there is an owner.
    pub(crate) fn ownership_record(&mut self, now: TimeMs) -> Option<OwnershipRecord> {
        let former = self.remaining_former_owners(now);
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
        let witnesses = self.record_witnesses();
        Some(OwnershipRecord {
            epoch,
            owner,
            is_over: self.is_released,
            former,
            start_delay_ms: self.start_delay_ms,
            witnesses,
            rooms: self.rooms.clone(),
        })
    }

    /// Releases the ownership: from now on no lease is renewed.
    pub fn release(&mut self) {
        self.is_released = true;
        self.former_owners.is_changed = true;
    }
}
