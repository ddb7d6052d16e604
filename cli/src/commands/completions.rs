//! `completions SHELL`: prints a shell completion script.

use std::io;
use std::io::Write;

use clap::Args;
use clap::CommandFactory;
use clap_complete::Shell;

use crate::arguments::Arguments;
use crate::error::CliError;

/// Print a completion script for a shell.
#[derive(Debug, Args)]
pub(crate) struct CompletionsArguments {
    /// Shell to print the script for.
    #[arg(value_enum)]
    shell: Shell,
}

pub(crate) fn cmd_completions(arguments: &CompletionsArguments) -> Result<(), CliError> {
    let mut script = Vec::new();
    let mut command = Arguments::command();
    clap_complete::generate(arguments.shell, &mut command, "cowslipport", &mut script);
    io::stdout().write_all(&script)?;
    Ok(())
}
