//! The owner of the fake fleet, its store, and its calls to workers.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::key::WorkerId;
use cowslipport_lib::workload::order::Acknowledgement;
use cowslipport_lib::workload::order::Batch;
use cowslipport_lib::workload::order::Order;
use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::owner_record::OwnershipRecord;
use cowslipport_lib::workload::owner_record::Unreachable;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::report::WorkerEntry;
use cowslipport_lib::workload::run_time::RunTimesRecord;
use cowslipport_lib::workload::spec::JobSpec;

use super::FakeWorker;
use super::Fleet;
use super::LEASE_MS;
use super::LEASE_TIMES;
use super::MAX_RECORD_BYTES;
use super::POOL;
use super::SLOW_START_MS;
use super::STATUS_KEPT_MS;

impl Fleet {
    /// Replaces the owner. If `is_clean`, the former owner releases its
    /// ownership first.
    pub(crate) fn replace_owner(&mut self, is_clean: bool) {
        self.replace_owner_after(is_clean, 0);
    }

    /// Replaces the owner like `replace_owner`, with a new owner that took
    /// `read_ms` to read the store.
    pub(crate) fn replace_owner_after(&mut self, is_clean: bool, read_ms: u64) {
        if is_clean && let Some(owner) = &mut self.owner {
            owner.release();
            let batch = owner.take_batch(TimeMs(self.now));
            self.persist(&batch);
        }
        self.in_flight = None;
        self.clock_origins.clear();
        self.epoch += 1;
        let now = self.time();
        let incarnation =
            NodeIncarnation { node: format!("n{}", self.epoch), incarnation: self.epoch };
        let times = LEASE_TIMES;
        let mut owner =
            Dispatcher::new(self.epoch, incarnation, now.minus(read_ms), times, STATUS_KEPT_MS);
        owner.set_features(self.features);
        if let Some(record) = self.store.get(&RecordKey::RunTimes) {
            let learned = RunTimesRecord::decode(record).expect("a valid record");
            owner.restore_run_times(now, learned);
        }
        // The clock of the fleet also serves as the time of day.
        owner.begin_recovery(self.now);
        let ownership = self.store.get(&RecordKey::Ownership);
        owner.restore_former_owners(
            now,
            ownership.map(|bytes| OwnershipRecord::decode(bytes).expect("a valid record")),
        );
        for (key, value) in &self.store {
            if let RecordKey::Unreachable(worker) = key {
                owner.restore_unreachable(
                    now,
                    worker,
                    Unreachable::decode(value).expect("a valid record"),
                );
            }
        }
        for (key, spec) in &self.jobs {
            let progress = self.store.get(&RecordKey::Progress(*key));
            let mut progress =
                progress.map(|bytes| Progress::decode(bytes).expect("a valid record"));
            if let Some(progress) = &mut progress {
                owner.restore_status(*key, progress, self.status(*key));
            }
            let spec = JobSpec::decode(&spec.encode()).expect("a valid record");
            owner.submitted(now, &mut self.catalog, *key, spec, progress.as_ref());
        }
        for key in &self.cancelled {
            owner.cancelled(*key);
        }
        owner.recovered();
        self.owner = Some(owner);
        self.list_workers();
    }

    /// Applies the registry entries of all listed workers to the owner.
    pub(crate) fn list_workers(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        let writes_entry =
            |worker: &&FakeWorker| worker.is_up && !worker.is_unlisted && !worker.cannot_register;
        for worker in self.workers.values().filter(writes_entry) {
            let entry = WorkerEntry {
                name: worker.name.clone(),
                pool: POOL.to_owned(),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: worker.data_centre.clone(),
                capacity: worker.capacity,
                rack: Some(format!("rack-{}", worker.data_centre)),
                labels: worker.labels.clone(),
                is_draining: worker.is_draining,
                started_unix_ms: Some(worker.started_at),
            };
            owner.worker_listed(&mut self.catalog, &entry);
        }
    }

