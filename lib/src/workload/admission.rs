//! Whether a call of a submitter is answered, and how.

use crate::ids::OrganisationId;
use crate::keys::KeyDigest;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::catalog::QueueId;
use crate::workload::catalog::QueueSpec;
use crate::workload::job_registry::JobRegistry;
use crate::workload::job_registry::JobView;
use crate::workload::key::JobKey;

/// A caller who is refused since the store is away comes back after this time:
/// short spells of it last for a few seconds.
const RETRY_STORE_AWAY_MS: u64 = 1_000;
/// A caller who met a process that is not ready comes back after this time,
/// and most likely meets another one.
const RETRY_NOT_READY_MS: u64 = 200;

impl Action {
    /// Name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Query => "look",
            Self::Cancel => "cancel",
        }
    }
}

/// What a caller asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Hand a job in.
    Submit,
    /// Ask for the state of a job, or for the number of queued jobs.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A call of a submitter.
#[derive(Clone)]
pub struct Call<'a> {
    /// Host that it names.
    pub host: &'a str,
    /// Path that it names.
    pub path: &'a str,
    /// Key that came with it.
    pub key: Option<KeyDigest>,
    /// What it asks.
    pub action: Action,
}

/// How old what a process knows may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// With an older configuration no call with a key is answered, since the
    /// key may have been withdrawn.
    pub configuration_ms: u64,
    /// With older knowledge of jobs, a job that is not known may exist.
    pub jobs_ms: u64,
}

/// When what a process knows was last known to be true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedAt {
    /// The configuration.
    pub configuration: Option<TimeMs>,
    /// The jobs.
    pub jobs: Option<TimeMs>,
}

/// What a process answers at once, or does first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The answer is known.
    Answer(CallAnswer),
    /// The job has to be stored first.
    Store(AdmittedJob),
    /// The cancellation of this job has to be stored first.
    StoreCancellation(JobKey),
}

/// A job that may be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedJob {
    /// Name of the job.
    pub job: JobKey,
    /// Queue of the job.
    pub queue: QueueId,
    /// Organisation of the key.
    pub organisation: Option<OrganisationId>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(JobView),
    /// The job is cancelled, or has ended.
    Cancelled,
    /// Jobs of the queue of which no task has started.
    Queued(u64),
    /// There is no such queue.
    NoSuchQueue,
    /// The key is missing or unknown.
    UnknownKey,
    /// There is no such job.
    NoSuchJob,
    /// The call is malformed.
    Invalid(String),
    /// Nothing was done.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When the caller should come back.
        retry_after_ms: u64,
    },
    /// The job may have been stored, or may be stored later.
    Unknown,
}

impl CallAnswer {
    /// True if the caller got what it asked for.
    pub fn is_success(&self) -> bool {
        match self {
            Self::Accepted | Self::State(_) | Self::Cancelled | Self::Queued(_) => true,
            Self::NoSuchQueue
            | Self::UnknownKey
            | Self::NoSuchJob
            | Self::Invalid(_)
            | Self::NotRun { .. }
            | Self::Unknown => false,
        }
    }

    /// Name for log lines and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "state",
            Self::Cancelled => "cancelled",
            Self::Queued(_) => "queued",
            Self::NoSuchQueue => "no_such_queue",
            Self::UnknownKey => "unknown_key",
            Self::NoSuchJob => "no_such_job",
            Self::Invalid(_) => "invalid",
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::Unknown => "unknown",
        }
    }
}

/// Why nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NotRunReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration may have changed.
    StaleConfiguration,
    /// What is known of jobs may have changed.
    StaleJobs,
    /// The store refused the record.
    StoreRefused,
    /// Too many calls wait for the store.
    TooManyWaiting,
}

impl NotRunReason {
    /// Name for log lines and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::StaleJobs => "stale_jobs",
            Self::StoreRefused => "store_refused",
            Self::TooManyWaiting => "too_many_waiting",
        }
    }

    fn retry_after_ms(self) -> u64 {
        match self {
            Self::NoConfiguration | Self::StaleConfiguration => RETRY_NOT_READY_MS,
            Self::StaleJobs | Self::StoreRefused | Self::TooManyWaiting => RETRY_STORE_AWAY_MS,
        }
    }
}

