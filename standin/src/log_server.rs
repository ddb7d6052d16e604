//! The log service as a gRPC server.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use cowslipport_lib::protos::platform as raw;
use cowslipport_lib::protos::platform::log_server::Log;
use cowslipport_lib::protos::platform::log_server::LogServer;
use cowslipport_lib::time::TimeMs;

use crate::clock::Clock;
use crate::log_store::LogError;
use crate::log_store::LogFaults;
use crate::log_store::LogLimits;
use crate::log_store::LogStats;
use crate::log_store::LogStore;
use crate::log_store::ReadPage;
use crate::serve;
use crate::serve::Error;
use crate::serve::Handle;

/// Channel for the result of an append: the offset of the record.
type AppendReply = oneshot::Sender<Result<u64, Status>>;

/// Channel for the result of a read.
type ReadReply = oneshot::Sender<Result<ReadPage, Status>>;

/// Messages to the task that owns the log.
#[derive(Debug)]
pub enum LogMessage {
    /// A call by a client.
    Call(LogCall),
    /// Replaces the injected faults.
    SetFaults(LogFaults),
    /// Asks for the counters of the service.
    Stats(oneshot::Sender<LogStats>),
}

/// A call by a client of the log service.
#[derive(Debug)]
pub enum LogCall {
    /// Appends a record.
    Append {
        /// Name of the stream.
        stream: String,
        /// The record.
        record: Vec<u8>,
        /// Receives the offset of the record.
        reply: AppendReply,
    },
    /// Reads records and waits for the first one if there is none.
    Read {
        /// The stream, the range and how long to wait.
        request: raw::ReadRequest,
        /// Receives the records.
        reply: ReadReply,
    },
}

/// Starts a log service that listens on `listen`.
pub async fn start(
    listen: SocketAddr,
    limits: LogLimits,
    seed: u64,
) -> Result<Handle<LogMessage>, Error> {
    let (listener, address) = serve::bind(listen).await?;
    let (mailbox, messages) = mpsc::channel(serve::MAILBOX_MESSAGES);
    let (stop, stopped) = oneshot::channel::<()>();
    let task = LogTask {
        store: LogStore::new(limits, seed),
        clock: Clock::start(),
        messages,
        delayed: BTreeMap::new(),
        next_call_number: 0,
        waiting_reads: Vec::new(),
        hanging_replies: Vec::new(),
    };
    let state = actix_rt::spawn(task.run());
    let service = LogServer::new(LogService { mailbox: mailbox.clone() });
    let server = actix_rt::spawn(async move {
        let shutdown = async move { drop(stopped.await) };
        let incoming = serve::incoming(listener);
        // If the listener fails, the server stops and its clients see that it
        // is unavailable.
        let _ = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, shutdown)
            .await;
    });
    Ok(Handle::new(address, mailbox, stop, server, state))
}

struct LogService {
    mailbox: mpsc::Sender<LogMessage>,
}

#[tonic::async_trait]
impl Log for LogService {
    async fn append(
        &self,
        request: Request<raw::AppendRequest>,
    ) -> Result<Response<raw::AppendReply>, Status> {
        let raw::AppendRequest { stream, record } = request.into_inner();
        let call = |reply| LogMessage::Call(LogCall::Append { stream, record, reply });
        let offset = serve::request_reply(&self.mailbox, call).await??;
        Ok(Response::new(raw::AppendReply { offset }))
    }

    async fn read(
        &self,
        request: Request<raw::ReadRequest>,
    ) -> Result<Response<raw::ReadReply>, Status> {
        let request = request.into_inner();
        let call = |reply| LogMessage::Call(LogCall::Read { request, reply });
        let page = serve::request_reply(&self.mailbox, call).await??;
        let record = |(offset, record)| raw::LogRecord { offset, record };
        Ok(Response::new(raw::ReadReply {
            first_offset: page.first_offset,
            next_offset: page.next_offset,
            records: page.records.into_iter().map(record).collect(),
        }))
    }
}

/// A long poll that waits for its first record.
struct WaitingRead {
    deadline: TimeMs,
    request: raw::ReadRequest,
    reply: ReadReply,
}

