//! Routing of requests to the instances of a pool.
//!
//! A router holds the routing state of one process. It selects the instance
//! with the smallest known part of its slots in use, and prefers home slots
//! (see `slots`) in the process's own data centre. If no slot is available, a
//! request waits in a bounded queue, or is refused if it could not start
//! before its deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::ejection::Ejector;
use crate::ejection::ExchangeResult;
use crate::freshness::ViewState;
use crate::ids::DataCentreId;
use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::invariant::Violation;
use crate::keys::KeyDigest;
use crate::keys::OrganisationKeys;
use crate::refusal::RefusalReason;
use crate::retry::RetryBudget;
use crate::route::queue::PushOutcome;
use crate::route::queue::RequestId;
use crate::route::queue::RouteQueue;
use crate::route::queue::Waiting;
use crate::slots::HomeSlots;
use crate::slots::InFlight;
use crate::time::TimeMs;

/// Age at which the in-flight counts that another process reported are
/// dropped.
pub(crate) const PEER_COUNTS_MAX_AGE_MS: u64 = 3000;
/// Service time that is assumed for a pool before its first completed request.
const INITIAL_SERVICE_MS: u64 = 50;
/// Weight of a new service time in the moving average, as a divisor.
const SERVICE_SMOOTHING: u64 = 16;

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Session of the router's process.
    pub session: SessionId,
    /// Name of the data centre of the process.
    pub data_centre: String,
    /// Largest number of requests that wait for each pool.
    pub max_queued: usize,
    /// Seed for the jitter of ejection times.
    pub seed: u64,
}

/// A request to route.
#[derive(Clone)]
pub struct RouteRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Digest of the key that came with the request.
    pub key: KeyDigest,
    /// Name of the pool.
    pub pool: String,
    /// Time by which the caller needs the answer.
    pub deadline: TimeMs,
    /// Instances that were tried before. Not empty for a retry, which is
    /// charged to the retry budget.
    pub tried: Vec<VmId>,
}

/// Why an instance was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteReason {
    /// A home slot of this process, in its own data centre.
    LocalHomeSlot,
    /// A home slot of this process, in another data centre.
    HomeSlot,
    /// A borrowed slot that is free by the known counts, in the process's own
    /// data centre.
    LocalFreeSlot,
    /// A borrowed slot that is free by the known counts, in another data
    /// centre.
    FreeSlot,
}

impl RouteReason {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LocalHomeSlot => "local_home_slot",
            Self::HomeSlot => "home_slot",
            Self::LocalFreeSlot => "local_free_slot",
            Self::FreeSlot => "free_slot",
        }
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send the request. It occupies a slot until [`Router::finished`] is
    /// called.
    Send {
        /// VM of the selected instance.
        vm: VmId,
        /// Why this instance was selected.
        reason: RouteReason,
        /// Other instances that had a slot.
        eligible: Vec<VmId>,
    },
    /// The request waits in the queue; a [`QueueEvent`] follows.
    Queue {
        /// Number of requests that are expected to start first.
        position: usize,
    },
    /// Refuse the request.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Time after which a retry by the caller may succeed.
        retry_after_ms: Option<u64>,
    },
    /// Refuse the request, since sending it would break an invariant.
    Violated(Violation),
}

/// A decision on a request that was queued: `Send` or `Refuse`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEvent {
    /// The request.
    pub id: RequestId,
    /// The decision.
    pub decision: RouteDecision,
}

pub(crate) struct Instance {
    pub(crate) vm: VmId,
    pub(crate) pool: PoolId,
    pub(crate) address: String,
    pub(crate) slots: u32,
    pub(crate) data_centre: DataCentreId,
    pub(crate) in_service: bool,
    /// True if the VM is no longer in the control state; requests may still be
    /// in flight.
    pub(crate) gone: bool,
    pub(crate) home_slots: HomeSlots,
    pub(crate) own_in_flight: u32,
    pub(crate) peers_in_flight: u32,
}

#[derive(Default)]
pub(crate) struct PoolState {
    pub(crate) instances: BTreeSet<VmId>,
    pub(crate) queue: RouteQueue,
    pub(crate) ejector: Ejector,
    pub(crate) service_ms: Option<u64>,
    /// Time since which the home slots of this process are full.
    pub(crate) saturated_since: Option<TimeMs>,
    /// Number of slots in use beyond the home slots, and its limit until the
    /// next step.
    pub(crate) borrowed: u32,
    pub(crate) borrow_limit: u32,
    pub(crate) borrow_step_at: TimeMs,
}

pub(crate) struct PeerCounts {
    pub(crate) received_at: TimeMs,
    pub(crate) recent: VecDeque<InFlight>,
    pub(crate) lendable: InFlight,
}

pub(crate) struct RouteChoice {
    pub(crate) vm: VmId,
    pub(crate) reason: RouteReason,
    pub(crate) eligible: Vec<VmId>,
}

