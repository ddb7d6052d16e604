//! The task that places jobs in the partitions that this process owns.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::replica::ReplicaChange;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::session::StartAuthority;
use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::authority::Authority;
use crate::clock::Clock;
use crate::job_stream::JobAnswer;
use crate::job_stream::JobStreamMessage;
use crate::partition::JobView;
use crate::partition::Partition;
use crate::peer_wire::WorkerEntry;
use crate::platform::LogService;
use crate::platform::WorkerConnector;
use crate::tasks::control::AppendOutcome;
use crate::tasks::control::ControlHandle;
use crate::tasks::journal::JournalHandle;
use crate::tasks::peer::PeerMessage;

const DECIDE_INTERVAL: Duration = Duration::from_millis(100);
const WORKER_REPORT_INTERVAL_MS: u64 = 250;
const MAILBOX_CAPACITY: usize = 4096;

/// Messages of the placement task.
pub(crate) enum PlacementMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// The partitions in which this process may start work.
    Authority(Authority),
    /// The jobs stream of a partition has been read.
    JobsLoaded { partition: PartitionId, epoch: Epoch, jobs: Vec<JobSpec> },
    /// A worker answered a poll.
    Polled {
        partition: PartitionId,
        epoch: Epoch,
        vm: VmId,
        incarnation: u64,
        report: WorkerReport,
    },
    /// An event for the scheduler of a partition.
    Scheduler { partition: PartitionId, epoch: Epoch, event: SchedulerEvent },
    /// An append of grant changes ended.
    GrantsResolved {
        partition: PartitionId,
        epoch: Epoch,
        changes: Vec<(OrganisationId, GrantDirection)>,
        outcome: AppendOutcome,
    },
    /// Submits a job to a partition of this process.
    Submit { partition: PartitionId, job: JobSpec, reply: oneshot::Sender<JobAnswer> },
    /// Cancels a job in a partition of this process.
    Cancel { partition: PartitionId, job: JobRef, reply: oneshot::Sender<JobAnswer> },
    /// Asks for the open jobs of one organisation, or of all organisations.
    List { organisation: Option<OrganisationId>, reply: oneshot::Sender<Vec<JobView>> },
    /// An append of health observations ended.
    HealthRecorded,
}

/// What the placement task needs to start.
pub(crate) struct PlacementConfig<L, C> {
    /// The log.
    pub(crate) log: L,
    /// Connects to workers.
    pub(crate) workers: C,
    /// The session of this process.
    pub(crate) session: SessionId,
    /// The clock.
    pub(crate) clock: Clock,
    /// Handle of the control task.
    pub(crate) control: ControlHandle,
    /// Handle of the journal task.
    pub(crate) journal: JournalHandle,
    /// Mailbox of the peer task.
    pub(crate) peer: mpsc::Sender<PeerMessage>,
    /// The logger.
    pub(crate) logger: Logger,
}

