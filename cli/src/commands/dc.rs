//! `dc disable NAME` and `dc enable NAME`: take a data centre out of service and
//! bring it back.

use clap::Args;
use clap::Subcommand;
use cowslipport_lib::protos::peer::SetDataCentreRequest;

use crate::admin::OperatorClient;
use crate::admin::check_change_reply;
use crate::arguments::AuthorArguments;
use crate::arguments::FormatArguments;
use crate::arguments::ServerArguments;
use crate::arguments::WaitArguments;
use crate::error::CliError;
use crate::in_force::wait_and_report;

/// Take a data centre out of service or bring it back.
#[derive(Debug, Args)]
pub(crate) struct DcArguments {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Take a data centre out of service: no request and no task starts there.
    Disable(ActionArguments),
    /// Bring a data centre back into service.
    Enable(ActionArguments),
}

#[derive(Debug, Args)]
struct ActionArguments {
    /// Name of the data centre.
    name: String,
    #[command(flatten)]
    author: AuthorArguments,
    #[command(flatten)]
    wait: WaitArguments,
    #[command(flatten)]
    server: ServerArguments,
    #[command(flatten)]
    output: FormatArguments,
}

pub(crate) async fn cmd_dc(arguments: &DcArguments) -> Result<(), CliError> {
    let (arguments, in_service) = match &arguments.action {
        Action::Disable(arguments) => (arguments, false),
        Action::Enable(arguments) => (arguments, true),
    };
    let author = arguments.author.author()?;
    let mut client = OperatorClient::connect(&arguments.server).await?;
    let data_centre = arguments.name.clone();
    let request = client.request(SetDataCentreRequest { data_centre, in_service, author });
    let reply = check_change_reply(client.admin.set_data_centre(request).await)?;
    wait_and_report(&mut client, reply, 0, &arguments.wait, arguments.output.format).await
}
