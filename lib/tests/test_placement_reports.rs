//! Reports of a worker that reach the owner in a different order than their
//! polls were sent.

use std::collections::BTreeSet;

use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RackId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::job::JobState;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::job::TaskState;
use cowslipport_lib::placement::Scheduler;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_decision::SchedulerDecision;
use cowslipport_lib::scheduler_event::JobOrigin;
use cowslipport_lib::scheduler_event::OrganisationView;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::TaskReport;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::scheduler_event::WorkerService;
use cowslipport_lib::scheduler_event::WorkerSpec;
use cowslipport_lib::time::TimeMs;

const SIZE: Resources = Resources { cpu_milli: 1_000, memory_bytes: 1, accelerators: 0 };
const VM: VmId = VmId(0);
const ORGANISATION: OrganisationId = OrganisationId(0);

fn report(scheduler: &mut Scheduler, now: u64, polled_at: u64, tasks: &[(&TaskId, TaskState)]) {
    let tasks = tasks.iter().map(|(task, state)| TaskReport {
        task: (*task).clone(),
        state: *state,
        request: SIZE,
        used: SIZE,
        age_ms: 0,
    });
    let polled_at = TimeMs(polled_at);
    let report = WorkerReport { polled_at, ticket: 1, up_ms: None, tasks: tasks.collect() };
    scheduler.handle(TimeMs(now), SchedulerEvent::WorkerReport { vm: VM, report });
}

/// Returns the task that the scheduler starts at `now`, if any.
fn started(scheduler: &mut Scheduler, now: u64) -> Option<TaskId> {
    scheduler.decide(TimeMs(now)).into_iter().find_map(|decision| match decision {
        SchedulerDecision::Start { task, .. } => Some(task),
        SchedulerDecision::Control { .. }
        | SchedulerDecision::Acknowledge { .. }
        | SchedulerDecision::TakeGrant { .. }
        | SchedulerDecision::ReturnGrant { .. }
        | SchedulerDecision::Quarantine { .. }
        | SchedulerDecision::Release { .. }
        | SchedulerDecision::EndJob { .. }
        | SchedulerDecision::Refused(_) => None,
    })
}

/// Creates a scheduler with one worker and one repeatable job, which it starts
/// at 1,000 ms.
fn scheduler_with_started_job() -> (Scheduler, TaskId) {
    let mut scheduler = Scheduler::new();
    let now = TimeMs(0);
    let view =
        OrganisationView { share_milli: 1, limit: SIZE, keys: BTreeSet::from(["key".to_owned()]) };
    scheduler.handle(now, SchedulerEvent::OrganisationChanged { organisation: ORGANISATION, view });
    let grant =
        SchedulerEvent::GrantChanged { organisation: ORGANISATION, amount: SIZE, total: SIZE };
    scheduler.handle(now, grant);
    let spec = WorkerSpec {
        capacity: SIZE,
        data_centre: DataCentreId(0),
        rack: RackId(0),
        service: WorkerService::Open,
        data_centre_in_service: true,
        on_data_centre_out: DataCentreOutPolicy::Finish,
    };
    scheduler.handle(now, SchedulerEvent::WorkerUpdated { vm: VM, spec });
    let gained = SchedulerEvent::OwnershipGained { epoch: Epoch(1), since_former_owner_ms: 0 };
    scheduler.handle(now, gained);
    scheduler.handle(now, SchedulerEvent::StartsAllowed(true));
    report(&mut scheduler, 10, 0, &[]);
    let job = JobSpec {
        job: JobRef { organisation: ORGANISATION, name: "job".to_owned() },
        key: "key".to_owned(),
        pool: PoolId(0),
        request: SIZE,
        urgent: false,
        declared_run_ms: None,
        payload: String::new(),
        repeatable: true,
    };
    let origin = JobOrigin::New;
    scheduler.handle(TimeMs(900), SchedulerEvent::JobAccepted { job, origin });
    let task = started(&mut scheduler, 1_000).expect("the job starts");
    (scheduler, task)
}

/// Guards against a second start of a running job. A poll that was sent after
/// the start may reach the worker before it, so that its answer does not list
/// the task, and may be answered after a report that lists the task.
#[test]
fn late_report_without_a_task_does_not_end_it() {
    let (mut scheduler, task) = scheduler_with_started_job();
    report(&mut scheduler, 1_500, 900, &[(&task, TaskState::Running)]);
    report(&mut scheduler, 1_600, 1_010, &[]);
    assert_eq!(started(&mut scheduler, 1_700), None);
    let state = scheduler.job_status(TimeMs(1_700), &task.job).map(|status| status.state);
    assert_eq!(state, Some(JobState::Active { vm: VM, attempt: task.attempt }));
}

/// Guards against a job that does not start again because a late report lists
/// its task as running after another report listed it as ended.
#[test]
fn late_report_of_a_running_task_does_not_revive_it() {
    let (mut scheduler, task) = scheduler_with_started_job();
    scheduler.handle(TimeMs(1_400), SchedulerEvent::StartsAllowed(false));
    report(&mut scheduler, 1_500, 1_400, &[(&task, TaskState::Checkpointed)]);
    assert_eq!(started(&mut scheduler, 1_510), None);
    report(&mut scheduler, 1_600, 1_450, &[(&task, TaskState::Running)]);
    scheduler.handle(TimeMs(1_600), SchedulerEvent::StartsAllowed(true));
    assert!(started(&mut scheduler, 1_610).is_some(), "the job continues");
}
