//! Measures and their output.

use clap::ValueEnum;
use serde::Serialize;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One readable line per measure.
    Text,
    /// One JSON object per line.
    Json,
}

/// What is measured. The design states the target of each measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// VM-hours that service pools hold beyond the work of their VMs.
    BufferVmHours,
    /// Time until a wave has maintained its last VM.
    RollOutTimeMs,
    /// Moves of VMs to another pool.
    Moves,
    /// Drains that exceeded a budget.
    BudgetViolations,
    /// Work that waited longer for a slot than it may.
    LateWorkPermille,
    /// Largest mean difference of an organisation from its fair share over 60 s.
    ShareErrorPermille,
    /// Work done while a data centre goes out of service and returns.
    WorkDuringDcChangePermille,
    /// Time from the acceptance of urgent jobs to their start.
    UrgentStartP99Ms,
    /// Task time above the limit of an organisation.
    OverLimitTaskMs,
}

/// Target of a measure, by the value that it bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    /// Upper limit of the figure divided by the bound.
    Ratio(f64),
    /// Upper limit of the figure.
    Value(f64),
    /// Lower limit of the figure.
    AtLeast(f64),
    /// The measure has no target.
    None,
}

impl Measure {
    fn name(self) -> &'static str {
        match self {
            Self::BufferVmHours => "buffer_vm_hours",
            Self::RollOutTimeMs => "roll_out_time_ms",
            Self::Moves => "moves",
            Self::BudgetViolations => "budget_violations",
            Self::LateWorkPermille => "late_work_permille",
            Self::ShareErrorPermille => "share_error_permille",
            Self::WorkDuringDcChangePermille => "work_during_dc_change_permille",
            Self::UrgentStartP99Ms => "urgent_start_p99_ms",
            Self::OverLimitTaskMs => "over_limit_task_ms",
        }
    }

    fn target(self) -> Target {
        match self {
            Self::BufferVmHours => Target::Ratio(1.25),
            Self::RollOutTimeMs => Target::Ratio(1.15),
            Self::Moves => Target::Ratio(1.5),
            Self::BudgetViolations => Target::Value(0.0),
            Self::LateWorkPermille => Target::None,
            Self::ShareErrorPermille => Target::Value(20.0),
            Self::WorkDuringDcChangePermille => Target::AtLeast(970.0),
            Self::UrgentStartP99Ms => Target::Value(2_900.0),
            Self::OverLimitTaskMs => Target::Value(0.0),
        }
    }

    /// Describes how the bound is computed, for the report.
    fn bound_method(self) -> &'static str {
        match self {
            Self::BufferVmHours => {
                "reserve, work of each burst, VMs held in gaps shorter than a move; bursts served as well"
            }
            Self::RollOutTimeMs => {
                "longest of: VM-time of each budget's domain, and of the fleet, by the widest steps"
            }
            Self::Moves => {
                "fewest moves of a policy that knows the trace, serves bursts as well, holds no more"
            }
            Self::BudgetViolations => "none",
            Self::LateWorkPermille => "none",
            Self::ShareErrorPermille => "zero: over a window, whole tasks can give the exact mean",
            Self::WorkDuringDcChangePermille => {
                "processor time of all workers of the data centres in service"
            }
            Self::UrgentStartP99Ms => "one message from the owner to a worker with room",
            Self::OverLimitTaskMs => "none",
        }
    }
}

/// One measure of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What is measured.
    pub measure: Measure,
    /// Figure of the decision modules.
    pub ours: f64,
    /// Figure of the baseline: a fixed split without moves, maintenance of one VM
    /// at a time, or first fit in order of arrival.
    pub baseline: f64,
    /// Figure that no policy can beat.
    pub bound: f64,
}

impl Row {
    pub(crate) fn new(measure: Measure, ours: f64, baseline: f64, bound: f64) -> Self {
        let round = |value: f64| (value * 1000.0).round() / 1000.0;
        Self { measure, ours: round(ours), baseline: round(baseline), bound: round(bound) }
    }

    /// Formats the row.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Json => serde_json::to_string(self).expect("a row has only plain fields"),
            Format::Text => self.text(),
        }
    }

    fn text(&self) -> String {
        let ratio = self.ours / self.bound;
        let verdict = |met: bool| if met { "met" } else { "MISSED" };
        let judgement = match self.measure.target() {
            Target::Ratio(target) => {
                format!("ratio {ratio:.3}, target {target}: {}", verdict(ratio <= target))
            }
            Target::Value(target) => {
                format!("target {target}: {}", verdict(self.ours <= target))
            }
            Target::AtLeast(target) => {
                format!("target at least {target}: {}", verdict(self.ours >= target))
            }
            Target::None => "no target".to_owned(),
        };
        format!(
            "{:30} ours {:>12} baseline {:>12} bound {:>12}  {judgement}  (bound: {})",
            self.measure.name(),
            self.ours,
            self.baseline,
            self.bound,
            self.measure.bound_method()
        )
    }
}

/// The row of drains that exceeded a budget, over all runs.
pub(crate) fn violations(count: u32) -> Row {
    Row::new(Measure::BudgetViolations, f64::from(count), 0.0, 0.0)
}
