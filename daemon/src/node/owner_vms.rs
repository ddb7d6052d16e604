//! How an owner reads the list of VMs and sends orders for VMs.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::owner_record::VmOrders;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::vm::VmAction;
use cowslipport_lib::workload::vm::VmList;
use cowslipport_lib::workload::vm::VmOrderAnswer;
use cowslipport_lib::workload::vm::VmPlanInput;
use slog::info;
use slog::warn;

use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::owner_writer::OwnerRecords;
use crate::node::platform::Platform;
use crate::node::vm_task::QueuedVmOrder;
use crate::node::vm_task::ReadList;

/// Interval between reads of the list of VMs.
const VM_LIST_INTERVAL_MS: u64 = 400;
/// Interval between plans of VM orders. Under load the owner reconciles
/// hundreds of times a second, far more often than the demand of pools changes.
const VM_PLAN_INTERVAL_MS: u64 = 50;
/// Interval between measurements of rooms, which look at all jobs and workers. The
/// record that states them is written once a second.
const ROOM_INTERVAL_MS: u64 = 250;
/// Maximum age of the list of VMs with which the owner plans orders.
const VM_LIST_AGE_MAX_MS: u64 = 1_500;

impl<P> Owner<P>
where
    P: Platform,
{
    /// Requests the list of VMs, and plans orders: for maintenance, and for
    /// moves to the pools that need VMs.
    pub(crate) fn plan_vm_orders(&mut self, view: &mut OwnerView<'_>) {
        if !view.is_confirmed {
            return;
        }
        let is_old = self
            .vm_list_requested_at
            .is_none_or(|requested_at| view.now.since(requested_at) >= VM_LIST_INTERVAL_MS);
        if is_old && !self.is_listing_vms {
            self.is_listing_vms = self.mailboxes.vms.reads.try_send(ReadList).is_ok();
            self.vm_list_requested_at = Some(view.now);
        }
        let Some(vms) = &self.vms else { return };
        let planned_ms = self.vms_planned_at.map(|planned_at| view.now.since(planned_at));
        if view.now.since(vms.requested_at) > VM_LIST_AGE_MAX_MS
            || planned_ms.is_some_and(|planned_ms| planned_ms < VM_PLAN_INTERVAL_MS)
        {
            return;
        }
        self.vms_planned_at = Some(view.now);
        let max_orders = self.vm_order_limiter.available(view.now);
        let reserved = self.vm_handover.reserved_vms(view.now);
        let mut moving = self.pool_autoscaler.moving_vms();
        moving.extend(reserved.iter().cloned());
        let may_stop_long_running =
            view.now.since(self.gained_at) >= self.vm_handover.separation_ms();
        let input = VmPlanInput {
            vms,
            excluded: &moving,
            maybe_ordered: &reserved,
            max_orders,
            may_stop_long_running,
        };
        let mut orders = self.maintenance.plan_maintenance(view.now, input, &mut self.dispatcher);
        if self.may_start(view) {
            let mut maintained = self.maintenance.vms_under_maintenance();
            maintained.extend(reserved.iter().cloned());
            let input = VmPlanInput {
                vms,
                excluded: &maintained,
                maybe_ordered: &reserved,
                max_orders: max_orders - orders.len(),
                may_stop_long_running,
            };
            orders.extend(self.pool_autoscaler.plan_moves(
                view.now,
                view.now_unix_ms,
                view.catalog,
                input,
                &mut self.dispatcher,
            ));
        }
        self.vm_order_limiter.consume(orders.len());
        let planned_at = view.now;
        let queued = orders.into_iter().map(|order| QueuedVmOrder { order, planned_at });
        self.vm_orders.extend(queued);
    }

    /// Measures what new jobs have to expect, for the ownership record.
    pub(crate) fn measure_rooms(&mut self, view: &mut OwnerView<'_>) {
        let age_ms = self.rooms_measured_at.map(|measured_at| view.now.since(measured_at));
        if !self.dispatcher.refuses_late_jobs()
            || age_ms.is_some_and(|age_ms| age_ms < ROOM_INTERVAL_MS)
        {
            return;
        }
        self.rooms_measured_at = Some(view.now);
        let vms = self.vms.as_ref();
        let coming = vms.map(|vms| self.pool_autoscaler.coming_vms(vms, view.catalog));
        // Without a list of VMs, any number may be on the way.
        let rooms = coming.map_or_else(Vec::new, |coming| {
            self.dispatcher.measure_rooms(view.now, view.now_unix_ms, view.catalog, &coming)
        });
        self.dispatcher.set_rooms(rooms);
    }

    pub(crate) fn handle_vm_list(&mut self, view: &mut OwnerView<'_>, vms: VmList) {
        self.is_listing_vms = false;
        self.maintenance.vms_listed(&vms, &mut self.dispatcher);
        self.pool_autoscaler.vms_listed(view.now, &vms, view.catalog, &mut self.dispatcher);
        self.vms = Some(vms);
    }

    /// Returns the VMs that have an order now or had one lately, if there are
    /// orders. A successor sends no orders for these VMs for a while, and repeats
    /// those whose outcome is not known.
    pub(crate) fn recent_vm_orders(
        &mut self,
        now: TimeMs,
        orders: &[QueuedVmOrder],
    ) -> Option<VmOrders> {
        if orders.is_empty() {
            return None;
        }
        let names = orders.iter().map(|queued| queued.order.vm.clone());
        let vms = self.vm_handover.record_orders(now, names);
        Some(VmOrders { vms, open: self.maintenance.open_orders() })
    }

    /// Adds what was learned of the demand of pools to a batch that is stored
    /// anyway, once in a few seconds.
    pub(crate) fn record_demand(&mut self, view: &OwnerView<'_>, records: &mut OwnerRecords) {
        let (now, now_unix_ms) = (view.now, view.now_unix_ms);
        let record = self.dispatcher.take_demand_record(now, now_unix_ms, view.catalog);
        if let Some(record) = record {
            records.push(&RecordKey::Demand, record.encode());
        }
    }

    /// Sends orders, once the store has the names of their VMs.
    pub(crate) fn send_vm_orders(&mut self, view: &OwnerView<'_>, orders: Vec<QueuedVmOrder>) {
        for queued in orders {
            let order = &queued.order;
            if !view.is_confirmed {
                self.handle_vm_answer(view.now, &queued, VmOrderAnswer::Refused);
                continue;
            }
            info!(self.logger, "sending VM order"; "vm" => &order.vm,
                "action" => format!("{:?}", order.action));
            if !self.mailboxes.vms.send_order(queued.clone()) {
                warn!(self.logger, "VM order dropped"; "reason" => "queue is full");
                self.handle_vm_answer(view.now, &queued, VmOrderAnswer::Refused);
            }
        }
    }

    pub(crate) fn handle_vm_answer(
        &mut self,
        now: TimeMs,
        queued: &QueuedVmOrder,
        answer: VmOrderAnswer,
    ) {
        let QueuedVmOrder { order, planned_at } = queued;
        let (vm, dispatcher) = (&order.vm, &mut self.dispatcher);
        match &order.action {
            VmAction::Maintain { wave } => {
                self.maintenance.order_answered(now, *planned_at, vm, *wave, answer, dispatcher);
            }
            VmAction::MoveTo { .. } => {
                self.pool_autoscaler.order_answered(now, vm, answer, dispatcher)
            }
        }
    }
}
