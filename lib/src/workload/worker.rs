//! What the owner knows of one worker.

use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::key::JobId;
use crate::workload::key::TaskKey;
use crate::workload::lease::LeaseTracker;
use crate::workload::spec::StepSpec;

/// Failures in a row, of different jobs, after which a worker is avoided. Jobs
/// that always fail come alone or in small numbers on sound workers.
const SUSPECT_FAILURES: usize = 2;
/// A worker that fails everything is avoided for this time, doubled with each
/// further series.
const SUSPECT_MS: u64 = 2_000;
/// Longest time for which a worker is avoided without a new trial.
const SUSPECT_MAX_MS: u64 = 16_000;
/// A worker that refuses a start for a reason of its own gets none for this
/// time.
const REFUSAL_BACKOFF_MS: u64 = 500;

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    /// Its entry in the registry, while it has one.
    pub(crate) listing: Option<Listing>,
    /// Room that placed tasks take.
    pub(crate) used: Resources,
    pub(crate) tasks: BTreeSet<TaskKey>,
    pub(crate) neighbours: Neighbours,
    /// The batch of records that tells of the last place that became free.
    pub(crate) last_release_batch: Option<u64>,
    pub(crate) reachability: Reachability,
    pub(crate) leases: LeaseTracker,
    /// Life that the last report came from.
    pub(crate) started_unix_ms: Option<u64>,
    /// Highest number of an end in this life that was taken over.
    pub(crate) ended_number: u64,
    /// It is to be maintained or moved and gets no new task.
    pub(crate) is_cordoned: bool,
    failures: BTreeSet<JobId>,
    failure_series: u32,
    pub(crate) avoided_until: TimeMs,
}

/// Tasks on a worker that others are chosen by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Neighbours {
    /// Tasks that last and do not fill.
    pub(crate) serving: u32,
    /// Tasks that fill.
    pub(crate) filling: u32,
}

impl Neighbours {
    pub(crate) fn add(&mut self, spec: &StepSpec) {
        self.serving += u32::from(spec.long_running && !spec.uses_spare_cpu);
        self.filling += u32::from(spec.uses_spare_cpu);
    }

    pub(crate) fn remove(&mut self, spec: &StepSpec) {
        self.serving -= u32::from(spec.long_running && !spec.uses_spare_cpu);
        self.filling -= u32::from(spec.uses_spare_cpu);
    }
}

/// What the registry tells of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    pub(crate) pool: PoolId,
    pub(crate) data_centre: String,
    pub(crate) rack: Option<String>,
    pub(crate) capacity: Resources,
    pub(crate) labels: BTreeSet<String>,
    pub(crate) is_draining: bool,
}

/// Whether a worker can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It has not answered this owner yet.
    Unknown,
    /// It answered last time.
    Reachable,
    /// It did not answer last time.
    Unreachable,
}

impl Worker {
    pub(crate) fn new(name: &str, leases: LeaseTracker) -> Self {
        Self {
            name: name.to_owned(),
            listing: None,
            used: Resources::ZERO,
            tasks: BTreeSet::new(),
            neighbours: Neighbours::default(),
            last_release_batch: None,
            reachability: Reachability::Unknown,
            leases,
            started_unix_ms: None,
            ended_number: 0,
            is_cordoned: false,
            failures: BTreeSet::new(),
            failure_series: 0,
            avoided_until: TimeMs::default(),
        }
    }

    /// What is left of its room.
    pub(crate) fn free(&self) -> Resources {
        let capacity = self.listing.as_ref().map_or(Resources::ZERO, |listing| listing.capacity);
        capacity.saturating_sub(self.used)
    }

    /// True if it may get new tasks.
    pub(crate) fn is_schedulable(&self, now: TimeMs) -> bool {
        let listed = self.listing.as_ref().is_some_and(|listing| !listing.is_draining);
        listed
            && self.reachability != Reachability::Unreachable
            && !self.is_cordoned
            && now >= self.avoided_until
    }

    /// True if it did not answer last time.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.reachability == Reachability::Unreachable
    }

    /// An attempt ended well here.
    pub(crate) fn succeeded(&mut self) {
        self.failures.clear();
        self.failure_series = 0;
    }

    /// An attempt failed here. Returns true if the worker is avoided from now.
    pub(crate) fn failed(&mut self, now: TimeMs, job: JobId) -> bool {
        self.failures.insert(job);
        if self.failures.len() < SUSPECT_FAILURES {
            return false;
        }
        self.failures.clear();
        let doubled = SUSPECT_MS.saturating_mul(1 << self.failure_series.min(8));
        self.failure_series += 1;
        self.avoided_until = now.plus(doubled.min(SUSPECT_MAX_MS));
        true
    }

    /// It refused a start for a reason of its own.
    pub(crate) fn refused(&mut self, now: TimeMs) {
        self.avoided_until = self.avoided_until.max(now.plus(REFUSAL_BACKOFF_MS));
    }
}
