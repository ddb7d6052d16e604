//! Validated configuration of a fleet. Entities refer to each other by name.

use std::collections::BTreeMap;

use crate::ids::Revision;
use crate::resources::Resources;

/// A validated manifest. Each table is ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Data centres by name.
    pub data_centres: BTreeMap<String, DataCentreSpec>,
    /// Pools by name.
    pub pools: BTreeMap<String, PoolSpec>,
    /// Organisations by name.
    pub organisations: BTreeMap<String, OrganisationSpec>,
    /// Budgets by the pool that they protect.
    pub budgets: BTreeMap<String, Vec<Budget>>,
    /// Waves by name.
    pub waves: BTreeMap<String, WaveSpec>,
    /// Weights of the optimisation goals, and the idempotency window.
    pub policy: Policy,
}

/// A data centre of the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Unique name.
    pub name: String,
    /// Region of the data centre.
    pub region: String,
}

/// What happens to running tasks when their data centre is taken out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataCentreOutPolicy {
    /// Tasks run to completion.
    Finish,
    /// Tasks are checkpointed and started again in another data centre.
    Checkpoint,
}

/// A pool of the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// Unique name.
    pub name: String,
    /// Number of requests that one upstream instance serves concurrently.
    pub slots_per_vm: u32,
    /// Minimum number of VMs that remain in the pool after a move.
    pub min_vms: u32,
    /// Maximum number of VMs in the pool after a move.
    pub max_vms: u32,
    /// True for the pool of spare VMs.
    pub spare: bool,
    /// What happens to running tasks when their data centre is taken out of service.
    pub on_data_centre_out: DataCentreOutPolicy,
    /// Maximum time that a drain waits for requests and tasks to end.
    pub drain_timeout_ms: u64,
}

/// An organisation of the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Unique name.
    pub name: String,
    /// Weight of the organisation when demand exceeds capacity, in thousandths.
    pub share_milli: u32,
    /// Upper limit on the resources of running tasks across the fleet.
    pub limit: Resources,
    /// Keys that authenticate calls of the organisation.
    pub keys: Vec<OrganisationKey>,
}

/// A key of an organisation, stored as a hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationKey {
    /// Name of the key, unique within the organisation.
    pub name: String,
    /// SHA-256 of the key.
    pub sha256: [u8; 32],
}

/// Failure domain over which a budget counts VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BudgetScope {
    /// The whole pool.
    Pool,
    /// Each data centre separately.
    DataCentre,
    /// Each rack separately.
    Rack,
}

/// An upper limit on the VMs of a pool that are unavailable at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Failure domain over which VMs are counted.
    pub scope: BudgetScope,
    /// Maximum number of unavailable VMs in one domain.
    pub max_unavailable: u32,
}

/// A maintenance wave of the manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveSpec {
    /// Unique name.
    pub name: String,
    /// Pools whose VMs are maintained.
    pub pools: Vec<String>,
    /// Number of VMs in the first step.
    pub initial_width: u32,
    /// Maximum number of VMs in a step.
    pub max_width: u32,
    /// Number of failed VMs in one step that halts the wave.
    pub max_failed: u32,
    /// Time that a VM must stay healthy after its reboot.
    pub soak_ms: u64,
    /// Time after which a VM that has not come back from its reboot counts as
    /// failed.
    pub reboot_timeout_ms: u64,
}

/// Weights of the optimisation goals, and the idempotency window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Weight of organisation shares, in thousandths.
    pub weight_share_milli: u32,
    /// Weight of work that is done during a change of a data centre, in
    /// thousandths.
    pub weight_data_centre_work_milli: u32,
    /// Weight of the cost of buffer VMs, in thousandths.
    pub weight_buffer_milli: u32,
    /// Weight of the number of moves, in thousandths.
    pub weight_moves_milli: u32,
    /// Weight of roll-out time, in thousandths.
    pub weight_roll_out_milli: u32,
    /// Time for which an idempotency key is remembered.
    pub idempotency_window_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            weight_share_milli: 1000,
            weight_data_centre_work_milli: 1000,
            weight_buffer_milli: 1000,
            weight_moves_milli: 1000,
            weight_roll_out_milli: 1000,
            idempotency_window_ms: 120_000,
        }
    }
}

