//! Conversion of control records between the generated and the validated
//! types.

use prost::Message;

use crate::config::ConfigChange;
use crate::config::ConfigCommit;
use crate::findings::Findings;
use crate::ids::Offset;
use crate::ids::OperationId;
use crate::ids::OrganisationId;
use crate::ids::PartitionId;
use crate::ids::PoolId;
use crate::ids::RecordId;
use crate::ids::RegionId;
use crate::ids::Revision;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::protos::control as raw;
use crate::record::ControlRecord;
use crate::record::DrainPurpose;
use crate::record::GrantChange;
use crate::record::GrantDirection;
use crate::record::RecordBody;
use crate::record::VmStep;
use crate::wire::config::entity;
use crate::wire::config_encode::budgets_to_raw;

impl ControlRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        raw::ControlRecord::from(self).encode_to_vec()
    }

    /// Decodes a record of the log.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::ControlRecord::decode(bytes)
            .map_err(|error| decode_error("record", error.to_string()))?;
        Self::try_from(&raw)
    }
}

pub(crate) fn decode_error<M>(path: &str, message: M) -> Findings
where
    M: Into<String>,
{
    let mut findings = Findings::default();
    findings.add(path, message);
    findings
}

pub(crate) fn missing_field(path: &str) -> Findings {
    decode_error(path, "field is missing")
}

impl TryFrom<&raw::ControlRecord> for ControlRecord {
    type Error = Findings;

    fn try_from(raw: &raw::ControlRecord) -> Result<Self, Findings> {
        let id = raw.id.as_ref().ok_or_else(|| missing_field("id"))?;
        let body = raw.body.as_ref().ok_or_else(|| missing_field("body"))?;
        Ok(Self { id: id.into(), body: body.try_into()? })
    }
}

impl From<&ControlRecord> for raw::ControlRecord {
    fn from(record: &ControlRecord) -> Self {
        Self { id: Some(record.id.into()), body: Some((&record.body).into()) }
    }
}

impl From<&raw::RecordId> for RecordId {
    fn from(raw: &raw::RecordId) -> Self {
        Self { writer: raw.writer, sequence: raw.sequence }
    }
}

impl From<RecordId> for raw::RecordId {
    fn from(id: RecordId) -> Self {
        Self { writer: id.writer, sequence: id.sequence }
    }
}

impl TryFrom<&raw::control_record::Body> for RecordBody {
    type Error = Findings;

    fn try_from(raw: &raw::control_record::Body) -> Result<Self, Findings> {
        use raw::control_record::Body;
        Ok(match raw {
            Body::ConfigCommit(commit) => Self::ConfigCommit(commit.try_into()?),
            Body::DataCentreSet(set) => Self::DataCentreSet {
                data_centre: set.data_centre.clone(),
                in_service: set.in_service,
                author: set.author.clone(),
            },
            Body::SessionOpen(open) => Self::SessionOpen(open.into()),
            Body::SessionRenew(renew) => Self::SessionRenew {
                session: SessionId(renew.session),
                renewal: renew.renewal,
                next_offset: Offset(renew.next_offset),
            },
            Body::SessionExpire(expire) => Self::SessionExpire {
                session: SessionId(expire.session),
                seen_renewal: expire.seen_renewal,
                vm_gone: expire.vm_gone,
            },
            Body::SessionClose(close) => {
                Self::SessionClose { session: SessionId(close.session), released: close.released }
            }
            Body::VmBatch(batch) => Self::VmBatch(
                batch.observations.iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
            ),
            Body::DrainBegin(drain) => drain_begin(drain)?,
            Body::VmOperation(operation) => vm_operation(operation)?,
            Body::GrantBatch(batch) => {
                Self::GrantBatch(batch.changes.iter().map(grant_change).collect())
            }
            Body::WaveUpdate(update) => Self::WaveUpdate {
                wave: WaveId(update.wave),
                phase: update.phase().try_into()?,
                width: update.width,
            },
        })
    }
}

