//! Pools whose demand changes: jobs that arrive at given rates, workers that run
//! them, and a VM service that moves VMs. It counts what the VMs cost and how
//! long tasks wait.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::catalog::CatalogSpec;
use cowslipport_lib::workload::catalog::PoolSpec;
use cowslipport_lib::workload::demand_record::DemandRecord;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::pool_autoscaler::PoolAutoscaler;
use cowslipport_lib::workload::report::EndedTask;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::scheduling::SchedulingFeatures;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::vm::VmAction;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;

use crate::workload_fake::LEASE_MS;
use crate::workload_fake::LEASE_TIMES;
use crate::workload_fake::STATUS_KEPT_MS;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

const TICK_MS: u64 = 50;
/// Time that a VM takes to move, and interval of the VM list, as the platform
/// and the owner have them.
const MOVE_MS: u64 = 1_500;
const LIST_MS: u64 = 400;
const VMS: usize = 60;
const VM_CORES: u64 = 16;
pub(crate) const POOLS: [&str; 2] = ["a", "b"];
const STANDBY: &str = "standby";

/// Jobs a second of each pool at a time.
pub(crate) type Rates = fn(u64) -> [u64; 2];

struct Run {
    task: TaskName,
    attempt: u32,
    until: u64,
}

/// What a time cost, and how long tasks waited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub(crate) vm_ms: u64,
    pub(crate) moves: u64,
    pub(crate) waited_ms: u64,
    pub(crate) stopped: u64,
}

pub(crate) struct World {
    pub(crate) now: u64,
    /// Whether the VM service answers requests for the list.
    pub(crate) lists_vms: bool,
    pub(crate) cost: Cost,
    rates: Rates,
    features: SchedulingFeatures,
    seed: u64,
    catalog: Catalog,
    owner: Dispatcher,
    autoscaler: PoolAutoscaler,
    vms: BTreeMap<String, VmEntry>,
    moving: BTreeMap<String, (String, u64)>,
    list: VmList,
    runs: BTreeMap<WorkerId, Vec<Run>>,
    ended: BTreeMap<WorkerId, Vec<EndedTask>>,
    next_number: u64,
}

fn new_owner(epoch: u64, now: u64, features: SchedulingFeatures) -> Dispatcher {
    let incarnation = NodeIncarnation { node: format!("n{epoch}"), incarnation: epoch };
    let mut owner = Dispatcher::new(epoch, incarnation, TimeMs(now), LEASE_TIMES, STATUS_KEPT_MS);
    owner.set_features(features);
    owner.recovered();
    owner
}

impl World {
    pub(crate) fn new(seed: u64, rates: Rates, forecast_demand: bool) -> Self {
        let mut catalog = Catalog::default();
        let pool = |name: &str| PoolSpec { name: name.to_owned(), is_standby: name == STANDBY };
        let pools = POOLS.iter().copied().chain([STANDBY]).map(pool).collect();
        catalog.apply(CatalogSpec { version: 1, pools, ..CatalogSpec::default() });
        let features = SchedulingFeatures { forecast_demand, ..SchedulingFeatures::default() };
        let mut world = Self {
            now: 0,
            lists_vms: true,
            cost: Cost::default(),
            rates,
            features,
            seed,
            catalog,
            owner: new_owner(1, 0, features),
            autoscaler: PoolAutoscaler::default(),
            vms: BTreeMap::new(),
            moving: BTreeMap::new(),
            list: VmList::default(),
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            next_number: 1,
        };
        for index in 0..VMS {
            let pool = if index < 8 { POOLS[index % 2] } else { STANDBY };
            world.place_vm(&format!("vm{index:02}"), pool);
        }
        world
    }

    /// Puts a VM into a pool, with a new worker.
    fn place_vm(&mut self, vm: &str, pool: &str) {
        self.next_number += 1;
        let worker = (pool != STANDBY).then(|| format!("{vm}-{}", self.next_number));
        self.list_worker(worker.as_deref(), pool);
        let entry = VmEntry {
            vm: vm.to_owned(),
            pool: pool.to_owned(),
            state: VmState::Up,
            worker,
            data_centre: String::new(),
            rack: None,
            capacity: cores(VM_CORES),
        };
        self.vms.insert(vm.to_owned(), entry);
    }

    fn list_worker(&mut self, worker: Option<&str>, pool: &str) {
        let Some(name) = worker else { return };
        let entry = WorkerEntry {
            name: name.to_owned(),
            pool: pool.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: String::new(),
            rack: None,
            capacity: cores(VM_CORES),
            labels: BTreeSet::new(),
            is_draining: false,
            started_unix_ms: Some(1),
        };
        let id = self.owner.worker_listed(&mut self.catalog, &entry);
        self.report(id);
    }

    /// Replaces the owner between turns; the tasks that ran are gone.
    pub(crate) fn replace_owner(&mut self, keeps_record: bool) {
        let now = TimeMs(self.now);
        let record = self.owner.take_demand_record(now, self.now, &self.catalog);
        let record = record.map(|record| record.encode()).filter(|_| keeps_record);
        self.owner = new_owner(2, self.now, self.features);
        self.autoscaler = PoolAutoscaler::default();
        self.runs.clear();
        self.ended.clear();
        if let Some(bytes) = record {
            let record = DemandRecord::decode(&bytes).expect("a valid record");
            self.owner.restore_demand(now, self.now, &mut self.catalog, &record);
        }
        let workers: Vec<(Option<String>, String)> =
            self.vms.values().map(|vm| (vm.worker.clone(), vm.pool.clone())).collect();
        for (worker, pool) in workers {
            self.list_worker(worker.as_deref(), &pool);
        }
    }

