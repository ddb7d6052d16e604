//! Functions that all servers share: listeners, handles, shutdown and calls to
//! a stand-in's task.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tonic::Status;
use tonic::transport::server::TcpIncoming;

/// Capacity of the mailbox of a stand-in, in messages.
pub(crate) const MAILBOX_MESSAGES: usize = 256;

/// Time for which a shutdown waits for the server to end its requests in
/// flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a stand-in cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Handle of a running stand-in whose task receives messages of type `M`.
/// Dropping the handle stops the server.
#[derive(Debug)]
pub struct Handle<M> {
    address: SocketAddr,
    mailbox: mpsc::Sender<M>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
    state: JoinHandle<()>,
}

impl<M> Handle<M> {
    pub(crate) fn new(
        address: SocketAddr,
        mailbox: mpsc::Sender<M>,
        stop: oneshot::Sender<()>,
        server: JoinHandle<()>,
        state: JoinHandle<()>,
    ) -> Self {
        Self { address, mailbox, stop, server, state }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the mailbox of the task, for faults and queries.
    pub fn mailbox(&self) -> mpsc::Sender<M> {
        self.mailbox.clone()
    }

    /// Stops accepting requests, fails those in flight, and waits until they
    /// have ended.
    pub async fn shutdown(mut self) {
        // Aborting the task drops the reply channels, so every request in
        // flight fails.
        self.state.abort();
        // The server may have stopped already.
        let _ = self.stop.send(());
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, &mut self.server).await.is_err() {
            self.server.abort();
        }
    }
}

/// Binds `address` and returns the listener and its actual address.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    bound.await.map_err(|source| Error::Bind { address, source })
}

/// Returns the incoming connections of a gRPC server. Without `TCP_NODELAY`,
/// the trailers of a reply wait 40 ms for the delayed acknowledgement of its
/// body.
pub(crate) fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

/// Sends a message with a reply channel to the task of a stand-in and waits for
/// the reply.
pub(crate) async fn request_reply<M, T, F>(
    mailbox: &mpsc::Sender<M>,
    message: F,
) -> Result<T, Status>
where
    F: FnOnce(oneshot::Sender<T>) -> M,
{
    let (reply, answer) = oneshot::channel();
    let stopped = || Status::unavailable("the service has stopped");
    mailbox.send(message(reply)).await.map_err(|_| stopped())?;
    answer.await.map_err(|_| stopped())
}
