//! Deterministic fold of a `jobs` stream. A new owner rebuilds its queue from
//! it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::control::MAX_RECENT_IDS;
use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::RecordId;
use crate::job::JobEnd;
use crate::job::JobOutcome;
use crate::job::JobRecord;
use crate::job::JobRecordBody;
use crate::job::JobRef;
use crate::job::JobSnapshot;
use crate::job::JobSpec;

/// Number of ended jobs that are remembered, so that a submitter whose reply
/// was lost may submit the job again even if it has ended since. At 50 jobs a
/// second in one partition, ten times its part of the fleet's rate, ends are
/// remembered for over 80 s.
pub const REMEMBERED_ENDS: usize = 4_096;

/// The folded state of a `jobs` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobLog {
    next_offset: Offset,
    epoch: Epoch,
    open: BTreeMap<u64, JobSpec>,
    order: BTreeMap<JobRef, u64>,
    next_order: u64,
    ends: BTreeMap<JobRef, JobOutcome>,
    recent_ends: VecDeque<JobRef>,
    recent_ids: VecDeque<RecordId>,
    recent_id_set: BTreeSet<RecordId>,
}

/// Outcome of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobLogOutcome {
    /// The record was applied, with this change for each job that it names, in
    /// order.
    Applied(Vec<JobChange>),
    /// The record is void: it has no effect.
    Void(JobVoidReason),
}

/// Effect of a record on one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// The job is accepted.
    Accepted(JobRef),
    /// The same job was accepted before and is open.
    Known(JobRef),
    /// A job of this name ended a short time ago.
    EndedBefore(JobRef, JobOutcome),
    /// A different job of this name is open.
    Conflict(JobRef),
    /// The job has ended or is cancelled.
    Ended(JobRef, JobOutcome),
    /// No job of this name is open.
    NotOpen(JobRef),
}

/// Why a record is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobVoidReason {
    /// The record was applied before.
    #[error("record was applied before")]
    Duplicate,
    /// A later owner has written to the stream.
    #[error("epoch {} is older than epoch {}", found.0, highest.0)]
    OldEpoch {
        /// Epoch of the record.
        found: Epoch,
        /// Highest epoch of the records before.
        highest: Epoch,
    },
    /// The record cannot be decoded.
    #[error("record does not decode")]
    Undecodable,
}

/// Why a stream cannot be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobLogError {
    /// The log no longer keeps the first records, and no snapshot covers them.
    #[error("stream is kept from offset {first} on, and no snapshot covers the records before")]
    Incomplete {
        /// Offset of the first record that is kept.
        first: Offset,
    },
}

impl JobLog {
    /// Folds `records`, all that the log keeps of a stream, in the order of
    /// their offsets. A record that cannot be decoded is `None`.
    pub fn fold(records: &[(Offset, Option<JobRecord>)]) -> Result<Self, JobLogError> {
        let Some((first, _)) = records.first() else { return Ok(Self::default()) };
        let snapshots =
            records.iter().rev().filter_map(|(_, record)| match &record.as_ref()?.body {
                JobRecordBody::Snapshot(snapshot) if snapshot.next_offset >= *first => {
                    Some(snapshot)
                }
                JobRecordBody::Snapshot(_)
                | JobRecordBody::Accepted(_)
                | JobRecordBody::Cancelled(_)
                | JobRecordBody::Ended(_) => None,
            });
        // A former owner may append a snapshot after a later owner's snapshot,
        // which covers more records.
        let newest = snapshots.max_by_key(|snapshot| (snapshot.epoch, snapshot.next_offset));
        let mut log = match newest {
            Some(snapshot) => Self::from_snapshot(snapshot),
            None if *first == Offset(0) => Self::default(),
            None => return Err(JobLogError::Incomplete { first: *first }),
        };
        let from = log.next_offset;
        for (offset, record) in records.iter().filter(|(offset, _)| *offset >= from) {
            match record {
                Some(record) => log.apply(*offset, record),
                None => log.skip(*offset),
            };
        }
        Ok(log)
    }

    /// Restores the state from a snapshot.
    pub fn from_snapshot(snapshot: &JobSnapshot) -> Self {
        let mut log =
            Self { next_offset: snapshot.next_offset, epoch: snapshot.epoch, ..Self::default() };
        for job in &snapshot.jobs {
            log.open_job(job);
        }
        for end in &snapshot.recent_ends {
            log.remember_end(&end.job, end.outcome);
        }
        for id in &snapshot.recent_ids {
            log.remember_record_id(*id);
        }
        log
    }

