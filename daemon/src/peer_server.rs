//! The gRPC service for other entry processes.

use cowslipport_lib::ids::Offset;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::peer_server::Peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::control_task::ControlHandle;
use crate::peer_task::PeerMessage;

const MAX_FETCHED_RECORDS: usize = 1024;

/// Answers the calls of other entry processes.
pub(crate) struct PeerService {
    /// Mailbox of the peer task.
    pub(crate) peer: mpsc::Sender<PeerMessage>,
    /// Address of the control task.
    pub(crate) control: ControlHandle,
}

pub(crate) fn stopping() -> Status {
    Status::unavailable("the process is stopping")
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        _request: Request<raw::ExchangeRequest>,
    ) -> Result<Response<raw::ExchangeReply>, Status> {
        let (reply, answer) = oneshot::channel();
        self.peer.send(PeerMessage::Exchange(reply)).await.map_err(|_| stopping())?;
        let entries = answer.await.map_err(|_| stopping())?;
        Ok(Response::new(raw::ExchangeReply { members: entries.iter().map(Into::into).collect() }))
    }

    async fn fetch_records(
        &self,
        request: Request<raw::FetchRecordsRequest>,
    ) -> Result<Response<raw::FetchRecordsReply>, Status> {
        let request = request.into_inner();
        let max = (request.max_records as usize).min(MAX_FETCHED_RECORDS);
        let records = self.control.records(Offset(request.from_offset), max).await;
        let relayed =
            |(offset, record): (Offset, Vec<u8>)| raw::RelayedRecord { offset: offset.0, record };
        let records = records.into_iter().map(relayed).collect();
        Ok(Response::new(raw::FetchRecordsReply { records }))
    }

    async fn fetch_snapshot(
        &self,
        _request: Request<raw::FetchSnapshotRequest>,
    ) -> Result<Response<raw::FetchSnapshotReply>, Status> {
        let state = self.control.state().await.ok_or_else(stopping)?;
        Ok(Response::new(raw::FetchSnapshotReply { snapshot: state.encode() }))
    }

    async fn record_attempt(
        &self,
        _request: Request<raw::RecordAttemptRequest>,
    ) -> Result<Response<raw::RecordAttemptReply>, Status> {
        Err(Status::unimplemented("idempotency witnesses are not built yet"))
    }

    async fn finish_attempt(
        &self,
        _request: Request<raw::FinishAttemptRequest>,
    ) -> Result<Response<raw::FinishAttemptReply>, Status> {
        Err(Status::unimplemented("idempotency witnesses are not built yet"))
    }

    async fn pull_attempts(
        &self,
        _request: Request<raw::PullAttemptsRequest>,
    ) -> Result<Response<raw::PullAttemptsReply>, Status> {
        Err(Status::unimplemented("idempotency witnesses are not built yet"))
    }

    async fn submit_job(
        &self,
        _request: Request<raw::SubmitJobRequest>,
    ) -> Result<Response<raw::SubmitJobReply>, Status> {
        Err(Status::unimplemented("jobs are not built yet"))
    }

    async fn cancel_job(
        &self,
        _request: Request<raw::CancelJobRequest>,
    ) -> Result<Response<raw::CancelJobReply>, Status> {
        Err(Status::unimplemented("jobs are not built yet"))
    }

    async fn list_jobs(
        &self,
        _request: Request<raw::ListJobsRequest>,
    ) -> Result<Response<raw::ListJobsReply>, Status> {
        Err(Status::unimplemented("jobs are not built yet"))
    }
}
