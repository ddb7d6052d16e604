//! Batches of records that must be stored before they take effect, and the
//! starts that wait for them.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::event::PlacementReleaseReason;
use crate::workload::job::AttemptState;
use crate::workload::job::Placement;
use crate::workload::job_record;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::Acknowledgement;
use crate::workload::order::Batch;
use crate::workload::order::Order;
use crate::workload::order::StartOrder;
use crate::workload::order::WorkerOrder;
use crate::workload::record::JobStatus;
use crate::workload::record::Progress;
use crate::workload::record_key::RecordKey;
use crate::workload::run_time::RunProgress;

/// Maximum size of a progress record. The store refuses records over 256 KiB with
/// their keys. Without checkpoints, a record of `MAX_TASKS` tasks fits.
const MAX_RECORD_BYTES: usize = 250 * 1_024;

impl Dispatcher {
    /// The records of a job: its progress, and its status if that has changed.
    pub(crate) fn job_records(&mut self, id: JobId) -> Vec<(RecordKey, Vec<u8>)> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let recorded = |placement: &Placement| self.recorded_placement(placement);
        let progress = job_record::progress_of(job, self.epoch, recorded);
        let (key, status) = (job.key, progress.status());
        let mut encoded = progress.encode();
        if encoded.len() > MAX_RECORD_BYTES {
            let bytes = encoded.len();
            self.events.push(DispatcherEvent::CheckpointsNotStored { job: key, bytes });
            encoded = progress.without_checkpoints().encode();
        }
        let mut records = vec![(RecordKey::Progress(key), encoded)];
        if status != job.recorded_status {
            records.push((RecordKey::Status(key), status.encode()));
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.recorded_status = status;
            job.is_dirty = false;
        }
        self.note_recorded_leases(id);
        records
    }

    /// The statuses of the jobs that have started since the last batch.
    fn started_job_records(&mut self) -> Vec<(RecordKey, Vec<u8>)> {
        let mut records = Vec::new();
        for id in std::mem::take(&mut self.started) {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let status = job.status();
            if status != job.recorded_status {
                job.recorded_status = status;
                records.push((RecordKey::Status(job.key), status.encode()));
            }
        }
        records
    }

    /// Makes the progress and the status that a former owner stored of a job agree. A
    /// start is stored with the status first, and an outcome with the progress; the owner
    /// may have ended before it stored the other. The status is recorded again if it lacks
    /// something.
    pub fn restore_status(&mut self, job: JobKey, progress: &mut Progress, stored: JobStatus) {
        progress.has_started |= stored.has_started;
        let status = progress.status();
        if status != stored {
            self.closed_job_records.push((RecordKey::Status(job), status.encode()));
        }
    }

    /// The changes since the last batch, which must be stored now.
    pub fn take_batch(&mut self, now: TimeMs) -> Batch {
        let mut records: BTreeMap<RecordKey, Vec<u8>> =
            std::mem::take(&mut self.closed_job_records).into_iter().collect();
        let deleted_jobs = self.ended.take_due(now);
        for job in &deleted_jobs {
            records.extend(job.keys().map(|key| (key, Vec::new())));
        }
        let mut reachable_again = Vec::new();
        self.unreachable_records(now, &mut records, &mut reachable_again);
        let ownership = self.ownership_record(now);
        records.extend(ownership.map(|record| (RecordKey::Ownership, record.encode())));
        for id in std::mem::take(&mut self.dirty) {
            records.extend(self.job_records(id));
        }
        // Neither starts nor run times are a reason for an append of their own. The
        // ownership record is one soon enough.
        if !records.is_empty() {
            records.extend(self.started_job_records());
            let run_times = self.run_times_record(now);
            records.extend(run_times.map(|record| (RecordKey::RunTimes, record.encode())));
        }
        let acknowledged = std::mem::take(&mut self.to_acknowledge).into_iter();
        let acknowledged = acknowledged.map(|(worker, number)| {
            let started_unix_ms =
                self.workers.get(worker).and_then(|worker| worker.started_unix_ms);
            Acknowledgement { worker, started_unix_ms, number }
        });
        let number = self.next_batch;
        self.next_batch += 1;
        Batch {
            number,
            records: records.into_iter().collect(),
            starts: std::mem::take(&mut self.planned),
            acknowledged: acknowledged.collect(),
            deleted_jobs: deleted_jobs.into_iter().map(|job| job.key).collect(),
            reachable_again,
        }
    }

    /// True if the store records that no task is placed on a worker. Until it
    /// does, a new owner would assume that the last tasks still run there, and
    /// wait for a worker that may be gone.
    pub(crate) fn is_stored_as_empty(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| {
            worker.tasks.is_empty() && worker.last_release_batch <= self.stored_batch
        })
    }

    /// Orders the starts whose placements are stored. If `may_order` is false,
    /// this process may have lost ownership: it orders nothing, and releases
    /// the placements.
    pub fn batch_stored(&mut self, now: TimeMs, batch: &Batch, may_order: bool) {
        self.stored_batch = Some(batch.number);
        self.unreachable_records_dropped(&batch.reachable_again);
        if !batch.deleted_jobs.is_empty() {
            self.unpublished_deletions.push_back((batch.number, batch.deleted_jobs.clone()));
        }
        for task in &batch.starts {
            self.order_start(now, *task, may_order);
        }
    }

    /// Handles that the store has the records for all nodes of the batches up to
    /// this one. The progress of deleted jobs goes last, because a submission
    /// without progress would run again.
    pub fn batch_published(&mut self, number: u64) {
        self.renewals.batch_published(number);
        while let Some((_, jobs)) =
            self.unpublished_deletions.pop_front_if(|(batch, _)| *batch <= number)
        {
            let progress = jobs.into_iter().map(|job| (RecordKey::Progress(job), Vec::new()));
            self.closed_job_records.extend(progress);
        }
    }

    fn order_start(&mut self, now: TimeMs, key: TaskKey, may_order: bool) {
        let Some(placement) = self.placement(key).copied() else { return };
        if placement.state != AttemptState::Planned {
            return;
        }
        if let Some(reason) = self.reason_not_to_start(now, key, &placement, may_order) {
            self.release_placement(key, reason);
            return;
        }
        let worker = placement.worker;
        let ticket = self.ticket(now, key.step, worker).map(str::to_owned);
        let Some(job) = self.jobs.get_mut(key.step.job) else { return };
        let (task, payload) = (job.task_name(key), Rc::clone(&job.payload));
        let is_long_running = job.step_spec(key.step.step).long_running;
        let checkpoint = job.step(key.step).checkpoints.get(key.index).cloned();
        let state = job.task_mut(key);
        let attempt = state.attempt;
        let Some(placement) = state.placement_mut() else { return };
        let incarnation_unix_ms = placement.lease.incarnation_unix_ms();
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.leases.granted(self.lease_times.expires_at(now));
        }
        // The reply replaces this. None comes if the connections to the worker end.
        let expires_at = self.lease_times.longest_expires_at(now);
        placement.lease = AttemptLease::Unknown { incarnation_unix_ms, expires_at };
        placement.state = AttemptState::Ordered;
        placement.run = RunProgress::new(checkpoint.is_some());
        placement.since = now;
        placement.progressed_at = now;
        let start = StartOrder {
            key,
            task,
            attempt,
            incarnation_unix_ms,
            payload,
            checkpoint,
            is_long_running,
            ticket,
        };
        self.orders.push(WorkerOrder { worker, order: Order::Start(start) });
    }

    /// Why a planned start must not be ordered; `None` if it may. The worker may have
    /// changed while the store had no record of the placement: it may have restarted
    /// with other labels and less capacity, or be leaving.
    fn reason_not_to_start(
        &self,
        now: TimeMs,
        key: TaskKey,
        placement: &Placement,
        may_order: bool,
    ) -> Option<PlacementReleaseReason> {
        let (Some(job), Some(worker)) =
            (self.jobs.get(key.step.job), self.workers.get(placement.worker))
        else {
            return Some(PlacementReleaseReason::NotSent);
        };
        if placement.lease.incarnation_unix_ms() != worker.started_unix_ms {
            return Some(PlacementReleaseReason::WorkerRestarted);
        }
        let lacks_ticket =
            job.rules.needs_advice && self.ticket(now, key.step, placement.worker).is_none();
        let may_start = may_order
            && !job.is_closing()
            && placement.stop.is_none()
            && !lacks_ticket
            && self.candidate_pool(now, worker) == Some(job.pool);
        (!may_start).then_some(PlacementReleaseReason::NotSent)
    }
}
