//! The owner's state of all jobs and workers, and the entry points that update
//! it.
//!
//! The owner chooses a placement, stores it, and only then orders the worker to
//! start the task, so that a successor finds every attempt that may run in the
//! store. A placement is released when the worker reports the end of the
//! attempt, when the worker has fenced the attempt and does not report it as
//! running, or when all leases on the worker have expired.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::arena::Arena;
use crate::generational_arena::GenerationalArena;
use crate::ids::OrganisationId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::advice::Tickets;
use crate::workload::catalog::Catalog;
use crate::workload::demand_plan::LearnedDemand;
use crate::workload::ended::EndedJobs;
use crate::workload::event::DispatcherEvent;
use crate::workload::explain::WaitTracker;
use crate::workload::fair_share::FairShares;
use crate::workload::former_owners::FormerOwners;
use crate::workload::job::Job;
use crate::workload::job_record;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::lease::LeaseTimes;
use crate::workload::order::StopReason;
use crate::workload::order::WorkerOrder;
use crate::workload::owner_record::NodeIncarnation;
use crate::workload::pace::Pacer;
use crate::workload::pool_load::Arrivals;
use crate::workload::pool_room::PoolRoom;
use crate::workload::record::JobOutcome;
use crate::workload::record::Progress;
use crate::workload::record_key::RecordKey;
use crate::workload::renewal::Renewals;
use crate::workload::run_time::RunTimes;
use crate::workload::scheduling::SchedulingFeatures;
use crate::workload::spec::JobSpec;
use crate::workload::start_budget::StartBudget;
use crate::workload::worker::Worker;

/// Whether a worker has to be polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerActivity {
    /// Tasks are placed on the worker, or its registry entry shows a restart that its
    /// last report does not show, or it is a witness whose answer is needed.
    Polled,
    /// The worker has a registry entry and no tasks.
    Idle,
    /// The worker has neither tasks nor a registry entry.
    Departed,
}

/// The owner's state. It does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) epoch: u64,
    /// Whether all jobs of the store are known. Reports that arrive earlier are
    /// ignored, because their tasks would seem to belong to no job.
    pub(crate) is_recovered: bool,
    /// Time of day at the recovery, from which the ages of stored jobs follow.
    recovered_unix_ms: Option<u64>,
    pub(crate) lease_times: LeaseTimes,
    pub(crate) owner: NodeIncarnation,
    pub(crate) former_owners: FormerOwners,
    pub(crate) renewals: Renewals,
    pub(crate) is_released: bool,
    pub(crate) jobs: GenerationalArena<JobId, Job>,
    by_key: BTreeMap<JobKey, JobId>,
    pub(crate) ended: EndedJobs,
    /// Cancellations that arrived before the submission of their job.
    early_cancellations: BTreeSet<JobKey>,
    pub(crate) workers: Arena<WorkerId, Worker>,
    pub(crate) worker_names: BTreeMap<String, WorkerId>,
    /// Declared resources of the placed tasks of each organisation.
    pub(crate) used_by_organisation: BTreeMap<OrganisationId, Resources>,
    pub(crate) data_centres_out: BTreeSet<String>,
    pub(crate) orders: Vec<WorkerOrder>,
    pub(crate) planned: Vec<TaskKey>,
    pub(crate) to_acknowledge: BTreeMap<WorkerId, u64>,
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs that have started since the last batch.
    pub(crate) started: BTreeSet<JobId>,
    /// Last progress records of jobs that were removed from the arena.
    pub(crate) closed_job_records: Vec<(RecordKey, Vec<u8>)>,
    /// Jobs whose submissions are deleted in these batches.
    pub(crate) unpublished_deletions: VecDeque<(u64, Vec<JobKey>)>,
    pub(crate) events: Vec<DispatcherEvent>,
    pub(crate) pacer: Pacer,
    pub(crate) tickets: Tickets,
    pub(crate) waits: WaitTracker,
    pub(crate) arrivals: Arrivals,
    pub(crate) demand: LearnedDemand,
    pub(crate) start_budget: StartBudget,
    pub(crate) features: SchedulingFeatures,
    /// What the next ownership record states of the pools.
    pub(crate) rooms: Vec<PoolRoom>,
    pub(crate) run_times: RunTimes,
    pub(crate) shares: FairShares,
    /// Time until the budget allows a start that is requested now, as of the
    /// last placement round.
    pub(crate) start_delay_ms: u64,
    /// Workers that do not answer and were missing from the last VM list.
    pub(crate) unlisted_by_vms: BTreeSet<WorkerId>,
    /// Workers for which [`Self::activity`] may have changed.
    pub(crate) activity_changes: BTreeSet<WorkerId>,
    /// Number of the next batch, which will contain changes made now.
    pub(crate) next_batch: u64,
    pub(crate) stored_batch: Option<u64>,
    /// When the first batch was taken.
    pub(crate) first_batch_at: Option<TimeMs>,
}

