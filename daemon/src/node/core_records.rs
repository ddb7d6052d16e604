//! The records and registry entries that a node follows.

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission::StartDelay;
use cowslipport_lib::workload::owner_record::NodeRecord;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::record::JobStatus;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::spec::JobSpec;
use slog::info;
use slog::warn;

use crate::node::messages::TopicUpdate;
use crate::node::platform::KeyedRecord;
use crate::node::platform::OperatorChange;
use crate::node::platform::Platform;
use crate::node::platform::RecordCodec;
use crate::node::platform::Topic;

use crate::node::core::Core;

impl<P> Core<P>
where
    P: Platform,
{
    pub(super) fn apply_topic_update(
        &mut self,
        topic: Topic,
        update: TopicUpdate,
        confirmed_at: Option<TimeMs>,
    ) {
        match topic {
            Topic::Operator => self.apply_operator_records(update, confirmed_at),
            Topic::Jobs => {
                self.state.confirmed_at.jobs = confirmed_at.or(self.state.confirmed_at.jobs);
                let records = match update {
                    TopicUpdate::Snapshot(records) | TopicUpdate::Records(records) => records,
                };
                self.apply_job_records(&records);
                self.with_owner(|owner, view| owner.apply_job_records(view, records));
            }
            Topic::Workers => {
                self.with_owner(|owner, view| {
                    owner.apply_worker_entries(view, update, confirmed_at)
                });
            }
            // Nodes do not follow these topics.
            Topic::Progress | Topic::Status => {}
        }
    }

    fn apply_job_records(&mut self, records: &[KeyedRecord]) {
        for record in records {
            let Some(key) = RecordKey::decode(&record.key) else {
                warn!(self.logger, "unknown record key"; "bytes" => record.key.len());
                continue;
            };
            if let Err(findings) = self.apply_job_record(&key, &record.value) {
                warn!(self.logger, "decoding a record failed"; "key" => format!("{key:?}"),
                    "findings" => findings.to_string());
            }
        }
    }

    fn apply_job_record(
        &mut self,
        key: &RecordKey,
        value: &[u8],
    ) -> Result<(), cowslipport_lib::findings::Findings> {
        let state = &mut self.state;
        match *key {
            RecordKey::Submission(job) if value.is_empty() => state.job_registry.remove(job),
            RecordKey::Submission(job) => {
                let spec = JobSpec::decode(value)?;
                let queue = state.catalog.queue_id(&spec.queue);
                let organisation =
                    spec.organisation.as_deref().map(|name| state.catalog.organisation_id(name));
                state.job_registry.apply_submission(job, queue, organisation);
            }
            RecordKey::Cancellation(job) if !value.is_empty() => {
                state.job_registry.apply_cancellation(job)
            }
            RecordKey::Status(job) if !value.is_empty() => {
                state.job_registry.apply_status(job, JobStatus::decode(value)?);
            }
            RecordKey::Ownership if !value.is_empty() => {
                let ownership = OwnershipRecord::decode(value)?;
                let now = self.clock.now();
                state.candidacy.owner_seen(now, &ownership.owner.node);
                state.start_delay =
                    StartDelay { delay_ms: ownership.start_delay_ms, received_at: now };
                state.room_admission.rooms_received(now, ownership.rooms);
            }
            RecordKey::Node(ref node) if !value.is_empty() => {
                let NodeRecord { processor_milli, .. } = NodeRecord::decode(value)?;
                state.candidacy.node_started(node, processor_milli);
            }
            RecordKey::Cancellation(_)
            | RecordKey::Progress(_)
            | RecordKey::Status(_)
            | RecordKey::Wave(_)
            | RecordKey::Unreachable(_)
            | RecordKey::VmOrders
            | RecordKey::RunTimes
            | RecordKey::Demand
            | RecordKey::Ownership
            | RecordKey::Node(_) => {}
        }
        Ok(())
    }

    fn apply_operator_records(&mut self, update: TopicUpdate, confirmed_at: Option<TimeMs>) {
        let state_confirmed_at = &mut self.state.confirmed_at;
        state_confirmed_at.configuration = confirmed_at.or(state_confirmed_at.configuration);
        let record_codec = self.platform.record_codec();
        let is_new = matches!(update, TopicUpdate::Records(_));
        let (records, mut back_in_service) = match update {
            TopicUpdate::Snapshot(records) => {
                let out = std::mem::take(&mut self.state.data_centres_out);
                (records, out)
            }
            TopicUpdate::Records(records) => (records, BTreeSet::new()),
        };
        for record in &records {
            match record_codec.operator_change(record) {
                Ok(change) => {
                    if let OperatorChange::DataCentre { name, is_out: true } = &change {
                        back_in_service.remove(name);
                    }
                    self.apply_operator_change(change, is_new);
                }
                Err(findings) => {
                    warn!(self.logger, "decoding an operator record failed";
                        "key" => String::from_utf8_lossy(&record.key).into_owned(),
                        "findings" => findings.to_string());
                }
            }
        }
        for name in back_in_service {
            self.apply_operator_change(OperatorChange::DataCentre { name, is_out: false }, is_new);
        }
    }

    /// Applies a change. `is_new` tells that the operator made it just now.
    fn apply_operator_change(&mut self, change: OperatorChange, is_new: bool) {
        let now = self.clock.now();
        let state = &mut self.state;
        match change {
            OperatorChange::Configuration(spec) => {
                let version = spec.version;
                if let Err(findings) = spec.check() {
                    warn!(self.logger, "configuration has findings"; "version" => version,
                        "findings" => findings.to_string());
                }
                if state.catalog.apply(spec) {
                    info!(self.logger, "configuration applied"; "version" => version);
                    self.max_body_bytes.send_replace(state.catalog.max_body_bytes());
                    if let Some(owner) = &mut state.owner {
                        owner.refresh(&mut state.catalog);
                    }
                }
            }
            OperatorChange::DataCentre { name, is_out } => {
                info!(self.logger, "data centre changed"; "data_centre" => &name, "out" => is_out);
                if let Some(owner) = &mut state.owner {
                    owner.set_data_centre_out(&name, is_out);
                }
                match is_out {
                    true => state.data_centres_out.insert(name),
                    false => state.data_centres_out.remove(&name),
                };
            }
            OperatorChange::Wave(spec) => {
                info!(self.logger, "wave requested"; "wave" => spec.wave,
                    "vms" => spec.vms.len(), "max_down" => spec.max_down,
                    "deadline_ms" => spec.deadline_ms);
                let known = state.waves.get(&spec.wave).map(|(requested_at, _)| *requested_at);
                // The age of a wave that is older than this process is unknown.
                // Half of the time until its deadline is assumed to be over.
                let age_ms = if is_new { 0 } else { spec.deadline_ms / 2 };
                let requested_at = known.unwrap_or_else(|| now.minus(age_ms));
                if let Some(owner) = &mut state.owner {
                    owner.wave_requested(requested_at, spec.clone());
                }
                state.waves.insert(spec.wave, (requested_at, spec));
            }
            OperatorChange::WaveWithdrawn { wave } => {
                if let Some(owner) = &mut state.owner {
                    owner.wave_withdrawn(wave);
                }
                state.waves.remove(&wave);
            }
            OperatorChange::Other => {}
        }
    }
}
