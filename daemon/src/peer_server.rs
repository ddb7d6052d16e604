//! gRPC service for the other entry processes.

use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RegionId;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::peer_server::Peer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::explain;
use crate::job_stream::JobAnswer;
use crate::job_wire;
use crate::tasks::control::ControlHandle;
use crate::tasks::jobs::JobsMessage;
use crate::tasks::journal::JournalHandle;
use crate::tasks::peer::PeerMessage;
use crate::tasks::witness::WitnessMessage;
use crate::witness_wire;

const MAX_FETCHED_RECORDS: usize = 1024;

/// Handles the calls of the other entry processes.
pub(crate) struct PeerService {
    /// Mailbox of the peer task.
    pub(crate) peer: mpsc::Sender<PeerMessage>,
    /// Handle of the control task.
    pub(crate) control: ControlHandle,
    /// Mailbox of the task for job calls.
    pub(crate) jobs: mpsc::Sender<JobsMessage>,
    /// Handle of the decision journal.
    pub(crate) journal: JournalHandle,
    /// Mailbox of the witness task.
    pub(crate) witness: mpsc::Sender<WitnessMessage>,
    /// Name of this process.
    pub(crate) name: String,
}

impl PeerService {
    async fn send_to_jobs(&self, message: JobsMessage) -> Result<(), Status> {
        self.jobs.send(message).await.map_err(|_| shutting_down())
    }

    async fn send_to_witness(&self, message: WitnessMessage) -> Result<(), Status> {
        self.witness.send(message).await.map_err(|_| shutting_down())
    }
}

pub(crate) fn shutting_down() -> Status {
    Status::unavailable("the process is stopping")
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        _request: Request<raw::ExchangeRequest>,
    ) -> Result<Response<raw::ExchangeReply>, Status> {
        let (reply, answer) = oneshot::channel();
        self.peer.send(PeerMessage::Exchange(reply)).await.map_err(|_| shutting_down())?;
        let entries = answer.await.map_err(|_| shutting_down())?;
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
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        Ok(Response::new(raw::FetchSnapshotReply { snapshot: state.encode() }))
    }

    async fn record_attempt(
        &self,
        request: Request<raw::RecordAttemptRequest>,
    ) -> Result<Response<raw::RecordAttemptReply>, Status> {
        let request = request.into_inner();
        let key = witness_wire::key(&request.key_hash).ok_or_else(|| invalid("key_hash"))?;
        let attempt = witness_wire::attempt(request.session, request.attempt);
        let epoch = Offset(request.membership_epoch);
        let (reply, answer) = oneshot::channel();
        self.send_to_witness(WitnessMessage::Record { epoch, key, attempt, reply }).await?;
        let answer = answer.await.map_err(|_| shutting_down())?;
        Ok(Response::new(witness_wire::raw_answer(answer)))
    }

    async fn finish_attempt(
        &self,
        request: Request<raw::FinishAttemptRequest>,
    ) -> Result<Response<raw::FinishAttemptReply>, Status> {
        let request = request.into_inner();
        let key = witness_wire::key(&request.key_hash).ok_or_else(|| invalid("key_hash"))?;
        let attempt = witness_wire::attempt(request.session, request.attempt);
        let state = witness_wire::state(request.state(), request.status);
        let state = state.ok_or_else(|| invalid("state"))?;
        self.send_to_witness(WitnessMessage::Finish { key, attempt, state }).await?;
        Ok(Response::new(raw::FinishAttemptReply {}))
    }

    async fn pull_attempts(
        &self,
        request: Request<raw::PullAttemptsRequest>,
    ) -> Result<Response<raw::PullAttemptsReply>, Status> {
        let epoch = Offset(request.into_inner().membership_epoch);
        let (reply, answer) = oneshot::channel();
        self.send_to_witness(WitnessMessage::Pull { epoch, reply }).await?;
        let entries = answer.await.map_err(|_| shutting_down())?;
        let accepted = entries.is_some();
        let entries = entries.iter().flatten().map(witness_wire::raw_entry).collect();
        Ok(Response::new(raw::PullAttemptsReply { accepted, entries }))
    }

    async fn submit_job(
        &self,
        request: Request<raw::SubmitJobRequest>,
    ) -> Result<Response<raw::SubmitJobReply>, Status> {
        let request = request.into_inner();
        let job = request.job.as_ref().ok_or_else(|| invalid("job"))?;
        let job = JobSpec::try_from(job).map_err(|findings| invalid(&findings.to_string()))?;
        let (reply, answer) = oneshot::channel();
        let region = RegionId(request.region);
        self.send_to_jobs(JobsMessage::SubmitLocal { job, region, reply }).await?;
        let answer = answer.await.map_err(|_| shutting_down())?;
        let result = job_wire::submit_result(&answer).into();
        Ok(Response::new(raw::SubmitJobReply { result }))
    }

    async fn cancel_job(
        &self,
        request: Request<raw::CancelJobRequest>,
    ) -> Result<Response<raw::CancelJobReply>, Status> {
        let request = request.into_inner();
        let job = request.job.as_ref().ok_or_else(|| invalid("job"))?.into();
        let partition =
            PartitionId { pool: PoolId(request.pool), region: RegionId(request.region) };
        let (reply, answer) = oneshot::channel();
        self.send_to_jobs(JobsMessage::CancelLocal { job, partition, reply }).await?;
        match answer.await.map_err(|_| shutting_down())? {
            JobAnswer::Cancelled => Ok(Response::new(raw::CancelJobReply { found: true })),
            JobAnswer::NotOpen => Ok(Response::new(raw::CancelJobReply { found: false })),
            JobAnswer::Accepted
            | JobAnswer::Known
            | JobAnswer::EndedBefore
            | JobAnswer::Conflict
            | JobAnswer::NotOwner
            | JobAnswer::LogUnavailable
            | JobAnswer::Unknown
            | JobAnswer::KeyWithdrawn => {
                Err(Status::unavailable("the cancellation is not recorded"))
            }
        }
    }

    async fn list_jobs(
        &self,
        request: Request<raw::ListJobsRequest>,
    ) -> Result<Response<raw::ListJobsReply>, Status> {
        let (reply, answer) = oneshot::channel();
        let organisation = request.into_inner().organisation;
        self.send_to_jobs(JobsMessage::ListLocal { organisation, reply }).await?;
        let summaries = answer.await.map_err(|_| shutting_down())?;
        Ok(Response::new(raw::ListJobsReply { jobs: summaries.iter().map(Into::into).collect() }))
    }

    async fn explain_here(
        &self,
        request: Request<raw::ExplainRequest>,
    ) -> Result<Response<raw::ExplainReply>, Status> {
        let lines = explain::local_lines(&request.into_inner(), &self.journal, &self.name).await?;
        Ok(Response::new(raw::ExplainReply { lines }))
    }
}

fn invalid(what: &str) -> Status {
    Status::invalid_argument(format!("{what} is missing or not valid"))
}
