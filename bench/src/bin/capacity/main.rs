//! Measures the cost of the roles of the daemon at several fleet sizes, for
//! `docs/CAPACITY.md`.

use std::alloc::System;
use std::io::Write;

use clap::Parser;
use clap::ValueEnum;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::StatsAlloc;

mod cost;
mod message_size;
mod model;
mod record_cost;
mod report;
mod role_cost;
mod state_cost;
mod wire_cost;

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Measures costs at several fleet sizes, with slopes between them.
#[derive(Debug, Parser)]
#[command(name = "cowslipport-capacity", version)]
struct Arguments {
    /// Report format.
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

/// Reasons why no report is printed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot write the report: {0}")]
    Write(#[from] std::io::Error),
    #[error("cannot measure calls: {0}")]
    Calls(#[from] wire_cost::Error),
    #[error("cannot encode the report: {0}")]
    Encode(#[from] serde_json::Error),
}

fn main() -> Result<(), Error> {
    let arguments = Arguments::parse();
    let report = report::measure()?;
    let text = match arguments.format {
        Format::Text => report.to_string(),
        Format::Json => serde_json::to_string_pretty(&report)?,
    };
    writeln!(std::io::stdout(), "{text}")?;
    Ok(())
}
