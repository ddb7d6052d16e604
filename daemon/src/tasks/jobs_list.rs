//! Lists the jobs of an organisation across all processes.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::protos::peer as raw;
use tokio::sync::oneshot;

use crate::clients::peer::Client;
use crate::job_wire;
use crate::job_wire::JobSummary;
use crate::tasks::jobs::JobsRefusal;
use crate::tasks::jobs::JobsTask;
use crate::tasks::jobs::send;
use crate::tasks::placement::PlacementMessage;

/// Time limit for the answer of each process. The list leaves out the jobs of
/// a process that does not answer in time.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

impl JobsTask {
    pub(super) fn list(
        &mut self,
        key: &str,
        reply: oneshot::Sender<Result<Vec<JobSummary>, JobsRefusal>>,
    ) {
        let organisation = match self.organisation_and_key(key) {
            Ok((organisation, _)) => organisation,
            Err(refusal) => {
                let _ = reply.send(Err(refusal));
                return;
            }
        };
        let name = self
            .state
            .organisations
            .get(organisation)
            .map(|organisation| organisation.spec.name.clone());
        let summaries = self.collect_jobs(organisation, &name.unwrap_or_default());
        actix_rt::spawn(async move {
            let _ = reply.send(Ok(summaries.await));
        });
    }

    /// Collects the jobs of an organisation from all processes.
    pub(super) fn collect_jobs(
        &mut self,
        organisation: OrganisationId,
        organisation_name: &str,
    ) -> impl Future<Output = Vec<JobSummary>> + use<> {
        let (reply, own) = oneshot::channel();
        self.list_local(Some(organisation), reply);
        let me = self.config.session;
        let others = self.state.sessions.values().filter(|session| session.open.session != me);
        let addresses: Vec<SocketAddr> =
            others.filter_map(|session| session.open.peer_address.parse().ok()).collect();
        let clients: Vec<Client> =
            addresses.into_iter().map(|address| self.config.clients.get(address)).collect();
        let request = raw::ListJobsRequest { organisation: organisation_name.to_owned() };
        async move {
            let calls = clients.into_iter().map(|mut client| {
                let request = request.clone();
                async move { tokio::time::timeout(LIST_TIMEOUT, client.list_jobs(request)).await }
            });
            let replies = futures_util::future::join_all(calls).await;
            let mut jobs = own.await.unwrap_or_default();
            for reply in replies.into_iter().flatten().flatten() {
                jobs.extend(reply.into_inner().jobs.iter().map(JobSummary::from));
            }
            jobs.sort_by(|left, right| left.name.cmp(&right.name));
            jobs
        }
    }

    pub(super) fn list_local(
        &self,
        organisation: Option<OrganisationId>,
        reply: oneshot::Sender<Vec<JobSummary>>,
    ) {
        let (views_sender, views) = oneshot::channel();
        let message = PlacementMessage::List { organisation, reply: views_sender };
        send(&self.config.placement, message);
        let state = self.state.clone();
        actix_rt::spawn(async move {
            let views = views.await.unwrap_or_default();
            let summaries = views.iter().map(|view| job_wire::summary(&state, view));
            let _ = reply.send(summaries.collect());
        });
    }
}
