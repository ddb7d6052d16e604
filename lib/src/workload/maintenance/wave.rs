//! One maintenance wave: which of its VMs are drained, ordered and done.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::maintenance::WaveSpec;
use crate::workload::owner_record::WaveProgress;
use crate::workload::vm::VmAction;
use crate::workload::vm::VmEntry;
use crate::workload::vm::VmList;
use crate::workload::vm::VmOrder;
use crate::workload::vm::VmPlanInput;
use crate::workload::vm::VmState;
use crate::workload::vm_drain::DrainCost;
use crate::workload::vm_drain::drain_cost;

/// Tasks that are not long-running get this time to end before their VM is
/// taken down. Most run for less.
const DRAIN_TIMEOUT_MS: u64 = 2_500;
/// At most this many times the VMs that may be down are drained or down, so
/// that the next one can go down as soon as another is up again.
const DRAIN_AHEAD_FACTOR: u64 = 2;
/// An order without effect in the VM list for this time is repeated.
const ORDER_RETRY_MS: u64 = 4_000;
/// A VM that no list has shown for this time was removed. A single list may miss
/// a VM, because its pages are read one after the other.
const REMOVED_AFTER_MS: u64 = 2_000;

/// Time that the maintenance of one VM takes: until it is drained, while it is
/// down, and until the VM list shows it as up again.
const VM_MAINTENANCE_MS: u64 = 4_500;
/// Part of its deadline, in percent, in which a wave should complete, so that a
/// change of owners or a slow VM service does not make it late.
const TARGET_DURATION_PERCENT: u64 = 50;

/// A wave and its progress.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub(super) spec: WaveSpec,
    pub(super) requested_at: TimeMs,
    pub(super) maintained: BTreeSet<String>,
    /// VMs that the lists no longer show. A VM that is shown again is due again.
    pub(super) removed: BTreeSet<String>,
    /// When the first list was requested of those that miss a VM.
    pub(super) missing_since: BTreeMap<String, TimeMs>,
    /// VMs under maintenance as of the last list that shows them. A later list may
    /// miss a VM.
    pub(super) listed_down: BTreeSet<String>,
    pub(super) is_completed: bool,
    /// Whether the operator has withdrawn the wave, which then waits only for the
    /// outcome of its orders.
    pub(super) is_withdrawn: bool,
    pub(super) in_progress: BTreeMap<String, VmMaintenance>,
    pub(super) retry_at: BTreeMap<String, TimeMs>,
}

/// A VM that is being maintained.
#[derive(Clone, Debug)]
pub(super) struct VmMaintenance {
    pub(super) worker: Option<String>,
    pub(super) stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The VM's worker gets no new tasks until it is empty.
    Draining { since: TimeMs },
    /// The VM was ordered down for maintenance.
    Ordered {
        at: TimeMs,
        accepted_at: Option<TimeMs>,
        /// Whether the list has shown the VM under maintenance since the order,
        /// which may be the maintenance of another wave.
        is_under_way: bool,
        /// When the order is repeated if it has no answer until then.
        repeat_at: TimeMs,
        /// Whether an earlier order for the VM may still be carried out.
        is_repeated: bool,
    },
}

impl Wave {
    /// Forgets what was done before the wave was withdrawn. VMs with an order under
    /// way are ordered again.
    pub(super) fn start_anew(&mut self) {
        self.maintained.clear();
        for vm in self.in_progress.values_mut() {
            if let Stage::Ordered { accepted_at, .. } = &mut vm.stage {
                *accepted_at = None;
            }
        }
    }

    pub(super) fn progress(&self) -> WaveProgress {
        WaveProgress {
            maintained: self.maintained.iter().cloned().collect(),
            removed: self.removed.iter().cloned().collect(),
            completed: self.is_completed,
        }
    }

