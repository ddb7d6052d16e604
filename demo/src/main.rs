//! Runs a complete small fleet on one machine: three entry processes and
//! stand-ins for the platform. Callers and a submitter of jobs create load
//! while one data centre is taken out of service and brought back. The demo
//! then prints a report.

mod fleet;
mod operator;
mod report;
mod scenario;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::scenario::Scenario;

/// Runs a small fleet with three entry processes on this machine.
#[derive(Parser)]
#[command(name = "cowslipport-demo", version)]
struct Arguments {
    /// Manifest that is committed.
    #[arg(long, default_value = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/demo.toml"))]
    manifest: PathBuf,
    /// Stay up after the report, for trying the command line tool.
    #[arg(long)]
    stay: bool,
    /// Print the log lines of the processes, one JSON object a line, to the
    /// standard error.
    #[arg(long)]
    log: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let scenario =
        Scenario { manifest: arguments.manifest, stay: arguments.stay, log: arguments.log };
    match actix_rt::System::new().block_on(scenario.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
