//! A partition that this process owns: its scheduler, its jobs stream and its
//! workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::Organisation;
use cowslipport_lib::fold::ControlChange;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobEnd;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::placement::JobStatus;
use cowslipport_lib::placement::Scheduler;
use cowslipport_lib::record::GrantChange;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_decision::SchedulerDecision;
use cowslipport_lib::scheduler_event::JobOrigin;
use cowslipport_lib::scheduler_event::OrganisationView;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::scheduler_event::WorkerSpec;
use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::job_stream;
use crate::job_stream::JobStreamConfig;
use crate::job_stream::JobStreamMessage;
use crate::peer_wire::WorkerEntry;
use crate::placement_log;
use crate::platform::LogService;
use crate::platform::TaskStart;
use crate::platform::WorkerConnector;
use crate::tasks::journal::JournalHandle;
use crate::tasks::placement::PlacementMessage;
use crate::tasks::worker;
use crate::tasks::worker::WORKER_LEASE_MS;
use crate::tasks::worker::WorkerMessage;
use crate::tasks::worker::WorkerTarget;
use crate::worker_spec::is_rebooting;
use crate::worker_spec::worker_fence;
use crate::worker_spec::worker_spec;

/// Assumed time since the former owner was last active. The real time is not
/// tracked, so this is the longest outage that the design allows for. If the
/// worker of a job that must not run twice restarted within this time, the job
/// ends with an unknown outcome.
const FORMER_OWNER_INACTIVE_MS: u64 = 3_600_000;

/// An open job and its status.
#[derive(Clone, Debug)]
pub(crate) struct JobView {
    /// The job.
    pub(crate) job: JobRef,
    /// Its partition.
    pub(crate) partition: PartitionId,
    /// Its status.
    pub(crate) status: JobStatus,
}

/// A partition that this process owns.
pub(crate) struct Partition {
    id: PartitionId,
    epoch: Epoch,
    session: SessionId,
    logger: Logger,
    scheduler: Scheduler,
    loaded: bool,
    stream: mpsc::Sender<JobStreamMessage>,
    workers: BTreeMap<VmId, mpsc::Sender<WorkerMessage>>,
    reachable: BTreeMap<VmId, ReachableWorker>,
    unreachable: BTreeSet<VmId>,
}

/// A worker that answers polls.
#[derive(Clone, Copy, Debug)]
struct ReachableWorker {
    incarnation: u64,
    since: TimeMs,
    live_tasks: u32,
}

impl Partition {
    /// Starts the task that reads the jobs stream. The scheduler handles no
    /// event before the stream is read.
    pub(crate) fn new<L>(
        id: PartitionId,
        epoch: Epoch,
        session: SessionId,
        log: L,
        placement: mpsc::WeakSender<PlacementMessage>,
        logger: Logger,
    ) -> Self
    where
        L: LogService,
    {
        let config = JobStreamConfig {
            log,
            session,
            partition: id,
            epoch,
            placement,
            logger: logger.clone(),
        };
        Self {
            id,
            epoch,
            session,
            logger,
            scheduler: Scheduler::new(),
            loaded: false,
            stream: job_stream::spawn(config),
            workers: BTreeMap::new(),
            reachable: BTreeMap::new(),
            unreachable: BTreeSet::new(),
        }
    }

    /// Fencing token of the ownership.
    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Passes the open jobs of the stream and the control state to the
    /// scheduler, which handles events from then on.
    pub(crate) fn load_jobs(&mut self, now: TimeMs, state: &ControlState, jobs: Vec<JobSpec>) {
        self.loaded = true;
        self.sync_all(now, state);
        for job in jobs {
            let origin = JobOrigin::Inherited;
            self.scheduler.handle(now, SchedulerEvent::JobAccepted { job, origin });
        }
        self.scheduler.handle(
            now,
            SchedulerEvent::OwnershipGained {
                epoch: self.epoch,
                since_former_owner_ms: FORMER_OWNER_INACTIVE_MS,
            },
        );
    }

    /// Passes an event to the scheduler.
    pub(crate) fn handle(&mut self, now: TimeMs, event: SchedulerEvent) {
        if !self.loaded {
            return;
        }
        if let SchedulerEvent::WorkerUnreachable { vm } = &event {
            self.reachable.remove(vm);
            self.unreachable.insert(*vm);
        }
        self.scheduler.handle(now, event);
    }

    /// Handles the answer of a worker to a poll.
    pub(crate) fn handle_poll_answer(
        &mut self,
        now: TimeMs,
        vm: VmId,
        incarnation: u64,
        report: WorkerReport,
    ) {
        let live = report.tasks.iter().filter(|task| task.state.is_live()).count();
        let live_tasks = u32::try_from(live).unwrap_or(u32::MAX);
        let since = match self.reachable.get(&vm) {
            Some(known) if known.incarnation == incarnation => known.since,
            Some(_) | None => now,
        };
        self.reachable.insert(vm, ReachableWorker { incarnation, since, live_tasks });
        self.unreachable.remove(&vm);
        self.handle(now, SchedulerEvent::WorkerReport { vm, report });
    }

