//! The task that talks to one worker on behalf of its partition's owner.

use std::time::Duration;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::TaskAction;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::TASK_LEASE_MS;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::time::TimeMs;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::platform::TaskStart;
use crate::platform::Worker;
use crate::tasks::placement::PlacementMessage;

/// Time between polls when nothing is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time between polls while a start or an action is pending.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Polls in a row without an answer after which a worker is silent.
const SILENT_AFTER_POLLS: u32 = 3;

/// Lease that a start or a poll gives. A successor counts
/// [`TASK_LEASE_MS`] from when it gained the partition; the former owner may
/// still renew for 2.0 s on its last confirmation, and the call may take 1.0 s.
pub(crate) const WORKER_LEASE_MS: u32 = TASK_LEASE_MS as u32 - 5_000;

const MAILBOX_MESSAGES: usize = 256;

/// Messages to the task of a worker.
pub(crate) enum WorkerMessage {
    /// Starts a task.
    Start(TaskStart),
    /// Acts on a task.
    Control { task: TaskId, action: TaskAction },
    /// Lets the worker forget a task at the next poll.
    Acknowledge(TaskId),
    /// Polls soon.
    Hurry,
    /// Polls renew the leases of tasks until this time.
    RenewUntil(TimeMs),
}

/// The worker that a task talks to, and for whom.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerRole {
    /// Partition of the owner.
    pub(crate) partition: PartitionId,
    /// Epoch of the ownership.
    pub(crate) epoch: Epoch,
    /// Fencing token for the worker.
    pub(crate) fence: Epoch,
    /// VM of the worker.
    pub(crate) vm: VmId,
}

struct WorkerTask<W> {
    worker: W,
    role: WorkerRole,
    clock: Clock,
    placement: mpsc::WeakSender<PlacementMessage>,
    acknowledged: Vec<TaskId>,
    missed: u32,
    renew_until: TimeMs,
    next_poll: Instant,
}

/// Starts the task. It ends when its mailbox is closed.
pub(crate) fn spawn<W>(
    worker: W,
    role: WorkerRole,
    clock: Clock,
    placement: mpsc::WeakSender<PlacementMessage>,
) -> mpsc::Sender<WorkerMessage>
where
    W: Worker,
{
    let (sender, receiver) = mpsc::channel(MAILBOX_MESSAGES);
    let task = WorkerTask {
        worker,
        role,
        clock,
        placement,
        acknowledged: Vec::new(),
        missed: 0,
        renew_until: TimeMs(0),
        next_poll: Instant::now(),
    };
    actix_rt::spawn(task.run(receiver));
    sender
}

impl<W> WorkerTask<W>
where
    W: Worker,
{
    async fn run(mut self, mut receiver: mpsc::Receiver<WorkerMessage>) {
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                () = tokio::time::sleep_until(self.next_poll) => self.poll().await,
            }
        }
    }

    async fn handle(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Start(start) => self.start(start).await,
            WorkerMessage::Control { task, action } => {
                // The next report shows whether it took effect; the owner
                // repeats it if not.
                let _ = self.worker.control(self.role.fence, &task, action).await;
                self.hurry();
            }
            WorkerMessage::Acknowledge(task) => self.acknowledged.push(task),
            WorkerMessage::Hurry => self.hurry(),
            WorkerMessage::RenewUntil(until) => self.renew_until = until,
        }
    }

    fn hurry(&mut self) {
        self.next_poll = self.next_poll.min(Instant::now() + URGENT_POLL_INTERVAL);
    }

    async fn start(&mut self, mut start: TaskStart) {
        start.epoch = self.role.fence;
        let (answer, ticket) = self.worker.start(&start).await;
        let vm = self.role.vm;
        let event = SchedulerEvent::StartAnswered { vm, task: start.task, answer, ticket };
        self.tell(event).await;
        self.hurry();
    }

    async fn poll(&mut self) {
        let polled_at = self.clock.now();
        // A silent worker gets no renewal, so that its tasks end by their
        // leases if it receives polls and its answers are lost.
        let renews = self.missed < SILENT_AFTER_POLLS && polled_at < self.renew_until;
        let renew_ms = if renews { WORKER_LEASE_MS } else { 0 };
        let answer = self.worker.poll(self.role.fence, renew_ms, &self.acknowledged).await;
        self.next_poll = Instant::now() + POLL_INTERVAL;
        match answer {
            Ok(answer) => {
                self.missed = 0;
                self.acknowledged.clear();
                let report = WorkerReport {
                    polled_at,
                    ticket: answer.ticket,
                    up_ms: answer.up_ms,
                    tasks: answer.tasks,
                };
                let WorkerRole { partition, epoch, vm, .. } = self.role;
                let incarnation = answer.incarnation;
                let message =
                    PlacementMessage::Polled { partition, epoch, vm, incarnation, report };
                self.send(message).await;
            }
            Err(_) => {
                self.missed += 1;
                self.next_poll = Instant::now() + URGENT_POLL_INTERVAL;
                if self.missed == SILENT_AFTER_POLLS {
                    self.tell(SchedulerEvent::WorkerUnreachable { vm: self.role.vm }).await;
                }
                if self.missed >= SILENT_AFTER_POLLS {
                    self.next_poll = Instant::now() + POLL_INTERVAL;
                }
            }
        }
    }

    async fn tell(&self, event: SchedulerEvent) {
        let WorkerRole { partition, epoch, .. } = self.role;
        self.send(PlacementMessage::Scheduler { partition, epoch, event }).await;
    }

    async fn send(&self, message: PlacementMessage) {
        let Some(placement) = self.placement.upgrade() else { return };
        // A closed mailbox means that the process is stopping.
        let _ = placement.send(message).await;
    }
}
