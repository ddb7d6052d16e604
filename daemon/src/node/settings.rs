//! Settings of a node and the times that follow from them.

use std::time::Duration;

use cowslipport_lib::workload::admission::AgeLimits;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::NodeRecord;

/// Leases of workers. They outlast the time in which a successor takes the
/// seat (at most 1.6 s) and one unanswered question (1.2 s), and bound the time
/// for which tasks of a lost worker wait.
pub const LEASE_MS: u64 = 4_000;
/// Time that a question to a worker waits for an end. It bounds the age of a
/// lease at any moment.
pub const HOLD_WAIT_MS: u64 = 700;
/// Pause between two calls that keep the seat: three fit into its shortest
/// time to live.
pub const JOIN_PAUSE: Duration = Duration::from_millis(300);
/// Time between two questions for the members of the group, by an owner that a
/// larger node may replace.
pub const MEMBERS_INTERVAL_MS: u64 = 1_000;
/// An owner that the store does not answer goes on renewing leases for this
/// time, since the store is more often down for all than for one. A successor
/// waits as long for workers that it cannot reach.
pub const RENEW_WITHOUT_STORE_MS: u64 = 8_000;
/// An owner starts nothing with an older list of workers: a draining worker
/// gets no new task after 2 s.
pub const WORKERS_AGE_MAX_MS: u64 = 1_500;
/// An owner starts nothing with an older view of what operators ask for.
pub const OPERATOR_AGE_MAX_MS: u64 = 2_000;
/// Time that a read of the store waits for a record. A link that fell silent is
/// found after this time and the timeout of a call.
pub const READ_WAIT_MS: u64 = 700;
/// Pause of a node without the seat between reads of jobs: it bounds the calls
/// to the store to five a second, and the age of what callers are told.
pub const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);
/// Pause of the owner between reads of jobs, which groups submissions and its
/// own records: it bounds the reads to some forty a second.
pub const OWNER_PAUSE: Duration = Duration::from_millis(18);
/// Time in which the owner looks at timers, such as leases and set times.
pub const OWNER_TICK: Duration = Duration::from_millis(50);
/// The same for a node without the seat.
pub const FOLLOWER_TICK: Duration = Duration::from_millis(1_000);

/// Settings of a node, from the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique among nodes.
    pub name: String,
    /// Life of the process, chosen at random.
    pub life: u64,
    /// What the node has of processors, in thousandths of a core.
    pub processor_milli: u64,
    /// Time after which the store gives the seat of a silent node to another.
    pub seat_ttl_ms: u64,
    /// A withdrawn key stops working within this time, on each node.
    pub key_withdrawal_ms: u64,
    /// A caller may not be told that a job is unknown later than this after it
    /// was accepted.
    pub job_visible_ms: u64,
    /// A job is remembered for this time after its end.
    pub status_kept_ms: u64,
    /// Orders for a VM by two owners are this far apart.
    pub vm_handover_ms: u64,
    /// Orders for VMs that the service accepts in a second.
    pub vm_orders_per_second: u32,
    /// Time from SIGTERM to SIGKILL.
    pub grace_ms: u64,
}

/// Part of the time for a withdrawn key, in percent, after which a node that
/// cannot learn of it answers no call with a key. The rest covers the time in
/// which a call is answered.
const KEY_AGE_PERCENT: u64 = 80;
/// Part of the time until a job must be visible, in percent, after which a
/// node does not say that a job is unknown.
const JOB_AGE_PERCENT: u64 = 60;

impl NodeSettings {
    /// The life of the node that these settings are for.
    pub(crate) fn node_life(&self) -> NodeIncarnation {
        NodeIncarnation { node: self.name.clone(), incarnation: self.life }
    }

    /// What the node says of itself when it starts.
    pub(crate) fn life_record(&self) -> NodeRecord {
        NodeRecord { incarnation: self.life, processor_milli: self.processor_milli }
    }

    /// How old what the node knows may be.
    pub(crate) fn age_limits(&self) -> AgeLimits {
        AgeLimits {
            configuration_ms: self.key_withdrawal_ms * KEY_AGE_PERCENT / 100,
            jobs_ms: self.job_visible_ms * JOB_AGE_PERCENT / 100,
        }
    }
}
