//! Conversion of manifests from the generated to the validated types.

use std::collections::BTreeMap;

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
use crate::findings::Findings;
use crate::protos::config as raw;
use crate::resources::Resources;
use crate::toml_source::TomlSource;

const MAX_NAME_BYTES: usize = 63;

impl Manifest {
    /// Reads a manifest from TOML text. The error holds all findings in the
    /// order of their lines.
    pub fn from_toml(text: &str) -> Result<Self, Findings> {
        TomlSource::<raw::Manifest>::parse(text).validate(|raw| Self::try_from(raw))
    }
}

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
        for (index, entry) in raw.organisation.iter().enumerate() {
            let path = format!("organisation[{index}]");
            let spec = organisation(entry, &path, &mut findings);
            insert_unique(
                &mut manifest.organisations,
                &spec.name.clone(),
                spec,
                &path,
                &mut findings,
            );
        }
        for (index, entry) in raw.wave.iter().enumerate() {
            let path = format!("wave[{index}]");
            let spec = wave(entry, &path, &manifest.pools, &mut findings);
            insert_unique(&mut manifest.waves, &spec.name.clone(), spec, &path, &mut findings);
        }
        for (index, entry) in raw.budget.iter().enumerate() {
            add_budget(&mut manifest, entry, &format!("budget[{index}]"), &mut findings);
        }
        check_spare_pools(&manifest, &mut findings);
        check_shared_keys(raw, &mut findings);
        check_wave_budgets(raw, &manifest, &mut findings);
        findings.into_result(manifest)
    }
}

fn check_spare_pools(manifest: &Manifest, findings: &mut Findings) {
    let spares = manifest.pools.values().filter(|pool| pool.spare).count();
    if spares > 1 {
        findings.add("pool", format!("{spares} pools are marked as spare; at most one may be"));
    }
}

/// Reports keys that more than one organisation lists.
fn check_shared_keys(raw: &raw::Manifest, findings: &mut Findings) {
    let mut owners = BTreeMap::new();
    for (index, organisation) in raw.organisation.iter().enumerate() {
        for (position, key) in organisation.key.iter().enumerate() {
            let Some(sha256) = &key.sha256 else { continue };
            let Some(other) = owners.insert(sha256, index) else { continue };
            let path = format!("organisation[{index}].key[{position}].sha256");
            let other = raw.organisation[other].name.as_deref().unwrap_or_default();
            findings.add(path, format!("the key is also granted to organisation {other:?}"));
        }
    }
}

