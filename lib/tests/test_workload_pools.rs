//! Tests of the pool autoscaler: VMs move to the pools whose jobs wait, and
//! idle VMs to standby.

mod workload_fake;

use std::collections::BTreeSet;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::catalog::CatalogSpec;
use cowslipport_lib::workload::catalog::OrganisationSpec;
use cowslipport_lib::workload::catalog::PoolSpec;
use cowslipport_lib::workload::catalog::ResourceLimit;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::event::DispatcherEvent;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::order_rate_limiter::OrderRateLimiter;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::OpenMaintenance;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::pool_autoscaler::PoolAutoscaler;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::StepSpec;
use cowslipport_lib::workload::vm::VmAction;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmPlanInput;
use cowslipport_lib::workload::vm::VmState;
use cowslipport_lib::workload::vm_handover::VmHandover;

use crate::workload_fake::LEASE_TIMES;
use crate::workload_fake::ORGANISATION;
use crate::workload_fake::STATUS_KEPT_MS;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

/// Two pools and a standby pool. Each VM has four cores.
struct Pools {
    now: u64,
    catalog: Catalog,
    owner: Dispatcher,
    autoscaler: PoolAutoscaler,
    vms: Vec<VmEntry>,
    /// Maximum number of orders of one round.
    max_orders: usize,
}

/// More orders than any test gives.
const UNLIMITED: usize = 1_000;

impl Pools {
    fn new(vms: &[(&str, usize)]) -> Self {
        let mut catalog = Catalog::default();
        catalog.apply(CatalogSpec { version: 1, pools: pool_specs(), ..CatalogSpec::default() });
        let incarnation = NodeIncarnation { node: "n".to_owned(), incarnation: 1 };
        let times = LEASE_TIMES;
        let mut owner = Dispatcher::new(1, incarnation, TimeMs(0), times, STATUS_KEPT_MS);
        owner.recovered();
        let mut pools = Self {
            now: 0,
            catalog,
            owner,
            autoscaler: PoolAutoscaler::default(),
            vms: Vec::new(),
            max_orders: UNLIMITED,
        };
        for (pool, count) in vms {
            for index in 0..*count {
                pools.add_vm(pool, &format!("{pool}{index}"));
            }
        }
        pools
    }

    fn add_vm(&mut self, pool: &str, name: &str) {
        self.vms.push(VmEntry {
            vm: format!("vm-{name}"),
            pool: pool.to_owned(),
            state: VmState::Up,
            worker: Some(name.to_owned()),
            data_centre: data_centre_of(name),
            rack: None,
            capacity: cores(4),
        });
        if pool == "standby" {
            return;
        }
        let entry = WorkerEntry {
            name: name.to_owned(),
            pool: pool.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: data_centre_of(name),
            rack: None,
            capacity: cores(4),
            labels: BTreeSet::new(),
            is_draining: false,
            started_unix_ms: Some(1),
        };
        let id = self.owner.worker_listed(&mut self.catalog, &entry);
        let report = WorkerReport {
            sent_at: TimeMs(self.now),
            started_unix_ms: Some(1),
            lease: LeaseGrant::None,
            running: Vec::new(),
            ended: Vec::new(),
            has_more_ends: false,
        };
        self.owner.worker_reported(TimeMs(self.now), id, &report);
    }

    fn submit(&mut self, key: u64, pool: &str, steps: Vec<StepSpec>) {
        self.submit_for(None, key, pool, steps);
    }

    fn submit_for(
        &mut self,
        organisation: Option<&str>,
        key: u64,
        pool: &str,
        steps: Vec<StepSpec>,
    ) {
        let organisation = organisation.map(str::to_owned);
        let spec = JobSpec { pool: pool.to_owned(), organisation, ..job(steps) };
        let now = TimeMs(self.now);
        self.owner.submitted(now, &mut self.catalog, JobKey(key), spec, None);
        self.owner.place_tasks(now, self.now, &self.catalog);
    }

    /// Takes the events and returns the number of tasks that were placed.
    fn placed(&mut self) -> usize {
        let events = self.owner.take_events().into_iter();
        events.filter(|event| matches!(event, DispatcherEvent::Placed { .. })).count()
    }

    /// Advances the time and returns the moves that are ordered meanwhile.
    fn advance(&mut self, ms: u64) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        let until = self.now + ms;
        while self.now < until {
            self.now += 100;
            let now = TimeMs(self.now);
            let vms = VmList::new(now, self.vms.clone());
            self.autoscaler.vms_listed(now, &vms, &mut self.catalog, &mut self.owner);
            orders.extend(self.autoscaler.plan_moves(
                now,
                self.now,
                &mut self.catalog,
                VmPlanInput {
                    vms: &vms,
                    excluded: &BTreeSet::new(),
                    maybe_ordered: &BTreeSet::new(),
                    max_orders: self.max_orders,
                    may_stop_long_running: true,
                },
                &mut self.owner,
            ));
        }
        orders
    }
}

