//! Control states of a given size, built by applying records.

use cowslipport_lib::config::Budget;
use cowslipport_lib::config::BudgetScope;
use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::OrganisationKey;
use cowslipport_lib::config::OrganisationSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::config::WaveSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::MAX_RECENT_IDS;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::RegionId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::control as raw;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::GrantChange;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::resources::Resources;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Data centres in section 1.6 of the design.
const DATA_CENTRES: usize = 14;
/// Regions in section 1.6 of the design.
const REGIONS: usize = 5;
/// VMs in one rack, as in both present deployments.
const VMS_PER_RACK: usize = 4;
/// VMs in one record of joined VMs.
const VMS_PER_BATCH: usize = 250;
/// Partitions in which an organisation runs tasks at the same time. 80,000 tasks
/// of 720 organisations are 111 tasks per organisation.
const PARTITIONS_PER_ORGANISATION: usize = 10;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct FleetSize {
    pub(crate) workers: usize,
    pub(crate) organisations: usize,
    pub(crate) pools: usize,
    /// Sessions of entry processes.
    pub(crate) sessions: usize,
}

/// The fleet size in section 1.6 of the design.
pub(crate) const FULL: FleetSize =
    FleetSize { workers: 20_000, organisations: 720, pools: 151, sessions: 112 };

/// A control state with the sequence number of the last record written.
#[derive(Clone)]
pub(crate) struct Model {
    pub(crate) state: ControlState,
    sequence: u64,
}

impl Model {
    /// Builds a state of the given size.
    pub(crate) fn new(size: FleetSize) -> Self {
        let mut model = Self { state: ControlState::default(), sequence: 0 };
        model.apply(model.commit(manifest(size)));
        for index in 0..size.sessions {
            model.apply(RecordBody::SessionOpen(session(index)));
            model.renew_all(index + 1);
        }
        let joins: Vec<_> = (0..size.workers).map(|index| join(index, size.pools)).collect();
        for batch in joins.chunks(VMS_PER_BATCH) {
            model.apply(RecordBody::VmBatch(batch.to_vec()));
        }
        for organisation in 0..size.organisations {
            let batch = model.grants(organisation, size.pools);
            model.apply(RecordBody::GrantBatch(batch));
        }
        // Renewals fill the state's list of recent record ids, whose size does
        // not depend on the content of the records.
        for _ in 0..MAX_RECENT_IDS.div_ceil(size.sessions) {
            model.renew_all(size.sessions);
        }
        model
    }

    /// Renews the first `sessions` sessions, each with the offset up to which all
    /// records are applied.
    fn renew_all(&mut self, sessions: usize) {
        let next_offset = self.state.next_offset;
        for index in 0..sessions {
            self.apply(RecordBody::SessionRenew {
                session: session_id(index),
                renewal: next_offset.0,
                next_offset,
            });
        }
    }

    /// Wraps `body` in a record with the next id.
    pub(crate) fn record(&mut self, body: RecordBody) -> ControlRecord {
        self.sequence += 1;
        let id = RecordId { writer: session_id(0).0, sequence: self.sequence };
        ControlRecord { id, body }
    }

    /// Applies a record and panics if it has no effect.
    pub(crate) fn apply(&mut self, body: RecordBody) {
        let record = self.record(body);
        let outcome = self.state.apply(self.state.next_offset, &record);
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?} of {record:?}");
    }

    /// A configuration commit on the current revision.
    pub(crate) fn commit(&self, changes: Vec<ConfigChange>) -> RecordBody {
        let expected_revision = self.state.revision;
        let author = "deployer@predah".to_owned();
        RecordBody::ConfigCommit(ConfigCommit { expected_revision, author, changes })
    }

    /// Grants that an organisation takes in its partitions.
    pub(crate) fn grants(&self, organisation: usize, pools: usize) -> Vec<GrantChange> {
        let partitions: Vec<PartitionId> = (0..PARTITIONS_PER_ORGANISATION)
            .map(|index| PartitionId {
                pool: PoolId(number((organisation + index * 7) % pools)),
                region: RegionId(number((organisation + index) % REGIONS)),
            })
            .collect();
        let owner = |partition| {
            let ownership = self.state.owners.get(partition)?;
            ownership.owner
        };
        partitions
            .iter()
            .filter_map(|partition| {
                Some(GrantChange {
                    organisation: OrganisationId(number(organisation)),
                    partition: *partition,
                    owner: owner(partition)?,
                    direction: GrantDirection::Take,
                    amount: task_size(),
                })
            })
            .collect()
    }
}

