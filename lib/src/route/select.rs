//! Selection of an instance, and the in-flight counts of other processes on
//! which it is based.

use std::collections::VecDeque;

use crate::ejection::Admission;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::invariant;
use crate::invariant::Invariant;
use crate::invariant::Violation;
use crate::keys::KeyDigest;
use crate::route::routing::Instance;
use crate::route::routing::PEER_COUNTS_MAX_AGE_MS;
use crate::route::routing::PeerCounts;
use crate::route::routing::RouteChoice;
use crate::route::routing::RouteDecision;
use crate::route::routing::RouteReason;
use crate::route::routing::Router;
use crate::slots;
use crate::slots::InFlight;
use crate::time::TimeMs;

/// Number of a peer's last counts that are kept. A slot counts as lent if it
/// was idle in all of them. With the last count alone, one in ten of the slots
/// that one of 8 processes borrowed in a burst were oversubscribed.
const KEPT_COUNTS: usize = 3;
/// Interval of the exchanges of counts. Between two of them, the number of
/// slots that a process borrows may grow by a quarter of its home slots or by
/// half of the slots it borrows, whichever is more. At the start of a burst,
/// the processes then do not fill slots that the home processes need at the
/// same time.
const BORROW_STEP_MS: u64 = 500;
/// Largest part of its home slots that a process may use and still lend the
/// idle ones.
const MAX_LENDER_USE_PERMILLE: u32 = 500;

impl PeerCounts {
    fn in_use(&self, vm: VmId) -> u32 {
        self.recent.back().and_then(|counts| counts.get(&vm)).copied().unwrap_or(0)
    }
}

impl Router {
    /// Stores the in-flight counts that another process reported.
    pub fn set_peer_in_flight(&mut self, now: TimeMs, session: SessionId, in_flight: InFlight) {
        if session == self.settings.session {
            return;
        }
        let mut recent = self.drop_peer(session).map(|peer| peer.recent).unwrap_or_default();
        for (vm, requests) in &in_flight {
            if let Some(instance) = self.instances.get_mut(vm) {
                instance.peers_in_flight = instance.peers_in_flight.saturating_add(*requests);
            }
        }
        recent.push_back(in_flight);
        if recent.len() > KEPT_COUNTS {
            recent.pop_front();
        }
        let lendable = self.lendable_slots(session, &recent);
        self.peers.insert(session, PeerCounts { received_at: now, recent, lendable });
    }

    /// Home slots of another process that it does not need, according to its
    /// recent counts. A process that uses a large part of its home slots in a
    /// pool lends none there, since it would soon need them itself.
    fn lendable_slots(&self, session: SessionId, recent: &VecDeque<InFlight>) -> InFlight {
        let used = |vm: &VmId| recent.iter().filter_map(|counts| counts.get(vm)).max().copied();
        let mut lendable = InFlight::new();
        for pool in self.pools.values() {
            let home_slots: Vec<_> = pool
                .instances
                .iter()
                .filter_map(|vm| Some((*vm, self.instances.get(vm)?)))
                .map(|(vm, instance)| (vm, slots::home_slots_of(&instance.home_slots, session)))
                .collect();
            let home: u32 = home_slots.iter().map(|(_, home)| home).sum();
            let max_in_use = recent
                .iter()
                .map(|counts| home_slots.iter().filter_map(|(vm, _)| counts.get(vm)).sum::<u32>())
                .max();
            if max_in_use.unwrap_or(0) * 1000 > home * MAX_LENDER_USE_PERMILLE {
                continue;
            }
            for (vm, home) in home_slots {
                lendable.insert(vm, home.saturating_sub(used(&vm).unwrap_or(0)));
            }
        }
        lendable
    }

