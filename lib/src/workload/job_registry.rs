//! What each process knows of all jobs, for the questions of callers.

use std::collections::BTreeMap;

use crate::ids::OrganisationId;
use crate::workload::catalog::QueueId;
use crate::workload::key::JobKey;
use crate::workload::record::JobOutcome;
use crate::workload::record::ProgressSummary;

/// What a caller is told of a job.
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

/// What is known of a job. Its records may arrive in any order.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
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

/// All jobs that the store holds.
#[derive(Clone, Debug, Default)]
pub struct JobRegistry {
    jobs: BTreeMap<JobKey, Entry>,
    queued: BTreeMap<QueueId, u64>,
}

impl JobRegistry {
    /// Takes over an accepted job.
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

    /// Takes over a cancellation.
    pub fn apply_cancellation(&mut self, job: JobKey) {
        self.change(job, |entry| entry.is_cancelled = true);
    }

    /// Takes over the progress of a job.
    pub fn apply_progress(&mut self, job: JobKey, progress: ProgressSummary) {
        self.change(job, |entry| {
            entry.has_started |= progress.has_started;
            entry.outcome = entry.outcome.or(progress.outcome);
        });
    }

    /// Forgets a job whose record was dropped.
    pub fn remove(&mut self, job: JobKey) {
        let Some(entry) = self.jobs.remove(&job) else { return };
        self.count(entry, false);
    }

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

    fn count(&mut self, entry: Entry, adds: bool) {
        let Some(queue) = entry.queue else { return };
        if entry.view() != JobView::Queued {
            return;
        }
        let queued = self.queued.entry(queue).or_default();
        *queued = if adds { *queued + 1 } else { queued.saturating_sub(1) };
    }

    /// What is known of a job that was accepted.
    pub fn view(&self, job: JobKey) -> Option<JobView> {
        let entry = self.jobs.get(&job)?;
        entry.queue?;
        Some(entry.view())
    }

    /// Organisation that an accepted job belongs to; none for a job of a queue
    /// open to all.
    pub fn organisation(&self, job: JobKey) -> Option<OrganisationId> {
        self.jobs.get(&job)?.organisation
    }

    /// Accepted jobs of a queue of which no task has started.
    pub fn queued_jobs(&self, queue: QueueId) -> u64 {
        self.queued.get(&queue).copied().unwrap_or_default()
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// True if no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}