    pub(crate) fn advance_owner(&mut self) {
        if self.owner.is_none() {
            return;
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.poll(&name);
        }
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.expire_leases(now);
            owner.place_tasks(now, self.now, &self.catalog);
        }
        self.store_batch();
        self.send_orders();
    }

    /// Stores the batch of the last step and takes the next one.
    pub(crate) fn store_batch(&mut self) {
        if !self.store_is_up {
            return;
        }
        if let Some(batch) = self.in_flight.take() {
            self.persist(&batch);
            let now = self.time();
            if let Some(owner) = &mut self.owner {
                owner.batch_stored(now, &batch, true);
                owner.batch_published(batch.number);
            }
            for acknowledgement in &batch.acknowledged {
                self.acknowledge(*acknowledgement);
            }
        }
        let now = self.time();
        self.in_flight = self.owner.as_mut().map(|owner| owner.take_batch(now));
    }

    pub(crate) fn persist(&mut self, batch: &Batch) {
        for (key, value) in &batch.records {
            if value.len() > MAX_RECORD_BYTES {
                self.violations.push(format!("{key:?} has {} bytes", value.len()));
            }
            if value.is_empty() {
                self.dropped.insert(key.clone());
            }
            match value.is_empty() {
                true => self.store.remove(key),
                false => self.store.insert(key.clone(), value.clone()),
            };
        }
    }

    pub(crate) fn acknowledge(&mut self, acknowledgement: Acknowledgement) {
        let Some(owner) = &self.owner else { return };
        let name = owner.worker_name(acknowledgement.worker).to_owned();
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let is_this_life = acknowledgement.started_unix_ms == Some(worker.started_at);
        if !worker.is_reachable || !is_this_life {
            return;
        }
        let number = acknowledgement.number;
        let counted = worker.ends_before_expiry + 1..=number;
        let acknowledged = worker.ended.iter().filter(|ended| counted.contains(&ended.number));
        let done = acknowledged.filter(|ended| ended.end == TaskEnd::Done).map(|ended| ended.task);
        let done: Vec<TaskName> = done.collect();
        for task in &done {
            // The time of the last end is that of this one, or later.
            if self.last_starts[task] > self.done[task] {
                let now = self.now;
                self.violations.push(format!(
                    "{now}: {task} had started again after the end that is acknowledged"
                ));
            }
        }
        self.acknowledged_done.extend(done);
        worker.ended.retain(|ended| ended.number > number);
    }

    /// Polls a worker for its report and renews its leases.
    pub(crate) fn poll(&mut self, name: &str) {
        let now = self.time();
        if self.unpolled_worker.as_deref() == Some(name) {
            return;
        }
        let Some(owner) = &mut self.owner else { return };
        let id = owner.worker_id(name);
        let renews = owner.may_renew_leases(id);
        let (epoch, now_ms) = (self.epoch, self.now);
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if worker.is_unlisted {
            return;
        }
        if !worker.is_up || !worker.is_reachable {
            owner.worker_unreachable(now, id, None);
            return;
        }
        if epoch < worker.highest_epoch {
            return;
        }
        worker.highest_epoch = epoch;
        // The first poll of an incarnation renews nothing.
        let origin = self.clock_origins.insert(name.to_owned(), worker.started_at);
        let lease = match origin.filter(|origin| renews && *origin == worker.started_at) {
            Some(origin) => worker.renew(now_ms, now_ms - origin + LEASE_MS),
            None => LeaseGrant::None,
        };
        let report = worker.report(now, lease);
        owner.worker_reported(now, id, &report);
    }

    pub(crate) fn send_orders(&mut self) {
        loop {
            let Some(owner) = &mut self.owner else { return };
            let orders = owner.take_orders();
            if orders.is_empty() {
                return;
            }
            for order in orders {
                let name = self
                    .owner
                    .as_ref()
                    .map(|owner| owner.worker_name(order.worker).to_owned())
                    .unwrap_or_default();
                self.send_order(&name, order.worker, &order.order);
            }
        }
    }

    pub(crate) fn send_order(&mut self, name: &str, id: WorkerId, order: &Order) {
        let now = self.time();
        let reachable = self.workers.get(name).is_some_and(|w| w.is_up && w.is_reachable);
        match order {
            Order::Start(start) => {
                let origin = self.clock_origins.get(name);
                let lease_until = origin.map_or(0, |origin| self.now - origin + LEASE_MS);
                if self.slow_worker.as_deref() == Some(name) {
                    let due_at = self.now + SLOW_START_MS;
                    let arrival = (due_at, name.to_owned(), self.epoch, lease_until, start.clone());
                    self.delayed_starts.push(arrival);
                    self.slow_starts.insert(start.task);
                    return;
                }
                let unanswered =
                    StartReply { answer: StartAnswer::Unknown, lease: LeaseGrant::Unknown };
                let reply = if self.delayed_worker.as_deref() == Some(name) {
                    let delayed = (self.now + 3_000, name.to_owned(), self.epoch);
                    self.delayed_starts.push((
                        delayed.0,
                        delayed.1,
                        delayed.2,
                        lease_until,
                        start.clone(),
                    ));
                    unanswered
                } else if self.refused_ticket.is_some() && start.ticket == self.refused_ticket {
                    StartReply::without_lease(StartAnswer::NotAllowed)
                } else if self.refusing_worker.as_deref() == Some(name) {
                    StartReply::without_lease(StartAnswer::Unhealthy)
                } else if reachable {
                    let reply = self.start(name, self.epoch, lease_until, start);
                    let is_lost = self.mute_worker.as_deref() == Some(name);
                    if is_lost { unanswered } else { reply }
                } else {
                    unanswered
                };
                if let Some(owner) = &mut self.owner {
                    owner.start_answered(now, id, start.key, start.attempt, reply);
                }
            }
            Order::Stop { task, attempt, .. } => {
                let Some(worker) = self.workers.get_mut(name).filter(|_| reachable) else { return };
                worker.stop(self.now, *task, *attempt);
                if let Some(owner) = &mut self.owner {
                    owner.stop_answered(now, now, id, *task, *attempt);
                }
            }
            Order::Pace { .. } => {}
        }
    }
}
