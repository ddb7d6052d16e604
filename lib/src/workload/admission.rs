//! Admission of calls to the caller API: decides whether a call is answered at
//! once, refused, or needs a record in the store first.

use crate::ids::OrganisationId;
use crate::keys::KeyDigest;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::catalog::QueueId;
use crate::workload::catalog::QueueSpec;
use crate::workload::job_registry::JobRegistry;
use crate::workload::job_registry::JobView;
use crate::workload::key::JobKey;

/// Retry delay sent to a caller while the store is unavailable. Short outages
/// of the store last for a few seconds.
const STORE_UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// Retry delay sent to a caller by a process that is not ready. The retry most
/// likely reaches another process.
const NOT_READY_RETRY_MS: u64 = 200;

/// A job is refused if the owner could not order the start of its tasks within
/// this time. With the time that its tasks take, most objectives would be
/// missed.
const START_DELAY_MAX_MS: u64 = 2_000;

impl Action {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Query => "look",
            Self::Cancel => "cancel",
        }
    }
}

/// What a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Submit a job.
    Submit,
    /// Read the state of a job, or the number of queued jobs.
    Query,
    /// Cancel a job.
    Cancel,
}

/// A call to the caller API.
#[derive(Clone)]
pub struct Call<'a> {
    /// Host in the request.
    pub host: &'a str,
    /// Path in the request.
    pub path: &'a str,
    /// Digest of the key that came with the request.
    pub key: Option<KeyDigest>,
    /// What the caller requests.
    pub action: Action,
}

/// Maximum age of the data from which a process may answer calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// With an older configuration no call that needs a key is answered, since
    /// the key may have been withdrawn.
    pub configuration_ms: u64,
    /// With older data on jobs, a job that is missing from the registry may
    /// exist in the store.
    pub jobs_ms: u64,
}

/// The owner's estimate of how long the start of a task waits for its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartDelay {
    /// Delay at the time of the estimate.
    pub delay_ms: u64,
    /// When the estimate arrived.
    pub received_at: TimeMs,
}

impl StartDelay {
    /// Delay that is left at `now`.
    fn remaining_ms(self, now: TimeMs) -> u64 {
        self.delay_ms.saturating_sub(now.since(self.received_at))
    }
}

/// When the data of a process was last confirmed to be up to date; `None`
/// before the first confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedAt {
    /// Time for the configuration.
    pub configuration: Option<TimeMs>,
    /// Time for the registry of jobs.
    pub jobs: Option<TimeMs>,
}

/// What a process does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The caller is answered at once.
    Answer(CallAnswer),
    /// The job must be stored before the caller is answered.
    Store(AdmittedJob),
    /// The cancellation of this job must be stored before the caller is
    /// answered.
    StoreCancellation(JobKey),
}

/// A job that the caller may submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedJob {
    /// Key of the job.
    pub job: JobKey,
    /// Queue of the job.
    pub queue: QueueId,
    /// Organisation that holds the caller's key; `None` for a public queue.
    pub organisation: Option<OrganisationId>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The job is stored.
    Accepted,
    /// The present state of the job.
    State(JobView),
    /// The job is cancelled, or has ended.
    Cancelled,
    /// Number of jobs in the queue of which no task has started.
    Queued(u64),
    /// No queue matches the host and path.
    NoSuchQueue,
    /// The key is missing or unknown.
    UnknownKey,
    /// The organisation has no such job.
    NoSuchJob,
    /// The call is malformed.
    Invalid(String),
    /// The call was refused and had no effect.
    NotRun {
        /// Why it was refused.
        reason: NotRunReason,
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The record may have been stored, or may be stored later.
    Unknown,
}

impl CallAnswer {
    /// True if the request was carried out.
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

    /// Name in log lines and metrics.
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

/// Why a call was refused without an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NotRunReason {
    /// The process has not received a configuration yet.
    NoConfiguration,
    /// The configuration was not confirmed for too long and may have changed.
    StaleConfiguration,
    /// The registry of jobs was not confirmed for too long and may have
    /// changed.
    StaleJobs,
    /// The store refused the record.
    StoreRefused,
    /// The store did not answer earlier calls, and the record was not sent.
    StoreAway,
    /// The pool has no room in time for the job to be of value to its caller.
    NoRoom,
    /// Too many calls are waiting for the store.
    TooManyWaiting,
    /// The owner cannot start the tasks of the job soon, because its link is
    /// busy with the starts of others.
    OwnerBusy,
}

impl NotRunReason {
    /// Name in log lines and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::StaleConfiguration => "stale_configuration",
            Self::StaleJobs => "stale_jobs",
            Self::StoreRefused => "store_refused",
            Self::StoreAway => "store_away",
            Self::NoRoom => "no_room",
            Self::TooManyWaiting => "too_many_waiting",
            Self::OwnerBusy => "owner_busy",
        }
    }

    fn retry_after_ms(self) -> u64 {
        match self {
            Self::NoConfiguration | Self::StaleConfiguration => NOT_READY_RETRY_MS,
            Self::StaleJobs
            | Self::StoreRefused
            | Self::StoreAway
            | Self::NoRoom
            | Self::TooManyWaiting
            | Self::OwnerBusy => STORE_UNAVAILABLE_RETRY_MS,
        }
    }
}

