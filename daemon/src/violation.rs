//! Reports of violated invariants.

use cowslipport_lib::invariant::Violation;
use metrics::counter;
use slog::Logger;
use slog::error;

/// Logs and counts an action that was refused.
pub(crate) fn report(logger: &Logger, violation: &Violation) {
    let invariant = violation.invariant.name();
    counter!("cowslipport_invariant_violations_total", "invariant" => invariant).increment(1);
    error!(logger, "action refused"; "invariant" => invariant, "detail" => &violation.detail);
}