fn drain_begin(raw: &raw::DrainBegin) -> Result<RecordBody, Findings> {
    use raw::drain_begin::Purpose;
    let purpose = match raw.purpose.as_ref().ok_or_else(|| missing_field("purpose"))? {
        Purpose::Wave(wave) => DrainPurpose::Wave(WaveId(*wave)),
        Purpose::MoveToPool(pool) => DrainPurpose::Move(PoolId(*pool)),
    };
    Ok(RecordBody::DrainBegin { vm: VmId(raw.vm), purpose })
}

fn vm_operation(raw: &raw::VmOperation) -> Result<RecordBody, Findings> {
    let step = match raw.step() {
        raw::VmStep::Unspecified => return Err(missing_field("step")),
        raw::VmStep::Reboot => VmStep::Reboot,
        raw::VmStep::Move => VmStep::Move,
        raw::VmStep::Done => VmStep::Done,
        raw::VmStep::Cancel => VmStep::Cancel,
        raw::VmStep::Failed => VmStep::Failed,
    };
    let operation = OperationId(Offset(raw.operation));
    Ok(RecordBody::VmOperation { vm: VmId(raw.vm), operation, step })
}

fn grant_change(raw: &raw::GrantChange) -> GrantChange {
    GrantChange {
        organisation: OrganisationId(raw.organisation),
        partition: PartitionId { pool: PoolId(raw.pool), region: RegionId(raw.region) },
        owner: SessionId(raw.owner),
        direction: if raw.take { GrantDirection::Take } else { GrantDirection::Return },
        amount: raw.amount.unwrap_or_default().into(),
    }
}

impl From<&RecordBody> for raw::control_record::Body {
    fn from(body: &RecordBody) -> Self {
        match body {
            RecordBody::ConfigCommit(commit) => Self::ConfigCommit(commit.into()),
            RecordBody::DataCentreSet { data_centre, in_service, author } => {
                Self::DataCentreSet(raw::DataCentreSet {
                    data_centre: data_centre.clone(),
                    in_service: *in_service,
                    author: author.clone(),
                })
            }
            RecordBody::SessionOpen(open) => Self::SessionOpen(open.into()),
            RecordBody::SessionRenew { session, renewal, next_offset } => {
                Self::SessionRenew(raw::SessionRenew {
                    session: session.0,
                    renewal: *renewal,
                    next_offset: next_offset.0,
                })
            }
            RecordBody::SessionExpire { session, seen_renewal, vm_gone } => {
                Self::SessionExpire(raw::SessionExpire {
                    session: session.0,
                    seen_renewal: *seen_renewal,
                    vm_gone: *vm_gone,
                })
            }
            RecordBody::SessionClose { session, released } => {
                Self::SessionClose(raw::SessionClose { session: session.0, released: *released })
            }
            RecordBody::VmBatch(observations) => Self::VmBatch(raw::VmBatch {
                observations: observations.iter().map(Into::into).collect(),
            }),
            RecordBody::DrainBegin { vm, purpose } => Self::DrainBegin(raw::DrainBegin {
                vm: vm.0,
                purpose: Some(match purpose {
                    DrainPurpose::Wave(wave) => raw::drain_begin::Purpose::Wave(wave.0),
                    DrainPurpose::Move(pool) => raw::drain_begin::Purpose::MoveToPool(pool.0),
                }),
            }),
            RecordBody::VmOperation { vm, operation, step } => {
                Self::VmOperation(vm_operation_to_raw(*vm, *operation, *step))
            }
            RecordBody::GrantBatch(changes) => Self::GrantBatch(raw::GrantBatch {
                changes: changes.iter().map(grant_change_to_raw).collect(),
            }),
            RecordBody::WaveUpdate { wave, phase, width } => {
                let phase = raw::WavePhase::from(*phase).into();
                Self::WaveUpdate(raw::WaveUpdate { wave: wave.0, phase, width: *width })
            }
        }
    }
}