    /// Takes a snapshot of the state.
    pub fn snapshot(&self) -> JobSnapshot {
        let end =
            |job: &JobRef| Some(JobEnd { job: job.clone(), outcome: self.ends.get(job).copied()? });
        JobSnapshot {
            next_offset: self.next_offset,
            epoch: self.epoch,
            jobs: self.open.values().cloned().collect(),
            recent_ends: self.recent_ends.iter().filter_map(end).collect(),
            recent_ids: self.recent_ids.iter().copied().collect(),
        }
    }

    /// Offset of the record that is applied next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Open jobs in the order in which they were accepted.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobSpec> {
        self.open.values()
    }

    /// The effect that accepting this job would have, or `None` if the job is
    /// new.
    pub fn known(&self, job: &JobSpec) -> Option<JobChange> {
        let name = job.job.clone();
        if let Some(open) = self.order.get(&name).and_then(|order| self.open.get(order)) {
            let same = open == job;
            return Some(if same { JobChange::Known(name) } else { JobChange::Conflict(name) });
        }
        let outcome = self.ends.get(&name).copied()?;
        Some(JobChange::EndedBefore(name, outcome))
    }

    /// Applies the record at `offset`.
    ///
    /// # Panics
    ///
    /// Panics if `offset` is not the next offset, since jobs would be lost with
    /// a skipped record.
    pub fn apply(&mut self, offset: Offset, record: &JobRecord) -> JobLogOutcome {
        assert_eq!(offset, self.next_offset, "records are applied in offset order");
        self.next_offset = offset.next();
        if record.epoch < self.epoch {
            let (found, highest) = (record.epoch, self.epoch);
            return JobLogOutcome::Void(JobVoidReason::OldEpoch { found, highest });
        }
        self.epoch = record.epoch;
        if !self.remember_record_id(record.id) {
            return JobLogOutcome::Void(JobVoidReason::Duplicate);
        }
        JobLogOutcome::Applied(match &record.body {
            JobRecordBody::Accepted(jobs) => jobs.iter().map(|job| self.accept(job)).collect(),
            JobRecordBody::Cancelled(jobs) => {
                jobs.iter().map(|job| self.end(job, JobOutcome::Cancelled)).collect()
            }
            JobRecordBody::Ended(ends) => {
                ends.iter().map(|end| self.end(&end.job, end.outcome)).collect()
            }
            // The fold already has the state that the snapshot describes.
            JobRecordBody::Snapshot(_) => Vec::new(),
        })
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) -> JobLogOutcome {
        assert_eq!(offset, self.next_offset, "records are applied in offset order");
        self.next_offset = offset.next();
        JobLogOutcome::Void(JobVoidReason::Undecodable)
    }

    fn accept(&mut self, job: &JobSpec) -> JobChange {
        if let Some(known) = self.known(job) {
            return known;
        }
        self.open_job(job);
        JobChange::Accepted(job.job.clone())
    }

    fn open_job(&mut self, job: &JobSpec) {
        self.open.insert(self.next_order, job.clone());
        self.order.insert(job.job.clone(), self.next_order);
        self.next_order += 1;
    }

    fn end(&mut self, name: &JobRef, outcome: JobOutcome) -> JobChange {
        let Some(order) = self.order.remove(name) else { return JobChange::NotOpen(name.clone()) };
        self.open.remove(&order);
        self.remember_end(name, outcome);
        JobChange::Ended(name.clone(), outcome)
    }

    fn remember_end(&mut self, name: &JobRef, outcome: JobOutcome) {
        self.ends.insert(name.clone(), outcome);
        self.recent_ends.push_back(name.clone());
        if self.recent_ends.len() > REMEMBERED_ENDS
            && let Some(oldest) = self.recent_ends.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    fn remember_record_id(&mut self, id: RecordId) -> bool {
        if !self.recent_id_set.insert(id) {
            return false;
        }
        self.recent_ids.push_back(id);
        if self.recent_ids.len() > MAX_RECENT_IDS
            && let Some(oldest) = self.recent_ids.pop_front()
        {
            self.recent_id_set.remove(&oldest);
        }
        true
    }
}
