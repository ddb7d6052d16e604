//! Conversion of job messages between the generated types and the checked
//! types.

use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::findings::Findings;
use cowslipport_lib::job::JobState;
use cowslipport_lib::protos::caller as raw_caller;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::SubmitResult;
use cowslipport_lib::resources::Resources;

use crate::job_stream::JobAnswer;
use crate::partition::JobView;
use crate::placement_log::organisation_name;
use crate::placement_log::vm_name;
use crate::tasks::jobs::NewJob;

const DEFAULT_DEADLINE_MS: u64 = 10_000;
const MAX_DEADLINE_MS: u64 = 60_000;
const MAX_JOB_NAME_BYTES: usize = 128;

/// An open job, with names instead of ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobSummary {
    /// Name of the organisation.
    pub(crate) organisation: String,
    /// Name of the job.
    pub(crate) name: String,
    /// Name of the pool.
    pub(crate) pool: String,
    /// Id of the region of its partition.
    pub(crate) region: u32,
    /// Its state: queued, running or ending.
    pub(crate) state: String,
    /// Why it is in that state.
    pub(crate) reason: String,
    /// Name of the VM on which it runs.
    pub(crate) vm: String,
    /// Time since it entered that state.
    pub(crate) age_ms: u64,
}

/// Describes an open job with names instead of ids.
pub(crate) fn summary(state: &ControlState, view: &JobView) -> JobSummary {
    let pool = state.pools.get(view.partition.pool);
    let (name, reason, vm) = match view.status.state {
        JobState::Queued => {
            let reason = view.status.wait.map(|wait| format!("{wait:?}")).unwrap_or_default();
            ("queued", reason, String::new())
        }
        JobState::Active { vm, .. } => ("running", String::new(), vm_name(state, vm)),
        JobState::Ending { outcome } => ("ending", format!("{outcome:?}"), String::new()),
    };
    JobSummary {
        organisation: organisation_name(state, view.job.organisation),
        name: view.job.name.clone(),
        pool: pool.map(|pool| pool.spec.name.clone()).unwrap_or_default(),
        region: view.partition.region.0,
        state: name.to_owned(),
        reason,
        vm,
        age_ms: view.status.age_ms,
    }
}

impl From<&JobSummary> for raw::JobView {
    fn from(summary: &JobSummary) -> Self {
        Self {
            organisation: summary.organisation.clone(),
            name: summary.name.clone(),
            pool: summary.pool.clone(),
            state: summary.state.clone(),
            reason: summary.reason.clone(),
            vm: summary.vm.clone(),
            age_ms: summary.age_ms,
            region: summary.region,
        }
    }
}

impl From<&raw::JobView> for JobSummary {
    fn from(raw: &raw::JobView) -> Self {
        Self {
            organisation: raw.organisation.clone(),
            name: raw.name.clone(),
            pool: raw.pool.clone(),
            region: raw.region,
            state: raw.state.clone(),
            reason: raw.reason.clone(),
            vm: raw.vm.clone(),
            age_ms: raw.age_ms,
        }
    }
}

impl From<&JobSummary> for raw_caller::JobSummary {
    fn from(summary: &JobSummary) -> Self {
        Self {
            name: summary.name.clone(),
            pool: summary.pool.clone(),
            state: summary.state.clone(),
            reason: summary.reason.clone(),
            vm: summary.vm.clone(),
            age_ms: summary.age_ms,
        }
    }
}

impl TryFrom<&raw_caller::SubmitJob> for NewJob {
    type Error = Findings;

    fn try_from(raw: &raw_caller::SubmitJob) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let name = required(raw.name.as_ref(), "name", &mut findings);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        if raw.name.is_some()
            && (name.is_empty() || name.len() > MAX_JOB_NAME_BYTES || !name.bytes().all(allowed))
        {
            let message = format!(
                "{name:?} is not a name of 1 to {MAX_JOB_NAME_BYTES} letters, digits, '-', '_' and '.'"
            );
            findings.add("name", message);
        }
        let pool = required(raw.pool.as_ref(), "pool", &mut findings);
        let request = Resources {
            cpu_milli: required(raw.cpu_milli.as_ref(), "cpu_milli", &mut findings),
            memory_bytes: required(raw.memory_bytes.as_ref(), "memory_bytes", &mut findings),
            accelerators: raw.accelerators.unwrap_or(0),
        };
        if raw.cpu_milli == Some(0) {
            findings.add("cpu_milli", "must be at least 1");
        }
        let deadline_ms = raw.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(MAX_DEADLINE_MS);
        let job = Self {
            name,
            pool,
            request,
            urgent: raw.urgent.unwrap_or(false),
            declared_run_ms: raw.declared_run_ms.filter(|run_ms| *run_ms > 0),
            payload: raw.payload.clone().unwrap_or_default(),
            repeatable: raw.repeatable.unwrap_or(false),
            deadline: Duration::from_millis(deadline_ms),
        };
        findings.into_result(job)
    }
}

fn required<T>(raw: Option<&T>, path: &str, findings: &mut Findings) -> T
where
    T: Clone + Default,
{
    raw.cloned().unwrap_or_else(|| {
        findings.add(path, "field is missing");
        T::default()
    })
}

/// Converts an answer to a submission to its wire form.
pub(crate) fn submit_result(answer: &JobAnswer) -> SubmitResult {
    match answer {
        JobAnswer::Accepted => SubmitResult::Accepted,
        JobAnswer::Known => SubmitResult::Known,
        JobAnswer::EndedBefore => SubmitResult::EndedBefore,
        JobAnswer::Conflict => SubmitResult::Conflict,
        JobAnswer::NotOwner | JobAnswer::NotOpen => SubmitResult::NotOwner,
        JobAnswer::LogUnavailable => SubmitResult::LogUnavailable,
        JobAnswer::KeyWithdrawn => SubmitResult::KeyWithdrawn,
        JobAnswer::Cancelled | JobAnswer::Unknown => SubmitResult::Unspecified,
    }
}

/// Converts the wire form of an answer to a submission.
pub(crate) fn submit_answer(result: SubmitResult) -> JobAnswer {
    match result {
        SubmitResult::Accepted => JobAnswer::Accepted,
        SubmitResult::Known => JobAnswer::Known,
        SubmitResult::EndedBefore => JobAnswer::EndedBefore,
        SubmitResult::NotOwner | SubmitResult::QueueFull => JobAnswer::NotOwner,
        SubmitResult::LogUnavailable => JobAnswer::LogUnavailable,
        SubmitResult::Conflict => JobAnswer::Conflict,
        SubmitResult::KeyWithdrawn => JobAnswer::KeyWithdrawn,
        SubmitResult::Unspecified => JobAnswer::Unknown,
    }
}
