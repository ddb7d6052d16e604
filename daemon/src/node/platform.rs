//! Interfaces between a node and the platform: traits that the adapter of a
//! platform implements. Each client owns its connections and is used by one
//! task.

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
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::vm::VmEntry;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;

/// A compacted topic of the store: it keeps the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Requests of operators, written by the platform.
    Operator,
    /// Entries of the worker registry, written by the platform.
    Workers,
    /// Jobs and what all nodes need to know of them, written by the nodes.
    Jobs,
    /// Progress of tasks and other state of the owner, written by the owner and
    /// read by its successor.
    Progress,
    /// Status of waves for operators, written by the owner.
    Status,
}

impl Topic {
    /// Name of the topic in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Workers => "workers",
            Self::Jobs => "jobs",
            Self::Progress => "progress",
            Self::Status => "status",
        }
    }
}

/// A record with a key. An empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
}

/// Fencing token with which the store rejects the appends of a former owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriterFence {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Sequence number of the append in this epoch. The store applies each
    /// number once, so that an append can be retried.
    pub sequence: u64,
}

/// Why an append failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AppendError {
    /// The store rejected the append and stored nothing.
    #[error("store rejected the append: {reason}")]
    Refused {
        /// Error that the client saw.
        reason: String,
    },
    /// The append may have been stored, or may be stored later.
    #[error("outcome of the append is unknown: {reason}")]
    Unknown {
        /// Error that the client saw.
        reason: String,
    },
    /// The store has seen a higher epoch.
    #[error("a later owner has fenced this one")]
    Fenced,
    /// The store expects another sequence number.
    #[error("store expects sequence number {expected}")]
    WrongSequence {
        /// Sequence number that the store expects.
        expected: u64,
    },
}

/// Why a read failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ReadError {
    /// The store no longer keeps the records from this offset on.
    #[error("records at the offset have expired")]
    Expired,
    /// The service did not answer, or its answer was an error or invalid.
    #[error("service is unavailable: {reason}")]
    Unavailable {
        /// Error that the client saw.
        reason: String,
    },
}

/// Records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct ReadBatch {
    /// The records in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Offset at which the next read starts.
    pub next_offset: u64,
    /// End of the topic when the store made the batch. The size of a batch is
    /// limited, so it may end before the topic does.
    pub end_offset: u64,
}

/// One page of the newest records of a topic.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether further pages follow.
    pub has_more: bool,
    /// End of the topic when the store made the page.
    pub end_offset: u64,
}

/// Client of the store.
pub trait Store: 'static {
    /// Appends all of the records or none. Waits at most `timeout` for the
    /// answer.
    fn append(
        &mut self,
        topic: Topic,
        fence: Option<WriterFence>,
        records: &[KeyedRecord],
        timeout: Duration,
    ) -> impl Future<Output = Result<(), AppendError>>;

    /// Reads records from an offset on. Waits up to `wait_ms` for a record.
    fn read(
        &mut self,
        topic: Topic,
        from_offset: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<ReadBatch, ReadError>>;

    /// Reads a page of the newest records, in the order of their keys, that
    /// starts after `after_key`.
    fn newest_page(
        &mut self,
        topic: Topic,
        after_key: Option<&[u8]>,
    ) -> impl Future<Output = Result<NewestPage, ReadError>>;

    /// Joins the group of nodes, or renews the membership.
    fn join(
        &mut self,
        member: &str,
        generation: u64,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<JoinAnswer, ReadError>>;

    /// Lists the members of the group.
    fn members(&mut self) -> impl Future<Output = Result<Vec<String>, ReadError>>;

    /// Leaves the group.
    fn leave(&mut self, member: &str) -> impl Future<Output = Result<(), ReadError>>;
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorChange {
    /// A new configuration.
    Configuration(CatalogSpec),
    /// A data centre went out of service or came back.
    DataCentre {
        /// Name of the data centre.
        name: String,
        /// Whether the data centre is out of service.
        is_out: bool,
    },
    /// A maintenance wave.
    Wave(WaveSpec),
    /// A wave was withdrawn.
    WaveWithdrawn {
        /// Number of the wave.
        wave: u64,
    },
    /// A record that does not concern the nodes.
    Other,
}

/// A change of a worker's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker was registered, or its entry changed.
    Listed(WorkerEntry),
    /// The worker was removed from the registry.
    Unlisted {
        /// Name of the worker.
        name: String,
    },
}

/// Decodes and encodes the records whose format belongs to the platform.
pub trait RecordCodec: Clone + 'static {
    /// Decodes a record of [`Topic::Operator`].
    fn operator_change(&self, record: &KeyedRecord) -> Result<OperatorChange, Findings>;

    /// Decodes a record of [`Topic::Workers`].
    fn worker_change(&self, record: &KeyedRecord) -> Result<WorkerChange, Findings>;

    /// Encodes the record of [`Topic::Status`] for a wave.
    fn wave_status(&self, wave: u64, is_completed: bool) -> KeyedRecord;
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum WorkerError {
    /// No answer arrived. The worker may still carry the call out later.
    #[error("no answer from the worker: {reason}")]
    Unanswered {
        /// Error that the client saw.
        reason: String,
    },
    /// The worker is unhealthy and carries out no calls.
    #[error("worker is unhealthy")]
    Unhealthy,
    /// The worker has seen a higher epoch.
    #[error("worker has seen a higher epoch")]
    EpochTooLow,
    /// Another worker listens at the address.
    #[error("another worker listens at the address")]
    OtherWorker,
    /// The answer of the worker is invalid.
    #[error("invalid answer of the worker: {reason}")]
    Invalid {
        /// Error that the client saw.
        reason: String,
    },
}

/// A poll of a worker, which may also renew its leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Start of the incarnation that the acknowledgement and the lease are for, in
    /// milliseconds since 1970, if it is known. Another incarnation gets neither.
    pub incarnation_unix_ms: Option<u64>,
    /// The worker may forget ended tasks up to this number.
    pub acknowledged: u64,
    /// New end of the leases on the worker's clock; `None` renews no lease.
    pub lease_until_worker_ms: Option<u64>,
    /// How long the worker waits for a task to end before it answers.
    pub wait_ms: u64,
}