    /// Finds out which VMs are under maintenance, were removed, or are there again. A
    /// list without any VM is no evidence: the VM service may have lost its state.
    fn update_removed(
        &mut self,
        vms: &VmList,
        dispatcher: &mut Dispatcher,
        changed: &mut BTreeSet<u64>,
    ) {
        if vms.is_empty() {
            return;
        }
        let mut newly_removed = Vec::new();
        for vm in self.spec.vms.iter().chain(self.in_progress.keys()) {
            if let Some(entry) = vms.get(vm) {
                self.missing_since.remove(vm);
                match entry.state == VmState::Maintenance {
                    true => self.listed_down.insert(vm.clone()),
                    false => self.listed_down.remove(vm),
                };
                if self.removed.remove(vm) {
                    changed.insert(self.spec.wave);
                }
                continue;
            }
            let since = *self.missing_since.entry(vm.clone()).or_insert(vms.requested_at);
            let is_removed = vms.requested_at.since(since) >= REMOVED_AFTER_MS;
            if is_removed && self.removed.insert(vm.clone()) {
                newly_removed.push(vm.clone());
            }
        }
        for vm in newly_removed {
            self.listed_down.remove(&vm);
            self.stop_tracking(&vm, dispatcher);
            changed.insert(self.spec.wave);
        }
    }

    /// Ends the draining of VMs that are not up: they cannot be ordered down, and
    /// they may come back under the name of their worker. They are due again then.
    fn give_up_draining(&mut self, vms: &VmList, dispatcher: &mut Dispatcher) {
        let is_up = |vm: &str| vms.get(vm).is_some_and(|entry| entry.state == VmState::Up);
        let is_given_up = |(vm, in_progress): &(&String, &VmMaintenance)| {
            matches!(in_progress.stage, Stage::Draining { since } if vms.requested_at > since)
                && !is_up(vm)
        };
        let given_up = self.in_progress.iter().filter(is_given_up);
        for vm in given_up.map(|(vm, _)| vm.clone()).collect::<Vec<String>>() {
            self.stop_tracking(&vm, dispatcher);
        }
    }

    pub(super) fn apply_vm_list(
        &mut self,
        vms: &VmList,
        dispatcher: &mut Dispatcher,
        changed: &mut BTreeSet<u64>,
    ) {
        self.update_removed(vms, dispatcher, changed);
        self.give_up_draining(vms, dispatcher);
        let mut finished = Vec::new();
        for (vm, in_progress) in &mut self.in_progress {
            let Stage::Ordered { at, accepted_at, is_under_way, repeat_at, .. } =
                &mut in_progress.stage
            else {
                continue;
            };
            let Some(entry) = vms.get(vm).filter(|_| vms.requested_at > *at) else { continue };
            match entry.state {
                VmState::Maintenance => {
                    *is_under_way = true;
                    if let Some(worker) = &in_progress.worker {
                        dispatcher.vm_down_for_maintenance(worker);
                    }
                }
                // A VM may crash before its order has arrived.
                VmState::Down | VmState::Moving | VmState::Unknown => {}
                VmState::Up => {
                    // The order has no effect if a former owner has already had
                    // the VM maintained: the VM stays up.
                    let was_accepted = accepted_at.is_some_and(|at| vms.requested_at > at);
                    let is_ineffective = vms.requested_at.since(*at) >= ORDER_RETRY_MS;
                    if was_accepted || self.is_withdrawn && (*is_under_way || is_ineffective) {
                        finished.push(vm.clone());
                        continue;
                    }
                    // The VM service accepts a repeated order whose work is done.
                    if *is_under_way {
                        *repeat_at = vms.requested_at.min(*repeat_at);
                    }
                    // A VM without an answer to its order may have restarted.
                    in_progress.update_worker(Some(entry), dispatcher);
                }
            }
        }
        for vm in finished {
            // The worker was replaced, or goes on without the cordon.
            self.stop_tracking(&vm, dispatcher);
            self.maintained.insert(vm);
            changed.insert(self.spec.wave);
        }
    }

