//! `submit NAME`: submits a job.

use clap::Args;
use cowslipport_lib::protos::caller::JobAccepted;
use cowslipport_lib::protos::caller::SubmitJob;

use crate::arguments::CallerArguments;
use crate::arguments::FormatArguments;
use crate::callers::CallerClient;
use crate::error::CliError;
use crate::output;

/// Submit a job with the key of an organisation.
///
/// The command can be repeated safely: a job of the same name and content is
/// accepted once.
#[derive(Debug, Args)]
pub(crate) struct SubmitArguments {
    /// Name of the job, unique within the organisation.
    name: String,
    /// Pool whose workers run the job.
    #[arg(long)]
    pool: String,
    /// CPU in thousandths of a core.
    #[arg(long, value_name = "NUMBER")]
    cpu_milli: u64,
    /// Memory in bytes.
    #[arg(long, value_name = "NUMBER")]
    memory_bytes: u64,
    /// Number of accelerators.
    #[arg(long, default_value_t = 0, value_name = "NUMBER")]
    accelerators: u32,
    /// Start within seconds, before other work of the organisation.
    #[arg(long)]
    urgent: bool,
    /// Expected run time in milliseconds.
    #[arg(long, value_name = "MS")]
    run_ms: Option<u64>,
    /// Command or payload reference for the worker.
    #[arg(long, default_value = "")]
    payload: String,
    /// Allow the job to be started again after its worker was lost.
    #[arg(long)]
    repeatable: bool,
    /// Time in milliseconds within which the job must be acknowledged.
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    #[command(flatten)]
    callers: CallerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

pub(crate) async fn cmd_submit(arguments: &SubmitArguments) -> Result<(), CliError> {
    let client = CallerClient::new(&arguments.callers)?;
    let job = SubmitJob {
        name: Some(arguments.name.clone()),
        pool: Some(arguments.pool.clone()),
        cpu_milli: Some(arguments.cpu_milli),
        memory_bytes: Some(arguments.memory_bytes),
        accelerators: Some(arguments.accelerators),
        urgent: Some(arguments.urgent),
        declared_run_ms: arguments.run_ms,
        payload: Some(arguments.payload.clone()),
        repeatable: Some(arguments.repeatable),
        deadline_ms: arguments.deadline_ms,
    };
    let accepted: JobAccepted = client.post("/jobs", &job).await?;
    let known = if accepted.known { " before" } else { "" };
    let text = format!(
        "job {} of organisation {} was accepted{known}",
        accepted.name, accepted.organisation
    );
    output::print(arguments.output.format, text, &accepted)
}
