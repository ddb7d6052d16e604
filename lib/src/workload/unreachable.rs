//! Workers that do not answer: when their tasks may be placed elsewhere, and
//! how a successor learns of the time that has already passed.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::key::WorkerId;
use crate::workload::lease::LeaseTracker;
use crate::workload::lease::UnreachableRecord;
use crate::workload::owner_record::UnreachableWorker;
use crate::workload::record::RecordKey;
use crate::workload::worker::Reachability;

/// Time between two records of one silent worker. It bounds the time that a
/// change of owners adds to the wait for its tasks.
const RECORD_INTERVAL_MS: u64 = 500;

/// A worker that has not answered a new owner for this time counts as silent:
/// many round trips within a region. One that answers later costs two records.
const UNREACHED_AFTER_MS: u64 = 300;

impl Dispatcher {
    /// Takes over that a former owner found a worker silent.
    pub fn restore_unreachable_worker(
        &mut self,
        now: TimeMs,
        name: &str,
        unreachable: UnreachableWorker,
    ) {
        let id = self.worker_id(name);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.leases = LeaseTracker::recorded(now, unreachable.remaining_ms);
        }
    }

    /// A worker did not answer a call, which may have renewed its leases if it
    /// was sent at `renewed_at`.
    pub fn worker_unreachable(&mut self, id: WorkerId, renewed_at: Option<TimeMs>) {
        let times = self.lease_times;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.reachability = Reachability::Unreachable;
        if let Some(renewed_at) = renewed_at {
            worker.leases.granted(times.expires_at(renewed_at));
        }
    }

    /// True if leases on a worker may be renewed: no successor would take the
    /// worker for one whose leases run out.
    pub fn may_renew_leases(&self, id: WorkerId) -> bool {
        let silence = self.workers.get(id).map(|worker| worker.leases.silence());
        silence == Some(UnreachableRecord::Absent)
    }

    /// Frees the places on workers whose leases have all run out.
    pub fn expire_leases(&mut self, now: TimeMs) {
        let former_over_at = self.lease_times.expires_at(self.former.renew_until());
        let is_over = |worker: &crate::workload::worker::Worker| {
            worker.reachability != Reachability::Reachable
                && !worker.tasks.is_empty()
                && now >= worker.leases.expires_at(former_over_at)
        };
        let over: Vec<WorkerId> =
            self.workers.iter().filter(|(_, worker)| is_over(worker)).map(|(id, _)| id).collect();
        for id in over {
            self.free_ordered(id, PlacementReleaseReason::LeaseExpired);
        }
    }

    /// Records of silence that the store lacks or that are to be dropped.
    pub(crate) fn unreachable_records(
        &mut self,
        now: TimeMs,
        records: &mut BTreeMap<RecordKey, Vec<u8>>,
        dropped: &mut Vec<WorkerId>,
    ) {
        let former_over_at = self.lease_times.expires_at(self.former.renew_until());
        let taken_up_at = *self.taken_up_at.get_or_insert(now);
        let has_asked_all = now.since(taken_up_at) >= UNREACHED_AFTER_MS;
        for (id, worker) in self.workers.iter_mut() {
            // Nobody asks a worker that has no entry any more.
            let does_not_answer = match worker.reachability {
                Reachability::Unreachable => true,
                Reachability::Unknown => has_asked_all,
                Reachability::Reachable => false,
            };
            let is_silent = does_not_answer && !worker.tasks.is_empty();
            let is_due = match worker.leases.silence() {
                UnreachableRecord::Absent => true,
                UnreachableRecord::Written { at } => now.since(at) >= RECORD_INTERVAL_MS,
                UnreachableRecord::Dropping => false,
            };
            let is_written = matches!(worker.leases.silence(), UnreachableRecord::Written { .. });
            let key = RecordKey::UnreachableWorker(worker.name.clone());
            if is_silent && is_due {
                let remaining_ms = worker.leases.expires_at(former_over_at).since(now);
                records.insert(key, UnreachableWorker { remaining_ms }.encode(&worker.name));
                worker.leases.set_silence(UnreachableRecord::Written { at: now });
            } else if is_written
                && (worker.reachability == Reachability::Reachable || worker.tasks.is_empty())
            {
                records.insert(key, Vec::new());
                worker.leases.set_silence(UnreachableRecord::Dropping);
                dropped.push(id);
            }
        }
    }

    /// Records of silence were dropped from the store.
    pub(crate) fn unreachable_records_dropped(&mut self, workers: &[WorkerId]) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(*id) {
                worker.leases.set_silence(UnreachableRecord::Absent);
            }
        }
    }
}
