//! Jobs that have ended. Their records are kept for queries for some time, and
//! then deleted.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::time::TimeMs;
use crate::workload::key::JobKey;
use crate::workload::record_key::RecordKey;

/// Jobs whose records are deleted in one batch, which limits a batch to about a
/// hundred short records. While jobs are due, each round of the owner makes a
/// batch, at least 20 a second.
const MAX_DELETED_JOBS_PER_BATCH: usize = 32;

/// An ended job whose records are to be deleted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeletedJob {
    pub(crate) key: JobKey,
    is_cancelled: bool,
}

impl DeletedJob {
    /// Keys of the records that are deleted first. The progress follows once
    /// these are gone.
    pub(crate) fn keys(&self) -> impl Iterator<Item = RecordKey> {
        let cancellation = self.is_cancelled.then_some(RecordKey::Cancellation(self.key));
        [RecordKey::Submission(self.key), RecordKey::Status(self.key)]
            .into_iter()
            .chain(cancellation)
    }
}

/// Jobs that have ended and whose records are not deleted yet. Until then a
/// repeated submission starts no new job.
#[derive(Clone, Debug)]
pub(crate) struct EndedJobs {
    retention_ms: u64,
    /// Ended jobs, and whether each was cancelled.
    jobs: BTreeMap<JobKey, bool>,
    /// Jobs that have ended since the last batch.
    newly_ended: Vec<JobKey>,
    /// Jobs with the start of their retention, in the order of deletion.
    retained: VecDeque<(TimeMs, JobKey)>,
}

impl EndedJobs {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            jobs: BTreeMap::new(),
            newly_ended: Vec::new(),
            retained: VecDeque::new(),
        }
    }

    pub(crate) fn contains(&self, job: JobKey) -> bool {
        self.jobs.contains_key(&job)
    }

    pub(crate) fn insert(&mut self, job: JobKey, is_cancelled: bool) {
        if self.jobs.insert(job, is_cancelled).is_none() {
            self.newly_ended.push(job);
        }
    }

    /// Forgets a job whose records the store has deleted.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.jobs.remove(&job);
    }

    /// Jobs whose records are due for deletion now.
    pub(crate) fn take_due(&mut self, now: TimeMs) -> Vec<DeletedJob> {
        self.retained.extend(self.newly_ended.drain(..).map(|job| (now, job)));
        let mut due = Vec::new();
        for _ in 0..MAX_DELETED_JOBS_PER_BATCH {
            let is_due = |(at, _): &mut (TimeMs, JobKey)| now.since(*at) >= self.retention_ms;
            let Some((_, job)) = self.retained.pop_front_if(is_due) else { break };
            let Some(is_cancelled) = self.jobs.get(&job).copied() else { continue };
            due.push(DeletedJob { key: job, is_cancelled });
        }
        due
    }
}
