//! The open jobs of a partition.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::arena::Arena;
use crate::ids::JobId;
use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::job::AttemptId;
use crate::job::JobRef;
use crate::job::JobSpec;
use crate::job::JobState;
use crate::job_class::JobClass;
use crate::resources::Resources;
use crate::scheduler_decision::EndReason;
use crate::scheduler_decision::WaitReason;
use crate::scheduler_event::JobOrigin;
use crate::time::TimeMs;

/// Number of waiting jobs of an organisation that one pass considers.
pub(crate) const LOOK_AHEAD: usize = 64;

/// An open job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) class: JobClass,
    pub(crate) origin: JobOrigin,
    pub(crate) order: u64,
    pub(crate) accepted_at: TimeMs,
    /// Time at which the job entered its state.
    pub(crate) since: TimeMs,
    pub(crate) state: JobState,
    pub(crate) wait: WaitReason,
    /// Last attempt whose end or loss was handled.
    pub(crate) last_handled: Option<AttemptId>,
    /// Last attempt whose end was reported by its worker.
    pub(crate) last_ended: Option<AttemptId>,
    /// Number of failed attempts that count against the job.
    pub(crate) failures: u32,
    /// Time before which the job is not started again.
    pub(crate) not_before: TimeMs,
    /// Time since which the job has been larger than every worker.
    pub(crate) too_large_since: Option<TimeMs>,
    /// Why the job ends, and the VM of its last worker.
    pub(crate) ending: Option<(EndReason, Option<VmId>)>,
}

impl Job {
    pub(crate) fn is_queued(&self) -> bool {
        self.state == JobState::Queued
    }
}

/// Position of a waiting job, in the order in which jobs were accepted.
pub(crate) type QueueKey = (u64, JobId);

/// Waiting jobs of one organisation.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    urgent: BTreeSet<QueueKey>,
    normal: BTreeSet<QueueKey>,
}

impl OrganisationQueue {
    fn jobs_mut(&mut self, urgent: bool) -> &mut BTreeSet<QueueKey> {
        if urgent { &mut self.urgent } else { &mut self.normal }
    }
}

/// The open jobs, with an index of those that wait by organisation.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobQueue {
    jobs: Arena<JobId, Job>,
    by_ref: BTreeMap<JobRef, JobId>,
    queued: BTreeMap<OrganisationId, OrganisationQueue>,
    ending: BTreeSet<JobId>,
    free: Vec<JobId>,
    next_order: u64,
}

impl JobQueue {
    /// Adds a job unless it is open already.
    pub(crate) fn accept(&mut self, now: TimeMs, spec: JobSpec, origin: JobOrigin) {
        if self.by_ref.contains_key(&spec.job) {
            return;
        }
        let order = self.next_order;
        self.next_order += 1;
        let (name, urgent) = (spec.job.clone(), spec.urgent);
        let job = Job {
            class: JobClass::from(&spec.job),
            spec,
            origin,
            order,
            accepted_at: now,
            since: now,
            state: JobState::Queued,
            wait: WaitReason::New,
            last_handled: None,
            last_ended: None,
            failures: 0,
            not_before: now,
            too_large_since: None,
            ending: None,
        };
        // Ids are reused, so that the arena grows with the number of open jobs
        // and not with all jobs accepted during a long ownership.
        let id = match self.free.pop() {
            Some(id) => {
                self.jobs.insert_at(id, job);
                id
            }
            None => self.jobs.insert(job),
        };
        self.queued.entry(name.organisation).or_default().jobs_mut(urgent).insert((order, id));
        self.by_ref.insert(name, id);
    }

    pub(crate) fn remove(&mut self, name: &JobRef) -> Option<Job> {
        let id = self.by_ref.remove(name)?;
        let job = self.jobs.remove(id)?;
        self.unqueue(name.organisation, job.spec.urgent, (job.order, id));
        self.ending.remove(&id);
        self.free.push(id);
        Some(job)
    }