/// A true refusal.
pub fn not_run(reason: NotRunReason) -> CallAnswer {
    CallAnswer::NotRun { reason, retry_after_ms: reason.retry_after_ms() }
}

/// Decides on a call.
pub fn admit(
    now: TimeMs,
    call: &Call<'_>,
    catalog: &Catalog,
    board: &JobRegistry,
    known_at: ConfirmedAt,
    limits: AgeLimits,
) -> AdmissionDecision {
    match check(now, call, catalog, known_at, limits) {
        Err(answer) => AdmissionDecision::Answer(answer),
        Ok(checked) => decide(now, call.action, &checked, board, known_at, limits),
    }
}

/// A call that names a queue and may use it.
struct Checked<'a> {
    queue: QueueId,
    rest: &'a str,
    organisation: Option<OrganisationId>,
}

fn check<'a>(
    now: TimeMs,
    call: &Call<'a>,
    catalog: &Catalog,
    known_at: ConfirmedAt,
    limits: AgeLimits,
) -> Result<Checked<'a>, CallAnswer> {
    if catalog.version().is_none() {
        return Err(not_run(NotRunReason::NoConfiguration));
    }
    let is_stale = !is_fresh(now, known_at.configuration, limits.configuration_ms);
    let Some(found) = catalog.find_queue(call.host, call.path) else {
        // The queue may have been added since.
        return Err(match is_stale {
            true => not_run(NotRunReason::StaleConfiguration),
            false => CallAnswer::NoSuchQueue,
        });
    };
    let spec: Option<&QueueSpec> = catalog.queue(found.queue);
    let is_public = spec.is_some_and(|queue| queue.is_public);
    let organisation = call.key.as_ref().and_then(|key| catalog.organisation_of_key(key));
    if !is_public && is_stale {
        return Err(not_run(NotRunReason::StaleConfiguration));
    }
    if !is_public && organisation.is_none() {
        return Err(CallAnswer::UnknownKey);
    }
    let organisation = organisation.filter(|_| !is_public);
    Ok(Checked { queue: found.queue, rest: found.rest, organisation })
}

fn decide(
    now: TimeMs,
    action: Action,
    checked: &Checked<'_>,
    board: &JobRegistry,
    known_at: ConfirmedAt,
    limits: AgeLimits,
) -> AdmissionDecision {
    let are_jobs_fresh = is_fresh(now, known_at.jobs, limits.jobs_ms);
    if checked.rest.is_empty() && action == Action::Query {
        return AdmissionDecision::Answer(match are_jobs_fresh {
            true => CallAnswer::Queued(board.queued_jobs(checked.queue)),
            false => not_run(NotRunReason::StaleJobs),
        });
    }
    let job: JobKey = match checked.rest.parse() {
        Ok(job) => job,
        Err(error) => return AdmissionDecision::Answer(CallAnswer::Invalid(format!("{error}"))),
    };
    let is_theirs = board.organisation(job) == checked.organisation;
    let view = board.view(job).filter(|_| is_theirs);
    match (action, view) {
        (Action::Submit, Some(_)) => AdmissionDecision::Answer(CallAnswer::Accepted),
        (Action::Submit, None) => {
            let Checked { queue, organisation, .. } = *checked;
            AdmissionDecision::Store(AdmittedJob { job, queue, organisation })
        }
        (Action::Query, Some(view)) => AdmissionDecision::Answer(CallAnswer::State(view)),
        (Action::Query, None) => AdmissionDecision::Answer(match are_jobs_fresh {
            true => CallAnswer::NoSuchJob,
            false => not_run(NotRunReason::StaleJobs),
        }),
        (Action::Cancel, Some(JobView::Cancelled | JobView::Completed | JobView::Failed)) => {
            AdmissionDecision::Answer(CallAnswer::Cancelled)
        }
        // A job that is not known may be in the store and not here yet; if it
        // is, the record cancels it.
        (Action::Cancel, Some(JobView::Queued | JobView::Active) | None) => {
            AdmissionDecision::StoreCancellation(job)
        }
    }
}

/// True if what was known at `known_at` is not older than `limit_ms`.
pub fn is_fresh(now: TimeMs, known_at: Option<TimeMs>, limit_ms: u64) -> bool {
    known_at.is_some_and(|known_at| now.since(known_at) <= limit_ms)
}
