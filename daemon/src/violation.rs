//! Reports of actions that would violate an invariant.

use cowslipport_lib::invariant::Violation;
use metrics::counter;
use slog::Logger;
use slog::error;

/// Logs and counts an action that was refused because it would violate an
/// invariant.
pub(crate) fn report(logger: &Logger, violation: &Violation) {
    let invariant = violation.invariant.name();
    counter!("cowslipport_invariant_violations_total", "invariant" => invariant).increment(1);
    error!(logger, "action refused: it would violate an invariant";
        "invariant" => invariant, "detail" => &violation.detail);
}
