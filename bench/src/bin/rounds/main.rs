//! Measures the processor time and the memory of a placement round at the size
//! of design, with all pools full, with and without shares.

use std::alloc::System;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::catalog::CatalogSpec;
use cowslipport_lib::workload::catalog::OrganisationSpec;
use cowslipport_lib::workload::catalog::PoolSpec;
use cowslipport_lib::workload::catalog::ResourceLimit;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::lease::LeaseTimes;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::scheduling::SchedulingFeatures;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::QueueRules;
use cowslipport_lib::workload::spec::StepSpec;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Size of design 1.6.
const WORKERS: u64 = 20_000;
const POOLS: u64 = 151;
const ORGANISATIONS: u64 = 720;
/// Waiting jobs of eight tasks for each organisation in each of its pools.
const WAITING_JOBS: u64 = 2;
/// Pools that each organisation uses.
const POOLS_OF_ORGANISATION: u64 = 4;
const ROUNDS: usize = 9;
const SIZE: Resources =
    Resources { cpu_milli: 16_000, memory_bytes: 32_000_000_000, accelerators: 0 };

/// Reasons why there is no report.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot write the report: {0}")]
    Write(#[from] std::io::Error),
}

fn main() -> Result<(), Error> {
    for share_by_weight in [false, true] {
        let mut catalog = catalog();
        let region = Region::new(GLOBAL);
        let mut owner = owner(&mut catalog, share_by_weight);
        // The first round fills all pools.
        let first = round(&mut owner, &catalog, 1_000);
        submit(&mut owner, &mut catalog);
        let second = round(&mut owner, &catalog, 1_100);
        let mut rounds: Vec<Duration> =
            (0..ROUNDS).map(|number| round(&mut owner, &catalog, 1_200 + number as u64)).collect();
        rounds.sort_unstable();
        owner.take_events();
        let held = region.change();
        writeln!(
            std::io::stdout(),
            "shares {share_by_weight}: filling round {first:?}, next {second:?}, full rounds \
             {:?} to {:?}, median {:?}; {} open jobs; {} B on the heap",
            rounds[0],
            rounds[ROUNDS - 1],
            rounds[ROUNDS / 2],
            owner.open_jobs(),
            held.bytes_allocated.saturating_sub(held.bytes_deallocated),
        )?;
    }
    Ok(())
}

/// Processor time of one round.
fn round(owner: &mut Dispatcher, catalog: &Catalog, now_ms: u64) -> Duration {
    let before = clock_gettime(ClockId::ThreadCPUTime);
    owner.place_tasks(TimeMs(now_ms), now_ms, catalog);
    let after = clock_gettime(ClockId::ThreadCPUTime);
    let nanoseconds =
        (after.tv_sec - before.tv_sec) * 1_000_000_000 + after.tv_nsec - before.tv_nsec;
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(0))
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    catalog.apply(CatalogSpec {
        version: 1,
        pools: (0..POOLS)
            .map(|pool| PoolSpec { name: format!("p{pool}"), is_standby: false })
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|number| OrganisationSpec {
                name: format!("o{number}"),
                keys: Vec::new(),
                weight: 1 + number % 9,
                limit: ResourceLimit::default(),
            })
            .collect(),
        ..CatalogSpec::default()
    });
    catalog
}

/// An owner of all workers, with one job in each pool that fills it.
fn owner(catalog: &mut Catalog, share_by_weight: bool) -> Dispatcher {
    let times = LeaseTimes {
        lease_ms: 4_000,
        longest_ms: 10_000,
        former_renewal_ms: 0,
        ownership_ttl_ms: 0,
        evidence_ms: 0,
    };
    let node = NodeIncarnation { node: "n".to_owned(), incarnation: 1 };
    let mut owner = Dispatcher::new(1, node, TimeMs(0), times, 120_000);
    owner.set_features(SchedulingFeatures { share_by_weight, ..SchedulingFeatures::default() });
    owner.begin_recovery(0);
    owner.restore_former_owners(TimeMs(0), None);
    owner.recovered();
    for number in 0..WORKERS {
        let id = owner.worker_listed(catalog, &entry(number));
        let report = WorkerReport {
            sent_at: TimeMs(0),
            started_unix_ms: Some(1),
            lease: LeaseGrant::None,
            running: Vec::new(),
            ended: Vec::new(),
            has_more_ends: false,
        };
        owner.worker_reported(TimeMs(0), id, &report);
    }
    for pool in 0..POOLS {
        let count = u32::try_from(WORKERS / POOLS + 1).unwrap_or(u32::MAX);
        let spec = job(pool, pool, count, SIZE);
        owner.submitted(TimeMs(900), catalog, JobKey(pool), spec, None);
    }
    owner
}

fn entry(number: u64) -> WorkerEntry {
    WorkerEntry {
        name: format!("w{number}"),
        pool: format!("p{}", number % POOLS),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".to_owned(),
        capacity: SIZE,
        rack: None,
        labels: BTreeSet::new(),
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

fn submit(owner: &mut Dispatcher, catalog: &mut Catalog) {
    let mut key = 10_000;
    for organisation in 0..ORGANISATIONS {
        for pool in 0..POOLS_OF_ORGANISATION {
            for _ in 0..WAITING_JOBS {
                key += 1;
                let request = Resources { cpu_milli: 1_500, ..SIZE };
                let spec = job(organisation, (organisation + pool * 37) % POOLS, 8, request);
                owner.submitted(TimeMs(1_050), catalog, JobKey(key), spec, None);
            }
        }
    }
}

fn job(organisation: u64, pool: u64, task_count: u32, request: Resources) -> JobSpec {
    JobSpec {
        queue: "queue".to_owned(),
        pool: format!("p{pool}"),
        rules: QueueRules {
            priority: 0,
            max_attempts: 3,
            slack_milli: 1_600,
            target_latency_ms: 600,
            needs_advice: false,
        },
        organisation: Some(format!("o{organisation}")),
        payload: String::new(),
        steps: vec![StepSpec { task_count, request, estimate_ms: 1_000, ..StepSpec::default() }],
        schedule: None,
        accepted_unix_ms: 0,
    }
}