fn pool_specs() -> Vec<PoolSpec> {
    let pool = |name: &str, is_standby| PoolSpec { name: name.to_owned(), is_standby };
    vec![pool("a", false), pool("b", false), pool("standby", true)]
}

/// Data centre of a VM: those with an odd number are in one, the others in
/// another.
fn data_centre_of(name: &str) -> String {
    let is_odd = name.ends_with(['1', '3', '5', '7', '9']);
    if is_odd { "odd".to_owned() } else { "even".to_owned() }
}

fn move_targets(orders: &[VmOrder]) -> Vec<(String, String)> {
    let target = |order: &VmOrder| match &order.action {
        VmAction::MoveTo { pool } => (order.vm.clone(), pool.clone()),
        VmAction::Maintain { wave } => (order.vm.clone(), format!("wave {wave}")),
    };
    orders.iter().map(target).collect()
}

/// More jobs wait than the pool has capacity for. The pool gets the idle VMs of
/// the other pool first, then VMs on standby.
#[test]
fn demand_peak_gets_idle_vms() {
    let mut pools = Pools::new(&[("a", 4), ("b", 5), ("standby", 3)]);
    for key in 1..=8 {
        pools.submit(key, "a", vec![step(4, cores(1))]);
    }
    let orders = pools.advance(100);
    let to_a = move_targets(&orders).into_iter().filter(|(_, pool)| pool == "a").count();
    assert_eq!(to_a, 4, "{orders:?}");
    let from_b = orders.iter().filter(|order| order.vm.starts_with("vm-b")).count();
    assert_eq!(from_b, 2, "pool b keeps its minimum");
    assert!(pools.advance(400).is_empty(), "VMs that are being moved count");
}

#[test]
fn idle_vms_move_to_standby_after_a_while() {
    let mut pools = Pools::new(&[("a", 5), ("b", 3), ("standby", 1)]);
    assert!(pools.advance(1_000).is_empty(), "a short idle time moves nothing");
    let orders = pools.advance(4_000);
    let moved: Vec<(String, String)> = move_targets(&orders);
    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|(vm, pool)| vm.starts_with("vm-a") && pool == "standby"));
}

#[test]
fn vm_with_tasks_is_not_moved() {
    let mut pools = Pools::new(&[("a", 4), ("b", 3), ("standby", 0)]);
    let spread =
        StepSpec { long_running: true, max_tasks_per_worker: Some(1), ..step(4, cores(1)) };
    pools.submit(1, "a", vec![spread]);
    for key in 2..=9 {
        pools.submit(key, "b", vec![step(4, cores(1))]);
    }
    assert!(pools.advance(4_000).is_empty());
}

/// Work beyond the limit of its organisation cannot start on any VM.
#[test]
fn work_over_a_limit_is_no_need() {
    let mut pools = Pools::new(&[("a", 3), ("standby", 4)]);
    pools.catalog.apply(CatalogSpec {
        version: 2,
        pools: pool_specs(),
        organisations: vec![OrganisationSpec {
            name: ORGANISATION.to_owned(),
            keys: Vec::new(),
            weight: 1,
            limit: ResourceLimit { cpu_milli: Some(8_000), ..ResourceLimit::default() },
        }],
        ..CatalogSpec::default()
    });
    for key in 1..=20 {
        pools.submit_for(Some(ORGANISATION), key, "a", vec![step(1, cores(4))]);
    }
    // Arrivals within a short time count for more than their requests.
    pools.now += 1_000;
    let orders = pools.advance(100);
    assert!(orders.is_empty(), "{orders:?}");
}

/// A long-running step that must be spread over more workers than the pool has
/// gets further VMs.
#[test]
fn spread_of_a_lasting_step_counts_as_need() {
    let mut pools = Pools::new(&[("a", 3), ("b", 3), ("standby", 4)]);
    let spread =
        StepSpec { long_running: true, max_tasks_per_worker: Some(1), ..step(6, cores(1)) };
    pools.submit(1, "a", vec![spread]);
    let orders = pools.advance(100);
    assert_eq!(orders.len(), 3);
}

