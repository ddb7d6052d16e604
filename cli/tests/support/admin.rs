//! A fake of the daemon's `Admin` service on loopback.

use std::net::SocketAddr;
use std::sync::mpsc as thread_channel;
use std::thread::JoinHandle;

use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::admin_server::Admin;
use cowslipport_lib::protos::peer::admin_server::AdminServer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use super::TOKEN;

/// One call of the tool.
#[derive(Debug)]
pub(crate) enum Call {
    Commit(raw::CommitRequest),
    SetDataCentre(raw::SetDataCentreRequest),
    ResumeWave(raw::ResumeWaveRequest),
    InForce(raw::InForceRequest),
    GetManifest,
    Status,
    Explain(raw::ExplainRequest),
}

/// What the fake answers.
#[derive(Debug)]
pub(crate) enum Reply {
    Commit(raw::CommitReply),
    InForce(raw::InForceReply),
    Manifest(raw::GetManifestReply),
    Status(raw::StatusReply),
    Explain(raw::ExplainReply),
}

type Answer = oneshot::Sender<Result<Reply, Status>>;

/// A running fake; it ends with the value.
pub(crate) struct FakeDaemon {
    /// Where it listens.
    pub(crate) address: String,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeDaemon {
    /// Starts a fake that answers each call with what `answer` returns.
    pub(crate) fn start<F>(answer: F) -> Self
    where
        F: FnMut(Call) -> Result<Reply, Status> + Send + 'static,
    {
        let (address_to_test, address) = thread_channel::channel();
        let (shutdown, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(answer, address_to_test, ended));
        });
        let address: SocketAddr = address.recv().expect("the fake listens");
        Self { address: address.to_string(), shutdown: Some(shutdown), thread: Some(thread) }
    }
}

impl Drop for FakeDaemon {
    fn drop(&mut self) {
        self.shutdown.take().map(|shutdown| shutdown.send(()));
        self.thread.take().map(JoinHandle::join);
    }
}

async fn serve<F>(
    mut answer: F,
    address: thread_channel::Sender<SocketAddr>,
    ended: oneshot::Receiver<()>,
) where
    F: FnMut(Call) -> Result<Reply, Status> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    address.send(listener.local_addr().expect("it is bound")).expect("the test waits");
    let (calls, mut received) = mpsc::channel::<(Call, Answer)>(16);
    actix_rt::spawn(async move {
        while let Some((call, reply)) = received.recv().await {
            // The tool may have ended before its answer.
            let _ = reply.send(answer(call));
        }
    });
    let incoming = TcpListenerStream::new(listener);
    let ended = async { ended.await.unwrap_or_default() };
    Server::builder()
        .add_service(AdminServer::new(Service { calls }))
        .serve_with_incoming_shutdown(incoming, ended)
        .await
        .expect("the fake serves");
}

struct Service {
    calls: mpsc::Sender<(Call, Answer)>,
}

impl Service {
    async fn ask<M, F>(&self, request: Request<M>, call: F) -> Result<Reply, Status>
    where
        F: FnOnce(M) -> Call,
    {
        let authorization = request.metadata().get("authorization").map(|value| value.as_bytes());
        if authorization != Some(format!("Bearer {TOKEN}").as_bytes()) {
            return Err(Status::unauthenticated("the token is not known"));
        }
        let (reply, answer) = oneshot::channel();
        self.calls.send((call(request.into_inner()), reply)).await.expect("the fake runs");
        answer.await.expect("the fake answers")
    }
}

fn mismatch() -> Status {
    Status::internal("the script has an answer of another kind")
}

#[tonic::async_trait]
impl Admin for Service {
    async fn commit(
        &self,
        request: Request<raw::CommitRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.ask(request, Call::Commit).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn set_data_centre(
        &self,
        request: Request<raw::SetDataCentreRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.ask(request, Call::SetDataCentre).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn resume_wave(
        &self,
        request: Request<raw::ResumeWaveRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.ask(request, Call::ResumeWave).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn in_force(
        &self,
        request: Request<raw::InForceRequest>,
    ) -> Result<Response<raw::InForceReply>, Status> {
        let Reply::InForce(reply) = self.ask(request, Call::InForce).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn get_manifest(
        &self,
        request: Request<raw::GetManifestRequest>,
    ) -> Result<Response<raw::GetManifestReply>, Status> {
        let Reply::Manifest(reply) = self.ask(request, |_| Call::GetManifest).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        request: Request<raw::StatusRequest>,
    ) -> Result<Response<raw::StatusReply>, Status> {
        let Reply::Status(reply) = self.ask(request, |_| Call::Status).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }

    async fn explain(
        &self,
        request: Request<raw::ExplainRequest>,
    ) -> Result<Response<raw::ExplainReply>, Status> {
        let Reply::Explain(reply) = self.ask(request, Call::Explain).await? else {
            return Err(mismatch());
        };
        Ok(Response::new(reply))
    }
}
