//! Collects the journal entries about a job, a VM, an organisation or a wave
//! from all processes.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::peer as raw;
use tonic::Status;

use crate::clients::peer::PeerClients;
use crate::tasks::journal::JournalHandle;
use crate::tasks::journal::Subject;

const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The journal entries of this process, oldest first.
pub(crate) async fn local_lines(
    request: &raw::ExplainRequest,
    journal: &JournalHandle,
    process: &str,
) -> Result<Vec<raw::ExplainLine>, Status> {
    let entries = journal.explain(subject(request)?).await;
    let line = |aged: crate::tasks::journal::AgedEntry| raw::ExplainLine {
        age_ms: aged.age_ms,
        process: process.to_owned(),
        decision: aged.entry.decision,
        reason: aged.entry.reason,
    };
    Ok(entries.into_iter().map(line).collect())
}

/// The journal entries of the other processes. A process that does not answer
/// in time is left out.
pub(crate) async fn peer_lines(
    request: &raw::ExplainRequest,
    state: &ControlState,
    me: SessionId,
    mut clients: PeerClients,
) -> Vec<raw::ExplainLine> {
    let others = state.sessions.values().filter(|session| session.open.session != me);
    let addresses: Vec<SocketAddr> =
        others.filter_map(|session| session.open.peer_address.parse().ok()).collect();
    let calls = addresses.into_iter().map(|address| {
        let mut client = clients.get(address);
        let request = request.clone();
        async move { tokio::time::timeout(PEER_TIMEOUT, client.explain_here(request)).await }
    });
    let replies = futures_util::future::join_all(calls).await;
    replies.into_iter().flatten().flatten().flat_map(|reply| reply.into_inner().lines).collect()
}

fn subject(request: &raw::ExplainRequest) -> Result<Subject, Status> {
    let name = request.name.clone();
    match request.kind.as_str() {
        "job" => Ok(Subject::Job(name)),
        "vm" => Ok(Subject::Vm(name)),
        "organisation" => Ok(Subject::Organisation(name)),
        "wave" => Ok(Subject::Wave(name)),
        other => {
            let message =
                format!("{other:?} is not one of \"job\", \"vm\", \"organisation\", \"wave\"");
            Err(Status::invalid_argument(message))
        }
    }
}
