//! Weighted fairness between organisations while a pool is full: what each one
//! uses, what is due to it, and by how much it has lately been above that.
//!
//! A pool is full while its tasks request more than it has. Only then does use
//! above the due share count; what is unused is lent and not held against
//! anybody later.

use std::collections::BTreeMap;

use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::resources::Resources;
use crate::share::OrganisationDemand;
use crate::share::fair_shares;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;

/// Time constant with which a surplus fades. It covers the run times of the
/// longer tasks in known workloads, so that one large task does not count as
/// the lasting behaviour of its organisation.
const SURPLUS_DECAY_MS: u64 = 2_000;
/// The oldest waiting job of an organisation in a pool goes first once in this
/// time. It is several times the budget of a caller, so that it only affects
/// jobs whose callers no longer wait.
pub(crate) const AGEING_MS: u64 = 10_000;
/// Weights are divided in thousandths.
const WEIGHT_MILLI: u64 = 1_000;
const MILLI: u64 = 1_000;
/// A whole pool, in millionths.
const WHOLE_PPM: u64 = 1_000_000;

/// Use and request of one organisation in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OrganisationLoad {
    /// Weight as configured.
    pub(crate) weight: u64,
    /// Resources of its placed tasks.
    pub(crate) used: Resources,
    /// Resources of its tasks that could start now, within its limit.
    pub(crate) waiting: Resources,
}

/// Room of a pool for tasks that end, and what organisations use and request of
/// it. Jobs without an organisation count together, under `None`.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolContention {
    pub(crate) capacity: Resources,
    pub(crate) organisations: BTreeMap<Option<OrganisationId>, OrganisationLoad>,
}

/// What one organisation uses of a pool, and what is due to it, in millionths of
/// the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrganisationUse {
    /// Dominant share of its placed tasks.
    pub used_ppm: u64,
    /// Dominant share of its placed tasks and of those that could start now.
    pub wanted_ppm: u64,
    /// Share that weighted fairness gives it of what all request now.
    pub due_ppm: u64,
    /// Mean of use minus due share while the pool was full, with recent times
    /// weighing more.
    pub surplus_ppm: i64,
    /// When its oldest job last went first.
    aged_at: Option<TimeMs>,
}

impl OrganisationUse {
    /// Use, corrected by what it has lately had above or below its due share.
    fn balance_ppm(&self) -> u64 {
        self.used_ppm.saturating_add_signed(self.surplus_ppm)
    }

    /// True if it wants more than its due share and has at least that.
    fn is_beyond(&self) -> bool {
        self.wanted_ppm > self.due_ppm && self.balance_ppm() >= self.due_ppm
    }

    fn measure(&mut self, load: OrganisationLoad, due_ppm: u64, capacity: Resources) {
        let wanted = load.used.saturating_add(load.waiting);
        self.used_ppm = load.used.dominant_share_ppm(capacity);
        self.wanted_ppm = wanted.dominant_share_ppm(capacity).min(WHOLE_PPM);
        self.due_ppm = due_ppm;
    }

    /// Tenths of its due share that an organisation has. Smaller differences
    /// leave the order to the ranks of the jobs.
    pub(crate) fn filled_tenths(&self) -> u64 {
        self.balance_ppm().saturating_mul(10) / self.due_ppm.max(1)
    }

    fn has_faded(&self, now: TimeMs) -> bool {
        let is_young = self.aged_at.is_some_and(|at| now.since(at) < AGEING_MS);
        self.used_ppm == 0 && self.due_ppm == 0 && self.surplus_ppm == 0 && !is_young
    }
}

/// Shares of the organisations in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolShares {
    measured_at: TimeMs,
    capacity: Resources,
    /// More was requested than the pool has when it was last measured, or a task
    /// found no worker in the round before.
    is_full: bool,
    lacked_room: bool,
    organisations: BTreeMap<Option<OrganisationId>, OrganisationUse>,
}

