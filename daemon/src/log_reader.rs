//! The task that reads the `control` stream with long polls, starting from the
//! newest snapshot.

use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::snapshot;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::platform::LogError;
use crate::platform::LogService;
use crate::platform::ReadBatch;
use crate::tasks::control::CONTROL_STREAM;
use crate::tasks::control::ControlHandle;
use crate::tasks::control::ControlMessage;
use crate::tasks::control::SNAPSHOT_STREAM;

/// Longest wait of a read for new records. An answer confirms the view as of
/// the time at which the read was sent, so this wait adds to the age of a
/// confirmation.
const READ_WAIT_MS: u32 = 500;
const READ_RECORDS: u32 = 1024;
/// Number of records at the end of the snapshot stream in which the newest
/// snapshot is searched for. A snapshot of 2 MB has 32 chunks of 64 KiB, and
/// the chunks of several writers may be interleaved.
const MAX_SNAPSHOT_RECORDS: u64 = 256;
const SNAPSHOT_READ_RECORDS: u32 = 64;
const FIRST_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;

/// Messages of the reader.
pub(crate) enum ReaderMessage {
    /// Skips ahead to an offset; a lower offset has no effect.
    Seek(Offset),
}

/// Starts the reader. It ends when the control task does.
pub(crate) fn spawn<L>(log: L, control: ControlHandle, clock: Clock) -> mpsc::Sender<ReaderMessage>
where
    L: LogService,
{
    let (sender, receiver) = mpsc::channel(16);
    let jitter = ChaCha8Rng::seed_from_u64(clock.now().0);
    let reader = Reader { log, control, clock, receiver, from: Offset(0), jitter };
    actix_rt::spawn(reader.run());
    sender
}

struct Reader<L> {
    log: L,
    control: ControlHandle,
    clock: Clock,
    receiver: mpsc::Receiver<ReaderMessage>,
    from: Offset,
    jitter: ChaCha8Rng,
}

impl<L> Reader<L>
where
    L: LogService,
{
    async fn run(mut self) {
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut snapshot_searched = false;
        loop {
            if !self.handle_seeks() {
                return;
            }
            let sent_at = self.clock.now();
            let result = if snapshot_searched { self.read().await } else { self.bootstrap().await };
            match &result {
                Ok(batch) if batch.first_offset > self.from => {
                    snapshot_searched = false;
                    let result = Err(records_not_kept(self.from));
                    self.control.send(ControlMessage::LogRead { sent_at, result }).await;
                    tokio::time::sleep(Duration::from_millis(MAX_BACKOFF_MS)).await;
                    continue;
                }
                Ok(batch) => {
                    snapshot_searched = true;
                    backoff_ms = FIRST_BACKOFF_MS;
                    if let Some((offset, _)) = batch.records.last() {
                        self.from = offset.next();
                    }
                }
                Err(_) => {}
            }
            let failed = result.is_err();
            self.control.send(ControlMessage::LogRead { sent_at, result }).await;
            if failed {
                let pause_ms = self.jitter.random_range(backoff_ms / 2..=backoff_ms);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }

    fn handle_seeks(&mut self) -> bool {
        loop {
            match self.receiver.try_recv() {
                Ok(ReaderMessage::Seek(offset)) => self.from = self.from.max(offset),
                Err(mpsc::error::TryRecvError::Empty) => return true,
                Err(mpsc::error::TryRecvError::Disconnected) => return false,
            }
        }
    }

    async fn read(&self) -> Result<ReadBatch, LogError> {
        self.log.read(CONTROL_STREAM, self.from, READ_RECORDS, READ_WAIT_MS).await
    }

    async fn bootstrap(&mut self) -> Result<ReadBatch, LogError> {
        if let Some(state) = self.newest_snapshot().await?
            && state.next_offset > self.from
        {
            self.from = state.next_offset;
            self.control.send(ControlMessage::Snapshot(Box::new(state))).await;
        }
        self.log.read(CONTROL_STREAM, self.from, READ_RECORDS, 0).await
    }

    async fn newest_snapshot(&self) -> Result<Option<ControlState>, LogError> {
        let bounds = self.log.read(SNAPSHOT_STREAM, Offset(0), 0, 0).await?;
        let first = bounds.next_offset.0.saturating_sub(MAX_SNAPSHOT_RECORDS);
        let mut from = Offset(first).max(bounds.first_offset);
        let mut records = Vec::new();
        while from < bounds.next_offset {
            let batch = self.log.read(SNAPSHOT_STREAM, from, SNAPSHOT_READ_RECORDS, 0).await?;
            let Some((last, _)) = batch.records.last() else { break };
            from = last.next();
            records.extend(batch.records.into_iter().map(|(_, record)| record));
        }
        Ok(snapshot::newest_snapshot(&records))
    }
}

fn records_not_kept(from: Offset) -> LogError {
    let reason =
        format!("records from offset {from} are no longer kept and no snapshot covers them");
    LogError::Unavailable { reason }
}
