//! VMs as the platform lists them, and orders for VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::resources::Resources;
use crate::time::TimeMs;

/// A VM in the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// Pool that the VM is in.
    pub pool: String,
    /// State of the VM.
    pub state: VmState,
    /// Name of the worker on the VM, if one is up.
    pub worker: Option<String>,
    /// Data centre that the VM is in; empty if unknown.
    pub data_centre: String,
    /// Rack that the VM is in, if known.
    pub rack: Option<String>,
    /// Total resources of the VM.
    pub capacity: Resources,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// The VM is up.
    Up,
    /// The VM is moving to another pool.
    Moving,
    /// The VM is down for maintenance.
    Maintenance,
    /// The VM is down for another reason.
    Down,
    /// The platform reported a state that this version does not know. The VM
    /// gets no orders.
    Unknown,
}

/// The VM service's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmOrderAnswer {
    /// The order is being carried out, or has been.
    Accepted,
    /// The VM is not up, or is leaving.
    Busy,
    /// The VM is not part of the wave.
    NotDue,
    /// The service has seen an order with a higher epoch.
    EpochTooLow,
    /// The order was not carried out and may be repeated.
    Refused,
    /// The order may have been carried out.
    Unknown,
}

/// The list of VMs.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// When the list was requested. It contains all changes up to then.
    pub requested_at: TimeMs,
    entries: BTreeMap<String, VmEntry>,
}

impl VmList {
    /// The list that was requested at `requested_at`.
    pub fn new(requested_at: TimeMs, vms: Vec<VmEntry>) -> Self {
        let entries = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        Self { requested_at, entries }
    }

    /// The entry of a VM.
    pub fn get(&self, vm: &str) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    /// Whether the list shows no VM at all.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All VMs, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &VmEntry> {
        self.entries.values()
    }
}

/// Input of a decision on orders for VMs.
#[derive(Clone, Copy, Debug)]
pub struct VmPlanInput<'a> {
    /// The list of VMs.
    pub vms: &'a VmList,
    /// VMs that must not be ordered, because other orders for them may be under
    /// way.
    pub excluded: &'a BTreeSet<String>,
    /// VMs that former owners may have ordered lately. The list may not show what
    /// became of these orders yet.
    pub maybe_ordered: &'a BTreeSet<String>,
    /// Maximum number of orders.
    pub max_orders: usize,
    /// Whether long-running tasks may be stopped. A new owner must not at
    /// first, because tasks that the previous owner is stopping still count as
    /// available.
    pub may_stop_long_running: bool,
}

/// An order for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOrder {
    /// The VM.
    pub vm: String,
    /// The requested action.
    pub action: VmAction,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmAction {
    /// Take the VM down for maintenance.
    Maintain {
        /// The wave that the VM is part of.
        wave: u64,
    },
    /// Move the VM to another pool.
    MoveTo {
        /// Name of the pool.
        pool: String,
    },
}
