//! Registry of all jobs in each process, from which callers' queries are
//! answered.

use std::collections::BTreeMap;

use crate::ids::OrganisationId;
use crate::workload::catalog::QueueId;
use crate::workload::key::JobKey;
use crate::workload::record::JobOutcome;
use crate::workload::record::JobStatus;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobView {
    /// No task has started.
    Queued,
    /// A task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The submitter cancelled it.
    Cancelled,
}

/// State of a job from its records, which may arrive in any order.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Queue of the job; none until its submission arrives.
    queue: Option<QueueId>,
    organisation: Option<OrganisationId>,
    has_started: bool,
    is_cancelled: bool,
    outcome: Option<JobOutcome>,
}

impl Entry {
    fn view(self) -> JobView {
        match self.outcome {
            Some(JobOutcome::Completed) => JobView::Completed,
            Some(JobOutcome::Failed) => JobView::Failed,
            None if self.is_cancelled => JobView::Cancelled,
            None if self.has_started => JobView::Active,
            None => JobView::Queued,
        }
    }
}

/// All jobs of which the store holds a record.
#[derive(Clone, Debug, Default)]
pub struct JobRegistry {
    jobs: BTreeMap<JobKey, Entry>,
    queued: BTreeMap<QueueId, u64>,
}

impl JobRegistry {
    /// Applies the submission of a job.
    pub fn apply_submission(
        &mut self,
        job: JobKey,
        queue: QueueId,
        organisation: Option<OrganisationId>,
    ) {
        self.change(job, |entry| {
            entry.queue = Some(queue);
            entry.organisation = organisation;
        });
    }

    /// Applies the cancellation of a job.
    pub fn apply_cancellation(&mut self, job: JobKey) {
        self.change(job, |entry| entry.is_cancelled = true);
    }

    /// Applies the status of a job.
    pub fn apply_status(&mut self, job: JobKey, status: JobStatus) {
        self.change(job, |entry| {
            entry.has_started |= status.has_started;
            entry.outcome = entry.outcome.or(status.outcome);
        });
    }

    /// Removes a job whose submission was deleted from the store.
    pub fn remove(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.remove(&job) else { return };
        self.count(entry, false);
    }

    /// Changes an entry and keeps the counts of queued jobs up to date.
    fn change<F>(&mut self, job: JobKey, change: F)
    where
        F: FnOnce(&mut Entry),
    {
        let entry = self.jobs.entry(job).or_default();
        let before = *entry;
        change(entry);
        let after = *entry;
        self.count(before, false);
        self.count(after, true);
    }

    /// Adds an entry to the count of its queue, or subtracts it, if the job is
    /// queued.
    fn count(&mut self, entry: Entry, adds: bool) {
        let Some(queue) = entry.queue else { return };
        if entry.view() != JobView::Queued {
            return;
        }
        let queued = self.queued.entry(queue).or_default();
        *queued = if adds { *queued + 1 } else { queued.saturating_sub(1) };
    }

    /// State of an accepted job; none until its submission arrives.
    pub fn view(&self, job: JobKey) -> Option<JobView> {
        let entry = self.jobs.get(&job)?;
        entry.queue?;
        Some(entry.view())
    }

    /// Organisation that an accepted job belongs to; none for a job of a public
    /// queue.
    pub fn organisation(&self, job: JobKey) -> Option<OrganisationId> {
        self.jobs.get(&job)?.organisation
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn queued_jobs(&self, queue: QueueId) -> u64 {
        self.queued.get(&queue).copied().unwrap_or_default()
    }

    /// Number of jobs with a record.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// True if no job has a record.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