fn vm_operation_to_raw(vm: VmId, operation: OperationId, step: VmStep) -> raw::VmOperation {
    let step = match step {
        VmStep::Reboot => raw::VmStep::Reboot,
        VmStep::Move => raw::VmStep::Move,
        VmStep::Done => raw::VmStep::Done,
        VmStep::Cancel => raw::VmStep::Cancel,
        VmStep::Failed => raw::VmStep::Failed,
    };
    raw::VmOperation { vm: vm.0, operation: operation.0.0, step: step.into() }
}

fn grant_change_to_raw(change: &GrantChange) -> raw::GrantChange {
    raw::GrantChange {
        organisation: change.organisation.0,
        pool: change.partition.pool.0,
        region: change.partition.region.0,
        owner: change.owner.0,
        take: change.direction == GrantDirection::Take,
        amount: Some(change.amount.into()),
    }
}

impl TryFrom<&raw::ConfigCommit> for ConfigCommit {
    type Error = Findings;

    fn try_from(raw: &raw::ConfigCommit) -> Result<Self, Findings> {
        let mut changes = Vec::new();
        for change in &raw.changes {
            changes.push(config_change(change)?);
        }
        let expected_revision = Revision(raw.expected_revision);
        Ok(Self { expected_revision, author: raw.author.clone(), changes })
    }
}

fn config_change(raw: &raw::ConfigChange) -> Result<ConfigChange, Findings> {
    use raw::config_change::Change;
    Ok(match raw.change.as_ref().ok_or_else(|| missing_field("change"))? {
        Change::PutDataCentre(spec) => ConfigChange::PutDataCentre(entity::data_centre(spec)?),
        Change::RemoveDataCentre(name) => ConfigChange::RemoveDataCentre(name.clone()),
        Change::PutPool(spec) => ConfigChange::PutPool(entity::pool(spec)?),
        Change::RemovePool(name) => ConfigChange::RemovePool(name.clone()),
        Change::PutOrganisation(spec) => ConfigChange::PutOrganisation(entity::organisation(spec)?),
        Change::RemoveOrganisation(name) => ConfigChange::RemoveOrganisation(name.clone()),
        Change::PutBudgets(raw) => ConfigChange::PutBudgets {
            pool: raw.pool.clone(),
            budgets: entity::budgets(&raw.pool, &raw.budgets)?,
        },
        Change::PutWave(spec) => ConfigChange::PutWave(entity::wave(spec)?),
        Change::RemoveWave(name) => ConfigChange::RemoveWave(name.clone()),
        Change::PutPolicy(policy) => ConfigChange::PutPolicy(entity::policy(policy)),
    })
}

impl From<&ConfigCommit> for raw::ConfigCommit {
    fn from(commit: &ConfigCommit) -> Self {
        let change = |change: &ConfigChange| raw::ConfigChange { change: Some(change.into()) };
        Self {
            expected_revision: commit.expected_revision.0,
            author: commit.author.clone(),
            changes: commit.changes.iter().map(change).collect(),
        }
    }
}

impl From<&ConfigChange> for raw::config_change::Change {
    fn from(change: &ConfigChange) -> Self {
        match change {
            ConfigChange::PutDataCentre(spec) => Self::PutDataCentre(spec.into()),
            ConfigChange::RemoveDataCentre(name) => Self::RemoveDataCentre(name.clone()),
            ConfigChange::PutPool(spec) => Self::PutPool(spec.into()),
            ConfigChange::RemovePool(name) => Self::RemovePool(name.clone()),
            ConfigChange::PutOrganisation(spec) => Self::PutOrganisation(spec.into()),
            ConfigChange::RemoveOrganisation(name) => Self::RemoveOrganisation(name.clone()),
            ConfigChange::PutBudgets { pool, budgets } => Self::PutBudgets(raw::PoolBudgets {
                pool: pool.clone(),
                budgets: budgets_to_raw(pool, budgets),
            }),
            ConfigChange::PutWave(spec) => Self::PutWave(spec.into()),
            ConfigChange::RemoveWave(name) => Self::RemoveWave(name.clone()),
            ConfigChange::PutPolicy(policy) => Self::PutPolicy(policy.into()),
        }
    }
}
