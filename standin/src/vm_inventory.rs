//! State of the VM list: VMs, their published entries, and reboots.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::record::VmJoined;
use cowslipport_lib::time::TimeMs;

/// Settings of the VM list.
#[derive(Clone, Copy, Debug)]
pub struct InventorySettings {
    /// Delay until a change appears in the list.
    pub lag_ms: u64,
    /// Duration of a reboot.
    pub reboot_ms: u64,
    /// True if a VM stays on the list while it reboots.
    pub lists_rebooting: bool,
}

impl Default for InventorySettings {
    fn default() -> Self {
        Self { lag_ms: 2000, reboot_ms: 3000, lists_rebooting: true }
    }
}

/// Faults that a test injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmListFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Time by which every call is delayed before it takes effect.
    pub delay_ms: u64,
    /// Number of next reboots after which the VM stays off.
    pub failed_reboots: u32,
    /// Number of next reboots that take effect but whose reply is lost.
    pub lost_reboot_replies: u32,
}

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Description of the VM.
    pub vm: VmJoined,
    /// True if the VM is about to leave the fleet.
    pub leaving: bool,
}

/// Why a reboot was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RebootError {
    /// There is no VM of this name.
    #[error("VM {0} does not exist")]
    UnknownVm(String),
    /// The token was used before for this other VM.
    #[error("the token was used for VM {0}")]
    TokenReused(String),
}

/// Effect of a reboot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootOutcome {
    /// The reboot started.
    Started,
    /// The token was used before, so the request has no further effect.
    Repeated,
}

#[derive(Clone, Debug)]
struct Entry {
    listed: ListedVm,
    power: Power,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Power {
    Up,
    Rebooting { ends_at: TimeMs },
    Off,
}

/// A change that is not yet in the published list.
#[derive(Debug)]
struct Publication {
    at: TimeMs,
    name: String,
    listed: Option<ListedVm>,
}

/// All VMs of the platform.
#[derive(Debug)]
pub struct VmInventory {
    settings: InventorySettings,
    faults: VmListFaults,
    vms: BTreeMap<String, Entry>,
    published: BTreeMap<String, ListedVm>,
    pending: VecDeque<Publication>,
    tokens: BTreeMap<String, String>,
    reboots: u64,
}

impl VmInventory {
    /// Creates an inventory without VMs.
    pub fn new(settings: InventorySettings) -> Self {
        Self {
            settings,
            faults: VmListFaults::default(),
            vms: BTreeMap::new(),
            published: BTreeMap::new(),
            pending: VecDeque::new(),
            tokens: BTreeMap::new(),
            reboots: 0,
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: VmListFaults) {
        self.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> VmListFaults {
        self.faults
    }

    /// Counts down the lost replies. Returns true if the reply to the present
    /// reboot is to be lost.
    pub fn take_lost_reboot_reply(&mut self) -> bool {
        let lost = self.faults.lost_reboot_replies > 0;
        self.faults.lost_reboot_replies = self.faults.lost_reboot_replies.saturating_sub(1);
        lost
    }

    /// Returns the number of reboots that were started.
    pub fn reboots(&self) -> u64 {
        self.reboots
    }

    /// Adds a VM or replaces the one of the same name.
    pub fn add(&mut self, now: TimeMs, vm: VmJoined) {
        let name = vm.name.clone();
        let listed = ListedVm { vm, leaving: false };
        self.vms.insert(name.clone(), Entry { listed, power: Power::Up });
        self.publish(now, &name);
    }

    /// Removes a VM. Returns false if there is none of this name.
    pub fn remove(&mut self, now: TimeMs, name: &str) -> bool {
        let removed = self.vms.remove(name).is_some();
        if removed {
            self.publish(now, name);
        }
        removed
    }

    /// Sets or clears the mark of a VM as leaving. Returns false if there is no
    /// VM of this name.
    pub fn set_leaving(&mut self, now: TimeMs, name: &str, leaving: bool) -> bool {
        let Some(entry) = self.vms.get_mut(name) else { return false };
        entry.listed.leaving = leaving;
        self.publish(now, name);
        true
    }

    /// Returns the list as published at `now`.
    pub fn list(&mut self, now: TimeMs) -> Vec<ListedVm> {
        while let Some(publication) = self.pending.pop_front_if(|pending| pending.at <= now) {
            match publication.listed {
                Some(listed) => drop(self.published.insert(publication.name, listed)),
                None => drop(self.published.remove(&publication.name)),
            }
        }
        self.published.values().cloned().collect()
    }

    /// Starts a reboot of a VM. Each token takes effect only once.
    pub fn reboot(
        &mut self,
        now: TimeMs,
        name: &str,
        token: &str,
    ) -> Result<RebootOutcome, RebootError> {
        if let Some(known) = self.tokens.get(token) {
            return if known == name {
                Ok(RebootOutcome::Repeated)
            } else {
                Err(RebootError::TokenReused(known.clone()))
            };
        }
        let entry =
            self.vms.get_mut(name).ok_or_else(|| RebootError::UnknownVm(name.to_owned()))?;
        self.tokens.insert(token.to_owned(), name.to_owned());
        self.reboots += 1;
        entry.power = if self.faults.failed_reboots > 0 {
            self.faults.failed_reboots -= 1;
            Power::Off
        } else {
            Power::Rebooting { ends_at: now.plus(self.settings.reboot_ms) }
        };
        self.publish(now, name);
        Ok(RebootOutcome::Started)
    }

    /// Returns the time at which the next reboot ends, or `None` if no VM
    /// reboots.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.vms.values().filter_map(|entry| reboot_end(entry.power)).min()
    }

    /// Marks the VMs whose reboot has ended by `now` as up, and returns their
    /// names.
    pub fn advance(&mut self, now: TimeMs) -> Vec<String> {
        let mut restarted = Vec::new();
        for (name, entry) in &mut self.vms {
            if reboot_end(entry.power).is_some_and(|at| at <= now) {
                entry.power = Power::Up;
                restarted.push(name.clone());
            }
        }
        for name in &restarted {
            self.publish(now, name);
        }
        restarted
    }

    fn publish(&mut self, now: TimeMs, name: &str) {
        let visible = |entry: &&Entry| entry.power == Power::Up || self.settings.lists_rebooting;
        let listed = self.vms.get(name).filter(visible).map(|entry| entry.listed.clone());
        let at = now.plus(self.settings.lag_ms);
        self.pending.push_back(Publication { at, name: name.to_owned(), listed });
    }
}

fn reboot_end(power: Power) -> Option<TimeMs> {
    match power {
        Power::Rebooting { ends_at } => Some(ends_at),
        Power::Up | Power::Off => None,
    }
}
