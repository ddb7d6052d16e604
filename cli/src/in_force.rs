//! Waits until a recorded change is in force everywhere.

use std::fmt;
use std::time::Duration;

use cowslipport_lib::protos::peer::CommitReply;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::protos::peer::InForceReply;
use cowslipport_lib::protos::peer::InForceRequest;
use cowslipport_lib::protos::peer::MemberProgress;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::admin::OperatorClient;
use crate::arguments::Format;
use crate::arguments::WaitArguments;
use crate::error::CliError;
use crate::output;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a change that is in force everywhere.
#[derive(Debug, Serialize)]
pub(crate) struct InForceResult {
    result: &'static str,
    revision: u64,
    offset: u64,
    members: usize,
    /// Processes with a stale view. They have not confirmed the change and
    /// refuse new work until they do.
    stale: Vec<String>,
}

impl fmt::Display for InForceResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let confirmed = self.members.saturating_sub(self.stale.len());
        write!(
            f,
            "in force everywhere at revision {}, offset {}, confirmed by {confirmed} of {}",
            self.revision, self.offset, self.members,
        )?;
        if !self.stale.is_empty() {
            let stale = self.stale.join(", ");
            write!(f, "; stale, and refusing new work until it confirms: {stale}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Serialize)]
struct UnchangedResult {
    result: &'static str,
    revision: u64,
}

/// Waits until the change of `reply` is in force everywhere, printing progress,
/// and prints the result. A reply without a recorded change needs no wait: it
/// is printed if nothing had to change, and is an error otherwise.
pub(crate) async fn wait_and_report(
    client: &mut OperatorClient,
    reply: CommitReply,
    expected: u64,
    wait: &WaitArguments,
    format: Format,
) -> Result<(), CliError> {
    let revision = reply.revision;
    match reply.result() {
        CommitResult::Recorded => {
            let in_force = wait_until_in_force(client, reply.offset, revision, wait).await?;
            output::print(format, &in_force, &in_force)
        }
        CommitResult::Unchanged => {
            let text = format!("unchanged at revision {revision}");
            output::print(format, text, &UnchangedResult { result: "unchanged", revision })
        }
        CommitResult::Conflict => {
            Err(CliError::Conflict { expected, revision, author: reply.author })
        }
        CommitResult::Invalid => Err(CliError::InvalidInput { lines: reply.lines }),
        CommitResult::LogUnavailable => Err(CliError::LogUnavailable),
        CommitResult::Unknown => Err(CliError::unknown_outcome(
            "the log service did not answer after the append was sent",
        )),
        CommitResult::DryRun | CommitResult::Unspecified => {
            let message = format!("unexpected result {}", reply.result().as_str_name());
            Err(CliError::InvalidResponse { message })
        }
    }
}

async fn wait_until_in_force(
    client: &mut OperatorClient,
    offset: u64,
    revision: u64,
    wait: &WaitArguments,
) -> Result<InForceResult, CliError> {
    let start = Instant::now();
    let deadline = start + Duration::from_millis(wait.timeout_ms);
    let mut last_line = String::new();
    let mut unconfirmed = vec!["no process has answered".to_owned()];
    output::print_diagnostic(&format!("recorded at offset {offset}"));
    loop {
        let request = client.request(InForceRequest { offset });
        // Failed calls are retried until the deadline: the change is recorded
        // whether or not its progress can be read.
        if let Ok(reply) = client.admin.in_force(request).await {
            let reply = reply.into_inner();
            unconfirmed = member_names(&reply, |member| !member.applied);
            if !reply.members.is_empty() && member_names(&reply, is_pending).is_empty() {
                return Ok(InForceResult {
                    result: "in_force",
                    revision,
                    offset,
                    members: reply.members.len(),
                    stale: unconfirmed,
                });
            }
            let line = progress_line(&reply);
            if line != last_line {
                output::print_diagnostic(&line);
                last_line = line;
            }
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            return Err(CliError::NotInForce { offset, waited_ms: wait.timeout_ms, unconfirmed });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn is_pending(member: &MemberProgress) -> bool {
    !member.applied && !member.stale
}

fn member_names<F>(reply: &InForceReply, select: F) -> Vec<String>
where
    F: Fn(&MemberProgress) -> bool,
{
    reply.members.iter().filter(|member| select(member)).map(|member| member.name.clone()).collect()
}

fn progress_line(reply: &InForceReply) -> String {
    let applied = reply.members.iter().filter(|member| member.applied).count();
    let state = if reply.accepted { "accepted by a majority" } else { "not accepted yet" };
    format!(
        "{state}, applied by {applied} of {}, waiting for {}",
        reply.members.len(),
        member_names(reply, is_pending).join(", ")
    )
}
