//! The part of the core that exists while this node has the seat.

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::lease::LeaseTimes;
use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::order::Batch;
use cowslipport_lib::workload::order_rate_limiter::OrderRateLimiter;
use cowslipport_lib::workload::pool_autoscaler::PoolAutoscaler;
use cowslipport_lib::workload::record::RecordKey;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm_handover::VmHandover;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::core_log;
use crate::node::messages::CoreMessage;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::messages::TopicUpdate;
use crate::node::owner_tasks;
use crate::node::owner_tasks::Mailboxes;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::platform::RecordCodec;
use crate::node::settings::LEASE_MS;
use crate::node::settings::NodeSettings;
use crate::node::settings::OPERATOR_AGE_MAX_MS;
use crate::node::settings::RENEW_WITHOUT_STORE_MS;
use crate::node::settings::WORKERS_AGE_MAX_MS;
use crate::node::worker_connections::WorkerConnections;

/// Leases that owners grant, and how long a former one may renew them.
const LEASE_TIMES: LeaseTimes =
    LeaseTimes { lease_ms: LEASE_MS, former_renewal_ms: RENEW_WITHOUT_STORE_MS };

/// What the core knows that the owner needs.
pub(crate) struct OwnerView<'a> {
    pub(crate) now: TimeMs,
    pub(crate) now_unix_ms: u64,
    pub(crate) catalog: &'a mut Catalog,
    /// When what operators ask for was last known.
    pub(crate) operator_known_at: Option<TimeMs>,
    /// No other node can have been given the seat.
    pub(crate) is_certain: bool,
    /// Leases are renewed.
    pub(crate) renews: bool,
}

/// The state and the tasks of the owner.
pub(crate) struct Owner<P>
where
    P: Platform,
{
    pub(crate) epoch: u64,
    pub(crate) gained_at: TimeMs,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) upkeep: MaintenanceScheduler,
    pub(crate) connections: WorkerConnections<P>,
    pub(crate) dialect: P::RecordCodec,
    pub(crate) logger: Logger,
    /// Records of jobs that came while the jobs were being read.
    pub(crate) held_back: Option<Vec<KeyedRecord>>,
    /// Entries of workers that came meanwhile; nobody is asked before.
    pub(crate) held_back_entries: Vec<(TopicUpdate, Option<TimeMs>)>,
    pub(crate) workers_known_at: Option<TimeMs>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) mailboxes: Mailboxes,
    pub(crate) vms: Option<VmList>,
    pub(crate) vm_asked_at: Option<TimeMs>,
    pub(crate) vms_decided_at: Option<TimeMs>,
    pub(crate) pool_sizer: PoolAutoscaler,
    pub(crate) is_listing_vms: bool,
    pub(crate) vm_handover: VmHandover,
    /// Orders that are given once the store holds which VMs they are for.
    pub(crate) vm_orders: Vec<VmOrder>,
    pub(crate) vm_order_rate: OrderRateLimiter,
    pub(crate) listed: BTreeSet<String>,
    pub(crate) wave_status: Vec<KeyedRecord>,
    pub(crate) is_fenced: bool,
    pub(crate) release: Release,
    /// Ends with the ownership.
    _tasks: JoinSet<()>,
}

/// How far the ownership is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    /// It is not.
    None,
    /// Nothing is ordered any more.
    Begun,
    /// A batch that says so is on its way.
    Storing,
    /// The store holds it.
    Stored,
}

/// What follows once the batch in flight is stored.
pub(crate) struct InFlight {
    batch: Batch,
    wave_status: Vec<KeyedRecord>,
    vm_orders: Vec<VmOrder>,
}

