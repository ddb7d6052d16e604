//! What the servers have in common: bound sockets, handles and shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tonic::Status;
use tonic::transport::server::TcpIncoming;

/// Messages that a stand-in's mailbox holds.
pub(crate) const MAILBOX_MESSAGES: usize = 256;

/// Time for which a shutdown waits for requests in flight.
const SHUTDOWN_WAIT: Duration = Duration::from_secs(1);

/// Why a stand-in does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// A running stand-in whose task reads messages of type `M`. Dropping the
/// handle stops the server.
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

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The mailbox of the task, for faults and questions.
    pub fn mailbox(&self) -> mpsc::Sender<M> {
        self.mailbox.clone()
    }

    /// Stops accepting, fails requests in flight, and waits for their ends.
    pub async fn shutdown(mut self) {
        // A dropped state makes every request in flight end.
        self.state.abort();
        // The server may have ended already.
        let _ = self.stop.send(());
        if tokio::time::timeout(SHUTDOWN_WAIT, &mut self.server).await.is_err() {
            self.server.abort();
        }
    }
}

/// Binds `address` and returns the listener with the address it got.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    bound.await.map_err(|source| Error::Bind { address, source })
}

/// Connections of a gRPC server. Without `TCP_NODELAY` the trailers of a reply
/// wait for a delayed acknowledgement of its body, 40 ms.
pub(crate) fn incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

/// Sends a message with a reply channel to a stand-in's task and waits for
/// the reply.
pub(crate) async fn ask<M, T, F>(mailbox: &mpsc::Sender<M>, message: F) -> Result<T, Status>
where
    F: FnOnce(oneshot::Sender<T>) -> M,
{
    let (reply, answer) = oneshot::channel();
    let gone = || Status::unavailable("the service has stopped");
    mailbox.send(message(reply)).await.map_err(|_| gone())?;
    answer.await.map_err(|_| gone())
}
