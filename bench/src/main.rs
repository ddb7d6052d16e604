//! Prints the measures of the decision modules on a seeded trace.

use clap::Parser;
use cowslipport_bench::measure::Format;
use cowslipport_bench::profile::ProfileName;

/// Measures the decision modules on a seeded trace.
#[derive(Debug, Parser)]
struct Arguments {
    /// Fleet and policy weights.
    #[arg(long, value_enum)]
    profile: ProfileName,
    /// Seed of the demand trace and the fault schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Output format.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

fn main() {
    let arguments = Arguments::parse();
    let (profile, seed) = (arguments.profile, arguments.seed);
    let rows = cowslipport_bench::rows(profile, seed);
    for row in rows.into_iter().chain(cowslipport_bench::placement_rows(profile, seed)) {
        println!("{}", row.render(arguments.format));
    }
}