/// An order to move a VM gets no answer and is never carried out. The worker on
/// the VM must get tasks again.
#[test]
fn worker_of_a_lost_move_gets_tasks_again() {
    let mut pools = Pools::new(&[("a", 8), ("standby", 1)]);
    let orders = pools.advance(2_000);
    assert_eq!(orders.len(), 5, "idle VMs move to standby");
    for order in orders {
        let now = TimeMs(pools.now);
        let answer = VmOrderAnswer::Unknown;
        pools.autoscaler.order_answered(now, &order.vm, answer, &mut pools.owner);
    }
    pools.submit(1, "a", vec![step(3, cores(4))]);
    pools.advance(5_000);
    pools.owner.take_events();
    pools.submit(2, "a", vec![step(5, cores(4))]);
    assert_eq!(pools.placed(), 5);
}

#[test]
fn refused_move_is_retried_after_a_while() {
    let mut pools = Pools::new(&[("a", 3), ("b", 3), ("standby", 1)]);
    for key in 1..=8 {
        pools.submit(key, "a", vec![step(4, cores(1))]);
    }
    let orders = pools.advance(100);
    assert_eq!(orders.len(), 1);
    let now = TimeMs(pools.now);
    pools.autoscaler.order_answered(now, &orders[0].vm, VmOrderAnswer::Busy, &mut pools.owner);
    assert!(pools.advance(1_500).is_empty());
    assert_eq!(pools.advance(1_000).len(), 1);
}

#[test]
fn orders_stay_below_the_accepted_rate() {
    let mut rate = OrderRateLimiter::new(TimeMs(0), 64);
    assert_eq!(rate.available(TimeMs(0)), 0, "the previous owner may have given some just now");
    let mut given = 0;
    for now in (10..=10_000).step_by(10) {
        let available = rate.available(TimeMs(now));
        rate.consume(available);
        given += available;
    }
    assert!((520..=576).contains(&given), "nine tenths of 640: {given}");
    // After a pause the burst is limited to the orders of a quarter of a
    // second.
    assert_eq!(rate.available(TimeMs(60_000)), 14);
}

/// A demand peak needs more VMs than the rate limit allows at once. The
/// remaining moves must be decided later, from the state at that time.
#[test]
fn moves_beyond_the_rate_are_decided_later() {
    let mut pools = Pools::new(&[("a", 3), ("standby", 10)]);
    pools.max_orders = 2;
    pools.submit(1, "a", vec![step(40, cores(1))]);
    assert_eq!(pools.advance(100).len(), 2);
    assert_eq!(pools.advance(100).len(), 2);
}

/// Two queues need more VMs than there are. The pool whose demand peak begins
/// must get its part, although the other has a far larger shortage.
#[test]
fn pools_share_vms_by_their_need() {
    let mut pools = Pools::new(&[("a", 3), ("b", 3), ("standby", 8)]);
    pools.submit(1, "a", vec![step(200, cores(1))]);
    pools.submit(2, "b", vec![step(40, cores(1))]);
    let targets = move_targets(&pools.advance(100));
    let to = |pool: &str| targets.iter().filter(|(_, to)| to == pool).count();
    assert_eq!((to("a"), to("b")), (8, 0), "pool b has the larger part of its need");
    let mut pools = Pools::new(&[("a", 20), ("b", 3), ("standby", 8)]);
    pools.submit(1, "a", vec![step(200, cores(1))]);
    pools.submit(2, "b", vec![step(40, cores(1))]);
    let targets = self::move_targets(&pools.advance(100));
    let to = |pool: &str| targets.iter().filter(|(_, to)| to == pool).count();
    assert_eq!(to("a") + to("b"), 8);
    assert!(to("b") >= 2, "the pool with the largest shortage does not get all: {targets:?}");
}

/// Many jobs arrive in a short time at the beginning of a demand peak. VMs must
/// be added although the first jobs still fit into the pool.
#[test]
fn vms_are_added_ahead_of_a_demand_peak() {
    let mut pools = Pools::new(&[("a", 3), ("standby", 40)]);
    // Each job is one core-second of work in four consecutive steps.
    let steps = || -> Vec<StepSpec> {
        let mut steps = vec![step(1, cores(1)); 4];
        for (index, step) in (0..).zip(&mut steps) {
            step.estimate_ms = 250;
            step.depends_on = (0..index).collect();
        }
        steps
    };
    for key in 0..24 {
        pools.submit(key, "a", steps());
        pools.now += 25;
    }
    let ordered = pools.advance(100).len();
    // The work of 40 cores arrives. If that goes on, 28 more cores are needed,
    // or seven VMs.
    assert!((3..=7).contains(&ordered), "{ordered}");
    let mut pools = Pools::new(&[("a", 3), ("standby", 40)]);
    pools.submit(1, "a", vec![StepSpec { estimate_ms: 60_000, ..step(1, cores(1)) }]);
    assert_eq!(pools.advance(300), [], "one large job predicts no others");
}

