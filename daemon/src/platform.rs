//! Interfaces to the platform: traits that the real clients and the
//! fakes of tests implement.

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

/// Records that a read of a stream returned.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// First offset that the log still keeps.
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
        /// What the client saw.
        reason: String,
    },
    /// The record may have been written.
    #[error("outcome of the append is unknown: {reason}")]
    OutcomeUnknown {
        /// What the client saw.
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

    /// Reads records from an offset; waits up to `wait_ms` if there is none.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: u32,
        wait_ms: u32,
    ) -> impl Future<Output = Result<ReadBatch, LogError>>;
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmJoined,
    /// True if the platform is about to take it away.
    pub leaving: bool,
}

/// The call to the VM list failed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("VM list is unavailable: {reason}")]
pub struct VmListError {
    /// What the client saw.
    pub reason: String,
}

/// The lagging list of VMs.
pub trait VmList: Clone + 'static {
    /// All VMs that the platform shows.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedVm>, VmListError>>;

    /// Reboots a VM; a repeated token has no further effect.
    fn reboot(&self, vm: &str, token: &str) -> impl Future<Output = Result<(), VmListError>>;
}

/// Why a worker did not do what it was asked.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WorkerError {
    /// The call did not succeed; a start may have taken effect.
    #[error("worker does not answer: {reason}")]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
    /// The worker has seen a higher epoch.
    #[error("worker has seen epoch {highest_epoch}")]
    Fenced {
        /// The highest epoch that it has seen.
        highest_epoch: u64,
    },
}

/// A start of a task.
#[derive(Clone, Debug)]
pub struct TaskStart {
    /// Fencing token of the owner.
    pub epoch: Epoch,
    /// Ticket of the worker.
    pub ticket: u64,
    /// The task.
    pub task: TaskId,
    /// Its declared size.
    pub request: Resources,
    /// What the worker receives.
    pub payload: String,
    /// Lease of the task.
    pub lease_ms: u32,
}

/// What a poll returns.
#[derive(Clone, Debug)]
pub struct PollAnswer {
    /// Number that the next start must name.
    pub ticket: u64,
    /// All tasks that the worker knows.
    pub tasks: Vec<TaskReport>,
    /// Differs after each restart of the worker.
    pub incarnation: u64,
    /// Time since the worker started, if it tells.
    pub up_ms: Option<u64>,
}

/// The agent that runs tasks on a VM.
pub trait Worker: 'static {
    /// Asks for all tasks, renews their leases by `renew_ms` and lets the
    /// worker forget the tasks in `acknowledged`.
    fn poll(
        &mut self,
        epoch: Epoch,
        renew_ms: u32,
        acknowledged: &[TaskId],
    ) -> impl Future<Output = Result<PollAnswer, WorkerError>>;

    /// Starts a task. The answer is [`StartAnswer::Unknown`] if it may have
    /// started.
    fn start(&mut self, start: &TaskStart) -> impl Future<Output = (StartAnswer, Option<u64>)>;

    /// Acts on a task. A lost call is repeated after the next poll.
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

    /// A client of the worker at `address`, or nothing if that is no address.
    fn connect(&self, address: &str) -> Option<Self::Client>;
}

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Why an upstream did not answer, or not whole.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was sent.
    #[error("upstream cannot be connected to: {reason}")]
    NotSent {
        /// What the client saw.
        reason: String,
    },
    /// A part of the request may have arrived.
    #[error("exchange with the upstream broke: {reason}")]
    Broken {
        /// What the client saw.
        reason: String,
    },
}

/// Head of an upstream's answer, with the body to be read.
#[derive(Debug)]
pub struct UpstreamResponse<B> {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Length of the body, if the head tells it.
    pub length: Option<u64>,
    /// True if the upstream closes the connection.
    pub closes: bool,
    /// The body.
    pub body: B,
}

/// Body of an upstream's answer.
pub trait UpstreamBody: 'static {
    /// The next part, or nothing at the end of a whole body. A body that was
    /// cut ends with an error.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, UpstreamError>>;
}

/// Calls upstream instances.
pub trait Upstream: Clone + 'static {
    /// Body of an answer.
    type Body: UpstreamBody;

    /// Sends a request and reads the head of the answer.
    fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
    ) -> impl Future<Output = Result<UpstreamResponse<Self::Body>, UpstreamError>>;
}
