//! `wave resume NAME`: resumes a halted wave.

use clap::Args;
use clap::Subcommand;
use cowslipport_lib::protos::peer::ResumeWaveRequest;

use crate::admin::OperatorClient;
use crate::admin::check_change_reply;
use crate::arguments::AuthorArguments;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::arguments::WaitArguments;
use crate::error::CliError;
use crate::in_force::wait_and_report;

/// Operate a maintenance wave.
#[derive(Debug, Args)]
pub(crate) struct WaveArguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Resume a wave that halted because too many VMs failed.
    Resume(ResumeArguments),
}

#[derive(Debug, Args)]
struct ResumeArguments {
    /// Name of the wave.
    name: String,
    #[command(flatten)]
    author: AuthorArguments,
    #[command(flatten)]
    wait: WaitArguments,
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

pub(crate) async fn cmd_wave(arguments: &WaveArguments) -> Result<(), CliError> {
    let Action::Resume(arguments) = &arguments.action;
    let author = arguments.author.author()?;
    let mut client = OperatorClient::connect(&arguments.server).await?;
    let request = client.request(ResumeWaveRequest { wave: arguments.name.clone(), author });
    let reply = check_change_reply(client.admin.resume_wave(request).await)?;
    wait_and_report(&mut client, reply, 0, &arguments.wait, arguments.output.format).await
}
