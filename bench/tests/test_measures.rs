//! The measures are deterministic and their bounds hold.

use cowslipport_bench::measure::Measure;
use cowslipport_bench::profile::ProfileName;
use cowslipport_bench::rows;

/// Guards against a trace or a decision that differs between two runs with the
/// same seed.
#[test]
fn rows_of_a_seed_repeat() {
    assert_eq!(rows(ProfileName::Prairie, 2), rows(ProfileName::Prairie, 2));
}

/// Guards against a bound that the decision modules beat, and against a drain
/// that exceeds a budget.
#[test]
fn no_bound_is_beaten() {
    for profile in [ProfileName::Predah, ProfileName::Prairie] {
        for row in rows(profile, 1) {
            match row.measure {
                Measure::BufferVmHours | Measure::Moves | Measure::RollOutTimeMs => {
                    assert!(row.bound > 0.0 && row.ours >= row.bound, "{row:?}");
                }
                Measure::BudgetViolations => assert_eq!(row.ours, 0.0),
                Measure::LateWorkPermille => {}
                Measure::ShareErrorPermille
                | Measure::WorkDuringDcChangePermille
                | Measure::UrgentStartP99Ms
                | Measure::OverLimitTaskMs => panic!("{row:?} has a test of its own"),
            }
        }
    }
}
