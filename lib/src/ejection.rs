//! Ejection of failing and leaving instances of one pool.
//!
//! An instance gets no new request after consecutive failures, for a time
//! that doubles with each ejection and is jittered so that processes do not
//! return together. An instance that says itself that it is leaving is
//! believed without regard to the share of the pool that is ejected.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::VmId;
use crate::time::TimeMs;

const CONSECUTIVE_FAILURES: u32 = 3;
const FIRST_EJECTION_MS: u64 = 1000;
const MAX_EJECTION_MS: u64 = 30_000;
/// Longer than the lag of the VM list, which then takes the instance out.
const LEAVING_MS: u64 = 15_000;
const SLOW_START_MS: u64 = 5000;
/// Failure-free time after which the ejection time starts at its first value.
const FORGIVE_MS: u64 = 60_000;

/// How an exchange with an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// It answered, after this time.
    Completed {
        /// Time from dispatch to the end of the answer.
        service_ms: u64,
    },
    /// The caller went away; this says nothing about the instance.
    Abandoned,
    /// No connection could be opened.
    ConnectFailed,
    /// The exchange broke, timed out, or was malformed.
    Failed,
    /// It answered 503 with `Connection: close`.
    Leaving,
}

/// Whether an instance gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All of its slots.
    Full,
    /// This part of its slots, after its return.
    SlowStart {
        /// Part of the slots in thousandths.
        permille: u32,
    },
    /// None, after failures.
    Ejected,
    /// None, as it said that it is leaving.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    consecutive_failures: u32,
    ejections: u32,
    last_failure: TimeMs,
    ejected_until: Option<TimeMs>,
    leaving_until: Option<TimeMs>,
    returned_at: Option<TimeMs>,
}

/// Ejections of the instances of one pool.
#[derive(Clone, Debug, Default)]
pub struct Ejector {
    records: BTreeMap<VmId, Record>,
}

impl Ejector {
    /// Takes the result of an exchange. `pool_size` is the number of
    /// instances of the pool that are in service.
    pub fn record(
        &mut self,
        now: TimeMs,
        vm: VmId,
        result: ExchangeResult,
        pool_size: usize,
        rng: &mut ChaCha8Rng,
    ) {
        match result {
            ExchangeResult::Completed { .. } => {
                if let Some(record) = self.records.get_mut(&vm) {
                    record.consecutive_failures = 0;
                }
            }
            ExchangeResult::Abandoned => {}
            ExchangeResult::Leaving => {
                let record = self.records.entry(vm).or_default();
                record.leaving_until = Some(now.plus(LEAVING_MS));
                record.returned_at = Some(now.plus(LEAVING_MS));
            }
            ExchangeResult::ConnectFailed | ExchangeResult::Failed => {
                self.failed(now, vm, pool_size, rng);
            }
        }
    }

    fn failed(&mut self, now: TimeMs, vm: VmId, pool_size: usize, rng: &mut ChaCha8Rng) {
        let ejected = self.ejected(now);
        let record = self.records.entry(vm).or_default();
        if now.since(record.last_failure) > FORGIVE_MS {
            record.ejections = 0;
        }
        record.last_failure = now;
        record.consecutive_failures = record.consecutive_failures.saturating_add(1);
        let is_ejected = record.ejected_until.is_some_and(|until| until > now);
        // Half of the pool stays, as failures of most instances point to a
        // common cause that ejection does not cure.
        if record.consecutive_failures < CONSECUTIVE_FAILURES
            || is_ejected
            || (ejected + 1) * 2 > pool_size
        {
            return;
        }
        let base = (FIRST_EJECTION_MS << record.ejections.min(5)).min(MAX_EJECTION_MS);
        let until = now.plus(base + rng.random_range(0..=base / 2));
        record.ejections = record.ejections.saturating_add(1);
        // One more failure after the return ejects again.
        record.consecutive_failures = CONSECUTIVE_FAILURES - 1;
        record.ejected_until = Some(until);
        record.returned_at = Some(until);
    }

    /// Number of instances that are ejected after failures.
    pub fn ejected(&self, now: TimeMs) -> usize {
        self.records
            .values()
            .filter(|record| record.ejected_until.is_some_and(|until| until > now))
            .count()
    }

    /// Whether the instance gets requests.
    pub fn admission(&self, now: TimeMs, vm: VmId) -> Admission {
        let Some(record) = self.records.get(&vm) else {
            return Admission::Full;
        };
        if record.leaving_until.is_some_and(|until| until > now) {
            return Admission::Leaving;
        }
        if record.ejected_until.is_some_and(|until| until > now) {
            return Admission::Ejected;
        }
        let Some(returned_at) = record.returned_at else {
            return Admission::Full;
        };
        let age_ms = now.since(returned_at);
        if age_ms >= SLOW_START_MS {
            return Admission::Full;
        }
        let permille = u32::try_from(age_ms * 1000 / SLOW_START_MS).unwrap_or(1000);
        Admission::SlowStart { permille }
    }

    /// The instance came into service and starts slowly. What was known of it
    /// is from before its reboot.
    pub fn returned(&mut self, now: TimeMs, vm: VmId) {
        self.records.insert(vm, Record { returned_at: Some(now), ..Record::default() });
    }

    /// Forgets an instance that left the pool.
    pub fn forget(&mut self, vm: VmId) {
        self.records.remove(&vm);
    }
}

impl Admission {
    /// Slots that may be used of `slots`; at least one while any may be.
    pub fn slots(self, slots: u32) -> u32 {
        match self {
            Self::Full => slots,
            Self::SlowStart { permille } => (slots * permille / 1000).max(1).min(slots),
            Self::Ejected | Self::Leaving => 0,
        }
    }
}
