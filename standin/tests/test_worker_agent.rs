//! Tests that a worker runs only tasks that the current owner starts, within
//! its capacity, and stops tasks whose lease is not renewed.

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_standin::history::FleetHistory;
use cowslipport_standin::worker_agent::StartResult;
use cowslipport_standin::worker_agent::TaskAction;
use cowslipport_standin::worker_agent::TaskReport;
use cowslipport_standin::worker_agent::TaskStart;
use cowslipport_standin::worker_agent::WorkerAgent;
use cowslipport_standin::worker_agent::WorkerFaults;
use cowslipport_standin::worker_agent::WorkerSettings;
use cowslipport_standin::worker_task::TaskState;

const ORGANISATION: OrganisationId = OrganisationId(3);

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, memory_bytes: 0, accelerators: 0 }
}

fn worker() -> WorkerAgent {
    WorkerAgent::new(WorkerSettings { capacity: cpu(4000), ..WorkerSettings::default() }, 100)
}

fn start(task: &str, epoch: u64, ticket: u64, payload: &str) -> TaskStart {
    TaskStart {
        epoch: Epoch(epoch),
        ticket,
        task: task.to_owned(),
        organisation: ORGANISATION,
        request: cpu(1000),
        payload: payload.to_owned(),
        lease_ms: 30_000,
    }
}

fn poll(agent: &mut WorkerAgent, now: u64, epoch: u64) -> (u64, Vec<TaskReport>) {
    let answer = agent.poll(TimeMs(now), Epoch(epoch), 30_000, &[]);
    let answer = answer.expect("the epoch is the highest");
    (answer.ticket, answer.tasks)
}

/// Guards against calls by a former owner that take effect after a new owner
/// has polled.
#[test]
fn lower_epoch_is_fenced() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 5);
    poll(&mut agent, 10, 6);
    assert_eq!(agent.start(TimeMs(20), &start("a", 5, ticket, "")), StartResult::OldEpoch);
    assert_eq!(agent.poll(TimeMs(20), Epoch(5), 30_000, &[]), None);
    assert!(!agent.control(TimeMs(20), Epoch(5), "a", TaskAction::Stop));
    assert_eq!(agent.stats().old_epochs, 3);
}

/// Guards against a start that takes effect late, because its owner paused
/// after it got the ticket or because the worker rebooted since.
#[test]
fn ticket_is_valid_for_two_seconds_in_one_incarnation() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    assert_eq!(agent.start(TimeMs(1999), &start("a", 1, ticket, "")), StartResult::Started);
    assert_eq!(agent.start(TimeMs(2000), &start("b", 1, ticket, "")), StartResult::OldTicket);
    let mut rebooted = WorkerAgent::new(WorkerSettings::default(), 200);
    poll(&mut rebooted, 10, 1);
    assert_eq!(rebooted.start(TimeMs(20), &start("a", 1, ticket, "")), StartResult::OldTicket);
}

/// Guards against a retried start request that runs the task twice.
#[test]
fn repeated_start_is_known() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    assert_eq!(agent.start(TimeMs(0), &start("a", 1, ticket, "")), StartResult::Started);
    assert_eq!(agent.start(TimeMs(5000), &start("a", 1, ticket, "")), StartResult::Known);
    assert_eq!(agent.stats().started, 1);
}

/// Guards against tasks that keep running after their owner can no longer reach
/// the worker.
#[test]
fn task_stops_when_its_lease_expires() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    agent.start(TimeMs(0), &start("a", 1, ticket, "run_ms=600000"));
    poll(&mut agent, 20_000, 1);
    assert_eq!(agent.next_event(), Some(TimeMs(50_000)));
    agent.advance(TimeMs(50_000));
    assert_eq!(agent.stats().leases_expired, 1);
    let (_, tasks) = poll(&mut agent, 50_001, 1);
    assert_eq!(tasks[0].state, TaskState::Stopped);
}

