//! The stream of a connection, which reads no more than the connection may hold.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use cowslipport_lib::intake::BASE_BYTES;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_io_timeout::TimeoutStream;

use crate::listener::messages::ConnectionHandle;
use crate::listener::messages::Event;
use crate::listener::messages::StreamOrder;

/// Bytes that are read before the HTTP library decodes what it has. The library reads up
/// to 131,072 bytes at once, and lists each chunk in 32 bytes: with chunks of one byte it
/// would list a megabyte.
const READ_STEP_BYTES: u64 = 2_048;
/// Longest head, twice what the platform allows.
const MAX_HEAD_BYTES: u64 = 32_768;
/// Bytes that are read ahead while a request waits for its answer, so that a caller that
/// disconnects is noticed.
const MAX_READ_AHEAD_BYTES: u64 = 4_096;
/// Bytes of a refused request that are read and dropped, so that its caller reads the
/// refusal: twice the largest body of the platform.
const MAX_DROPPED_BYTES: u64 = 524_288;

/// What the bytes that arrive belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A head.
    Head,
    /// A body.
    Body,
    /// The requests behind one that waits for its answer.
    Ahead,
    /// The rest of a request that was refused.
    Dropped,
}

/// A stream that counts what is read.
pub(super) struct MeteredStream {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    orders: mpsc::UnboundedReceiver<StreamOrder>,
    handle: ConnectionHandle,
    phase: Phase,
    /// Bytes that arrived in the present head and body, or in the present phase.
    received_bytes: u64,
    /// Bytes of a head and a body that may be held.
    granted_bytes: u64,
    /// Bytes that were received when the stream last asked for more.
    told_bytes: u64,
    has_asked: bool,
    /// Bytes that may be read before the library decodes.
    step_bytes: u64,
}

impl MeteredStream {
    pub(super) fn new(
        stream: Pin<Box<TimeoutStream<TcpStream>>>,
        handle: ConnectionHandle,
        orders: mpsc::UnboundedReceiver<StreamOrder>,
    ) -> Self {
        Self {
            stream,
            orders,
            handle,
            phase: Phase::Head,
            received_bytes: 0,
            granted_bytes: BASE_BYTES,
            told_bytes: 0,
            has_asked: false,
            step_bytes: READ_STEP_BYTES,
        }
    }

    pub(super) fn handle(&self) -> &ConnectionHandle {
        &self.handle
    }

    fn apply(&mut self, order: StreamOrder) {
        match order {
            StreamOrder::Began { has_body: true } => self.phase = Phase::Body,
            StreamOrder::Began { has_body: false } | StreamOrder::BodyWhole => {
                self.phase = Phase::Ahead;
                self.received_bytes = 0;
            }
            StreamOrder::Ended => {
                self.phase = match self.phase {
                    Phase::Body | Phase::Dropped => Phase::Dropped,
                    Phase::Head | Phase::Ahead => Phase::Head,
                };
                self.received_bytes = 0;
                self.granted_bytes = BASE_BYTES;
                self.told_bytes = 0;
                self.has_asked = false;
            }
            StreamOrder::Granted { bytes } => {
                self.granted_bytes += bytes;
                self.has_asked = false;
            }
        }
    }

    /// Bytes that may be read now, none if the caller has to wait, or an error if the
    /// connection has to end.
    fn readable_bytes(&mut self) -> io::Result<u64> {
        let too_much = |message: &str| Err(io::Error::new(io::ErrorKind::InvalidData, message));
        match self.phase {
            Phase::Head if self.received_bytes >= MAX_HEAD_BYTES => too_much("head is too large"),
            Phase::Head | Phase::Body => {
                let bytes = self.granted_bytes.saturating_sub(self.received_bytes);
                if bytes == 0 && !self.has_asked {
                    self.has_asked = true;
                    let received_bytes = self.received_bytes - self.told_bytes;
                    self.told_bytes = self.received_bytes;
                    let key = self.handle.key;
                    self.handle.tell_owner(Event::Asks { key, received_bytes });
                }
                Ok(bytes)
            }
            Phase::Ahead => Ok(MAX_READ_AHEAD_BYTES.saturating_sub(self.received_bytes)),
            Phase::Dropped if self.received_bytes >= MAX_DROPPED_BYTES => {
                too_much("refused request is too large")
            }
            Phase::Dropped => Ok(READ_STEP_BYTES),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while let Poll::Ready(Some(order)) = this.orders.poll_recv(context) {
            this.apply(order);
        }
        let readable_bytes = this.readable_bytes()?;
        if readable_bytes == 0 {
            // The next order wakes the connection.
            return Poll::Pending;
        }
        if this.step_bytes == 0 {
            this.step_bytes = READ_STEP_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let bytes = readable_bytes.min(this.step_bytes);
        let length = usize::try_from(bytes)
            .map_or(buffer.remaining(), |bytes| bytes.min(buffer.remaining()));
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let result = this.stream.as_mut().poll_read(context, &mut part);
        let read = part.filled().len();
        match result {
            Poll::Ready(Ok(())) => {
                buffer.advance(read);
                this.received_bytes += read as u64;
                this.step_bytes = this.step_bytes.saturating_sub(read as u64);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                this.step_bytes = READ_STEP_BYTES;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_shutdown(context)
    }
}