/// End of a lease. Each incarnation of a worker has a clock of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLease {
    /// Start of the incarnation in milliseconds since 1970, if it is known.
    pub incarnation_unix_ms: Option<u64>,
    /// End of the lease on the clock of this incarnation.
    pub until_worker_ms: u64,
}

/// Answer of a worker to a [`PollRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollAnswer {
    /// Time on the worker's clock.
    pub worker_clock_ms: u64,
    /// Start of the worker's process in milliseconds since 1970, if the worker
    /// reports it.
    pub started_unix_ms: Option<u64>,
    /// What the poll granted.
    pub lease: LeaseGrant,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ended tasks that the owner has not acknowledged.
    pub ended: Vec<EndedTask>,
    /// Whether the worker may have left ended tasks out.
    pub has_more_ends: bool,
}

/// Client of one worker.
pub trait Worker: 'static {
    /// Asks for all running and ended tasks.
    fn poll(
        &mut self,
        request: &PollRequest,
    ) -> impl Future<Output = Result<PollAnswer, WorkerError>>;

    /// Starts an attempt of a task with a lease. If the worker is known to run as
    /// another incarnation than the lease is for, sends nothing.
    fn start(
        &mut self,
        epoch: u64,
        lease: WorkerLease,
        start: &StartOrder,
    ) -> impl Future<Output = StartReply>;

    /// Stops an attempt. The worker refuses later starts of the same attempt.
    fn stop(
        &mut self,
        epoch: u64,
        task: &str,
        attempt: u32,
    ) -> impl Future<Output = Result<(), WorkerError>>;

    /// Sets the speed of an attempt, in percent of its full speed.
    fn pace(
        &mut self,
        epoch: u64,
        task: &str,
        attempt: u32,
        percent: u32,
    ) -> impl Future<Output = Result<(), WorkerError>>;
}

/// Client of the service that lists VMs and carries out orders for them.
pub trait VmService: 'static {
    /// Lists all VMs.
    fn list(&mut self) -> impl Future<Output = Result<Vec<VmEntry>, ReadError>>;

    /// Sends an order for a VM on behalf of the owner `holder`.
    fn order(
        &mut self,
        holder: &str,
        epoch: u64,
        order: &VmOrder,
    ) -> impl Future<Output = VmOrderAnswer>;
}

/// Tickets that the advice service granted for starts on some workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantedTickets {
    /// Pairs of a worker's name and its ticket.
    pub tickets: Vec<(String, String)>,
    /// How long the tickets are valid.
    pub valid_ms: u64,
}

/// Client of the service that decides which workers may run a step.
pub trait AdviceService: 'static {
    /// Asks for tickets for some workers of a step.
    fn advise(
        &mut self,
        request: &AdviceRequest,
    ) -> impl Future<Output = Result<GrantedTickets, ReadError>>;
}

/// Creates the clients of the platform's services.
pub trait Platform: Clone + 'static {
    /// Client of the store.
    type Store: Store;
    /// Client of a worker.
    type Worker: Worker;
    /// Client of the VM service.
    type VmService: VmService;
    /// Client of the advice service.
    type AdviceService: AdviceService;
    /// Codec of the platform's records.
    type RecordCodec: RecordCodec;

    /// Returns a new client of the store.
    fn store(&self) -> Self::Store;

    /// Returns a new client of a worker.
    fn worker(&self, name: &str, address: SocketAddr) -> Self::Worker;

    /// Returns a new client of the VM service.
    fn vm_service(&self) -> Self::VmService;

    /// Returns a new client of the advice service.
    fn advice_service(&self) -> Self::AdviceService;

    /// Returns the codec of the platform's records.
    fn record_codec(&self) -> Self::RecordCodec;

    /// Returns the time of day in milliseconds since 1970.
    fn unix_now_ms(&self) -> u64;
}