/// Guards against the end of a task that is lost before the owner has recorded
/// it, and against one that is reported forever.
#[test]
fn end_is_reported_until_it_is_acknowledged() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    agent.start(TimeMs(0), &start("good", 1, ticket, "run_ms=100"));
    agent.start(TimeMs(0), &start("bad", 1, ticket, "run_ms=100 fails=1"));
    for now in [200, 400] {
        let (_, tasks) = poll(&mut agent, now, 1);
        let states: Vec<_> = tasks.iter().map(|task| task.state).collect();
        assert_eq!(states, [TaskState::Failed, TaskState::Succeeded]);
    }
    let names = ["good".to_owned(), "bad".to_owned()];
    let answer = agent.poll(TimeMs(500), Epoch(1), 30_000, &names).expect("the epoch is known");
    assert_eq!(answer.tasks, Vec::new());
}

/// Guards against tasks that exceed the capacity of the worker because they use
/// more than they request.
#[test]
fn tasks_fit_by_their_actual_usage() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    let big = start("big", 1, ticket, "cpu_milli=3000");
    assert_eq!(agent.start(TimeMs(0), &big), StartResult::Started);
    let next = start("next", 1, ticket, "cpu_milli=2000");
    assert_eq!(agent.start(TimeMs(0), &next), StartResult::NoRoom);
    assert!(agent.control(TimeMs(0), Epoch(1), "big", TaskAction::Throttle));
    assert_eq!(agent.start(TimeMs(0), &next), StartResult::Started);
    assert!(!agent.control(TimeMs(0), Epoch(1), "big", TaskAction::Unthrottle));
}

/// Guards against a throttle that changes neither run time nor reported usage,
/// and against reports without the lag that the platform has.
#[test]
fn throttled_task_runs_longer_and_usage_is_reported_after_a_lag() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    agent.start(TimeMs(0), &start("a", 1, ticket, "run_ms=10000 cpu_milli=800"));
    agent.control(TimeMs(4000), Epoch(1), "a", TaskAction::Throttle);
    assert_eq!(agent.next_event(), Some(TimeMs(4000 + 2 * 6000)));
    let used = |agent: &mut WorkerAgent, now| poll(agent, now, 1).1[0].used;
    assert_eq!(used(&mut agent, 4999), None);
    assert_eq!(used(&mut agent, 5000), Some(cpu(800)));
    assert_eq!(used(&mut agent, 9000), Some(cpu(400)));
}

/// Guards against a checkpoint that releases the resources of the task before
/// the progress is saved.
#[test]
fn checkpoint_takes_its_configured_time() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    agent.start(TimeMs(0), &start("a", 1, ticket, ""));
    assert!(agent.control(TimeMs(100), Epoch(1), "a", TaskAction::Checkpoint));
    let state = |agent: &mut WorkerAgent, now| poll(agent, now, 1).1[0].state;
    assert_eq!(state(&mut agent, 599), TaskState::Running);
    assert_eq!(state(&mut agent, 600), TaskState::Checkpointed);
}

/// Guards against a worker that is to fail all tasks but refuses to start them.
#[test]
fn worker_that_fails_all_tasks_starts_them_first() {
    let mut agent = worker();
    agent.set_faults(WorkerFaults { fail_tasks_after_ms: Some(50), ..WorkerFaults::default() });
    let (ticket, _) = poll(&mut agent, 0, 1);
    assert_eq!(agent.start(TimeMs(0), &start("a", 1, ticket, "")), StartResult::Started);
    assert_eq!(poll(&mut agent, 50, 1).1[0].state, TaskState::Failed);
}

/// Guards against a fleet-wide sum that misses a VM, counts tasks that have
/// ended, or depends on the order in which reports arrive.
#[test]
fn history_sums_organisations_over_the_fleet() {
    let mut agent = worker();
    let (ticket, _) = poll(&mut agent, 0, 1);
    agent.start(TimeMs(10), &start("a", 1, ticket, "run_ms=90"));
    agent.advance(TimeMs(200));
    let mut history = FleetHistory::default();
    for vm in ["vm-2", "vm-1"] {
        for sample in agent.history() {
            history.record_running(vm, *sample);
        }
    }
    assert_eq!(history.peak_requested(ORGANISATION), cpu(2000));
    let sums: Vec<_> = history
        .samples(ORGANISATION)
        .iter()
        .map(|sum| (sum.at.0, sum.requested.cpu_milli))
        .collect();
    assert_eq!(sums, [(10, 2000), (100, 0)]);
}