    /// Drops the counts of processes that have not reported for
    /// [`PEER_COUNTS_MAX_AGE_MS`].
    pub(crate) fn drop_stale_peers(&mut self, now: TimeMs) {
        let stale: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.received_at) > PEER_COUNTS_MAX_AGE_MS)
            .map(|(session, _)| *session)
            .collect();
        for session in stale {
            self.drop_peer(session);
        }
    }

    pub(crate) fn drop_peer(&mut self, session: SessionId) -> Option<PeerCounts> {
        let peer = self.peers.remove(&session)?;
        for (vm, requests) in peer.recent.back().into_iter().flatten() {
            if let Some(instance) = self.instances.get_mut(vm) {
                instance.peers_in_flight = instance.peers_in_flight.saturating_sub(*requests);
            }
        }
        Some(peer)
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

    /// Number of instances of a pool to which requests may be sent.
    pub(crate) fn available_instances(&self, now: TimeMs, pool: PoolId) -> usize {
        self.in_service(pool)
            .filter(|(vm, instance)| self.admission(now, pool, *vm).slots(instance.slots) > 0)
            .count()
    }

    /// Number of slots of a pool that this process may expect to use: its home
    /// slots, or the slots it has in use if these are more.
    pub(crate) fn own_slots(&self, now: TimeMs, pool: PoolId) -> u32 {
        let session = self.settings.session;
        let (home, own) = self
            .in_service(pool)
            .filter(|(vm, instance)| self.admission(now, pool, *vm).slots(instance.slots) > 0)
            .fold((0, 0), |(home, own), (_, instance)| {
                (
                    home + slots::home_slots_of(&instance.home_slots, session),
                    own + instance.own_in_flight,
                )
            });
        home.max(own).max(1)
    }

    /// Updates the time since which the home slots in a pool are full, and the
    /// number of slots that may be borrowed until the next counts arrive. The
    /// home slots count as full until half of them are free, since completions
    /// free single slots all the time.
    pub(crate) fn update_borrowing(&mut self, now: TimeMs, pool_id: PoolId) {
        let session = self.settings.session;
        let (home, home_in_use, own) = self
            .in_service(pool_id)
            .map(|(_, instance)| {
                (slots::home_slots_of(&instance.home_slots, session), instance.own_in_flight)
            })
            .fold((0, 0, 0), |(home, home_in_use, own), (instance_home, instance_own)| {
                let instance_home_in_use = instance_own.min(instance_home);
                (home + instance_home, home_in_use + instance_home_in_use, own + instance_own)
            });
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return;
        };
        if home_in_use >= home {
            pool.saturated_since.get_or_insert(now);
        } else if own * 2 <= home {
            pool.saturated_since = None;
        }
        pool.borrowed = own - home_in_use;
        if now.since(pool.borrow_step_at) >= BORROW_STEP_MS {
            pool.borrow_step_at = now;
            pool.borrow_limit = (pool.borrowed + home.div_ceil(4)).max(pool.borrowed * 3 / 2);
        }
    }

    /// Selects an instance that is not in `tried`, or any instance if all were
    /// tried.
    pub(crate) fn select(&self, now: TimeMs, pool: PoolId, tried: &[VmId]) -> Option<RouteChoice> {
        let mut candidates: Vec<_> = self
            .in_service(pool)
            .filter_map(|(vm, instance)| {
                let slots = self.admission(now, pool, vm).slots(instance.slots);
                let reason = self.slot_for(now, instance, slots)?;
                // Only the slots that slow start allows are counted, so an
                // instance in slow start ranks as fuller than it is.
                let used = (instance.own_in_flight + instance.peers_in_flight) * 1000 / slots;
                let rank = slots::score(self.settings.session, vm);
                Some((tried.contains(&vm), reason, used, rank, vm))
            })
            .collect();
        candidates.sort_unstable();
        let (_, reason, _, _, vm) = *candidates.first()?;
        let eligible = candidates.into_iter().skip(1).map(|(_, _, _, _, vm)| vm).collect();
        Some(RouteChoice { vm, reason, eligible })
    }

    /// The kind of slot that this process may use on an instance with `slots`
    /// usable slots, or `None` if it may use none.
    fn slot_for(&self, now: TimeMs, instance: &Instance, slots: u32) -> Option<RouteReason> {
        let local = Some(instance.data_centre) == self.data_centre;
        let home = slots::home_slots_of(&instance.home_slots, self.settings.session).min(slots);
        if instance.own_in_flight < home {
            return Some(if local { RouteReason::LocalHomeSlot } else { RouteReason::HomeSlot });
        }
        let pool = self.pools.get(&instance.pool)?;
        if pool.borrowed >= pool.borrow_limit {
            return None;
        }
        if instance.own_in_flight + instance.peers_in_flight.max(self.claimed(now, instance))
            >= slots
        {
            return None;
        }
        Some(if local { RouteReason::LocalFreeSlot } else { RouteReason::FreeSlot })
    }

    /// Number of slots that other processes use, or may use before the next
    /// exchange: their home slots except those that they lend, and the slots
    /// that they borrowed.
    fn claimed(&self, now: TimeMs, instance: &Instance) -> u32 {
        let since = self.pools.get(&instance.pool).and_then(|pool| pool.saturated_since);
        let mut claimed = 0;
        let mut in_home_slots = 0;
        for (session, home) in &instance.home_slots {
            let Some(peer) = self.peers.get(session) else {
                continue;
            };
            // A burst reaches all processes at about the same time, so a count
            // from before this process was full says little about the load
            // after it.
            let is_current = now.since(peer.received_at) <= PEER_COUNTS_MAX_AGE_MS
                && since.is_none_or(|since| peer.received_at > since);
            let lent = if is_current { peer.lendable.get(&instance.vm).copied() } else { None };
            let lent = lent.unwrap_or(0).min(*home);
            claimed += *home - lent;
            in_home_slots += peer.in_use(instance.vm).min(*home);
        }
        claimed + instance.peers_in_flight.saturating_sub(in_home_slots)
    }

    /// Checks the invariants of a send and occupies a slot on the selected
    /// instance.
    pub(crate) fn take_slot(
        &mut self,
        choice: RouteChoice,
        organisation: OrganisationId,
        key: &KeyDigest,
    ) -> RouteDecision {
        let RouteChoice { vm, reason, eligible } = choice;
        let checked = self.check_key(organisation, key).and_then(|()| self.check_in_service(vm));
        if let Err(violation) = checked {
            return RouteDecision::Violated(violation);
        }
        if let Some(instance) = self.instances.get_mut(&vm) {
            instance.own_in_flight += 1;
            match reason {
                RouteReason::LocalHomeSlot | RouteReason::HomeSlot => {}
                RouteReason::LocalFreeSlot | RouteReason::FreeSlot => {
                    if let Some(pool) = self.pools.get_mut(&instance.pool) {
                        pool.borrowed += 1;
                    }
                }
            }
        }
        RouteDecision::Send { vm, reason, eligible }
    }

    fn check_key(&self, organisation: OrganisationId, key: &KeyDigest) -> Result<(), Violation> {
        let holder = self.keys.organisation(key);
        invariant::check(Invariant::RouteKeyValid, holder == Some(organisation), || {
            format!("request of organisation {organisation}, key of {holder:?}")
        })
    }

    fn check_in_service(&self, vm: VmId) -> Result<(), Violation> {
        let in_service = self.instances.get(&vm).is_some_and(|instance| instance.in_service);
        invariant::check(Invariant::RouteInstanceInService, in_service, || format!("VM {vm}"))
    }
}