    /// Whether the present order for a VM was planned at a time.
    pub(super) fn is_ordered_at(&self, vm: &str, planned_at: TimeMs) -> bool {
        let stage = self.in_progress.get(vm).map(|in_progress| in_progress.stage);
        matches!(stage, Some(Stage::Ordered { at, .. }) if at == planned_at)
    }

    /// Handles the refusal of an order. It tells nothing about an earlier order for the
    /// VM: the VM may even be busy because of that.
    pub(super) fn order_refused(&mut self, next_at: TimeMs, vm: &str, dispatcher: &mut Dispatcher) {
        let stage = self.in_progress.get_mut(vm).map(|in_progress| &mut in_progress.stage);
        if let Some(Stage::Ordered { is_repeated: true, repeat_at, .. }) = stage {
            *repeat_at = next_at;
            return;
        }
        self.retry_at.insert(vm.to_owned(), next_at);
        self.stop_tracking(vm, dispatcher);
    }

    pub(super) fn stop_tracking(&mut self, vm: &str, dispatcher: &mut Dispatcher) {
        let Some(in_progress) = self.in_progress.remove(vm) else { return };
        if let Some(worker) = in_progress.worker {
            dispatcher.set_cordoned(&worker, false);
        }
    }

    /// Starts to drain further VMs as far as the wave allows, those with the
    /// lowest cost first.
    pub(super) fn start_draining(
        &mut self,
        now: TimeMs,
        vms: &VmList,
        excluded: &BTreeSet<String>,
        dispatcher: &mut Dispatcher,
    ) {
        let free_slots = self.max_in_progress(now, vms).saturating_sub(self.in_progress.len());
        let mut due: Vec<(DrainCost, &String)> = self
            .spec
            .vms
            .iter()
            .filter(|vm| !excluded.contains(*vm) && self.is_due(now, vm, vms))
            .map(|vm| (drain_cost(now, vm, vms, dispatcher), vm))
            .collect();
        due.sort();
        for (_, vm) in due.into_iter().take(free_slots) {
            let worker = vms.get(vm).and_then(|entry| entry.worker.clone());
            if let Some(worker) = &worker {
                dispatcher.set_cordoned(worker, true);
            }
            let stage = Stage::Draining { since: now };
            self.in_progress.insert(vm.clone(), VmMaintenance { worker, stage });
        }
    }

    /// Number of VMs that may be drained or down at once: as few as let the
    /// wave end in time, because each reduces the capacity of its pool.
    fn max_in_progress(&self, now: TimeMs, vms: &VmList) -> usize {
        let is_pending = |vm: &&String| !self.maintained.contains(*vm) && vms.get(vm).is_some();
        let pending = self.spec.vms.iter().filter(is_pending).count() as u64;
        let target_end =
            self.requested_at.plus(self.spec.deadline_ms / 100 * TARGET_DURATION_PERCENT);
        let max = u64::from(self.spec.max_down).saturating_mul(DRAIN_AHEAD_FACTOR);
        let needed = match target_end.since(now) {
            0 => max,
            time_ms => (pending * VM_MAINTENANCE_MS).div_ceil(time_ms),
        };
        usize::try_from(needed.clamp(1, max.max(1))).unwrap_or(usize::MAX)
    }

    fn is_due(&self, now: TimeMs, vm: &str, vms: &VmList) -> bool {
        let is_up = vms.get(vm).is_some_and(|entry| entry.state == VmState::Up);
        is_up
            && !self.maintained.contains(vm)
            && !self.in_progress.contains_key(vm)
            && self.retry_at.get(vm).is_none_or(|retry_at| now >= *retry_at)
    }