    /// Changes the state of a job and updates the index of waiting jobs.
    pub(crate) fn set_state(&mut self, now: TimeMs, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.state == state {
            return;
        }
        job.state = state;
        job.since = now;
        let (organisation, urgent, key) =
            (job.spec.job.organisation, job.spec.urgent, (job.order, id));
        match state {
            JobState::Queued => {
                job.wait = WaitReason::New;
                self.queued.entry(organisation).or_default().jobs_mut(urgent).insert(key);
            }
            JobState::Active { .. } => self.unqueue(organisation, urgent, key),
            JobState::Ending { .. } => {
                self.unqueue(organisation, urgent, key);
                self.ending.insert(id);
            }
        }
    }

    fn unqueue(&mut self, organisation: OrganisationId, urgent: bool, key: QueueKey) {
        if let Some(queue) = self.queued.get_mut(&organisation) {
            queue.jobs_mut(urgent).remove(&key);
            if queue.urgent.is_empty() && queue.normal.is_empty() {
                self.queued.remove(&organisation);
            }
        }
    }

    pub(crate) fn id(&self, name: &JobRef) -> Option<JobId> {
        self.by_ref.get(name).copied()
    }

    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    pub(crate) fn by_name(&self, name: &JobRef) -> Option<&Job> {
        self.jobs.get(self.id(name)?)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter()
    }

    /// Jobs whose end was decided but is not in the stream yet.
    pub(crate) fn ending(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.ending.iter().filter_map(|id| Some((*id, self.jobs.get(*id)?)))
    }

    /// The first `count` waiting jobs of each organisation that are not urgent.
    pub(crate) fn first_waiting(&self, count: usize) -> impl Iterator<Item = (JobId, &Job)> {
        let keys = self.queued.values().flat_map(move |queue| queue.normal.iter().take(count));
        keys.filter_map(|(_, id)| Some((*id, self.jobs.get(*id)?)))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_ref.len()
    }

    /// Organisations with jobs that wait.
    pub(crate) fn waiting_organisations(&self) -> impl Iterator<Item = OrganisationId> {
        self.queued.keys().copied()
    }

    /// The first waiting job of an organisation after `after`, among the urgent
    /// jobs or among the others.
    pub(crate) fn next_waiting(
        &self,
        organisation: OrganisationId,
        urgent: bool,
        after: Option<QueueKey>,
    ) -> Option<QueueKey> {
        let queue = self.queued.get(&organisation)?;
        let jobs = if urgent { &queue.urgent } else { &queue.normal };
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        jobs.range((from, Bound::Unbounded)).next().copied()
    }

    /// Waiting jobs of an organisation, urgent ones first, in the order in which
    /// they were accepted.
    fn waiting(&self, organisation: OrganisationId) -> impl Iterator<Item = &Job> {
        let queue = self.queued.get(&organisation).into_iter();
        let keys = queue.flat_map(|queue| queue.urgent.iter().chain(&queue.normal));
        keys.filter_map(|(_, id)| self.jobs.get(*id))
    }

    /// Grant that waiting jobs of an organisation could use. Jobs are added in
    /// order as long as their sum is within `obtainable`, the most grant that
    /// the partition can have. The first job and urgent jobs are always added,
    /// others only if the sum fits in `free`, the free capacity of the workers.
    pub(crate) fn wanted(
        &self,
        organisation: OrganisationId,
        obtainable: Resources,
        free: Resources,
    ) -> Wanted {
        let mut wanted = Wanted::default();
        for job in self.waiting(organisation).take(LOOK_AHEAD) {
            let request = job.spec.request;
            let sum = wanted.amount.saturating_add(request);
            let useful = wanted.amount.is_zero() || job.spec.urgent || sum.fits_in(free);
            if !useful || !sum.fits_in(obtainable) {
                continue;
            }
            wanted.amount = sum;
            if job.spec.urgent {
                wanted.urgent = wanted.urgent.saturating_add(request);
            }
        }
        wanted
    }
}

/// Grant that waiting jobs could use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wanted {
    /// Sum for all jobs.
    pub(crate) amount: Resources,
    /// Sum for urgent jobs.
    pub(crate) urgent: Resources,
}
