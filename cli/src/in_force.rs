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

use crate::admin::Admin;
use crate::arguments::Format;
use crate::arguments::WaitArguments;
use crate::error::CliError;
use crate::output;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A change that is in force everywhere.
#[derive(Debug, Serialize)]
pub(crate) struct InForce {
    result: &'static str,
    revision: u64,
    offset: u64,
    members: usize,
    /// Processes that have not confirmed and refuse new work until they do.
    stale: Vec<String>,
}

impl fmt::Display for InForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let confirmed = self.members.saturating_sub(self.stale.len());
        write!(
            f,
            "in force everywhere at revision {}, offset {}, confirmed by {confirmed} of {}",
            self.revision, self.offset, self.members,
        )?;
        if !self.stale.is_empty() {
            let stale = self.stale.join(", ");
            write!(f, "; silent, and refusing new work until it confirms: {stale}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Serialize)]
struct Unchanged {
    result: &'static str,
    revision: u64,
}

/// Waits until the change of `reply` is in force everywhere, with progress,
/// and prints the result. Any other reply is an error, or needs no wait.
pub(crate) async fn finish(
    admin: &mut Admin,
    reply: CommitReply,
    expected: u64,
    wait: &WaitArguments,
    format: Format,
) -> Result<(), CliError> {
    let revision = reply.revision;
    match reply.result() {
        CommitResult::Recorded => {
            let in_force = wait_for(admin, reply.offset, revision, wait).await?;
            output::print(format, &in_force, &in_force)
        }
        CommitResult::Unchanged => {
            let text = format!("unchanged at revision {revision}");
            output::print(format, text, &Unchanged { result: "unchanged", revision })
        }
        CommitResult::Conflict => {
            Err(CliError::Conflict { expected, revision, author: reply.author })
        }
        CommitResult::Invalid => Err(CliError::InvalidInput { lines: reply.lines }),
        CommitResult::LogUnavailable => Err(CliError::LogUnavailable),
        CommitResult::Unknown => {
            Err(CliError::unknown("the log service did not answer after the append was sent"))
        }
        CommitResult::DryRun | CommitResult::Unspecified => {
            let message = format!("unexpected result {}", reply.result().as_str_name());
            Err(CliError::BadAnswer { message })
        }
    }
}

async fn wait_for(
    admin: &mut Admin,
    offset: u64,
    revision: u64,
    wait: &WaitArguments,
) -> Result<InForce, CliError> {
    let begin = Instant::now();
    let deadline = begin + Duration::from_millis(wait.timeout_ms);
    let mut shown = String::new();
    let mut unconfirmed = vec!["no process has answered".to_owned()];
    output::progress(&format!("recorded at offset {offset}"));
    loop {
        let request = admin.request(InForceRequest { offset });
        // An answer that does not come is asked for again until the deadline,
        // since the change is recorded either way.
        if let Ok(reply) = admin.client.in_force(request).await {
            let reply = reply.into_inner();
            unconfirmed = names(&reply, |member| !member.applied);
            if !reply.members.is_empty() && names(&reply, is_waited_for).is_empty() {
                return Ok(InForce {
                    result: "in_force",
                    revision,
                    offset,
                    members: reply.members.len(),
                    stale: unconfirmed,
                });
            }
            let line = progress_line(&reply);
            if line != shown {
                output::progress(&line);
                shown = line;
            }
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            return Err(CliError::NotInForce { offset, waited_ms: wait.timeout_ms, unconfirmed });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn is_waited_for(member: &MemberProgress) -> bool {
    !member.applied && !member.stale
}

fn names<F>(reply: &InForceReply, select: F) -> Vec<String>
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
        names(reply, is_waited_for).join(", ")
    )
}
