//! How much of an organisation's limit a partition takes and returns, and when.

use crate::ids::OrganisationId;
use crate::invariant;
use crate::invariant::Invariant;
use crate::invariant::Violation;
use crate::record::GrantDirection;
use crate::resources::Resources;
use crate::scheduler_decision::ReturnReason;
use crate::scheduler_decision::TakeReason;
use crate::time::TimeMs;

/// Time for which grant must be unused before it is returned.
pub const UNUSED_MS: u64 = 5_000;

/// A take is at least this part of the limit, so that a queue of small jobs
/// does not need an append for each.
const STEP_PARTS: u64 = 64;

/// Time after which a take without an answer is decided again. A second take
/// is harmless, since what it brings is returned when it is not used.
const TAKE_TIMEOUT_MS: u64 = 10_000;

/// Grant of one organisation in the partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    grant: Resources,
    total: Resources,
    limit: Resources,
    take_since: Option<TimeMs>,
    returning: Resources,
    unused: Option<(TimeMs, Resources)>,
    /// What may be kept after the limit was lowered, until the sum of all
    /// grants is within the limit.
    cap: Option<Resources>,
}

/// What an organisation needs now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaNeed {
    /// Declared sizes of its live tasks.
    pub used: Resources,
    /// What its waiting jobs could use now.
    pub wanted: Resources,
    /// The part of it that urgent jobs ask for.
    pub urgent: Resources,
}

/// A change of the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaChange {
    /// Take from the limit.
    Take(Resources, TakeReason),
    /// Return to the limit.
    Return(Resources, ReturnReason),
}

impl Quota {
    /// Grant that tasks may use: what is held less what is being returned.
    pub fn available(&self) -> Resources {
        let available = self.grant.saturating_sub(self.returning);
        self.cap.map_or(available, |cap| available.min(cap))
    }

    /// What live tasks must be reduced to, if the limit was lowered.
    pub fn cap(&self) -> Option<Resources> {
        self.cap
    }

    /// The most that the partition can have: its grant and what the limit
    /// leaves.
    pub fn obtainable(&self) -> Resources {
        match self.cap {
            Some(_) => self.available(),
            None => self.available().saturating_add(self.limit.saturating_sub(self.total)),
        }
    }

    /// Notes the limit of the configuration.
    pub fn set_limit(&mut self, limit: Resources) {
        self.limit = limit;
        self.update_cap(true);
    }

    /// Notes the grant of the partition and the sum of all partitions.
    pub fn set_grant(&mut self, amount: Resources, total: Resources) {
        self.grant = amount;
        self.total = total;
        self.update_cap(false);
    }

    /// Notes that a decided change was applied or is void.
    pub fn answer(&mut self, direction: GrantDirection) {
        match direction {
            GrantDirection::Take => self.take_since = None,
            GrantDirection::Return => self.returning = Resources::ZERO,
        }
    }

    /// Every partition keeps the same part of its grant. It is computed once,
    /// from the state at the record that lowered the limit: computed again
    /// while others return, it would shrink below this partition's part.
    fn update_cap(&mut self, limit_changed: bool) {
        if self.total.fits_in(self.limit) {
            self.cap = None;
        } else if limit_changed || self.cap.is_none() {
            self.cap = Some(part_of(self.grant, self.limit, self.total));
        }
    }

    /// The change that is due, if any.
    pub fn decide(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        need: QuotaNeed,
    ) -> Result<Option<QuotaChange>, Violation> {
        if self.take_since.is_some_and(|since| now.since(since) >= TAKE_TIMEOUT_MS) {
            self.take_since = None;
        }
        if let Some(change) = self.take(now, organisation, need)? {
            return Ok(Some(change));
        }
        self.give_back(now, organisation, need)
    }

