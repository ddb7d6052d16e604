//! How an owner reads and orders VMs.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::record::RecordKey;
use cowslipport_lib::workload::vm::VmAction;
use cowslipport_lib::workload::vm::VmOrder;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmPlanInput;
use slog::info;
use slog::warn;

use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::vm_task::ReadList;

/// Time between two reads of the list of VMs.
const VM_LIST_INTERVAL_MS: u64 = 400;
/// Time between two decisions on VMs. Under load the owner settles hundreds of
/// times a second, far more often than what pools need changes.
const VM_DECISION_INTERVAL_MS: u64 = 50;
/// No VM is ordered with an older list.
const VM_LIST_AGE_MAX_MS: u64 = 1_500;

impl<P> Owner<P>
where
    P: Platform,
{
    /// Reads the list of VMs, and orders VMs: for maintenance, and to the pools
    /// that need them.
    pub(crate) fn order_vms(&mut self, view: &mut OwnerView<'_>) {
        if !view.is_certain {
            return;
        }
        let is_old =
            self.vm_asked_at.is_none_or(|asked_at| view.now.since(asked_at) >= VM_LIST_INTERVAL_MS);
        if is_old && !self.is_listing_vms {
            self.is_listing_vms = self.mailboxes.vms.reads.try_send(ReadList).is_ok();
            self.vm_asked_at = Some(view.now);
        }
        let Some(vms) = &self.vms else { return };
        let decided_ms = self.vms_decided_at.map(|decided_at| view.now.since(decided_at));
        if view.now.since(vms.requested_at) > VM_LIST_AGE_MAX_MS
            || decided_ms.is_some_and(|decided_ms| decided_ms < VM_DECISION_INTERVAL_MS)
        {
            return;
        }
        self.vms_decided_at = Some(view.now);
        let max_orders = self.vm_order_rate.available(view.now);
        let left_alone = self.vm_handover.reserved_vms(view.now);
        let mut moving = self.pool_sizer.moving_vms();
        moving.extend(left_alone.iter().cloned());
        let may_stop_long_running =
            view.now.since(self.gained_at) >= self.vm_handover.separation_ms();
        let round = VmPlanInput { vms, excluded: &moving, max_orders, may_stop_long_running };
        let mut orders = self.upkeep.plan_maintenance(view.now, round, &mut self.dispatcher);
        if self.may_start(view) {
            let mut maintained = self.upkeep.vms_under_maintenance();
            maintained.extend(left_alone);
            let round = VmPlanInput {
                vms,
                excluded: &maintained,
                max_orders: max_orders - orders.len(),
                may_stop_long_running,
            };
            orders.extend(self.pool_sizer.plan_moves(
                view.now,
                view.now_unix_ms,
                view.catalog,
                round,
                &mut self.dispatcher,
            ));
        }
        self.vm_order_rate.consume(orders.len());
        self.vm_orders.extend(orders);
    }

    /// The record that tells a successor which VMs are ordered.
    pub(crate) fn vm_orders_record(
        &mut self,
        now: TimeMs,
        orders: &[VmOrder],
    ) -> Option<KeyedRecord> {
        if orders.is_empty() {
            return None;
        }
        let vms = self.vm_handover.record_orders(now, orders.iter().map(|order| order.vm.clone()));
        let (key, value) = (RecordKey::VmOrders.encode(), VmOrders { vms }.encode());
        Some(KeyedRecord { key: key.into(), value: value.into() })
    }

    /// Gives orders whose VMs the store holds.
    pub(crate) fn give_vm_orders(&mut self, view: &OwnerView<'_>, orders: Vec<VmOrder>) {
        for order in orders {
            if !view.is_certain {
                self.vm_answered(view.now, &order, VmOrderAnswer::Refused);
                continue;
            }
            info!(self.logger, "VM is ordered"; "vm" => &order.vm,
                "action" => format!("{:?}", order.action));
            if !self.mailboxes.vms.send_order(order.clone()) {
                warn!(self.logger, "order for a VM is dropped"; "reason" => "too many wait");
                self.vm_answered(view.now, &order, VmOrderAnswer::Refused);
            }
        }
    }

    pub(crate) fn vm_answered(&mut self, now: TimeMs, order: &VmOrder, answer: VmOrderAnswer) {
        let (vm, dispatcher) = (&order.vm, &mut self.dispatcher);
        match &order.action {
            VmAction::Maintain { wave } => {
                self.upkeep.order_answered(now, vm, *wave, answer, dispatcher);
            }
            VmAction::MoveTo { .. } => self.pool_sizer.order_answered(now, vm, answer, dispatcher),
        }
    }
}
