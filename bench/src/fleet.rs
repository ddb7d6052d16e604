//! A control state to which the simulations apply records.

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
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::resources::Resources;

use crate::profile::Profile;

/// A fleet whose records are on one log.
pub(crate) struct Fleet {
    pub(crate) state: ControlState,
    /// Drains that exceeded a budget.
    pub(crate) violations: u32,
    sequence: u64,
}

impl Fleet {
    /// Creates a pool for each service and the spare pool, and assigns the VMs to
    /// them in turn.
    pub(crate) fn new(profile: &Profile) -> Self {
        let mut fleet = Self { state: ControlState::default(), violations: 0, sequence: 0 };
        let mut changes = vec![ConfigChange::PutPolicy(profile.policy)];
        for index in 0..profile.data_centres {
            let name = format!("dc{index}");
            let region = "south".to_owned();
            changes.push(ConfigChange::PutDataCentre(DataCentreSpec { name, region }));
        }
        for index in 0..=profile.services {
            let spare = index == profile.services;
            let name = pool_name(profile, index);
            changes.push(ConfigChange::PutPool(PoolSpec {
                name: name.clone(),
                slots_per_vm: profile.slots_per_vm,
                min_vms: if spare { 0 } else { 3 },
                max_vms: profile.vms,
                spare,
                on_data_centre_out: DataCentreOutPolicy::Checkpoint,
                drain_timeout_ms: 120_000,
            }));
            changes.push(ConfigChange::PutBudgets { pool: name, budgets: budgets(profile) });
        }
        fleet.commit(changes);
        let join = |index: u32| {
            let rack = index / 4;
            // VMs that remain after an equal split go to the spare pool.
            let pools = profile.services + 1;
            let evenly_split = profile.vms / pools * pools;
            let pool = if index < evenly_split { index % pools } else { profile.services };
            VmObservation::Joined(
                VmJoined {
                    name: format!("vm-{index}"),
                    data_centre: format!("dc{}", rack % profile.data_centres),
                    rack: format!("r{rack}"),
                    pool: pool_name(profile, pool),
                    worker_address: String::new(),
                    upstream_address: String::new(),
                    capacity: Resources::ZERO,
                }
                .into(),
            )
        };
        fleet.append(RecordBody::VmBatch((0..profile.vms).map(join).collect()));
        fleet
    }

    pub(crate) fn begin_wave(&mut self, profile: &Profile) {
        self.commit(vec![ConfigChange::PutWave(WaveSpec {
            name: "wave".to_owned(),
            pools: (0..=profile.services).map(|index| pool_name(profile, index)).collect(),
            initial_width: profile.initial_width,
            max_width: profile.max_width,
            max_failed: profile.max_failed,
            soak_ms: profile.soak_ms,
            reboot_timeout_ms: profile.reboot_timeout_ms,
        })]);
    }

    pub(crate) fn set_health(&mut self, vm: VmId, health: Health) {
        self.append(RecordBody::VmBatch(vec![VmObservation::Health { vm, health }]));
    }

    /// Appends a record and applies it; returns whether it took effect.
    pub(crate) fn append(&mut self, body: RecordBody) -> bool {
        self.sequence += 1;
        let id = RecordId { writer: 1, sequence: self.sequence };
        let record = ControlRecord { id, body };
        let applied = match self.state.apply(self.state.next_offset, &record) {
            Outcome::Applied(_) => true,
            Outcome::Void(_) => false,
        };
        if let RecordBody::DrainBegin { vm, .. } = record.body
            && applied
        {
            self.violations += u32::from(self.exceeds_budget(vm));
        }
        applied
    }

    pub(crate) fn pool(&self, profile: &Profile, index: u32) -> PoolId {
        self.state.pool_by_name(&pool_name(profile, index)).expect("the pool was committed")
    }

    fn commit(&mut self, changes: Vec<ConfigChange>) {
        let expected_revision = self.state.revision;
        let author = "bench".to_owned();
        let commit = ConfigCommit { expected_revision, author, changes };
        assert!(self.append(RecordBody::ConfigCommit(commit)), "the commit is valid");
    }

    fn exceeds_budget(&self, vm: VmId) -> bool {
        let Some(vm) = self.state.vms.get(vm) else { return false };
        let Some(pool) = self.state.pools.get(vm.pool) else { return false };
        pool.budgets.iter().any(|budget| {
            budget::unavailable_in_domain(&self.state, vm, budget.scope) > budget.max_unavailable
        })
    }
}

fn pool_name(profile: &Profile, index: u32) -> String {
    if index == profile.services { "spare".to_owned() } else { format!("service{index}") }
}

fn budgets(profile: &Profile) -> Vec<Budget> {
    vec![
        Budget { scope: BudgetScope::Pool, max_unavailable: profile.pool_budget },
        Budget { scope: BudgetScope::DataCentre, max_unavailable: profile.data_centre_budget },
        Budget { scope: BudgetScope::Rack, max_unavailable: 1 },
    ]
}