    /// Health observations of VMs whose worker became unreachable or answers
    /// again.
    pub(crate) fn health_changes(&self, state: &ControlState) -> Vec<VmObservation> {
        let mut observations = Vec::new();
        for (vm, entry) in state.vms_of(self.id) {
            let health = match entry.health {
                Health::Up if self.unreachable.contains(&vm) && !is_rebooting(entry) => {
                    Health::Unknown
                }
                Health::Down | Health::Unknown if self.reachable.contains_key(&vm) => Health::Up,
                Health::Up | Health::Down | Health::Unknown | Health::Leaving => continue,
            };
            observations.push(VmObservation::Health { vm, health });
        }
        observations
    }

    /// Workers of VMs that have an operation.
    pub(crate) fn operated_workers(&self, now: TimeMs, state: &ControlState) -> Vec<WorkerEntry> {
        let operated = state.vms_of(self.id).filter(|(_, vm)| vm.operation.is_some());
        operated
            .map(|(vm, _)| {
                let reachable = self.reachable.get(&vm);
                WorkerEntry {
                    vm,
                    tasks: reachable.map(|worker| worker.live_tasks),
                    answering_ms: reachable.map_or(0, |worker| now.since(worker.since)),
                }
            })
            .collect()
    }

    /// Passes all organisations, grants and workers of the control state to
    /// the scheduler.
    pub(crate) fn sync_all(&mut self, now: TimeMs, state: &ControlState) {
        if !self.loaded {
            return;
        }
        for (id, organisation) in state.organisations.iter() {
            self.set_organisation(now, id, organisation);
            self.set_grant(now, state, id);
        }
        self.set_workers(now, state);
    }

    /// Passes the changed parts of the control state to the scheduler.
    pub(crate) fn sync_changes(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        changes: &[ControlChange],
    ) {
        if !self.loaded {
            return;
        }
        let mut workers_changed = false;
        for change in changes {
            match change {
                ControlChange::Organisation(id) => {
                    if let Some(organisation) = state.organisations.get(*id) {
                        self.set_organisation(now, *id, organisation);
                        self.set_grant(now, state, *id);
                    }
                }
                ControlChange::Grant(organisation, _) => self.set_grant(now, state, *organisation),
                ControlChange::DataCentre(_) | ControlChange::Pool(_) | ControlChange::Vm(_) => {
                    workers_changed = true;
                }
                ControlChange::Wave(_)
                | ControlChange::Policy
                | ControlChange::Session(_)
                | ControlChange::Partition(_) => {}
            }
        }
        if workers_changed {
            self.set_workers(now, state);
        }
    }

    fn set_organisation(&mut self, now: TimeMs, id: OrganisationId, organisation: &Organisation) {
        let view = OrganisationView {
            share_milli: organisation.spec.share_milli,
            limit: if organisation.removed { Resources::ZERO } else { organisation.spec.limit },
            keys: organisation.spec.keys.iter().map(|key| key.name.clone()).collect(),
        };
        self.scheduler.handle(now, SchedulerEvent::OrganisationChanged { organisation: id, view });
    }

    fn set_grant(&mut self, now: TimeMs, state: &ControlState, organisation: OrganisationId) {
        let (amount, total) = (state.grant(organisation, self.id), state.granted(organisation));
        self.scheduler.handle(now, SchedulerEvent::GrantChanged { organisation, amount, total });
    }

    fn set_workers(&mut self, now: TimeMs, state: &ControlState) {
        let present: BTreeMap<VmId, WorkerSpec> = state
            .vms_of(self.id)
            .filter_map(|(id, vm)| Some((id, worker_spec(state, vm)?)))
            .collect();
        let left: Vec<VmId> =
            self.workers.keys().filter(|vm| !present.contains_key(vm)).copied().collect();
        for vm in left {
            self.workers.remove(&vm);
            self.reachable.remove(&vm);
            self.unreachable.remove(&vm);
            self.scheduler.handle(now, SchedulerEvent::WorkerLeft { vm });
        }
        for (vm, spec) in present {
            self.scheduler.handle(now, SchedulerEvent::WorkerUpdated { vm, spec });
        }
    }