    /// Runs until a time and returns the cost of the time.
    pub(crate) fn run_until(&mut self, until: u64) -> Cost {
        self.cost = Cost::default();
        while self.now < until {
            self.now += TICK_MS;
            self.submit_jobs();
            self.end_tasks();
            self.owner.place_tasks(TimeMs(self.now), self.now, &self.catalog);
            self.move_vms();
            self.store_and_start();
            self.count();
        }
        self.cost
    }

    /// A number below `bound` from a fixed seed.
    fn random(&mut self, bound: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % bound
    }

    fn submit_jobs(&mut self) {
        for (pool, rate) in POOLS.into_iter().zip((self.rates)(self.now)) {
            // Twenty chances in a tick make nearly a Poisson process.
            for _ in 0..20 {
                if self.random(1_000_000) >= rate * TICK_MS * 50 {
                    continue;
                }
                self.next_number += 1;
                let tasks = 1 + u32::try_from(self.random(7)).expect("a small number");
                let mut steps = vec![step(tasks, cores(2)), step(tasks, cores(2))];
                steps[1].depends_on = vec![0];
                let queue = format!("queue-{pool}");
                let spec =
                    JobSpec { pool: pool.to_owned(), queue, organisation: None, ..job(steps) };
                let key = JobKey(self.next_number);
                self.owner.submitted(TimeMs(self.now), &mut self.catalog, key, spec, None);
            }
        }
    }

    fn end_tasks(&mut self) {
        for (worker, runs) in &mut self.runs {
            for run in runs.extract_if(.., |run| run.until <= self.now) {
                self.next_number += 1;
                self.ended.entry(*worker).or_default().push(EndedTask {
                    number: self.next_number,
                    task: run.task,
                    attempt: run.attempt,
                    end: TaskEnd::Done,
                    checkpoint: None,
                });
            }
        }
        let workers: Vec<WorkerId> = self.runs.keys().copied().collect();
        for worker in workers {
            self.report(worker);
        }
    }

    fn report(&mut self, worker: WorkerId) {
        let running = self.runs.get(&worker).into_iter().flatten().map(|run| RunningTask {
            task: run.task,
            attempt: run.attempt,
            checkpoint: None,
            percent: 50,
            reading: 0,
        });
        let report = WorkerReport {
            sent_at: TimeMs(self.now),
            started_unix_ms: Some(1),
            lease: LeaseGrant::Remaining { ms: LEASE_MS },
            running: running.collect(),
            ended: self.ended.remove(&worker).unwrap_or_default(),
            has_more_ends: false,
        };
        self.owner.worker_reported(TimeMs(self.now), worker, &report);
    }

    fn move_vms(&mut self) {
        let now = TimeMs(self.now);
        while let Some(vm) = self.moving.iter().find(|(_, (_, until))| *until <= self.now) {
            let (vm, pool) = (vm.0.clone(), vm.1.0.clone());
            self.moving.remove(&vm);
            self.place_vm(&vm, &pool);
        }
        if self.lists_vms && self.now.is_multiple_of(LIST_MS) {
            self.list = VmList::new(now, self.vms.values().cloned().collect());
            self.autoscaler.vms_listed(now, &self.list, &mut self.catalog, &mut self.owner);
        }
        // The owner plans with no list that is older than 1.5 s.
        if now.since(self.list.requested_at) > 1_500 {
            return;
        }
        let input = VmPlanInput {
            vms: &self.list,
            excluded: &BTreeSet::new(),
            maybe_ordered: &BTreeSet::new(),
            max_orders: usize::MAX,
            may_stop_long_running: true,
        };
        let owner = &mut self.owner;
        let orders = self.autoscaler.plan_moves(now, self.now, &mut self.catalog, input, owner);
        for order in orders {
            let VmAction::MoveTo { pool } = order.action else { continue };
            let vm = self.vms.get_mut(&order.vm).expect("the VM exists");
            vm.state = VmState::Moving;
            if let Some(worker) = vm.worker.take() {
                let id = self.owner.worker_unlisted(&worker);
                let runs = id.and_then(|id| self.runs.remove(&id)).unwrap_or_default();
                self.cost.stopped += runs.len() as u64;
            }
            self.cost.moves += 1;
            self.moving.insert(order.vm, (pool, self.now + MOVE_MS));
        }
    }

    fn store_and_start(&mut self) {
        let now = TimeMs(self.now);
        let batch = self.owner.take_batch(now);
        self.owner.batch_stored(now, &batch, true);
        for order in self.owner.take_orders() {
            let Order::Start(start) = order.order else { continue };
            let until = self.now + 250 + self.random(500);
            let run = Run { task: start.task, attempt: start.attempt, until };
            self.runs.entry(order.worker).or_default().push(run);
            let lease = LeaseGrant::Remaining { ms: LEASE_MS };
            let reply = StartReply { answer: StartAnswer::Started, lease };
            self.owner.start_answered(now, order.worker, start.key, start.attempt, reply);
        }
    }

    fn count(&mut self) {
        let paid = self.vms.values().filter(|vm| vm.pool != STANDBY || vm.state != VmState::Up);
        self.cost.vm_ms += paid.count() as u64 * TICK_MS;
        for event in self.owner.take_events() {
            if let DispatcherEvent::Placed { waited_ms, .. } = event {
                self.cost.waited_ms += waited_ms;
            }
        }
    }
}
