//! Conversion of manifests between the generated and the checked types.

use std::collections::BTreeMap;

use crate::config::Budget;
use crate::config::BudgetScope;
use crate::config::DataCentreOutPolicy;
use crate::config::DataCentreSpec;
use crate::config::Manifest;
use crate::config::Policy;
use crate::config::PoolSpec;
use crate::config::TeamKey;
use crate::config::TeamSpec;
use crate::config::WaveSpec;
use crate::findings::Findings;
use crate::protos::config as raw;
use crate::resources::Resources;

const MAX_NAME_BYTES: usize = 63;

impl TryFrom<&raw::Manifest> for Manifest {
    type Error = Findings;

    fn try_from(raw: &raw::Manifest) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut manifest = Self { policy: policy(raw.policy.as_ref()), ..Self::default() };
        for (index, entry) in raw.data_centre.iter().enumerate() {
            let path = format!("data_centre[{index}]");
            let spec = data_centre(entry, &path, &mut findings);
            insert_unique(
                &mut manifest.data_centres,
                &spec.name.clone(),
                spec,
                &path,
                &mut findings,
            );
        }
        for (index, entry) in raw.pool.iter().enumerate() {
            let path = format!("pool[{index}]");
            let spec = pool(entry, &path, &mut findings);
            insert_unique(&mut manifest.pools, &spec.name.clone(), spec, &path, &mut findings);
        }
        for (index, entry) in raw.team.iter().enumerate() {
            let path = format!("team[{index}]");
            let spec = team(entry, &path, &mut findings);
            insert_unique(&mut manifest.teams, &spec.name.clone(), spec, &path, &mut findings);
        }
        for (index, entry) in raw.wave.iter().enumerate() {
            let path = format!("wave[{index}]");
            let spec = wave(entry, &path, &manifest.pools, &mut findings);
            insert_unique(&mut manifest.waves, &spec.name.clone(), spec, &path, &mut findings);
        }
        for (index, entry) in raw.budget.iter().enumerate() {
            add_budget(&mut manifest, entry, &format!("budget[{index}]"), &mut findings);
        }
        check_whole(&manifest, &mut findings);
        findings.into_result(manifest)
    }
}

fn check_whole(manifest: &Manifest, findings: &mut Findings) {
    let spares = manifest.pools.values().filter(|pool| pool.spare).count();
    if spares > 1 {
        findings.add("pool", format!("{spares} pools are marked as spare; at most one may be"));
    }
    let mut owners: BTreeMap<[u8; 32], &str> = BTreeMap::new();
    for team in manifest.teams.values() {
        for key in &team.keys {
            if let Some(other) = owners.insert(key.sha256, &team.name) {
                let message = format!(
                    "key {} of team {} is also granted to team {other}",
                    key.name, team.name
                );
                findings.add("team", message);
            }
        }
    }
}

fn insert_unique<T>(
    table: &mut BTreeMap<String, T>,
    name: &str,
    value: T,
    path: &str,
    findings: &mut Findings,
) {
    if table.insert(name.to_owned(), value).is_some() && !name.is_empty() {
        findings.add(format!("{path}.name"), format!("name {name:?} is used before"));
    }
}

fn data_centre(raw: &raw::DataCentre, path: &str, findings: &mut Findings) -> DataCentreSpec {
    DataCentreSpec {
        name: name(raw.name.as_deref(), path, "name", findings),
        region: name(raw.region.as_deref(), path, "region", findings),
    }
}

fn pool(raw: &raw::Pool, path: &str, findings: &mut Findings) -> PoolSpec {
    let spec = PoolSpec {
        name: name(raw.name.as_deref(), path, "name", findings),
        slots_per_vm: positive(raw.slots_per_vm, path, "slots_per_vm", findings),
        min_vms: raw.min_vms.unwrap_or(0),
        max_vms: required(raw.max_vms, path, "max_vms", findings),
        spare: raw.spare.unwrap_or(false),
        on_data_centre_out: out_policy(raw.on_data_centre_out.as_deref(), path, findings),
        drain_timeout_ms: raw.drain_timeout_ms.unwrap_or(60_000),
    };
    if raw.max_vms.is_some() && spec.min_vms > spec.max_vms {
        let message = format!("min_vms {} is above max_vms {}", spec.min_vms, spec.max_vms);
        findings.add(format!("{path}.min_vms"), message);
    }
    spec
}

fn out_policy(raw: Option<&str>, path: &str, findings: &mut Findings) -> DataCentreOutPolicy {
    match raw {
        None | Some("finish") => DataCentreOutPolicy::Finish,
        Some("checkpoint") => DataCentreOutPolicy::Checkpoint,
        Some(other) => {
            let message = format!("{other:?} is not one of \"finish\", \"checkpoint\"");
            findings.add(format!("{path}.on_data_centre_out"), message);
            DataCentreOutPolicy::Finish
        }
    }
}

