//! Decisions on the order, admission and placement of work that a deployment
//! turns on.

/// Which decisions go beyond what jobs declare and what waits now. All are off
/// by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulingFeatures {
    /// Learn the run times of tasks from finished runs, and order and place work
    /// by them.
    pub learn_run_times: bool,
    /// Share full pools among organisations by their weights.
    pub share_by_weight: bool,
    /// Refuse jobs at once that cannot be served in time.
    pub refuse_late_jobs: bool,
    /// Move VMs ahead of demand that repeats.
    pub forecast_demand: bool,
}