/// Owns the log and the calls in progress.
struct LogTask {
    store: LogStore,
    clock: Clock,
    messages: mpsc::Receiver<LogMessage>,
    /// Delayed calls by the time at which they take effect.
    delayed: BTreeMap<(TimeMs, u64), LogCall>,
    next_call_number: u64,
    waiting_reads: Vec<WaitingRead>,
    /// Appends whose lost reply hangs. Their channels are kept, because closing
    /// one would tell the writer that no reply will come.
    hanging_replies: Vec<AppendReply>,
}

impl LogTask {
    async fn run(mut self) {
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = self.clock.sleep_until(deadline) => {}
            }
            self.advance();
        }
    }

    fn next_deadline(&self) -> Option<TimeMs> {
        let delayed = self.delayed.first_key_value().map(|((time, _), _)| *time);
        let waiting_reads = self.waiting_reads.iter().map(|read| read.deadline).min();
        delayed.into_iter().chain(waiting_reads).min()
    }

    fn handle(&mut self, message: LogMessage) {
        match message {
            LogMessage::Call(call) => {
                let effect_at = self.clock.now().plus(self.store.faults().delay_ms);
                self.delayed.insert((effect_at, self.next_call_number), call);
                self.next_call_number += 1;
            }
            LogMessage::SetFaults(faults) => self.set_faults(faults),
            // The receiver may have been dropped.
            LogMessage::Stats(reply) => drop(reply.send(self.store.stats())),
        }
    }

    fn set_faults(&mut self, faults: LogFaults) {
        self.store.set_faults(faults);
        if faults.down {
            for read in self.waiting_reads.drain(..) {
                drop(read.reply.send(Err(status(LogError::Down))));
            }
        }
    }

    fn advance(&mut self) {
        let now = self.clock.now();
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                break;
            }
            match entry.remove() {
                LogCall::Append { stream, record, reply } => {
                    self.append(now, &stream, record, reply);
                }
                LogCall::Read { request, reply } => self.read(now, request, reply),
            }
        }
        let expired: Vec<_> =
            self.waiting_reads.extract_if(.., |read| read.deadline <= now).collect();
        for read in expired {
            self.answer_read(now, read);
        }
    }

    fn append(&mut self, now: TimeMs, stream: &str, record: Vec<u8>, reply: AppendReply) {
        match self.store.append(now, stream, record) {
            Err(error) => drop(reply.send(Err(status(error)))),
            Ok(appended) => {
                if !appended.reply_lost {
                    drop(reply.send(Ok(appended.offset)));
                } else if self.store.faults().lost_replies_hang {
                    self.hanging_replies.push(reply);
                } else {
                    // The status is the same as when the log is down, so that
                    // the writer cannot tell whether the record was written.
                    drop(reply.send(Err(status(LogError::Down))));
                }
                self.wake_reads(now, stream, appended.offset);
            }
        }
    }

    fn wake_reads(&mut self, now: TimeMs, stream: &str, offset: u64) {
        let ready = |read: &mut WaitingRead| {
            read.request.stream == stream && read.request.from_offset <= offset
        };
        let woken: Vec<_> = self.waiting_reads.extract_if(.., ready).collect();
        for read in woken {
            self.answer_read(now, read);
        }
    }

    fn read(&mut self, now: TimeMs, request: raw::ReadRequest, reply: ReadReply) {
        let read = self.store.read(now, &request.stream, request.from_offset, request.max_records);
        match read {
            Err(error) => drop(reply.send(Err(status(error)))),
            Ok(page) if page.records.is_empty() && request.wait_ms > 0 => {
                let deadline = now.plus(u64::from(request.wait_ms));
                self.waiting_reads.push(WaitingRead { deadline, request, reply });
            }
            Ok(page) => drop(reply.send(Ok(page))),
        }
    }

    fn answer_read(&mut self, now: TimeMs, read: WaitingRead) {
        let request = &read.request;
        let page = self.store.read_admitted(
            now,
            &request.stream,
            request.from_offset,
            request.max_records,
        );
        drop(read.reply.send(Ok(page)));
    }
}

fn status(error: LogError) -> Status {
    match error {
        LogError::Down | LogError::Rejected => Status::unavailable(error.to_string()),
        LogError::RateLimited => Status::resource_exhausted(error.to_string()),
    }
}
