//! Owners that are cut off from the store and go on without it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::dispatcher::Dispatcher;
use cowslipport_lib::workload::report::LeaseGrant;

use super::Fleet;
use super::LEASE_MS;

/// An owner without the store, which still polls the workers that it reaches.
pub(crate) struct CutOffOwner {
    owner: Dispatcher,
    epoch: u64,
    /// When the store last confirmed its ownership.
    confirmed_at: TimeMs,
    pub(crate) reached: BTreeSet<String>,
    clock_origins: BTreeMap<String, u64>,
}

impl CutOffOwner {
    /// Until when the owner renews leases, as far as it knows now.
    pub(crate) fn renewable_until(&self) -> u64 {
        self.owner.renewable_until(self.confirmed_at).0
    }
}

impl Fleet {
    /// Cuts the owner off from the store and from all workers but these. The fleet has
    /// no owner until it is replaced.
    pub(crate) fn cut_owner_off(&mut self, reached: BTreeSet<String>) {
        let mut owner = self.owner.take().expect("an owner");
        owner.set_confirmed(false);
        self.in_flight = None;
        self.cut_off.push(CutOffOwner {
            owner,
            epoch: self.epoch,
            confirmed_at: self.time(),
            reached,
            clock_origins: std::mem::take(&mut self.clock_origins),
        });
    }

    /// Lets the owners without the store poll their workers. One that a worker refuses
    /// gives up.
    pub(crate) fn advance_cut_off_owners(&mut self) {
        let mut owners = std::mem::take(&mut self.cut_off);
        owners.retain_mut(|cut_off| !self.is_refused(cut_off));
        self.cut_off = owners;
    }

    fn is_refused(&mut self, cut_off: &mut CutOffOwner) -> bool {
        let (now, now_ms) = (self.time(), self.now);
        for name in &cut_off.reached {
            let worker = self.workers.get_mut(name).expect("the worker exists");
            if !worker.is_up {
                continue;
            }
            if cut_off.epoch < worker.highest_epoch {
                return true;
            }
            worker.highest_epoch = cut_off.epoch;
            let id = cut_off.owner.worker_id(name);
            let may_renew = now < cut_off.owner.renewable_until(cut_off.confirmed_at)
                && cut_off.owner.may_renew_leases(id);
            let origin = cut_off.clock_origins.insert(name.clone(), worker.started_at);
            let lease = match origin.filter(|origin| may_renew && *origin == worker.started_at) {
                Some(origin) => worker.renew(now_ms, now_ms - origin + LEASE_MS),
                None => LeaseGrant::None,
            };
            let report = worker.report(now, lease);
            cut_off.owner.worker_reported(now, id, &report);
            // Without the store, nothing is started and no end is acknowledged.
            cut_off.owner.take_orders();
        }
        false
    }
}