fn team(raw: &raw::Team, path: &str, findings: &mut Findings) -> TeamSpec {
    let mut keys: Vec<TeamKey> = Vec::new();
    for (index, entry) in raw.key.iter().enumerate() {
        let path = format!("{path}.key[{index}]");
        let key = team_key(entry, &path, findings);
        if keys.iter().any(|other| other.name == key.name) && !key.name.is_empty() {
            findings.add(format!("{path}.name"), format!("key name {:?} is used before", key.name));
        }
        keys.push(key);
    }
    let limit = Resources {
        cpu_milli: required(raw.limit_cpu_milli, path, "limit_cpu_milli", findings),
        memory_bytes: required(raw.limit_memory_bytes, path, "limit_memory_bytes", findings),
        accelerators: raw.limit_accelerators.unwrap_or(0),
    };
    TeamSpec {
        name: name(raw.name.as_deref(), path, "name", findings),
        share_milli: positive(raw.share_milli, path, "share_milli", findings),
        limit,
        keys,
    }
}

fn team_key(raw: &raw::TeamKey, path: &str, findings: &mut Findings) -> TeamKey {
    let name = name(raw.name.as_deref(), path, "name", findings);
    let sha256 = match raw.sha256.as_deref() {
        None => {
            findings.add(format!("{path}.sha256"), "field is missing");
            [0; 32]
        }
        Some(text) => parse_sha256(text).unwrap_or_else(|| {
            let message = "is not a SHA-256 in 64 lower-case hexadecimal digits";
            findings.add(format!("{path}.sha256"), message);
            [0; 32]
        }),
    };
    TeamKey { name, sha256 }
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || text.bytes().any(|byte| !matches!(byte, b'0'..=b'9' | b'a'..=b'f')) {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(hash)
}

fn wave(
    raw: &raw::Wave,
    path: &str,
    pools: &BTreeMap<String, PoolSpec>,
    findings: &mut Findings,
) -> WaveSpec {
    if raw.pools.is_empty() {
        findings.add(format!("{path}.pools"), "names no pool");
    }
    for (index, pool) in raw.pools.iter().enumerate() {
        if !pools.contains_key(pool) {
            findings.add(format!("{path}.pools[{index}]"), format!("pool {pool:?} does not exist"));
        }
    }
    let spec = WaveSpec {
        name: name(raw.name.as_deref(), path, "name", findings),
        pools: raw.pools.clone(),
        initial_width: raw.initial_width.unwrap_or(1),
        max_width: positive(raw.max_width, path, "max_width", findings),
        max_failed: raw.max_failed.unwrap_or(1),
        soak_ms: raw.soak_ms.unwrap_or(60_000),
        reboot_timeout_ms: raw.reboot_timeout_ms.unwrap_or(600_000),
    };
    if spec.initial_width == 0 || (raw.max_width.is_some() && spec.initial_width > spec.max_width) {
        let message = format!("must be from 1 to max_width ({})", spec.max_width);
        findings.add(format!("{path}.initial_width"), message);
    }
    spec
}

fn add_budget(manifest: &mut Manifest, raw: &raw::Budget, path: &str, findings: &mut Findings) {
    let pool = name(raw.pool.as_deref(), path, "pool", findings);
    if !pool.is_empty() && !manifest.pools.contains_key(&pool) {
        findings.add(format!("{path}.pool"), format!("pool {pool:?} does not exist"));
    }
    let scope = match raw.scope.as_deref() {
        None | Some("pool") => BudgetScope::Pool,
        Some("data_centre") => BudgetScope::DataCentre,
        Some("rack") => BudgetScope::Rack,
        Some(other) => {
            let message = format!("{other:?} is not one of \"pool\", \"data_centre\", \"rack\"");
            findings.add(format!("{path}.scope"), message);
            BudgetScope::Pool
        }
    };
    let max_unavailable = required(raw.max_unavailable, path, "max_unavailable", findings);
    let budgets = manifest.budgets.entry(pool).or_default();
    if budgets.iter().any(|budget| budget.scope == scope) {
        findings.add(path, "the pool has a budget of this scope before");
    }
    budgets.push(Budget { scope, max_unavailable });
    budgets.sort_by_key(|budget| budget.scope);
}

fn policy(raw: Option<&raw::Policy>) -> Policy {
    let default = Policy::default();
    let Some(raw) = raw else { return default };
    Policy {
        weight_share_milli: raw.weight_share_milli.unwrap_or(default.weight_share_milli),
        weight_data_centre_work_milli: raw
            .weight_data_centre_work_milli
            .unwrap_or(default.weight_data_centre_work_milli),
        weight_buffer_milli: raw.weight_buffer_milli.unwrap_or(default.weight_buffer_milli),
        weight_moves_milli: raw.weight_moves_milli.unwrap_or(default.weight_moves_milli),
        weight_roll_out_milli: raw.weight_roll_out_milli.unwrap_or(default.weight_roll_out_milli),
        idempotency_window_ms: raw.idempotency_window_ms.unwrap_or(default.idempotency_window_ms),
    }
}

fn name(raw: Option<&str>, path: &str, key: &str, findings: &mut Findings) -> String {
    let Some(text) = raw else {
        findings.add(format!("{path}.{key}"), "field is missing");
        return String::new();
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        let message = format!(
            "{text:?} is not a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"
        );
        findings.add(format!("{path}.{key}"), message);
    }
    text.to_owned()
}

fn required<T>(raw: Option<T>, path: &str, key: &str, findings: &mut Findings) -> T
where
    T: Default,
{
    raw.unwrap_or_else(|| {
        findings.add(format!("{path}.{key}"), "field is missing");
        T::default()
    })
}

fn positive(raw: Option<u32>, path: &str, key: &str, findings: &mut Findings) -> u32 {
    let value = required(raw, path, key, findings);
    if raw == Some(0) {
        findings.add(format!("{path}.{key}"), "must be at least 1");
    }
    value
}

impl From<&Manifest> for raw::Manifest {
    fn from(manifest: &Manifest) -> Self {
        Self {
            data_centre: manifest.data_centres.values().map(Into::into).collect(),
            pool: manifest.pools.values().map(Into::into).collect(),
            team: manifest.teams.values().map(Into::into).collect(),
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

impl From<&TeamSpec> for raw::Team {
    fn from(spec: &TeamSpec) -> Self {
        let key = |key: &TeamKey| raw::TeamKey {
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

/// Checks one entity that stands outside a manifest, as in a log record.
pub(crate) mod entity {
    use super::raw;
    use crate::config::Budget;
    use crate::config::DataCentreSpec;
    use crate::config::Manifest;
    use crate::config::Policy;
    use crate::config::PoolSpec;
    use crate::config::TeamSpec;
    use crate::config::WaveSpec;
    use crate::findings::Findings;

    pub(crate) fn data_centre(raw: &raw::DataCentre) -> Result<DataCentreSpec, Findings> {
        let mut findings = Findings::default();
        let spec = super::data_centre(raw, "data_centre", &mut findings);
        findings.into_result(spec)
    }

    pub(crate) fn pool(raw: &raw::Pool) -> Result<PoolSpec, Findings> {
        let mut findings = Findings::default();
        let spec = super::pool(raw, "pool", &mut findings);
        findings.into_result(spec)
    }

    pub(crate) fn team(raw: &raw::Team) -> Result<TeamSpec, Findings> {
        let mut findings = Findings::default();
        let spec = super::team(raw, "team", &mut findings);
        findings.into_result(spec)
    }

    /// A wave may name pools that the same commit adds, so names are not
    /// looked up here.
    pub(crate) fn wave(raw: &raw::Wave) -> Result<WaveSpec, Findings> {
        let mut findings = Findings::default();
        let any_pool = raw
            .pools
            .iter()
            .map(|name| {
                let pool = raw::Pool {
                    name: Some(name.clone()),
                    slots_per_vm: Some(1),
                    max_vms: Some(1),
                    ..raw::Pool::default()
                };
                (name.clone(), super::pool(&pool, "pools", &mut findings))
            })
            .collect();
        let spec = super::wave(raw, "wave", &any_pool, &mut findings);
        findings.into_result(spec)
    }

    pub(crate) fn budgets(pool: &str, raw: &[raw::Budget]) -> Result<Vec<Budget>, Findings> {
        let mut findings = Findings::default();
        let mut manifest = Manifest::default();
        let spec = raw::Pool {
            name: Some(pool.to_owned()),
            slots_per_vm: Some(1),
            max_vms: Some(1),
            ..raw::Pool::default()
        };
        manifest.pools.insert(pool.to_owned(), super::pool(&spec, "pool", &mut findings));
        for budget in raw {
            super::add_budget(&mut manifest, budget, "budget", &mut findings);
        }
        findings.into_result(manifest.budgets.remove(pool).unwrap_or_default())
    }

    pub(crate) fn policy(raw: &raw::Policy) -> Policy {
        super::policy(Some(raw))
    }
}
