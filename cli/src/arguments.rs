//! Arguments that several commands share.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::ValueEnum;

use crate::commands::Command;
use crate::error::CliError;

const EXIT_STATUSES: &str = "\
Exit statuses:
  0  done
  1  refused, or failed for another reason
  2  invalid input
  3  another operator's commit came first
  4  the server cannot be reached
  5  recorded, but not in force everywhere in time
  6  outcome unknown; the change may have taken effect
  7  the token or the key is missing or was refused";

/// Operates a fleet through any of its cowslipport daemons.
#[derive(Debug, Parser)]
#[command(name = "cowslipport", version, after_help = EXIT_STATUSES)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// Machine-readable JSON.
    Json,
}

#[derive(Debug, Args)]
pub(crate) struct FormatArguments {
    /// Output format.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

/// Server and token of an operator.
#[derive(Debug, Args)]
pub(crate) struct ServerArguments {
    /// Address of any daemon for gRPC calls.
    #[arg(long, env = "COWSLIPPORT_SERVER", hide_env_values = true, value_name = "IP:PORT")]
    pub(crate) server: SocketAddr,
    /// File that holds the operators' token. Without it, the token is read
    /// from the environment variable COWSLIPPORT_TOKEN.
    #[arg(long, env = "COWSLIPPORT_TOKEN_FILE", hide_env_values = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Author of a change.
#[derive(Debug, Args)]
pub(crate) struct AuthorArguments {
    /// Name of the operator, recorded with the change.
    #[arg(long, env = "COWSLIPPORT_AUTHOR", hide_env_values = true, value_name = "NAME")]
    pub(crate) author: Option<String>,
}

impl AuthorArguments {
    /// Returns the given author, or the name of the system user if none is given.
    pub(crate) fn author(&self) -> Result<String, CliError> {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        self.author.clone().or_else(user).ok_or(CliError::MissingAuthor)
    }
}

/// Time limit for a change to be in force.
#[derive(Debug, Args)]
pub(crate) struct WaitArguments {
    /// Time in milliseconds to wait until the change is in force everywhere.
    #[arg(long, default_value_t = 30_000, value_name = "MS")]
    pub(crate) timeout_ms: u64,
}

/// Server and key of a submitter of jobs.
#[derive(Debug, Args)]
pub(crate) struct CallerArguments {
    /// Address of any daemon for HTTP requests of callers.
    #[arg(long, env = "COWSLIPPORT_CALLERS", hide_env_values = true, value_name = "IP:PORT")]
    pub(crate) callers: SocketAddr,
    /// File that holds the organisation's key. Without it, the key is read from the
    /// environment variable COWSLIPPORT_ORGANISATION_KEY.
    #[arg(
        long,
        env = "COWSLIPPORT_ORGANISATION_KEY_FILE",
        hide_env_values = true,
        value_name = "FILE"
    )]
    pub(crate) key_file: Option<PathBuf>,
}
