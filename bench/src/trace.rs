//! Seeded demand and faults.
//!
//! Every minute each service in turn demands about five times its mean for
//! about ten seconds, and a twentieth in between. The mean of one service at
//! a time is doubled for one to two hours. A few VMs fail, and a few do not
//! come back from a reboot.

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::profile::Profile;

/// Length of the demand trace in seconds.
pub(crate) const SECONDS: u32 = 12 * 3600;

/// Time between two bursts of one service, in seconds.
pub(crate) const CYCLE: u32 = 60;

/// Slots that a service demands in a burst when its mean is not doubled. The
/// pools of eight VMs have 64.
const BURST_SLOTS: f64 = 64.0;

/// Demand in a burst divided by demand in between.
const BURST_FACTOR: f64 = 100.0;

/// VMs that fail by themselves in the trace, a hundred times the rate of the
/// design page, so that each trace has some.
const FAILURES: u32 = 10;

/// One burst of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    /// Second in which it begins.
    pub(crate) start: u32,
    /// First second after it.
    pub(crate) end: u32,
    /// Slots that it demands.
    pub(crate) slots: u32,
}

/// A VM that fails by itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    /// Index of the VM.
    pub(crate) vm: u32,
    /// Second in which it fails.
    pub(crate) start: u32,
    /// Second in which it is repaired.
    pub(crate) end: u32,
}

/// What maintenance of one VM takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Maintenance {
    /// Time until its requests and tasks have ended.
    pub(crate) drain_ms: u64,
    /// Time that a reboot takes, or nothing if the VM does not come back.
    pub(crate) reboot_ms: Option<u64>,
    /// Time until a VM that did not come back is repaired.
    pub(crate) repair_ms: u64,
}

/// Demand and faults of one run.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Bursts of each service in order.
    pub(crate) bursts: Vec<Vec<Burst>>,
    /// VMs that fail by themselves.
    pub(crate) failures: Vec<Failure>,
    /// What maintenance of each VM takes.
    pub(crate) maintenance: Vec<Maintenance>,
}

impl Trace {
    pub(crate) fn new(profile: &Profile, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hot = hot_services(profile, &mut rng);
        let bursts =
            (0..profile.services).map(|service| bursts(profile, service, &hot, &mut rng)).collect();
        let failures = (0..FAILURES)
            .map(|_| {
                let start = rng.random_range(0..SECONDS);
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

    /// Slots that a service is offered in each second.
    pub(crate) fn offered(&self, service: usize) -> Vec<u32> {
        let mut offered = vec![0; SECONDS as usize];
        for burst in &self.bursts[service] {
            let low = (f64::from(burst.slots) / BURST_FACTOR).round() as u32;
            for second in burst.start..(burst.start + CYCLE).min(SECONDS) {
                offered[second as usize] = if second < burst.end { burst.slots } else { low };
            }
        }
        offered
    }
}

/// The service whose mean is doubled, in each minute.
fn hot_services(profile: &Profile, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let all: Vec<u32> = (0..profile.services).collect();
    let mut hot = Vec::new();
    while hot.len() < (SECONDS / CYCLE) as usize {
        let last = hot.last().copied();
        let others: Vec<u32> = all.iter().copied().filter(|id| Some(*id) != last).collect();
        let next = *others.choose(rng).expect("there are two services");
        let minutes = rng.random_range(60..120);
        hot.extend(std::iter::repeat_n(next, minutes));
    }
    hot
}

fn bursts(profile: &Profile, service: u32, hot: &[u32], rng: &mut ChaCha8Rng) -> Vec<Burst> {
    let turn = CYCLE / profile.services;
    (0..SECONDS / CYCLE)
        .map(|cycle| {
            let factor = if hot[cycle as usize] == service { 2.0 } else { 1.0 };
            let start = cycle * CYCLE + service * turn + rng.random_range(0..2);
            let end = start + rng.random_range(9..=turn - 1);
            let slots = (BURST_SLOTS * factor * rng.random_range(0.9..1.1)).round() as u32;
            Burst { start, end, slots }
        })
        .collect()
}
