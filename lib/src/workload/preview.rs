//! Preview of a placement: where the tasks of a job would start now, and why,
//! without submitting it.
//!
//! A preview submits the job to a copy of the owner's state and runs the same
//! placement round there as for real jobs, so that it cannot disagree with them.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::Blocker;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::WorkerId;
use crate::workload::pool_load::PoolLoad;
use crate::workload::spec::JobSpec;
use crate::workload::spec::StepSpec;

/// Most tasks and workers of a state that is copied for a preview. A copy takes
/// about a kilobyte for each, and an entry VM has 160 MB.
const MAX_COPIED_ENTRIES: usize = 20_000;
/// Most workers that a preview names for each reason.
const MAX_NAMED_WORKERS: usize = 5;

/// A job that is not submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviewQuestion {
    /// Host of the queue.
    pub host: String,
    /// Path prefix of the queue.
    pub path: String,
    /// Organisation that would submit the job; none for a public queue.
    pub organisation: Option<String>,
    /// The only step of the job.
    pub step: StepSpec,
}

/// What a node would do with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviewAnswer {
    /// Name of the node.
    pub node: String,
    /// Whether the node is the owner.
    pub is_owner: bool,
    /// Version of the configuration in force.
    pub configuration_version: Option<u64>,
    /// Name of the queue; empty if there is none.
    pub queue: String,
    /// Name of its pool.
    pub pool: String,
    /// Name of the answer that a caller would get.
    pub admission: &'static str,
    /// Time after which a refused caller should return.
    pub retry_after_ms: u64,
    /// Weight and limit of the organisation.
    pub organisation: OrganisationView,
    /// Where the tasks would start.
    pub placement: Result<PlacementPreview, PreviewError>,
}

/// What the configuration says of an organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationView {
    /// Weight of its share while there is not enough capacity.
    pub weight: u64,
    /// Limit on the CPU of its running tasks, in thousandths of a core.
    pub limit_cpu_milli: Option<u64>,
}

/// What the owner would do with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementPreview {
    /// Load of the pool before the job.
    pub load: PoolLoad,
    /// Jobs of the pool with waiting tasks that are placed before this one.
    pub jobs_ahead: usize,
    /// One more task would exceed the limit of the organisation.
    pub is_over_limit: bool,
    /// CPU that tasks of the organisation take, in thousandths of a core.
    pub organisation_used_cpu_milli: u64,
    /// Workers that get tasks in the next round.
    pub chosen: Vec<ChosenWorker>,
    /// Tasks of the job that could start now and find no worker.
    pub waiting_tasks: u32,
    /// Other workers of the pool, by the first reason against each.
    pub blocked: BTreeMap<Blocker, BlockedWorkers>,
}

/// A worker that would get tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenWorker {
    /// Name of the worker.
    pub worker: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack, if it is known.
    pub rack: Option<String>,
    /// Tasks of the job that it would get.
    pub tasks: u32,
    /// Free CPU before the job, in thousandths of a core.
    pub free_cpu_milli: u64,
}

/// Workers with the same reason against them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedWorkers {
    /// Number of workers.
    pub count: u32,
    /// Names of some of them.
    pub names: Vec<String>,
}

/// Why there is no preview.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PreviewError {
    /// The owner has not applied all stored jobs yet.
    #[error("the owner is still recovering")]
    Recovering,
    /// A copy of the state would take too much memory.
    #[error("the fleet has {entries} tasks and workers; previews are limited to {max}")]
    TooLarge {
        /// Tasks and workers.
        entries: usize,
        /// The limit.
        max: usize,
    },
    /// A job with this key exists.
    #[error("a job with this key exists")]
    KeyInUse,
    /// Another node is the owner and places tasks.
    #[error("this node is not the owner; ask the one whose metric cowslipport_is_owner is 1")]
    NotOwner,
    /// The job would be refused.
    #[error("the job would be refused")]
    Refused,
    /// The last preview was a moment ago.
    #[error("a node answers one preview a second")]
    TooSoon,
}

