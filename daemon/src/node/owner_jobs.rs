//! How an owner learns of jobs: all at first, then as they come.

use std::collections::BTreeMap;

use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::NodeRecord;
use cowslipport_lib::workload::owner_record::Tenure;
use cowslipport_lib::workload::owner_record::Unreachable;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::owner_record::WaveProgress;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record::RecordKey;
use cowslipport_lib::workload::spec::JobSpec;
use slog::info;
use slog::warn;

use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;

impl<P> Owner<P>
where
    P: Platform,
{
    /// Takes over records of jobs.
    pub(crate) fn job_records(&mut self, view: &mut OwnerView<'_>, records: Vec<KeyedRecord>) {
        match &mut self.held_back {
            Some(held_back) => held_back.extend(records),
            None => self.apply_jobs(view, &records, &BTreeMap::new()),
        }
    }

    fn apply_jobs(
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
                        warn!(self.logger, "record of a job cannot be read"; "job" => %job,
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
                        warn!(self.logger, "life of a node cannot be read"; "node" => node,
                            "findings" => findings.to_string());
                    }
                },
                // Only this owner writes the rest, or its key was dropped.
                RecordKey::Cancellation(_)
                | RecordKey::Progress(_)
                | RecordKey::Wave(_)
                | RecordKey::Unreachable(_)
                | RecordKey::VmOrders
                | RecordKey::Tenure => {}
            }
        }
    }

    /// Takes over all jobs, and then what came meanwhile.
    pub(crate) fn recovered(&mut self, view: &mut OwnerView<'_>, records: &[KeyedRecord]) {
        let mut progress = BTreeMap::new();
        let mut tenure = None;
        for record in records {
            match RecordKey::decode(&record.key) {
                Some(RecordKey::Progress(job)) => match Progress::decode(&record.value) {
                    Ok(decoded) => {
                        progress.insert(job, decoded);
                    }
                    Err(findings) => {
                        warn!(self.logger, "progress of a job cannot be read"; "job" => %job,
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Wave(wave)) => match WaveProgress::decode(&record.value) {
                    Ok(decoded) => self.upkeep.wave_restored(wave, &decoded),
                    Err(findings) => {
                        warn!(self.logger, "progress of a wave cannot be read"; "wave" => wave,
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Unreachable(worker)) => match Unreachable::decode(&record.value) {
                    Ok(unreachable) => {
                        self.dispatcher.restore_unreachable(view.now, &worker, unreachable);
                    }
                    Err(findings) => {
                        // The worker is then taken for one that a former owner
                        // may have renewed, which takes longer.
                        warn!(self.logger, "record of a silent worker cannot be read";
                            "worker" => worker, "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::VmOrders) => match VmOrders::decode(&record.value) {
                    Ok(orders) => self.vm_handover.inherit(view.now, orders.vms),
                    Err(findings) => {
                        warn!(self.logger, "record of ordered VMs cannot be read";
                            "findings" => findings.to_string());
                    }
                },
                Some(RecordKey::Tenure) => match Tenure::decode(&record.value) {
                    Ok(decoded) => tenure = Some(decoded),
                    Err(findings) => {
                        warn!(self.logger, "tenure of the former owner cannot be read";
                            "findings" => findings.to_string());
                    }
                },
                Some(
                    RecordKey::Submission(_) | RecordKey::Cancellation(_) | RecordKey::Node(_),
                )
                | None => {}
            }
        }
        info!(self.logger, "former owner is known"; "tenure" => format!("{tenure:?}"));
        self.dispatcher.restore_former_owners(view.now, tenure);
        self.apply_jobs(view, records, &progress);
        let held_back = self.held_back.take().unwrap_or_default();
        self.apply_jobs(view, &held_back, &progress);
        self.dispatcher.recovered();
        for (update, confirmed_at) in std::mem::take(&mut self.held_back_entries) {
            self.worker_entries(view, update, confirmed_at);
        }
        info!(self.logger, "ownership is taken up"; "open_jobs" => self.dispatcher.open_jobs(),
            "took_ms" => view.now.since(self.gained_at));
    }
}
