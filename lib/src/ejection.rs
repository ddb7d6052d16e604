//! Ejection of failing and leaving instances of one pool.
//!
//! After consecutive failures an instance gets no new requests for a time that
//! doubles with each ejection. The time is jittered so that processes do not
//! return to the instance together. An instance that announces that it is
//! leaving gets no new requests, however many of the pool are ejected.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::VmId;
use crate::time::TimeMs;

const EJECTION_FAILURES: u32 = 3;
const FIRST_EJECTION_MS: u64 = 1000;
const MAX_EJECTION_MS: u64 = 30_000;
/// Time for which a leaving instance gets no requests. It is longer than the
/// lag of the VM list, which then takes the instance out of service.
const LEAVING_MS: u64 = 15_000;
const SLOW_START_MS: u64 = 5000;
/// Time without failures after which the ejection time starts at its first
/// value again.
const EJECTION_RESET_MS: u64 = 60_000;

/// How an exchange with an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The instance answered.
    Completed {
        /// Time from dispatch to the end of the answer.
        service_ms: u64,
    },
    /// The caller disconnected, which says nothing about the instance.
    Abandoned,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke, the exchange timed out, or the answer was
    /// malformed.
    Failed,
    /// The instance answered 503 with `Connection: close`.
    Leaving,
}

/// Whether an instance gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All slots of the instance may be used.
    Full,
    /// A part of the slots may be used, since the instance returned lately.
    SlowStart {
        /// Part of the slots in thousandths.
        permille: u32,
    },
    /// No slot may be used, after consecutive failures.
    Ejected,
    /// No slot may be used, since the instance announced that it is leaving.
    Leaving,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceRecord {
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
    records: BTreeMap<VmId, InstanceRecord>,
}

impl Ejector {
    /// Records the result of an exchange. `pool_size` is the number of
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
                self.record_failure(now, vm, pool_size, rng);
            }
        }
    }

    fn record_failure(&mut self, now: TimeMs, vm: VmId, pool_size: usize, rng: &mut ChaCha8Rng) {
        let ejected = self.ejected(now);
        let record = self.records.entry(vm).or_default();
        if now.since(record.last_failure) > EJECTION_RESET_MS {
            record.ejections = 0;
        }
        record.last_failure = now;
        record.consecutive_failures = record.consecutive_failures.saturating_add(1);
        let is_ejected = record.ejected_until.is_some_and(|until| until > now);
        // At least half of the pool is kept, since failures of most instances
        // point to a common cause that ejection does not remove.
        if record.consecutive_failures < EJECTION_FAILURES
            || is_ejected
            || (ejected + 1) * 2 > pool_size
        {
            return;
        }
        let base = (FIRST_EJECTION_MS << record.ejections.min(5)).min(MAX_EJECTION_MS);
        let until = now.plus(base + rng.random_range(0..=base / 2));
        record.ejections = record.ejections.saturating_add(1);
        // One more failure after the return ejects the instance again.
        record.consecutive_failures = EJECTION_FAILURES - 1;
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

    /// Starts the slow start of an instance that came into service, and drops
    /// its record, which is from before its reboot.
    pub fn begin_slow_start(&mut self, now: TimeMs, vm: VmId) {
        self.records
            .insert(vm, InstanceRecord { returned_at: Some(now), ..InstanceRecord::default() });
    }

    /// Removes an instance that left the pool.
    pub fn forget(&mut self, vm: VmId) {
        self.records.remove(&vm);
    }
}

impl Admission {
    /// Number of slots that may be used of `slots`; at least one in slow start.
    pub fn slots(self, slots: u32) -> u32 {
        match self {
            Self::Full => slots,
            Self::SlowStart { permille } => (slots * permille / 1000).max(1).min(slots),
            Self::Ejected | Self::Leaving => 0,
        }
    }
}