/// Declared size of one task.
pub(crate) fn task_size() -> Resources {
    Resources { cpu_milli: 4000, memory_bytes: 16 << 30, accelerators: 0 }
}

/// Session id of an entry process. Multiplication spreads the ids over the number
/// range, like the random ids of the daemon.
pub(crate) fn session_id(index: usize) -> SessionId {
    let mixed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    SessionId(mixed | 1 << 63)
}

/// The record content with which an entry process opens its session.
pub(crate) fn session(index: usize) -> SessionOpen {
    let data_centre = index % DATA_CENTRES;
    SessionOpen {
        session: session_id(index),
        name: format!("entry-{data_centre:02}-{index:03}"),
        data_centre: data_centre_name(data_centre),
        peer_address: format!("10.{data_centre}.0.{index}:7700"),
        lease_ms: 6000,
    }
}

/// The observation of a VM that joined.
pub(crate) fn join(index: usize, pools: usize) -> VmObservation {
    VmObservation::Joined(vm(index, pools).into())
}

/// A VM as the VM list of the platform encodes it.
pub(crate) fn raw_join(index: usize, pools: usize) -> raw::VmJoined {
    (&vm(index, pools)).into()
}

fn vm(index: usize, pools: usize) -> VmJoined {
    let rack = index / VMS_PER_RACK;
    let data_centre = rack % DATA_CENTRES;
    let (high, low) = (index / 250, index % 250);
    VmJoined {
        name: format!("vm-{data_centre:02}-{index:05}"),
        data_centre: data_centre_name(data_centre),
        rack: format!("rack-{rack:04}"),
        pool: pool_name(index % pools),
        worker_address: format!("10.{data_centre}.{high}.{low}:7800"),
        upstream_address: format!("10.{data_centre}.{high}.{low}:8080"),
        capacity: Resources { cpu_milli: 32_000, memory_bytes: 128 << 30, accelerators: 0 },
    }
}

/// The change that puts an organisation with two keys.
pub(crate) fn organisation(index: usize, share_milli: u32) -> ConfigChange {
    let key = |name: &str| OrganisationKey {
        name: name.to_owned(),
        sha256: Sha256::digest(format!("key-{index:03}-{name}")).into(),
    };
    ConfigChange::PutOrganisation(OrganisationSpec {
        name: format!("organisation-{index:03}"),
        share_milli,
        limit: Resources { cpu_milli: 4_000_000, memory_bytes: 16 << 40, accelerators: 64 },
        keys: vec![key("current"), key("next")],
    })
}

/// The change that puts a pool.
pub(crate) fn pool(index: usize, slots_per_vm: u32) -> ConfigChange {
    ConfigChange::PutPool(PoolSpec {
        name: pool_name(index),
        slots_per_vm,
        min_vms: 4,
        max_vms: 20_000,
        spare: index == 0,
        on_data_centre_out: DataCentreOutPolicy::Finish,
        drain_timeout_ms: 60_000,
    })
}

/// The change that puts the budgets of a pool in every scope.
pub(crate) fn budgets(index: usize, max_unavailable: u32) -> ConfigChange {
    let scopes = [BudgetScope::Pool, BudgetScope::DataCentre, BudgetScope::Rack];
    let budgets = scopes.map(|scope| Budget { scope, max_unavailable }).to_vec();
    ConfigChange::PutBudgets { pool: pool_name(index), budgets }
}

pub(crate) fn data_centre_name(index: usize) -> String {
    format!("dc-{index:02}")
}

fn pool_name(index: usize) -> String {
    format!("pool-{index:03}")
}

fn manifest(size: FleetSize) -> Vec<ConfigChange> {
    let data_centres = (0..DATA_CENTRES).map(|index| {
        let region = format!("region-{}", index % REGIONS);
        ConfigChange::PutDataCentre(DataCentreSpec { name: data_centre_name(index), region })
    });
    let pools = (0..size.pools).map(|index| pool(index, 8));
    let budgets = (0..size.pools).map(|index| budgets(index, 4));
    let organisations = (0..size.organisations).map(|index| organisation(index, 1000));
    let wave = ConfigChange::PutWave(WaveSpec {
        name: "image-2026-12".to_owned(),
        pools: (0..size.pools).map(pool_name).collect(),
        initial_width: 1,
        max_width: 64,
        max_failed: 4,
        soak_ms: 60_000,
        reboot_timeout_ms: 600_000,
    });
    data_centres.chain(pools).chain(budgets).chain(organisations).chain([wave]).collect()
}

/// Converts an index to the number of an entity.
pub(crate) fn number(index: usize) -> u32 {
    u32::try_from(index).expect("a fleet has fewer than 2^32 entities")
}