impl Dispatcher {
    /// Creates the state of a new owner, with no jobs or workers. Records of a
    /// job are kept for `status_kept_ms` after its end.
    pub fn new(
        epoch: u64,
        owner: NodeIncarnation,
        gained_at: TimeMs,
        lease_times: LeaseTimes,
        status_kept_ms: u64,
    ) -> Self {
        Self {
            epoch,
            is_recovered: false,
            recovered_unix_ms: None,
            lease_times,
            owner,
            former_owners: FormerOwners::unknown(gained_at, lease_times),
            renewals: Renewals::default(),
            is_released: false,
            jobs: GenerationalArena::default(),
            by_key: BTreeMap::new(),
            ended: EndedJobs::new(status_kept_ms),
            early_cancellations: BTreeSet::new(),
            workers: Arena::default(),
            worker_names: BTreeMap::new(),
            used_by_organisation: BTreeMap::new(),
            data_centres_out: BTreeSet::new(),
            orders: Vec::new(),
            planned: Vec::new(),
            to_acknowledge: BTreeMap::new(),
            dirty: BTreeSet::new(),
            started: BTreeSet::new(),
            closed_job_records: Vec::new(),
            unpublished_deletions: VecDeque::new(),
            events: Vec::new(),
            pacer: Pacer::default(),
            tickets: Tickets::default(),
            waits: WaitTracker::default(),
            arrivals: Arrivals::default(),
            demand: LearnedDemand::default(),
            start_budget: StartBudget::default(),
            features: SchedulingFeatures::default(),
            rooms: Vec::new(),
            run_times: RunTimes::default(),
            shares: FairShares::default(),
            start_delay_ms: 0,
            unlisted_by_vms: BTreeSet::new(),
            activity_changes: BTreeSet::new(),
            next_batch: 0,
            stored_batch: None,
            first_batch_at: None,
        }
    }

    /// Epoch of the owner, which is the fencing token of its orders.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Limits the starts to what the link of the owner carries. Without a
    /// budget they are not limited.
    pub fn set_start_budget(&mut self, budget: StartBudget) {
        self.start_budget = budget;
    }

    /// Turns decisions on that go beyond what jobs declare.
    pub fn set_features(&mut self, features: SchedulingFeatures) {
        self.features = features;
    }

    /// Whether new jobs that cannot be served in time are refused.
    pub fn refuses_late_jobs(&self) -> bool {
        self.features.refuse_late_jobs
    }

    /// Sets the time of day for the recovery. The jobs that are applied before
    /// [`Self::recovered`] keep the age that they had under former owners.
    pub fn begin_recovery(&mut self, now_unix_ms: u64) {
        self.recovered_unix_ms = Some(now_unix_ms);
    }

    /// Marks recovery as complete: all jobs of the store have been applied.
    pub fn recovered(&mut self) {
        self.is_recovered = true;
    }

    /// Applies the submission of a job, together with the progress that a
    /// former owner recorded.
    pub fn submitted(
        &mut self,
        now: TimeMs,
        catalog: &mut Catalog,
        key: JobKey,
        spec: JobSpec,
        progress: Option<&Progress>,
    ) {
        if self.by_key.contains_key(&key) || self.ended.contains(key) {
            return;
        }
        let pool = catalog.pool_id(&spec.pool);
        let organisation = spec.organisation.as_deref().map(|name| catalog.organisation_id(name));
        let age_ms = match self.recovered_unix_ms.filter(|_| !self.is_recovered) {
            Some(now_unix_ms) => now_unix_ms.saturating_sub(spec.accepted_unix_ms),
            None => 0,
        };
        let mut job = Job::new(key, spec, pool, organisation, now, age_ms);
        if let Some(progress) = progress {
            let worker_id = |name: &str| self.worker_id(name);
            job_record::restore(&mut job, now, progress, worker_id);
            job.recorded_status = job.status();
        }
        job.is_cancelled = self.early_cancellations.remove(&key);
        if job.is_closing() && job.is_idle() {
            self.ended.insert(key, job.is_cancelled);
            return;
        }
        let is_arrival =
            self.is_recovered && !job.spec.is_long_running() && job.spec.schedule.is_none();
        let id = self.jobs.insert(job);
        self.refresh_expected(id);
        if let Some(job) = self.jobs.get_mut(id).filter(|_| is_arrival) {
            let work_core_ms = job.remaining_work();
            self.arrivals.add(now, pool, work_core_ms);
            if self.features.forecast_demand {
                let queue = catalog.queue_id(&job.spec.queue);
                let residence_ms = job.critical_path_ms;
                self.demand.forecast.add(now, (pool, queue), work_core_ms, residence_ms);
            }
            if self.features.share_by_weight {
                let shares = &mut self.shares;
                job.is_beyond_rate = shares.is_beyond_rate(now, catalog, organisation);
            }
        }
        self.by_key.insert(key, id);
        self.reserve_restored_placements(id);
        self.refresh_job(catalog, id);
        self.close_if_finished(id);
    }

