//! `watch`: prints what changes, as it changes.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args;
use cowslipport_lib::protos::peer::StatusReply;
use serde::Serialize;
use tokio::time::sleep;

use crate::admin::Admin;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::commands::status::fetch;
use crate::error::CliError;
use crate::output;

/// Print a line for each change of the fleet until interrupted.
#[derive(Debug, Args)]
pub(crate) struct WatchArguments {
    /// Time in milliseconds between two looks.
    #[arg(long, default_value_t = 1_000, value_name = "MS")]
    interval_ms: u64,
    /// Number of looks after which to end; none if not given.
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
    let mut shown = BTreeMap::new();
    let mut admin = None;
    let mut looks = 0;
    loop {
        let seen = match look(arguments, &mut admin).await {
            Ok(status) => facts(&status),
            // A daemon that is replaced comes back, so the watch goes on. A
            // refused token or a first look that fails ends it.
            Err(error @ CliError::Unreachable { .. }) if !shown.is_empty() => {
                admin = None;
                let mut seen: BTreeMap<String, String> = shown.clone();
                seen.insert("server".to_owned(), error.to_string());
                seen
            }
            Err(error) => return Err(error),
        };
        print_changes(&shown, &seen, arguments)?;
        shown = seen;
        looks += 1;
        if arguments.count.is_some_and(|count| looks >= count) {
            return Ok(());
        }
        sleep(Duration::from_millis(arguments.interval_ms)).await;
    }
}

async fn look(
    arguments: &WatchArguments,
    admin: &mut Option<Admin>,
) -> Result<StatusReply, CliError> {
    let mut connected = match admin.take() {
        Some(connected) => connected,
        None => Admin::connect(&arguments.server).await?,
    };
    let status = fetch(&mut connected).await?;
    *admin = Some(connected);
    Ok(status)
}

fn facts(status: &StatusReply) -> BTreeMap<String, String> {
    let mut facts = BTreeMap::new();
    facts.insert("server".to_owned(), "reachable".to_owned());
    facts.insert("revision".to_owned(), format!("{} by {}", status.revision, status.author));
    facts.insert("view".to_owned(), status.freshness.clone());
    for reason in &status.degraded {
        facts.insert(format!("degraded: {reason}"), "yes".to_owned());
    }
    for entry in &status.data_centres {
        let state = if entry.in_service { "in service" } else { "out" };
        facts.insert(format!("data centre {}", entry.name), state.to_owned());
    }
    for entry in &status.pools {
        let fact = format!("{} VMs, {} unavailable", entry.vms, entry.unavailable);
        facts.insert(format!("pool {}", entry.name), fact);
    }
    for entry in &status.waves {
        let fact = format!(
            "{}, width {}, {} done, {} failed of {}",
            entry.phase, entry.width, entry.done, entry.failed, entry.total
        );
        facts.insert(format!("wave {}", entry.name), fact);
    }
    for entry in &status.members {
        let log = if entry.log_reachable { "log reachable" } else { "log unreachable" };
        facts.insert(format!("process {}", entry.name), log.to_owned());
    }
    facts
}

fn print_changes(
    shown: &BTreeMap<String, String>,
    seen: &BTreeMap<String, String>,
    arguments: &WatchArguments,
) -> Result<(), CliError> {
    let gone = shown.keys().filter(|subject| !seen.contains_key(*subject));
    for subject in seen.keys().chain(gone) {
        let before = shown.get(subject).map(String::as_str);
        let after = seen.get(subject).map(String::as_str);
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
