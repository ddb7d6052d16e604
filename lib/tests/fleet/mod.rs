//! A simulated fleet on one log, for tests in which planners race, replies are
//! lost and VMs do not come back from a reboot.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::budget;
use cowslipport_lib::config::Budget;
use cowslipport_lib::config::BudgetScope;
use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::config::WaveSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::drain::SessionReport;
use cowslipport_lib::drain::WorkerTasks;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::operation::VmReport;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::record::VmStep;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Runs `cases` cases with a fixed seed. The variable `PROPTEST_CASES`
/// overrides the number of cases.
pub(crate) fn proptest_config(cases: u32) -> Config {
    let has_case_override = std::env::var_os("PROPTEST_CASES").is_some();
    let default = Config::default();
    Config {
        cases: if has_case_override { default.cases } else { cases },
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..default
    }
}

/// The control state of one log, and the VMs that it describes.
pub(crate) struct Fleet {
    pub(crate) state: ControlState,
    pub(crate) now: TimeMs,
    /// VMs that never come back from a reboot.
    pub(crate) failing_reboots: BTreeSet<VmId>,
    /// VMs that go down some time after they came back from a reboot.
    pub(crate) failing_after_reboot: BTreeSet<VmId>,
    /// Requests in flight to each VM. They end one by one while the VM has an
    /// operation.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// The last reboot of each VM that the platform began, and when.
    pub(crate) current_reboots: BTreeMap<VmId, (OperationId, TimeMs)>,
    /// Number of reboots of each VM that the platform began.
    pub(crate) reboot_counts: BTreeMap<VmId, u32>,
    sequence: u64,
}

pub(crate) const REBOOT_MS: u64 = 20_000;
pub(crate) const SOAK_MS: u64 = 10_000;

pub(crate) fn pool(name: &str, spare: bool, min_vms: u32, max_vms: u32) -> ConfigChange {
    ConfigChange::PutPool(PoolSpec {
        name: name.to_owned(),
        slots_per_vm: 8,
        min_vms,
        max_vms,
        spare,
        on_data_centre_out: DataCentreOutPolicy::Finish,
        drain_timeout_ms: 30_000,
    })
}

pub(crate) fn wave(
    name: &str,
    pools: &[&str],
    initial_width: u32,
    max_failed: u32,
) -> ConfigChange {
    ConfigChange::PutWave(WaveSpec {
        name: name.to_owned(),
        pools: pools.iter().map(|pool| (*pool).to_owned()).collect(),
        initial_width,
        max_width: 8,
        max_failed,
        soak_ms: SOAK_MS,
        reboot_timeout_ms: 60_000,
    })
}

impl Fleet {
    /// Creates the pools `p0`, `p1`, … and `spare` with VMs in three data
    /// centres, four VMs in each rack, and two sessions.
    pub(crate) fn new(pools: u32, vms: u32, budgets: &[Budget]) -> Self {
        let mut fleet = Self {
            state: ControlState::default(),
            now: TimeMs(1000),
            failing_reboots: BTreeSet::new(),
            failing_after_reboot: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            current_reboots: BTreeMap::new(),
            reboot_counts: BTreeMap::new(),
            sequence: 0,
        };
        let mut changes: Vec<ConfigChange> = (0..3)
            .map(|index| DataCentreSpec { name: format!("dc{index}"), region: "south".to_owned() })
            .map(ConfigChange::PutDataCentre)
            .collect();
        for index in 0..pools {
            let name = format!("p{index}");
            changes.push(pool(&name, false, 2, 50));
            changes.push(ConfigChange::PutBudgets { pool: name, budgets: budgets.to_vec() });
        }
        changes.push(pool("spare", true, 0, 50));
        fleet.commit(changes);
        let join = |index: u32| {
            VmObservation::Joined(
                VmJoined {
                    name: format!("vm-{index}"),
                    data_centre: format!("dc{}", index / 4 % 3),
                    rack: format!("r{}", index / 4),
                    pool: match index % (pools + 1) {
                        spare if spare == pools => "spare".to_owned(),
                        pool => format!("p{pool}"),
                    },
                    worker_address: "127.0.0.1:2".to_owned(),
                    upstream_address: String::new(),
                    capacity: Resources::ZERO,
                }
                .into(),
            )
        };
        fleet.apply_valid(RecordBody::VmBatch((0..vms).map(join).collect()));
        for session in [11, 12] {
            fleet.apply_valid(RecordBody::SessionOpen(SessionOpen {
                session: SessionId(session),
                name: format!("entry-{session}"),
                data_centre: "dc0".to_owned(),
                peer_address: "127.0.0.1:1".to_owned(),
                lease_ms: 6000,
            }));
            fleet.renew_sessions();
        }
        fleet
    }

    /// Renews every session with the offset of the next record, as a change of
    /// the members requires that all members have applied all records.
    fn renew_sessions(&mut self) {
        let next_offset = self.state.next_offset;
        let members: Vec<SessionId> = self.state.sessions.keys().copied().collect();
        for session in members {
            self.apply_valid(RecordBody::SessionRenew { session, renewal: 1, next_offset });
        }
    }

    pub(crate) fn commit(&mut self, changes: Vec<ConfigChange>) {
        let expected_revision = self.state.revision;
        let author = "ana".to_owned();
        self.apply_valid(RecordBody::ConfigCommit(ConfigCommit {
            expected_revision,
            author,
            changes,
        }));
    }

    pub(crate) fn next_id(&mut self) -> RecordId {
        self.sequence += 1;
        RecordId { writer: 1, sequence: self.sequence }
    }

    pub(crate) fn apply_valid(&mut self, body: RecordBody) {
        let id = self.next_id();
        let outcome = self.append(&ControlRecord { id, body });
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
    }

