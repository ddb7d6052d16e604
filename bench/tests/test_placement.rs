//! The measures of job placement.

use cowslipport_bench::measure::Measure;
use cowslipport_bench::placement_rows;
use cowslipport_bench::profile::ProfileName;

/// Guards against a trace or a decision that differs between two runs with the
/// same seed, against tasks of an organisation above its limit, and against a
/// bound that the scheduler beats.
#[test]
fn placement_repeats_and_stays_within_limits() {
    let rows = placement_rows(ProfileName::Prairie, 2);
    assert_eq!(rows, placement_rows(ProfileName::Prairie, 2));
    assert_eq!(rows.len(), 4);
    for row in rows {
        match row.measure {
            Measure::ShareErrorPermille | Measure::UrgentStartP99Ms => {
                assert!(row.ours >= row.bound, "{row:?}");
            }
            Measure::WorkDuringDcChangePermille => assert!(row.ours <= row.bound, "{row:?}"),
            Measure::OverLimitTaskMs => assert_eq!(row.ours, 0.0),
            Measure::BufferVmHours
            | Measure::RollOutTimeMs
            | Measure::Moves
            | Measure::BudgetViolations
            | Measure::LateWorkPermille => panic!("{row:?} is not a measure of placement"),
        }
    }
}