/// Creates the mailbox of the placement task.
pub(crate) fn mailbox() -> (mpsc::Sender<PlacementMessage>, mpsc::Receiver<PlacementMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task that owns the partitions of this process.
pub(crate) struct PlacementTask<L, C> {
    config: PlacementConfig<L, C>,
    sender: mpsc::WeakSender<PlacementMessage>,
    state: ControlState,
    authority: Authority,
    recording_health: bool,
    workers_reported_at: TimeMs,
    partitions: BTreeMap<PartitionId, Partition>,
}

impl<L, C> PlacementTask<L, C>
where
    L: LogService,
    C: WorkerConnector,
{
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
        config: PlacementConfig<L, C>,
        (sender, receiver): (mpsc::Sender<PlacementMessage>, mpsc::Receiver<PlacementMessage>),
    ) {
        let task = Self {
            config,
            sender: sender.downgrade(),
            state: ControlState::default(),
            authority: Authority::default(),
            recording_health: false,
            workers_reported_at: TimeMs(0),
            partitions: BTreeMap::new(),
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<PlacementMessage>) {
        let mut ticks = tokio::time::interval(DECIDE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => {}
            }
            // All waiting messages are handled before the scheduler decides.
            while let Ok(message) = receiver.try_recv() {
                self.handle(message);
            }
            self.decide();
            self.record_health();
            self.report_workers();
        }
    }

    /// Records health changes of workers that became unreachable or answer
    /// again. If the append fails, the next round repeats them.
    fn record_health(&mut self) {
        let now = self.config.clock.now();
        if self.recording_health {
            return;
        }
        let state = &self.state;
        let allowed = |id: &PartitionId| match self.authority.at(now, *id) {
            StartAuthority::Granted => true,
            StartAuthority::NotOwner
            | StartAuthority::StaleView
            | StartAuthority::LeaseExpired
            | StartAuthority::TakeoverWait => false,
        };
        let owned = self.partitions.iter().filter(|(id, _)| allowed(id));
        let observations: Vec<VmObservation> =
            owned.flat_map(|(_, partition)| partition.health_changes(state)).collect();
        if observations.is_empty() {
            return;
        }
        info!(self.config.logger, "VM health changed"; "vms" => observations.len());
        self.recording_health = true;
        let (control, sender) = (self.config.control.clone(), self.sender.clone());
        actix_rt::spawn(async move {
            control.append(RecordBody::VmBatch(observations)).await;
            if let Some(sender) = sender.upgrade() {
                let _ = sender.send(PlacementMessage::HealthRecorded).await;
            }
        });
    }

    /// Allows polls to renew the leases of tasks in partitions that this
    /// process may still own. After that, a successor assumes that the leases
    /// expire.
    fn allow_renewals(&self, now: TimeMs) {
        for (id, partition) in &self.partitions {
            match self.authority.at(now, *id) {
                StartAuthority::Granted | StartAuthority::TakeoverWait => {
                    partition.allow_renewals_until(self.authority.valid_until);
                }
                StartAuthority::NotOwner
                | StartAuthority::StaleView
                | StartAuthority::LeaseExpired => {}
            }
        }
    }

    /// Reports workers whose VMs have an operation to the peer task, which
    /// passes the report on to the process that plans maintenance.
    fn report_workers(&mut self) {
        let now = self.config.clock.now();
        if now.since(self.workers_reported_at) < WORKER_REPORT_INTERVAL_MS {
            return;
        }
        self.workers_reported_at = now;
        self.allow_renewals(now);
        let state = &self.state;
        let workers: Vec<WorkerEntry> = self
            .partitions
            .values()
            .flat_map(|partition| partition.operated_workers(now, state))
            .collect();
        // A dropped message does no harm: the next one carries newer data.
        let _ = self.config.peer.try_send(PeerMessage::Workers(workers));
    }

    fn handle(&mut self, message: PlacementMessage) {
        match message {
            PlacementMessage::Control(feed) => self.apply_feed(&feed),
            PlacementMessage::Authority(authority) => self.authority = authority,
            PlacementMessage::JobsLoaded { partition, epoch, jobs } => {
                self.load_jobs(partition, epoch, jobs);
            }
            PlacementMessage::Scheduler { partition, epoch, event } => {
                let now = self.config.clock.now();
                if let Some(partition) = self.partition(partition, epoch) {
                    partition.handle(now, event);
                }
            }
            PlacementMessage::GrantsResolved { partition, epoch, changes, outcome } => {
                self.resolve_grants(partition, epoch, changes, &outcome);
            }
            PlacementMessage::Submit { partition, job, reply } => {
                self.forward(partition, JobStreamMessage::Submit { job, reply });
            }
            PlacementMessage::Cancel { partition, job, reply } => {
                self.forward(partition, JobStreamMessage::Cancel { job, reply });
            }
            PlacementMessage::List { organisation, reply } => {
                let _ = reply.send(self.jobs(organisation));
            }
            PlacementMessage::Polled { partition, epoch, vm, incarnation, report } => {
                let now = self.config.clock.now();
                if let Some(partition) = self.partition(partition, epoch) {
                    partition.handle_poll_answer(now, vm, incarnation, report);
                }
            }
            PlacementMessage::HealthRecorded => self.recording_health = false,
        }
    }

    fn partition(&mut self, id: PartitionId, epoch: Epoch) -> Option<&mut Partition> {
        self.partitions.get_mut(&id).filter(|partition| partition.epoch() == epoch)
    }

    fn apply_feed(&mut self, feed: &ControlFeed) {
        let change = self.state.apply_feed(feed);
        self.update_ownership();
        let now = self.config.clock.now();
        for partition in self.partitions.values_mut() {
            match &change {
                ReplicaChange::All => partition.sync_all(now, &self.state),
                ReplicaChange::Some(changes) => partition.sync_changes(now, &self.state, changes),
            }
        }
        self.connect_workers();
    }

    fn update_ownership(&mut self) {
        let me = Some(self.config.session);
        let owned: BTreeMap<PartitionId, Epoch> = self
            .state
            .owners
            .iter()
            .filter(|(_, ownership)| ownership.owner == me)
            .map(|(id, ownership)| (*id, ownership.epoch))
            .collect();
        let logger = &self.config.logger;
        self.partitions.retain(|id, partition| {
            let kept = owned.get(id) == Some(&partition.epoch());
            if !kept {
                info!(logger, "partition ownership lost"; "partition" => id.to_string());
            }
            kept
        });
        for (id, epoch) in owned {
            if self.partitions.contains_key(&id) {
                continue;
            }
            info!(self.config.logger, "partition ownership gained"; "partition" => id.to_string(),
                "epoch" => epoch.0);
            let log = self.config.log.clone();
            let session = self.config.session;
            let logger = self.config.logger.clone();
            let partition = Partition::new(id, epoch, session, log, self.sender.clone(), logger);
            self.partitions.insert(id, partition);
        }
    }

    fn connect_workers(&mut self) {
        let clock = self.config.clock;
        for partition in self.partitions.values_mut() {
            partition.connect_workers(&self.state, &self.config.workers, clock, &self.sender);
        }
    }

    fn load_jobs(&mut self, id: PartitionId, epoch: Epoch, jobs: Vec<JobSpec>) {
        let now = self.config.clock.now();
        if let Some(partition) = self.partitions.get_mut(&id).filter(|entry| entry.epoch() == epoch)
        {
            partition.load_jobs(now, &self.state, jobs);
        }
        self.connect_workers();
    }

    fn resolve_grants(
        &mut self,
        id: PartitionId,
        epoch: Epoch,
        changes: Vec<(OrganisationId, GrantDirection)>,
        outcome: &AppendOutcome,
    ) {
        match outcome {
            AppendOutcome::Applied(_) => {}
            AppendOutcome::Void(_) | AppendOutcome::Unavailable(_) | AppendOutcome::Unknown(_) => {
                info!(self.config.logger, "grant change not applied"; "partition" => id.to_string(),
                    "reason" => format!("{outcome:?}"));
            }
        }
        let now = self.config.clock.now();
        if let Some(partition) = self.partition(id, epoch) {
            for (organisation, direction) in changes {
                partition
                    .handle(now, SchedulerEvent::GrantChangeResolved { organisation, direction });
            }
        }
    }

    fn forward(&mut self, id: PartitionId, message: JobStreamMessage) {
        let reply = match self.partitions.get(&id) {
            Some(partition) => match partition.forward(message) {
                Ok(()) => return,
                Err(message) => message,
            },
            None => message,
        };
        let (JobStreamMessage::Submit { reply, .. } | JobStreamMessage::Cancel { reply, .. }) =
            reply
        else {
            return;
        };
        let _ = reply.send(JobAnswer::NotOwner);
    }

    fn jobs(&self, organisation: Option<OrganisationId>) -> Vec<JobView> {
        let now = self.config.clock.now();
        let views = self.partitions.values().flat_map(|partition| partition.jobs(now));
        views
            .filter(|view| {
                organisation.is_none_or(|organisation| view.job.organisation == organisation)
            })
            .collect()
    }

    fn decide(&mut self) {
        let now = self.config.clock.now();
        for (id, partition) in &mut self.partitions {
            let allowed = self.authority.at(now, *id) == StartAuthority::Granted;
            partition.handle(now, SchedulerEvent::StartsAllowed(allowed));
            let changes = partition.decide(now, &self.state, &self.config.journal);
            if changes.is_empty() {
                continue;
            }
            let (id, epoch, sender) = (*id, partition.epoch(), self.sender.clone());
            let resolved =
                changes.iter().map(|change| (change.organisation, change.direction)).collect();
            let control = self.config.control.clone();
            actix_rt::spawn(async move {
                let outcome = control.append(RecordBody::GrantBatch(changes)).await;
                let message = PlacementMessage::GrantsResolved {
                    partition: id,
                    epoch,
                    changes: resolved,
                    outcome,
                };
                if let Some(sender) = sender.upgrade() {
                    let _ = sender.send(message).await;
                }
            });
        }
    }
}