impl Dispatcher {
    /// What the next placement round would do with a new job. Nothing changes.
    pub fn preview(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
        key: JobKey,
        spec: JobSpec,
    ) -> Result<PlacementPreview, PreviewError> {
        if !self.is_recovered {
            return Err(PreviewError::Recovering);
        }
        if self.job_id(key).is_some() {
            return Err(PreviewError::KeyInUse);
        }
        let steps = self.jobs.iter().flat_map(|(_, job)| job.occurrences.iter().flatten());
        let tasks: usize = steps.map(|step| step.tasks.len()).sum();
        let entries = tasks + self.workers.iter().count();
        if entries > MAX_COPIED_ENTRIES {
            return Err(PreviewError::TooLarge { entries, max: MAX_COPIED_ENTRIES });
        }
        let mut catalog = catalog.clone();
        let mut copy = self.clone();
        copy.submitted(now, &mut catalog, key, spec, None);
        let Some(id) = copy.job_id(key) else { return Err(PreviewError::KeyInUse) };
        let jobs_ahead = copy.jobs_ahead(now, now_unix_ms, id);
        copy.place_tasks(now, now_unix_ms, &catalog);
        Ok(self.compare(now, now_unix_ms, &catalog, &copy, id, jobs_ahead))
    }

    /// Number of jobs of the same pool that are placed before a job.
    fn jobs_ahead(&mut self, now: TimeMs, now_unix_ms: u64, id: JobId) -> usize {
        let Some(pool) = self.jobs.get(id).map(|job| job.pool) else { return 0 };
        let order = self.waiting_jobs(now, now_unix_ms);
        let before = order.iter().take_while(|(_, _, job)| *job != id);
        before.filter(|(_, other, _)| *other == pool).count()
    }

    /// The preview of a job from the state without it and a copy in which it was
    /// placed.
    fn compare(
        &self,
        now: TimeMs,
        now_unix_ms: u64,
        catalog: &Catalog,
        copy: &Dispatcher,
        id: JobId,
        jobs_ahead: usize,
    ) -> PlacementPreview {
        let mut preview = PlacementPreview {
            load: PoolLoad::default(),
            jobs_ahead,
            is_over_limit: false,
            organisation_used_cpu_milli: 0,
            chosen: Vec::new(),
            waiting_tasks: 0,
            blocked: BTreeMap::new(),
        };
        let Some(job) = copy.jobs.get(id) else { return preview };
        let loads = self.pool_loads(now, now_unix_ms, catalog);
        preview.load = loads.get(&job.pool).copied().unwrap_or_default();
        let used = job.organisation.and_then(|name| self.used_by_organisation.get(&name));
        preview.organisation_used_cpu_milli = used.map_or(0, |used| used.cpu_milli);
        let mut chosen: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for (_, step) in job.steps(id) {
            for placement in step.tasks.iter().filter_map(|task| task.placement()) {
                *chosen.entry(placement.worker).or_default() += 1;
            }
        }
        preview.chosen.extend(chosen.iter().map(|(worker, tasks)| self.chosen(*worker, *tasks)));
        let waiting = job.startable_steps(id, now_unix_ms);
        preview.waiting_tasks = waiting.map(|(_, step)| step.waiting()).sum();
        let Some((step, _)) = job.steps(id).next() else { return preview };
        let request = job.step_spec(step.step).start_request();
        preview.is_over_limit = !copy.is_within_limit(catalog, id, request);
        for (worker, state) in copy.workers.iter().filter(|(id, _)| !chosen.contains_key(id)) {
            let is_of_pool = state.listing.as_ref().is_some_and(|entry| entry.pool == job.pool);
            let Some(blocker) = copy.blocker(now, job, step, worker).filter(|_| is_of_pool) else {
                continue;
            };
            let blocked = preview.blocked.entry(blocker).or_default();
            blocked.count += 1;
            if blocked.names.len() < MAX_NAMED_WORKERS {
                blocked.names.push(state.name.clone());
            }
        }
        preview
    }

    fn chosen(&self, id: WorkerId, tasks: u32) -> ChosenWorker {
        let listing = self.workers.get(id).and_then(|worker| worker.listing.as_ref());
        ChosenWorker {
            worker: self.worker_name(id).to_owned(),
            data_centre: listing.map(|entry| entry.data_centre.clone()).unwrap_or_default(),
            rack: listing.and_then(|entry| entry.rack.clone()),
            tasks,
            free_cpu_milli: self.free_capacity(id).cpu_milli,
        }
    }
}
