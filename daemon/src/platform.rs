//! Interfaces to the platform and to upstreams: traits that the clients and
//! the fakes of tests implement.

use std::future::Future;
use std::net::SocketAddr;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::job::TaskAction;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_event::StartAnswer;
use cowslipport_lib::scheduler_event::TaskReport;

/// Result of reading a stream.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// Lowest offset that the log retains.
    pub first_offset: Offset,
    /// Offset that the next append will get.
    pub next_offset: Offset,
    /// Records with their offsets.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum LogError {
    /// Nothing was written.
    #[error("log service is unavailable: {reason}")]
    Unavailable {
        /// Error that the client saw.
        reason: String,
    },
    /// The record may or may not have been written.
    #[error("outcome of the append is unknown: {reason}")]
    OutcomeUnknown {
        /// Error that the client saw.
        reason: String,
    },
}

/// The append-only log of the platform.
pub trait LogService: Clone + 'static {
    /// Appends a record to a stream.
    fn append(
        &self,
        stream: &str,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<Offset, LogError>>;

    /// Reads records from an offset on. If there is none, waits for one for up
    /// to `wait_ms`.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: u32,
    ) -> impl Future<Output = Result<ReadBatch, LogError>>;
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmJoined,
    /// True if the platform is about to remove the VM.
    pub leaving: bool,
}

/// The call to the VM list failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("VM list is unavailable: {reason}")]
pub struct VmListError {
    /// Error that the client saw.
    pub reason: String,
}

/// The VM list of the platform, which lags behind the actual state.
pub trait VmList: Clone + 'static {
    /// Lists all VMs.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>, VmListError>>;

    /// Reboots a VM. A call that repeats a token has no effect.
    fn reboot(&self, vm: &str, token: &str) -> impl Future<Output = Result<(), VmListError>>;
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WorkerError {
    /// The call failed, but may have taken effect.
    #[error("worker is unavailable: {reason}")]
    Unavailable {
        /// Error that the client saw.
        reason: String,
    },
    /// The worker rejected the call, since it has seen a higher epoch.
    #[error("worker has seen epoch {highest_epoch}")]
    Fenced {
        /// The highest epoch that the worker has seen.
        highest_epoch: u64,
    },
}

/// Order to start a task.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// Fencing token of the owner.
    pub epoch: Epoch,
    /// Ticket from the worker's last answer.
    pub ticket: u64,
    /// The task.
    pub task: TaskId,
    /// Requested resources.
    pub request: Resources,
    /// Payload for the worker.
    pub payload: String,
    /// Duration of the task's lease.
    pub lease_ms: u32,
}

/// Answer to a poll of a worker.
#[derive(Clone, Debug)]
pub struct PollAnswer {
    /// Ticket that the next start must carry.
    pub ticket: u64,
    /// Reports of all tasks that the worker knows.
    pub tasks: Vec<TaskReport>,
    /// Identifies this run of the worker; changes with each restart.
    pub incarnation: u64,
    /// Time since the worker started, if the worker reports it.
    pub up_ms: Option<u64>,
}

/// The agent that runs tasks on a VM.
pub trait Worker: 'static {
    /// Requests reports of all tasks, renews their leases by `renew_ms`, and
    /// allows the worker to drop the ended tasks in `acknowledged`.
    fn poll(
        &mut self,
        epoch: Epoch,
        renew_ms: u32,
        acknowledged: &[TaskId],
    ) -> impl Future<Output = Result<PollAnswer, WorkerError>>;

    /// Starts a task, and returns the ticket for the next start if the worker
    /// sent one. The answer is [`StartAnswer::Unknown`] if the call failed,
    /// since the task may have started.
    fn start(&mut self, start: &TaskStart) -> impl Future<Output = (StartAnswer, Option<u64>)>;

    /// Applies an action to a running task. A failed call is repeated after the
    /// next poll.
    fn control(
        &mut self,
        epoch: Epoch,
        task: &TaskId,
        action: TaskAction,
    ) -> impl Future<Output = Result<(), WorkerError>>;
}

/// Connects to workers.
pub trait WorkerConnector: Clone + 'static {
    /// Client of one worker.
    type Client: Worker;

    /// A client of the worker at `address`, or `None` if the address is not
    /// valid.
    fn connect(&self, address: &str) -> Option<Self::Client>;
}

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why a request to an upstream failed.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[error("cannot connect to upstream: {reason}")]
    NotSent {
        /// Error that the client saw.
        reason: String,
    },
    /// The exchange failed after a part of the request may have been sent.
    #[error("exchange with upstream failed: {reason}")]
    Broken {
        /// Error that the client saw.
        reason: String,
    },
}

/// Response of an upstream. Its body has yet to be read.
#[derive(Debug)]
pub struct UpstreamResponse<B> {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Content length, if the head states it.
    pub length: Option<u64>,
    /// True if the head announces that the upstream closes the connection.
    pub closes_connection: bool,
    /// The body.
    pub body: B,
}

/// Body of an upstream's response.
pub trait UpstreamBody: 'static {
    /// Reads the next part; `None` at the end of a complete body. A truncated
    /// body ends with an error.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, UpstreamError>>;
}

/// Calls upstream instances.
pub trait Upstream: Clone + 'static {
    /// Body of a response.
    type Body: UpstreamBody;

    /// Sends a request and reads the head of the response.
    fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse<Self::Body>, UpstreamError>>;
}
