//! Orders of former owners whose outcome is not known. Their successor treats them as
//! orders of its own without an answer: the VMs count as down, and the orders are
//! repeated until one is accepted. An order without an answer may be carried out at
//! any later time, so no time settles it.

use crate::time::TimeMs;
use crate::workload::maintenance::MaintenanceScheduler;
use crate::workload::maintenance::wave::Stage;
use crate::workload::maintenance::wave::VmMaintenance;
use crate::workload::maintenance::wave::Wave;
use crate::workload::owner_record::OpenMaintenance;

impl MaintenanceScheduler {
    /// The orders whose outcome is not known, for the record that a successor reads.
    pub fn open_orders(&self) -> Vec<OpenMaintenance> {
        let mut open = Vec::new();
        for (number, wave) in &self.waves {
            for (vm, in_progress) in &wave.in_progress {
                if matches!(in_progress.stage, Stage::Ordered { .. }) {
                    open.push(OpenMaintenance { vm: vm.clone(), wave: *number });
                }
            }
        }
        open
    }

    /// Applies the orders that former owners have recorded.
    pub fn orders_inherited(&mut self, now: TimeMs, orders: Vec<OpenMaintenance>) {
        self.inherited.extend(orders.into_iter().map(|order| (now, order)));
        self.apply_inherited();
    }

    /// Applies the inherited orders for the waves that are known by now.
    pub(super) fn apply_inherited(&mut self) {
        for (at, order) in std::mem::take(&mut self.inherited) {
            match self.waves.get_mut(&order.wave) {
                Some(wave) => wave.order_inherited(at, order.vm),
                None => self.inherited.push((at, order)),
            }
        }
    }
}

impl Wave {
    fn order_inherited(&mut self, at: TimeMs, vm: String) {
        let stage = Stage::Ordered {
            at,
            accepted_at: None,
            is_under_way: false,
            repeat_at: at,
            is_repeated: true,
        };
        // The list tells which worker is on the VM.
        self.in_progress.entry(vm).or_insert(VmMaintenance { worker: None, stage });
        self.drop_settled_orders();
    }

    /// Drops inherited orders whose outcome a former owner has recorded since.
    pub(super) fn drop_settled_orders(&mut self) {
        let (maintained, removed) = (&self.maintained, &self.removed);
        self.in_progress.retain(|vm, _| !maintained.contains(vm) && !removed.contains(vm));
    }
}
