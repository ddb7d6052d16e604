//! The part of the core that exists while this node is the owner.

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::maintenance::MaintenanceScheduler;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::order::Batch;
use cowslipport_lib::workload::order_rate_limiter::OrderRateLimiter;
use cowslipport_lib::workload::pool_autoscaler::PoolAutoscaler;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::start_budget::StartBudget;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm_handover::VmHandover;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::core_log;
use crate::node::messages::CoreMessage;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::messages::TopicUpdate;
use crate::node::owner_tasks;
use crate::node::owner_tasks::Mailboxes;
use crate::node::owner_writer::OwnerRecords;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::ownership_check::OwnershipTimes;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::platform::RecordCodec;
use crate::node::settings::NodeSettings;
use crate::node::settings::OPERATOR_AGE_MAX_MS;
use crate::node::settings::WORKERS_AGE_MAX_MS;
use crate::node::vm_task::QueuedVmOrder;
use crate::node::vm_task::VM_ORDER_AGE_MAX_MS;
use crate::node::worker_connections::WorkerConnections;

/// Interval of the checks for expired leases, each of which looks at all
/// workers.
const LEASE_CHECK_INTERVAL_MS: u64 = 20;

/// State of the core that the owner uses.
pub(crate) struct OwnerView<'a> {
    pub(crate) now: TimeMs,
    pub(crate) now_unix_ms: u64,
    pub(crate) catalog: &'a mut Catalog,
    /// When the operators' requests were last confirmed up to date.
    pub(crate) operator_confirmed_at: Option<TimeMs>,
    /// Whether no other node can have become the owner.
    pub(crate) is_confirmed: bool,
    /// When the store last confirmed the ownership.
    pub(crate) ownership_confirmed_at: Option<TimeMs>,
}

/// The state and the tasks of the owner.
pub(crate) struct Owner<P>
where
    P: Platform,
{
    pub(crate) epoch: u64,
    pub(crate) gained_at: TimeMs,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) maintenance: MaintenanceScheduler,
    pub(crate) connections: WorkerConnections<P>,
    pub(crate) record_codec: P::RecordCodec,
    pub(crate) logger: Logger,
    /// Job records that arrived during the recovery; `None` once it is over.
    pub(crate) deferred_records: Option<Vec<KeyedRecord>>,
    /// Worker entries that arrived during the recovery. No worker is polled
    /// before it is over.
    pub(crate) deferred_entries: Vec<(TopicUpdate, Option<TimeMs>)>,
    pub(crate) workers_confirmed_at: Option<TimeMs>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) mailboxes: Mailboxes,
    pub(crate) vms: Option<VmList>,
    pub(crate) vm_list_requested_at: Option<TimeMs>,
    pub(crate) vms_planned_at: Option<TimeMs>,
    pub(crate) pool_autoscaler: PoolAutoscaler,
    pub(crate) is_listing_vms: bool,
    /// When the rooms of pools were last measured.
    pub(crate) rooms_measured_at: Option<TimeMs>,
    pub(crate) vm_handover: VmHandover,
    /// Orders that are sent once the store has the names of their VMs.
    pub(crate) vm_orders: Vec<QueuedVmOrder>,
    pub(crate) vm_order_limiter: OrderRateLimiter,
    /// Names of the workers in the registry.
    pub(crate) listed_workers: BTreeSet<String>,
    /// Workers whose poll tasks have not been told of their present activity.
    pub(crate) untold_workers: BTreeSet<WorkerId>,
    leases_checked_at: TimeMs,
    /// Whether leases could be renewed at the last check.
    renews_leases: bool,
    pub(crate) wave_status: Vec<KeyedRecord>,
    pub(crate) is_fenced: bool,
    pub(crate) release: Release,
    /// Aborted when the ownership ends.
    _tasks: JoinSet<()>,
}

/// Progress of the release of the ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    /// The ownership is not being released.
    None,
    /// The owner sends no more orders.
    Begun,
    /// The batch with the record of the release is in flight.
    Storing { batch: u64 },
    /// The store has the record of the release.
    Stored,
}

/// The batch in flight, and what follows once the store has it.
pub(crate) struct InFlight {
    batch: Batch,
    wave_status: Vec<KeyedRecord>,
    vm_orders: Vec<QueuedVmOrder>,
}

