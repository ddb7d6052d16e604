//! `cancel NAME`: cancels a job.

use awc::http::Method;
use clap::Args;
use cowslipport_lib::protos::caller::JobCancelled;

use crate::arguments::CallerArguments;
use crate::arguments::FormatArguments;
use crate::callers::CallerClient;
use crate::error::CliError;
use crate::output;

/// Cancel a queued or running job.
#[derive(Debug, Args)]
pub(crate) struct CancelArguments {
    /// Name of the job.
    #[arg(value_parser = parse_name)]
    name: String,
    #[command(flatten)]
    callers: CallerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

/// Checks that a name consists of the characters allowed in names, none of which
/// needs to be escaped in a URL.
fn parse_name(text: &str) -> Result<String, String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if text.is_empty() || !text.bytes().all(allowed) {
        return Err("a name consists of letters, digits, '-', '_' and '.'".to_owned());
    }
    Ok(text.to_owned())
}

pub(crate) async fn cmd_cancel(arguments: &CancelArguments) -> Result<(), CliError> {
    let client = CallerClient::new(&arguments.callers)?;
    let path = format!("/jobs/{}", arguments.name);
    let cancelled: JobCancelled = client.call(Method::DELETE, &path).await?;
    let text =
        format!("job {} of organisation {} is cancelled", cancelled.name, cancelled.organisation);
    output::print(arguments.output.format, text, &cancelled)
}