    fn take(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        need: QuotaNeed,
    ) -> Result<Option<QuotaChange>, Violation> {
        if self.take_since.is_some() || self.cap.is_some() {
            return Ok(None);
        }
        let held = self.grant.saturating_sub(self.returning);
        let missing = need.used.saturating_add(need.wanted).saturating_sub(held);
        if missing.is_zero() {
            return Ok(None);
        }
        let urgent = need.used.saturating_add(need.urgent).saturating_sub(held);
        let reason = if urgent.is_zero() { TakeReason::Queued } else { TakeReason::Urgent };
        let left = self.limit.saturating_sub(self.total);
        let amount = step_up(missing, self.limit).min(left);
        if amount.is_zero() {
            return Ok(None);
        }
        let sum = self.total.saturating_add(amount);
        invariant::check(Invariant::GrantWithinLimit, sum.fits_in(self.limit), || {
            format!(
                "organisation {organisation} would be granted {sum}, its limit is {}",
                self.limit
            )
        })?;
        self.take_since = Some(now);
        self.unused = None;
        Ok(Some(QuotaChange::Take(amount, reason)))
    }

    fn give_back(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        need: QuotaNeed,
    ) -> Result<Option<QuotaChange>, Violation> {
        if !self.returning.is_zero() {
            return Ok(None);
        }
        if let Some(cap) = self.cap {
            let amount = self.grant.saturating_sub(need.used.max(cap));
            return self.returned(organisation, amount, need, ReturnReason::LimitLowered);
        }
        let kept = need.used.saturating_add(need.wanted);
        // An organisation with work keeps a step, or it would take and return in turn.
        let slack = if kept.is_zero() { Resources::ZERO } else { step(self.limit) };
        let idle = self.grant.saturating_sub(kept.saturating_add(slack));
        if idle.is_zero() || self.take_since.is_some() {
            self.unused = None;
            return Ok(None);
        }
        let (since, least) = self.unused.unwrap_or((now, idle));
        let least = least.min(idle);
        self.unused = Some((since, least));
        if now.since(since) < UNUSED_MS {
            return Ok(None);
        }
        self.unused = None;
        self.returned(organisation, least, need, ReturnReason::Unused)
    }

    fn returned(
        &mut self,
        organisation: OrganisationId,
        amount: Resources,
        need: QuotaNeed,
        reason: ReturnReason,
    ) -> Result<Option<QuotaChange>, Violation> {
        if amount.is_zero() {
            return Ok(None);
        }
        let rest = self.grant.saturating_sub(amount);
        // Usage above the grant shows only after a former owner's grant was
        // lowered; then nothing is returned of the resource that it uses.
        let in_use = need.used.min(self.grant);
        invariant::check(Invariant::GrantReturnUnused, in_use.fits_in(rest), || {
            format!("organisation {organisation} would keep {rest} and uses {in_use}")
        })?;
        self.returning = amount;
        Ok(Some(QuotaChange::Return(amount, reason)))
    }
}

fn step(limit: Resources) -> Resources {
    limit.scaled_up(1, STEP_PARTS)
}

fn step_up(missing: Resources, limit: Resources) -> Resources {
    let step = step(limit);
    let up = |missing: u64, step: u64| if missing == 0 { 0 } else { missing.max(step) };
    Resources {
        cpu_milli: up(missing.cpu_milli, step.cpu_milli),
        memory_bytes: up(missing.memory_bytes, step.memory_bytes),
        accelerators: if missing.accelerators == 0 {
            0
        } else {
            missing.accelerators.max(step.accelerators)
        },
    }
}

/// The part of `grant` that `limit` is of `total`, rounded down. A resource
/// that is within the limit is kept.
fn part_of(grant: Resources, limit: Resources, total: Resources) -> Resources {
    let part = |grant: u64, limit: u64, total: u64| {
        if total <= limit {
            return grant;
        }
        let part = u128::from(grant) * u128::from(limit) / u128::from(total);
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    let accelerators = part(
        u64::from(grant.accelerators),
        u64::from(limit.accelerators),
        u64::from(total.accelerators),
    );
    Resources {
        cpu_milli: part(grant.cpu_milli, limit.cpu_milli, total.cpu_milli),
        memory_bytes: part(grant.memory_bytes, limit.memory_bytes, total.memory_bytes),
        accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
    }
}
