//! The task that applies the records of the `control` stream to the control
//! state, sends them to other tasks, and appends records for those tasks.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::Outcome;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::snapshot;
use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::append;
use crate::clock::Clock;
use crate::log_reader;
use crate::log_reader::ReaderMessage;
use crate::platform::LogError;
use crate::platform::LogService;
use crate::platform::ReadBatch;
use crate::subscriber::LogStatus;
use crate::subscriber::Subscriber;

/// Stream that holds the control records.
pub(crate) const CONTROL_STREAM: &str = "control";

/// Stream that holds snapshots of the control state.
pub(crate) const SNAPSHOT_STREAM: &str = "snapshots";

const MAILBOX_CAPACITY: usize = 256;
const MAX_RECENT_RECORDS: usize = 8192;
const SNAPSHOT_INTERVAL_MS: u64 = 600_000;
/// Time for which an append of unknown outcome waits for its record to appear
/// in the log.
const UNKNOWN_APPEND_TIMEOUT_MS: u64 = 10_000;

/// Outcome of an append.
#[derive(Clone, Debug)]
pub(crate) enum AppendOutcome {
    /// The record is in the log and was applied.
    Applied(Offset),
    /// The record is in the log and is void: it has no effect.
    Void(VoidReason),
    /// The record is not in the log.
    Unavailable(String),
    /// The record may be in the log.
    Unknown(String),
}

/// Messages of the control task.
pub(crate) enum ControlMessage {
    /// The reader sent a read at `sent_at` that ended with `result`.
    LogRead { sent_at: TimeMs, result: Result<ReadBatch, LogError> },
    /// The reader found a snapshot to start from.
    Snapshot(Box<ControlState>),
    /// Records fetched from a peer.
    PeerRecords(Vec<(Offset, Vec<u8>)>),
    /// Appends a record; the reply is sent once this process has applied it.
    Append { body: RecordBody, reply: oneshot::Sender<AppendOutcome> },
    /// An append ended.
    AppendDone { id: RecordId, result: Result<Offset, LogError> },
    /// Asks for the control state.
    State(oneshot::Sender<Arc<ControlState>>),
    /// Asks for records from an offset.
    Records { from: Offset, max: usize, reply: oneshot::Sender<Vec<(Offset, Vec<u8>)>> },
}

/// Handle of the control task.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    sender: mpsc::Sender<ControlMessage>,
}

impl ControlHandle {
    /// Appends a record and waits until this process has applied it.
    pub(crate) async fn append(&self, body: RecordBody) -> AppendOutcome {
        let (reply, answer) = oneshot::channel();
        let stopped = || AppendOutcome::Unknown("the process is stopping".to_owned());
        if self.sender.send(ControlMessage::Append { body, reply }).await.is_err() {
            return AppendOutcome::Unavailable("the process is stopping".to_owned());
        }
        answer.await.unwrap_or_else(|_| stopped())
    }

