//! Seeded demand and faults.
//!
//! Every minute, each service in turn demands about five times its mean for
//! about ten seconds, and a twentieth of its mean in between. One service at a
//! time has its mean doubled, for one to two hours. A few VMs fail, and a few do
//! not come back from a reboot.

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::profile::Profile;

/// Length of the demand trace in seconds.
pub(crate) const TRACE_SECONDS: u32 = 12 * 3600;

/// Time between two bursts of one service, in seconds.
pub(crate) const CYCLE_SECONDS: u32 = 60;

/// Slots that a service demands in a burst when its mean is not doubled. A pool
/// of eight VMs has 64 slots.
const BURST_SLOTS: f64 = 64.0;

/// Ratio of the demand in a burst to the demand between bursts.
const BURST_FACTOR: f64 = 100.0;

/// VMs that fail outside maintenance, at a hundred times the failure rate in the
/// design, so that each trace has some.
const FAILURE_COUNT: u32 = 10;

/// One burst of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    /// First second of the burst.
    pub(crate) start: u32,
    /// First second after the burst.
    pub(crate) end: u32,
    /// Slots that the service demands.
    pub(crate) slots: u32,
}

/// Failure of a VM outside maintenance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// Index of the VM.
    pub(crate) vm: u32,
    /// Second in which the VM fails.
    pub(crate) start: u32,
    /// Second in which the VM is repaired.
    pub(crate) end: u32,
}

/// Durations of the maintenance of one VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Maintenance {
    /// Time until the requests and tasks of the VM have ended.
    pub(crate) drain_ms: u64,
    /// Time that a reboot takes, or `None` if the VM does not come back.
    pub(crate) reboot_ms: Option<u64>,
    /// Time until a VM that did not come back is repaired.
    pub(crate) repair_ms: u64,
}

/// Demand and faults of one run.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Bursts of each service in order.
    pub(crate) bursts: Vec<Vec<Burst>>,
    /// Failures outside maintenance.
    pub(crate) failures: Vec<Failure>,
    /// Maintenance of each VM, by index.
    pub(crate) maintenance: Vec<Maintenance>,
}

impl Trace {
    pub(crate) fn new(profile: &Profile, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let doubled = doubled_services(profile, &mut rng);
        let bursts = (0..profile.services)
            .map(|service| bursts(profile, service, &doubled, &mut rng))
            .collect();
        let failures = (0..FAILURE_COUNT)
            .map(|_| {
                let start = rng.random_range(0..TRACE_SECONDS);
                let end = start + rng.random_range(600..2400);
                Failure { vm: rng.random_range(0..profile.vms), start, end }
            })
            .collect();
        let maintenance = (0..profile.vms)
            .map(|_| {
                let comes_back = rng.random_bool(0.98);
                let reboot_ms = rng.random_range(60..180) * 1000;
                Maintenance {
                    drain_ms: rng.random_range(5..60) * 1000,
                    reboot_ms: comes_back.then_some(reboot_ms),
                    repair_ms: 600_000,
                }
            })
            .collect();
        Self { bursts, failures, maintenance }
    }

    /// Slots that a service demands in each second.
    pub(crate) fn offered(&self, service: usize) -> Vec<u32> {
        let mut offered = vec![0; TRACE_SECONDS as usize];
        for burst in &self.bursts[service] {
            let low = (f64::from(burst.slots) / BURST_FACTOR).round() as u32;
            for second in burst.start..(burst.start + CYCLE_SECONDS).min(TRACE_SECONDS) {
                offered[second as usize] = if second < burst.end { burst.slots } else { low };
            }
        }
        offered
    }
}

/// The service whose mean is doubled, for each cycle.
fn doubled_services(profile: &Profile, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let all: Vec<u32> = (0..profile.services).collect();
    let mut doubled = Vec::new();
    while doubled.len() < (TRACE_SECONDS / CYCLE_SECONDS) as usize {
        let last = doubled.last().copied();
        let others: Vec<u32> = all.iter().copied().filter(|id| Some(*id) != last).collect();
        let next = *others.choose(rng).expect("there are two services");
        let minutes = rng.random_range(60..120);
        doubled.extend(std::iter::repeat_n(next, minutes));
    }
    doubled
}

fn bursts(profile: &Profile, service: u32, doubled: &[u32], rng: &mut ChaCha8Rng) -> Vec<Burst> {
    let interval = CYCLE_SECONDS / profile.services;
    (0..TRACE_SECONDS / CYCLE_SECONDS)
        .map(|cycle| {
            let factor = if doubled[cycle as usize] == service { 2.0 } else { 1.0 };
            let start = cycle * CYCLE_SECONDS + service * interval + rng.random_range(0..2);
            let end = start + rng.random_range(9..=interval - 1);
            let slots = (BURST_SLOTS * factor * rng.random_range(0.9..1.1)).round() as u32;
            Burst { start, end, slots }
        })
        .collect()
}
