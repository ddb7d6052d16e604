//! What a node needs of the platform: traits that the adapter of a platform
//! implements. Each link owns its sockets and belongs to one task.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslipport_lib::findings::Findings;
use cowslipport_lib::workload::advice::AdviceRequest;
use cowslipport_lib::workload::catalog::CatalogSpec;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::order::StartOrder;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::report::EndedTask;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;

/// A topic of the store that keeps the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// What operators ask for. The platform writes it.
    Operator,
    /// Entries of workers. The platform writes it.
    Workers,
    /// Jobs and what has become of them.
    Jobs,
    /// What operators are told.
    Status,
}

impl Topic {
    /// Name for log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Workers => "workers",
            Self::Jobs => "jobs",
            Self::Status => "status",
        }
    }
}

/// A record; an empty value drops the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
}

/// Lets the store refuse what a former owner appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterFence {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the append in this epoch; a repeated one takes effect once.
    pub sequence: u64,
}

/// Why an append failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AppendError {
    /// Nothing was stored.
    #[error("store refused the append: {reason}")]
    Refused {
        /// What the client saw.
        reason: String,
    },
    /// It may have been stored, or may be later.
    #[error("outcome of the append is unknown: {reason}")]
    Unknown {
        /// What the client saw.
        reason: String,
    },
    /// The store has seen a higher epoch.
    #[error("a later owner has fenced this one")]
    Fenced,
    /// The store expects another number.
    #[error("store expects append {expected}")]
    WrongSequence {
        /// Number that it expects.
        expected: u64,
    },
}

/// Why a read failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReadError {
    /// The records from this offset are gone.
    #[error("records are no longer kept")]
    Expired,
    /// The store did not answer as it should.
    #[error("store is unavailable: {reason}")]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
}

/// Records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// The records in their order.
    pub records: Vec<KeyedRecord>,
    /// Offset to read from next.
    pub next_offset: u64,
    /// End of the topic when the batch was made; a batch is bounded and may
    /// end before it.
    pub end_offset: u64,
}

/// A part of the newest records of a topic.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// There are further pages.
    pub has_more: bool,
    /// End of the topic when the page was made.
    pub end_offset: u64,
}

/// A link to the store.
pub trait Store: 'static {
    /// Appends records, all or none; waits for the answer for a time.
    fn append(
        &mut self,
        topic: Topic,
        fence: Option<WriterFence>,
        records: &[KeyedRecord],
        wait: Duration,
    ) -> impl Future<Output = Result<(), AppendError>>;

    /// Reads from an offset; waits up to `wait_ms` for a record.
    fn read(
        &mut self,
        topic: Topic,
        from_offset: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<ReadBatch, ReadError>>;

    /// The newest records whose keys come after `after_key`.
    fn newest_page(
        &mut self,
        topic: Topic,
        after_key: Option<&[u8]>,
    ) -> impl Future<Output = Result<NewestPage, ReadError>>;

    /// Joins the group of nodes, or stays in it.
    fn join(
        &mut self,
        member: &str,
        generation: u64,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<JoinAnswer, ReadError>>;

    /// Members of the group that are known to be in it.
    fn members(&mut self) -> impl Future<Output = Result<Vec<String>, ReadError>>;

    /// Leaves the group.
    fn leave(&mut self, member: &str) -> impl Future<Output = Result<(), ReadError>>;
}

/// Something that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorChange {
    /// A configuration.
    Configuration(CatalogSpec),
    /// A data centre is out of service, or back.
    DataCentre {
        /// Its name.
        name: String,
        /// Whether it is out.
        is_out: bool,
    },
    /// A wave of maintenance.
    Wave(WaveSpec),
    /// A wave is taken back.
    WaveWithdrawn {
        /// Number of the wave.
        wave: u64,
    },
    /// Nothing that a node acts on.
    Other,
}

/// A change of a worker's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// It has this entry now.
    Listed(WorkerEntry),
    /// It has none any more.
    Unlisted {
        /// Name of the worker.
        name: String,
    },
}

