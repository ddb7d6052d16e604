//! gRPC clients of the log service and the VM list of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::ids::Offset;
use cowslipport_lib::protos::platform as raw;
use cowslipport_lib::protos::platform::log_client::LogClient;
use cowslipport_lib::protos::platform::vm_list_client::VmListClient;
use tonic::Code;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::platform::ListedVm;
use crate::platform::LogError;
use crate::platform::LogService;
use crate::platform::ReadBatch;
use crate::platform::VmList;
use crate::platform::VmListError;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const READ_MARGIN: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// A channel that connects at its first call and reconnects after a failure.
pub(crate) fn lazy_channel(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy()
}

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct GrpcLog {
    client: LogClient<Channel>,
}

impl GrpcLog {
    /// A client for the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = LogClient::new(lazy_channel(address))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self { client }
    }
}

impl LogService for GrpcLog {
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, LogError> {
        let request = raw::AppendRequest { stream: stream.to_owned(), record };
        let mut client = self.client.clone();
        let call = client.append(request);
        match tokio::time::timeout(APPEND_TIMEOUT, call).await {
            Ok(Ok(reply)) => Ok(Offset(reply.into_inner().offset)),
            Ok(Err(status)) => Err(append_error(&status)),
            Err(_) => {
                let reason = format!("no reply within {} ms", APPEND_TIMEOUT.as_millis());
                Err(LogError::OutcomeUnknown { reason })
            }
        }
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: u32,
    ) -> Result<ReadBatch, LogError> {
        let request = raw::ReadRequest {
            stream: stream.to_owned(),
            from_offset: from.0,
            max_records,
            wait_ms,
        };
        let limit = Duration::from_millis(u64::from(wait_ms)) + READ_MARGIN;
        let mut client = self.client.clone();
        let call = client.read(request);
        match tokio::time::timeout(limit, call).await {
            Ok(Ok(reply)) => Ok(read_batch(reply.into_inner())),
            Ok(Err(status)) => Err(LogError::Unavailable { reason: status.message().to_owned() }),
            Err(_) => {
                let reason = format!("no reply within {} ms", limit.as_millis());
                Err(LogError::Unavailable { reason })
            }
        }
    }
}

/// Classifies a failed append. Only a refusal by the service itself proves that
/// nothing was written, since a transport error may follow a write.
fn append_error(status: &Status) -> LogError {
    let reason = status.message().to_owned();
    let refused = matches!(
        status.code(),
        Code::ResourceExhausted | Code::InvalidArgument | Code::FailedPrecondition
    );
    if refused { LogError::Unavailable { reason } } else { LogError::OutcomeUnknown { reason } }
}

fn read_batch(reply: raw::ReadReply) -> ReadBatch {
    ReadBatch {
        first_offset: Offset(reply.first_offset),
        next_offset: Offset(reply.next_offset),
        records: reply
            .records
            .into_iter()
            .map(|record| (Offset(record.offset), record.record))
            .collect(),
    }
}

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct GrpcVmList {
    client: VmListClient<Channel>,
}

impl GrpcVmList {
    /// A client for the VM list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: VmListClient::new(lazy_channel(address)) }
    }
}

impl VmList for GrpcVmList {
    async fn list(&self) -> Result<Vec<ListedVm>, VmListError> {
        let mut client = self.client.clone();
        let reply = call_list(client.list(raw::ListRequest {})).await?;
        let listed = |listed: &raw::ListedVm| {
            let vm = listed.vm.as_ref()?.into();
            Some(ListedVm { vm, leaving: listed.leaving })
        };
        Ok(reply.vms.iter().filter_map(listed).collect())
    }

    async fn reboot(&self, vm: &str, token: &str) -> Result<(), VmListError> {
        let request = raw::RebootRequest { vm: vm.to_owned(), token: token.to_owned() };
        let mut client = self.client.clone();
        call_list(client.reboot(request)).await?;
        Ok(())
    }
}

async fn call_list<T, F>(call: F) -> Result<T, VmListError>
where
    F: Future<Output = Result<tonic::Response<T>, Status>>,
{
    match tokio::time::timeout(LIST_TIMEOUT, call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(status)) => Err(VmListError { reason: status.message().to_owned() }),
        Err(_) => {
            Err(VmListError { reason: format!("no reply within {} ms", LIST_TIMEOUT.as_millis()) })
        }
    }
}
