//! Conversion of job records between the generated and the validated types.

use prost::Message;

use crate::findings::Findings;
use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::job::JobEnd;
use crate::job::JobOutcome;
use crate::job::JobRecord;
use crate::job::JobRecordBody;
use crate::job::JobRef;
use crate::job::JobSnapshot;
use crate::job::JobSpec;
use crate::job::TaskAction;
use crate::job::TaskId;
use crate::job::TaskState;
use crate::protos::control as raw;
use crate::protos::platform as raw_platform;
use crate::scheduler_event::StartAnswer;
use crate::scheduler_event::TaskReport;
use crate::wire::control::decode_error;
use crate::wire::control::missing_field;

impl JobRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        raw::JobRecord::from(self).encode_to_vec()
    }

    /// Decodes a record of the log.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::JobRecord::decode(bytes)
            .map_err(|error| decode_error("record", error.to_string()))?;
        Self::try_from(&raw)
    }
}

impl TryFrom<&raw::JobRecord> for JobRecord {
    type Error = Findings;

    fn try_from(raw: &raw::JobRecord) -> Result<Self, Findings> {
        use raw::job_record::Body;
        let id = raw.id.as_ref().ok_or_else(|| missing_field("id"))?;
        let body = match raw.body.as_ref().ok_or_else(|| missing_field("body"))? {
            Body::Accepted(accepted) => JobRecordBody::Accepted(jobs(&accepted.jobs)?),
            Body::Cancelled(cancelled) => {
                JobRecordBody::Cancelled(cancelled.jobs.iter().map(Into::into).collect())
            }
            Body::Ended(ended) => JobRecordBody::Ended(ends(&ended.ends)?),
            Body::Snapshot(snapshot) => JobRecordBody::Snapshot(snapshot.try_into()?),
        };
        Ok(Self { id: id.into(), epoch: Epoch(raw.epoch), body })
    }
}

impl From<&JobRecord> for raw::JobRecord {
    fn from(record: &JobRecord) -> Self {
        use raw::job_record::Body;
        let body = match &record.body {
            JobRecordBody::Accepted(jobs) => {
                Body::Accepted(raw::JobsAccepted { jobs: jobs.iter().map(Into::into).collect() })
            }
            JobRecordBody::Cancelled(jobs) => {
                Body::Cancelled(raw::JobsCancelled { jobs: jobs.iter().map(Into::into).collect() })
            }
            JobRecordBody::Ended(ends) => {
                Body::Ended(raw::JobsEnded { ends: ends.iter().map(Into::into).collect() })
            }
            JobRecordBody::Snapshot(snapshot) => Body::Snapshot(snapshot.into()),
        };
        Self { id: Some(record.id.into()), epoch: record.epoch.0, body: Some(body) }
    }
}

fn jobs(raw: &[raw::Job]) -> Result<Vec<JobSpec>, Findings> {
    collect(raw.iter().map(JobSpec::try_from))
}

fn ends(raw: &[raw::JobEnd]) -> Result<Vec<JobEnd>, Findings> {
    collect(raw.iter().map(JobEnd::try_from))
}

/// Returns the values of all results, or the findings of all errors.
fn collect<T, I>(results: I) -> Result<Vec<T>, Findings>
where
    I: Iterator<Item = Result<T, Findings>>,
{
    let mut values = Vec::new();
    let mut findings = Findings::default();
    for result in results {
        match result {
            Ok(value) => values.push(value),
            Err(more) => findings.list.extend(more.list),
        }
    }
    findings.into_result(values)
}

impl TryFrom<&raw::Job> for JobSpec {
    type Error = Findings;

    fn try_from(raw: &raw::Job) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if raw.name.is_empty() {
            findings.add("job.name", "a job needs a name");
        }
        if raw.key.is_empty() {
            findings.add("job.key", "a job needs the name of the key that came with it");
        }
        let request = raw.request.unwrap_or_default().into();
        let job = JobRef { organisation: OrganisationId(raw.organisation), name: raw.name.clone() };
        findings.into_result(Self {
            job,
            key: raw.key.clone(),
            pool: PoolId(raw.pool),
            request,
            urgent: raw.urgent,
            declared_run_ms: (raw.declared_run_ms > 0).then_some(raw.declared_run_ms),
            payload: raw.payload.clone(),
            repeatable: raw.repeatable,
        })
    }
}

impl From<&JobSpec> for raw::Job {
    fn from(spec: &JobSpec) -> Self {
        Self {
            name: spec.job.name.clone(),
            organisation: spec.job.organisation.0,
            key: spec.key.clone(),
            pool: spec.pool.0,
            request: Some(spec.request.into()),
            urgent: spec.urgent,
            declared_run_ms: spec.declared_run_ms.unwrap_or_default(),
            payload: spec.payload.clone(),
            repeatable: spec.repeatable,
        }
    }
}

impl From<&raw::JobRef> for JobRef {
    fn from(raw: &raw::JobRef) -> Self {
        Self { organisation: OrganisationId(raw.organisation), name: raw.name.clone() }
    }
}

impl From<&JobRef> for raw::JobRef {
    fn from(job: &JobRef) -> Self {
        Self { organisation: job.organisation.0, name: job.name.clone() }
    }
}