/// The routing state of one process.
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) view: ViewState,
    pub(crate) keys: OrganisationKeys,
    /// True if the keys of waiting requests must be checked again.
    pub(crate) keys_changed: bool,
    pub(crate) weights: BTreeMap<OrganisationId, u32>,
    pub(crate) pool_names: BTreeMap<String, PoolId>,
    pub(crate) pools: BTreeMap<PoolId, PoolState>,
    pub(crate) instances: BTreeMap<VmId, Instance>,
    pub(crate) members: BTreeSet<SessionId>,
    pub(crate) data_centre: Option<DataCentreId>,
    pub(crate) peers: BTreeMap<SessionId, PeerCounts>,
    pub(crate) retries: RetryBudget,
    pub(crate) evicted: Vec<Waiting>,
    pub(crate) rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router that refuses all requests until its view is set.
    pub fn new(settings: RouterSettings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            view: ViewState::Stale,
            keys: OrganisationKeys::default(),
            keys_changed: false,
            weights: BTreeMap::new(),
            pool_names: BTreeMap::new(),
            pools: BTreeMap::new(),
            instances: BTreeMap::new(),
            members: BTreeSet::new(),
            data_centre: None,
            peers: BTreeMap::new(),
            retries: RetryBudget::new(TimeMs::default()),
            evicted: Vec::new(),
            rng,
        }
    }

    /// Sets how current the control state is.
    pub fn set_view(&mut self, view: ViewState) {
        self.view = view;
    }

    /// The organisation that owns a key.
    pub fn organisation(&self, key: &KeyDigest) -> Option<OrganisationId> {
        self.keys.organisation(key)
    }

    /// Address of an instance.
    pub fn address(&self, vm: VmId) -> Option<&str> {
        self.instances.get(&vm).map(|instance| instance.address.as_str())
    }

    /// Numbers of requests in flight from this process by instance, for the
    /// exchange with other processes and for drains.
    pub fn in_flight(&self) -> impl Iterator<Item = (VmId, u32)> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.own_in_flight > 0)
            .map(|(vm, instance)| (*vm, instance.own_in_flight))
    }

    /// Number of requests that wait, over all pools.
    pub fn queued(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Decides on a request.
    pub fn route(&mut self, now: TimeMs, request: RouteRequest) -> RouteDecision {
        let (organisation, pool_id) = match self.admit(now, &request) {
            Ok(admitted) => admitted,
            Err(reason) => return refuse(reason, reason.default_retry_after_ms()),
        };
        if request.tried.is_empty() {
            self.retries.deposit();
        } else if !self.retries.withdraw(now) {
            return refuse(RefusalReason::RetryBudget, Some(1000));
        }
        self.update_borrowing(now, pool_id);
        let waits = self.pools.get(&pool_id).is_some_and(|pool| !pool.queue.is_empty());
        if !waits && let Some(choice) = self.select(now, pool_id, &request.tried) {
            return self.take_slot(choice, organisation, &request.key);
        }
        if self.available_instances(now, pool_id) == 0 {
            return refuse(RefusalReason::NoUpstream, Some(1000));
        }
        self.enqueue(now, organisation, pool_id, request)
    }

    fn admit(
        &self,
        now: TimeMs,
        request: &RouteRequest,
    ) -> Result<(OrganisationId, PoolId), RefusalReason> {
        // With a stale view, a known key may have been revoked, and an unknown
        // one may have been granted.
        if self.view == ViewState::Stale {
            return Err(RefusalReason::ViewStale);
        }
        let organisation = self.keys.organisation(&request.key).ok_or(RefusalReason::KeyUnknown)?;
        let pool = *self.pool_names.get(request.pool.as_str()).ok_or(RefusalReason::PoolUnknown)?;
        if request.deadline <= now {
            return Err(RefusalReason::DeadlineTooNear);
        }
        Ok((organisation, pool))
    }

    fn enqueue(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        pool_id: PoolId,
        request: RouteRequest,
    ) -> RouteDecision {
        let slots = self.own_slots(now, pool_id);
        let weights = &self.weights;
        let weight =
            |organisation: OrganisationId| weights.get(&organisation).copied().unwrap_or(1000);
        let pool = self.pools.entry(pool_id).or_default();
        let position = pool.queue.starts_ahead(organisation, weight);
        let service_ms = pool.service_ms.unwrap_or(INITIAL_SERVICE_MS);
        let wait_ms = (position as u64 + 1) * service_ms / u64::from(slots);
        // A request whose answer would come after its deadline would only take
        // a slot from a request that can meet its deadline.
        if now.plus(wait_ms + service_ms / 2) > request.deadline {
            return refuse(RefusalReason::DeadlineTooNear, Some(wait_ms.max(1000)));
        }
        let RouteRequest { id, key, pool: _, deadline, tried } = request;
        let waiting = Waiting { id, key, organisation, deadline, tried };
        match pool.queue.push(waiting, self.settings.max_queued, weight) {
            PushOutcome::Queued(evicted) => {
                self.evicted.extend(evicted);
                RouteDecision::Queue { position }
            }
            PushOutcome::Full => refuse(RefusalReason::QueueFull, Some(wait_ms.max(1000))),
        }
    }

    /// Records the end of the HTTP exchange of a request that was sent, and
    /// frees its slot.
    pub fn finished(&mut self, now: TimeMs, vm: VmId, result: ExchangeResult) {
        let Some(instance) = self.instances.get_mut(&vm) else {
            return;
        };
        debug_assert!(
            instance.own_in_flight > 0,
            "VM {vm} finished more requests than it was sent"
        );
        instance.own_in_flight = instance.own_in_flight.saturating_sub(1);
        let pool_id = instance.pool;
        let size = self.in_service(pool_id).count();
        let pool = self.pools.entry(pool_id).or_default();
        pool.ejector.record(now, vm, result, size, &mut self.rng);
        if let ExchangeResult::Completed { service_ms } = result {
            let old = pool.service_ms.unwrap_or(service_ms);
            let sum = old * (SERVICE_SMOOTHING - 1) + service_ms;
            pool.service_ms = Some(sum.div_ceil(SERVICE_SMOOTHING));
        }
        self.remove_if_gone(vm);
    }
}

pub(crate) fn refuse(reason: RefusalReason, retry_after_ms: Option<u64>) -> RouteDecision {
    RouteDecision::Refuse { reason, retry_after_ms }
}
