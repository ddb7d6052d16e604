//! Retries of one request, and the phases of a request.
//!
//! A request is [`Undispatched`] until its first byte is sent to an upstream,
//! and [`Dispatched`] from then on. It never becomes undispatched again, and
//! only an undispatched request can yield [`NotRun`]. A refusal that says
//! "not run" is therefore always true.

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
/// Largest number of tries, each with a connection, for one request.
const MAX_TRIES: u32 = 4;
/// Cost of one retry; the unit of the budget is a thousandth of a retry.
const RETRY_COST: u64 = 1000;
const DEPOSIT_PER_REQUEST: u64 = 100;
/// Largest balance of the budget, in retries.
const MAX_BALANCE_RETRIES: u64 = 20;

/// Whether a request may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// The method is idempotent: GET, HEAD, PUT, DELETE, OPTIONS.
    Repeatable,
    /// Any other method.
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

/// Retry budget of one process. It allows retries for a tenth of its requests,
/// and one more each second.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
    refilled_at: TimeMs,
}

impl RetryBudget {
    /// Creates a budget that allows one retry at once.
    pub fn new(now: TimeMs) -> Self {
        Self { balance: RETRY_COST, refilled_at: now }
    }

    /// Credits the budget for the first try of a request.
    pub fn deposit(&mut self) {
        self.credit(DEPOSIT_PER_REQUEST);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn withdraw(&mut self, now: TimeMs) -> bool {
        self.credit(now.since(self.refilled_at));
        self.refilled_at = self.refilled_at.max(now);
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    fn credit(&mut self, amount: u64) {
        self.balance = self.balance.saturating_add(amount).min(MAX_BALANCE_RETRIES * RETRY_COST);
    }
}

/// Delay before the next try after `tries` failed ones: exponential backoff
/// with full jitter.
pub fn backoff_ms(tries: u32, rng: &mut ChaCha8Rng) -> u64 {
    let ceiling = (FIRST_BACKOFF_MS << tries.saturating_sub(1).min(10)).min(MAX_BACKOFF_MS);
    rng.random_range(0..=ceiling)
}

/// A request of which no upstream received a byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Undispatched {
    repeatability: Repeatability,
    deadline: TimeMs,
    tries: u32,
}

/// A request of which an upstream may have received a byte.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched {
    repeatability: Repeatability,
    deadline: TimeMs,
    tries: u32,
}

/// Phase of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// No upstream received a byte of the request.
    Undispatched(Undispatched),
    /// An upstream may have received a byte of the request.
    Dispatched(Dispatched),
}

/// What follows a try that failed.
#[derive(Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a delay, if the router allows it.
    Retry {
        /// The phase of the request, which stays the same.
        phase: RequestPhase,
        /// Delay before the retry.
        wait_ms: u64,
    },
    /// Answer the caller.
    GiveUp(Answer),
}

impl Undispatched {
    /// Creates a request that was just received.
    pub fn new(repeatability: Repeatability, deadline: TimeMs) -> Self {
        Self { repeatability, deadline, tries: 0 }
    }

    /// Refuses the request. The answer states that it was not run.
    pub fn refuse(self, reason: RefusalReason, retry_after_ms: Option<u64>) -> NotRun {
        NotRun::new(reason, retry_after_ms.or(reason.default_retry_after_ms()))
    }

    /// Marks the request as dispatched, before its first byte is sent.
    pub fn dispatch(self) -> Dispatched {
        let Self { repeatability, deadline, tries } = self;
        Dispatched { repeatability, deadline, tries }
    }
}

impl Dispatched {
    /// Gives up. The answer states that the outcome is unknown.
    pub fn give_up(self, cause: UnknownCause) -> UnknownOutcome {
        UnknownOutcome { cause }
    }
}

impl RequestPhase {
    /// The phase of a request that was just received.
    pub fn received(repeatability: Repeatability, deadline: TimeMs) -> Self {
        Self::Undispatched(Undispatched::new(repeatability, deadline))
    }

    /// Marks the request as dispatched, before a byte is sent.
    pub fn dispatch(self) -> Self {
        match self {
            Self::Undispatched(undispatched) => Self::Dispatched(undispatched.dispatch()),
            Self::Dispatched(dispatched) => Self::Dispatched(dispatched),
        }
    }

    /// Number of tries that have failed.
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

    /// True if the request may be retried after a failed try.
    pub fn may_retry(&self) -> bool {
        match self {
            Self::Undispatched(undispatched) => undispatched.tries + 1 < MAX_TRIES,
            Self::Dispatched(Dispatched { tries, repeatability, .. }) => {
                *repeatability == Repeatability::Repeatable && tries + 1 < MAX_TRIES
            }
        }
    }

    /// The answer when no upstream can be tried any more. After dispatch the
    /// outcome is unknown, whatever the reason.
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

    /// Records a failed try and decides whether to retry. Before dispatch any
    /// request may be retried, after it only a repeatable one.
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
