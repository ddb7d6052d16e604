//! The owner's state of one worker.

use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::key::JobId;
use crate::workload::key::TaskKey;
use crate::workload::lease::LeaseTracker;
use crate::workload::run_time::Slowness;
use crate::workload::spec::StepSpec;

/// Failures in a row, of different jobs, after which a worker is avoided. On a
/// healthy worker, failures of jobs that always fail rarely follow each other.
const AVOID_AFTER_FAILURES: usize = 2;
/// A worker on which tasks keep failing is avoided for this time, doubled with
/// each further series of failures.
const AVOID_MIN_MS: u64 = 2_000;
/// Longest time for which a worker is avoided before it is tried again.
const AVOID_MAX_MS: u64 = 16_000;
/// A worker that refuses a start, or does not answer it, gets no starts for
/// this time.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// A worker and its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    /// The worker's registry entry, if it has one.
    pub(crate) listing: Option<Listing>,
    /// Resources that placed tasks take.
    pub(crate) used: Resources,
    pub(crate) tasks: BTreeSet<TaskKey>,
    pub(crate) task_counts: TaskCounts,
    /// Number of the batch that records the last removal of a placement.
    pub(crate) last_release_batch: Option<u64>,
    pub(crate) reachability: Reachability,
    pub(crate) leases: LeaseTracker,
    /// Whether the last report lists running attempts that are not placed on the worker.
    /// They take room until they have stopped.
    pub(crate) runs_unassigned: bool,
    /// Whether leases on the worker last longer than owners intend, as of the last
    /// call.
    pub(crate) has_long_leases: bool,
    /// Start time of the incarnation that sent the last report.
    pub(crate) started_unix_ms: Option<u64>,
    /// When the last call without an answer ended that renewed leases of that
    /// incarnation.
    pub(crate) unanswered_renewal_at: Option<TimeMs>,
    /// When the owner learned of the last restart of the worker.
    pub(crate) restarted_at: Option<TimeMs>,
    /// Highest number of an end that was handled in this incarnation.
    pub(crate) last_end_number: u64,
    /// Whether the worker gets no new tasks, because its VM is to be maintained
    /// or moved.
    pub(crate) is_cordoned: bool,
    /// By how much the worker is slower than others.
    pub(crate) slowness: Slowness,
    /// Whether the worker answered the call before the last report, so that the ends in
    /// the report have just come.
    pub(crate) reports_are_timely: bool,
    /// Whether other workers of the pool get tasks first, because the pool has
    /// too many and this one is nearly empty.
    pub(crate) is_emptying: bool,
    failed_jobs: BTreeSet<JobId>,
    avoided_in_a_row: u32,
    pub(crate) avoided_until: TimeMs,
}

/// Numbers of tasks on a worker that the choice of workers depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskCounts {
    /// Long-running tasks that do not use spare CPU.
    pub(crate) serving: u32,
    /// Tasks that use spare CPU.
    pub(crate) spare_cpu: u32,
}

impl TaskCounts {
    pub(crate) fn add(&mut self, spec: &StepSpec) {
        self.serving += u32::from(spec.long_running && !spec.uses_spare_cpu);
        self.spare_cpu += u32::from(spec.uses_spare_cpu);
    }

    pub(crate) fn remove(&mut self, spec: &StepSpec) {
        self.serving -= u32::from(spec.long_running && !spec.uses_spare_cpu);
        self.spare_cpu -= u32::from(spec.uses_spare_cpu);
    }
}

/// A worker's registry entry.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    pub(crate) pool: PoolId,
    pub(crate) data_centre: String,
    pub(crate) rack: Option<String>,
    pub(crate) capacity: Resources,
    pub(crate) labels: BTreeSet<String>,
    pub(crate) is_draining: bool,
    /// Start time of the incarnation that the entry is of, if it is known.
    pub(crate) started_unix_ms: Option<u64>,
}

/// Whether a worker answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// The worker has neither answered this owner yet nor failed to.
    Unknown,
    /// The worker answered the last call.
    Reachable,
    /// The worker did not answer the last call.
    Unreachable,
}

impl Worker {
    pub(crate) fn new(name: &str, leases: LeaseTracker) -> Self {
        Self {
            name: name.to_owned(),
            listing: None,
            used: Resources::ZERO,
            tasks: BTreeSet::new(),
            task_counts: TaskCounts::default(),
            last_release_batch: None,
            reachability: Reachability::Unknown,
            leases,
            runs_unassigned: false,
            has_long_leases: false,
            started_unix_ms: None,
            unanswered_renewal_at: None,
            restarted_at: None,
            last_end_number: 0,
            is_cordoned: false,
            slowness: Slowness::default(),
            reports_are_timely: false,
            is_emptying: false,
            failed_jobs: BTreeSet::new(),
            avoided_in_a_row: 0,
            avoided_until: TimeMs::default(),
        }
    }

    /// Capacity that is not taken by placed tasks.
    pub(crate) fn free(&self) -> Resources {
        let capacity = self.listing.as_ref().map_or(Resources::ZERO, |listing| listing.capacity);
        capacity.saturating_sub(self.used)
    }

    /// True if the worker may get new tasks.
    pub(crate) fn is_schedulable(&self, now: TimeMs) -> bool {
        let accepts_tasks = self.listing.as_ref().is_some_and(|listing| !listing.is_draining);
        accepts_tasks
            && self.is_listing_current()
            && self.leases.may_be_renewed()
            && !self.runs_unassigned
            && self.reachability != Reachability::Unreachable
            && !self.is_cordoned
            && now >= self.avoided_until
    }

    /// False if the registry entry and the last report are of different incarnations.
    /// A worker may restart with other labels and another capacity.
    pub(crate) fn is_listing_current(&self) -> bool {
        let listed = self.listing.as_ref().and_then(|listing| listing.started_unix_ms);
        match (listed, self.started_unix_ms) {
            (Some(listed), Some(reported)) => listed == reported,
            (None, _) | (_, None) => true,
        }
    }

    /// True if the worker did not answer the last call.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.reachability == Reachability::Unreachable
    }

    /// Records that an attempt succeeded on the worker.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.avoided_in_a_row = 0;
    }

    /// Records that an attempt failed on the worker. Returns true if the worker
    /// is avoided from now on.
    pub(crate) fn record_failure(&mut self, now: TimeMs, job: JobId) -> bool {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < AVOID_AFTER_FAILURES {
            return false;
        }
        self.failed_jobs.clear();
        let doubled = AVOID_MIN_MS.saturating_mul(1 << self.avoided_in_a_row.min(8));
        self.avoided_in_a_row += 1;
        self.avoided_until = now.plus(doubled.min(AVOID_MAX_MS));
        true
    }

    /// Records that the worker refused a start or did not answer it.
    pub(crate) fn record_refusal(&mut self, now: TimeMs) {
        self.avoided_until = self.avoided_until.max(now.plus(REFUSAL_BACKOFF_MS));
    }
}
