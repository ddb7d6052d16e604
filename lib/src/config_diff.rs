//! Describes the differences between two manifests and their effects as text for
//! operators.

use crate::config::Budget;
use crate::config::BudgetScope;
use crate::config::ConfigChange;
use crate::config::DataCentreOutPolicy;
use crate::config::DataCentreSpec;
use crate::config::Manifest;
use crate::config::OrganisationSpec;
use crate::config::Policy;
use crate::config::PoolSpec;
use crate::config::WaveSpec;

impl Manifest {
    /// Describes the differences from `self` to `next`, one a line. A line that
    /// begins with `effect:` says what the difference before it does to running
    /// work.
    pub fn differences_to(&self, next: &Self) -> Vec<String> {
        let mut lines = Vec::new();
        for change in self.changes_to(next) {
            describe_change(self, &change, &mut lines);
        }
        lines
    }
}

fn describe_change(old: &Manifest, change: &ConfigChange, lines: &mut Vec<String>) {
    match change {
        ConfigChange::PutDataCentre(spec) => {
            let (subject, previous) = ("data centre", old.data_centres.get(&spec.name));
            describe_fields(
                subject,
                &spec.name,
                previous.map(data_centre),
                data_centre(spec),
                lines,
            );
        }
        ConfigChange::RemoveDataCentre(name) => {
            lines.push(format!("data centre {name}: removed"));
            lines.push("effect: refused as long as a VM is in the data centre".to_owned());
        }
        ConfigChange::PutPool(spec) => {
            describe_fields(
                "pool",
                &spec.name,
                old.pools.get(&spec.name).map(pool),
                pool(spec),
                lines,
            );
        }
        ConfigChange::RemovePool(name) => {
            lines.push(format!("pool {name}: removed"));
            lines.push("effect: refused as long as a VM is in the pool".to_owned());
        }
        ConfigChange::PutOrganisation(spec) => {
            describe_organisation(old.organisations.get(&spec.name), spec, lines)
        }
        ConfigChange::RemoveOrganisation(name) => {
            lines.push(format!("organisation {name}: removed"));
            lines.push("effect: its keys stop working and its tasks are stopped".to_owned());
        }
        ConfigChange::PutBudgets { pool, budgets: next } => {
            let previous = old.budgets.get(pool).map(|previous| budgets(previous));
            describe_fields("budgets of pool", pool, previous, budgets(next), lines);
        }
        ConfigChange::PutWave(spec) => {
            let previous = old.waves.get(&spec.name);
            describe_fields("wave", &spec.name, previous.map(wave), wave(spec), lines);
            if previous.is_none() {
                lines.push(format!("effect: VMs of {} begin to reboot", spec.pools.join(", ")));
            }
        }
        ConfigChange::RemoveWave(name) => {
            lines.push(format!("wave {name}: removed"));
            lines.push("effect: no further VM is drained for it".to_owned());
        }
        ConfigChange::PutPolicy(next) => {
            describe_fields("policy", "", Some(policy(&old.policy)), policy(next), lines);
        }
    }
}

fn describe_organisation(
    old: Option<&OrganisationSpec>,
    next: &OrganisationSpec,
    lines: &mut Vec<String>,
) {
    describe_fields("organisation", &next.name, old.map(organisation), organisation(next), lines);
    let Some(old) = old else { return };
    for key in &old.keys {
        if !next.keys.iter().any(|other| other.sha256 == key.sha256) {
            lines.push(format!("organisation {}: key {} is withdrawn", next.name, key.name));
            lines.push(
                "effect: calls with the key are refused and its queued jobs are cancelled"
                    .to_owned(),
            );
        }
    }
    for key in &next.keys {
        if !old.keys.iter().any(|other| other.sha256 == key.sha256) {
            lines.push(format!("organisation {}: key {} is granted", next.name, key.name));
        }
    }
    if !old.limit.fits_in(next.limit) {
        lines.push("effect: tasks above the new limit are stopped".to_owned());
    }
}

/// Keys and values of an entity, in the order in which they are described.
type Fields = Vec<(&'static str, String)>;

fn describe_fields(
    subject: &str,
    name: &str,
    old: Option<Fields>,
    new: Fields,
    lines: &mut Vec<String>,
) {
    let subject = if name.is_empty() { subject.to_owned() } else { format!("{subject} {name}") };
    let Some(old) = old else {
        let fields: Vec<String> =
            new.into_iter().map(|(key, value)| format!("{key} = {value}")).collect();
        lines.push(format!("{subject}: added, {}", fields.join(", ")));
        return;
    };
    let value_of = |fields: &Fields, key: &str| {
        let found = fields.iter().find(|(other, _)| *other == key);
        found.map_or_else(|| "none".to_owned(), |(_, value)| value.clone())
    };
    let mut keys: Vec<&str> = old.iter().map(|(key, _)| *key).collect();
    keys.extend(new.iter().map(|(key, _)| *key).filter(|key| value_of(&old, key) == "none"));
    for key in keys {
        let (before, after) = (value_of(&old, key), value_of(&new, key));
        if before != after {
            lines.push(format!("{subject}: {key} from {before} to {after}"));
        }
    }
}

fn data_centre(spec: &DataCentreSpec) -> Fields {
    vec![("region", spec.region.clone())]
}

fn pool(spec: &PoolSpec) -> Fields {
    let on_data_centre_out = match spec.on_data_centre_out {
        DataCentreOutPolicy::Finish => "finish",
        DataCentreOutPolicy::Checkpoint => "checkpoint",
    };
    vec![
        ("slots_per_vm", spec.slots_per_vm.to_string()),
        ("min_vms", spec.min_vms.to_string()),
        ("max_vms", spec.max_vms.to_string()),
        ("spare", spec.spare.to_string()),
        ("on_data_centre_out", on_data_centre_out.to_owned()),
        ("drain_timeout_ms", spec.drain_timeout_ms.to_string()),
    ]
}

fn organisation(spec: &OrganisationSpec) -> Fields {
    vec![
        ("share_milli", spec.share_milli.to_string()),
        ("limit_cpu_milli", spec.limit.cpu_milli.to_string()),
        ("limit_memory_bytes", spec.limit.memory_bytes.to_string()),
        ("limit_accelerators", spec.limit.accelerators.to_string()),
    ]
}

fn budgets(budgets: &[Budget]) -> Fields {
    let field = |budget: &Budget| {
        let scope = match budget.scope {
            BudgetScope::Pool => "pool",
            BudgetScope::DataCentre => "data_centre",
            BudgetScope::Rack => "rack",
        };
        (scope, budget.max_unavailable.to_string())
    };
    budgets.iter().map(field).collect()
}

fn wave(spec: &WaveSpec) -> Fields {
    vec![
        ("pools", spec.pools.join(" ")),
        ("initial_width", spec.initial_width.to_string()),
        ("max_width", spec.max_width.to_string()),
        ("max_failed", spec.max_failed.to_string()),
        ("soak_ms", spec.soak_ms.to_string()),
        ("reboot_timeout_ms", spec.reboot_timeout_ms.to_string()),
    ]
}

fn policy(policy: &Policy) -> Fields {
    vec![
        ("weight_share_milli", policy.weight_share_milli.to_string()),
        ("weight_data_centre_work_milli", policy.weight_data_centre_work_milli.to_string()),
        ("weight_buffer_milli", policy.weight_buffer_milli.to_string()),
        ("weight_moves_milli", policy.weight_moves_milli.to_string()),
        ("weight_roll_out_milli", policy.weight_roll_out_milli.to_string()),
        ("idempotency_window_ms", policy.idempotency_window_ms.to_string()),
    ]
}