    /// Number of VMs of the wave that are down or may be.
    fn down_count(&self, vms: &VmList, maybe_ordered: &BTreeSet<String>) -> usize {
        let is_down = |vm: &&String| match self.in_progress.get(*vm).map(|vm| vm.stage) {
            Some(Stage::Ordered { .. }) => true,
            Some(Stage::Draining { .. }) | None => {
                let is_listed_down = vms.get(vm).map_or_else(
                    || self.listed_down.contains(*vm),
                    |entry| entry.state == VmState::Maintenance,
                );
                is_listed_down || maybe_ordered.contains(*vm) && !self.maintained.contains(*vm)
            }
        };
        self.spec.vms.iter().filter(is_down).count()
    }

    /// Orders VMs down that are drained or whose time to drain is over, as many
    /// as may be down, and repeats orders without effect.
    pub(super) fn order_drained(
        &mut self,
        now: TimeMs,
        input: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
        orders: &mut Vec<VmOrder>,
    ) {
        let VmPlanInput { vms, excluded, maybe_ordered, max_orders, may_stop_long_running } = input;
        let is_up = |vm: &str| vms.get(vm).is_some_and(|entry| entry.state == VmState::Up);
        let mut free_slots =
            (self.spec.max_down as usize).saturating_sub(self.down_count(vms, maybe_ordered));
        for (vm, in_progress) in &mut self.in_progress {
            let may_order = orders.len() < max_orders;
            let is_ready = match in_progress.stage {
                // The list may be older than the drain and miss the VM, which says
                // nothing about its worker.
                Stage::Draining { .. } if !is_up(vm) => false,
                Stage::Draining { since } => {
                    let timeout = since.plus(DRAIN_TIMEOUT_MS);
                    in_progress.update_worker(vms.get(vm), dispatcher);
                    let is_drained =
                        in_progress.drain(now >= timeout, may_stop_long_running, dispatcher);
                    let may_go_down = is_drained && may_order && free_slots > 0;
                    free_slots -= usize::from(may_go_down);
                    may_go_down
                }
                // The VM still counts as down, because the order may have been
                // carried out, but tasks may run on it again.
                Stage::Ordered { repeat_at, .. }
                    if now >= repeat_at && is_up(vm) && !excluded.contains(vm) =>
                {
                    let timeout = repeat_at.plus(DRAIN_TIMEOUT_MS);
                    in_progress.update_worker(vms.get(vm), dispatcher);
                    let is_drained =
                        in_progress.drain(now >= timeout, may_stop_long_running, dispatcher);
                    is_drained && may_order
                }
                Stage::Ordered { .. } => false,
            };
            if is_ready {
                in_progress.stage = Stage::Ordered {
                    at: now,
                    accepted_at: None,
                    is_under_way: false,
                    repeat_at: now.plus(ORDER_RETRY_MS),
                    is_repeated: matches!(in_progress.stage, Stage::Ordered { .. }),
                };
                let action = VmAction::Maintain { wave: self.spec.wave };
                orders.push(VmOrder { vm: vm.clone(), action });
            }
        }
    }

    /// True if every VM was maintained or removed.
    pub(super) fn is_finished(&self) -> bool {
        let is_settled = |vm: &String| self.maintained.contains(vm) || self.removed.contains(vm);
        self.in_progress.is_empty() && self.spec.vms.iter().all(is_settled)
    }
}

impl VmMaintenance {
    /// Drains the VM. Returns true once it may go down.
    fn drain(
        &self,
        is_timed_out: bool,
        may_stop_long_running: bool,
        dispatcher: &mut Dispatcher,
    ) -> bool {
        self.worker.as_deref().is_none_or(|worker| {
            dispatcher.drain_for_maintenance(worker, is_timed_out, may_stop_long_running)
        })
    }

    /// Applies the present worker of the VM, which may have been restarted.
    fn update_worker(&mut self, entry: Option<&VmEntry>, dispatcher: &mut Dispatcher) {
        let present = entry.and_then(|entry| entry.worker.clone());
        if present == self.worker {
            return;
        }
        if let Some(worker) = &present {
            dispatcher.set_cordoned(worker, true);
        }
        self.worker = present;
    }
}
