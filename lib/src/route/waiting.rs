//! Decisions on requests that wait in a queue.

use crate::freshness::ViewState;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::refusal::RefusalReason;
use crate::route::queue::RequestId;
use crate::route::queue::Waiting;
use crate::route::routing::QueueEvent;
use crate::route::routing::Router;
use crate::route::routing::refuse;
use crate::time::TimeMs;

impl Router {
    /// Removes a queued request whose caller has disconnected.
    pub fn cancel_queued(&mut self, id: RequestId) {
        for pool in self.pools.values_mut() {
            pool.queue.remove_if(|waiting| waiting.id == id);
        }
    }

    /// Sends queued requests for which a slot is free, and refuses those that
    /// cannot be served. Must be called after each other call, and at least
    /// every few milliseconds while requests wait.
    pub fn serve_queues(&mut self, now: TimeMs) -> Vec<QueueEvent> {
        self.drop_stale_peers(now);
        let mut events: Vec<_> = self
            .evicted
            .drain(..)
            .map(|waiting| shed(&waiting, RefusalReason::QueueFull))
            .collect();
        let pools: Vec<PoolId> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(pool, _)| *pool)
            .collect();
        let recheck = std::mem::take(&mut self.keys_changed);
        for pool in pools {
            self.refuse_waiting(now, pool, recheck, &mut events);
            self.update_borrowing(now, pool);
            self.start_waiting(now, pool, &mut events);
        }
        events
    }

    fn refuse_waiting(
        &mut self,
        now: TimeMs,
        pool_id: PoolId,
        recheck: bool,
        events: &mut Vec<QueueEvent>,
    ) {
        let no_upstream = self.available_instances(now, pool_id) == 0;
        let known = self.pool_names.values().any(|pool| *pool == pool_id);
        let view = self.view;
        let keys = &self.keys;
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return;
        };
        let reason = |waiting: &Waiting| match view {
            ViewState::Stale => Some(RefusalReason::ViewStale),
            ViewState::Confirmed | ViewState::Outage => {
                if recheck && keys.organisation(&waiting.key) != Some(waiting.organisation) {
                    Some(RefusalReason::KeyUnknown)
                } else if !known {
                    Some(RefusalReason::PoolUnknown)
                } else if waiting.deadline <= now {
                    Some(RefusalReason::DeadlineTooNear)
                } else if no_upstream {
                    Some(RefusalReason::NoUpstream)
                } else {
                    None
                }
            }
        };
        for waiting in pool.queue.remove_if(|waiting| reason(waiting).is_some()) {
            if let Some(reason) = reason(&waiting) {
                events.push(shed(&waiting, reason));
            }
        }
    }

    fn start_waiting(&mut self, now: TimeMs, pool_id: PoolId, events: &mut Vec<QueueEvent>) {
        while let Some(choice) = self.select(now, pool_id, &[]) {
            let weights = &self.weights;
            let weight =
                |organisation: OrganisationId| weights.get(&organisation).copied().unwrap_or(1000);
            let Some(waiting) =
                self.pools.get_mut(&pool_id).and_then(|pool| pool.queue.pop(weight))
            else {
                return;
            };
            let choice = self.select(now, pool_id, &waiting.tried).unwrap_or(choice);
            let decision = self.take_slot(choice, waiting.organisation, &waiting.key);
            events.push(QueueEvent { id: waiting.id, decision });
        }
    }
}

fn shed(waiting: &Waiting, reason: RefusalReason) -> QueueEvent {
    QueueEvent { id: waiting.id, decision: refuse(reason, reason.default_retry_after_ms()) }
}
