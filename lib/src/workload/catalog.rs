//! The configuration in force: queues, pools and organisations with their keys.

use std::collections::BTreeMap;

use sha2::Digest;
use sha2::Sha256;

use crate::arena::Arena;
use crate::arena::ArenaKey;
use crate::findings::Findings;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::keys::AcceptedKey;
use crate::keys::KeyDigest;
use crate::keys::OrganisationKeys;
use crate::resources::Resources;
use crate::workload::spec::QueueRules;

/// Key of a queue; it stays the same across versions of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub u32);

impl ArenaKey for QueueId {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueSpec {
    /// Name, unique among queues.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the paths that belong to the queue.
    pub path_prefix: String,
    /// Pool that runs its jobs.
    pub pool: String,
    /// Rules that apply to its jobs.
    pub rules: QueueRules,
    /// Callers need no key.
    pub is_public: bool,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpec {
    /// Name, unique among pools.
    pub name: String,
    /// Its VMs are powered off.
    pub is_standby: bool,
}

/// An organisation, which submits jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name, unique among organisations.
    pub name: String,
    /// Keys that its calls carry.
    pub keys: Vec<String>,
    /// Weight of its share while there is not enough capacity.
    pub weight: u64,
    /// Upper limit on the resources of its running tasks.
    pub limit: ResourceLimit,
}

/// Upper limit of each resource; none where a resource has no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceLimit {
    /// Thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Memory in bytes.
    pub memory_bytes: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u32>,
}

impl ResourceLimit {
    /// True if `used` is within the limit.
    pub fn allows(&self, used: Resources) -> bool {
        self.cpu_milli.is_none_or(|limit| used.cpu_milli <= limit)
            && self.memory_bytes.is_none_or(|limit| used.memory_bytes <= limit)
            && self.accelerators.is_none_or(|limit| used.accelerators <= limit)
    }

    /// What the limit leaves beside `used`.
    pub(crate) fn left(&self, used: Resources) -> Resources {
        let limit = Resources {
            cpu_milli: self.cpu_milli.unwrap_or(u64::MAX),
            memory_bytes: self.memory_bytes.unwrap_or(u64::MAX),
            accelerators: self.accelerators.unwrap_or(u32::MAX),
        };
        limit.saturating_sub(used)
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogSpec {
    /// Version; rises with each change, not always by one.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueueSpec>,
    /// All pools.
    pub pools: Vec<PoolSpec>,
    /// All organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// Largest body of a call.
    pub max_body_bytes: u64,
}

impl CatalogSpec {
    /// Checks the configuration and returns all findings.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Findings::default();
        for (index, queue) in self.queues.iter().enumerate() {
            if !self.pools.iter().any(|pool| pool.name == queue.pool) {
                let message = format!("pool {:?} does not exist", queue.pool);
                findings.add(format!("queues[{index}].pool"), message);
            }
        }
        findings.into_result(())
    }
}

/// Interned names. A name keeps its key across versions of the configuration.
#[derive(Clone, Debug)]
struct NameTable<K> {
    keys: BTreeMap<String, K>,
    names: Arena<K, String>,
}

impl<K> Default for NameTable<K> {
    fn default() -> Self {
        Self { keys: BTreeMap::new(), names: Arena::default() }
    }
}

impl<K> NameTable<K>
where
    K: ArenaKey,
{
    fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.insert(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        key
    }
}

/// The configuration in force, with interned names.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    version: Option<u64>,
    max_body_bytes: u64,
    queue_names: NameTable<QueueId>,
    pool_names: NameTable<PoolId>,
    organisation_names: NameTable<OrganisationId>,
    queues: Arena<QueueId, QueueSpec>,
    pools: Arena<PoolId, PoolSpec>,
    organisations: Arena<OrganisationId, OrganisationSpec>,
    keys: OrganisationKeys,
}