    pub(crate) fn set_data_centre(&mut self, data_centre: &str, in_service: bool) {
        let data_centre = data_centre.to_owned();
        let author = "ana".to_owned();
        self.apply_valid(RecordBody::DataCentreSet { data_centre, in_service, author });
    }

    pub(crate) fn set_health(&mut self, vm: VmId, health: Health) {
        self.apply_valid(RecordBody::VmBatch(vec![VmObservation::Health { vm, health }]));
    }

    /// Appends a record and asserts the invariants at its offset.
    pub(crate) fn append(&mut self, record: &ControlRecord) -> Outcome {
        let pools: BTreeMap<VmId, PoolId> =
            self.state.vms.iter().map(|(id, vm)| (id, vm.pool)).collect();
        let outcome = self.state.apply(self.state.next_offset, record);
        if let (RecordBody::DrainBegin { vm, .. }, Outcome::Applied(_)) = (&record.body, &outcome) {
            self.assert_budgets(*vm);
        }
        let mut moved = None;
        if let RecordBody::VmOperation { vm, step: VmStep::Move, .. } = &record.body {
            moved = Some(*vm);
        }
        for (id, vm) in self.state.vms.iter() {
            assert!(self.state.pools.get(vm.pool).is_some(), "VM {id} is in no pool");
            let stays = pools.get(&id).is_none_or(|pool| *pool == vm.pool);
            assert!(stays || moved == Some(id), "VM {id} changed its pool without a move");
        }
        outcome
    }

    fn assert_budgets(&self, vm: VmId) {
        let vm = self.state.vms.get(vm).expect("the drained VM exists");
        for budget in &self.state.pools.get(vm.pool).expect("the VM has a pool").budgets {
            if self.state.data_centre_in_service(vm) && vm.health == Health::Up {
                let unavailable = budget::unavailable_in_domain(&self.state, vm, budget.scope);
                assert!(unavailable <= budget.max_unavailable, "{budget:?}: {unavailable}");
            }
        }
    }

    /// Appends the records that one planner proposes. If the replies are lost,
    /// each record is appended again with the same id.
    pub(crate) fn append_all(&mut self, bodies: Vec<RecordBody>, reply_lost: bool) {
        for body in bodies {
            let record = ControlRecord { id: self.next_id(), body };
            self.append(&record);
            if reply_lost {
                let second_outcome = self.append(&record);
                assert_eq!(second_outcome, Outcome::Void(VoidReason::Duplicate));
            }
        }
    }

    /// Begins the reboot of a VM, once for each operation.
    pub(crate) fn platform_reboot(&mut self, vm: VmId, operation: OperationId) {
        let in_flight = self.in_flight.get(&vm).copied().unwrap_or_default();
        assert_eq!(in_flight, 0, "the reboot of VM {vm} interrupts requests");
        if self.current_reboots.get(&vm).is_some_and(|(current, _)| *current == operation) {
            return;
        }
        self.current_reboots.insert(vm, (operation, self.now));
        *self.reboot_counts.entry(vm).or_default() += 1;
    }

    /// Advances the clock by one second. Each VM with an operation ends one
    /// request, and VMs that fail after their reboot go down when it is time.
    pub(crate) fn tick(&mut self) {
        self.now = self.now.plus(1000);
        for (vm, count) in &mut self.in_flight {
            if self.state.vms.get(*vm).is_some_and(|vm| vm.operation.is_some()) {
                *count = count.saturating_sub(1);
            }
        }
        let failing: Vec<VmId> = self
            .failing_after_reboot
            .iter()
            .copied()
            .filter(|vm| {
                self.current_reboots.get(vm).is_some_and(|(_, at)| self.is_back(*at, 3000))
            })
            .collect();
        for vm in failing {
            self.failing_after_reboot.remove(&vm);
            self.set_health(vm, Health::Down);
        }
    }

    fn is_back(&self, begun: TimeMs, after_ms: u64) -> bool {
        self.now.since(begun) >= REBOOT_MS + after_ms
    }

    /// Reports of all processes about VMs that have an operation.
    pub(crate) fn reports(&self) -> BTreeMap<VmId, VmReport> {
        let mut reports = BTreeMap::new();
        for (id, vm) in self.state.vms.iter() {
            let Some(operation) = vm.operation else { continue };
            let mut report = VmReport::default();
            let in_flight = self.in_flight.get(&id).copied().unwrap_or_default();
            for (index, session) in self.state.sessions.keys().enumerate() {
                let in_flight = if index == 0 { in_flight } else { 0 };
                let applied = self.state.next_offset;
                let session_report = SessionReport { applied, in_flight, stale: false };
                report.drain.sessions.insert(*session, session_report);
            }
            report.drain.tasks = WorkerTasks::Running(0);
            if let Some((rebooted, begun)) = self.current_reboots.get(&id)
                && *rebooted == operation.id
                && operation.phase == OperationPhase::Rebooting
                && self.is_back(*begun, 0)
                && !self.failing_reboots.contains(&id)
            {
                report.healthy_since = Some(self.now);
            }
            reports.insert(id, report);
        }
        reports
    }
}

/// Budgets of `pool` VMs in the whole pool, `data_centre` VMs in each data
/// centre and one VM in each rack.
pub(crate) fn budgets(pool: u32, data_centre: u32) -> Vec<Budget> {
    vec![
        Budget { scope: BudgetScope::Pool, max_unavailable: pool },
        Budget { scope: BudgetScope::DataCentre, max_unavailable: data_centre },
        Budget { scope: BudgetScope::Rack, max_unavailable: 1 },
    ]
}
