//! Order in which the tasks of waiting jobs are placed.

use std::cmp::Reverse;

use crate::time::TimeMs;
use crate::workload::job::Job;
use crate::workload::key::JobId;

/// A job whose age exceeds this multiple of its objective has no value left for
/// its submitter. The platform's rules set the multiple.
pub(crate) const OVERDUE_FACTOR: u64 = 3;

/// Rank of a waiting job; jobs are placed in ascending rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    value_class: ValueClass,
    priority: u32,
    remaining_work: u64,
    /// The older job comes first.
    age_ms: Reverse<u64>,
    id: JobId,
}

impl Rank {
    /// True if the job runs until it is cancelled.
    pub(crate) fn is_long_running(self) -> bool {
        self.value_class == ValueClass::LongRunning
    }

    /// True if the job has missed its objective and still has part of its value.
    pub(crate) fn is_late(self) -> bool {
        self.value_class == ValueClass::Late
    }

    /// The rank of a job while the link of the owner is the limit. New jobs are
    /// then refused while too many starts wait, so that every job that was
    /// accepted can start soon if all are served in the order of their arrival.
    pub(crate) fn by_arrival(self) -> Self {
        let value_class = match self.value_class {
            ValueClass::InTime | ValueClass::Late => ValueClass::InTime,
            ValueClass::LongRunning | ValueClass::Overdue => self.value_class,
        };
        Self { value_class, remaining_work: 0, ..self }
    }
}

/// Class of a job by the value that it still has for its submitter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ValueClass {
    /// The job runs until it is cancelled, and loses service time for as long
    /// as its tasks are not running.
    LongRunning,
    /// The job can still meet its objective.
    InTime,
    /// The job has missed its objective and has lost part of its value.
    Late,
    /// The job has no value left, but it was accepted and must be completed.
    Overdue,
}

/// The rank of a job at `now`.
pub(crate) fn rank(now: TimeMs, id: JobId, job: &Job) -> Rank {
    let objective_ms = objective_ms(job);
    let age_ms = job.age_ms(now);
    let value_class = if job.spec.is_long_running() {
        ValueClass::LongRunning
    } else if age_ms <= objective_ms {
        ValueClass::InTime
    } else if age_ms <= objective_ms.saturating_mul(OVERDUE_FACTOR) {
        ValueClass::Late
    } else {
        ValueClass::Overdue
    };
    Rank {
        value_class,
        priority: job.rules.priority,
        remaining_work: job.remaining_work(),
        age_ms: Reverse(age_ms),
        id,
    }
}

/// True if a job has no value left for its submitter.
pub(crate) fn is_overdue(now: TimeMs, job: &Job) -> bool {
    let bound_ms = objective_ms(job).saturating_mul(OVERDUE_FACTOR);
    !job.spec.is_long_running() && job.age_ms(now) > bound_ms
}

/// Time from acceptance within which a job should be completed.
fn objective_ms(job: &Job) -> u64 {
    job.rules.objective_ms(job.critical_path_ms)
}