/// The queue that matches a host and path, and the rest of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueMatch<'a> {
    /// The queue.
    pub queue: QueueId,
    /// Path after the prefix of the queue.
    pub rest: &'a str,
}

impl Catalog {
    /// Applies a version of the configuration. Returns false and changes
    /// nothing if it is not newer than the version in force.
    pub fn apply(&mut self, spec: CatalogSpec) -> bool {
        if self.version.is_some_and(|version| spec.version <= version) {
            return false;
        }
        self.version = Some(spec.version);
        self.max_body_bytes = spec.max_body_bytes;
        self.queues = Arena::default();
        self.pools = Arena::default();
        self.organisations = Arena::default();
        for queue in spec.queues {
            self.queues.insert_at(self.queue_names.intern(&queue.name), queue);
        }
        for pool in spec.pools {
            self.pools.insert_at(self.pool_names.intern(&pool.name), pool);
        }
        let mut keys = Vec::new();
        for organisation in spec.organisations {
            let id = self.organisation_names.intern(&organisation.name);
            for (index, key) in (0..).zip(&organisation.keys) {
                let digest = Sha256::digest(key.as_bytes()).into();
                keys.push((digest, AcceptedKey { organisation: id, index }));
            }
            self.organisations.insert_at(id, organisation);
        }
        self.keys = OrganisationKeys::from_digests(keys);
        true
    }

    /// Version in force, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Largest body of a call.
    pub fn max_body_bytes(&self) -> u64 {
        self.max_body_bytes
    }

    /// The queue with the longest prefix that matches a host and a path.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        let matches = |queue: &QueueSpec| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        };
        let found = self.queues.iter().filter(|(_, queue)| matches(queue));
        let (queue, spec) = found.max_by_key(|(_, queue)| queue.path_prefix.len())?;
        Some(QueueMatch { queue, rest: &path[spec.path_prefix.len()..] })
    }

    /// The organisation that holds a key.
    pub fn organisation_of_key(&self, key: &KeyDigest) -> Option<OrganisationId> {
        self.keys.organisation(key)
    }

    /// A queue in force.
    pub fn queue(&self, queue: QueueId) -> Option<&QueueSpec> {
        self.queues.get(queue)
    }

    /// A pool in force.
    pub fn pool(&self, pool: PoolId) -> Option<&PoolSpec> {
        self.pools.get(pool)
    }

    /// An organisation in force.
    pub fn organisation(&self, organisation: OrganisationId) -> Option<&OrganisationSpec> {
        self.organisations.get(organisation)
    }

    /// All pools in force.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &PoolSpec)> {
        self.pools.iter()
    }

    /// Key of a queue's name.
    pub fn queue_id(&mut self, name: &str) -> QueueId {
        self.queue_names.intern(name)
    }

    /// Name of a queue; empty if the key is unknown.
    pub fn queue_name(&self, queue: QueueId) -> &str {
        self.queue_names.names.get(queue).map_or("", String::as_str)
    }

    /// Key of a queue's name, if some version of the configuration or some job
    /// has named the queue.
    pub fn find_queue_id(&self, name: &str) -> Option<QueueId> {
        self.queue_names.keys.get(name).copied()
    }

    /// Key of a pool's name.
    pub fn pool_id(&mut self, name: &str) -> PoolId {
        self.pool_names.intern(name)
    }

    /// Key of an organisation's name.
    pub fn organisation_id(&mut self, name: &str) -> OrganisationId {
        self.organisation_names.intern(name)
    }

    /// Key of an organisation's name, if some version of the configuration or some
    /// job has named the organisation.
    pub fn find_organisation_id(&self, name: &str) -> Option<OrganisationId> {
        self.organisation_names.keys.get(name).copied()
    }

    /// Name of a pool, in force or not.
    pub fn pool_name(&self, pool: PoolId) -> &str {
        self.pool_names.names.get(pool).map_or("", String::as_str)
    }
}
