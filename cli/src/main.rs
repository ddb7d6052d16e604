//! Command line tool for operators and for submitters of jobs.

mod admin;
mod arguments;
mod callers;
mod commands;
mod error;
mod in_force;
mod nodes;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match actix_rt::System::new().block_on(commands::run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::print_error(&error);
            ExitCode::from(error.exit_status())
        }
    }
}
