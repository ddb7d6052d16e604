//! Handover of VM orders between owners, which keeps the orders of two owners
//! for one VM apart in time.
//!
//! An owner stores which VMs it is about to order. Its successor does not order
//! these VMs for a while, and may order all others immediately.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;

/// VMs that were ordered recently.
#[derive(Clone, Debug)]
pub struct VmHandover {
    separation_ms: u64,
    delay_max_ms: u64,
    /// VMs that former owners ordered, and when this owner learned of it.
    /// Former owners may have given orders until this owner fenced them.
    inherited: BTreeMap<String, TimeMs>,
    /// VMs that this owner ordered, and when.
    own: BTreeMap<String, TimeMs>,
}

impl VmHandover {
    /// The state of an owner that has ordered nothing. Orders of two owners for
    /// one VM are at least `separation_ms` apart. An order is sent at most
    /// `delay_max_ms` after it is recorded.
    pub fn new(separation_ms: u64, delay_max_ms: u64) -> Self {
        Self { separation_ms, delay_max_ms, inherited: BTreeMap::new(), own: BTreeMap::new() }
    }

    /// Minimum time between the orders of two owners for one VM.
    pub fn separation_ms(&self) -> u64 {
        self.separation_ms
    }

    /// Applies the VMs that the previous owner has stored.
    pub fn inherit(&mut self, now: TimeMs, vms: Vec<String>) {
        self.inherited.extend(vms.into_iter().map(|vm| (vm, now)));
    }

    /// VMs that this owner must not order yet, because former owners may have
    /// ordered them recently.
    pub fn reserved_vms(&mut self, now: TimeMs) -> BTreeSet<String> {
        self.remove_expired(now);
        self.inherited.keys().cloned().collect()
    }

    /// Records orders of this owner, and returns all VMs that a successor must
    /// not order for a while.
    pub fn record_orders<I>(&mut self, now: TimeMs, vms: I) -> Vec<String>
    where
        I: IntoIterator<Item = String>,
    {
        self.own.extend(vms.into_iter().map(|vm| (vm, now)));
        self.remove_expired(now);
        let all: BTreeSet<&String> = self.inherited.keys().chain(self.own.keys()).collect();
        all.into_iter().cloned().collect()
    }

    fn remove_expired(&mut self, now: TimeMs) {
        let separation_ms = self.separation_ms;
        let own_ms = separation_ms + self.delay_max_ms;
        self.inherited.retain(|_, at| now.since(*at) < separation_ms);
        self.own.retain(|_, at| now.since(*at) < own_ms);
    }
}
