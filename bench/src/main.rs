//! Measures the decision modules on seeded traces.
//!
//! The modules decide on a folded state that this program feeds with records,
//! as the daemon does; there is no network and no cluster. Each measure is
//! printed beside a baseline and a bound that no policy can beat on the same
//! trace.

mod fleet;
mod measure;
mod move_bound;
mod placement;
mod pool_run;
mod profile;
mod roll_out;
mod roll_out_bound;
mod trace;

use clap::Parser;

use crate::measure::Format;
use crate::measure::Row;
use crate::profile::ProfileName;

/// Measures the decision modules on a seeded trace.
#[derive(Debug, Parser)]
struct Arguments {
    /// Fleet and weights.
    #[arg(long, value_enum)]
    profile: ProfileName,
    /// Seed of the demand trace and the fault schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Form of the output.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

fn main() {
    let arguments = Arguments::parse();
    for row in rows(arguments.profile, arguments.seed) {
        println!("{}", row.render(arguments.format));
    }
}

fn rows(name: ProfileName, seed: u64) -> Vec<Row> {
    let profile = name.profile();
    let trace = trace::Trace::new(&profile, seed);
    let roll_out = roll_out::run(&profile, &trace);
    let pools = pool_run::run(&profile, &trace);
    let mut rows = pools.rows(&profile, &trace);
    rows.push(roll_out.row(&profile, &trace));
    rows.push(measure::violations(roll_out.violations + pools.violations));
    rows.extend(placement::rows(&profile, &trace));
    rows
}
