//! Events that explain why tasks wait.

mod workload_fake;

use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::event::PlacementBlockers;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const UNTIL_CANCELLED: Work = Work { work_ms: 600_000, fails: false };

fn long_running(task_count: u32, max_per_worker: Option<u32>, label: Option<&str>) -> StepSpec {
    StepSpec {
        long_running: true,
        max_tasks_per_worker: max_per_worker,
        required_label: label.map(str::to_owned),
        ..step(task_count, cores(1))
    }
}

/// Advances the time and returns the waited time, the number of waiting tasks
/// and the blockers of each wait that was reported.
fn reported_waits(fleet: &mut Fleet, ms: u64) -> Vec<(u64, u32, PlacementBlockers)> {
    let mut waits = Vec::new();
    for _ in 0..ms / 100 {
        fleet.advance(100);
        let time = fleet.time();
        let Some(owner) = &mut fleet.owner else { continue };
        owner.explain(time, time.0, &fleet.catalog);
        for notice in owner.take_events() {
            if let DispatcherEvent::StepWaiting { tasks, waited_ms, blockers, .. } = notice {
                waits.push((waited_ms, tasks, blockers));
            }
        }
    }
    waits
}

#[test]
fn wait_for_capacity_reports_full_workers() {
    let mut fleet = Fleet::new(2, cores(2));
    fleet.submit(1, job(vec![long_running(4, None, None)]), UNTIL_CANCELLED);
    fleet.submit(2, job(vec![long_running(3, None, None)]), UNTIL_CANCELLED);
    let waits = reported_waits(&mut fleet, 12_000);
    let full = PlacementBlockers { full: 2, ..PlacementBlockers::default() };
    assert!(waits.iter().all(|(_, tasks, blockers)| (*tasks, *blockers) == (3, full)), "{waits:?}");
    // The wait is reported again each time that it has doubled.
    let waited_ms: Vec<u64> = waits.iter().map(|(waited_ms, ..)| *waited_ms).collect();
    assert_eq!(waited_ms, [2_000, 4_000, 8_000]);
}

#[test]
fn each_worker_counts_under_its_first_blocker() {
    let mut fleet = Fleet::new(3, cores(4));
    let names: Vec<String> = fleet.workers.keys().cloned().collect();
    fleet.worker(&names[0]).is_draining = true;
    fleet.list_workers();
    fleet.submit(1, job(vec![long_running(4, Some(1), None)]), UNTIL_CANCELLED);
    fleet.submit(2, job(vec![long_running(1, None, Some("fast"))]), UNTIL_CANCELLED);
    let waits = reported_waits(&mut fleet, 4_000);
    let spread = PlacementBlockers { leaving: 1, spread: 2, ..PlacementBlockers::default() };
    let unsuited = PlacementBlockers { leaving: 1, unsuited: 2, ..PlacementBlockers::default() };
    assert!(waits.contains(&(2_000, 2, spread)), "{waits:?}");
    assert!(waits.contains(&(2_000, 1, unsuited)), "{waits:?}");
}

#[test]
fn placed_step_is_not_reported() {
    let mut fleet = Fleet::new(2, cores(2));
    fleet.submit(1, job(vec![long_running(4, None, None)]), UNTIL_CANCELLED);
    assert_eq!(reported_waits(&mut fleet, 6_000), []);
}