/// Reads and writes the records that belong to the platform.
pub trait RecordCodec: Clone + 'static {
    /// What a record of [`Topic::Operator`] asks for.
    fn operator_change(&self, record: &KeyedRecord) -> Result<OperatorChange, Findings>;

    /// What a record of [`Topic::Workers`] tells.
    fn worker_change(&self, record: &KeyedRecord) -> Result<WorkerChange, Findings>;

    /// The record of [`Topic::Status`] for a wave.
    fn wave_status(&self, wave: u64, is_completed: bool) -> KeyedRecord;
}

/// Why a worker did not do what it was asked.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WorkerError {
    /// No answer came; the call may be carried out later.
    #[error("worker does not answer: {reason}")]
    Unanswered {
        /// What the client saw.
        reason: String,
    },
    /// The worker does nothing at present.
    #[error("worker is unhealthy")]
    Unhealthy,
    /// The worker has seen a higher epoch.
    #[error("worker has seen a higher epoch")]
    EpochTooLow,
    /// Another worker listens at the address.
    #[error("another worker listens at the address")]
    OtherWorker,
    /// The answer is not one that a worker gives.
    #[error("answer of the worker is not understood: {reason}")]
    Invalid {
        /// What the client saw.
        reason: String,
    },
}

/// A question to a worker that may also renew its leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// End of the leases on the clock of the worker.
    pub lease_until_worker_ms: Option<u64>,
    /// Time to wait for an end.
    pub wait_ms: u64,
}

/// What a worker answers to a [`PollRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// Its clock.
    pub worker_clock_ms: u64,
    /// When its life began, in milliseconds since 1970, if it tells.
    pub started_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and is not acknowledged.
    pub ended: Vec<EndedTask>,
}

/// A link to one worker.
pub trait Worker: 'static {
    /// Asks for all tasks.
    fn poll(
        &mut self,
        request: &PollRequest,
    ) -> impl Future<Output = Result<PollAnswer, WorkerError>>;

    /// Starts a task.
    fn start(
        &mut self,
        epoch: u64,
        lease_until_worker_ms: u64,
        start: &StartOrder,
    ) -> impl Future<Output = StartAnswer>;

    /// Stops an attempt, and refuses it from then on.
    fn stop(
        &mut self,
        epoch: u64,
        task: &str,
        attempt: u32,
    ) -> impl Future<Output = Result<(), WorkerError>>;

    /// Sets the pace of a task.
    fn pace(
        &mut self,
        epoch: u64,
        task: &str,
        attempt: u32,
        percent: u32,
    ) -> impl Future<Output = Result<(), WorkerError>>;
}

/// The service that knows and orders VMs.
pub trait VmService: 'static {
    /// All VMs.
    fn list(&mut self) -> impl Future<Output = Result<Vec<VmEntry>, ReadError>>;

    /// Orders a VM.
    fn order(
        &mut self,
        holder: &str,
        epoch: u64,
        order: &VmOrder,
    ) -> impl Future<Output = VmOrderAnswer>;
}

/// Tickets that the advice service granted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedTickets {
    /// Names of workers with their tickets.
    pub tickets: Vec<(String, String)>,
    /// Time for which they are valid.
    pub valid_ms: u64,
}

/// The service that knows which workers may run a step.
pub trait AdviceService: 'static {
    /// Asks for some workers of a step.
    fn advise(
        &mut self,
        question: &AdviceRequest,
    ) -> impl Future<Output = Result<GrantedTickets, ReadError>>;
}

/// Makes links to the platform.
pub trait Platform: Clone + 'static {
    /// Link to the store.
    type Store: Store;
    /// Link to a worker.
    type Worker: Worker;
    /// Link to the VM service.
    type VmService: VmService;
    /// Link to the advice service.
    type AdviceService: AdviceService;
    /// Reader of the platform's records.
    type RecordCodec: RecordCodec;

    /// A link to the store.
    fn store(&self) -> Self::Store;

    /// A link to a worker.
    fn worker(&self, name: &str, address: SocketAddr) -> Self::Worker;

    /// A link to the VM service.
    fn vm_service(&self) -> Self::VmService;

    /// A link to the advice service.
    fn advice_service(&self) -> Self::AdviceService;

    /// The reader of records.
    fn record_codec(&self) -> Self::RecordCodec;

    /// The time of day, in milliseconds since 1970.
    fn unix_now_ms(&self) -> u64;
}
