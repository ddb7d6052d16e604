//! `jobs`: lists the jobs of an organisation.

use awc::http::Method;
use clap::Args;
use cowslipport_lib::protos::caller::JobList;

use crate::arguments::CallerArguments;
use crate::arguments::FormatArguments;
use crate::callers::CallerClient;
use crate::error::CliError;
use crate::output;
use crate::output::Table;
use crate::output::format_duration;

/// List the jobs of the organisation to which the key belongs.
#[derive(Debug, Args)]
pub(crate) struct JobsArguments {
    #[command(flatten)]
    callers: CallerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

pub(crate) async fn cmd_jobs(arguments: &JobsArguments) -> Result<(), CliError> {
    let client = CallerClient::new(&arguments.callers)?;
    let list: JobList = client.call(Method::GET, "/jobs").await?;
    let mut table = Table::new(["JOB", "POOL", "STATE", "SINCE", "VM", "REASON"]);
    for job in &list.jobs {
        table.push([
            job.name.clone(),
            job.pool.clone(),
            job.state.clone(),
            format_duration(job.age_ms),
            job.vm.clone(),
            job.reason.clone(),
        ]);
    }
    output::print(arguments.output.format, table, &list)
}
