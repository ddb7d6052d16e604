//! Selection of an instance, and the counts it rests on.

use crate::ejection::Admission;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::routing::Choice;
use crate::routing::Instance;
use crate::routing::PEER_COUNTS_MS;
use crate::routing::PeerCounts;
use crate::routing::RouteDecision;
use crate::routing::RouteReason;
use crate::routing::Router;
use crate::slots;
use crate::slots::InFlight;
use crate::time::TimeMs;

/// Home slots of others that a borrower leaves free.
const MAX_RESERVE: u32 = 2;

impl Router {
    /// Takes over what another process says it has in flight.
    pub fn set_peer_in_flight(&mut self, now: TimeMs, session: SessionId, in_flight: InFlight) {
        if session == self.settings.session {
            return;
        }
        self.drop_peer(session);
        for (vm, requests) in &in_flight {
            if let Some(instance) = self.instances.get_mut(vm) {
                instance.others = instance.others.saturating_add(*requests);
            }
        }
        self.peers.insert(session, PeerCounts { at: now, in_flight });
    }

    /// Drops the counts of processes that were not heard for a while.
    pub(crate) fn drop_silent_peers(&mut self, now: TimeMs) {
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.at) > PEER_COUNTS_MS)
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.drop_peer(session);
        }
    }

    pub(crate) fn drop_peer(&mut self, session: SessionId) {
        let Some(peer) = self.peers.remove(&session) else {
            return;
        };
        for (vm, requests) in peer.in_flight {
            if let Some(instance) = self.instances.get_mut(&vm) {
                instance.others = instance.others.saturating_sub(requests);
            }
        }
    }

    /// Instances of a pool that are in service.
    pub(crate) fn in_service(&self, pool: PoolId) -> impl Iterator<Item = (VmId, &Instance)> {
        self.pools
            .get(&pool)
            .into_iter()
            .flat_map(|pool| pool.instances.iter())
            .filter_map(|vm| Some((*vm, self.instances.get(vm)?)))
            .filter(|(_, instance)| instance.in_service)
    }

    fn admission(&self, now: TimeMs, pool: PoolId, vm: VmId) -> Admission {
        self.pools.get(&pool).map_or(Admission::Full, |pool| pool.ejector.admission(now, vm))
    }

    /// Number of instances that get requests.
    pub(crate) fn serving(&self, now: TimeMs, pool: PoolId) -> usize {
        self.in_service(pool)
            .filter(|(vm, instance)| self.admission(now, pool, *vm).slots(instance.slots) > 0)
            .count()
    }

    /// Slots of a pool that this process can count on.
    pub(crate) fn own_slots(&self, now: TimeMs, pool: PoolId) -> u32 {
        let session = self.settings.session;
        let (home, own) = self
            .in_service(pool)
            .filter(|(vm, instance)| self.admission(now, pool, *vm).slots(instance.slots) > 0)
            .fold((0, 0), |(home, own), (_, instance)| {
                (home + slots::home_of(&instance.homes, session), own + instance.own)
            });
        home.max(own).max(1)
    }

    /// Selects an instance that is not in `tried`, or any if all were tried.
    pub(crate) fn select(&self, now: TimeMs, pool: PoolId, tried: &[VmId]) -> Option<Choice> {
        let mut candidates: Vec<_> = self
            .in_service(pool)
            .filter_map(|(vm, instance)| {
                let slots = self.admission(now, pool, vm).slots(instance.slots);
                let reason = self.slot_for(now, instance, slots)?;
                // An instance that starts slowly counts as fuller than it is.
                let used = (instance.own + instance.others) * 1000 / slots;
                let rank = slots::mix(self.settings.session, vm);
                Some((tried.contains(&vm), reason, used, rank, vm))
            })
            .collect();
        candidates.sort_unstable();
        let (_, reason, _, _, vm) = *candidates.first()?;
        let eligible = candidates.into_iter().skip(1).map(|(_, _, _, _, vm)| vm).collect();
        Some(Choice { vm, reason, eligible })
    }

    /// The kind of slot that this process may use of an instance with `slots`
    /// usable slots, if any.
    fn slot_for(&self, now: TimeMs, instance: &Instance, slots: u32) -> Option<RouteReason> {
        let local = Some(instance.data_centre) == self.data_centre;
        let home = slots::home_of(&instance.homes, self.settings.session).min(slots);
        if instance.own < home {
            return Some(if local { RouteReason::LocalHomeSlot } else { RouteReason::HomeSlot });
        }
        let used = instance.own + instance.others;
        if used + self.reserve(now, instance) >= slots {
            return None;
        }
        Some(if local { RouteReason::LocalFreeSlot } else { RouteReason::FreeSlot })
    }

    /// Idle home slots of other processes that have requests in flight, which
    /// they may take before their next exchange.
    fn reserve(&self, now: TimeMs, instance: &Instance) -> u32 {
        let idle: u32 = instance
            .homes
            .iter()
            .filter(|(session, _)| *session != self.settings.session)
            .filter_map(|(session, home)| {
                let peer = self.peers.get(session)?;
                let active = now.since(peer.at) <= PEER_COUNTS_MS && !peer.in_flight.is_empty();
                active.then_some((session, home, peer))
            })
            .map(|(_, home, peer)| self.idle_home(instance, *home, peer))
            .sum();
        idle.min(MAX_RESERVE)
    }

    fn idle_home(&self, instance: &Instance, home: u32, peer: &PeerCounts) -> u32 {
        home.saturating_sub(peer.in_flight.get(&instance.vm).copied().unwrap_or(0))
    }

    /// Takes the slot of a choice.
    pub(crate) fn take(&mut self, choice: Choice) -> RouteDecision {
        let Choice { vm, reason, eligible } = choice;
        if let Some(instance) = self.instances.get_mut(&vm) {
            assert!(
                instance.in_service,
                "VM {vm} is out of service and gets no new request (invariant 9)"
            );
            instance.own += 1;
        }
        RouteDecision::Send { vm, reason, eligible }
    }
}
