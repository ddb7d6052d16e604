//! gRPC client of the other entry processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::peer_client::PeerClient;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;

use crate::clients::platform::lazy_channel;
use crate::peer_wire::MemberEntry;
use crate::tasks::control::ControlMessage;

const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(450);
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Adds the token of the peers to each call.
#[derive(Clone, Debug)]
pub(crate) struct BearerToken {
    value: MetadataValue<Ascii>,
}

impl BearerToken {
    /// The token, or `None` if it is not a valid header value.
    pub(crate) fn new(token: &str) -> Option<Self> {
        let mut value: MetadataValue<Ascii> = format!("Bearer {token}").parse().ok()?;
        value.set_sensitive(true);
        Some(Self { value })
    }
}

impl Interceptor for BearerToken {
    fn call(
        &mut self,
        mut request: tonic::Request<()>,
    ) -> Result<tonic::Request<()>, tonic::Status> {
        request.metadata_mut().insert("authorization", self.value.clone());
        Ok(request)
    }
}

/// Client of one other process.
pub(crate) type Client = PeerClient<InterceptedService<Channel, BearerToken>>;

/// Clients of the other processes by address, reused between calls.
#[derive(Clone, Debug)]
pub(crate) struct PeerClients {
    token: BearerToken,
    clients: BTreeMap<SocketAddr, Client>,
}

impl PeerClients {
    /// An empty set of clients, which will use `token`.
    pub(crate) fn new(token: BearerToken) -> Self {
        Self { token, clients: BTreeMap::new() }
    }

    /// The client for an address, created at its first use.
    pub(crate) fn get(&mut self, address: SocketAddr) -> Client {
        let token = self.token.clone();
        let client = self.clients.entry(address).or_insert_with(|| {
            PeerClient::with_interceptor(lazy_channel(address), token)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES)
        });
        client.clone()
    }
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The call failed.
    #[error("exchange failed: {0}")]
    Call(#[from] tonic::Status),
    /// No reply arrived within the timeout.
    #[error("no reply within {} ms", EXCHANGE_TIMEOUT.as_millis())]
    Timeout,
}

/// Requests from another process what it knows of the members.
pub(crate) async fn exchange(
    client: &mut Client,
    me: SessionId,
) -> Result<Vec<MemberEntry>, ExchangeError> {
    let request = raw::ExchangeRequest { session: me.0 };
    let call = client.exchange(request);
    let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, call)
        .await
        .map_err(|_| ExchangeError::Timeout)??
        .into_inner();
    Ok(reply.members.iter().map(Into::into).collect())
}

/// Fetches records that another process has applied, or its snapshot if it no
/// longer has them. Returns `None` if a call fails.
pub(crate) async fn fetch(client: &mut Client, from: Offset, max: u32) -> Option<ControlMessage> {
    let request = raw::FetchRecordsRequest { from_offset: from.0, max_records: max };
    let call = client.fetch_records(request);
    let reply = tokio::time::timeout(FETCH_TIMEOUT, call).await.ok()?.ok()?.into_inner();
    let records: Vec<(Offset, Vec<u8>)> =
        reply.records.into_iter().map(|record| (Offset(record.offset), record.record)).collect();
    if records.first().is_some_and(|(offset, _)| *offset == from) {
        return Some(ControlMessage::PeerRecords(records));
    }
    let call = client.fetch_snapshot(raw::FetchSnapshotRequest {});
    let reply = tokio::time::timeout(FETCH_TIMEOUT, call).await.ok()?.ok()?.into_inner();
    let state = ControlState::decode(&reply.snapshot).ok()?;
    Some(ControlMessage::Snapshot(Box::new(state)))
}
