//! Retries of one request, and the phases of its life.
//!
//! A request is [`Undispatched`] until the first byte goes to an upstream and
//! [`Dispatched`] from then on. There is no way back, and only the first phase
//! yields [`NotRun`], so a refusal that says "not run" is true.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::refusal::Answer;
use crate::refusal::NotRun;
use crate::refusal::RefusalReason;
use crate::refusal::UnknownCause;
use crate::refusal::UnknownOutcome;
use crate::time::TimeMs;

const FIRST_BACKOFF_MS: u64 = 5;
const MAX_BACKOFF_MS: u64 = 500;
/// Bounds the connections that one request tries.
const MAX_TRIES: u32 = 4;
/// A thousandth of a retry is the unit of the budget.
const RETRY_COST: u64 = 1000;
const DEPOSIT_PER_REQUEST: u64 = 100;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: u64 = 20;

/// Whether a request may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// GET, HEAD, PUT, DELETE, OPTIONS.
    Repeatable,
    /// All other methods.
    Once,
}

impl Repeatability {
    /// Repeatability of an HTTP method.
    pub fn of_method(method: &str) -> Self {
        match method {
            "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" => Self::Repeatable,
            _ => Self::Once,
        }
    }
}

/// Retries of one process: a tenth of its requests, and at least one a second.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
    refilled_at: TimeMs,
}

impl RetryBudget {
    /// A budget that allows one retry at once.
    pub fn new(now: TimeMs) -> Self {
        Self { saved: RETRY_COST, refilled_at: now }
    }

    /// Takes note of a first try.
    pub fn deposit(&mut self) {
        self.add(DEPOSIT_PER_REQUEST);
    }

    /// Takes one retry, if there is one left.
    pub fn withdraw(&mut self, now: TimeMs) -> bool {
        self.add(now.since(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        if self.saved < RETRY_COST {
            return false;
        }
        self.saved -= RETRY_COST;
        true
    }

    fn add(&mut self, amount: u64) {
        self.saved = self.saved.saturating_add(amount).min(MAX_SAVED_RETRIES * RETRY_COST);
    }
}

/// Time before try number `tries` + 1: exponential, with full jitter.
pub fn backoff_ms(tries: u32, rng: &mut ChaCha8Rng) -> u64 {
    let ceiling = (FIRST_BACKOFF_MS << tries.saturating_sub(1).min(10)).min(MAX_BACKOFF_MS);
    rng.random_range(0..=ceiling)
}

/// A request of which no upstream got a byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Undispatched {
    repeatability: Repeatability,
    deadline: TimeMs,
    tries: u32,
}

/// A request of which an upstream may have got a byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched {
    repeatability: Repeatability,
    deadline: TimeMs,
    tries: u32,
}

/// The phase of a request's life.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// No upstream got a byte.
    Undispatched(Undispatched),
    /// An upstream may have got a byte.
    Dispatched(Dispatched),
}

/// What follows a try that failed.
#[derive(Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a time, if the router allows it.
    Retry {
        /// The phase, unchanged.
        phase: RequestPhase,
        /// Time to wait.
        wait_ms: u64,
    },
    /// Answer the caller.
    GiveUp(Answer),
}

impl Undispatched {
    /// A request that was just received.
    pub fn new(repeatability: Repeatability, deadline: TimeMs) -> Self {
        Self { repeatability, deadline, tries: 0 }
    }

    /// Refuses the request.
    pub fn refuse(self, reason: RefusalReason, retry_after_ms: Option<u64>) -> NotRun {
        NotRun::new(reason, retry_after_ms.or(reason.default_retry_after_ms()))
    }

    /// The first byte is about to be sent.
    pub fn dispatch(self) -> Dispatched {
        let Self { repeatability, deadline, tries } = self;
        Dispatched { repeatability, deadline, tries }
    }
}

impl Dispatched {
    /// Gives up; the outcome is unknown.
    pub fn give_up(self, cause: UnknownCause) -> UnknownOutcome {
        UnknownOutcome { cause }
    }
}

impl RequestPhase {
    /// A request that was just received.
    pub fn received(repeatability: Repeatability, deadline: TimeMs) -> Self {
        Self::Undispatched(Undispatched::new(repeatability, deadline))
    }

    /// The first byte is about to be sent.
    pub fn dispatch(self) -> Self {
        match self {
            Self::Undispatched(undispatched) => Self::Dispatched(undispatched.dispatch()),
            Self::Dispatched(dispatched) => Self::Dispatched(dispatched),
        }
    }

    /// Tries that have failed.
    pub fn tries(&self) -> u32 {
        match self {
            Self::Undispatched(undispatched) => undispatched.tries,
            Self::Dispatched(dispatched) => dispatched.tries,
        }
    }

    /// True if the request may be sent to an upstream now.
    pub fn may_dispatch(&self) -> bool {
        match self {
            Self::Undispatched(_) => true,
            Self::Dispatched(dispatched) => dispatched.repeatability == Repeatability::Repeatable,
        }
    }

    /// True if another upstream may be tried after one failed.
    pub fn may_retry(&self) -> bool {
        match self {
            Self::Undispatched(undispatched) => undispatched.tries + 1 < MAX_TRIES,
            Self::Dispatched(Dispatched { tries, repeatability, .. }) => {
                *repeatability == Repeatability::Repeatable && tries + 1 < MAX_TRIES
            }
        }
    }

    /// No upstream can be tried (again). After dispatch the outcome is
    /// unknown, whatever the reason.
    pub fn give_up(
        self,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        cause: UnknownCause,
    ) -> Answer {
        match self {
            Self::Undispatched(undispatched) => {
                Answer::NotRun(undispatched.refuse(reason, retry_after_ms))
            }
            Self::Dispatched(dispatched) => Answer::Unknown(dispatched.give_up(cause)),
        }
    }

    /// A try failed. Before dispatch every method may be tried again, after it
    /// only a repeatable one.
    pub fn failed(
        mut self,
        now: TimeMs,
        cause: UnknownCause,
        rng: &mut ChaCha8Rng,
    ) -> RetryDecision {
        let may_retry = self.may_retry();
        let (tries, deadline) = match &mut self {
            Self::Undispatched(Undispatched { tries, deadline, .. })
            | Self::Dispatched(Dispatched { tries, deadline, .. }) => (tries, *deadline),
        };
        *tries += 1;
        let wait_ms = backoff_ms(*tries, rng);
        if may_retry && now.plus(wait_ms) < deadline {
            return RetryDecision::Retry { phase: self, wait_ms };
        }
        RetryDecision::GiveUp(self.give_up(RefusalReason::ConnectFailed, None, cause))
    }
}
