//! Settings of a node, and constants for its leases, polls and timers.

use std::time::Duration;

use cowslipport_lib::workload::admission::AgeLimits;
use cowslipport_lib::workload::lease::LeaseTimes;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::NodeRecord;
use cowslipport_lib::workload::scheduling::SchedulingFeatures;

/// Duration of the leases of tasks on workers. A lease outlasts a change of the
/// owner (at most 1.6 s) and one poll without an answer (1.2 s). It also bounds
/// how long the tasks of a lost worker wait for a new placement.
pub const LEASE_MS: u64 = 4_000;
/// How long a worker waits for a task to end before it answers a poll. Polls
/// renew the leases, so this bounds the time between two renewals.
pub const POLL_WAIT_MS: u64 = 700;
/// Interval of the calls that renew the membership in the group. Three calls fit
/// into the shortest time to live of an ownership.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the owner reads the members of the group, since it steps
/// down for a larger node.
pub const MEMBERS_INTERVAL_MS: u64 = 1_000;
/// How long the owner continues to renew leases while it cannot reach the
/// store. An outage usually affects all nodes, so that there is no successor. A
/// successor waits this long for workers that it cannot reach, since the former
/// owner may still renew their leases, unless the witnesses of the former owner
/// have answered.
pub const RENEW_WITHOUT_STORE_MS: u64 = 8_000;
/// How long the owner renews leases after the store or most of its witnesses last
/// answered. It covers two polls of `POLL_WAIT_MS`, and the time until the ownership is
/// no longer confirmed and witnesses without tasks are polled, too. A long-running task
/// that is lost with the owner waits for this time and its lease.
pub const OWNERSHIP_EVIDENCE_MS: u64 = 1_500;
/// How long a witness waits for a task to end before it answers a poll, while the
/// ownership is not confirmed.
pub const WITNESS_POLL_WAIT_MS: u64 = 250;
/// Maximum age of the list of workers with which the owner starts tasks. A
/// draining worker must get no new task after 2 s.
pub const WORKERS_AGE_MAX_MS: u64 = 1_500;
/// Maximum age of the operators' requests with which the owner starts tasks.
pub const OPERATOR_AGE_MAX_MS: u64 = 2_000;
/// How long a read of the store waits for a new record. A dead connection is
/// detected after this time plus the timeout of a call.
pub const READ_WAIT_MS: u64 = 700;
/// Pause between reads of the job records on a node that is not the owner. It
/// limits the reads to five a second, and bounds the age of the job states that
/// callers get.
pub const FOLLOWER_PAUSE: Duration = Duration::from_millis(200);
/// Pause between reads of the job records on the owner. It groups submissions
/// and the owner's own records, and limits the reads to about forty a second.
pub const OWNER_PAUSE: Duration = Duration::from_millis(18);
/// Pause after a round of decisions, as a multiple of the time that the round
/// took. A round looks at all open jobs, so the rounds of a large fleet would
/// otherwise take most of the processor, while those of a small one need no
/// pause.
pub const ROUND_PAUSE_FACTOR: u32 = 4;
/// Longest pause after a round, about the time of an append.
pub const ROUND_PAUSE_MAX: Duration = Duration::from_millis(5);
/// Interval at which the owner checks timers, such as those of leases and of
/// schedules.
pub const OWNER_TICK: Duration = Duration::from_millis(50);
/// Interval at which a node that is not the owner checks timers.
pub const FOLLOWER_TICK: Duration = Duration::from_millis(1_000);

/// Settings of a node, which the deployment provides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node, unique among the nodes.
    pub name: String,
    /// Random number that tells this run of the process from others.
    pub incarnation: u64,
    /// CPU capacity of the node in thousandths of a core.
    pub processor_milli: u64,
    /// Capacity of the node's network link.
    pub link_bits_per_second: u64,
    /// Shortest time to live of the ownership: the store chooses another owner when a
    /// node has not renewed its membership for this time.
    pub ownership_ttl_ms: u64,
    /// Time within which every node must refuse a withdrawn key.
    pub key_withdrawal_ms: u64,
    /// Time after the acceptance of a job from which on no node may answer that
    /// the job is unknown.
    pub job_visible_ms: u64,
    /// How long the status of a job is kept after its end.
    pub status_kept_ms: u64,
    /// Minimum time between orders for the same VM by two owners.
    pub vm_handover_ms: u64,
    /// Number of orders that the VM service accepts per second.
    pub vm_orders_per_second: u32,
    /// Longest lease that a worker grants.
    pub worker_lease_max_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// Decisions that the deployment turns on.
    pub scheduling: SchedulingFeatures,
}

/// Part of `key_withdrawal_ms`, in percent, after which a node without a newer
/// configuration refuses calls with a key. The rest covers the time in which a
/// call is answered.
const KEY_AGE_PERCENT: u64 = 80;
/// Part of `job_visible_ms`, in percent, after which a node without newer job
/// records does not answer that a job is unknown.
const JOB_AGE_PERCENT: u64 = 60;

/// Bytes that may wait for the link in front of a message: three connections
/// that fill their windows of 64 KB.
const LINK_QUEUE_BYTES: u64 = 3 * 64 * 1_024;
const BITS_PER_BYTE: u64 = 8;

impl NodeSettings {
    /// Times of the leases on workers.
    pub(crate) fn lease_times(&self) -> LeaseTimes {
        LeaseTimes {
            lease_ms: LEASE_MS,
            longest_ms: self.worker_lease_max_ms,
            former_renewal_ms: RENEW_WITHOUT_STORE_MS,
            ownership_ttl_ms: self.membership_ttl_ms(),
            evidence_ms: OWNERSHIP_EVIDENCE_MS,
        }
    }

    /// Longest time for which a message waits for the link behind large ones,
    /// such as a snapshot of the job records.
    pub fn link_delay(&self) -> Duration {
        let queue_bits = LINK_QUEUE_BYTES * BITS_PER_BYTE;
        Duration::from_millis(queue_bits * 1_000 / self.link_bits_per_second.max(1))
    }

    /// Time to live that the node requests for its membership. A renewal that
    /// waits for the link must not cost the ownership.
    pub(crate) fn membership_ttl_ms(&self) -> u64 {
        let delay_ms = u64::try_from(self.link_delay().as_millis()).unwrap_or(u64::MAX);
        self.ownership_ttl_ms.saturating_add(delay_ms)
    }

    pub(crate) fn node_incarnation(&self) -> NodeIncarnation {
        NodeIncarnation { node: self.name.clone(), incarnation: self.incarnation }
    }

    /// Record that the node stores when it starts.
    pub(crate) fn node_record(&self) -> NodeRecord {
        NodeRecord { incarnation: self.incarnation, processor_milli: self.processor_milli }
    }

    /// Maximum ages of the data from which the node answers calls.
    pub(crate) fn age_limits(&self) -> AgeLimits {
        AgeLimits {
            configuration_ms: self.key_withdrawal_ms * KEY_AGE_PERCENT / 100,
            jobs_ms: self.job_visible_ms * JOB_AGE_PERCENT / 100,
        }
    }
}