    /// Reserves resources for the placements that a former owner has recorded.
    fn reserve_restored_placements(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut placed = Vec::new();
        for (step, state) in job.steps(id) {
            for (index, task) in (0..).zip(&state.tasks) {
                let key = TaskKey { step, index };
                placed.extend(task.placement().map(|placement| (key, placement.worker)));
            }
        }
        for (key, worker) in placed {
            self.reserve_resources(key, worker);
        }
    }

    /// Applies the cancellation of a job.
    pub fn cancelled(&mut self, key: JobKey) {
        let Some(&id) = self.by_key.get(&key) else {
            if !self.ended.contains(key) {
                self.early_cancellations.insert(key);
            }
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_cancelled {
            return;
        }
        job.is_cancelled = true;
        self.stop_all_tasks(id, StopReason::JobCancelled);
        self.close_if_finished(id);
    }

    /// Forgets a job whose submission was dropped from the store.
    pub fn forget(&mut self, key: JobKey) {
        self.ended.forget(key);
        self.early_cancellations.remove(&key);
    }

    /// Applies a changed configuration to all jobs.
    pub fn refresh(&mut self, catalog: &mut Catalog) {
        let ids: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.refresh_job(catalog, id);
        }
    }

    fn refresh_job(&mut self, catalog: &mut Catalog, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let queue = catalog.queue_id(&job.spec.queue);
        // The jobs of a queue that was removed keep their present rules.
        let Some(queue) = catalog.queue(queue) else { return };
        job.rules = queue.rules;
        let pool = queue.pool.clone();
        job.pool = catalog.pool_id(&pool);
    }

    /// Name of a task of an open job.
    pub fn task_name(&self, key: TaskKey) -> Option<TaskName> {
        Some(self.jobs.get(key.step.job)?.task_name(key))
    }

    /// Completes a job whose tasks are all done, and removes an ended or
    /// cancelled job once it has no placement left.
    pub(crate) fn close_if_finished(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let key = job.key;
        if !job.is_closing() && job.is_done() {
            job.outcome = Some(JobOutcome::Completed);
            self.events
                .push(DispatcherEvent::JobEnded { job: key, outcome: JobOutcome::Completed });
            self.mark_dirty(id);
        }
        let Some(job) = self.jobs.get(id) else { return };
        if !job.is_closing() || !job.is_idle() {
            return;
        }
        let (is_dirty, is_cancelled) = (job.is_dirty, job.is_cancelled);
        if is_dirty {
            let records = self.job_records(id);
            self.closed_job_records.extend(records);
        }
        self.jobs.remove(id);
        self.tickets.forget(id);
        self.dirty.remove(&id);
        self.started.remove(&id);
        self.by_key.remove(&key);
        self.ended.insert(key, is_cancelled);
    }

    /// Ends a job as failed and stops its tasks.
    pub(crate) fn fail_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.is_closing() {
            return;
        }
        job.outcome = Some(JobOutcome::Failed);
        let key = job.key;
        self.events.push(DispatcherEvent::JobEnded { job: key, outcome: JobOutcome::Failed });
        self.mark_dirty(id);
        self.stop_all_tasks(id, StopReason::JobFailed);
    }

    /// Takes the orders that may be sent now.
    pub fn take_orders(&mut self) -> Vec<WorkerOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<DispatcherEvent> {
        std::mem::take(&mut self.events)
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.by_key.len()
    }

    /// The job with this key, if it is open.
    pub(crate) fn job_id(&self, key: JobKey) -> Option<JobId> {
        self.by_key.get(&key).copied()
    }
}
