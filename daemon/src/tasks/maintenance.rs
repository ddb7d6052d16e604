//! The task that plans maintenance waves and moves of VMs between pools while
//! this process is the planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipport_lib::buffer::Demand;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::OperationPhase;
use cowslipport_lib::drain::DrainReport;
use cowslipport_lib::drain::SessionReport;
use cowslipport_lib::drain::WorkerTasks;
use cowslipport_lib::freshness::CONFIRMATION_MAX_AGE_MS;
use cowslipport_lib::ids::OperationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::ids::WaveId;
use cowslipport_lib::move_decision::MoveDecision;
use cowslipport_lib::moves::MovePlanner;
use cowslipport_lib::moves::MoveView;
use cowslipport_lib::operation::VmReport;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::wave;
use cowslipport_lib::wave::WavePlanner;
use cowslipport_lib::wave::WaveView;
use cowslipport_lib::wave_decision::WaveDecision;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::maintenance_log;
use crate::maintenance_log::LastWaitReasons;
use crate::peer_report::MemberLoad;
use crate::platform::VmList;
use crate::tasks::control::AppendOutcome;
use crate::tasks::control::ControlHandle;
use crate::tasks::journal::JournalHandle;

const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between demand samples. The buffer calculation expects one sample a
/// second.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const MAILBOX_CAPACITY: usize = 256;

/// Messages of the maintenance task.
pub(crate) enum MaintenanceMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// What the members reported of their requests and workers.
    Members { is_planner: bool, members: BTreeMap<SessionId, MemberLoad> },
}

/// What the maintenance task needs to start.
pub(crate) struct MaintenanceConfig<V> {
    /// The VM list, which reboots VMs.
    pub(crate) list: V,
    /// The clock.
    pub(crate) clock: Clock,
    /// Handle of the control task.
    pub(crate) control: ControlHandle,
    /// Handle of the journal task.
    pub(crate) journal: JournalHandle,
    /// The logger.
    pub(crate) logger: Logger,
}

