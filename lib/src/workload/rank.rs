//! The order in which waiting jobs get places.

use crate::time::TimeMs;
use crate::workload::job::Job;
use crate::workload::key::JobId;

/// After this multiple of its objective a job is worth nothing more to its
/// submitter. The platform's rules set it.
const LATE_FACTOR: u64 = 3;

/// Rank of a waiting job; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    band: Band,
    priority: u32,
    remaining_work: u64,
    accepted_at: TimeMs,
    id: JobId,
}

/// What a job can still be worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    /// It serves until it is cancelled; each second without a task is lost.
    Lasting,
    /// It can meet its objective.
    InTime,
    /// It has missed its objective and is worth less.
    Late,
    /// It is worth nothing more, but was accepted.
    Overdue,
}

/// The rank of a job at `now`.
pub(crate) fn rank(now: TimeMs, id: JobId, job: &Job) -> Rank {
    let objective_ms = objective_ms(job);
    let age_ms = now.since(job.accepted_at);
    let band = if job.spec.is_long_running() {
        Band::Lasting
    } else if age_ms <= objective_ms {
        Band::InTime
    } else if age_ms <= objective_ms.saturating_mul(LATE_FACTOR) {
        Band::Late
    } else {
        Band::Overdue
    };
    Rank {
        band,
        priority: job.rules.priority,
        remaining_work: job.remaining_work(),
        accepted_at: job.accepted_at,
        id,
    }
}

/// True if a job is worth nothing more to its submitter.
pub(crate) fn is_overdue(now: TimeMs, job: &Job) -> bool {
    let bound_ms = objective_ms(job).saturating_mul(LATE_FACTOR);
    !job.spec.is_long_running() && now.since(job.accepted_at) > bound_ms
}

/// Time in which a job should be completed.
fn objective_ms(job: &Job) -> u64 {
    let slack = job.critical_path_ms.saturating_mul(job.rules.slack_milli) / 1_000;
    slack.saturating_add(job.rules.target_latency_ms)
}