impl PoolShares {
    /// Takes the present loads and adds the time since the last measurement to
    /// the surplus of each organisation.
    fn measure(&mut self, now: TimeMs, room: &PoolContention) {
        let elapsed_ms = now.since(self.measured_at);
        let counts_use = self.is_full;
        for share in self.organisations.values_mut() {
            share.fade(elapsed_ms, counts_use);
        }
        self.measured_at = now;
        self.capacity = room.capacity;
        let demand = room.organisations.values().fold(Resources::ZERO, |sum, load| {
            sum.saturating_add(load.used).saturating_add(load.waiting)
        });
        self.is_full = self.lacked_room || !demand.fits_in(room.capacity);
        self.lacked_room = false;
        let due = due_shares(room);
        for organisation in room.organisations.keys() {
            self.organisations.entry(*organisation).or_default();
        }
        for (organisation, share) in &mut self.organisations {
            let load = room.organisations.get(organisation).copied().unwrap_or_default();
            let due_ppm = due.get(organisation).copied().unwrap_or_default();
            share.measure(load, due_ppm, room.capacity);
        }
        self.organisations.retain(|_, share| !share.has_faded(now));
    }

    /// True while organisations compete for the room of the pool.
    pub(crate) fn is_full(&self) -> bool {
        self.is_full
    }

    /// A task found no worker although the limit of its organisation allows it.
    pub(crate) fn lacks_room(&mut self) {
        self.lacked_room = true;
    }

    /// The use of an organisation.
    pub(crate) fn organisation(&self, organisation: Option<OrganisationId>) -> OrganisationUse {
        self.organisations.get(&organisation).copied().unwrap_or_default()
    }

    /// All organisations that have had tasks lately.
    pub(crate) fn organisations(
        &self,
    ) -> impl Iterator<Item = (Option<OrganisationId>, OrganisationUse)> {
        self.organisations.iter().map(|(organisation, share)| (*organisation, *share))
    }

    /// True if the pool is full and the organisation has its due share and wants
    /// more.
    pub(crate) fn is_beyond(&self, organisation: Option<OrganisationId>) -> bool {
        self.is_full && self.organisation(organisation).is_beyond()
    }

    /// Adds the resources of tasks that were just placed.
    pub(crate) fn placed(&mut self, organisation: Option<OrganisationId>, resources: Resources) {
        let added_ppm = resources.dominant_share_ppm(self.capacity);
        let share = self.organisations.entry(organisation).or_default();
        share.used_ppm = share.used_ppm.saturating_add(added_ppm);
    }

    /// True if the oldest job of an organisation, which has this age, goes first
    /// now.
    pub(crate) fn is_aged(
        &self,
        now: TimeMs,
        organisation: Option<OrganisationId>,
        age_ms: u64,
    ) -> bool {
        let aged_at = self.organisation(organisation).aged_at;
        age_ms >= AGEING_MS && aged_at.is_none_or(|at| now.since(at) >= AGEING_MS)
    }

    /// A task of the oldest job of an organisation was placed first.
    pub(crate) fn aged_job_started(&mut self, now: TimeMs, organisation: Option<OrganisationId>) {
        self.organisations.entry(organisation).or_default().aged_at = Some(now);
    }
}

impl OrganisationUse {
    fn fade(&mut self, elapsed_ms: u64, counts_use: bool) {
        let signed = |value: u64| i128::from(value);
        let added = match counts_use {
            true => (signed(self.used_ppm) - signed(self.due_ppm)) * signed(elapsed_ms),
            false => 0,
        };
        let kept = i128::from(self.surplus_ppm) * signed(SURPLUS_DECAY_MS);
        let total_ms = signed(SURPLUS_DECAY_MS.saturating_add(elapsed_ms));
        let surplus = i64::try_from((kept + added) / total_ms).unwrap_or(i64::MAX);
        // Room that an organisation left to others is not owed to it for longer
        // than its share lasts.
        let least = i64::try_from(self.due_ppm).map_or(i64::MIN, |due| -due);
        self.surplus_ppm = surplus.max(least);
    }
}

