//! Keeps orders for one VM by two owners apart in time.
//!
//! An owner stores which VMs it orders before it does. Its successor leaves
//! these alone for a while, and may order all others at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;

/// VMs that were ordered lately.
#[derive(Clone, Debug)]
pub struct VmHandover {
    separation_ms: u64,
    /// By owners before this one, and when this one learned of it: they may
    /// have given their last orders until it fenced them.
    before: BTreeMap<String, TimeMs>,
    /// By this owner.
    own: BTreeMap<String, TimeMs>,
}

impl VmHandover {
    /// An owner that has ordered nothing. Orders of two owners for one VM are
    /// `separation_ms` apart.
    pub fn new(separation_ms: u64) -> Self {
        Self { separation_ms, before: BTreeMap::new(), own: BTreeMap::new() }
    }

    /// Time between orders of two owners.
    pub fn separation_ms(&self) -> u64 {
        self.separation_ms
    }

    /// Takes over what the owner before has stored.
    pub fn inherit(&mut self, now: TimeMs, vms: Vec<String>) {
        self.before.extend(vms.into_iter().map(|vm| (vm, now)));
    }

    /// VMs that an owner before may have ordered just now.
    pub fn reserved_vms(&mut self, now: TimeMs) -> BTreeSet<String> {
        self.forget_old(now);
        self.before.keys().cloned().collect()
    }

    /// Takes note of orders and returns all VMs that a successor is to leave
    /// alone.
    pub fn record_orders<I>(&mut self, now: TimeMs, vms: I) -> Vec<String>
    where
        I: IntoIterator<Item = String>,
    {
        self.own.extend(vms.into_iter().map(|vm| (vm, now)));
        self.forget_old(now);
        let all: BTreeSet<&String> = self.before.keys().chain(self.own.keys()).collect();
        all.into_iter().cloned().collect()
    }

    fn forget_old(&mut self, now: TimeMs) {
        let separation_ms = self.separation_ms;
        self.before.retain(|_, at| now.since(*at) < separation_ms);
        self.own.retain(|_, at| now.since(*at) < separation_ms);
    }
}
