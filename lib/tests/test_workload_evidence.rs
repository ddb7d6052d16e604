//! What the owner may conclude from answers, records and lists that do not tell all.

mod workload_fake;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::workload::record::JobOutcome;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const LONG_WORK: Work = Work { work_ms: 60_000, fails: false };

/// Sets whether a worker gets no new tasks.
fn set_draining(fleet: &mut Fleet, name: &str, is_draining: bool) {
    fleet.worker(name).is_draining = is_draining;
    fleet.list_workers();
}

/// A placement and the record that its worker is unreachable are stored at once, and the
/// worker answers again before they are. A successor would count the leases by the
/// record, so the start must wait until the record is dropped.
#[test]
fn nothing_starts_while_the_store_holds_that_the_worker_is_unreachable() {
    let mut fleet = Fleet::new(2, cores(4));
    fleet.advance(100);
    set_draining(&mut fleet, "w1", true);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    fleet.store_is_up = false;
    fleet.advance(40);
    fleet.worker("w0").is_reachable = false;
    fleet.advance(3_000);
    fleet.store_is_up = true;
    fleet.advance(20);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(20);
    fleet.replace_owner(false);
    fleet.worker("w0").is_reachable = false;
    set_draining(&mut fleet, "w1", false);
    fleet.advance(20_000);
    assert_eq!(fleet.worker("w1").running.len(), 1);
    fleet.assert_no_violations();
}

/// A worker was unreachable, its tasks were released, and it still runs them when it is
/// back. Until they have stopped, new tasks would exceed its capacity.
#[test]
fn worker_that_runs_unassigned_tasks_gets_no_new_ones() {
    let mut fleet = Fleet::new(1, cores(4));
    fleet.submit(1, job(vec![step(4, cores(1))]), LONG_WORK);
    fleet.advance(500);
    assert_eq!(fleet.running(), 4);
    fleet.worker("w0").is_reachable = false;
    // The worker keeps longer leases than its contract allows.
    let until = fleet.now + 60_000;
    fleet.worker("w0").lease_until = until;
    fleet.advance(6_000);
    fleet.worker("w0").is_reachable = true;
    fleet.advance(2_000);
    assert_eq!(fleet.running(), 4);
    fleet.assert_no_violations();
}

/// More ends wait on a worker than one report lists, because the store is down. Tasks
/// whose ends are not listed yet must not start again (review 6).
#[test]
fn tasks_whose_ends_are_not_listed_yet_do_not_start_again() {
    let mut fleet = Fleet::new(1, cores(64));
    let request = Resources { cpu_milli: 50, memory_bytes: 1_000_000, accelerators: 0 };
    let work = Work { work_ms: 700, fails: false };
    let keys: Vec<_> =
        (1..=4).map(|key| fleet.submit(key, job(vec![step(300, request)]), work)).collect();
    while fleet.starts < 1_200 {
        fleet.advance(20);
        assert!(fleet.now < 10_000, "{} of 1,200 tasks have started", fleet.starts);
    }
    fleet.store_is_up = false;
    fleet.advance(4_000);
    fleet.store_is_up = true;
    fleet.advance(6_000);
    for key in keys {
        assert_eq!(fleet.outcome(key), Some(JobOutcome::Completed), "{key}");
    }
    assert_eq!(fleet.starts, 1_200);
    fleet.assert_no_violations();
}