    /// The current control state, or `None` while the process shuts down.
    pub(crate) async fn state(&self) -> Option<Arc<ControlState>> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(ControlMessage::State(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Records from an offset, as far as the task still keeps them.
    pub(crate) async fn records(&self, from: Offset, max: usize) -> Vec<(Offset, Vec<u8>)> {
        let (reply, answer) = oneshot::channel();
        let request = ControlMessage::Records { from, max, reply };
        if self.sender.send(request).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }

    /// Sends a message that has no answer.
    pub(crate) async fn send(&self, message: ControlMessage) {
        // A closed mailbox means that the process is shutting down.
        let _ = self.sender.send(message).await;
    }
}

/// Creates the mailbox of the control task.
pub(crate) fn mailbox() -> (ControlHandle, mpsc::Receiver<ControlMessage>) {
    let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    (ControlHandle { sender }, receiver)
}

struct PendingAppend {
    reply: oneshot::Sender<AppendOutcome>,
    unknown_since: Option<(TimeMs, String)>,
}

/// The task that owns the control state.
pub(crate) struct ControlTask<L> {
    log: L,
    session: SessionId,
    clock: Clock,
    logger: Logger,
    handle: ControlHandle,
    subscribers: Vec<Subscriber>,
    reader: mpsc::Sender<ReaderMessage>,
    state: ControlState,
    shared: Option<Arc<ControlState>>,
    sequence: u64,
    pending: BTreeMap<RecordId, PendingAppend>,
    recent: VecDeque<(Offset, Vec<u8>)>,
    records_since_snapshot: u64,
    snapshot_at: TimeMs,
}

impl<L> ControlTask<L>
where
    L: LogService,
{
    /// Starts the task and its reader. It ends when all handles are dropped.
    pub(crate) fn spawn(
        log: L,
        session: SessionId,
        clock: Clock,
        logger: Logger,
        (handle, receiver): (ControlHandle, mpsc::Receiver<ControlMessage>),
        subscribers: Vec<Subscriber>,
    ) {
        let reader = log_reader::spawn(log.clone(), handle.clone(), clock);
        let task = Self {
            log,
            session,
            clock,
            logger,
            handle,
            subscribers,
            reader,
            state: ControlState::default(),
            shared: None,
            sequence: 0,
            pending: BTreeMap::new(),
            recent: VecDeque::new(),
            records_since_snapshot: 0,
            snapshot_at: clock.now(),
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<ControlMessage>) {
        while let Some(message) = receiver.recv().await {
            self.handle_message(message).await;
            self.expire_unknown_appends();
        }
    }

    async fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::LogRead { sent_at, result } => self.handle_read(sent_at, result).await,
            ControlMessage::Snapshot(state) => self.load_snapshot(*state).await,
            ControlMessage::PeerRecords(records) => {
                self.apply_records(records).await;
                let _ = self.reader.try_send(ReaderMessage::Seek(self.state.next_offset));
            }
            ControlMessage::Append { body, reply } => self.append(body, reply),
            ControlMessage::AppendDone { id, result } => self.handle_append_done(id, result),
            ControlMessage::State(reply) => {
                // The asker may have stopped waiting.
                let _ = reply.send(self.shared_state());
            }
            ControlMessage::Records { from, max, reply } => {
                let _ = reply.send(self.records_from(from, max));
            }
        }
    }

    async fn handle_read(&mut self, sent_at: TimeMs, result: Result<ReadBatch, LogError>) {
        let status = match result {
            Ok(batch) => {
                let head = batch.next_offset;
                self.apply_records(batch.records).await;
                LogStatus::Reachable { sent_at, head }
            }
            Err(error) => LogStatus::Unreachable { reason: error.to_string() },
        };
        for subscriber in &self.subscribers {
            subscriber.send_log_status(&status).await;
        }
    }

    async fn load_snapshot(&mut self, state: ControlState) {
        if state.next_offset <= self.state.next_offset {
            return;
        }
        info!(self.logger, "state loaded from snapshot"; "next_offset" => state.next_offset.0);
        self.state = state;
        self.recent.clear();
        self.shared = None;
        let shared = self.shared_state();
        self.send_feed(&ControlFeed::Reset(shared)).await;
        let _ = self.reader.try_send(ReaderMessage::Seek(self.state.next_offset));
    }

    async fn apply_records(&mut self, records: Vec<(Offset, Vec<u8>)>) {
        let mut applied = Vec::new();
        let mut answers = Vec::new();
        for (offset, bytes) in records {
            // The log and a peer may deliver the same record.
            if offset != self.state.next_offset {
                continue;
            }
            let record = ControlRecord::decode(&bytes).ok();
            answers.extend(self.apply_record(offset, record.as_ref()));
            self.remember_record(offset, bytes);
            applied.push((offset, record));
        }
        if applied.is_empty() {
            return;
        }
        self.shared = None;
        self.records_since_snapshot += applied.len() as u64;
        self.send_feed(&ControlFeed::Records(Arc::new(applied))).await;
        // An append is answered only after the subscribers have received its
        // record.
        for (reply, outcome) in answers {
            let _ = reply.send(outcome);
        }
        self.write_snapshot_if_due();
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        record: Option<&ControlRecord>,
    ) -> Option<(oneshot::Sender<AppendOutcome>, AppendOutcome)> {
        let Some(record) = record else {
            warn!(self.logger, "record cannot be decoded; skipped"; "offset" => offset.0);
            self.state.skip(offset);
            return None;
        };
        let outcome = match self.state.apply(offset, record) {
            // A retry wrote the record twice; the first copy was answered.
            Outcome::Void(VoidReason::Duplicate) => return None,
            Outcome::Applied(_) => AppendOutcome::Applied(offset),
            Outcome::Void(reason) => {
                info!(self.logger, "record is void";
                    "offset" => offset.0, "reason" => reason.to_string());
                AppendOutcome::Void(reason)
            }
        };
        let pending = self.pending.remove(&record.id)?;
        Some((pending.reply, outcome))
    }

    fn remember_record(&mut self, offset: Offset, bytes: Vec<u8>) {
        self.recent.push_back((offset, bytes));
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    fn records_from(&self, from: Offset, max: usize) -> Vec<(Offset, Vec<u8>)> {
        let wanted = self.recent.iter().filter(|(offset, _)| *offset >= from);
        wanted.take(max).cloned().collect()
    }

    async fn send_feed(&self, feed: &ControlFeed) {
        for subscriber in &self.subscribers {
            subscriber.send_feed(feed).await;
        }
    }

    fn shared_state(&mut self) -> Arc<ControlState> {
        let state = &self.state;
        Arc::clone(self.shared.get_or_insert_with(|| Arc::new(state.clone())))
    }

    fn append(&mut self, body: RecordBody, reply: oneshot::Sender<AppendOutcome>) {
        self.sequence += 1;
        let id = RecordId { writer: self.session.0, sequence: self.sequence };
        let bytes = ControlRecord { id, body }.encode();
        self.pending.insert(id, PendingAppend { reply, unknown_since: None });
        let (log, handle) = (self.log.clone(), self.handle.clone());
        actix_rt::spawn(async move {
            let result = append::append_with_retries(&log, CONTROL_STREAM, bytes, id).await;
            handle.send(ControlMessage::AppendDone { id, result }).await;
        });
    }

    fn handle_append_done(&mut self, id: RecordId, result: Result<Offset, LogError>) {
        match result {
            // The append is answered when its record is applied.
            Ok(_) => {}
            Err(LogError::Unavailable { reason }) => {
                if let Some(pending) = self.pending.remove(&id) {
                    let _ = pending.reply.send(AppendOutcome::Unavailable(reason));
                }
            }
            Err(LogError::OutcomeUnknown { reason }) => {
                let now = self.clock.now();
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.unknown_since = Some((now, reason));
                }
            }
        }
    }

    fn expire_unknown_appends(&mut self) {
        let now = self.clock.now();
        let is_expired = |pending: &PendingAppend| {
            pending
                .unknown_since
                .as_ref()
                .is_some_and(|(since, _)| now.since(*since) > UNKNOWN_APPEND_TIMEOUT_MS)
        };
        let ids: Vec<RecordId> =
            self.pending.iter().filter(|(_, entry)| is_expired(entry)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(pending) = self.pending.remove(&id) {
                let reason = pending.unknown_since.map(|(_, reason)| reason).unwrap_or_default();
                let _ = pending.reply.send(AppendOutcome::Unknown(reason));
            }
        }
    }

    /// Writes a snapshot if this session has the lowest id and one is due. Two
    /// writers do no harm, since a snapshot names its offset.
    fn write_snapshot_if_due(&mut self) {
        let now = self.clock.now();
        let due = self.records_since_snapshot >= self.state.snapshot_interval()
            || now.since(self.snapshot_at) >= SNAPSHOT_INTERVAL_MS;
        if !due || self.state.sessions.keys().next() != Some(&self.session) {
            return;
        }
        self.records_since_snapshot = 0;
        self.snapshot_at = now;
        let chunks = snapshot::encode_chunks(&self.state);
        let log = self.log.clone();
        let logger = self.logger.clone();
        let next_offset = self.state.next_offset;
        actix_rt::spawn(async move {
            for chunk in chunks {
                if let Err(error) = log.append(SNAPSHOT_STREAM, chunk).await {
                    warn!(logger, "snapshot write failed"; "error" => error.to_string());
                    return;
                }
            }
            info!(logger, "snapshot written"; "next_offset" => next_offset.0);
        });
    }
}
