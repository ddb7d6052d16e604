//! Entry points that update what the owner knows of the workers apart from their tasks.

use std::collections::BTreeSet;

use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::dispatcher::WorkerActivity;
use crate::workload::key::WorkerId;
use crate::workload::lease::LeaseTracker;
use crate::workload::report::WorkerEntry;
use crate::workload::worker::Listing;
use crate::workload::worker::Worker;

impl Dispatcher {
    /// Applies a worker's registry entry.
    pub fn worker_listed(&mut self, catalog: &mut Catalog, entry: &WorkerEntry) -> WorkerId {
        let id = self.worker_id(&entry.name);
        let listing = Listing {
            pool: catalog.pool_id(&entry.pool),
            data_centre: entry.data_centre.clone(),
            rack: entry.rack.clone(),
            capacity: entry.capacity,
            labels: entry.labels.clone(),
            is_draining: entry.is_draining,
            started_unix_ms: entry.started_unix_ms,
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listing = Some(listing);
        }
        self.activity_changes.insert(id);
        id
    }

    /// Applies the removal of a worker's registry entry. The tasks of the
    /// worker keep their placements until its leases have expired.
    pub fn worker_unlisted(&mut self, name: &str) -> Option<WorkerId> {
        let id = *self.worker_names.get(name)?;
        self.workers.get_mut(id)?.listing = None;
        self.activity_changes.insert(id);
        Some(id)
    }

    /// Id of the worker with this name. A new name gets an id.
    pub fn worker_id(&mut self, name: &str) -> WorkerId {
        if let Some(id) = self.worker_names.get(name) {
            return *id;
        }
        let id = self.workers.insert(Worker::new(name, LeaseTracker::inherited()));
        self.worker_names.insert(name.to_owned(), id);
        id
    }

    /// Name of a worker; empty if the id is unknown.
    pub fn worker_name(&self, id: WorkerId) -> &str {
        self.workers.get(id).map_or("", |worker| worker.name.as_str())
    }

    /// True if tasks are placed on a worker.
    pub fn has_tasks(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.tasks.is_empty())
    }

    /// Whether a worker has to be polled.
    pub fn activity(&self, id: WorkerId) -> WorkerActivity {
        match self.workers.get(id) {
            Some(worker) if !worker.tasks.is_empty() => WorkerActivity::Polled,
            Some(worker) if !worker.is_listing_current() => WorkerActivity::Polled,
            Some(worker) if worker.listing.is_some() && self.renewals.needs_answer_of(id) => {
                WorkerActivity::Polled
            }
            Some(worker) if worker.listing.is_some() => WorkerActivity::Idle,
            Some(_) | None => WorkerActivity::Departed,
        }
    }

    /// Takes the workers whose activity, or whether their leases may be
    /// renewed, may have changed since the last call.
    pub fn take_activity_changes(&mut self) -> BTreeSet<WorkerId> {
        std::mem::take(&mut self.activity_changes)
    }

    /// Takes a data centre out of service or puts it back into service.
    pub fn set_data_centre_out(&mut self, name: &str, is_out: bool) {
        match is_out {
            true => self.data_centres_out.insert(name.to_owned()),
            false => self.data_centres_out.remove(name),
        };
    }

    /// Cordons a worker, so that it gets no new tasks, or lifts the cordon.
    pub fn set_cordoned(&mut self, name: &str, is_cordoned: bool) {
        let id = self.worker_id(name);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_cordoned = is_cordoned;
        }
    }
}
