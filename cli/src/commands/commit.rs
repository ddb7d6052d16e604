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

use crate::admin::Admin;
use crate::admin::change_answer;
use crate::arguments::AuthorArguments;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::arguments::WaitArguments;
use crate::commands::check::read_file;
use crate::error::CliError;
use crate::in_force::finish;
use crate::output;

/// Commit a manifest and wait until it is in force everywhere.
///
/// The commit is refused with exit status 3 if another operator's commit came
/// first. The file is never changed.
#[derive(Debug, Args)]
pub(crate) struct CommitArguments {
    /// The manifest.
    file: PathBuf,
    /// Revision that the manifest is based on; the one in force if not given.
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
    let mut admin = Admin::connect(&arguments.server).await?;
    let expected_revision = match arguments.expect {
        Some(revision) => revision,
        None => manifest_in_force(&mut admin).await?.revision,
    };
    let request = CommitRequest {
        expected_revision,
        author,
        manifest: Some(raw::Manifest::from(&manifest)),
        dry_run: arguments.dry_run,
    };
    let request = admin.request(request);
    let answer = change_answer(admin.client.commit(request).await);
    if arguments.dry_run {
        return print_dry_run(arguments, answer?, expected_revision);
    }
    let reply = resolve(&mut admin, &manifest, answer).await;
    let (wait, format) = (&arguments.wait, arguments.output.format);
    let result = match reply {
        Ok(reply) => finish(&mut admin, reply, expected_revision, wait, format).await,
        Err(error) => Err(error),
    };
    result.map_err(|error| with_expected(error, arguments, expected_revision))
}

/// Names the revision in the command to repeat. Without it, the repetition
/// would replace a commit that another operator made in between.
fn with_expected(error: CliError, arguments: &CommitArguments, expected: u64) -> CliError {
    let CliError::Unknown { message, .. } = error else { return error };
    let file = arguments.file.display();
    CliError::Unknown {
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
            Err(CliError::BadAnswer { message })
        }
    }
}

async fn manifest_in_force(admin: &mut Admin) -> Result<GetManifestReply, CliError> {
    let request = admin.request(GetManifestRequest {});
    let result = admin.client.get_manifest(request).await;
    admin.answer(result)
}

/// Learns whether an interrupted commit, or an earlier attempt of a commit that
/// now conflicts, took effect: it did if its manifest is in force. Other
/// answers are returned as they are.
async fn resolve(
    admin: &mut Admin,
    manifest: &Manifest,
    answer: Result<CommitReply, CliError>,
) -> Result<CommitReply, CliError> {
    let may_be_in_force = match &answer {
        Ok(reply) => matches!(reply.result(), CommitResult::Unknown | CommitResult::Conflict),
        Err(error) => matches!(error, CliError::Unknown { .. }),
    };
    if !may_be_in_force {
        return answer;
    }
    let Ok(reply) = manifest_in_force(admin).await else { return answer };
    let in_force = Manifest::try_from(&reply.manifest.unwrap_or_default());
    if in_force.as_ref() != Ok(manifest) {
        return answer;
    }
    Ok(CommitReply {
        result: CommitResult::Unchanged.into(),
        revision: reply.revision,
        ..CommitReply::default()
    })
}