/// After a demand peak all surplus VMs move to standby at once, not one after
/// the other.
#[test]
fn all_idle_vms_move_to_standby_at_once() {
    let mut pools = Pools::new(&[("a", 20)]);
    let orders = pools.advance(1_500);
    assert_eq!(orders.len(), 17, "three VMs stay");
}

/// A successor must not order the VMs that the previous owner ordered recently,
/// and may order all others.
#[test]
fn successor_does_not_order_recently_ordered_vms() {
    let names = |vms: &[&str]| vms.iter().map(|vm| (*vm).to_owned()).collect::<Vec<String>>();
    let mut first = VmHandover::new(3_000, 0);
    assert!(first.reserved_vms(TimeMs(0)).is_empty());
    first.record_orders(TimeMs(0), names(&["a"]));
    let stored = first.record_orders(TimeMs(2_000), names(&["b"]));
    assert_eq!(stored, ["a", "b"]);
    assert_eq!(
        first.record_orders(TimeMs(3_500), names(&["c"])),
        ["b", "c"],
        "the order for a has expired"
    );
    assert!(first.reserved_vms(TimeMs(3_500)).is_empty(), "an owner may order its own VMs again");
    let mut second = VmHandover::new(3_000, 0);
    second.inherit(TimeMs(100), names(&["b", "c"]));
    assert_eq!(second.reserved_vms(TimeMs(3_000)).len(), 2);
    // A third owner learns of the orders of both.
    assert_eq!(second.record_orders(TimeMs(3_000), names(&["d"])), ["b", "c", "d"]);
    assert!(second.reserved_vms(TimeMs(3_100)).is_empty());
    let open = vec![OpenMaintenance { vm: "a".to_owned(), wave: 3 }];
    let record = VmOrders { vms: names(&["b", "c"]), open };
    assert_eq!(VmOrders::decode(&record.encode()), Ok(record));
}

/// An order may be sent some time after the store has the name of its VM. A successor
/// must not order the VM too soon after the sending.
#[test]
fn successor_counts_the_delay_of_orders() {
    let mut first = VmHandover::new(3_000, 1_000);
    first.record_orders(TimeMs(0), ["a".to_owned()]);
    assert_eq!(first.record_orders(TimeMs(3_999), ["b".to_owned()]), ["a", "b"]);
    assert_eq!(first.record_orders(TimeMs(4_000), ["c".to_owned()]), ["b", "c"]);
    let mut second = VmHandover::new(3_000, 1_000);
    second.inherit(TimeMs(0), vec!["a".to_owned()]);
    assert_eq!(second.reserved_vms(TimeMs(2_999)).len(), 1);
    assert!(second.reserved_vms(TimeMs(3_000)).is_empty(), "no order of the first is sent later");
}

/// A data centre is out of service during a demand peak. Its VMs are of no use
/// to any pool, and idle ones cost less on standby.
#[test]
fn vms_of_an_out_of_service_data_centre_move_to_standby() {
    let mut pools = Pools::new(&[("a", 6), ("standby", 8)]);
    pools.owner.set_data_centre_out("odd", true);
    pools.submit(1, "a", vec![step(200, cores(1))]);
    let mut targets = move_targets(&pools.advance(100));
    targets.sort();
    let to = |vm: &str, pool: &str| (vm.to_owned(), pool.to_owned());
    let expected = [
        to("vm-a1", "standby"),
        to("vm-a3", "standby"),
        to("vm-a5", "standby"),
        to("vm-standby0", "a"),
        to("vm-standby2", "a"),
        to("vm-standby4", "a"),
        to("vm-standby6", "a"),
    ];
    assert_eq!(targets, expected);
}

/// Another writer left registry entries with the largest possible numbers.
#[test]
fn sizes_beyond_all_bounds_do_not_overflow() {
    let mut pools = Pools::new(&[("a", 3), ("standby", 2)]);
    for name in ["odd1", "odd2", "odd3"] {
        let entry = WorkerEntry {
            name: name.to_owned(),
            pool: "a".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "odd".to_owned(),
            rack: None,
            capacity: Resources {
                cpu_milli: u64::MAX,
                memory_bytes: u64::MAX,
                accelerators: u32::MAX,
            },
            labels: BTreeSet::new(),
            is_draining: false,
            started_unix_ms: Some(1),
        };
        pools.owner.worker_listed(&mut pools.catalog, &entry);
    }
    let huge = Resources { cpu_milli: u64::MAX, memory_bytes: 1, accelerators: 0 };
    pools.submit(1, "a", vec![StepSpec { estimate_ms: u64::MAX, ..step(9, huge) }]);
    pools.submit(2, "a", vec![StepSpec { estimate_ms: u64::MAX, ..step(9, huge) }]);
    pools.submit(3, "b", vec![step(40, cores(1))]);
    pools.advance(2_000);
}
