//! Seeded jobs of six organisations that keep a fleet full, with one outage of a
//! data centre and one lowered limit.

use cowslipport_lib::resources::Resources;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::profile::Profile;

/// Length of a run.
pub(crate) const RUN_MS: u64 = 900_000;

/// When data centre 0 goes out of service and returns, and when the measured
/// window of this change ends.
pub(crate) const DC_OUT_MS: u64 = 300_000;
pub(crate) const DC_BACK_MS: u64 = 420_000;
pub(crate) const DC_CHANGE_END_MS: u64 = 480_000;

/// When the limit of the last organisation is halved.
pub(crate) const LIMIT_LOWERED_MS: u64 = 660_000;

/// Share weights of the organisations in thousandths: two large, four small.
pub(crate) const SHARES_MILLI: [u32; 6] = [4_000, 3_000, 1_000, 1_000, 1_000, 1_000];

/// Upper limits in thousandths of the fleet. The last two organisations reach
/// their limits.
const LIMITS_MILLI: [u64; 6] = [1_000, 1_000, 1_000, 1_000, 60, 80];

/// Each organisation submits this many times its weighted part of the work that
/// the fleet can do, so that all have jobs waiting at all times.
const OVERLOAD: f64 = 2.0;

/// Time for which the jobs submitted at the start would occupy the fleet.
const INITIAL_WORK_MS: f64 = 400_000.0;

/// Mean time between arrivals of urgent jobs.
const MEAN_URGENT_INTERVAL_MS: f64 = 2_000.0;

/// Range of the run times of batch jobs, which are log-uniform.
const MIN_RUN_MS: f64 = 30_000.0;
const MAX_RUN_MS: f64 = 600_000.0;

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct TraceJob {
    pub(crate) arrives_at_ms: u64,
    pub(crate) organisation: usize,
    pub(crate) urgent: bool,
    /// Kind of job, which decides by how much its declared size exceeds its use.
    pub(crate) kind: usize,
    pub(crate) declared: Resources,
    pub(crate) used: Resources,
    pub(crate) run_ms: u64,
}

/// The jobs of one run in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct JobTrace {
    pub(crate) jobs: Vec<TraceJob>,
    /// Capacity of one worker.
    pub(crate) capacity: Resources,
    /// Limits of the organisations at the start.
    pub(crate) limits: Vec<Resources>,
}

impl JobTrace {
    pub(crate) fn new(profile: &Profile, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacity = cores(profile.cores_per_vm, profile.cores_per_vm * 4);
        let fleet_cores = (u64::from(profile.vms) * profile.cores_per_vm) as f64;
        let fleet = capacity.scaled_up(u64::from(profile.vms), 1);
        let limits = LIMITS_MILLI.iter().map(|part| fleet.scaled_up(*part, 1_000)).collect();
        let weights: f64 = SHARES_MILLI.iter().map(|share| f64::from(*share)).sum();
        let mut jobs = Vec::new();
        for (organisation, share) in SHARES_MILLI.iter().enumerate() {
            let rate = OVERLOAD * fleet_cores * f64::from(*share) / weights;
            let mut submitted_work = 0.0;
            loop {
                let arrives_at_ms = (submitted_work / rate - INITIAL_WORK_MS).max(0.0) as u64;
                if arrives_at_ms >= RUN_MS {
                    break;
                }
                let job = batch_job(&mut rng, arrives_at_ms, organisation);
                submitted_work += job.used.cpu_milli as f64 / 1_000.0 * job.run_ms as f64;
                jobs.push(job);
            }
        }
        let mut arrives_at_ms = 60_000.0;
        while arrives_at_ms < RUN_MS as f64 {
            jobs.push(urgent_job(&mut rng, arrives_at_ms as u64));
            arrives_at_ms += -MEAN_URGENT_INTERVAL_MS * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
        }
        // The shuffle keeps jobs that arrive at the same time from being grouped
        // by organisation.
        jobs.shuffle(&mut rng);
        jobs.sort_by_key(|job| job.arrives_at_ms);
        Self { jobs, capacity, limits }
    }
}

fn batch_job(rng: &mut ChaCha8Rng, arrives_at_ms: u64, organisation: usize) -> TraceJob {
    let kind = rng.random_range(0..2);
    let exponent = rng.random_range(0.0..1.0_f64);
    let run_ms = (MIN_RUN_MS * (MAX_RUN_MS / MIN_RUN_MS).powf(exponent)) as u64;
    let size = 1 << rng.random_range(0..4);
    with_use(
        rng,
        TraceJob {
            arrives_at_ms,
            organisation,
            urgent: false,
            kind,
            declared: cores(size, size * 3),
            used: Resources::ZERO,
            run_ms,
        },
    )
}

fn urgent_job(rng: &mut ChaCha8Rng, arrives_at_ms: u64) -> TraceJob {
    let organisation = rng.random_range(0..SHARES_MILLI.len());
    let size = 1 << rng.random_range(0..4);
    let run_ms = rng.random_range(5_000..20_000);
    with_use(
        rng,
        TraceJob {
            arrives_at_ms,
            organisation,
            urgent: true,
            kind: 2,
            declared: cores(size, size * 3),
            used: Resources::ZERO,
            run_ms,
        },
    )
}

/// Sets the used resources of a job. Jobs of the three kinds use about 95, 60
/// and 80 hundredths of their declared size.
fn with_use(rng: &mut ChaCha8Rng, mut job: TraceJob) -> TraceJob {
    let permille = [950, 600, 800][job.kind] + rng.random_range(0..50);
    job.used = job.declared.scaled_up(permille, 1_000);
    job
}

fn cores(count: u64, gigabytes: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, memory_bytes: gigabytes << 30, accelerators: 0 }
}
