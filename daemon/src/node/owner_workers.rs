//! How an owner applies changes of the worker registry, and sends orders to
//! workers.

use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::dispatcher::WorkerActivity;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use slog::info;
use slog::warn;

use crate::node::messages::TopicUpdate;
use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::platform::Platform;
use crate::node::platform::RecordCodec;
use crate::node::platform::WorkerChange;
use crate::node::poll_task::PollActivity;

impl<P> Owner<P>
where
    P: Platform,
{
    /// Applies worker entries, or defers them during the recovery.
    pub(crate) fn apply_worker_entries(
        &mut self,
        view: &mut OwnerView<'_>,
        update: TopicUpdate,
        confirmed_at: Option<TimeMs>,
    ) {
        if self.deferred_records.is_some() {
            self.deferred_entries.push((update, confirmed_at));
            return;
        }
        self.workers_confirmed_at = confirmed_at.or(self.workers_confirmed_at);
        let mut unlisted: BTreeSet<String> = BTreeSet::new();
        let records = match update {
            TopicUpdate::Snapshot(records) => {
                unlisted = std::mem::take(&mut self.listed_workers);
                records
            }
            TopicUpdate::Records(records) => records,
        };
        for record in &records {
            match self.record_codec.worker_change(record) {
                Ok(WorkerChange::Listed(entry)) => {
                    unlisted.remove(&entry.name);
                    if self.listed_workers.insert(entry.name.clone()) {
                        info!(self.logger, "worker added to the registry"; "worker" => &entry.name,
                            "pool" => &entry.pool, "address" => entry.address.to_string());
                    }
                    let id = self.dispatcher.worker_listed(view.catalog, &entry);
                    self.connections.connect(id, &entry.name, entry.address);
                }
                Ok(WorkerChange::Unlisted { name }) => {
                    unlisted.insert(name);
                }
                Err(findings) => {
                    warn!(self.logger, "decoding a worker entry failed";
                        "key" => String::from_utf8_lossy(&record.key).into_owned(),
                        "findings" => findings.to_string());
                }
            }
        }
        for name in unlisted {
            self.listed_workers.remove(&name);
            self.dispatcher.worker_unlisted(&name);
            info!(self.logger, "worker removed from the registry"; "worker" => name);
        }
    }

    /// Tells the poll tasks whether tasks may run on their workers, and ends
    /// the connections to departed workers. Only workers that have changed are
    /// looked at, since the owner reconciles hundreds of times a second.
    pub(crate) fn update_connections(&mut self) {
        let mut changed = std::mem::take(&mut self.untold_workers);
        changed.extend(self.dispatcher.take_activity_changes());
        for id in changed {
            let is_active = match self.dispatcher.activity(id) {
                WorkerActivity::Polled => true,
                WorkerActivity::Idle => false,
                WorkerActivity::Departed => {
                    self.connections.disconnect(id);
                    continue;
                }
            };
            let activity = PollActivity {
                is_active,
                renews_leases: self.dispatcher.may_renew_leases(id),
                is_witness: self.dispatcher.needs_answer_of(id),
            };
            if !self.connections.set_activity(id, activity) {
                self.untold_workers.insert(id);
            }
        }
    }

    pub(crate) fn send_orders(&mut self, view: &OwnerView<'_>) {
        // An order that cannot be sent may release a placement, which may lead
        // to further orders.
        loop {
            let orders = self.dispatcher.take_orders();
            if orders.is_empty() {
                return;
            }
            for worker_order in orders {
                let worker = worker_order.worker;
                let start = match &worker_order.order {
                    Order::Start(start) => Some((start.key, start.attempt)),
                    Order::Stop { .. } | Order::Pace { .. } => None,
                };
                if let Order::Stop { task, attempt, reason } = &worker_order.order {
                    info!(self.logger, "stopping attempt"; "task" => %task, "attempt" => *attempt,
                        "worker" => self.dispatcher.worker_name(worker),
                        "reason" => reason.as_str());
                }
                let is_sent = self.connections.send(view.now, worker, worker_order.order);
                if let Some((task, attempt)) = start.filter(|_| !is_sent) {
                    let reply = StartReply::without_lease(StartAnswer::TooLate);
                    self.dispatcher.start_answered(view.now, worker, task, attempt, reply);
                }
            }
        }
    }
}