    /// Starts a worker task for each worker that has none yet.
    pub(crate) fn connect_workers<C>(
        &mut self,
        state: &ControlState,
        connector: &C,
        clock: Clock,
        placement: &mpsc::WeakSender<PlacementMessage>,
    ) where
        C: WorkerConnector,
    {
        if !self.loaded {
            return;
        }
        for (vm, entry) in state.vms_of(self.id) {
            if self.workers.contains_key(&vm) {
                continue;
            }
            let Some(client) = connector.connect(&entry.joined.worker_address) else { continue };
            let fence = worker_fence(self.epoch, entry);
            let target = WorkerTarget { partition: self.id, epoch: self.epoch, fence, vm };
            let sender = worker::spawn(client, target, clock, placement.clone());
            self.workers.insert(vm, sender);
        }
    }

    /// Allows polls to renew the leases of tasks until `until`.
    pub(crate) fn allow_renewals_until(&self, until: TimeMs) {
        for worker in self.workers.values() {
            // A dropped message does no harm: the next one arrives before the
            // current limit has passed.
            let _ = worker.try_send(WorkerMessage::RenewUntil(until));
        }
    }

    /// Passes a message to the task of the jobs stream. Returns the message if
    /// the mailbox of the task is full or closed.
    pub(crate) fn forward(&self, message: JobStreamMessage) -> Result<(), JobStreamMessage> {
        self.stream.try_send(message).map_err(mpsc::error::TrySendError::into_inner)
    }

    /// Open jobs and their status.
    pub(crate) fn jobs(&self, now: TimeMs) -> Vec<JobView> {
        let view = |(job, status): (&JobRef, JobStatus)| JobView {
            job: job.clone(),
            partition: self.id,
            status,
        };
        self.scheduler.jobs(now).map(view).collect()
    }

    /// Executes the decisions of the scheduler. Returns the grant changes to
    /// append.
    pub(crate) fn decide(
        &mut self,
        now: TimeMs,
        state: &ControlState,
        journal: &JournalHandle,
    ) -> Vec<GrantChange> {
        if !self.loaded {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for decision in self.scheduler.decide(now) {
            placement_log::log_decision(&self.logger, state, &decision, journal);
            self.execute(now, decision, &mut grants);
        }
        for vm in self.scheduler.workers_to_poll_often() {
            // A full mailbox means that the worker task still has calls to
            // send, so this message may be dropped.
            if let Some(worker) = self.workers.get(&vm) {
                let _ = worker.try_send(WorkerMessage::PollSoon);
            }
        }
        grants
    }

    fn execute(&mut self, now: TimeMs, decision: SchedulerDecision, grants: &mut Vec<GrantChange>) {
        match decision {
            SchedulerDecision::Start { task, vm, epoch, ticket, request, payload, .. } => {
                let lease_ms = WORKER_LEASE_MS;
                let start = TaskStart { epoch, ticket, task, request, payload, lease_ms };
                self.start_task(now, vm, start);
            }
            SchedulerDecision::Control { task, vm, action, .. } => {
                self.send_to_worker(vm, WorkerMessage::Control { task, action });
            }
            SchedulerDecision::Acknowledge { task, vm } => {
                self.send_to_worker(vm, WorkerMessage::Acknowledge(task));
            }
            SchedulerDecision::TakeGrant { organisation, amount, .. } => {
                grants.push(self.grant_change(organisation, GrantDirection::Take, amount));
            }
            SchedulerDecision::ReturnGrant { organisation, amount, .. } => {
                grants.push(self.grant_change(organisation, GrantDirection::Return, amount));
            }
            SchedulerDecision::EndJob { job, outcome, .. } => {
                let end = JobStreamMessage::End(JobEnd { job, outcome });
                if self.forward(end).is_err() {
                    warn!(
                        self.logger,
                        "job end not queued; deferred until the worker reports it again"
                    );
                }
            }
            SchedulerDecision::Quarantine { .. }
            | SchedulerDecision::Release { .. }
            | SchedulerDecision::Refused(_) => {}
        }
    }

    fn start_task(&mut self, now: TimeMs, vm: VmId, start: TaskStart) {
        let task = start.task.clone();
        let sent = self
            .workers
            .get(&vm)
            .is_some_and(|worker| worker.try_send(WorkerMessage::Start(start)).is_ok());
        if !sent {
            // The start was not sent, so it certainly did not take effect.
            let answer = cowslipport_lib::scheduler_event::StartAnswer::OldTicket;
            let event = SchedulerEvent::StartAnswered { vm, task, answer, ticket: None };
            self.scheduler.handle(now, event);
        }
    }

    fn send_to_worker(&self, vm: VmId, message: WorkerMessage) {
        let sent = self.workers.get(&vm).is_some_and(|worker| worker.try_send(message).is_ok());
        if !sent {
            warn!(self.logger, "worker task busy; retrying the action"; "vm" => vm.0);
        }
    }

    fn grant_change(
        &self,
        organisation: OrganisationId,
        direction: GrantDirection,
        amount: Resources,
    ) -> GrantChange {
        GrantChange { organisation, partition: self.id, owner: self.session, direction, amount }
    }
}
