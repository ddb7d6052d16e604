//! State of the VM list: VMs, what the list shows of them, and reboots.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cowslipport_lib::record::VmJoined;
use cowslipport_lib::time::TimeMs;

/// What the platform does.
#[derive(Clone, Copy, Debug)]
pub struct InventorySettings {
    /// Time by which the list is late.
    pub lag_ms: u64,
    /// Time that a reboot takes.
    pub reboot_ms: u64,
    /// True if a VM stays on the list while it reboots.
    pub lists_rebooting: bool,
}

impl Default for InventorySettings {
    fn default() -> Self {
        Self { lag_ms: 2000, reboot_ms: 3000, lists_rebooting: true }
    }
}

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmListFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Time by which every call takes effect later.
    pub delay_ms: u64,
    /// Number of following reboots after which the VM never comes back.
    pub failed_reboots: u32,
    /// Number of following reboots whose reply is lost.
    pub lost_reboot_replies: u32,
}

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// What is known of it.
    pub vm: VmJoined,
    /// True if it is about to leave.
    pub leaving: bool,
}

/// Why a reboot is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RebootError {
    /// There is no such VM.
    #[error("VM {0} does not exist")]
    UnknownVm(String),
    /// The token was used for another VM.
    #[error("the token was used for VM {0}")]
    TokenReused(String),
}

/// What a reboot request did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootOutcome {
    /// The VM goes away.
    Started,
    /// The token was seen before, and nothing happens.
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
    Rebooting { back_at: TimeMs },
    Off,
}

/// A change that the list shows later.
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
    shown: BTreeMap<String, ListedVm>,
    pending: VecDeque<Publication>,
    tokens: BTreeMap<String, String>,
    reboots: u64,
}

impl VmInventory {
    /// An inventory without VMs.
    pub fn new(settings: InventorySettings) -> Self {
        Self {
            settings,
            faults: VmListFaults::default(),
            vms: BTreeMap::new(),
            shown: BTreeMap::new(),
            pending: VecDeque::new(),
            tokens: BTreeMap::new(),
            reboots: 0,
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: VmListFaults) {
        self.faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> VmListFaults {
        self.faults
    }

    /// Takes note of one lost reply. True if the reply to a reboot is lost.
    pub fn take_lost_reboot_reply(&mut self) -> bool {
        let lost = self.faults.lost_reboot_replies > 0;
        self.faults.lost_reboot_replies = self.faults.lost_reboot_replies.saturating_sub(1);
        lost
    }

    /// Reboots that were begun.
    pub fn reboots(&self) -> u64 {
        self.reboots
    }

    /// Adds a VM, or replaces one of the same name.
    pub fn add(&mut self, now: TimeMs, vm: VmJoined) {
        let name = vm.name.clone();
        let listed = ListedVm { vm, leaving: false };
        self.vms.insert(name.clone(), Entry { listed, power: Power::Up });
        self.publish(now, &name);
    }

    /// Removes a VM. False if there is none of this name.
    pub fn remove(&mut self, now: TimeMs, name: &str) -> bool {
        let removed = self.vms.remove(name).is_some();
        if removed {
            self.publish(now, name);
        }
        removed
    }

    /// Marks a VM as leaving, or takes the mark away. False if there is none
    /// of this name.
    pub fn set_leaving(&mut self, now: TimeMs, name: &str, leaving: bool) -> bool {
        let Some(entry) = self.vms.get_mut(name) else { return false };
        entry.listed.leaving = leaving;
        self.publish(now, name);
        true
    }

    /// The list as it is shown at a time.
    pub fn list(&mut self, now: TimeMs) -> Vec<ListedVm> {
        while let Some(publication) = self.pending.pop_front_if(|pending| pending.at <= now) {
            match publication.listed {
                Some(listed) => drop(self.shown.insert(publication.name, listed)),
                None => drop(self.shown.remove(&publication.name)),
            }
        }
        self.shown.values().cloned().collect()
    }

    /// Reboots a VM. A token takes effect once.
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
            Power::Rebooting { back_at: now.plus(self.settings.reboot_ms) }
        };
        self.publish(now, name);
        Ok(RebootOutcome::Started)
    }

    /// When the next VM comes back, if any does.
    pub fn next_event(&self) -> Option<TimeMs> {
        self.vms.values().filter_map(|entry| back_at(entry.power)).min()
    }

    /// Brings back the VMs whose reboot ends until `now`, and names them.
    pub fn advance(&mut self, now: TimeMs) -> Vec<String> {
        let mut back = Vec::new();
        for (name, entry) in &mut self.vms {
            if back_at(entry.power).is_some_and(|at| at <= now) {
                entry.power = Power::Up;
                back.push(name.clone());
            }
        }
        for name in &back {
            self.publish(now, name);
        }
        back
    }

    fn publish(&mut self, now: TimeMs, name: &str) {
        let visible = |entry: &&Entry| entry.power == Power::Up || self.settings.lists_rebooting;
        let listed = self.vms.get(name).filter(visible).map(|entry| entry.listed.clone());
        let at = now.plus(self.settings.lag_ms);
        self.pending.push_back(Publication { at, name: name.to_owned(), listed });
    }
}

fn back_at(power: Power) -> Option<TimeMs> {
    match power {
        Power::Rebooting { back_at } => Some(back_at),
        Power::Up | Power::Off => None,
    }
}