/// Creates the mailbox of the maintenance task.
pub(crate) fn mailbox() -> (mpsc::Sender<MaintenanceMessage>, mpsc::Receiver<MaintenanceMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task that owns the plans of waves and moves.
pub(crate) struct MaintenanceTask<V> {
    config: MaintenanceConfig<V>,
    state: ControlState,
    is_planner: bool,
    members: BTreeMap<SessionId, MemberLoad>,
    rebooting_since: BTreeMap<VmId, (OperationId, TimeMs)>,
    waves: BTreeMap<WaveId, WavePlanner>,
    moves: MovePlanner,
    demand: Demand,
    wait_reasons: LastWaitReasons,
}

impl<V> MaintenanceTask<V>
where
    V: VmList,
{
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
        config: MaintenanceConfig<V>,
        receiver: mpsc::Receiver<MaintenanceMessage>,
    ) {
        let task = Self {
            config,
            state: ControlState::default(),
            is_planner: false,
            members: BTreeMap::new(),
            rebooting_since: BTreeMap::new(),
            waves: BTreeMap::new(),
            moves: MovePlanner::default(),
            demand: Demand::default(),
            wait_reasons: LastWaitReasons::default(),
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<MaintenanceMessage>) {
        let mut ticks = tokio::time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut samples = tokio::time::interval(SAMPLE_INTERVAL);
        samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.plan(),
                _ = samples.tick() => self.sample_demand(),
            }
        }
    }

    fn handle(&mut self, message: MaintenanceMessage) {
        match message {
            MaintenanceMessage::Control(feed) => {
                self.state.apply_feed(&feed);
                self.track_reboots();
            }
            MaintenanceMessage::Members { is_planner, members } => {
                if is_planner && !self.is_planner {
                    // Another process may have planned since this one last
                    // did, so the old plans are dropped.
                    self.waves.clear();
                    self.moves = MovePlanner::default();
                }
                self.is_planner = is_planner;
                self.members = members;
            }
        }
    }

    /// Samples the number of slots that the requests of all members occupy or
    /// wait for. Every member does so, so that a new planner knows the past
    /// demand.
    fn sample_demand(&mut self) {
        let mut slots: BTreeMap<PoolId, u32> = BTreeMap::new();
        for load in self.members.values() {
            for (vm, requests) in &load.in_flight {
                if let Some(vm) = self.state.vms.get(*vm) {
                    *slots.entry(vm.pool).or_insert(0) += requests;
                }
            }
            for (pool, requests) in &load.waiting {
                *slots.entry(*pool).or_insert(0) += requests;
            }
        }
        let pools = &self.state.pools;
        self.demand.pools.retain(|pool, _| pools.get(*pool).is_some());
        for (id, pool) in pools.iter().filter(|(_, pool)| !pool.spec.spare) {
            let offered = slots.get(&id).copied().unwrap_or(0);
            let tracker = self.demand.pools.entry(id).or_default();
            tracker.record(offered, pool.spec.slots_per_vm);
        }
    }

    fn track_reboots(&mut self) {
        let now = self.config.clock.now();
        let rebooting: BTreeMap<VmId, OperationId> = self
            .state
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id, vm.operation?)))
            .filter(|(_, operation)| operation.phase == OperationPhase::Rebooting)
            .map(|(id, operation)| (id, operation.id))
            .collect();
        self.rebooting_since.retain(|vm, (id, _)| rebooting.get(vm) == Some(id));
        for (vm, id) in rebooting {
            self.rebooting_since.entry(vm).or_insert((id, now));
        }
    }

    fn plan(&mut self) {
        if !self.is_planner {
            return;
        }
        let now = self.config.clock.now();
        let reports = self.reports(now);
        let planned = wave::planned_waves(&self.state);
        self.waves.retain(|wave, _| planned.contains(wave));
        let donor_pools = self.moves.donor_pools(&self.state);
        for wave in planned {
            self.plan_wave(now, wave, &reports, &donor_pools);
        }
        self.plan_moves(now, &reports);
    }

    fn plan_wave(
        &mut self,
        now: TimeMs,
        wave: WaveId,
        reports: &BTreeMap<VmId, VmReport>,
        donor_pools: &BTreeSet<PoolId>,
    ) {
        let planner = self.waves.entry(wave).or_insert_with(|| WavePlanner::new(wave));
        let view = WaveView { state: &self.state, now, reports, donor_pools };
        for decision in planner.plan(view) {
            let MaintenanceConfig { logger, journal, .. } = &self.config;
            maintenance_log::log_wave_decision(
                logger,
                journal,
                &self.state,
                wave,
                &decision,
                &mut self.wait_reasons,
            );
            if let WaveDecision::RequestReboot { vm, operation } = decision {
                self.reboot(vm, operation);
            }
            self.append(decision.record());
        }
    }

    fn plan_moves(&mut self, now: TimeMs, reports: &BTreeMap<VmId, VmReport>) {
        let view = MoveView { state: &self.state, now, demand: &self.demand, reports };
        for decision in self.moves.plan(view) {
            let MaintenanceConfig { logger, journal, .. } = &self.config;
            maintenance_log::log_move_decision(
                logger,
                journal,
                &self.state,
                &decision,
                &mut self.wait_reasons,
            );
            if let MoveDecision::RequestReboot { vm, operation } = decision {
                self.reboot(vm, operation);
            }
            self.append(decision.record());
        }
    }

    /// Reports on all VMs that have an operation.
    fn reports(&self, now: TimeMs) -> BTreeMap<VmId, VmReport> {
        let operated = self.state.vms.iter().filter(|(_, vm)| vm.operation.is_some());
        operated.map(|(id, _)| (id, self.report(now, id))).collect()
    }

    fn report(&self, now: TimeMs, vm: VmId) -> VmReport {
        let session = |(id, load): (&SessionId, &MemberLoad)| {
            let report = SessionReport {
                applied: load.next_offset,
                in_flight: load.in_flight.get(&vm).copied().unwrap_or(0),
                stale: now.since(load.reported_at) > CONFIRMATION_MAX_AGE_MS,
            };
            (*id, report)
        };
        let sessions = self.members.iter().map(session).collect();
        let mut workers = self.members.values().flat_map(|load| {
            load.workers.iter().filter(|worker| worker.vm == vm).map(move |worker| (load, worker))
        });
        let worker = workers.next();
        let tasks = match worker.map(|(_, worker)| worker.tasks) {
            Some(Some(tasks)) => WorkerTasks::Running(tasks),
            Some(None) | None => WorkerTasks::Unknown,
        };
        let answering_since = worker
            .filter(|(_, worker)| worker.tasks.is_some())
            .map(|(load, worker)| load.reported_at.minus(worker.answering_ms));
        let rebooted_at = self.rebooting_since.get(&vm).map(|(_, since)| *since);
        let healthy_since = match (answering_since, rebooted_at) {
            (Some(answering), Some(rebooted)) if answering > rebooted => Some(answering),
            (Some(_) | None, _) => None,
        };
        VmReport { drain: DrainReport { sessions, tasks }, healthy_since }
    }

    fn reboot(&self, vm: VmId, operation: OperationId) {
        let Some(entry) = self.state.vms.get(vm) else { return };
        let (list, name) = (self.config.list.clone(), entry.joined.name.clone());
        let (logger, token) = (self.config.logger.clone(), operation.0.to_string());
        actix_rt::spawn(async move {
            // The planner repeats the call until the VM is back from the
            // reboot.
            if let Err(error) = list.reboot(&name, &token).await {
                warn!(logger, "reboot call failed; retrying"; "vm" => name,
                    "error" => error.to_string());
            }
        });
    }

    /// Appends a record. If the record is not applied, the planner proposes it
    /// again.
    fn append(&self, record: Option<RecordBody>) {
        let Some(record) = record else { return };
        let (control, logger) = (self.config.control.clone(), self.config.logger.clone());
        actix_rt::spawn(async move {
            match control.append(record).await {
                AppendOutcome::Applied(_) | AppendOutcome::Void(_) => {}
                AppendOutcome::Unavailable(reason) | AppendOutcome::Unknown(reason) => {
                    warn!(logger, "append of maintenance record failed"; "reason" => reason);
                }
            }
        });
    }
}