impl<P> Owner<P>
where
    P: Platform,
{
    /// Starts the owner's tasks. The recovery task fences the former owner.
    pub(crate) fn start(
        platform: &P,
        settings: &NodeSettings,
        clock: Clock,
        core: mpsc::Sender<CoreMessage>,
        ownership_times: watch::Receiver<OwnershipTimes>,
        epoch: u64,
        logger: &Logger,
    ) -> Self {
        let ownership = OwnershipCheck::new(clock, ownership_times);
        let mailbox = OwnerMailbox { epoch, core };
        let logger = logger.new(slog::o!("epoch" => epoch));
        let gained_at = clock.now();
        let (mailboxes, tasks) =
            owner_tasks::spawn_tasks(platform, settings, clock, &ownership, &mailbox, &logger);
        let connections =
            WorkerConnections::new(platform.clone(), clock, ownership, mailbox, logger.clone());
        let mut dispatcher = Dispatcher::new(
            epoch,
            settings.node_incarnation(),
            gained_at,
            settings.lease_times(),
            settings.status_kept_ms,
        );
        dispatcher.set_start_budget(StartBudget::new(gained_at, settings.link_bits_per_second));
        dispatcher.set_features(settings.scheduling);
        Self {
            epoch,
            gained_at,
            dispatcher,
            maintenance: MaintenanceScheduler::default(),
            connections,
            record_codec: platform.record_codec(),
            logger,
            deferred_records: Some(Vec::new()),
            deferred_entries: Vec::new(),
            workers_confirmed_at: None,
            in_flight: None,
            mailboxes,
            vms: None,
            vm_list_requested_at: None,
            vms_planned_at: None,
            pool_autoscaler: PoolAutoscaler::default(),
            is_listing_vms: false,
            rooms_measured_at: None,
            vm_handover: VmHandover::new(settings.vm_handover_ms, VM_ORDER_AGE_MAX_MS),
            vm_orders: Vec::new(),
            vm_order_limiter: OrderRateLimiter::new(gained_at, settings.vm_orders_per_second),
            listed_workers: BTreeSet::new(),
            untold_workers: BTreeSet::new(),
            leases_checked_at: gained_at,
            renews_leases: true,
            wave_status: Vec::new(),
            is_fenced: false,
            release: Release::None,
            _tasks: tasks,
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether there is evidence of a later owner.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Releases the ownership: the owner renews no more leases, and stores this
    /// for its successor.
    pub(crate) fn release(&mut self) {
        if self.release != Release::None {
            return;
        }
        info!(self.logger, "releasing ownership");
        self.connections.disconnect_all();
        self.dispatcher.release();
        self.release = Release::Begun;
    }

    /// Whether the store has the record that this owner renews no more leases.
    pub(crate) fn has_released(&self) -> bool {
        // An owner that is still recovering has renewed no lease.
        let is_recovering = self.deferred_records.is_some();
        self.release == Release::Stored || (is_recovering && self.release != Release::None)
    }

    /// Applies a changed configuration.
    pub(crate) fn refresh(&mut self, catalog: &mut Catalog) {
        self.dispatcher.refresh(catalog);
    }

    pub(crate) fn set_data_centre_out(&mut self, name: &str, is_out: bool) {
        self.dispatcher.set_data_centre_out(name, is_out);
    }

    pub(crate) fn wave_requested(&mut self, requested_at: TimeMs, spec: WaveSpec) {
        self.maintenance.wave_requested(requested_at, spec);
    }

    pub(crate) fn wave_withdrawn(&mut self, wave: u64) {
        self.maintenance.wave_withdrawn(wave, &mut self.dispatcher);
    }

    /// Handles a message of one of the owner's tasks.
    pub(crate) fn handle(&mut self, view: &mut OwnerView<'_>, message: OwnerMessage) {
        let now = view.now;
        match message {
            OwnerMessage::Recovered(records) => self.finish_recovery(view, &records),
            OwnerMessage::Fenced => self.is_fenced = true,
            OwnerMessage::Stored { batch } => self.handle_stored(view, batch),
            OwnerMessage::Published { batch } => self.handle_published(batch),
            OwnerMessage::Reported { worker, clock, report } => {
                if self.connections.mark_reachable(worker, clock) {
                    info!(self.logger, "worker reachable again";
                        "worker" => self.dispatcher.worker_name(worker));
                }
                self.dispatcher.worker_reported(now, worker, &report);
            }
            OwnerMessage::Unreachable { worker, renewed_at, reason } => {
                if self.connections.mark_unreachable(worker) {
                    warn!(self.logger, "worker unreachable";
                        "worker" => self.dispatcher.worker_name(worker), "reason" => reason);
                }
                self.dispatcher.worker_unreachable(now, worker, renewed_at);
            }
            OwnerMessage::Replaced { worker } => {
                warn!(self.logger, "another worker listens at the address; disconnecting";
                    "worker" => self.dispatcher.worker_name(worker));
                self.dispatcher.worker_replaced(worker);
                self.connections.disconnect(worker);
            }
            OwnerMessage::StartAnswered { worker, task, attempt, reply } => {
                let answer = reply.answer;
                if answer != StartAnswer::Started {
                    warn!(self.logger, "start of a task not confirmed"; "answer" => answer.as_str(),
                        "worker" => self.dispatcher.worker_name(worker),
                        "task" => self.dispatcher.task_name(task).map(|name| name.to_string()),
                        "attempt" => attempt);
                }
                self.is_fenced |= answer == StartAnswer::EpochTooLow;
                self.dispatcher.start_answered(now, worker, task, attempt, reply);
            }
            OwnerMessage::StopAnswered { worker, task, attempt, ordered_at } => {
                self.dispatcher.stop_answered(now, ordered_at, worker, task, attempt);
            }
            OwnerMessage::PaceUnanswered { worker, task, attempt } => {
                self.dispatcher.pace_unanswered(worker, task, attempt);
            }
            OwnerMessage::VmListRead { sent_at, vms } => {
                self.handle_vm_list(view, VmList::new(sent_at, vms));
            }
            OwnerMessage::AdviceAnswered { request, answer } => {
                self.dispatcher.handle_advice_answer(now, &request, answer.as_ref());
            }
            OwnerMessage::VmListFailed => self.is_listing_vms = false,
            OwnerMessage::VmOrderAnswered { queued, answer } => {
                info!(self.logger, "VM order answered"; "vm" => &queued.order.vm,
                    "answer" => format!("{answer:?}"));
                self.handle_vm_answer(now, &queued, answer);
            }
        }
    }

    fn handle_published(&mut self, published: u64) {
        self.dispatcher.batch_published(published);
        if let Release::Storing { batch } = self.release
            && batch <= published
        {
            self.release = Release::Stored;
        }
    }

    fn handle_stored(&mut self, view: &OwnerView<'_>, batch: u64) {
        let stored = self.in_flight.take_if(|in_flight| in_flight.batch.number == batch);
        let Some(in_flight) = stored else { return };
        self.dispatcher.batch_stored(view.now, &in_flight.batch, view.is_confirmed);
        for acknowledgement in in_flight.batch.acknowledged {
            self.connections.acknowledge(acknowledgement);
        }
        self.wave_status.extend(in_flight.wave_status);
        self.send_vm_orders(view, in_flight.vm_orders);
    }

    /// Makes due decisions, stores their records, and sends orders.
    pub(crate) fn reconcile(&mut self, view: &mut OwnerView<'_>) {
        if self.deferred_records.is_some() {
            return;
        }
        if self.release != Release::None {
            self.store_changes(view);
            return;
        }
        self.dispatcher.set_confirmed(view.is_confirmed);
        self.log_renewals(view);
        if view.now.since(self.leases_checked_at) >= LEASE_CHECK_INTERVAL_MS {
            self.leases_checked_at = view.now;
            self.dispatcher.expire_leases(view.now);
        }
        if self.may_start(view) {
            self.dispatcher.place_tasks(view.now, view.now_unix_ms, view.catalog);
            self.request_advice(view);
        }
        self.plan_vm_orders(view);
        self.measure_rooms(view);
        self.store_changes(view);
        self.update_connections();
        self.send_orders(view);
        self.dispatcher.explain(view.now, view.now_unix_ms, view.catalog);
        core_log::log(&self.logger, view.catalog, &mut self.dispatcher);
    }

    /// Logs when the owner stops renewing leases, since it has heard of neither the store
    /// nor most of its witnesses, and when it goes on.
    fn log_renewals(&mut self, view: &OwnerView<'_>) {
        let until = view.ownership_confirmed_at.map(|at| self.dispatcher.renewable_until(at));
        let renews_leases = until.is_some_and(|until| view.now < until);
        if std::mem::replace(&mut self.renews_leases, renews_leases) == renews_leases {
            return;
        }
        let unconfirmed_ms = view.ownership_confirmed_at.map(|at| view.now.since(at));
        match renews_leases {
            true => info!(self.logger, "leases are renewed again"),
            false => warn!(self.logger, "leases are no longer renewed";
                "reason" => "neither the store nor most witnesses answer",
                "unconfirmed_ms" => unconfirmed_ms),
        }
    }

    /// Whether the owner may start tasks: no other node can be the owner, and
    /// the operators' requests and the list of workers are recent enough.
    pub(crate) fn may_start(&self, view: &OwnerView<'_>) -> bool {
        view.is_confirmed
            && admission::is_fresh(view.now, view.operator_confirmed_at, OPERATOR_AGE_MAX_MS)
            && admission::is_fresh(view.now, self.workers_confirmed_at, WORKERS_AGE_MAX_MS)
    }

    fn request_advice(&mut self, view: &OwnerView<'_>) {
        let (now, now_unix_ms) = (view.now, view.now_unix_ms);
        for request in self.dispatcher.advice_requests(now, now_unix_ms) {
            if self.mailboxes.advice_requests.try_send(request.clone()).is_err() {
                warn!(self.logger, "advice request dropped"; "reason" => "queue is full");
                self.dispatcher.handle_advice_answer(now, &request, None);
            }
        }
    }

    /// Sends changed records to the writer, if no batch is in flight.
    fn store_changes(&mut self, view: &OwnerView<'_>) {
        let now = view.now;
        self.write_wave_status();
        if self.in_flight.is_some() {
            return;
        }
        let mut batch = self.dispatcher.take_batch(now);
        let waves = self.maintenance.take_changed();
        let mut records = OwnerRecords { batch: batch.number, ..OwnerRecords::default() };
        for (key, value) in std::mem::take(&mut batch.records) {
            records.push(&key, value);
        }
        let mut wave_status = Vec::new();
        for (wave, progress) in waves {
            let Some(progress) = progress else {
                records.push(&RecordKey::Wave(wave), Vec::new());
                continue;
            };
            info!(self.logger, "wave progressed"; "wave" => wave,
                "maintained" => progress.maintained.len(), "removed" => progress.removed.len(),
                "completed" => progress.completed);
            records.push(&RecordKey::Wave(wave), progress.encode());
            wave_status.push(self.record_codec.wave_status(wave, progress.completed));
        }
        let vm_orders = std::mem::take(&mut self.vm_orders);
        if let Some(recent) = self.recent_vm_orders(now, &vm_orders) {
            records.push(&RecordKey::VmOrders, recent.encode());
        }
        if records.is_empty() {
            for acknowledgement in batch.acknowledged {
                self.connections.acknowledge(acknowledgement);
            }
            return;
        }
        self.record_demand(view, &mut records);
        self.in_flight = Some(InFlight { batch, wave_status, vm_orders });
        if self.release == Release::Begun {
            self.release = Release::Storing { batch: records.batch };
        }
        metrics::counter!("cowslipport_owner_appends_total").increment(1);
        if self.mailboxes.writer.try_send(records).is_err() {
            // The writer task ends only when the owner is fenced.
            self.is_fenced = true;
        }
    }

    fn write_wave_status(&mut self) {
        if self.wave_status.is_empty() {
            return;
        }
        if let Err(error) = self.mailboxes.status_writer.try_send(self.wave_status.clone()) {
            // The next call sends them again.
            slog::trace!(self.logger, "status writer is busy"; "reason" => error.to_string());
            return;
        }
        self.wave_status.clear();
    }
}
