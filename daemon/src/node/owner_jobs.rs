//! How an owner applies job records: all of them in the recovery, then each as
//! it arrives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::workload::demand_record::DemandRecord;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::NodeRecord;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::owner_record::Unreachable;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::owner_record::WaveProgress;
use cowslipport_lib::workload::record::JobStatus;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::run_time::RunTimesRecord;
use cowslipport_lib::workload::spec::JobSpec;
use slog::info;
use slog::warn;

use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;

/// Records of a recovery that are compared with each other.
#[derive(Default)]
struct StoredState {
    progress: BTreeMap<JobKey, Progress>,
    statuses: BTreeMap<JobKey, JobStatus>,
    submissions: BTreeSet<JobKey>,
    ownership: Option<OwnershipRecord>,
}

impl<P> Owner<P>
where
    P: Platform,
{
    /// Applies job records, or defers them during the recovery.
    pub(crate) fn apply_job_records(
        &mut self,
        view: &mut OwnerView<'_>,
        records: Vec<KeyedRecord>,
    ) {
        match &mut self.deferred_records {
            Some(deferred) => deferred.extend(records),
            None => self.apply_records(view, &records, &BTreeMap::new()),
        }
    }

    fn apply_records(
        &mut self,
        view: &mut OwnerView<'_>,
        records: &[KeyedRecord],
        progress: &BTreeMap<JobKey, Progress>,
    ) {
        for record in records {
            let Some(key) = RecordKey::decode(&record.key) else { continue };
            match key {
                RecordKey::Submission(job) if record.value.is_empty() => {
                    self.dispatcher.forget(job);
                }
                RecordKey::Submission(job) => match JobSpec::decode(&record.value) {
                    Ok(spec) => {
                        let progress = progress.get(&job);
                        self.dispatcher.submitted(view.now, view.catalog, job, spec, progress);
                    }
                    Err(findings) => {
                        warn!(self.logger, "decoding a job record failed"; "job" => %job,
                            "findings" => findings.to_string());
                    }
                },
                RecordKey::Cancellation(job) if !record.value.is_empty() => {
                    self.dispatcher.cancelled(job);
                }
                RecordKey::Node(node) => match NodeRecord::decode(&record.value) {
                    Ok(NodeRecord { incarnation, .. }) => {
                        self.dispatcher
                            .node_started(view.now, &NodeIncarnation { node, incarnation });
                    }
                    Err(findings) => {
                        warn!(self.logger, "decoding a node record failed"; "node" => node,
                            "findings" => findings.to_string());
                    }
                },
                // A cancellation without a value was deleted. The other records
                // are written only by this owner.
                RecordKey::Cancellation(_)
                | RecordKey::Progress(_)
                | RecordKey::Status(_)
                | RecordKey::Wave(_)
                | RecordKey::Unreachable(_)
                | RecordKey::VmOrders
                | RecordKey::RunTimes
                | RecordKey::Demand
                | RecordKey::Ownership => {}
            }
        }
    }

    /// Ends the recovery: applies all records of the store, and then the
    /// deferred ones.
    pub(crate) fn finish_recovery(&mut self, view: &mut OwnerView<'_>, records: &[KeyedRecord]) {
        let StoredState { mut progress, statuses, submissions, ownership } =
            self.restore_owner_records(view, records);
        info!(self.logger, "record of the former owner read"; "tenure" => format!("{ownership:?}"));
        self.dispatcher.restore_former_owners(view.now, ownership);
        self.dispatcher.begin_recovery(view.now_unix_ms);
        for (job, progress) in progress.iter_mut().filter(|(job, _)| submissions.contains(job)) {
            let stored = statuses.get(job).copied().unwrap_or_default();
            self.dispatcher.restore_status(*job, progress, stored);
        }
        self.apply_records(view, records, &progress);
        let deferred = self.deferred_records.take().unwrap_or_default();
        self.apply_records(view, &deferred, &progress);
        self.dispatcher.recovered();
        for (update, confirmed_at) in std::mem::take(&mut self.deferred_entries) {
            self.apply_worker_entries(view, update, confirmed_at);
        }
        info!(self.logger, "recovery finished"; "open_jobs" => self.dispatcher.open_jobs(),
            "took_ms" => view.now.since(self.gained_at));
    }

    /// Applies the records that former owners wrote for their successor, and
    /// returns what the records of jobs are compared with.
    fn restore_owner_records(
        &mut self,
        view: &mut OwnerView<'_>,
        records: &[KeyedRecord],
    ) -> StoredState {
        let mut stored = StoredState::default();
        for record in records {
            match RecordKey::decode(&record.key) {
                Some(RecordKey::Progress(job)) => match Progress::decode(&record.value) {
                    Ok(decoded) => {
                        stored.progress.insert(job, decoded);
                    }
                    Err(findings) => {
                        warn!(self.logger, "decoding the progress of a job failed"; "job" => %job,
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Wave(wave)) => self.restore_wave(view, wave, &record.value),
                Some(RecordKey::Unreachable(worker)) => match Unreachable::decode(&record.value) {
                    Ok(unreachable) => {
                        self.dispatcher.restore_unreachable(view.now, &worker, unreachable);
                    }
                    Err(findings) => {
                        // Without the record, this owner has to assume that a
                        // former owner renewed the leases of the worker, and
                        // waits longer until they expire.
                        warn!(self.logger, "decoding an unreachable worker's record failed";
                            "worker" => worker, "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::VmOrders) => match VmOrders::decode(&record.value) {
                    Ok(orders) => {
                        self.vm_handover.inherit(view.now, orders.vms);
                        self.maintenance.orders_inherited(view.now, orders.open);
                    }
                    Err(findings) => {
                        warn!(self.logger, "decoding the record of VM orders failed";
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::RunTimes) => self.restore_run_times(view, &record.value),
                Some(RecordKey::Demand) => self.restore_demand(view, &record.value),
                Some(RecordKey::Ownership) => match OwnershipRecord::decode(&record.value) {
                    Ok(decoded) => stored.ownership = Some(decoded),
                    Err(findings) => {
                        warn!(self.logger, "decoding the record of the former owner failed";
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Status(job)) => match JobStatus::decode(&record.value) {
                    Ok(status) => {
                        stored.statuses.insert(job, status);
                    }
                    Err(findings) => {
                        // The status is written again from the progress.
                        warn!(self.logger, "decoding the status of a job failed"; "job" => %job,
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Submission(job)) => {
                    stored.submissions.insert(job);
                }
                Some(RecordKey::Cancellation(_) | RecordKey::Node(_)) | None => {}
            }
        }
        stored
    }

    fn restore_run_times(&mut self, view: &OwnerView<'_>, value: &[u8]) {
        match RunTimesRecord::decode(value) {
            Ok(learned) => self.dispatcher.restore_run_times(view.now, learned),
            Err(findings) => {
                // This owner learns anew.
                warn!(self.logger, "decoding the learned run times failed";
                    "findings" => findings.to_string());
            }
        }
    }

    /// Takes over what a former owner learned of the demand of pools. It only
    /// improves decisions, so a record that cannot be read is left out.
    fn restore_demand(&mut self, view: &mut OwnerView<'_>, value: &[u8]) {
        match DemandRecord::decode(value) {
            Ok(demand) => {
                let (now, now_unix_ms) = (view.now, view.now_unix_ms);
                self.dispatcher.restore_demand(now, now_unix_ms, view.catalog, &demand);
            }
            Err(findings) => {
                warn!(self.logger, "decoding the record of the demand failed";
                    "findings" => findings.to_string());
            }
        }
    }

    /// Applies the progress of a wave, or deletes it if the wave was withdrawn.
    fn restore_wave(&mut self, view: &OwnerView<'_>, wave: u64, value: &[u8]) {
        let progress = match WaveProgress::decode(value) {
            Ok(progress) => progress,
            Err(findings) => {
                warn!(self.logger, "decoding the progress of a wave failed"; "wave" => wave,
                    "findings" => findings.to_string());
                return;
            }
        };
        if self.maintenance.has_wave(wave) {
            self.maintenance.wave_restored(wave, &progress);
            return;
        }
        // The former owner may have read a request that this node has not read yet.
        let is_withdrawn = view.operator_confirmed_at.is_some_and(|at| at >= self.gained_at);
        if is_withdrawn {
            self.maintenance.forget_progress(wave);
        }
        info!(self.logger, "progress of a wave not restored"; "wave" => wave,
            "is_withdrawn" => is_withdrawn);
    }
}
