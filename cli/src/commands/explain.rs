//! `explain KIND NAME`: shows the last decisions about an object, with reasons.

use clap::Args;
use clap::ValueEnum;
use cowslipport_lib::protos::peer::ExplainRequest;

use crate::admin::OperatorClient;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::error::CliError;
use crate::output;
use crate::output::Table;
use crate::output::format_duration;

/// Show the last decisions about a job, VM, organisation or wave, with their reasons.
#[derive(Debug, Args)]
pub(crate) struct ExplainArguments {
    /// Kind of object to explain.
    #[arg(value_enum)]
    kind: Kind,
    /// Name of the object; for a job, ORGANISATION/JOB.
    name: String,
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Kind {
    Job,
    Vm,
    Organisation,
    Wave,
}

pub(crate) async fn cmd_explain(arguments: &ExplainArguments) -> Result<(), CliError> {
    let kind = match arguments.kind {
        Kind::Job => "job",
        Kind::Vm => "vm",
        Kind::Organisation => "organisation",
        Kind::Wave => "wave",
    };
    let mut client = OperatorClient::connect(&arguments.server).await?;
    let message = ExplainRequest { kind: kind.to_owned(), name: arguments.name.clone() };
    let request = client.request(message);
    let result = client.admin.explain(request).await;
    let reply = client.check_reply(result)?;
    if reply.lines.is_empty() {
        let text = format!("no recent decision about {kind} {}", arguments.name);
        return output::print(arguments.output.format, text, &reply);
    }
    let mut table = Table::new(["AGE", "PROCESS", "DECISION", "REASON"]);
    for line in &reply.lines {
        table.push([
            format_duration(line.age_ms),
            line.process.clone(),
            line.decision.clone(),
            line.reason.clone(),
        ]);
    }
    output::print(arguments.output.format, table, &reply)
}
