//! Load pattern: a demand peak whose starts exceed what the link of the owner
//! carries.

mod workload_fake;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::start_budget::StartBudget;

use crate::workload_fake::Fleet;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Link of 2 Mbit/s.
const SLOW_LINK_BITS_PER_SECOND: u64 = 2_000_000;
const PAYLOAD_BYTES: usize = 1_200;

fn with_payload(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "x".repeat(PAYLOAD_BYTES), ..job(steps) }
}

fn fleet_on_slow_link() -> Fleet {
    let mut fleet = Fleet::new(40, cores(32));
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    owner.set_start_budget(StartBudget::new(now, SLOW_LINK_BITS_PER_SECOND));
    fleet
}

/// Start delay in the last stored ownership record.
fn recorded_delay_ms(fleet: &Fleet) -> u64 {
    let record = fleet.store.get(&RecordKey::Ownership).expect("a record");
    OwnershipRecord::decode(record).expect("a valid record").start_delay_ms
}

/// 1,000 tasks could start at once. Payloads alone would take the link 4.8 s,
/// in which no poll would be answered.
#[test]
fn starts_leave_room_on_the_link_for_polls() {
    let mut fleet = fleet_on_slow_link();
    for key in 0..100 {
        fleet.submit(key, with_payload(vec![step(10, cores(1))]), SHORT_WORK);
    }
    let before = fleet.starts;
    fleet.advance(1_000);
    let bytes = (fleet.starts - before) * PAYLOAD_BYTES as u64;
    let link_bytes = SLOW_LINK_BITS_PER_SECOND / 8;
    assert!(bytes <= link_bytes * 3 / 4, "{bytes} of {link_bytes} bytes");
    assert!(bytes >= link_bytes / 4, "the link is used: {bytes} of {link_bytes} bytes");
    assert!(recorded_delay_ms(&fleet) > 2_000, "{}", recorded_delay_ms(&fleet));
    fleet.advance(20_000);
    assert!((0..100).all(|key| fleet.outcome(workload_key(key)) == Some(JobOutcome::Completed)));
    fleet.advance(1_000);
    assert_eq!(recorded_delay_ms(&fleet), 0, "the delay ends with the peak");
    fleet.assert_no_violations();
}

fn workload_key(key: u64) -> cowslipport_lib::workload::key::JobKey {
    cowslipport_lib::workload::key::JobKey(key)
}

/// A long-running task comes before the peak, and the jobs of the peak in the
/// order of their arrival, so that the largest are not starved by the stream of
/// small ones.
#[test]
fn largest_job_of_a_peak_is_not_starved() {
    let mut fleet = fleet_on_slow_link();
    for key in 0..60 {
        fleet.submit(key, with_payload(vec![step(10, cores(1))]), SHORT_WORK);
    }
    fleet.advance(200);
    let large = Work { work_ms: 300, fails: false };
    let large = fleet.submit(
        1_000,
        with_payload(vec![StepSpec { estimate_ms: 9_000, ..step(20, cores(2)) }]),
        large,
    );
    let lasting = StepSpec { long_running: true, ..step(4, cores(1)) };
    fleet.submit(2_000, with_payload(vec![lasting]), SHORT_WORK);
    fleet.advance(100);
    let runs = |fleet: &Fleet, job: u64| {
        let tasks = fleet.workers.values().flat_map(|worker| worker.running.keys());
        tasks.filter(|task| task.job == workload_key(job)).count()
    };
    fleet.advance(200);
    assert_eq!(runs(&fleet, 2_000), 4, "long-running tasks come first");
    for key in 0..200 {
        fleet.submit(3_000 + key, with_payload(vec![step(3, cores(1))]), SHORT_WORK);
        fleet.advance(40);
    }
    assert_eq!(fleet.outcome(large), Some(JobOutcome::Completed));
    fleet.assert_no_violations();
}

/// A link that carries a peak does not delay it.
#[test]
fn fast_link_delays_no_start() {
    let mut fleet = Fleet::new(40, cores(32));
    let now = fleet.time();
    let owner = fleet.owner.as_mut().expect("an owner");
    owner.set_start_budget(StartBudget::new(now, 200_000_000));
    for key in 0..100 {
        fleet.submit(key, with_payload(vec![step(10, cores(1))]), SHORT_WORK);
    }
    fleet.advance(200);
    assert_eq!(fleet.starts, 1_000);
    assert_eq!(TimeMs(recorded_delay_ms(&fleet)), TimeMs(0));
}
