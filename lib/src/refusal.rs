//! Answers that the entry process gives instead of an upstream.

use serde::Serialize;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The key is missing, unknown or revoked.
    KeyUnknown,
    /// The pool does not exist.
    PoolUnknown,
    /// The process's view of the control state is stale.
    ViewStale,
    /// The process is shutting down.
    ShuttingDown,
    /// No instance of the pool is in service.
    NoUpstream,
    /// The queue of the pool is full.
    QueueFull,
    /// The request cannot start before its deadline.
    DeadlineTooNear,
    /// The retry budget is exhausted.
    RetryBudget,
    /// No connection to an upstream could be opened.
    ConnectFailed,
    /// Too few witnesses of the idempotency key answered.
    WitnessesUnavailable,
    /// An earlier attempt used the same idempotency key.
    AttemptKnown(FirstAttempt),
    /// The request is malformed.
    Malformed,
    /// The request did not arrive within the read timeout.
    ReadTimeout,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The process needs the memory of the request's body for others.
    Overloaded,
}

/// Known state of the first attempt with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FirstAttempt {
    /// The attempt has not ended.
    InProgress,
    /// The upstream answered the attempt.
    Completed {
        /// HTTP status of the upstream's answer.
        status: u16,
    },
    /// The outcome of the attempt is unknown.
    Unknown,
}

impl RefusalReason {
    /// HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::KeyUnknown => 401,
            Self::PoolUnknown => 404,
            Self::QueueFull => 429,
            Self::AttemptKnown(_) => 409,
            Self::Malformed => 400,
            Self::ReadTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::ViewStale
            | Self::ShuttingDown
            | Self::NoUpstream
            | Self::DeadlineTooNear
            | Self::RetryBudget
            | Self::ConnectFailed
            | Self::WitnessesUnavailable
            | Self::Overloaded => 503,
        }
    }

    /// Value of the `reason` field, also used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::KeyUnknown => "key_unknown",
            Self::PoolUnknown => "pool_unknown",
            Self::ViewStale => "view_stale",
            Self::ShuttingDown => "shutting_down",
            Self::NoUpstream => "no_upstream",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::RetryBudget => "retry_budget",
            Self::ConnectFailed => "connect_failed",
            Self::WitnessesUnavailable => "witnesses_unavailable",
            Self::AttemptKnown(_) => "attempt_known",
            Self::Malformed => "malformed",
            Self::ReadTimeout => "read_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::Overloaded => "overloaded",
        }
    }

    /// Time after which the caller may retry, if the router has no better
    /// estimate. `None` if the same request would be refused again.
    pub fn default_retry_after_ms(self) -> Option<u64> {
        match self {
            Self::ViewStale
            | Self::ShuttingDown
            | Self::NoUpstream
            | Self::QueueFull
            | Self::DeadlineTooNear
            | Self::RetryBudget
            | Self::ConnectFailed
            | Self::WitnessesUnavailable
            | Self::Overloaded => Some(1000),
            Self::AttemptKnown(FirstAttempt::InProgress) => Some(1000),
            Self::AttemptKnown(FirstAttempt::Completed { .. } | FirstAttempt::Unknown)
            | Self::KeyUnknown
            | Self::PoolUnknown
            | Self::Malformed
            | Self::ReadTimeout
            | Self::BodyTooLarge => None,
        }
    }
}

impl FirstAttempt {
    /// Value of the `first_attempt` field.
    pub fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed { .. } => "completed",
            Self::Unknown => "unknown",
        }
    }
}

/// Why the outcome of a request that was sent to an upstream is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnknownCause {
    /// The connection broke or the answer was malformed.
    UpstreamFailed,
    /// The upstream did not answer before the deadline.
    UpstreamTimeout,
}

impl UnknownCause {
    /// HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::UpstreamFailed => 502,
            Self::UpstreamTimeout => 504,
        }
    }

    /// Value of the `reason` field, also used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamTimeout => "upstream_timeout",
        }
    }
}

/// Answer which states that no upstream received any byte of the request. Only
/// a request in the phase [`crate::retry::Undispatched`] can yield it.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: RefusalReason,
    retry_after_ms: Option<u64>,
}

/// Answer which states that the request was sent and its outcome is unknown.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    /// Why the outcome is unknown.
    pub cause: UnknownCause,
}

/// An answer that is given instead of an upstream's.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was not run.
    NotRun(NotRun),
    /// The request was sent, and its outcome is unknown.
    Unknown(UnknownOutcome),
}

/// Machine-readable body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AnswerBody {
    /// True if no upstream received any byte of this request.
    pub not_run: bool,
    /// `unknown` if the request was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'static str>,
    /// Why the request was not answered by an upstream.
    pub reason: &'static str,
    /// Known state of the first attempt with the same idempotency key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_attempt: Option<&'static str>,
    /// HTTP status with which the first attempt was answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_status: Option<u16>,
}

impl NotRun {
    pub(crate) fn new(reason: RefusalReason, retry_after_ms: Option<u64>) -> Self {
        Self { reason, retry_after_ms }
    }

    /// Why the request was not run.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }
}

impl Answer {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::NotRun(not_run) => not_run.reason.status(),
            Self::Unknown(unknown) => unknown.cause.status(),
        }
    }

    /// Value of the `Retry-After` header in whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        match self {
            Self::NotRun(not_run) => not_run.retry_after_ms.map(|ms| ms.div_ceil(1000).max(1)),
            Self::Unknown(_) => None,
        }
    }

    /// Reason for logs and metrics.
    pub fn reason_name(&self) -> &'static str {
        self.body().reason
    }

    /// Body of the answer.
    pub fn body(&self) -> AnswerBody {
        match self {
            Self::NotRun(not_run) => {
                let first = first_attempt(not_run.reason);
                AnswerBody {
                    not_run: true,
                    outcome: None,
                    reason: not_run.reason.name(),
                    first_attempt: first.map(FirstAttempt::name),
                    first_status: first.and_then(first_status),
                }
            }
            Self::Unknown(unknown) => AnswerBody {
                not_run: false,
                outcome: Some("unknown"),
                reason: unknown.cause.name(),
                first_attempt: None,
                first_status: None,
            },
        }
    }
}

fn first_attempt(reason: RefusalReason) -> Option<FirstAttempt> {
    match reason {
        RefusalReason::AttemptKnown(first) => Some(first),
        RefusalReason::KeyUnknown
        | RefusalReason::PoolUnknown
        | RefusalReason::ViewStale
        | RefusalReason::ShuttingDown
        | RefusalReason::NoUpstream
        | RefusalReason::QueueFull
        | RefusalReason::DeadlineTooNear
        | RefusalReason::RetryBudget
        | RefusalReason::ConnectFailed
        | RefusalReason::WitnessesUnavailable
        | RefusalReason::Malformed
        | RefusalReason::ReadTimeout
        | RefusalReason::BodyTooLarge
        | RefusalReason::Overloaded => None,
    }
}

fn first_status(first: FirstAttempt) -> Option<u16> {
    match first {
        FirstAttempt::Completed { status } => Some(status),
        FirstAttempt::InProgress | FirstAttempt::Unknown => None,
    }
}
