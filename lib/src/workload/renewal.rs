//! For how long an owner renews leases without the store.
//!
//! Leases have to outlast an outage of the store, in which there is no other owner. To
//! an owner that is cut off from the store, this looks the same, but it soon has a
//! successor. Workers tell the two apart, because they refuse an owner once a later one
//! has called them. Each owner records a few workers as its witnesses, and without the
//! store it renews leases only while most of them answer. Once most of them have
//! answered its successor, the successor knows when the owner stops.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::WorkerId;
use crate::workload::lease::LeaseTimes;
use crate::workload::owner_record::Witness;
use crate::workload::worker::Reachability;
use crate::workload::worker::Worker;

/// Number of witnesses, two of which may be lost together with the owner.
const WITNESSES: usize = 5;
/// With fewer witnesses, a single worker that is lost could end the renewals of an owner
/// in an outage of the store.
const MIN_WITNESSES: usize = 3;

/// An incarnation of a worker that is a witness. A later one has forgotten which owners
/// have called it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WitnessId {
    worker: WorkerId,
    started_unix_ms: u64,
}

/// Witnesses of one owner, each with the time of its last answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct WitnessSet {
    answered_at: BTreeMap<WitnessId, Option<TimeMs>>,
}

impl WitnessSet {
    pub(crate) fn ids(&self) -> impl Iterator<Item = WitnessId> {
        self.answered_at.keys().copied()
    }

    /// Records an answer. Returns false if it is not from one of the witnesses.
    pub(crate) fn answered(&mut self, id: WitnessId, at: TimeMs) -> bool {
        match self.answered_at.get_mut(&id) {
            Some(answered_at) => {
                *answered_at = Some(answered_at.map_or(at, |before| before.max(at)));
                true
            }
            None => false,
        }
    }

    /// The latest time such that most witnesses have answered then or later; `None` if
    /// most have not answered at all.
    pub(crate) fn majority_at(&self) -> Option<TimeMs> {
        let mut times: Vec<TimeMs> = self.answered_at.values().flatten().copied().collect();
        times.sort_unstable_by_key(|time| Reverse(*time));
        times.get(self.answered_at.len() / 2).copied()
    }

    fn is_empty(&self) -> bool {
        self.answered_at.is_empty()
    }

    fn contains_worker(&self, worker: WorkerId) -> bool {
        self.answered_at.keys().any(|id| id.worker == worker)
    }
}

impl FromIterator<WitnessId> for WitnessSet {
    fn from_iter<T>(ids: T) -> Self
    where
        T: IntoIterator<Item = WitnessId>,
    {
        Self { answered_at: ids.into_iter().map(|id| (id, None)).collect() }
    }
}

/// What limits the renewals of this owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Renewals {
    /// Witnesses of the former owner, which are the first ones of this owner.
    inherited: Vec<WitnessId>,
    /// The witnesses that a successor may find in the store: those of the newest record
    /// that is known to be stored, and of later ones.
    recorded: VecDeque<RecordedWitnesses>,
    /// Whether the store has an ownership record of this owner.
    is_record_stored: bool,
    /// Whether the store has ceased to confirm the ownership.
    is_unconfirmed: bool,
}

/// Witnesses in the ownership record of a batch.
#[derive(Clone, Debug)]
struct RecordedWitnesses {
    batch: u64,
    witnesses: WitnessSet,
}

impl Renewals {
    pub(crate) fn inherit(&mut self, witnesses: Vec<WitnessId>) {
        self.inherited = witnesses;
    }

    /// Handles that the store has the ownership records of the batches up to this one.
    pub(crate) fn batch_published(&mut self, batch: u64) {
        let stored = self.recorded.iter().take_while(|recorded| recorded.batch <= batch).count();
        if stored > 0 {
            self.is_record_stored = true;
            self.recorded.drain(..stored - 1);
        }
    }

    /// Whether a worker has to answer for leases to be renewed.
    pub(crate) fn needs_answer_of(&self, worker: WorkerId) -> bool {
        self.is_unconfirmed
            && self.recorded.iter().any(|recorded| recorded.witnesses.contains_worker(worker))
    }

    fn answered(&mut self, id: WitnessId, sent_at: TimeMs) {
        for recorded in &mut self.recorded {
            recorded.witnesses.answered(id, sent_at);
        }
    }

    /// Until when leases may be renewed, if the store last confirmed the ownership at
    /// `confirmed_at`.
    fn until(&self, times: LeaseTimes, confirmed_at: TimeMs) -> TimeMs {
        // A successor that finds no record of this owner does not know of it, and counts
        // only leases that were renewed before it gained the ownership itself.
        if !self.is_record_stored {
            return confirmed_at.plus(times.ownership_ttl_ms);
        }
        let sets = self.recorded.iter().map(|recorded| &recorded.witnesses);
        let witnessed_at = sets.filter(|set| !set.is_empty()).map(WitnessSet::majority_at).min();
        let longest = confirmed_at.plus(times.former_renewal_ms);
        match witnessed_at {
            None => longest,
            Some(witnessed_at) => {
                let evidence_at = confirmed_at.max(witnessed_at.unwrap_or_default());
                longest.min(evidence_at.plus(times.evidence_ms))
            }
        }
    }
}

