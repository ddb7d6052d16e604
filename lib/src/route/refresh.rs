//! Projection of the control state into the routing state.

use std::collections::BTreeSet;

use crate::control::ControlState;
use crate::fold::ControlChange;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::keys::OrganisationKeys;
use crate::route::routing::Instance;
use crate::route::routing::Router;
use crate::slots;
use crate::time::TimeMs;

impl Router {
    /// Rebuilds the routing state from the whole control state. Ejections and
    /// counts of instances that still exist are kept.
    pub fn rebuild(&mut self, now: TimeMs, state: &ControlState) {
        self.update_organisations(state);
        self.update_pools(state);
        self.members = state.sessions.keys().copied().collect();
        self.data_centre = state.data_centre_by_name(&self.settings.data_centre);
        let known: Vec<VmId> = self.instances.keys().copied().collect();
        for vm in known {
            self.update_instance(now, state, vm, false);
        }
        for (vm, _) in state.vms.iter() {
            self.update_instance(now, state, vm, false);
        }
        self.update_home_slots();
    }

    /// Updates the entities that applied records changed.
    pub fn refresh(&mut self, now: TimeMs, state: &ControlState, changes: &[ControlChange]) {
        let mut vms = BTreeSet::new();
        for change in changes {
            match change {
                ControlChange::Organisation(_) => self.update_organisations(state),
                ControlChange::Pool(pool) => {
                    self.update_pools(state);
                    vms.extend(
                        state.vms.iter().filter(|(_, vm)| vm.pool == *pool).map(|(id, _)| id),
                    );
                }
                ControlChange::DataCentre(id) => {
                    self.data_centre = state.data_centre_by_name(&self.settings.data_centre);
                    let inside = state.vms.iter().filter(|(_, vm)| vm.data_centre == *id);
                    vms.extend(inside.map(|(id, _)| id));
                }
                ControlChange::Vm(vm) => {
                    vms.insert(*vm);
                }
                ControlChange::Session(_) => self.update_members(state),
                ControlChange::Wave(_)
                | ControlChange::Policy
                | ControlChange::Partition(_)
                | ControlChange::Grant(_, _) => {}
            }
        }
        for vm in vms {
            self.update_instance(now, state, vm, true);
        }
    }

    fn update_organisations(&mut self, state: &ControlState) {
        self.keys = OrganisationKeys::of(state);
        self.keys_changed = true;
        self.weights = state
            .organisations
            .iter()
            .map(|(id, organisation)| (id, organisation.spec.share_milli))
            .collect();
    }

    fn update_pools(&mut self, state: &ControlState) {
        self.pool_names =
            state.pools.iter().map(|(id, pool)| (pool.spec.name.clone(), id)).collect();
    }

    fn update_members(&mut self, state: &ControlState) {
        // A session's renewal is reported as a change too, but leaves the
        // members as they are.
        if state.sessions.keys().eq(self.members.iter()) {
            return;
        }
        self.members = state.sessions.keys().copied().collect();
        let gone: Vec<_> =
            self.peers.keys().filter(|peer| !self.members.contains(peer)).copied().collect();
        for session in gone {
            self.drop_peer(session);
        }
        self.update_home_slots();
    }

    fn update_home_slots(&mut self) {
        for (vm, instance) in &mut self.instances {
            instance.home_slots = slots::divide(*vm, instance.slots, &self.members);
        }
    }

    fn update_instance(&mut self, now: TimeMs, state: &ControlState, id: VmId, slow_start: bool) {
        let upstream = state
            .vms
            .get(id)
            .filter(|vm| !vm.joined.upstream_address.is_empty())
            .and_then(|vm| Some((vm, state.pools.get(vm.pool)?)));
        let Some((vm, pool)) = upstream else {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.in_service = false;
                instance.gone = true;
            }
            self.remove_if_gone(id);
            return;
        };
        let in_service = state.is_routable(vm);
        let slots = pool.spec.slots_per_vm;
        let home_slots = slots::divide(id, slots, &self.members);
        let old = self.instances.get(&id);
        // The id may have belonged to a VM that left. Requests in flight to
        // that VM still end with a call to `finished`, so the count is kept.
        let own_in_flight = old.map_or(0, |instance| instance.own_in_flight);
        let was_in_service = old.is_some_and(|instance| instance.in_service);
        if let Some(old_pool) = old.map(|instance| instance.pool)
            && old_pool != vm.pool
        {
            self.remove_from_pool(old_pool, id);
        }
        let peers_in_flight = self
            .peers
            .values()
            .filter_map(|peer| peer.recent.back().and_then(|counts| counts.get(&id)))
            .sum();
        let instance = Instance {
            vm: id,
            pool: vm.pool,
            address: vm.joined.upstream_address.clone(),
            slots,
            data_centre: vm.data_centre,
            in_service,
            gone: false,
            home_slots,
            own_in_flight,
            peers_in_flight,
        };
        self.instances.insert(id, instance);
        let routes = self.pools.entry(vm.pool).or_default();
        routes.instances.insert(id);
        if slow_start && in_service && !was_in_service {
            routes.ejector.begin_slow_start(now, id);
        }
    }

    fn remove_from_pool(&mut self, pool: PoolId, vm: VmId) {
        if let Some(routes) = self.pools.get_mut(&pool) {
            routes.instances.remove(&vm);
            routes.ejector.forget(vm);
        }
    }

    /// Removes an instance that is no longer in the control state, once its
    /// requests in flight have ended.
    pub(crate) fn remove_if_gone(&mut self, vm: VmId) {
        let Some(instance) = self.instances.get(&vm) else {
            return;
        };
        if instance.gone && instance.own_in_flight == 0 {
            self.remove_from_pool(instance.pool, vm);
            self.instances.remove(&vm);
        }
    }
}
