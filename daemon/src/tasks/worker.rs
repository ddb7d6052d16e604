//! The task that sends calls to one worker on behalf of the owner of its
//! partition.

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

/// Number of consecutive polls without an answer after which a worker counts
/// as unreachable.
const UNREACHABLE_AFTER_POLLS: u32 = 3;

/// Lease that a start grants and a poll renews. It is shorter than
/// [`TASK_LEASE_MS`], which a successor counts from when it gained the
/// partition: the former owner may still renew leases for 2.0 s after its last
/// confirmation, and the call may take 1.0 s.
pub(crate) const WORKER_LEASE_MS: u32 = TASK_LEASE_MS as u32 - 5_000;

const MAILBOX_CAPACITY: usize = 256;

/// Messages to the task of a worker.
pub(crate) enum WorkerMessage {
    /// Starts a task.
    Start(TaskStart),
    /// Acts on a task.
    Control { task: TaskId, action: TaskAction },
    /// Allows the worker to forget an ended task; sent with the next poll.
    Acknowledge(TaskId),
    /// Polls after the short interval.
    PollSoon,
    /// Allows polls to renew the leases of tasks until this time.
    RenewUntil(TimeMs),
}

/// The worker that a task calls and the ownership under which it does so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerTarget {
    /// Partition of the worker.
    pub(crate) partition: PartitionId,
    /// Epoch of the ownership.
    pub(crate) epoch: Epoch,
    /// Fencing token that calls to the worker carry.
    pub(crate) fence: Epoch,
    /// VM of the worker.
    pub(crate) vm: VmId,
}

struct WorkerTask<W> {
    worker: W,
    target: WorkerTarget,
    clock: Clock,
    placement: mpsc::WeakSender<PlacementMessage>,
    acknowledged: Vec<TaskId>,
    missed_polls: u32,
    renew_until: TimeMs,
    next_poll: Instant,
}

/// Starts the task. It ends when its mailbox is closed.
pub(crate) fn spawn<W>(
    worker: W,
    target: WorkerTarget,
    clock: Clock,
    placement: mpsc::WeakSender<PlacementMessage>,
) -> mpsc::Sender<WorkerMessage>
where
    W: Worker,
{
    let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
    let task = WorkerTask {
        worker,
        target,
        clock,
        placement,
        acknowledged: Vec::new(),
        missed_polls: 0,
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
                // The next report shows whether the action took effect; if
                // not, the owner repeats it.
                let _ = self.worker.control(self.target.fence, &task, action).await;
                self.poll_soon();
            }
            WorkerMessage::Acknowledge(task) => self.acknowledged.push(task),
            WorkerMessage::PollSoon => self.poll_soon(),
            WorkerMessage::RenewUntil(until) => self.renew_until = until,
        }
    }

    fn poll_soon(&mut self) {
        self.next_poll = self.next_poll.min(Instant::now() + URGENT_POLL_INTERVAL);
    }

    async fn start(&mut self, mut start: TaskStart) {
        start.epoch = self.target.fence;
        let (answer, ticket) = self.worker.start(&start).await;
        let vm = self.target.vm;
        let event = SchedulerEvent::StartAnswered { vm, task: start.task, answer, ticket };
        self.send_event(event).await;
        self.poll_soon();
    }

    async fn poll(&mut self) {
        let polled_at = self.clock.now();
        // Polls to an unreachable worker renew no lease, so that its tasks
        // expire even if it receives the polls and only its answers are lost.
        let renews = self.missed_polls < UNREACHABLE_AFTER_POLLS && polled_at < self.renew_until;
        let renew_ms = if renews { WORKER_LEASE_MS } else { 0 };
        let answer = self.worker.poll(self.target.fence, renew_ms, &self.acknowledged).await;
        self.next_poll = Instant::now() + POLL_INTERVAL;
        match answer {
            Ok(answer) => {
                self.missed_polls = 0;
                self.acknowledged.clear();
                let report = WorkerReport {
                    polled_at,
                    ticket: answer.ticket,
                    up_ms: answer.up_ms,
                    tasks: answer.tasks,
                };
                let WorkerTarget { partition, epoch, vm, .. } = self.target;
                let incarnation = answer.incarnation;
                let message =
                    PlacementMessage::Polled { partition, epoch, vm, incarnation, report };
                self.send(message).await;
            }
            Err(_) => {
                self.missed_polls += 1;
                self.next_poll = Instant::now() + URGENT_POLL_INTERVAL;
                if self.missed_polls == UNREACHABLE_AFTER_POLLS {
                    self.send_event(SchedulerEvent::WorkerUnreachable { vm: self.target.vm }).await;
                }
                if self.missed_polls >= UNREACHABLE_AFTER_POLLS {
                    self.next_poll = Instant::now() + POLL_INTERVAL;
                }
            }
        }
    }

    async fn send_event(&self, event: SchedulerEvent) {
        let WorkerTarget { partition, epoch, .. } = self.target;
        self.send(PlacementMessage::Scheduler { partition, epoch, event }).await;
    }

    async fn send(&self, message: PlacementMessage) {
        let Some(placement) = self.placement.upgrade() else { return };
        // A closed mailbox means that the process is shutting down.
        let _ = placement.send(message).await;
    }
}
