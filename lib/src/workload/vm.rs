//! VMs as the platform lists them, and orders for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::resources::Resources;
use crate::time::TimeMs;

/// A VM as the list of VMs shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// Pool that it is in.
    pub pool: String,
    /// What it does.
    pub state: VmState,
    /// Name of the worker on it, if one is up.
    pub worker: Option<String>,
    /// Data centre that it is in; empty if unknown.
    pub data_centre: String,
    /// Rack that it is in, if known.
    pub rack: Option<String>,
    /// All that it has.
    pub capacity: Resources,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// It is up.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// What the service answered to an order for a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmOrderAnswer {
    /// It is carried out, or was before.
    Accepted,
    /// The VM is not up, or is leaving.
    Busy,
    /// The VM is not part of the wave, or does not exist.
    NotDue,
    /// Another holder of a higher epoch gives orders.
    EpochTooLow,
    /// Nothing was done; it may be asked again.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// The list of VMs.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// When the list was asked for: nothing older is missing.
    pub requested_at: TimeMs,
    entries: BTreeMap<String, VmEntry>,
}

impl VmList {
    /// The list that was asked for at `requested_at`.
    pub fn new(requested_at: TimeMs, vms: Vec<VmEntry>) -> Self {
        let entries = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        Self { requested_at, entries }
    }

    /// The entry of a VM.
    pub fn get(&self, vm: &str) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    /// All VMs in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }
}

/// What orders for VMs are decided with.
#[derive(Clone, Copy, Debug)]
pub struct VmPlanInput<'a> {
    /// The list of VMs.
    pub vms: &'a VmList,
    /// VMs that are ordered for another reason.
    pub excluded: &'a BTreeSet<String>,
    /// Most orders that may be given.
    pub max_orders: usize,
    /// Lasting tasks may be stopped. Stops of the owner before may still be
    /// under way at first: what they end would count as at work.
    pub may_stop_long_running: bool,
}

/// An order for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOrder {
    /// The VM.
    pub vm: String,
    /// What is to be done.
    pub action: VmAction,
}

/// What is to be done with a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmAction {
    /// Take it down for maintenance.
    Maintain {
        /// The wave that it is part of.
        wave: u64,
    },
    /// Move it to another pool.
    MoveTo {
        /// Name of the pool.
        pool: String,
    },
}
