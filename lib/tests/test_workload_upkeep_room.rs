//! Tests of maintenance waves in pools without room for the tasks of the VMs.

mod workload_fake;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::event::DrainBlocker;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::Fleet;
use crate::workload_fake::Work;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const LONG_WORK: Work = Work { work_ms: 600_000, fails: false };
/// Time within which a long-running task runs again while there is room for it.
const RUNS_AGAIN_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 26_000;
const STEP_MS: u64 = 100;

/// A fleet with a VM for each worker, and a wave for some of the VMs.
struct World {
    fleet: Fleet,
    scheduler: MaintenanceScheduler,
    /// Workers whose VMs were ordered down. They stay up.
    ordered: Vec<String>,
    last_run: BTreeMap<TaskName, u64>,
    longest_away_ms: u64,
    blockers: Vec<DrainBlocker>,
}

impl World {
    fn new(fleet: Fleet, wave_of: &[&str]) -> Self {
        let mut scheduler = MaintenanceScheduler::default();
        let vms = wave_of.iter().map(|worker| format!("vm-{worker}")).collect();
        let wave = WaveSpec { wave: 1, vms, deadline_ms: DEADLINE_MS, max_down: 1 };
        scheduler.wave_requested(fleet.time(), wave);
        let (ordered, last_run, blockers) = (Vec::new(), BTreeMap::new(), Vec::new());
        Self { fleet, scheduler, ordered, last_run, longest_away_ms: 0, blockers }
    }

    fn step(&mut self) {
        self.fleet.advance(STEP_MS);
        let now = self.fleet.time();
        let names = self.fleet.workers.keys();
        let vms = VmList::new(now, names.map(|worker| vm(worker)).collect());
        let no_vms = BTreeSet::new();
        let input = VmPlanInput {
            vms: &vms,
            excluded: &no_vms,
            maybe_ordered: &no_vms,
            max_orders: 100,
            may_stop_long_running: true,
        };
        let owner = self.fleet.owner.as_mut().expect("an owner");
        self.scheduler.vms_listed(&vms, owner);
        let orders = self.scheduler.plan_maintenance(now, input, owner);
        self.ordered.extend(orders.into_iter().map(|order| order.vm));
        for event in owner.take_events() {
            if let DispatcherEvent::DrainGivenUp { blocker, .. } = event {
                self.blockers.push(blocker);
            }
        }
        let jobs = &self.fleet.jobs;
        let running = self.fleet.workers.values().flat_map(|worker| worker.running.keys());
        let long_running = running.filter(|task| jobs[&task.job].is_long_running());
        self.last_run.extend(long_running.map(|task| (*task, now.0)));
        let away = self.last_run.values().map(|last_run| now.0 - last_run);
        self.longest_away_ms = away.max().unwrap_or(0).max(self.longest_away_ms);
    }

    fn steps_until<F>(&mut self, ms: u64, mut is_reached: F) -> bool
    where
        F: FnMut(&mut Self) -> bool,
    {
        let until = self.fleet.now + ms;
        while self.fleet.now < until {
            self.step();
            if is_reached(self) {
                return true;
            }
        }
        false
    }
}

fn vm(worker: &str) -> VmEntry {
    VmEntry {
        vm: format!("vm-{worker}"),
        pool: workload_fake::POOL.to_owned(),
        state: VmState::Up,
        worker: Some(worker.to_owned()),
        data_centre: "a".to_owned(),
        rack: None,
        capacity: cores(6),
    }
}

fn long_running(count: u32, size: u64) -> StepSpec {
    StepSpec { long_running: true, max_unavailable: Some(1), ..step(count, cores(size)) }
}

/// 23 of the 24 places of four workers are taken, by tasks of two steps of which one
/// task each may be unavailable. A VM of the pool is due for maintenance.
fn full_pool() -> World {
    let mut fleet = Fleet::new(4, cores(6));
    for (key, count) in [(1, 12), (2, 11)] {
        fleet.submit(key, job(vec![long_running(count, 1)]), LONG_WORK);
    }
    fleet.advance(500);
    assert_eq!(fleet.running(), 23);
    World::new(fleet, &["w0"])
}