impl Dispatcher {
    /// Until when this owner may renew leases, if the store last confirmed its ownership
    /// at `confirmed_at`.
    pub fn renewable_until(&self, confirmed_at: TimeMs) -> TimeMs {
        self.renewals.until(self.lease_times, confirmed_at)
    }

    /// Whether leases are renewed only while this worker, or enough others, answer.
    pub fn needs_answer_of(&self, id: WorkerId) -> bool {
        self.renewals.needs_answer_of(id)
    }

    /// Notes whether the store confirms the ownership. While it does not, witnesses are
    /// polled even if they run no tasks.
    pub fn set_confirmed(&mut self, is_confirmed: bool) {
        if self.renewals.is_unconfirmed != is_confirmed {
            return;
        }
        self.renewals.is_unconfirmed = !is_confirmed;
        let sets = self.renewals.recorded.iter().map(|recorded| &recorded.witnesses);
        self.activity_changes.extend(sets.flat_map(WitnessSet::ids).map(|id| id.worker));
    }

    /// Handles the answer of a worker to a poll that was sent at `sent_at`.
    pub(crate) fn witness_answered(
        &mut self,
        now: TimeMs,
        worker: WorkerId,
        sent_at: TimeMs,
        started_unix_ms: Option<u64>,
    ) {
        let Some(started_unix_ms) = started_unix_ms else { return };
        let id = WitnessId { worker, started_unix_ms };
        self.renewals.answered(id, sent_at);
        let events = self.former_owners.witness_answered(now, self.lease_times, id);
        self.events.extend(events);
    }

    /// The witnesses for the ownership record of the next batch.
    pub(crate) fn record_witnesses(&mut self) -> Vec<Witness> {
        let last = self.renewals.recorded.back();
        let chosen = match last {
            None if !self.renewals.inherited.is_empty() => self.renewals.inherited.clone(),
            None => self.choose_witnesses(Vec::new()),
            Some(last) => self.choose_witnesses(last.witnesses.ids().collect()),
        };
        let is_same = last.is_some_and(|last| last.witnesses.ids().eq(chosen.iter().copied()));
        if !is_same {
            let mut witnesses: WitnessSet = chosen.iter().copied().collect();
            let known = last.into_iter().flat_map(|last| &last.witnesses.answered_at);
            for (id, answered_at) in known {
                if let Some(answered_at) = answered_at {
                    witnesses.answered(*id, *answered_at);
                }
            }
            self.renewals
                .recorded
                .push_back(RecordedWitnesses { batch: self.next_batch, witnesses });
        }
        chosen.into_iter().map(|id| self.witness(id)).collect()
    }

    /// Keeps the present witnesses that are still suitable, and adds others from the
    /// data centres and racks that have the fewest.
    fn choose_witnesses(&self, present: Vec<WitnessId>) -> Vec<WitnessId> {
        let suitable = |id: &WitnessId| {
            let worker = self.workers.get(id.worker);
            worker.and_then(suitable_incarnation) == Some(id.started_unix_ms)
        };
        let mut chosen: BTreeSet<WitnessId> = present.into_iter().filter(suitable).collect();
        while chosen.len() < WITNESSES {
            let places: Vec<_> = chosen.iter().map(|id| self.place(id.worker)).collect();
            let candidates = self.workers.iter().filter_map(|(worker, state)| {
                let started_unix_ms = suitable_incarnation(state)?;
                Some(WitnessId { worker, started_unix_ms })
            });
            let candidates = candidates.filter(|id| !chosen.contains(id));
            let next = candidates.min_by_key(|id| {
                let (data_centre, rack) = self.place(id.worker);
                let in_data_centre = places.iter().filter(|place| place.0 == data_centre).count();
                let in_rack = places.iter().filter(|place| place.1 == rack).count();
                (in_data_centre, in_rack, *id)
            });
            let Some(next) = next else { break };
            chosen.insert(next);
        }
        match chosen.len() {
            0..MIN_WITNESSES => Vec::new(),
            _ => chosen.into_iter().collect(),
        }
    }

    /// Data centre and rack of a worker.
    fn place(&self, worker: WorkerId) -> (Option<&str>, Option<&str>) {
        let listing = self.workers.get(worker).and_then(|worker| worker.listing.as_ref());
        let data_centre = listing.map(|listing| listing.data_centre.as_str());
        (data_centre, listing.and_then(|listing| listing.rack.as_deref()))
    }

    pub(crate) fn witness(&self, id: WitnessId) -> Witness {
        let worker = self.worker_name(id.worker).to_owned();
        Witness { worker, started_unix_ms: id.started_unix_ms }
    }

    pub(crate) fn witness_id(&mut self, witness: &Witness) -> WitnessId {
        let worker = self.worker_id(&witness.worker);
        WitnessId { worker, started_unix_ms: witness.started_unix_ms }
    }
}

/// The incarnation of a worker that may become or stay a witness.
fn suitable_incarnation(worker: &Worker) -> Option<u64> {
    let is_staying = worker.listing.as_ref().is_some_and(|listing| !listing.is_draining);
    let is_suitable =
        is_staying && worker.is_listing_current() && worker.reachability == Reachability::Reachable;
    worker.started_unix_ms.filter(|_| is_suitable)
}