/// The due share of each organisation, in millionths of the pool.
fn due_shares(room: &PoolContention) -> BTreeMap<Option<OrganisationId>, u64> {
    let weights: Vec<u64> = room
        .organisations
        .iter()
        .filter_map(|(organisation, load)| organisation.map(|_| load.weight))
        .collect();
    let mean_weight = weights.iter().copied().fold(0, u64::saturating_add)
        / u64::try_from(weights.len().max(1)).unwrap_or(u64::MAX);
    // The keys of the shares only name organisations here, so that jobs without
    // one get a number as well.
    let numbered = (0..).zip(&room.organisations);
    let demands = numbered.map(|(number, (organisation, load))| {
        let weight = if organisation.is_some() { load.weight } else { mean_weight.max(1) };
        let share_milli = u32::try_from(weight.saturating_mul(WEIGHT_MILLI)).unwrap_or(u32::MAX);
        let demand = load.used.saturating_add(load.waiting);
        (OrganisationId(number), OrganisationDemand { share_milli, demand })
    });
    let shares = fair_shares(room.capacity, &demands.collect());
    let numbered = (0..).zip(room.organisations.keys());
    numbered
        .map(|(number, organisation)| {
            (*organisation, shares.get(&OrganisationId(number)).copied().unwrap_or_default())
        })
        .collect()
}

/// Shares of all pools, and how much each organisation submits.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    pools: BTreeMap<PoolId, PoolShares>,
    submissions: BTreeMap<OrganisationId, SubmissionRate>,
}

impl FairShares {
    /// Takes the loads of the pools in which jobs wait. No other pool is full.
    pub(crate) fn measure(&mut self, now: TimeMs, rooms: &BTreeMap<PoolId, PoolContention>) {
        for (pool, room) in rooms {
            self.pools.entry(*pool).or_default().measure(now, room);
        }
        let idle = PoolContention::default();
        let others = self.pools.iter_mut().filter(|(pool, _)| !rooms.contains_key(pool));
        for (_, shares) in others {
            shares.measure(now, &idle);
        }
        self.pools
            .retain(|pool, shares| rooms.contains_key(pool) || !shares.organisations.is_empty());
    }

    pub(crate) fn pool(&self, pool: PoolId) -> Option<&PoolShares> {
        self.pools.get(&pool)
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = (PoolId, &PoolShares)> {
        self.pools.iter().map(|(pool, shares)| (*pool, shares))
    }

    pub(crate) fn pool_mut(&mut self, pool: PoolId) -> &mut PoolShares {
        self.pools.entry(pool).or_default()
    }

    /// Counts a submission. Returns true if its organisation has submitted more
    /// jobs a second than its weight.
    pub(crate) fn is_beyond_rate(
        &mut self,
        now: TimeMs,
        catalog: &Catalog,
        organisation: Option<OrganisationId>,
    ) -> bool {
        let Some(id) = organisation else { return false };
        let Some(spec) = catalog.organisation(id) else { return false };
        self.submissions.entry(id).or_default().submitted(now, spec.weight)
    }
}

/// Token bucket of the submissions of an organisation, which holds one second.
#[derive(Clone, Copy, Debug, Default)]
struct SubmissionRate {
    /// Thousandths of a submission that have been counted and not yet faded.
    level_milli: u64,
    at: TimeMs,
}

impl SubmissionRate {
    fn submitted(&mut self, now: TimeMs, weight: u64) -> bool {
        // Submissions a second equal thousandths of one in a millisecond.
        let faded_milli = now.since(self.at).saturating_mul(weight);
        self.level_milli = self.level_milli.saturating_sub(faded_milli);
        self.at = now;
        if self.level_milli.saturating_add(MILLI) > weight.saturating_mul(MILLI) {
            return true;
        }
        self.level_milli += MILLI;
        false
    }
}
