//! Processor time of the decisions of the placement owner and the router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::ejection::ExchangeResult;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RackId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::job::TaskState;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::placement::Scheduler;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::route::routing::RouteDecision;
use cowslipport_lib::route::routing::RouteRequest;
use cowslipport_lib::route::routing::Router;
use cowslipport_lib::route::routing::RouterSettings;
use cowslipport_lib::scheduler_decision::SchedulerDecision;
use cowslipport_lib::scheduler_event::JobOrigin;
use cowslipport_lib::scheduler_event::OrganisationView;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::StartAnswer;
use cowslipport_lib::scheduler_event::TaskReport;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::scheduler_event::WorkerService;
use cowslipport_lib::scheduler_event::WorkerSpec;
use cowslipport_lib::time::TimeMs;
use serde::Serialize;

use crate::cost::time_each;
use crate::model;
use crate::model::number;

const TASKS_PER_WORKER: usize = 4;
/// Jobs that wait because no worker has free capacity.
const WAITING_JOBS: usize = 100;
/// Organisations with jobs in one partition.
const ORGANISATIONS: usize = 10;
/// Requests routed in one measurement.
const ROUTED_REQUESTS: usize = 1000;

/// Cost of one kind of decision.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RoleCost {
    /// Name of the decision.
    pub(crate) decision: String,
    /// Processor time per decision, in nanoseconds.
    pub(crate) each_ns: f64,
}

/// Measures all kinds of decisions.
pub(crate) fn measure(state: &ControlState) -> Vec<RoleCost> {
    let mut costs = Vec::new();
    for workers in [27, 180, 400] {
        costs.extend(partition_costs(workers));
    }
    costs.extend(router_costs(state));
    costs
}

/// A full partition: every worker has capacity for four tasks and runs them, and
/// further jobs wait.
struct FullPartition {
    scheduler: Scheduler,
    reports: BTreeMap<VmId, WorkerReport>,
    now: TimeMs,
}

impl FullPartition {
    fn new(workers: usize) -> Self {
        let mut partition =
            Self { scheduler: Scheduler::new(), reports: BTreeMap::new(), now: TimeMs(1_000_000) };
        for index in 0..ORGANISATIONS {
            let organisation = OrganisationId(number(index));
            let limit = model::task_size().scaled_up(100_000, 1);
            let keys = BTreeSet::from(["current".to_owned()]);
            let view = OrganisationView { share_milli: 1000, limit, keys };
            partition.handle(SchedulerEvent::OrganisationChanged { organisation, view });
            partition.handle(SchedulerEvent::GrantChanged {
                organisation,
                amount: limit,
                total: limit,
            });
        }
        for index in 0..workers {
            let vm = VmId(number(index));
            partition.handle(SchedulerEvent::WorkerUpdated { vm, spec: worker(index) });
        }
        partition
            .handle(SchedulerEvent::OwnershipGained { epoch: Epoch(7), since_former_owner_ms: 0 });
        partition.handle(SchedulerEvent::StartsAllowed(true));
        for index in 0..workers * TASKS_PER_WORKER + WAITING_JOBS {
            let (job, origin) = (job(index), JobOrigin::New);
            partition.handle(SchedulerEvent::JobAccepted { job, origin });
        }
        // Each worker starts with an empty report, which then grows with the tasks
        // started on it.
        for index in 0..workers {
            let report = WorkerReport {
                polled_at: partition.now,
                ticket: 1,
                up_ms: None,
                tasks: Vec::new(),
            };
            partition.reports.insert(VmId(number(index)), report);
        }
        for _ in 0..20 {
            partition.advance();
        }
        partition
    }

    fn handle(&mut self, event: SchedulerEvent) {
        self.scheduler.handle(self.now, event);
    }