impl TryFrom<&raw::JobEnd> for JobEnd {
    type Error = Findings;

    fn try_from(raw: &raw::JobEnd) -> Result<Self, Findings> {
        let job = raw.job.as_ref().ok_or_else(|| missing_field("end.job"))?;
        Ok(Self { job: job.into(), outcome: raw.outcome().try_into()? })
    }
}

impl From<&JobEnd> for raw::JobEnd {
    fn from(end: &JobEnd) -> Self {
        let outcome = raw::JobOutcome::from(end.outcome).into();
        Self { job: Some((&end.job).into()), outcome }
    }
}

impl TryFrom<raw::JobOutcome> for JobOutcome {
    type Error = Findings;

    fn try_from(raw: raw::JobOutcome) -> Result<Self, Findings> {
        match raw {
            raw::JobOutcome::Unspecified => Err(missing_field("end.outcome")),
            raw::JobOutcome::Succeeded => Ok(Self::Succeeded),
            raw::JobOutcome::Failed => Ok(Self::Failed),
            raw::JobOutcome::Cancelled => Ok(Self::Cancelled),
            raw::JobOutcome::KeyWithdrawn => Ok(Self::KeyWithdrawn),
            raw::JobOutcome::CannotRun => Ok(Self::CannotRun),
            raw::JobOutcome::Lost => Ok(Self::Lost),
        }
    }
}

impl From<JobOutcome> for raw::JobOutcome {
    fn from(outcome: JobOutcome) -> Self {
        match outcome {
            JobOutcome::Succeeded => Self::Succeeded,
            JobOutcome::Failed => Self::Failed,
            JobOutcome::Cancelled => Self::Cancelled,
            JobOutcome::KeyWithdrawn => Self::KeyWithdrawn,
            JobOutcome::CannotRun => Self::CannotRun,
            JobOutcome::Lost => Self::Lost,
        }
    }
}

impl TryFrom<&raw::JobSnapshot> for JobSnapshot {
    type Error = Findings;

    fn try_from(raw: &raw::JobSnapshot) -> Result<Self, Findings> {
        Ok(Self {
            next_offset: Offset(raw.next_offset),
            epoch: Epoch(raw.epoch),
            jobs: jobs(&raw.jobs)?,
            recent_ends: ends(&raw.recent_ends)?,
            recent_ids: raw.recent_ids.iter().map(Into::into).collect(),
        })
    }
}

impl From<&JobSnapshot> for raw::JobSnapshot {
    fn from(snapshot: &JobSnapshot) -> Self {
        Self {
            next_offset: snapshot.next_offset.0,
            epoch: snapshot.epoch.0,
            jobs: snapshot.jobs.iter().map(Into::into).collect(),
            recent_ends: snapshot.recent_ends.iter().map(Into::into).collect(),
            recent_ids: snapshot.recent_ids.iter().map(|id| (*id).into()).collect(),
        }
    }
}

impl TryFrom<raw_platform::TaskState> for TaskState {
    type Error = Findings;

    fn try_from(raw: raw_platform::TaskState) -> Result<Self, Findings> {
        match raw {
            raw_platform::TaskState::Unspecified => Err(missing_field("task.state")),
            raw_platform::TaskState::Running => Ok(Self::Running),
            raw_platform::TaskState::Throttled => Ok(Self::Throttled),
            raw_platform::TaskState::Checkpointed => Ok(Self::Checkpointed),
            raw_platform::TaskState::Succeeded => Ok(Self::Succeeded),
            raw_platform::TaskState::Failed => Ok(Self::Failed),
            raw_platform::TaskState::Stopped => Ok(Self::Stopped),
        }
    }
}

impl TryFrom<&raw_platform::TaskReport> for TaskReport {
    type Error = Findings;

    fn try_from(raw: &raw_platform::TaskReport) -> Result<Self, Findings> {
        let task: TaskId =
            raw.task.parse().map_err(|error| decode_error("task.task", format!("{error}")))?;
        Ok(Self {
            task,
            state: raw.state().try_into()?,
            request: raw.request.unwrap_or_default().into(),
            used: raw.used.unwrap_or_default().into(),
            age_ms: raw.age_ms,
        })
    }
}

impl From<TaskAction> for raw_platform::TaskAction {
    fn from(action: TaskAction) -> Self {
        match action {
            TaskAction::Throttle => Self::Throttle,
            TaskAction::Unthrottle => Self::Unthrottle,
            TaskAction::Checkpoint => Self::Checkpoint,
            TaskAction::Stop => Self::Stop,
        }
    }
}

impl From<raw_platform::StartResult> for StartAnswer {
    fn from(raw: raw_platform::StartResult) -> Self {
        match raw {
            // A result that only later versions know says nothing about the task.
            raw_platform::StartResult::Unspecified => Self::Unknown,
            raw_platform::StartResult::Started => Self::Started,
            raw_platform::StartResult::Known => Self::Known,
            raw_platform::StartResult::OldEpoch => Self::OldEpoch,
            raw_platform::StartResult::OldTicket => Self::OldTicket,
            raw_platform::StartResult::NoRoom => Self::NoRoom,
        }
    }
}
