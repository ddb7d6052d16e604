//! Conversion of manifests from the validated to the generated types.

use crate::config::Budget;
use crate::config::BudgetScope;
use crate::config::DataCentreOutPolicy;
use crate::config::DataCentreSpec;
use crate::config::Manifest;
use crate::config::OrganisationKey;
use crate::config::OrganisationSpec;
use crate::config::Policy;
use crate::config::PoolSpec;
use crate::config::WaveSpec;
use crate::protos::config as raw;

impl From<&Manifest> for raw::Manifest {
    fn from(manifest: &Manifest) -> Self {
        Self {
            data_centre: manifest.data_centres.values().map(Into::into).collect(),
            pool: manifest.pools.values().map(Into::into).collect(),
            organisation: manifest.organisations.values().map(Into::into).collect(),
            budget: manifest
                .budgets
                .iter()
                .flat_map(|(pool, budgets)| budgets_to_raw(pool, budgets))
                .collect(),
            wave: manifest.waves.values().map(Into::into).collect(),
            policy: Some((&manifest.policy).into()),
        }
    }
}

impl From<&DataCentreSpec> for raw::DataCentre {
    fn from(spec: &DataCentreSpec) -> Self {
        Self { name: Some(spec.name.clone()), region: Some(spec.region.clone()) }
    }
}

impl From<&PoolSpec> for raw::Pool {
    fn from(spec: &PoolSpec) -> Self {
        let on_data_centre_out = match spec.on_data_centre_out {
            DataCentreOutPolicy::Finish => "finish",
            DataCentreOutPolicy::Checkpoint => "checkpoint",
        };
        Self {
            name: Some(spec.name.clone()),
            slots_per_vm: Some(spec.slots_per_vm),
            min_vms: Some(spec.min_vms),
            max_vms: Some(spec.max_vms),
            spare: Some(spec.spare),
            on_data_centre_out: Some(on_data_centre_out.to_owned()),
            drain_timeout_ms: Some(spec.drain_timeout_ms),
        }
    }
}

impl From<&OrganisationSpec> for raw::Organisation {
    fn from(spec: &OrganisationSpec) -> Self {
        let key = |key: &OrganisationKey| raw::OrganisationKey {
            name: Some(key.name.clone()),
            sha256: Some(key.sha256.iter().map(|byte| format!("{byte:02x}")).collect()),
        };
        Self {
            name: Some(spec.name.clone()),
            share_milli: Some(spec.share_milli),
            limit_cpu_milli: Some(spec.limit.cpu_milli),
            limit_memory_bytes: Some(spec.limit.memory_bytes),
            limit_accelerators: Some(spec.limit.accelerators),
            key: spec.keys.iter().map(key).collect(),
        }
    }
}

pub(crate) fn budgets_to_raw(pool: &str, budgets: &[Budget]) -> Vec<raw::Budget> {
    let budget = |budget: &Budget| {
        let scope = match budget.scope {
            BudgetScope::Pool => "pool",
            BudgetScope::DataCentre => "data_centre",
            BudgetScope::Rack => "rack",
        };
        raw::Budget {
            pool: Some(pool.to_owned()),
            scope: Some(scope.to_owned()),
            max_unavailable: Some(budget.max_unavailable),
        }
    };
    budgets.iter().map(budget).collect()
}

impl From<&WaveSpec> for raw::Wave {
    fn from(spec: &WaveSpec) -> Self {
        Self {
            name: Some(spec.name.clone()),
            pools: spec.pools.clone(),
            initial_width: Some(spec.initial_width),
            max_width: Some(spec.max_width),
            max_failed: Some(spec.max_failed),
            soak_ms: Some(spec.soak_ms),
            reboot_timeout_ms: Some(spec.reboot_timeout_ms),
        }
    }
}

impl From<&Policy> for raw::Policy {
    fn from(policy: &Policy) -> Self {
        Self {
            weight_share_milli: Some(policy.weight_share_milli),
            weight_data_centre_work_milli: Some(policy.weight_data_centre_work_milli),
            weight_buffer_milli: Some(policy.weight_buffer_milli),
            weight_moves_milli: Some(policy.weight_moves_milli),
            weight_roll_out_milli: Some(policy.weight_roll_out_milli),
            idempotency_window_ms: Some(policy.idempotency_window_ms),
        }
    }
}
