//! `commit FILE`: commits a manifest and waits until it is in force.

use std::path::PathBuf;

use clap::Args;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::protos::config as raw;
use cowslipport_lib::protos::peer::CommitReply;
use cowslipport_lib::protos::peer::CommitRequest;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::protos::peer::GetManifestReply;
use cowslipport_lib::protos::peer::GetManifestRequest;
use serde::Serialize;

use crate::admin::OperatorClient;
use crate::admin::check_change_reply;
use crate::arguments::AuthorArguments;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::arguments::WaitArguments;
use crate::commands::check::read_file;
use crate::error::CliError;
use crate::in_force::wait_and_report;
use crate::output;

/// Commit a manifest and wait until it is in force everywhere.
///
/// The commit is refused with exit status 3 if another operator's commit came
/// first. The file is never changed.
#[derive(Debug, Args)]
pub(crate) struct CommitArguments {
    /// Manifest file.
    file: PathBuf,
    /// Revision that the manifest is based on; the revision in force if not given.
    #[arg(long, value_name = "REVISION")]
    expect: Option<u64>,
    /// Show differences and effects, and commit nothing.
    #[arg(long)]
    dry_run: bool,
    #[command(flatten)]
    author: AuthorArguments,
    #[command(flatten)]
    wait: WaitArguments,
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

#[derive(Serialize)]
struct DryRun {
    result: &'static str,
    revision: u64,
    differences: Vec<String>,
}

pub(crate) async fn cmd_commit(arguments: &CommitArguments) -> Result<(), CliError> {
    let text = read_file(&arguments.file)?;
    let manifest = Manifest::from_toml(&text).map_err(|findings| CliError::InvalidFile {
        path: arguments.file.clone(),
        findings: findings.list,
    })?;
    let author = arguments.author.author()?;
    let mut client = OperatorClient::connect(&arguments.server).await?;
    let expected_revision = match arguments.expect {
        Some(revision) => revision,
        None => manifest_in_force(&mut client).await?.revision,
    };
    let request = CommitRequest {
        expected_revision,
        author,
        manifest: Some(raw::Manifest::from(&manifest)),
        dry_run: arguments.dry_run,
    };
    let request = client.request(request);
    let result = check_change_reply(client.admin.commit(request).await);
    if arguments.dry_run {
        return print_dry_run(arguments, result?, expected_revision);
    }
    let reply = resolve_outcome(&mut client, &manifest, result).await;
    let (wait, format) = (&arguments.wait, arguments.output.format);
    let result = match reply {
        Ok(reply) => wait_and_report(&mut client, reply, expected_revision, wait, format).await,
        Err(error) => Err(error),
    };
    result.map_err(|error| with_expected_revision(error, arguments, expected_revision))
}

/// Adds the expected revision to the command that the error suggests to repeat.
/// Without it, the repeated command would overwrite a commit that another
/// operator made in the meantime.
fn with_expected_revision(error: CliError, arguments: &CommitArguments, expected: u64) -> CliError {
    let CliError::UnknownOutcome { message, .. } = error else { return error };
    let file = arguments.file.display();
    CliError::UnknownOutcome {
        message,
        command: format!("`cowslipport commit {file} --expect {expected}`"),
    }
}

fn print_dry_run(
    arguments: &CommitArguments,
    reply: CommitReply,
    expected: u64,
) -> Result<(), CliError> {
    match reply.result() {
        CommitResult::DryRun | CommitResult::Unchanged => {
            let text = if reply.lines.is_empty() {
                format!("no difference from revision {}", reply.revision)
            } else {
                reply.lines.join("\n")
            };
            let value =
                DryRun { result: "dry_run", revision: reply.revision, differences: reply.lines };
            output::print(arguments.output.format, text, &value)
        }
        CommitResult::Invalid => Err(CliError::InvalidInput { lines: reply.lines }),
        CommitResult::Conflict => {
            Err(CliError::Conflict { expected, revision: reply.revision, author: reply.author })
        }
        result @ (CommitResult::Unspecified
        | CommitResult::Recorded
        | CommitResult::LogUnavailable
        | CommitResult::Unknown) => {
            let message = format!("unexpected result {} of a dry run", result.as_str_name());
            Err(CliError::InvalidResponse { message })
        }
    }
}

async fn manifest_in_force(client: &mut OperatorClient) -> Result<GetManifestReply, CliError> {
    let request = client.request(GetManifestRequest {});
    let result = client.admin.get_manifest(request).await;
    client.check_reply(result)
}

/// Finds out whether a commit took effect although its outcome is unknown, or
/// although it conflicts, as a repeated commit does after its first reply was
/// lost. The commit took effect if its manifest is in force; the reply then
/// reports it as unchanged. Otherwise `result` is returned as it is.
async fn resolve_outcome(
    client: &mut OperatorClient,
    manifest: &Manifest,
    result: Result<CommitReply, CliError>,
) -> Result<CommitReply, CliError> {
    let may_be_in_force = match &result {
        Ok(reply) => matches!(reply.result(), CommitResult::Unknown | CommitResult::Conflict),
        Err(error) => matches!(error, CliError::UnknownOutcome { .. }),
    };
    if !may_be_in_force {
        return result;
    }
    let Ok(reply) = manifest_in_force(client).await else { return result };
    let in_force = Manifest::try_from(&reply.manifest.unwrap_or_default());
    if in_force.as_ref() != Ok(manifest) {
        return result;
    }
    Ok(CommitReply {
        result: CommitResult::Unchanged.into(),
        revision: reply.revision,
        ..CommitReply::default()
    })
}
