//! `watch`: polls the status of the fleet and prints the changes.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args;
use cowslipport_lib::protos::peer::StatusReply;
use serde::Serialize;
use tokio::time::sleep;

use crate::admin::OperatorClient;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::commands::status::fetch;
use crate::error::CliError;
use crate::output;

/// Print a line for each change of the fleet until interrupted.
#[derive(Debug, Args)]
pub(crate) struct WatchArguments {
    /// Time in milliseconds between two polls of the status.
    #[arg(long, default_value_t = 1_000, value_name = "MS")]
    interval_ms: u64,
    /// Number of polls after which to exit; unlimited if not given.
    #[arg(long, value_name = "NUMBER")]
    count: Option<u64>,
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

#[derive(Serialize)]
struct Change<'a> {
    subject: &'a str,
    before: Option<&'a str>,
    after: Option<&'a str>,
}

pub(crate) async fn cmd_watch(arguments: &WatchArguments) -> Result<(), CliError> {
    let mut previous = BTreeMap::new();
    let mut client = None;
    let mut polls = 0;
    loop {
        let current = match poll_status(arguments, &mut client).await {
            Ok(status) => state_by_subject(&status),
            // The watch continues while the daemon is unreachable, since a
            // daemon that is being replaced comes back. It ends if the token is
            // refused or the first poll fails.
            Err(error @ CliError::ServerUnreachable { .. }) if !previous.is_empty() => {
                client = None;
                let mut current: BTreeMap<String, String> = previous.clone();
                current.insert("server".to_owned(), error.to_string());
                current
            }
            Err(error) => return Err(error),
        };
        print_changes(&previous, &current, arguments)?;
        previous = current;
        polls += 1;
        if arguments.count.is_some_and(|count| polls >= count) {
            return Ok(());
        }
        sleep(Duration::from_millis(arguments.interval_ms)).await;
    }
}

async fn poll_status(
    arguments: &WatchArguments,
    client: &mut Option<OperatorClient>,
) -> Result<StatusReply, CliError> {
    let mut connected = match client.take() {
        Some(connected) => connected,
        None => OperatorClient::connect(&arguments.server).await?,
    };
    let status = fetch(&mut connected).await?;
    *client = Some(connected);
    Ok(status)
}

fn state_by_subject(status: &StatusReply) -> BTreeMap<String, String> {
    let mut states = BTreeMap::new();
    states.insert("server".to_owned(), "reachable".to_owned());
    states.insert("revision".to_owned(), format!("{} by {}", status.revision, status.author));
    states.insert("view".to_owned(), status.freshness.clone());
    for reason in &status.degraded {
        states.insert(format!("degraded: {reason}"), "yes".to_owned());
    }
    for entry in &status.data_centres {
        let state = if entry.in_service { "in service" } else { "out" };
        states.insert(format!("data centre {}", entry.name), state.to_owned());
    }
    for entry in &status.pools {
        let state = format!("{} VMs, {} unavailable", entry.vms, entry.unavailable);
        states.insert(format!("pool {}", entry.name), state);
    }
    for entry in &status.waves {
        let state = format!(
            "{}, width {}, {} done, {} failed of {}",
            entry.phase, entry.width, entry.done, entry.failed, entry.total
        );
        states.insert(format!("wave {}", entry.name), state);
    }
    for entry in &status.members {
        let log = if entry.log_reachable { "log reachable" } else { "log unreachable" };
        states.insert(format!("process {}", entry.name), log.to_owned());
    }
    states
}

fn print_changes(
    previous: &BTreeMap<String, String>,
    current: &BTreeMap<String, String>,
    arguments: &WatchArguments,
) -> Result<(), CliError> {
    let removed = previous.keys().filter(|subject| !current.contains_key(*subject));
    for subject in current.keys().chain(removed) {
        let before = previous.get(subject).map(String::as_str);
        let after = current.get(subject).map(String::as_str);
        if before == after {
            continue;
        }
        let text = match (before, after) {
            (Some(before), Some(after)) => format!("{subject}: {after} (was {before})"),
            (None, Some(after)) => format!("{subject}: {after}"),
            (_, None) => format!("{subject}: gone"),
        };
        output::print(arguments.output.format, text, &Change { subject, before, after })?;
    }
    Ok(())
}