/// Two tasks were stopped for one free place. Both steps then had a task
/// unavailable, so the VM was never empty, and its cordoned worker had the only room
/// for these tasks, for good.
#[test]
fn drain_without_room_keeps_no_task_away() {
    let mut world = full_pool();
    world.steps_until(45_000, |_| false);
    assert_eq!(world.fleet.running(), 23);
    assert!(world.longest_away_ms <= RUNS_AGAIN_MS, "{} ms", world.longest_away_ms);
    assert!(world.ordered.is_empty());
    assert!(world.blockers.contains(&DrainBlocker::NoPlace), "the log tells why the wave waits");
    // The cordon that the drain takes again and again must not keep the last place.
    world.fleet.submit(3, job(vec![long_running(1, 1)]), LONG_WORK);
    let runs_all = |world: &mut World| world.fleet.running() == 24;
    assert!(world.steps_until(RUNS_AGAIN_MS, runs_all), "the last place is not used");
}

/// A wave that waits for room must go on once there is some.
#[test]
fn wave_goes_on_once_there_is_room() {
    let mut world = full_pool();
    world.steps_until(12_000, |_| false);
    assert!(world.ordered.is_empty());
    world.fleet.cancel(JobKey(2));
    assert!(world.steps_until(DEADLINE_MS, |world| !world.ordered.is_empty()));
    assert!(world.longest_away_ms <= RUNS_AGAIN_MS, "{} ms", world.longest_away_ms);
}

/// A VM whose task has no place elsewhere must not keep the other VMs of its wave
/// waiting, although it is cheaper to drain than they are.
#[test]
fn vm_that_can_be_emptied_goes_first() {
    let mut fleet = Fleet::new(3, cores(6));
    fleet.worker("w0").labels.insert("special".to_owned());
    fleet.list_workers();
    let special = StepSpec { required_label: Some("special".to_owned()), ..long_running(1, 6) };
    fleet.submit(1, job(vec![special]), LONG_WORK);
    fleet.advance(200);
    fleet.submit(2, job(vec![long_running(6, 1)]), LONG_WORK);
    fleet.advance(200);
    assert_eq!(fleet.running(), 7);
    let mut world = World::new(fleet, &["w0", "w1"]);
    let is_ordered = |world: &mut World| !world.ordered.is_empty();
    assert!(world.steps_until(DEADLINE_MS / 2, is_ordered));
    assert_eq!(world.ordered, ["vm-w1"]);
    assert!(world.blockers.is_empty(), "the VM that cannot be emptied is tried last");
}

/// Submits short tasks that take more than the room that is free.
fn submit_short(fleet: &mut Fleet) {
    let key = fleet.now;
    let work = Work { work_ms: 300 + key % 700, fails: false };
    fleet.submit(key, job(vec![step(6, cores(1))]), work);
}

/// Short tasks take all room that is free. The room for a task that is to be stopped
/// must be kept from them, or the wave never goes on.
#[test]
fn short_tasks_do_not_take_the_place_of_a_drained_task() {
    let mut fleet = Fleet::new(3, cores(6));
    fleet.submit(1, job(vec![long_running(3, 3)]), LONG_WORK);
    for _ in 0..20 {
        fleet.advance(STEP_MS);
        submit_short(&mut fleet);
    }
    let mut world = World::new(fleet, &["w0"]);
    let is_ordered = world.steps_until(DEADLINE_MS, |world| {
        submit_short(&mut world.fleet);
        !world.ordered.is_empty()
    });
    assert!(is_ordered, "the VM is not drained");
    assert!(world.longest_away_ms <= RUNS_AGAIN_MS, "{} ms", world.longest_away_ms);
}

/// Only the worker that is drained has room for a task that waits. The drain must not
/// go on before the task runs, although the other tasks have places elsewhere.
#[test]
fn waiting_task_gets_the_room_of_a_drained_worker() {
    let mut fleet = Fleet::new(1, cores(8));
    fleet.submit(1, job(vec![long_running(2, 1)]), LONG_WORK);
    fleet.advance(200);
    fleet.add_worker("w1", "b", cores(4));
    fleet.list_workers();
    fleet.advance(200);
    let mut world = World::new(fleet, &["w0"]);
    world.step();
    world.fleet.submit(2, job(vec![long_running(1, 6)]), LONG_WORK);
    let runs_all = |world: &mut World| world.fleet.running() == 3;
    assert!(world.steps_until(RUNS_AGAIN_MS, runs_all), "the task waits");
    assert_eq!(world.blockers, [DrainBlocker::NeededByWaitingTask]);
    assert!(world.ordered.is_empty());
}
