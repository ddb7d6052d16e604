//! Fake of the daemon's `Admin` service on loopback.

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

/// Call received from the tool.
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

/// Reply that the fake sends.
#[derive(Debug)]
pub(crate) enum Reply {
    Commit(raw::CommitReply),
    InForce(raw::InForceReply),
    Manifest(raw::GetManifestReply),
    Status(raw::StatusReply),
    Explain(raw::ExplainReply),
}

type ReplySender = oneshot::Sender<Result<Reply, Status>>;

/// Running fake, which is shut down when the value is dropped.
pub(crate) struct FakeDaemon {
    /// Address on which the fake listens.
    pub(crate) address: String,
    shutdown: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeDaemon {
    /// Starts a fake that replies to each call with the result of `handle`.
    pub(crate) fn start<F>(handle: F) -> Self
    where
        F: FnMut(Call) -> Result<Reply, Status> + Send + 'static,
    {
        let (address_sender, address) = thread_channel::channel();
        let (shutdown, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(handle, address_sender, stopped));
        });
        let address: SocketAddr = address.recv().expect("the fake starts");
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
    mut handle: F,
    address: thread_channel::Sender<SocketAddr>,
    stopped: oneshot::Receiver<()>,
) where
    F: FnMut(Call) -> Result<Reply, Status> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind on loopback");
    address
        .send(listener.local_addr().expect("the listener is bound"))
        .expect("the test waits for the address");
    let (calls, mut received) = mpsc::channel::<(Call, ReplySender)>(16);
    actix_rt::spawn(async move {
        while let Some((call, reply)) = received.recv().await {
            // The send fails if the tool exited before the reply.
            let _ = reply.send(handle(call));
        }
    });
    let incoming = TcpListenerStream::new(listener);
    let stopped = async { stopped.await.unwrap_or_default() };
    Server::builder()
        .add_service(AdminServer::new(Service { calls }))
        .serve_with_incoming_shutdown(incoming, stopped)
        .await
        .expect("the fake serves");
}

struct Service {
    calls: mpsc::Sender<(Call, ReplySender)>,
}

impl Service {
    async fn call<M, F>(&self, request: Request<M>, call: F) -> Result<Reply, Status>
    where
        F: FnOnce(M) -> Call,
    {
        let authorization = request.metadata().get("authorization").map(|value| value.as_bytes());
        if authorization != Some(format!("Bearer {TOKEN}").as_bytes()) {
            return Err(Status::unauthenticated("the token is not known"));
        }
        let (reply, received) = oneshot::channel();
        self.calls.send((call(request.into_inner()), reply)).await.expect("the fake is running");
        received.await.expect("the fake replies")
    }
}

fn wrong_reply_kind() -> Status {
    Status::internal("the test returned a reply to another kind of call")
}

#[tonic::async_trait]
impl Admin for Service {
    async fn commit(
        &self,
        request: Request<raw::CommitRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.call(request, Call::Commit).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn set_data_centre(
        &self,
        request: Request<raw::SetDataCentreRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.call(request, Call::SetDataCentre).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn resume_wave(
        &self,
        request: Request<raw::ResumeWaveRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let Reply::Commit(reply) = self.call(request, Call::ResumeWave).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn in_force(
        &self,
        request: Request<raw::InForceRequest>,
    ) -> Result<Response<raw::InForceReply>, Status> {
        let Reply::InForce(reply) = self.call(request, Call::InForce).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn get_manifest(
        &self,
        request: Request<raw::GetManifestRequest>,
    ) -> Result<Response<raw::GetManifestReply>, Status> {
        let Reply::Manifest(reply) = self.call(request, |_| Call::GetManifest).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        request: Request<raw::StatusRequest>,
    ) -> Result<Response<raw::StatusReply>, Status> {
        let Reply::Status(reply) = self.call(request, |_| Call::Status).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }

    async fn explain(
        &self,
        request: Request<raw::ExplainRequest>,
    ) -> Result<Response<raw::ExplainReply>, Status> {
        let Reply::Explain(reply) = self.call(request, Call::Explain).await? else {
            return Err(wrong_reply_kind());
        };
        Ok(Response::new(reply))
    }
}