/// Reports waves that can never drain a VM because a budget allows no
/// unavailable VM.
fn check_wave_budgets(raw: &raw::Manifest, manifest: &Manifest, findings: &mut Findings) {
    for (index, wave) in raw.wave.iter().enumerate() {
        for (position, pool) in wave.pools.iter().enumerate() {
            let budgets = manifest.budgets.get(pool).map(Vec::as_slice).unwrap_or_default();
            if budgets.iter().any(|budget| budget.max_unavailable == 0) {
                let message = format!(
                    "no VM of pool {pool:?} can be drained: max_unavailable of a budget is 0"
                );
                findings.add(format!("wave[{index}].pools[{position}]"), message);
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
        findings.add(format!("{path}.name"), format!("name {name:?} is already used"));
    }
}

fn data_centre(raw: &raw::DataCentre, path: &str, findings: &mut Findings) -> DataCentreSpec {
    DataCentreSpec {
        name: parse_name(raw.name.as_deref(), path, "name", findings),
        region: parse_name(raw.region.as_deref(), path, "region", findings),
    }
}

fn pool(raw: &raw::Pool, path: &str, findings: &mut Findings) -> PoolSpec {
    let spec = PoolSpec {
        name: parse_name(raw.name.as_deref(), path, "name", findings),
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

fn organisation(raw: &raw::Organisation, path: &str, findings: &mut Findings) -> OrganisationSpec {
    let mut keys: Vec<OrganisationKey> = Vec::new();
    for (index, entry) in raw.key.iter().enumerate() {
        let path = format!("{path}.key[{index}]");
        let key = organisation_key(entry, &path, findings);
        if keys.iter().any(|other| other.name == key.name) && !key.name.is_empty() {
            findings
                .add(format!("{path}.name"), format!("key name {:?} is already used", key.name));
        }
        keys.push(key);
    }
    let limit = Resources {
        cpu_milli: required(raw.limit_cpu_milli, path, "limit_cpu_milli", findings),
        memory_bytes: required(raw.limit_memory_bytes, path, "limit_memory_bytes", findings),
        accelerators: raw.limit_accelerators.unwrap_or(0),
    };
    OrganisationSpec {
        name: parse_name(raw.name.as_deref(), path, "name", findings),
        share_milli: positive(raw.share_milli, path, "share_milli", findings),
        limit,
        keys,
    }
}

fn organisation_key(
    raw: &raw::OrganisationKey,
    path: &str,
    findings: &mut Findings,
) -> OrganisationKey {
    let name = parse_name(raw.name.as_deref(), path, "name", findings);
    let sha256 = match raw.sha256.as_deref() {
        None => {
            findings.add(format!("{path}.sha256"), "field is missing");
            [0; 32]
        }
        Some(text) => parse_sha256(text).unwrap_or_else(|| {
            let message = "is not a SHA-256 hash of 64 lower-case hexadecimal digits";
            findings.add(format!("{path}.sha256"), message);
            [0; 32]
        }),
    };
    OrganisationKey { name, sha256 }
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
        findings.add(format!("{path}.pools"), "must name at least one pool");
    }
    for (index, pool) in raw.pools.iter().enumerate() {
        if !pools.contains_key(pool) {
            findings.add(format!("{path}.pools[{index}]"), format!("pool {pool:?} does not exist"));
        }
    }
    let spec = WaveSpec {
        name: parse_name(raw.name.as_deref(), path, "name", findings),
        pools: raw.pools.clone(),
        initial_width: raw.initial_width.unwrap_or(1),
        max_width: positive(raw.max_width, path, "max_width", findings),
        max_failed: raw.max_failed.unwrap_or(1),
        soak_ms: raw.soak_ms.unwrap_or(60_000),
        reboot_timeout_ms: raw.reboot_timeout_ms.unwrap_or(600_000),
    };
    let is_bounded = raw.max_width.is_some_and(|width| width > 0);
    if spec.initial_width == 0 || (is_bounded && spec.initial_width > spec.max_width) {
        let message = format!("must be between 1 and max_width, which is {}", spec.max_width);
        findings.add(format!("{path}.initial_width"), message);
    }
    spec
}

fn add_budget(manifest: &mut Manifest, raw: &raw::Budget, path: &str, findings: &mut Findings) {
    let pool = parse_name(raw.pool.as_deref(), path, "pool", findings);
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
        findings.add(path, "the pool already has a budget of this scope");
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

pub(crate) fn parse_name(
    raw: Option<&str>,
    path: &str,
    key: &str,
    findings: &mut Findings,
) -> String {
    let path = if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let Some(text) = raw else {
        findings.add(path, "field is missing");
        return String::new();
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        let message = format!(
            "{text:?} is not a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"
        );
        findings.add(path, message);
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

/// Conversion of single entities, which control records hold outside a manifest.
pub(crate) mod entity {
    use super::raw;
    use crate::config::Budget;
    use crate::config::DataCentreSpec;
    use crate::config::Manifest;
    use crate::config::OrganisationSpec;
    use crate::config::Policy;
    use crate::config::PoolSpec;
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

    pub(crate) fn organisation(raw: &raw::Organisation) -> Result<OrganisationSpec, Findings> {
        let mut findings = Findings::default();
        let spec = super::organisation(raw, "organisation", &mut findings);
        findings.into_result(spec)
    }

    /// Does not look up the pools that the wave names, because the same commit
    /// may add them.
    pub(crate) fn wave(raw: &raw::Wave) -> Result<WaveSpec, Findings> {
        let mut findings = Findings::default();
        let named_pools = raw
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
        let spec = super::wave(raw, "wave", &named_pools, &mut findings);
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
