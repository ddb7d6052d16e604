//! Previews of placements.

mod workload_fake;

use std::collections::BTreeMap;

use cowslipport_lib::workload::event::Blocker;
use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::preview::PlacementPreview;
use cowslipport_lib::workload::preview::PreviewError;
use cowslipport_lib::workload::spec::JobSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Time after which all workers have reported.
const FIRST_REPORTS_MS: u64 = 2_000;
const LONG_WORK: Work = Work { work_ms: 20_000, fails: false };

/// A fleet whose workers have reported.
fn fleet(workers: usize, cores_each: u64) -> Fleet {
    let mut fleet = Fleet::new(workers, cores(cores_each));
    fleet.advance(FIRST_REPORTS_MS);
    fleet
}

fn preview(fleet: &Fleet, key: u64, spec: &JobSpec) -> Result<PlacementPreview, PreviewError> {
    let owner = fleet.owner.as_ref().expect("the fleet has an owner");
    let time = fleet.time();
    owner.preview(time, time.0, &fleet.catalog, JobKey(key), spec.clone())
}

/// Tasks by worker that the owner places for a job from now on.
fn placed(fleet: &mut Fleet, key: u64) -> BTreeMap<String, u32> {
    let time = fleet.time();
    let owner = fleet.owner.as_mut().expect("the fleet has an owner");
    owner.take_events();
    owner.place_tasks(time, time.0, &fleet.catalog);
    let mut placed = BTreeMap::new();
    for event in owner.take_events() {
        if let DispatcherEvent::Placed { task, worker, .. } = event
            && task.job == JobKey(key)
        {
            *placed.entry(owner.worker_name(worker).to_owned()).or_default() += 1;
        }
    }
    placed
}

/// Guards against a preview that disagrees with the placement of the same job, on a
/// fleet that is empty, half full and full.
#[test]
fn preview_names_the_workers_that_the_job_then_gets() {
    let mut fleet = fleet(4, 8);
    for key in 1..=6_u32 {
        let spec = job(vec![step(6, cores(2))]);
        let preview = preview(&fleet, key.into(), &spec).expect("a preview");
        let expected: BTreeMap<String, u32> =
            preview.chosen.iter().map(|chosen| (chosen.worker.clone(), chosen.tasks)).collect();
        fleet.submit(key.into(), spec, LONG_WORK);
        assert_eq!(placed(&mut fleet, key.into()), expected, "job {key}");
        let placed_tasks: u32 = expected.values().sum();
        // The fleet holds 16 tasks.
        assert_eq!(placed_tasks, 16_u32.saturating_sub(6 * (key - 1)).min(6), "job {key}");
        assert_eq!(preview.waiting_tasks, 6 - placed_tasks, "job {key}");
        fleet.advance(100);
    }
}

/// Guards against a preview that changes the state of the owner.
#[test]
fn preview_changes_nothing() {
    let mut fleet = fleet(2, 4);
    let spec = job(vec![step(4, cores(1))]);
    preview(&fleet, 1, &spec).expect("a preview");
    fleet.advance(2_000);
    assert_eq!(fleet.starts, 0);
    assert!(preview(&fleet, 1, &spec).is_ok(), "the job of the first preview is known");
}

/// Guards against a preview without the reason against each worker that is not
/// chosen.
#[test]
fn each_other_worker_has_a_reason() {
    let mut fleet = fleet(3, 4);
    let first = fleet.workers.keys().next().cloned().expect("a worker");
    fleet.owner.as_mut().expect("an owner").set_cordoned(&first, true);
    let preview = preview(&fleet, 1, &job(vec![step(1, cores(2))])).expect("a preview");
    assert_eq!(preview.chosen.len(), 1);
    let counts: Vec<(Blocker, u32)> =
        preview.blocked.iter().map(|(blocker, workers)| (*blocker, workers.count)).collect();
    assert_eq!(counts, [(Blocker::Cordoned, 1), (Blocker::Kept, 1)]);
    assert_eq!(preview.blocked[&Blocker::Cordoned].names, [first]);
}

/// Guards against a preview that takes a job that exists for a new one.
#[test]
fn key_of_a_job_that_exists_gives_no_preview() {
    let mut fleet = fleet(1, 4);
    fleet.submit(1, job(vec![step(1, cores(1))]), LONG_WORK);
    let key_in_use = preview(&fleet, 1, &job(vec![step(1, cores(1))]));
    assert_eq!(key_in_use, Err(PreviewError::KeyInUse));
}
