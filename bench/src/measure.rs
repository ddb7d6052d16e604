//! Measures and their output.

use clap::ValueEnum;
use serde::Serialize;

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// One line a measure, for people.
    Text,
    /// One object a line.
    Json,
}

/// What is measured. The target of each is stated by the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Measure {
    BufferVmHours,
    RollOutTimeMs,
    Moves,
    BudgetViolations,
    LateWorkPermille,
}

/// What a target bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Target {
    /// The figure divided by the bound.
    Ratio(f64),
    /// The figure itself.
    Value(f64),
    /// Not part of the targets.
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
        }
    }

    fn target(self) -> Target {
        match self {
            Self::BufferVmHours => Target::Ratio(1.25),
            Self::RollOutTimeMs => Target::Ratio(1.15),
            Self::Moves => Target::Ratio(1.5),
            Self::BudgetViolations => Target::Value(0.0),
            Self::LateWorkPermille => Target::None,
        }
    }

    /// How the bound is computed.
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
        }
    }
}

/// One measure of one run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Row {
    pub(crate) measure: Measure,
    pub(crate) ours: f64,
    pub(crate) baseline: f64,
    pub(crate) bound: f64,
}

impl Row {
    pub(crate) fn new(measure: Measure, ours: f64, baseline: f64, bound: f64) -> Self {
        let round = |value: f64| (value * 1000.0).round() / 1000.0;
        Self { measure, ours: round(ours), baseline: round(baseline), bound: round(bound) }
    }

    pub(crate) fn render(&self, format: Format) -> String {
        match format {
            Format::Json => serde_json::to_string(self).expect("a row has only plain fields"),
            Format::Text => self.text(),
        }
    }

    fn text(&self) -> String {
        let ratio = self.ours / self.bound;
        let verdict = |met: bool| if met { "met" } else { "MISSED" };
        let judged = match self.measure.target() {
            Target::Ratio(target) => {
                format!("ratio {ratio:.3}, target {target}: {}", verdict(ratio <= target))
            }
            Target::Value(target) => {
                format!("target {target}: {}", verdict(self.ours <= target))
            }
            Target::None => "no target".to_owned(),
        };
        format!(
            "{:20} ours {:>12} baseline {:>12} bound {:>12}  {judged}  (bound: {})",
            self.measure.name(),
            self.ours,
            self.baseline,
            self.bound,
            self.measure.bound_method()
        )
    }
}

/// Drains that broke a budget, in all runs together.
pub(crate) fn violations(count: u32) -> Row {
    Row::new(Measure::BudgetViolations, f64::from(count), 0.0, 0.0)
}
