//! Commands, one module each.

mod cancel;
mod check;
mod commit;
mod completions;
mod dc;
mod explain;
mod jobs;
mod preview;
mod status;
mod submit;
mod watch;
mod wave;

use clap::Subcommand;

use crate::arguments::Arguments;
use crate::error::CliError;

/// Command given on the command line.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    Check(check::CheckArguments),
    Commit(commit::CommitArguments),
    Dc(dc::DcArguments),
    Status(status::StatusArguments),
    Watch(watch::WatchArguments),
    Submit(submit::SubmitArguments),
    Jobs(jobs::JobsArguments),
    Cancel(cancel::CancelArguments),
    Explain(explain::ExplainArguments),
    Preview(preview::PreviewArguments),
    Wave(wave::WaveArguments),
    Completions(completions::CompletionsArguments),
}

/// Runs the command given by `arguments`.
pub(crate) async fn run(arguments: Arguments) -> Result<(), CliError> {
    match arguments.command {
        Command::Check(arguments) => check::cmd_check(&arguments),
        Command::Commit(arguments) => commit::cmd_commit(&arguments).await,
        Command::Dc(arguments) => dc::cmd_dc(&arguments).await,
        Command::Status(arguments) => status::cmd_status(&arguments).await,
        Command::Watch(arguments) => watch::cmd_watch(&arguments).await,
        Command::Submit(arguments) => submit::cmd_submit(&arguments).await,
        Command::Jobs(arguments) => jobs::cmd_jobs(&arguments).await,
        Command::Cancel(arguments) => cancel::cmd_cancel(&arguments).await,
        Command::Explain(arguments) => explain::cmd_explain(&arguments).await,
        Command::Preview(arguments) => preview::cmd_preview(&arguments).await,
        Command::Wave(arguments) => wave::cmd_wave(&arguments).await,
        Command::Completions(arguments) => completions::cmd_completions(&arguments),
    }
}
