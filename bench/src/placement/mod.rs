//! Measures of job placement.

mod policy;
mod run;
mod trace;
mod workers;

use crate::measure::Measure;
use crate::measure::Row;
use crate::placement::policy::Policy;
use crate::placement::trace::JobTrace;
use crate::placement::workers::STEP_MS;
use crate::placement::workers::Workers;
use crate::profile::Profile;

/// Measures placement on the job trace of a seed.
pub(crate) fn rows(profile: &Profile, seed: u64) -> Vec<Row> {
    let trace = JobTrace::new(profile, seed);
    let workers = Workers::new(profile, &trace);
    let policy = Policy::scheduler(&workers);
    let scheduler = run::run(workers, policy);
    let workers = Workers::new(profile, &trace);
    let policy = Policy::first_fit(&workers);
    let baseline = run::run(workers, policy);
    vec![
        Row::new(
            Measure::ShareErrorPermille,
            scheduler.share_error_permille,
            baseline.share_error_permille,
            0.0,
        ),
        Row::new(
            Measure::WorkDuringDcChangePermille,
            scheduler.work_permille,
            baseline.work_permille,
            1_000.0,
        ),
        Row::new(
            Measure::UrgentStartP99Ms,
            scheduler.urgent_p99_ms as f64,
            baseline.urgent_p99_ms as f64,
            STEP_MS as f64,
        ),
        Row::new(
            Measure::OverLimitTaskMs,
            scheduler.over_limit_ms as f64,
            baseline.over_limit_ms as f64,
            0.0,
        ),
    ]
}
