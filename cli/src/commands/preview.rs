//! `preview`: shows where a job would go now, and why, without submitting it.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use cowslipport_lib::protos::node::Preview;
use cowslipport_lib::protos::node::PreviewReply;
use cowslipport_lib::protos::node::PreviewRequest;

use crate::arguments::FormatArguments;
use crate::error::CliError;
use crate::nodes::NodeClient;
use crate::output;
use crate::output::Table;

const BYTES_PER_MEGABYTE: u64 = 1_048_576;

/// Show where a job would go now, and why, without submitting it.
#[derive(Debug, Args)]
pub(crate) struct PreviewArguments {
    /// Host of the queue.
    #[arg(long)]
    host: String,
    /// Path prefix of the queue.
    #[arg(long)]
    path: String,
    /// Organisation that would submit the job; none for a public queue.
    #[arg(long)]
    organisation: Option<String>,
    /// Number of tasks.
    #[arg(long, default_value_t = 1)]
    tasks: u32,
    /// CPU of one task, in thousandths of a core.
    #[arg(long, value_name = "MILLI")]
    cpu_milli: u64,
    /// Memory of one task, in megabytes.
    #[arg(long, value_name = "MB", default_value_t = 0)]
    memory_mb: u64,
    /// Accelerators of one task.
    #[arg(long, default_value_t = 0)]
    accelerators: u32,
    /// Declared run time of one task, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 0)]
    estimate_ms: u64,
    /// Label that a worker must have.
    #[arg(long)]
    label: Option<String>,
    /// Rack of the data.
    #[arg(long)]
    rack: Option<String>,
    /// Largest number of tasks on one worker; 0 for no limit.
    #[arg(long, default_value_t = 0)]
    max_per_worker: u32,
    /// The tasks run until the job is cancelled.
    #[arg(long)]
    long_running: bool,
    /// Metrics address of a node; the owner also tells the placement.
    #[arg(long, env = "COWSLIPPORT_NODE", hide_env_values = true, value_name = "IP:PORT")]
    node: SocketAddr,
    /// File that holds the operators' token. Without it, the token is read
    /// from the environment variable COWSLIPPORT_TOKEN.
    #[arg(long, env = "COWSLIPPORT_TOKEN_FILE", hide_env_values = true, value_name = "FILE")]
    token_file: Option<PathBuf>,
    #[command(flatten)]
    output: FormatArguments,
}

impl PreviewArguments {
    fn request(&self) -> PreviewRequest {
        PreviewRequest {
            host: self.host.clone(),
            path: self.path.clone(),
            organisation: self.organisation.clone().unwrap_or_default(),
            tasks: self.tasks,
            cpu_milli: self.cpu_milli,
            memory_bytes: self.memory_mb.saturating_mul(BYTES_PER_MEGABYTE),
            accelerators: self.accelerators,
            estimate_ms: self.estimate_ms,
            required_label: self.label.clone().unwrap_or_default(),
            data_rack: self.rack.clone().unwrap_or_default(),
            max_tasks_per_worker: self.max_per_worker,
            long_running: self.long_running,
        }
    }
}

pub(crate) async fn cmd_preview(arguments: &PreviewArguments) -> Result<(), CliError> {
    let client = NodeClient::new(arguments.node, arguments.token_file.as_deref())?;
    let reply: PreviewReply = client.post("/preview", &arguments.request()).await?;
    output::print(arguments.output.format, ReplyText(&reply), &reply)
}

/// A reply as text.
struct ReplyText<'a>(&'a PreviewReply);

impl fmt::Display for ReplyText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reply = self.0;
        let role = if reply.is_owner { "owner" } else { "not the owner" };
        writeln!(f, "node {} ({role}), version {}", reply.node, reply.configuration_version)?;
        write!(f, "admission: {}", reply.admission)?;
        if reply.retry_after_ms > 0 {
            write!(f, ", come back after {} ms", reply.retry_after_ms)?;
        }
        if !reply.queue.is_empty() {
            write!(f, "\nqueue {} in pool {}", reply.queue, reply.pool)?;
        }
        match &reply.placement {
            Some(placement) => write_placement(f, placement),
            None => write!(f, "\nno placement: {}", reply.no_placement),
        }
    }
}

fn write_placement(f: &mut fmt::Formatter<'_>, placement: &Preview) -> fmt::Result {
    write!(
        f,
        "\npool: {} of {} milli-cores used, {} waiting; {} jobs ahead",
        placement.used_cpu_milli,
        placement.capacity_cpu_milli,
        placement.waiting_cpu_milli,
        placement.jobs_ahead
    )?;
    write!(
        f,
        "\norganisation: {} milli-cores used, weight {}, limit ",
        placement.organisation_used_cpu_milli, placement.organisation_weight
    )?;
    match placement.organisation_limit_cpu_milli {
        Some(limit) => write!(f, "{limit}")?,
        None => f.write_str("none")?,
    }
    if placement.is_over_limit {
        f.write_str(", one more task exceeds it")?;
    }
    write!(f, "\ntasks that find no worker now: {}", placement.waiting_tasks)?;
    if !placement.chosen.is_empty() {
        let mut table = Table::new(["WORKER", "DATA CENTRE", "RACK", "TASKS", "FREE MILLI-CORES"]);
        for chosen in &placement.chosen {
            table.push([
                chosen.worker.clone(),
                chosen.data_centre.clone(),
                chosen.rack.clone(),
                chosen.tasks.to_string(),
                chosen.free_cpu_milli.to_string(),
            ]);
        }
        write!(f, "\n{table}")?;
    }
    if !placement.blocked.is_empty() {
        let mut table = Table::new(["REASON AGAINST", "WORKERS", "SOME OF THEM"]);
        for blocked in &placement.blocked {
            table.push([
                blocked.reason.clone(),
                blocked.count.to_string(),
                blocked.workers.join(" "),
            ]);
        }
        write!(f, "\n{table}")?;
    }
    Ok(())
}