/// A change of one entity of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Adds or changes a data centre.
    PutDataCentre(DataCentreSpec),
    /// Removes a data centre, which must have no VMs.
    RemoveDataCentre(String),
    /// Adds or changes a pool.
    PutPool(PoolSpec),
    /// Removes a pool, which must have no VMs.
    RemovePool(String),
    /// Adds or changes an organisation.
    PutOrganisation(OrganisationSpec),
    /// Removes an organisation. Its limit is zero from then on.
    RemoveOrganisation(String),
    /// Replaces all budgets of a pool.
    PutBudgets {
        /// Name of the pool.
        pool: String,
        /// The budgets.
        budgets: Vec<Budget>,
    },
    /// Adds or changes a wave.
    PutWave(WaveSpec),
    /// Removes a wave.
    RemoveWave(String),
    /// Replaces the policy.
    PutPolicy(Policy),
}

/// Changes of the configuration that are based on a given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigCommit {
    /// Revision on which the changes are based.
    pub expected_revision: Revision,
    /// Name of the operator who commits.
    pub author: String,
    /// Changes, in an order in which each can be applied.
    pub changes: Vec<ConfigChange>,
}

impl Manifest {
    /// Returns the changes that turn `self` into `next`. Entities are added
    /// before those that refer to them, and removed after them.
    pub fn changes_to(&self, next: &Self) -> Vec<ConfigChange> {
        let mut changes = Vec::new();
        put_changed(
            &self.data_centres,
            &next.data_centres,
            ConfigChange::PutDataCentre,
            &mut changes,
        );
        put_changed(&self.pools, &next.pools, ConfigChange::PutPool, &mut changes);
        self.budget_changes(next, &mut changes);
        put_changed(
            &self.organisations,
            &next.organisations,
            ConfigChange::PutOrganisation,
            &mut changes,
        );
        put_changed(&self.waves, &next.waves, ConfigChange::PutWave, &mut changes);
        if self.policy != next.policy {
            changes.push(ConfigChange::PutPolicy(next.policy));
        }
        remove_missing(&self.waves, &next.waves, ConfigChange::RemoveWave, &mut changes);
        remove_missing(
            &self.organisations,
            &next.organisations,
            ConfigChange::RemoveOrganisation,
            &mut changes,
        );
        remove_missing(&self.pools, &next.pools, ConfigChange::RemovePool, &mut changes);
        remove_missing(
            &self.data_centres,
            &next.data_centres,
            ConfigChange::RemoveDataCentre,
            &mut changes,
        );
        changes
    }

    fn budget_changes(&self, next: &Self, changes: &mut Vec<ConfigChange>) {
        for pool in next.pools.keys() {
            let new = next.budgets.get(pool).cloned().unwrap_or_default();
            let old = self.budgets.get(pool).cloned().unwrap_or_default();
            if new != old {
                changes.push(ConfigChange::PutBudgets { pool: pool.clone(), budgets: new });
            }
        }
    }
}

fn put_changed<T, F>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    put: F,
    changes: &mut Vec<ConfigChange>,
) where
    T: Clone + PartialEq,
    F: Fn(T) -> ConfigChange,
{
    for (name, spec) in new {
        if old.get(name) != Some(spec) {
            changes.push(put(spec.clone()));
        }
    }
}

fn remove_missing<T, F>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    remove: F,
    changes: &mut Vec<ConfigChange>,
) where
    F: Fn(String) -> ConfigChange,
{
    for name in old.keys() {
        if !new.contains_key(name) {
            changes.push(remove(name.clone()));
        }
    }
}