    /// Reports all workers, and starts the tasks that the scheduler decides to
    /// start.
    fn advance(&mut self) {
        self.now = self.now.plus(500);
        self.report_all();
        for decision in self.scheduler.decide(self.now) {
            let SchedulerDecision::Start { task, vm, request, .. } = decision else { continue };
            let (answer, ticket) = (StartAnswer::Started, Some(1));
            self.handle(SchedulerEvent::StartAnswered { vm, task: task.clone(), answer, ticket });
            if let Some(report) = self.reports.get_mut(&vm) {
                report.tasks.push(running_report(task, request));
            }
        }
    }

    fn report_all(&mut self) {
        for (vm, report) in &mut self.reports {
            report.polled_at = self.now;
            let event = SchedulerEvent::WorkerReport { vm: *vm, report: report.clone() };
            self.scheduler.handle(self.now, event);
        }
    }
}

fn worker(index: usize) -> WorkerSpec {
    let capacity = model::task_size().scaled_up(TASKS_PER_WORKER as u64, 1);
    WorkerSpec {
        capacity,
        data_centre: DataCentreId(number(index / 4 % 3)),
        rack: RackId(number(index / 4)),
        service: WorkerService::Open,
        data_centre_in_service: true,
        on_data_centre_out: DataCentreOutPolicy::Finish,
    }
}

fn job(index: usize) -> JobSpec {
    JobSpec {
        job: JobRef {
            organisation: OrganisationId(number(index % ORGANISATIONS)),
            name: format!("nightly-ledger-{index:05}"),
        },
        key: "current".to_owned(),
        pool: PoolId(0),
        request: model::task_size(),
        urgent: false,
        declared_run_ms: Some(600_000),
        payload: "registry/ledger:42".to_owned(),
        repeatable: true,
    }
}

fn running_report(task: TaskId, request: Resources) -> TaskReport {
    TaskReport { task, state: TaskState::Running, request, used: request, age_ms: 60_000 }
}

fn partition_costs(workers: usize) -> Vec<RoleCost> {
    let mut partition = FullPartition::new(workers);
    let tasks: usize = partition.reports.values().map(|report| report.tasks.len()).sum();
    assert!(tasks * 2 > workers * TASKS_PER_WORKER, "{tasks} tasks run on {workers} workers");
    let report_ns = time_each(workers, || (), |()| partition.report_all());
    let decide_ns = time_each(1, || (), |()| partition.scheduler.decide(partition.now));
    let of = format!("{workers} workers, {tasks} tasks, {WAITING_JOBS} waiting");
    vec![
        RoleCost { decision: format!("report of a worker, {of}"), each_ns: report_ns },
        RoleCost { decision: format!("decisions of a step, {of}"), each_ns: decide_ns },
    ]
}

fn router_costs(state: &ControlState) -> Vec<RoleCost> {
    let settings = RouterSettings {
        session: model::session_id(0),
        data_centre: model::data_centre_name(0),
        max_queued: 1000,
        seed: 1,
    };
    let now = TimeMs(1000);
    let mut router = Router::new(settings);
    router.set_view(ViewState::Confirmed);
    let rebuild_ns = time_each(1, || (), |()| router.rebuild(now, state));
    let pool = state.pools.get(PoolId(12)).map(|pool| pool.spec.name.clone()).unwrap_or_default();
    let route_ns = time_each(
        ROUTED_REQUESTS,
        || (),
        |()| {
            for index in 0..ROUTED_REQUESTS {
                let request = RouteRequest {
                    id: RequestId(index as u64),
                    key: KeyDigest::of(b"key-000-current"),
                    pool: pool.clone(),
                    deadline: TimeMs(60_000),
                    tried: Vec::new(),
                };
                let decision = router.route(now, request);
                let RouteDecision::Send { vm, .. } = decision else {
                    unreachable!("an idle pool takes a request: {decision:?}");
                };
                router.finished(now, vm, ExchangeResult::Completed { service_ms: 50 });
            }
        },
    );
    let instances = state.vms.iter().filter(|(_, vm)| vm.pool == PoolId(12)).count();
    vec![
        RoleCost { decision: "rebuild of the router".to_owned(), each_ns: rebuild_ns },
        RoleCost {
            decision: format!("request to a pool of {instances} instances"),
            each_ns: route_ns,
        },
    ]
}
