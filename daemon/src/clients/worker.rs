//! gRPC client of the workers.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::job::TaskAction;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::protos::platform as raw;
use cowslipport_lib::protos::platform::worker_client::WorkerClient;
use cowslipport_lib::scheduler_event::StartAnswer;
use cowslipport_lib::scheduler_event::TaskReport;
use tonic::transport::Channel;

use crate::clients::platform::lazy_channel;
use crate::platform::PollAnswer;
use crate::platform::TaskStart;
use crate::platform::Worker;
use crate::platform::WorkerConnector;
use crate::platform::WorkerError;

/// Shorter than the lifetime of a ticket, so that a start whose call timed out
/// cannot take effect long after that.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Creates gRPC clients of workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct GrpcWorkers;

impl WorkerConnector for GrpcWorkers {
    type Client = GrpcWorker;

    fn connect(&self, address: &str) -> Option<GrpcWorker> {
        let address: SocketAddr = address.parse().ok()?;
        Some(GrpcWorker { client: WorkerClient::new(lazy_channel(address)) })
    }
}

/// Client of one worker.
#[derive(Debug)]
pub struct GrpcWorker {
    client: WorkerClient<Channel>,
}

impl Worker for GrpcWorker {
    async fn poll(
        &mut self,
        epoch: Epoch,
        renew_ms: u32,
        acknowledged: &[TaskId],
    ) -> Result<PollAnswer, WorkerError> {
        let acknowledged = acknowledged.iter().map(TaskId::to_string).collect();
        let request = raw::PollRequest { epoch: epoch.0, renew_ms, acknowledged };
        let reply = call(self.client.poll(request)).await?;
        if !reply.accepted {
            return Err(WorkerError::Fenced { highest_epoch: reply.highest_epoch });
        }
        // A task whose name cannot be parsed was not started by this system.
        let tasks = reply.tasks.iter().filter_map(|task| TaskReport::try_from(task).ok());
        let up_ms = (reply.up_ms != 0).then_some(reply.up_ms);
        let (ticket, incarnation) = (reply.ticket, reply.incarnation);
        Ok(PollAnswer { ticket, tasks: tasks.collect(), incarnation, up_ms })
    }

    async fn start(&mut self, start: &TaskStart) -> (StartAnswer, Option<u64>) {
        let request = raw::StartRequest {
            epoch: start.epoch.0,
            ticket: start.ticket,
            task: start.task.to_string(),
            organisation: start.task.job.organisation.0,
            request: Some(start.request.into()),
            payload: start.payload.clone(),
            lease_ms: start.lease_ms,
        };
        match call(self.client.start(request)).await {
            Ok(reply) => (reply.result().into(), (reply.ticket != 0).then_some(reply.ticket)),
            Err(_) => (StartAnswer::Unknown, None),
        }
    }

    async fn control(
        &mut self,
        epoch: Epoch,
        task: &TaskId,
        action: TaskAction,
    ) -> Result<(), WorkerError> {
        let request = raw::ControlRequest {
            epoch: epoch.0,
            task: task.to_string(),
            action: raw::TaskAction::from(action).into(),
        };
        call(self.client.control(request)).await?;
        Ok(())
    }
}

async fn call<T, F>(call: F) -> Result<T, WorkerError>
where
    F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
{
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner()),
        Ok(Err(status)) => Err(WorkerError::Unavailable { reason: status.message().to_owned() }),
        Err(_) => {
            let reason = format!("no reply within {} ms", CALL_TIMEOUT.as_millis());
            Err(WorkerError::Unavailable { reason })
        }
    }
}
