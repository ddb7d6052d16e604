//! The task that owns the `jobs` stream of one partition: it appends records in
//! batches, applies the records of the stream, and answers submissions and
//! cancellations.

use std::time::Duration;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::job::JobEnd;
use cowslipport_lib::job::JobRecord;
use cowslipport_lib::job::JobRecordBody;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::job_log::JobChange;
use cowslipport_lib::job_log::JobLog;
use cowslipport_lib::job_log::JobLogOutcome;
use cowslipport_lib::job_log::JobVoidReason;
use cowslipport_lib::scheduler_event::JobOrigin;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::append::append_with_retries;
use crate::platform::LogError;
use crate::platform::LogService;
use crate::tasks::placement::PlacementMessage;

/// Time for which submissions are collected into one append.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Time for which ends of jobs are collected into one append.
const END_BATCH_WINDOW: Duration = Duration::from_secs(2);
const MAX_BATCH_JOBS: usize = 512;
const READ_RECORDS: u32 = 256;
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const SNAPSHOT_INTERVAL_RECORDS: u64 = 2_000;
const MAILBOX_CAPACITY: usize = 1024;

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobAnswer {
    /// The job is recorded in the stream.
    Accepted,
    /// The same job was accepted before and is open.
    Known,
    /// A job with this name ended a short time ago.
    EndedBefore,
    /// A different job with this name is open.
    Conflict,
    /// The job is cancelled.
    Cancelled,
    /// No job with this name is open.
    NotOpen,
    /// This process does not own the partition; nothing was recorded.
    NotOwner,
    /// The record was not written to the log.
    LogUnavailable,
    /// The record may have been written to the log.
    Unknown,
    /// The key was withdrawn.
    KeyWithdrawn,
}

/// Messages of the task.
pub(crate) enum JobStreamMessage {
    /// Records a job; the reply is sent once the record is in the log.
    Submit { job: JobSpec, reply: oneshot::Sender<JobAnswer> },
    /// Records a cancellation.
    Cancel { job: JobRef, reply: oneshot::Sender<JobAnswer> },
    /// Records the end of a job.
    End(JobEnd),
}

/// What the task of a jobs stream needs to start.
pub(crate) struct JobStreamConfig<L> {
    /// The log.
    pub(crate) log: L,
    /// The session that owns the partition.
    pub(crate) session: SessionId,
    /// The partition.
    pub(crate) partition: PartitionId,
    /// Fencing token of the ownership.
    pub(crate) epoch: Epoch,
    /// Mailbox of the placement task.
    pub(crate) placement: mpsc::WeakSender<PlacementMessage>,
    /// The logger.
    pub(crate) logger: Logger,
}

struct Submission {
    job: JobSpec,
    reply: oneshot::Sender<JobAnswer>,
}

struct Cancellation {
    job: JobRef,
    reply: oneshot::Sender<JobAnswer>,
}

struct JobStream<L> {
    config: JobStreamConfig<L>,
    stream: String,
    sequence: u64,
    jobs: JobLog,
    submissions: Vec<Submission>,
    cancellations: Vec<Cancellation>,
    ends: Vec<JobEnd>,
    ends_since: Option<Instant>,
    snapshot_at: Offset,
    fenced: bool,
}

/// Starts the task. It ends when its mailbox is closed.
pub(crate) fn spawn<L>(config: JobStreamConfig<L>) -> mpsc::Sender<JobStreamMessage>
where
    L: LogService,
{
    let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let stream = format!("jobs-{}", config.partition);
    let task = JobStream {
        config,
        stream,
        sequence: 0,
        jobs: JobLog::default(),
        submissions: Vec::new(),
        cancellations: Vec::new(),
        ends: Vec::new(),
        ends_since: None,
        snapshot_at: Offset(0),
        fenced: false,
    };
    actix_rt::spawn(task.run(receiver));
    sender
}

