//! Maintenance waves: which VM is drained next, and when it is taken down.

mod inherited;
mod wave;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::maintenance::wave::Stage;
use crate::workload::maintenance::wave::VmMaintenance;
use crate::workload::maintenance::wave::Wave;
use crate::workload::owner_record::OpenMaintenance;
use crate::workload::owner_record::WaveProgress;
use crate::workload::vm::VmList;
use crate::workload::vm::VmOrder;
use crate::workload::vm::VmOrderAnswer;
use crate::workload::vm::VmPlanInput;

/// A VM that the VM service reported as busy is retried after this time.
const BUSY_BACKOFF_MS: u64 = 1_000;

/// A maintenance wave as the operator requests it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub wave: u64,
    /// VMs to be maintained.
    pub vms: Vec<String>,
    /// Time in which all VMs should be maintained.
    pub deadline_ms: u64,
    /// Maximum number of VMs that are down at the same time.
    pub max_down: u32,
}

/// Schedules the maintenance of VMs in waves.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceScheduler {
    waves: BTreeMap<u64, Wave>,
    changed: BTreeSet<u64>,
    /// Orders of former owners for waves that are not known yet, with the time at
    /// which they were inherited.
    inherited: Vec<(TimeMs, OpenMaintenance)>,
}

impl MaintenanceScheduler {
    /// Applies a requested or changed wave.
    pub fn wave_requested(&mut self, requested_at: TimeMs, spec: WaveSpec) {
        let wave = self.waves.entry(spec.wave).or_insert_with(|| Wave {
            spec: spec.clone(),
            requested_at,
            maintained: BTreeSet::new(),
            removed: BTreeSet::new(),
            missing_since: BTreeMap::new(),
            listed_down: BTreeSet::new(),
            is_completed: false,
            is_withdrawn: false,
            in_progress: BTreeMap::new(),
            retry_at: BTreeMap::new(),
        });
        wave.spec = spec;
        if std::mem::take(&mut wave.is_withdrawn) {
            wave.start_anew();
        }
        wave.is_completed &= wave.is_finished();
        self.changed.insert(wave.spec.wave);
        self.apply_inherited();
    }

    /// Whether the operator requests the wave, or the outcome of its orders is
    /// awaited.
    pub fn has_wave(&self, number: u64) -> bool {
        self.waves.contains_key(&number)
    }

    /// Has the progress of a wave deleted that was withdrawn under a former owner.
    pub fn forget_progress(&mut self, number: u64) {
        self.changed.insert(number);
    }

    /// Applies the progress of a wave that a former owner recorded.
    pub fn wave_restored(&mut self, number: u64, progress: &WaveProgress) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        wave.maintained.extend(progress.maintained.iter().cloned());
        wave.removed.extend(progress.removed.iter().cloned());
        wave.drop_settled_orders();
        // The operator may have added VMs since.
        wave.is_completed |= progress.completed && wave.is_finished();
    }

    /// Ends a wave that the operator has withdrawn. VMs that were only drained get
    /// tasks again; those that were ordered down follow once the outcome is known.
    pub fn wave_withdrawn(&mut self, number: u64, dispatcher: &mut Dispatcher) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        wave.is_withdrawn = true;
        let is_draining = |vm: &VmMaintenance| matches!(vm.stage, Stage::Draining { .. });
        let draining = wave.in_progress.iter().filter(|(_, vm)| is_draining(vm));
        for vm in draining.map(|(vm, _)| vm.clone()).collect::<Vec<String>>() {
            wave.stop_tracking(&vm, dispatcher);
        }
        self.changed.insert(number);
        self.forget_withdrawn();
    }

    /// Forgets withdrawn waves without an order whose outcome is unknown.
    fn forget_withdrawn(&mut self) {
        self.waves.retain(|_, wave| !wave.is_withdrawn || !wave.in_progress.is_empty());
    }

    /// VMs that are drained or down for maintenance.
    pub fn vms_under_maintenance(&self) -> BTreeSet<String> {
        self.waves.values().flat_map(|wave| wave.in_progress.keys().cloned()).collect()
    }

    /// Applies the list of VMs.
    pub fn vms_listed(&mut self, vms: &VmList, dispatcher: &mut Dispatcher) {
        for wave in self.waves.values_mut() {
            wave.apply_vm_list(vms, dispatcher, &mut self.changed);
        }
        self.forget_withdrawn();
    }

    /// Handles the answer to the order that was planned at `planned_at`. A refusal of
    /// an earlier order than the present one tells nothing about that.
    pub fn order_answered(
        &mut self,
        now: TimeMs,
        planned_at: TimeMs,
        vm: &str,
        number: u64,
        answer: VmOrderAnswer,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(wave) = self.waves.get_mut(&number) else { return };
        match answer {
            VmOrderAnswer::Accepted => {
                let stage = wave.in_progress.get_mut(vm).map(|in_progress| &mut in_progress.stage);
                if let Some(Stage::Ordered { accepted_at, .. }) = stage {
                    *accepted_at = Some(now);
                }
            }
            VmOrderAnswer::Unknown | VmOrderAnswer::EpochTooLow => {}
            VmOrderAnswer::NotDue => {
                wave.maintained.insert(vm.to_owned());
                wave.stop_tracking(vm, dispatcher);
                self.changed.insert(number);
            }
            VmOrderAnswer::Busy | VmOrderAnswer::Refused => {
                if wave.is_ordered_at(vm, planned_at) {
                    wave.order_refused(now.plus(BUSY_BACKOFF_MS), vm, dispatcher);
                }
            }
        }
    }

    /// Orders VMs down for maintenance, and stops the long-running tasks of VMs
    /// to be drained as far as their steps allow.
    pub fn plan_maintenance(
        &mut self,
        now: TimeMs,
        input: VmPlanInput<'_>,
        dispatcher: &mut Dispatcher,
    ) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        // A VM in several waves is maintained for one after the other.
        let mut excluded = input.excluded.clone();
        excluded.extend(self.vms_under_maintenance());
        for wave in self.waves.values_mut().filter(|wave| !wave.is_withdrawn) {
            if wave.is_completed && wave.is_finished() {
                continue;
            }
            wave.start_draining(now, input.vms, &excluded, dispatcher);
            excluded.extend(wave.in_progress.keys().cloned());
            wave.order_drained(now, input, dispatcher, &mut orders);
            let is_finished = wave.is_finished();
            if is_finished != wave.is_completed {
                wave.is_completed = is_finished;
                self.changed.insert(wave.spec.wave);
            }
        }
        orders
    }

    /// Takes the progress of waves that changed since the last call; none for a wave
    /// that was withdrawn, whose progress must not count if it is requested again.
    pub fn take_changed(&mut self) -> Vec<(u64, Option<WaveProgress>)> {
        let changed = std::mem::take(&mut self.changed);
        let records = changed.into_iter().map(|number| {
            let wave = self.waves.get(&number).filter(|wave| !wave.is_withdrawn);
            (number, wave.map(Wave::progress))
        });
        records.collect()
    }
}
