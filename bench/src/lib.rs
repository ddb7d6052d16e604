//! Measures of the decision modules on seeded traces.
//!
//! The modules decide on a control state to which this crate applies records,
//! as the daemon does; there is no network and no cluster. Each measure is
//! reported with a baseline and a bound that no policy can beat on the same
//! trace.

mod fleet;
pub mod measure;
mod move_bound;
mod placement;
mod pool_run;
pub mod profile;
mod roll_out;
mod roll_out_bound;
mod trace;

use crate::measure::Row;
use crate::profile::ProfileName;

/// Measures waves, pools and moves on the trace of a seed.
pub fn rows(name: ProfileName, seed: u64) -> Vec<Row> {
    let profile = name.profile();
    let trace = trace::Trace::new(&profile, seed);
    let roll_out = roll_out::run(&profile, &trace);
    let pools = pool_run::run(&profile, &trace);
    let mut rows = pools.rows(&profile, &trace);
    rows.push(roll_out.row(&profile, &trace));
    rows.push(measure::violations(roll_out.violations + pools.violations));
    rows
}

/// Measures job placement on the job trace of a seed.
pub fn placement_rows(name: ProfileName, seed: u64) -> Vec<Row> {
    placement::rows(&name.profile(), seed)
}