/// The refusal of a call that had no effect, with its retry delay.
pub fn not_run(reason: NotRunReason) -> CallAnswer {
    CallAnswer::NotRun { reason, retry_after_ms: reason.retry_after_ms() }
}

/// Decides what a process does with a call.
pub fn admit(
    now: TimeMs,
    call: &Call<'_>,
    catalog: &Catalog,
    registry: &JobRegistry,
    confirmed_at: ConfirmedAt,
    start_delay: StartDelay,
    limits: AgeLimits,
) -> AdmissionDecision {
    let authorised = match authorise(now, call, catalog, confirmed_at, limits) {
        Err(answer) => return AdmissionDecision::Answer(answer),
        Ok(authorised) => authorised,
    };
    let decision = decide(now, call.action, &authorised, registry, confirmed_at, limits);
    match decision {
        AdmissionDecision::Store(_) => refuse_delayed(now, start_delay).unwrap_or(decision),
        AdmissionDecision::Answer(_) | AdmissionDecision::StoreCancellation(_) => decision,
    }
}

/// Refuses a new job whose tasks could not be started soon. The caller may
/// return once the delay is short enough.
fn refuse_delayed(now: TimeMs, start_delay: StartDelay) -> Option<AdmissionDecision> {
    let excess_ms = start_delay.remaining_ms(now).saturating_sub(START_DELAY_MAX_MS);
    let reason = NotRunReason::OwnerBusy;
    (excess_ms > 0).then_some(AdmissionDecision::Answer(CallAnswer::NotRun {
        reason,
        retry_after_ms: excess_ms,
    }))
}

/// A call that matches a queue and is authorised to use it.
struct AuthorisedCall<'a> {
    queue: QueueId,
    path: &'a str,
    organisation: Option<OrganisationId>,
}

fn authorise<'a>(
    now: TimeMs,
    call: &Call<'a>,
    catalog: &Catalog,
    confirmed_at: ConfirmedAt,
    limits: AgeLimits,
) -> Result<AuthorisedCall<'a>, CallAnswer> {
    if catalog.version().is_none() {
        return Err(not_run(NotRunReason::NoConfiguration));
    }
    let is_stale = !is_fresh(now, confirmed_at.configuration, limits.configuration_ms);
    let Some(found) = catalog.find_queue(call.host, call.path) else {
        // A newer configuration may have added the queue.
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
    Ok(AuthorisedCall { queue: found.queue, path: found.rest, organisation })
}

fn decide(
    now: TimeMs,
    action: Action,
    authorised: &AuthorisedCall<'_>,
    registry: &JobRegistry,
    confirmed_at: ConfirmedAt,
    limits: AgeLimits,
) -> AdmissionDecision {
    let are_jobs_fresh = is_fresh(now, confirmed_at.jobs, limits.jobs_ms);
    if authorised.path.is_empty() && action == Action::Query {
        return AdmissionDecision::Answer(match are_jobs_fresh {
            true => CallAnswer::Queued(registry.queued_jobs(authorised.queue)),
            false => not_run(NotRunReason::StaleJobs),
        });
    }
    let job: JobKey = match authorised.path.parse() {
        Ok(job) => job,
        Err(error) => return AdmissionDecision::Answer(CallAnswer::Invalid(format!("{error}"))),
    };
    let belongs_to_caller = registry.organisation(job) == authorised.organisation;
    let view = registry.view(job).filter(|_| belongs_to_caller);
    let is_of_other_organisation = registry
        .organisation(job)
        .zip(authorised.organisation)
        .is_some_and(|(owner, caller)| owner != caller);
    if is_of_other_organisation {
        return AdmissionDecision::Answer(match action {
            Action::Submit => CallAnswer::Invalid("the job key is in use".to_owned()),
            Action::Query | Action::Cancel => CallAnswer::NoSuchJob,
        });
    }
    match (action, view) {
        (Action::Submit, Some(_)) => AdmissionDecision::Answer(CallAnswer::Accepted),
        (Action::Submit, None) => {
            let AuthorisedCall { queue, organisation, .. } = *authorised;
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
        // The store may hold a job that has not reached this process yet; the
        // stored cancellation then applies to it.
        (Action::Cancel, Some(JobView::Queued | JobView::Active) | None) => {
            AdmissionDecision::StoreCancellation(job)
        }
    }
}

/// True if data that was confirmed at `confirmed_at` is at most `limit_ms` old.
pub fn is_fresh(now: TimeMs, confirmed_at: Option<TimeMs>, limit_ms: u64) -> bool {
    confirmed_at.is_some_and(|confirmed_at| now.since(confirmed_at) <= limit_ms)
}
