//! Calls of an operator: commits, data centres taken out of service and brought
//! back, and queries.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::config::Manifest;
use cowslipport_lib::protos::config as raw_config;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::admin_client::AdminClient;
use tokio::time::Instant;
use tonic::Request;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::fleet::OPERATOR_TOKEN;

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Client of the operator API of one process.
pub(crate) struct Operator {
    client: AdminClient<Channel>,
}

impl Operator {
    /// Creates a client of the process at `address`.
    pub(crate) fn for_process(address: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address makes a valid URI");
        Self { client: AdminClient::new(endpoint.connect_lazy()) }
    }

    /// Commits a manifest on top of the revision in force.
    pub(crate) async fn commit(&mut self, manifest: &Manifest) -> Result<raw::CommitReply, Status> {
        let status = self.status().await?;
        let request = raw::CommitRequest {
            expected_revision: status.revision,
            author: "demo".to_owned(),
            manifest: Some(raw_config::Manifest::from(manifest)),
            dry_run: false,
        };
        Ok(self.client.commit(with_operator_token(request)).await?.into_inner())
    }

    /// Takes a data centre out of service or brings it back.
    pub(crate) async fn set_data_centre(
        &mut self,
        name: &str,
        in_service: bool,
    ) -> Result<raw::CommitReply, Status> {
        let request = raw::SetDataCentreRequest {
            data_centre: name.to_owned(),
            in_service,
            author: "demo".to_owned(),
        };
        Ok(self.client.set_data_centre(with_operator_token(request)).await?.into_inner())
    }

    /// Waits until all processes have applied the record at `offset`. Returns
    /// the time that this took, or `None` after [`IN_FORCE_TIMEOUT`].
    pub(crate) async fn wait_in_force(&mut self, offset: u64) -> Result<Option<Duration>, Status> {
        let start = Instant::now();
        while start.elapsed() < IN_FORCE_TIMEOUT {
            let request = with_operator_token(raw::InForceRequest { offset });
            let reply = self.client.in_force(request).await?.into_inner();
            if reply.members.iter().all(|member| member.applied) {
                return Ok(Some(start.elapsed()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// Returns the state of the fleet.
    pub(crate) async fn status(&mut self) -> Result<raw::StatusReply, Status> {
        Ok(self.client.status(with_operator_token(raw::StatusRequest {})).await?.into_inner())
    }

    /// Returns the recorded decisions about a subject of a kind, such as a job.
    pub(crate) async fn explain(
        &mut self,
        kind: &str,
        name: &str,
    ) -> Result<Vec<raw::ExplainLine>, Status> {
        let request = raw::ExplainRequest { kind: kind.to_owned(), name: name.to_owned() };
        Ok(self.client.explain(with_operator_token(request)).await?.into_inner().lines)
    }
}

fn with_operator_token<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    let token = format!("Bearer {OPERATOR_TOKEN}").parse().expect("the token is plain text");
    request.metadata_mut().insert("authorization", token);
    request
}