impl<L> JobStream<L>
where
    L: LogService,
{
    async fn run(mut self, mut receiver: mpsc::Receiver<JobStreamMessage>) {
        while let Err(error) = self.load().await {
            warn!(self.config.logger, "read of jobs stream failed; retrying";
                "stream" => &self.stream, "error" => error.to_string());
            if receiver.is_closed() {
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        self.send_open_jobs().await;
        while let Some(message) = self.next_message(&mut receiver).await {
            if let Some(message) = message {
                self.collect(message);
                self.collect_batch(&mut receiver).await;
            }
            self.flush().await;
        }
    }

    /// The next message, `Some(None)` when the collected ends are due, or `None`
    /// when the mailbox is closed.
    async fn next_message(
        &self,
        receiver: &mut mpsc::Receiver<JobStreamMessage>,
    ) -> Option<Option<JobStreamMessage>> {
        let Some(since) = self.ends_since else { return receiver.recv().await.map(Some) };
        tokio::select! {
            message = receiver.recv() => message.map(Some),
            () = tokio::time::sleep_until(since + END_BATCH_WINDOW) => Some(None),
        }
    }

    async fn collect_batch(&mut self, receiver: &mut mpsc::Receiver<JobStreamMessage>) {
        let until = Instant::now() + BATCH_WINDOW;
        while self.submissions.len() < MAX_BATCH_JOBS {
            match tokio::time::timeout_at(until, receiver.recv()).await {
                Ok(Some(message)) => self.collect(message),
                Ok(None) | Err(_) => return,
            }
        }
    }

    fn collect(&mut self, message: JobStreamMessage) {
        match message {
            JobStreamMessage::Submit { job, reply } => {
                self.submissions.push(Submission { job, reply });
            }
            JobStreamMessage::Cancel { job, reply } => {
                self.cancellations.push(Cancellation { job, reply });
            }
            JobStreamMessage::End(end) => {
                self.ends_since.get_or_insert_with(Instant::now);
                self.ends.push(end);
            }
        }
    }

    /// Appends an empty record with the epoch of this owner, after which
    /// records of former owners are void, and applies all records up to it.
    async fn load(&mut self) -> Result<(), LogError> {
        let fence = self.append(JobRecordBody::Accepted(Vec::new())).await?;
        let mut records = Vec::new();
        let mut from = Offset(0);
        while from <= fence {
            let batch = self.config.log.read(&self.stream, from, READ_RECORDS, 0).await?;
            let Some((last, _)) = batch.records.last() else { break };
            from = last.next();
            let decode =
                |(offset, bytes): (Offset, Vec<u8>)| (offset, JobRecord::decode(&bytes).ok());
            records.extend(batch.records.into_iter().map(decode));
        }
        self.jobs = JobLog::fold(&records)
            .map_err(|error| LogError::Unavailable { reason: error.to_string() })?;
        self.snapshot_at = self.jobs.next_offset();
        Ok(())
    }

    async fn send_open_jobs(&self) {
        let jobs: Vec<JobSpec> = self.jobs.open_jobs().cloned().collect();
        info!(self.config.logger, "jobs stream read"; "stream" => &self.stream,
            "epoch" => self.config.epoch.0, "open_jobs" => jobs.len());
        let JobStreamConfig { partition, epoch, .. } = self.config;
        self.send(PlacementMessage::JobsLoaded { partition, epoch, jobs }).await;
    }

    async fn send(&self, message: PlacementMessage) {
        if let Some(placement) = self.config.placement.upgrade() {
            // A closed mailbox means that the process is shutting down.
            let _ = placement.send(message).await;
        }
    }

    async fn send_event(&self, event: SchedulerEvent) {
        let JobStreamConfig { partition, epoch, .. } = self.config;
        self.send(PlacementMessage::Scheduler { partition, epoch, event }).await;
    }

    async fn append(&mut self, body: JobRecordBody) -> Result<Offset, LogError> {
        self.sequence += 1;
        // The writer includes the epoch, so that a session that owns the
        // partition a second time does not reuse record ids.
        let writer = self.config.session.0 ^ self.config.epoch.0.rotate_left(32);
        let id = RecordId { writer, sequence: self.sequence };
        let record = JobRecord { id, epoch: self.config.epoch, body };
        append_with_retries(&self.config.log, &self.stream, record.encode(), id).await
    }

    async fn flush(&mut self) {
        self.flush_submissions().await;
        self.flush_cancellations().await;
        self.flush_ends().await;
        self.snapshot_if_due().await;
    }

    async fn flush_submissions(&mut self) {
        let submissions = std::mem::take(&mut self.submissions);
        if submissions.is_empty() {
            return;
        }
        let jobs = submissions.iter().map(|entry| entry.job.clone()).collect();
        let changes = self.append_and_apply(JobRecordBody::Accepted(jobs)).await;
        for (index, Submission { job, reply }) in submissions.into_iter().enumerate() {
            let answer = match &changes {
                Ok(changes) => changes.get(index).map_or(JobAnswer::NotOwner, accepted_answer),
                Err(answer) => answer.clone(),
            };
            if answer == JobAnswer::Accepted {
                let origin = JobOrigin::New;
                self.send_event(SchedulerEvent::JobAccepted { job, origin }).await;
            }
            // The caller may have stopped waiting; the job is recorded all the
            // same.
            let _ = reply.send(answer);
        }
    }

    async fn flush_cancellations(&mut self) {
        let cancellations = std::mem::take(&mut self.cancellations);
        if cancellations.is_empty() {
            return;
        }
        let jobs = cancellations.iter().map(|entry| entry.job.clone()).collect();
        let changes = self.append_and_apply(JobRecordBody::Cancelled(jobs)).await;
        for (index, Cancellation { job, reply }) in cancellations.into_iter().enumerate() {
            let answer = match &changes {
                Ok(changes) => changes.get(index).map_or(JobAnswer::NotOwner, cancelled_answer),
                Err(answer) => answer.clone(),
            };
            if answer == JobAnswer::Cancelled {
                self.send_event(SchedulerEvent::JobCancelled(job)).await;
            }
            let _ = reply.send(answer);
        }
    }

    async fn flush_ends(&mut self) {
        let due = self.ends_since.is_some_and(|since| since.elapsed() >= END_BATCH_WINDOW);
        if !due {
            return;
        }
        let ends = std::mem::take(&mut self.ends);
        self.ends_since = None;
        match self.append_and_apply(JobRecordBody::Ended(ends.clone())).await {
            Ok(_) => {
                for end in ends {
                    self.send_event(SchedulerEvent::JobEnded(end.job)).await;
                }
            }
            // Workers keep the ends of their tasks until the ends of the jobs
            // are recorded, so the append can be retried later.
            Err(_) if !self.fenced => {
                self.ends.splice(0..0, ends);
                self.ends_since = Some(Instant::now());
            }
            Err(_) => {}
        }
    }

    /// Appends a record and applies the stream up to it. Returns the effect on
    /// each job that the record names.
    async fn append_and_apply(&mut self, body: JobRecordBody) -> Result<Vec<JobChange>, JobAnswer> {
        let offset = match self.append(body.clone()).await {
            Ok(offset) => offset,
            Err(LogError::Unavailable { .. }) => return Err(JobAnswer::LogUnavailable),
            Err(LogError::OutcomeUnknown { .. }) => return Err(JobAnswer::Unknown),
        };
        // Records of former owners, or of an earlier append of unknown
        // outcome, may precede the new record.
        let mut outcome = None;
        while self.jobs.next_offset() <= offset {
            let from = self.jobs.next_offset();
            let read = self.config.log.read(&self.stream, from, READ_RECORDS, 0).await;
            let Ok(batch) = read else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            for (at, bytes) in batch.records {
                let record = JobRecord::decode(&bytes).ok();
                let applied = match &record {
                    Some(record) => self.jobs.apply(at, record),
                    None => self.jobs.skip(at),
                };
                match (applied, record) {
                    (applied, _) if at == offset => outcome = Some(applied),
                    (JobLogOutcome::Applied(changes), Some(record)) => {
                        self.send_late_changes(changes, record.body).await;
                    }
                    (JobLogOutcome::Applied(_), None) | (JobLogOutcome::Void(_), _) => {}
                }
            }
        }
        match outcome {
            Some(JobLogOutcome::Applied(changes)) => Ok(changes),
            // An earlier try of the append wrote the record, but its reply was
            // lost.
            Some(JobLogOutcome::Void(JobVoidReason::Duplicate)) => Ok(self.known_changes(&body)),
            Some(JobLogOutcome::Void(JobVoidReason::OldEpoch { .. })) => {
                self.fenced = true;
                Err(JobAnswer::NotOwner)
            }
            Some(JobLogOutcome::Void(JobVoidReason::Undecodable)) | None => Err(JobAnswer::Unknown),
        }
    }

    /// Tells the scheduler about a record that took effect after its append was
    /// answered with an unknown outcome.
    async fn send_late_changes(&self, changes: Vec<JobChange>, body: JobRecordBody) {
        let jobs = match body {
            JobRecordBody::Accepted(jobs) => jobs,
            JobRecordBody::Cancelled(_) | JobRecordBody::Ended(_) | JobRecordBody::Snapshot(_) => {
                Vec::new()
            }
        };
        let accepted = changes.iter().zip(jobs);
        for (change, job) in accepted {
            if matches!(change, JobChange::Accepted(_)) {
                let origin = JobOrigin::New;
                self.send_event(SchedulerEvent::JobAccepted { job, origin }).await;
            }
        }
        for change in changes {
            if let JobChange::Ended(job, _) = change {
                self.send_event(SchedulerEvent::JobEnded(job)).await;
            }
        }
    }

    fn known_changes(&self, body: &JobRecordBody) -> Vec<JobChange> {
        match body {
            JobRecordBody::Accepted(jobs) => {
                let change = |job: &JobSpec| match self.jobs.known(job) {
                    Some(JobChange::Known(name)) => JobChange::Accepted(name),
                    Some(change) => change,
                    None => JobChange::NotOpen(job.job.clone()),
                };
                jobs.iter().map(change).collect()
            }
            JobRecordBody::Cancelled(jobs) => {
                let outcome = cowslipport_lib::job::JobOutcome::Cancelled;
                jobs.iter().map(|job| JobChange::Ended(job.clone(), outcome)).collect()
            }
            JobRecordBody::Ended(_) | JobRecordBody::Snapshot(_) => Vec::new(),
        }
    }

    async fn snapshot_if_due(&mut self) {
        let records = self.jobs.next_offset().0 - self.snapshot_at.0;
        if records < SNAPSHOT_INTERVAL_RECORDS || self.fenced {
            return;
        }
        let snapshot = JobRecordBody::Snapshot(self.jobs.snapshot());
        if self.append_and_apply(snapshot).await.is_ok() {
            self.snapshot_at = self.jobs.next_offset();
        }
    }
}

fn accepted_answer(change: &JobChange) -> JobAnswer {
    match change {
        JobChange::Accepted(_) => JobAnswer::Accepted,
        JobChange::Known(_) => JobAnswer::Known,
        JobChange::EndedBefore(..) => JobAnswer::EndedBefore,
        JobChange::Conflict(_) => JobAnswer::Conflict,
        JobChange::Ended(..) | JobChange::NotOpen(_) => JobAnswer::Unknown,
    }
}

fn cancelled_answer(change: &JobChange) -> JobAnswer {
    match change {
        JobChange::Ended(..) => JobAnswer::Cancelled,
        JobChange::NotOpen(_) | JobChange::EndedBefore(..) => JobAnswer::NotOpen,
        JobChange::Accepted(_) | JobChange::Known(_) | JobChange::Conflict(_) => JobAnswer::Unknown,
    }
}
