//! `status`: shows the state of the fleet as known to one daemon.

use clap::Args;
use cowslipport_lib::protos::control::Resources;
use cowslipport_lib::protos::peer::StatusReply;
use cowslipport_lib::protos::peer::StatusRequest;

use crate::admin::OperatorClient;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::error::CliError;
use crate::output;
use crate::output::Table;
use crate::output::format_duration;

/// Show revision, data centres, pools, organisations, waves and processes.
#[derive(Debug, Args)]
pub(crate) struct StatusArguments {
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

pub(crate) async fn cmd_status(arguments: &StatusArguments) -> Result<(), CliError> {
    let mut client = OperatorClient::connect(&arguments.server).await?;
    let status = fetch(&mut client).await?;
    output::print(arguments.output.format, format_status(&status), &status)
}

/// Fetches the status of the fleet from the daemon.
pub(crate) async fn fetch(client: &mut OperatorClient) -> Result<StatusReply, CliError> {
    let request = client.request(StatusRequest {});
    let result = client.admin.status(request).await;
    client.check_reply(result)
}

fn format_status(status: &StatusReply) -> String {
    let mut sections = vec![
        heading(status),
        data_centre_table(status),
        pool_table(status),
        organisation_table(status),
    ];
    if !status.waves.is_empty() {
        sections.push(wave_table(status));
    }
    sections.push(member_table(status));
    sections.join("\n\n")
}

fn heading(status: &StatusReply) -> String {
    let author = if status.author.is_empty() { "nobody" } else { &status.author };
    let mut lines = vec![
        format!("revision {} by {author}, next offset {}", status.revision, status.next_offset),
        format!("view {}", status.freshness),
    ];
    lines.extend(status.degraded.iter().map(|reason| format!("degraded: {reason}")));
    lines.join("\n")
}

fn data_centre_table(status: &StatusReply) -> String {
    let mut table = Table::new(["DATA CENTRE", "REGION", "STATE", "VMS"]);
    for entry in &status.data_centres {
        let state = if entry.in_service { "in service" } else { "out" };
        let vms = entry.vms.to_string();
        table.push([entry.name.clone(), entry.region.clone(), state.to_owned(), vms]);
    }
    table.to_string()
}

fn pool_table(status: &StatusReply) -> String {
    let mut table = Table::new(["POOL", "VMS", "UNAVAILABLE", "BUDGET", "OWNER"]);
    for entry in &status.pools {
        table.push([
            entry.name.clone(),
            entry.vms.to_string(),
            entry.unavailable.to_string(),
            format_budget(entry.max_unavailable),
            entry.owner.clone(),
        ]);
    }
    table.to_string()
}

/// Formats the budget of a pool. The largest number stands for a pool that has no
/// budget for the pool as a whole.
fn format_budget(max_unavailable: u32) -> String {
    if max_unavailable == u32::MAX { "none".to_owned() } else { max_unavailable.to_string() }
}

fn organisation_table(status: &StatusReply) -> String {
    let mut table = Table::new(["ORGANISATION", "SHARE", "GRANTED", "LIMIT"]);
    for entry in &status.organisations {
        table.push([
            entry.name.clone(),
            entry.share_milli.to_string(),
            format_resources(entry.granted.as_ref()),
            format_resources(entry.limit.as_ref()),
        ]);
    }
    table.to_string()
}

fn format_resources(raw: Option<&Resources>) -> String {
    let raw = raw.copied().unwrap_or_default();
    let cores = format!("{}.{:03} cores", raw.cpu_milli / 1_000, raw.cpu_milli % 1_000);
    let mut text = format!("{cores}, {} MB", raw.memory_bytes / 1_000_000);
    if raw.accelerators > 0 {
        text.push_str(&format!(", {} accelerators", raw.accelerators));
    }
    text
}

fn wave_table(status: &StatusReply) -> String {
    let mut table = Table::new(["WAVE", "PHASE", "WIDTH", "DONE", "FAILED", "TOTAL"]);
    for entry in &status.waves {
        table.push([
            entry.name.clone(),
            entry.phase.clone(),
            entry.width.to_string(),
            entry.done.to_string(),
            entry.failed.to_string(),
            entry.total.to_string(),
        ]);
    }
    table.to_string()
}

fn member_table(status: &StatusReply) -> String {
    let mut table = Table::new(["PROCESS", "DATA CENTRE", "LOG", "NEXT OFFSET", "HEARD"]);
    for entry in &status.members {
        let log = if entry.log_reachable { "reachable" } else { "unreachable" };
        table.push([
            entry.name.clone(),
            entry.data_centre.clone(),
            log.to_owned(),
            entry.next_offset.to_string(),
            format!("{} ago", format_duration(entry.age_ms)),
        ]);
    }
    table.to_string()
}
