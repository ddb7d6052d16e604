//! Assertions of invariants. A violation panics in builds with debug
//! assertions. In other builds it is an error, and the caller refuses the
//! action.

use std::fmt;

/// An invariant that the code asserts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A task starts only with a key that the organisation holds.
    StartKeyValid,
    /// A task starts only within the partition's grant of its organisation.
    StartWithinGrant,
    /// A task starts only in a data centre that is in service.
    StartDataCentreInService,
    /// A task starts only on a worker that accepts new tasks.
    StartWorkerOpen,
    /// A task starts only on a worker whose running tasks are known.
    StartWorkerKnown,
    /// A task is started only by an owner that may start work.
    StartByOwner,
    /// A job has at most one live attempt.
    JobOneAttempt,
    /// A partition takes no more than the limit of the organisation leaves.
    GrantWithinLimit,
    /// A partition returns only the part of a grant that no task uses.
    GrantReturnUnused,
    /// A request is routed only with a key that the organisation holds.
    RouteKeyValid,
    /// A request is routed only to an instance that is in service.
    RouteInstanceInService,
    /// A request that is not repeatable is sent at most once.
    DispatchOnce,
    /// A response that is passed on as complete has the length that its headers
    /// state.
    AnswerWhole,
}

impl Invariant {
    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StartKeyValid => "start-key-valid",
            Self::StartWithinGrant => "start-within-grant",
            Self::StartDataCentreInService => "start-data-centre-in-service",
            Self::StartWorkerOpen => "start-worker-open",
            Self::StartWorkerKnown => "start-worker-known",
            Self::StartByOwner => "start-by-owner",
            Self::JobOneAttempt => "job-one-attempt",
            Self::GrantWithinLimit => "grant-within-limit",
            Self::GrantReturnUnused => "grant-return-unused",
            Self::RouteKeyValid => "route-key-valid",
            Self::RouteInstanceInService => "route-instance-in-service",
            Self::DispatchOnce => "dispatch-once",
            Self::AnswerWhole => "answer-whole",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An invariant that an action would have violated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invariant {invariant} does not hold: {detail}")]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The values that violate it.
    pub detail: String,
}

/// Returns an error if `holds` is false.
///
/// # Panics
///
/// Panics instead in builds with debug assertions.
pub fn check<D>(invariant: Invariant, holds: bool, detail: D) -> Result<(), Violation>
where
    D: FnOnce() -> String,
{
    if holds {
        return Ok(());
    }
    let violation = Violation { invariant, detail: detail() };
    if cfg!(debug_assertions) {
        panic!("{violation}");
    }
    Err(violation)
}
