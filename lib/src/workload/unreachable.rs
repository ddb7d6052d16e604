//! Unreachable workers: when their tasks may be placed elsewhere, and records
//! that tell a successor how much of the wait is left.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::AttemptState;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::lease::LeaseTracker;
use crate::workload::lease::UnreachableRecord;
use crate::workload::owner_record::Unreachable;
use crate::workload::record_key::RecordKey;
use crate::workload::report::LeaseGrant;
use crate::workload::vm::VmEntry;
use crate::workload::vm::VmList;
use crate::workload::vm::VmState;
use crate::workload::worker::Reachability;
use crate::workload::worker::Worker;

/// Time between two records of one unreachable worker. It bounds the time that
/// a change of owners adds to the wait for the worker's tasks.
const RECORD_INTERVAL_MS: u64 = 500;

/// A worker that has not answered a new owner for this time counts as
/// unreachable. It covers many round trips within a region. A worker that
/// answers later costs two records.
const UNREACHABLE_AFTER_MS: u64 = 300;

/// A worker that has just started may not be in the VM list yet. A placement
/// that is older than this shows that the worker is not new.
const VM_LIST_LAG_MS: u64 = 2_000;

impl Dispatcher {
    /// Applies a former owner's record of an unreachable worker.
    pub fn restore_unreachable(&mut self, now: TimeMs, name: &str, unreachable: Unreachable) {
        let id = self.worker_id(name);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.leases = LeaseTracker::of_unreachable_worker(now, unreachable);
        }
    }

    /// Handles a call that a worker did not answer. If `renewed_at` is set, the
    /// call was sent at that time and may have renewed the worker's leases.
    pub fn worker_unreachable(&mut self, now: TimeMs, id: WorkerId, renewed_at: Option<TimeMs>) {
        let times = self.lease_times;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.reachability = Reachability::Unreachable;
        let Some(renewed_at) = renewed_at else { return };
        worker.leases.granted(times.expires_at(renewed_at));
        worker.unanswered_renewal_at = Some(now);
        self.lease_granted(now, id, LeaseGrant::Unknown);
    }

    /// True if leases on a worker may be renewed.
    pub fn may_renew_leases(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.leases.may_be_renewed())
    }

    /// Releases the placements on unreachable workers whose leases have expired.
    pub fn expire_leases(&mut self, now: TimeMs) {
        let former_until = self.former_owners.may_renew_until();
        let may_be_expired = |worker: &Worker| {
            worker.reachability != Reachability::Reachable
                && !worker.tasks.is_empty()
                && now >= worker.leases.expires_at(self.lease_times, former_until)
        };
        let candidates = self.workers.iter().filter(|(_, worker)| may_be_expired(worker));
        let tasks = candidates.flat_map(|(_, worker)| worker.tasks.iter().copied());
        let expired: Vec<TaskKey> = tasks.filter(|key| self.is_lease_expired(now, *key)).collect();
        for key in expired {
            self.release_placement(key, PlacementReleaseReason::LeaseExpired);
        }
    }

    fn is_lease_expired(&self, now: TimeMs, key: TaskKey) -> bool {
        self.placement(key).is_some_and(|placement| {
            placement.state != AttemptState::Planned && now >= self.lease_expires_at(placement)
        })
    }

    /// Releases the placements on workers that do not answer and that two VM
    /// lists in a row do not show: their VMs were moved, maintained or
    /// restarted, which ended all their tasks. Without the list, a new owner
    /// would wait until the leases that a former owner may have renewed expire.
    pub fn vms_listed(&mut self, now: TimeMs, vms: &VmList) {
        let is_doubtful = |worker: &Worker| {
            worker.reachability != Reachability::Reachable && !worker.tasks.is_empty()
        };
        let doubtful = self.workers.iter().filter(|(_, worker)| is_doubtful(worker));
        let doubtful: Vec<WorkerId> = doubtful.map(|(id, _)| id).collect();
        if doubtful.is_empty() {
            self.unlisted_by_vms.clear();
            return;
        }
        let may_run = |entry: &&VmEntry| match entry.state {
            VmState::Up | VmState::Down | VmState::Unknown => true,
            VmState::Moving | VmState::Maintenance => false,
        };
        let workers = vms.iter().filter(may_run).map(|entry| entry.worker.as_deref());
        let Some(listed) = workers.collect::<Option<BTreeSet<&str>>>() else {
            // A VM without a worker in the list may be that of any worker.
            self.unlisted_by_vms.clear();
            return;
        };
        let is_missing = |id: &WorkerId| !listed.contains(self.worker_name(*id));
        let missing = doubtful.into_iter().filter(is_missing).collect();
        let before = std::mem::replace(&mut self.unlisted_by_vms, missing);
        for id in before.intersection(&self.unlisted_by_vms.clone()) {
            self.release_matching(*id, PlacementReleaseReason::WorkerGone, |placement| {
                placement.state != AttemptState::Planned
                    && now.since(placement.since) >= VM_LIST_LAG_MS
            });
        }
    }

    /// Adds the records of unreachable workers that must be written, and the
    /// deletions of those that no longer hold.
    pub(crate) fn unreachable_records(
        &mut self,
        now: TimeMs,
        records: &mut BTreeMap<RecordKey, Vec<u8>>,
        dropped: &mut Vec<WorkerId>,
    ) {
        let first_batch_at = *self.first_batch_at.get_or_insert(now);
        let has_polled_all = now.since(first_batch_at) >= UNREACHABLE_AFTER_MS;
        let mut due = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            // A worker without a registry entry is never called and stays
            // `Unknown`.
            let does_not_answer = match worker.reachability {
                Reachability::Unreachable => true,
                Reachability::Unknown => has_polled_all,
                Reachability::Reachable => false,
            };
            let is_unreachable = does_not_answer && !worker.tasks.is_empty();
            let is_due = match worker.leases.unreachable_record() {
                UnreachableRecord::Absent => true,
                UnreachableRecord::Written { at } => now.since(at) >= RECORD_INTERVAL_MS,
                UnreachableRecord::Dropping => false,
            };
            let is_written =
                matches!(worker.leases.unreachable_record(), UnreachableRecord::Written { .. });
            if is_unreachable && is_due {
                worker.leases.set_unreachable_record(UnreachableRecord::Written { at: now });
                due.push(id);
            } else if is_written
                && (worker.reachability == Reachability::Reachable || worker.tasks.is_empty())
            {
                records.insert(RecordKey::Unreachable(worker.name.clone()), Vec::new());
                worker.leases.set_unreachable_record(UnreachableRecord::Dropping);
                dropped.push(id);
            }
        }
        for id in due {
            let name = self.worker_name(id);
            let value = self.unreachable_record(now, id).encode(name);
            records.insert(RecordKey::Unreachable(name.to_owned()), value);
            self.activity_changes.insert(id);
        }
    }

    fn unreachable_record(&self, now: TimeMs, id: WorkerId) -> Unreachable {
        let former_until = self.former_owners.may_renew_until();
        let Some(worker) = self.workers.get(id) else { return Unreachable::default() };
        let known = worker.leases.expires_at(self.lease_times, former_until);
        let placements = worker.tasks.iter().filter_map(|key| self.placement(*key));
        let latest = placements.map(|placement| self.lease_expires_at(placement)).max();
        Unreachable {
            remaining_ms: known.since(now),
            unknown_remaining_ms: latest.unwrap_or(known).since(now),
        }
    }

    /// Handles that records of unreachable workers were dropped from the store.
    pub(crate) fn unreachable_records_dropped(&mut self, workers: &[WorkerId]) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(*id) {
                worker.leases.set_unreachable_record(UnreachableRecord::Absent);
                self.activity_changes.insert(*id);
            }
        }
    }
}
