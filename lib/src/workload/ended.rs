//! Jobs that have ended: kept for questions about them, then dropped.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::time::TimeMs;
use crate::workload::key::JobKey;
use crate::workload::record::RecordKey;

/// Jobs whose records are dropped with one batch, which bounds it to a hundred
/// short records. While jobs are due, each round of the owner makes a batch, at
/// least 20 a second.
const DROPPED_A_BATCH: usize = 32;

/// Jobs that have ended; their submission may be repeated until they are
/// dropped.
#[derive(Clone, Debug)]
pub(crate) struct EndedJobs {
    kept_ms: u64,
    /// Whether each was cancelled.
    jobs: BTreeMap<JobKey, bool>,
    /// Ended since the last batch.
    fresh: Vec<JobKey>,
    /// In the order in which they are dropped.
    kept: VecDeque<(TimeMs, JobKey)>,
}

impl EndedJobs {
    pub(crate) fn new(kept_ms: u64) -> Self {
        Self { kept_ms, jobs: BTreeMap::new(), fresh: Vec::new(), kept: VecDeque::new() }
    }

    pub(crate) fn contains(&self, job: JobKey) -> bool {
        self.jobs.contains_key(&job)
    }

    pub(crate) fn insert(&mut self, job: JobKey, is_cancelled: bool) {
        if self.jobs.insert(job, is_cancelled).is_none() {
            self.fresh.push(job);
        }
    }

    /// The store has dropped the job.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.jobs.remove(&job);
    }

    /// Keys of the records that are to be dropped now.
    pub(crate) fn take_due(&mut self, now: TimeMs) -> Vec<RecordKey> {
        self.kept.extend(self.fresh.drain(..).map(|job| (now, job)));
        let mut due = Vec::new();
        for _ in 0..DROPPED_A_BATCH {
            let is_due = |(at, _): &mut (TimeMs, JobKey)| now.since(*at) >= self.kept_ms;
            let Some((_, job)) = self.kept.pop_front_if(is_due) else { break };
            let Some(is_cancelled) = self.jobs.get(&job).copied() else { continue };
            due.extend([RecordKey::Progress(job), RecordKey::Submission(job)]);
            due.extend(is_cancelled.then_some(RecordKey::Cancellation(job)));
        }
        due
    }
}
