//! The stream of a connection, which reads no more than the connection may hold and
//! passes on one request at a time.
//!
//! The HTTP library decodes all requests that it gets and keeps those that wait. So the
//! stream keeps what follows a request, at most [`READ_STEP_BYTES`], until it is answered.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use cowslipport_lib::intake::BASE_BYTES;
use cowslipport_lib::intake::framing::BodyLength;
use cowslipport_lib::intake::framing::Framing;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_io_timeout::TimeoutStream;

use crate::listener::messages::ConnectionHandle;
use crate::listener::messages::Event;
use crate::listener::messages::StreamOrder;

/// Bytes that are passed on before the HTTP library decodes what it has. The library reads
/// up to 131,072 bytes at once, and lists each chunk in 32 bytes: with chunks of one byte
/// it would list a megabyte.
const READ_STEP_BYTES: usize = 2_048;
/// Longest head, twice what the platform allows.
const MAX_HEAD_BYTES: u64 = 32_768;
/// Bytes that are read and dropped before a connection closes, so that its caller reads
/// the last answer: twice the largest body of the platform.
const MAX_DROPPED_BYTES: u64 = 524_288;

/// What the bytes that arrive belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A head.
    Head,
    /// A head was passed on whole, which the HTTP library decodes.
    HeadWhole,
    /// A body.
    Body,
    /// The requests behind one that waits for its answer.
    Ahead,
    /// What comes after the last request of a connection, or the rest of one that was
    /// refused.
    Dropped,
}

/// A stream that counts what is read.
pub(super) struct MeteredStream {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    orders: mpsc::UnboundedReceiver<StreamOrder>,
    handle: ConnectionHandle,
    phase: Phase,
    framing: Framing,
    /// Bytes that were read and not passed on.
    kept: Bytes,
    /// Bytes of the present head and body that were passed on, or bytes that were dropped.
    received_bytes: u64,
    /// Bytes of a head and a body that may be held.
    granted_bytes: u64,
    /// Bytes that were received when the stream last asked for more.
    told_bytes: u64,
    has_asked: bool,
    /// Bytes that may be passed on before the library decodes.
    step_bytes: usize,
    /// The caller does not read its answers as fast as they are sent.
    is_write_blocked: bool,
    /// Wakes the connection, which waits to read until the caller reads on.
    blocked_reader: Option<Waker>,
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
            framing: Framing::head(),
            kept: Bytes::new(),
            received_bytes: 0,
            granted_bytes: BASE_BYTES,
            told_bytes: 0,
            has_asked: false,
            step_bytes: READ_STEP_BYTES,
            is_write_blocked: false,
            blocked_reader: None,
        }
    }

    pub(super) fn handle(&self) -> &ConnectionHandle {
        &self.handle
    }

    fn apply(&mut self, order: StreamOrder) {
        match order {
            StreamOrder::Began { body: BodyLength::None } | StreamOrder::BodyWhole => {
                self.phase = Phase::Ahead;
            }
            StreamOrder::Began { body } => {
                self.phase = Phase::Body;
                self.framing = Framing::body(body);
            }
            StreamOrder::Ended { closes } => {
                self.phase = if closes { Phase::Dropped } else { Phase::Head };
                self.framing = Framing::head();
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

    /// Bytes that may be passed on now, none if the caller has to wait, or an error if the
    /// connection has to end.
    fn readable_bytes(&mut self) -> io::Result<u64> {
        if self.phase == Phase::Head && self.received_bytes >= MAX_HEAD_BYTES {
            return Err(too_much("head is too large"));
        }
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

    /// Reads up to `length` bytes. Returns none at the end of the stream.
    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        length: usize,
    ) -> Poll<io::Result<Option<Bytes>>> {
        let mut bytes = [0; READ_STEP_BYTES];
        let mut buffer = ReadBuf::new(&mut bytes[..length.min(READ_STEP_BYTES)]);
        ready!(self.stream.as_mut().poll_read(context, &mut buffer))?;
        let read = buffer.filled();
        Poll::Ready(Ok((!read.is_empty()).then(|| Bytes::copy_from_slice(read))))
    }

    /// Passes on bytes of the present head or body.
    fn poll_pass(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.framing.is_over() {
            // The next order wakes the connection.
            return Poll::Pending;
        }
        let readable_bytes = self.readable_bytes()?;
        if readable_bytes == 0 {
            // The next order wakes the connection.
            return Poll::Pending;
        }
        if self.step_bytes == 0 {
            self.step_bytes = READ_STEP_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = self.step_bytes.min(buffer.remaining());
        let length =
            usize::try_from(readable_bytes).map_or(length, |readable| readable.min(length));
        if self.kept.is_empty() {
            match self.poll_bytes(context, length) {
                Poll::Ready(Ok(Some(bytes))) => self.kept = bytes,
                Poll::Ready(Ok(None)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.step_bytes = READ_STEP_BYTES;
                    return Poll::Pending;
                }
            }
        }
        let passed = self.framing.take(&self.kept[..length.min(self.kept.len())]);
        buffer.put_slice(&self.kept[..passed]);
        self.kept.advance(passed);
        self.received_bytes += passed as u64;
        self.step_bytes -= passed;
        if self.phase == Phase::Head && self.framing.is_over() {
            self.phase = Phase::HeadWhole;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads on while a request waits for its answer, so that a caller that disconnects is
    /// noticed.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.kept.is_empty() {
            // The next order wakes the connection.
            return Poll::Pending;
        }
        match ready!(self.poll_bytes(context, READ_STEP_BYTES))? {
            Some(bytes) => self.kept = bytes,
            None => return Poll::Ready(Ok(())),
        }
        // The next order wakes the connection.
        Poll::Pending
    }

    /// Reads and drops what comes before the connection closes.
    fn poll_drop(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.kept = Bytes::new();
        while let Some(bytes) = ready!(self.poll_bytes(context, READ_STEP_BYTES))? {
            self.received_bytes += bytes.len() as u64;
            if self.received_bytes >= MAX_DROPPED_BYTES {
                return Poll::Ready(Err(too_much("too much after the last request")));
            }
        }
        Poll::Ready(Ok(()))
    }
}

fn too_much(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
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
        match this.phase {
            // The answers of requests in a row would wait in the HTTP library.
            Phase::Head if this.is_write_blocked => {
                this.blocked_reader = Some(context.waker().clone());
                Poll::Pending
            }
            Phase::Head | Phase::Body => this.poll_pass(context, buffer),
            // The next order wakes the connection.
            Phase::HeadWhole => Poll::Pending,
            Phase::Ahead => this.poll_ahead(context),
            Phase::Dropped => this.poll_drop(context),
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.stream.as_mut().poll_write(context, bytes);
        self.is_write_blocked = result.is_pending();
        if !self.is_write_blocked
            && let Some(reader) = self.blocked_reader.take()
        {
            reader.wake();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().poll_shutdown(context)
    }
}