impl<P> Owner<P>
where
    P: Platform,
{
    /// Starts the tasks of the owner: the first fences the former one.
    pub(crate) fn start(
        platform: &P,
        settings: &NodeSettings,
        clock: Clock,
        core: mpsc::Sender<CoreMessage>,
        epoch: u64,
        logger: &Logger,
    ) -> Self {
        let mailbox = OwnerMailbox { epoch, core };
        let logger = logger.new(slog::o!("epoch" => epoch));
        let gained_at = clock.now();
        let (mailboxes, tasks) =
            owner_tasks::spawn_tasks(platform, settings, clock, &mailbox, &logger);
        let connections = WorkerConnections::new(platform.clone(), clock, mailbox, logger.clone());
        Self {
            epoch,
            gained_at,
            dispatcher: Dispatcher::new(
                epoch,
                settings.node_incarnation(),
                gained_at,
                LEASE_TIMES,
                settings.status_kept_ms,
            ),
            upkeep: MaintenanceScheduler::default(),
            connections,
            dialect: platform.record_codec(),
            logger,
            held_back: Some(Vec::new()),
            held_back_entries: Vec::new(),
            workers_known_at: None,
            in_flight: None,
            mailboxes,
            vms: None,
            vm_asked_at: None,
            vms_decided_at: None,
            pool_sizer: PoolAutoscaler::default(),
            is_listing_vms: false,
            vm_handover: VmHandover::new(settings.vm_handover_ms),
            vm_orders: Vec::new(),
            vm_order_rate: OrderRateLimiter::new(gained_at, settings.vm_orders_per_second),
            listed: BTreeSet::new(),
            wave_status: Vec::new(),
            is_fenced: false,
            release: Release::None,
            _tasks: tasks,
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// True once there is evidence of a later owner.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Gives the ownership up: no lease is renewed any more, and the successor
    /// is told so.
    pub(crate) fn release(&mut self) {
        if self.release != Release::None {
            return;
        }
        info!(self.logger, "ownership is released");
        self.connections.disconnect_all();
        self.dispatcher.release();
        self.release = Release::Begun;
    }

    /// True once the store holds that this owner renews no lease any more.
    pub(crate) fn has_released(&self) -> bool {
        // An owner that knows nothing yet has renewed nothing.
        let knows_nothing = self.held_back.is_some();
        self.release == Release::Stored || (knows_nothing && self.release != Release::None)
    }

    /// Takes over a changed configuration.
    pub(crate) fn refresh(&mut self, catalog: &mut Catalog) {
        self.dispatcher.refresh(catalog);
    }

    pub(crate) fn data_centre_out(&mut self, name: &str, is_out: bool) {
        self.dispatcher.set_data_centre_out(name, is_out);
    }

    pub(crate) fn wave_asked(&mut self, asked_at: TimeMs, spec: WaveSpec) {
        self.upkeep.wave_requested(asked_at, spec);
    }

    pub(crate) fn wave_withdrawn(&mut self, wave: u64) {
        self.upkeep.wave_withdrawn(wave);
    }

    /// Takes over a message of one of the owner's tasks.
    pub(crate) fn handle(&mut self, view: &mut OwnerView<'_>, message: OwnerMessage) {
        let now = view.now;
        match message {
            OwnerMessage::Recovered(records) => self.recovered(view, &records),
            OwnerMessage::Fenced => self.is_fenced = true,
            OwnerMessage::Stored => self.stored(view),
            OwnerMessage::Reported { worker, clock, report } => {
                if self.connections.mark_reachable(worker, clock) {
                    info!(self.logger, "worker answers again";
                        "worker" => self.dispatcher.worker_name(worker));
                }
                self.dispatcher.worker_reported(now, worker, &report);
            }
            OwnerMessage::Unreachable { worker, renewed_at, reason } => {
                if self.connections.mark_unreachable(worker) {
                    warn!(self.logger, "worker does not answer";
                        "worker" => self.dispatcher.worker_name(worker), "reason" => reason);
                }
                self.dispatcher.worker_unreachable(worker, renewed_at);
            }
            OwnerMessage::Replaced { worker } => {
                warn!(self.logger, "another worker has the address";
                    "worker" => self.dispatcher.worker_name(worker));
                self.dispatcher.worker_replaced(worker);
                self.connections.disconnect(worker);
            }
            OwnerMessage::StartAnswered { worker, task, attempt, answer } => {
                if answer != StartAnswer::Started {
                    warn!(self.logger, "start is not confirmed"; "answer" => answer.as_str(),
                        "worker" => self.dispatcher.worker_name(worker),
                        "task" => self.dispatcher.task_name(task).map(|name| name.to_string()),
                        "attempt" => attempt);
                }
                self.is_fenced |= answer == StartAnswer::EpochTooLow;
                self.dispatcher.start_answered(now, worker, task, attempt, answer);
            }
            OwnerMessage::StopAnswered { worker, task, attempt } => {
                self.dispatcher.stop_answered(now, worker, task, attempt);
            }
            OwnerMessage::PaceUnanswered { worker, task, attempt } => {
                self.dispatcher.pace_unanswered(worker, task, attempt);
            }
            OwnerMessage::VmListRead { sent_at, vms } => {
                self.is_listing_vms = false;
                let vms = VmList::new(sent_at, vms);
                self.upkeep.vms_listed(&vms, &mut self.dispatcher);
                self.pool_sizer.vms_listed(now, &vms, view.catalog);
                self.vms = Some(vms);
            }
            OwnerMessage::Advised { question, answer } => {
                self.dispatcher.handle_advice_answer(now, &question, answer.as_ref());
            }
            OwnerMessage::VmListFailed => self.is_listing_vms = false,
            OwnerMessage::VmOrderAnswered { order, answer } => {
                info!(self.logger, "order for a VM is answered"; "vm" => &order.vm,
                    "answer" => format!("{answer:?}"));
                self.vm_answered(now, &order, answer);
            }
        }
    }

    fn stored(&mut self, view: &OwnerView<'_>) {
        let Some(in_flight) = self.in_flight.take() else { return };
        if self.release == Release::Storing {
            self.release = Release::Stored;
        }
        self.dispatcher.batch_stored(view.now, &in_flight.batch, view.is_certain);
        for acknowledgement in in_flight.batch.acknowledged {
            self.connections.acknowledge(acknowledgement);
        }
        self.wave_status.extend(in_flight.wave_status);
        self.give_vm_orders(view, in_flight.vm_orders);
    }

    /// Decides, and lets its decisions take effect.
    pub(crate) fn settle(&mut self, view: &mut OwnerView<'_>) {
        if self.held_back.is_some() {
            return;
        }
        if self.release != Release::None {
            self.store(view.now);
            return;
        }
        self.dispatcher.expire_leases(view.now);
        if self.may_start(view) {
            self.dispatcher.place_tasks(view.now, view.now_unix_ms, view.catalog);
            self.ask_for_advice(view);
        }
        self.order_vms(view);
        self.store(view.now);
        self.follow_workers(view);
        self.send_orders(view);
        self.dispatcher.explain(view.now, view.now_unix_ms, view.catalog);
        core_log::log(&self.logger, view.catalog, &mut self.dispatcher);
    }

    pub(crate) fn may_start(&self, view: &OwnerView<'_>) -> bool {
        view.is_certain
            && admission::is_fresh(view.now, view.operator_known_at, OPERATOR_AGE_MAX_MS)
            && admission::is_fresh(view.now, self.workers_known_at, WORKERS_AGE_MAX_MS)
    }

    fn ask_for_advice(&mut self, view: &OwnerView<'_>) {
        let (now, now_unix_ms) = (view.now, view.now_unix_ms);
        for question in self.dispatcher.advice_requests(now, now_unix_ms, view.catalog) {
            if self.mailboxes.advice_requests.try_send(question.clone()).is_err() {
                warn!(self.logger, "question for advice is dropped"; "reason" => "too many wait");
                self.dispatcher.handle_advice_answer(now, &question, None);
            }
        }
    }

    /// Hands what has changed to the writer, if it is free.
    fn store(&mut self, now: TimeMs) {
        self.write_wave_status();
        if self.in_flight.is_some() {
            return;
        }
        let mut batch = self.dispatcher.take_batch(now);
        let waves = self.upkeep.take_changed();
        let mut records: Vec<KeyedRecord> = Vec::with_capacity(batch.records.len() + waves.len());
        for (key, value) in std::mem::take(&mut batch.records) {
            records.push(KeyedRecord { key: key.encode().into(), value: value.into() });
        }
        let mut wave_status = Vec::new();
        for (wave, progress) in waves {
            let key = RecordKey::Wave(wave).encode().into();
            let value = progress.encode().into();
            records.push(KeyedRecord { key, value });
            wave_status.push(self.dialect.wave_status(wave, progress.completed));
        }
        let vm_orders = std::mem::take(&mut self.vm_orders);
        records.extend(self.vm_orders_record(now, &vm_orders));
        if records.is_empty() {
            for acknowledgement in batch.acknowledged {
                self.connections.acknowledge(acknowledgement);
            }
            return;
        }
        self.in_flight = Some(InFlight { batch, wave_status, vm_orders });
        if self.release == Release::Begun {
            self.release = Release::Storing;
        }
        metrics::counter!("cowslipport_owner_appends_total").increment(1);
        if self.mailboxes.writer.try_send(records).is_err() {
            // The writer ends only when the owner is fenced.
            self.is_fenced = true;
        }
    }

    fn write_wave_status(&mut self) {
        if self.wave_status.is_empty() {
            return;
        }
        if let Err(error) = self.mailboxes.status_writer.try_send(self.wave_status.clone()) {
            // The writer is busy; the next round tries again.
            slog::trace!(self.logger, "status of waves waits"; "reason" => error.to_string());
            return;
        }
        self.wave_status.clear();
    }
}
