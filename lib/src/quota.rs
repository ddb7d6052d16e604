//! Grant of an organisation in one partition: how much of the organisation's
//! limit the partition takes and returns, and when.

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
pub const UNUSED_GRANT_MS: u64 = 5_000;

/// A take is at least the limit divided by this number, so that a queue of
/// small jobs does not need an append for each job.
const STEPS_PER_LIMIT: u64 = 64;

/// Time after which a take whose record is neither applied nor void is decided
/// again. A second take is harmless, since unused grant is returned.
const TAKE_TIMEOUT_MS: u64 = 10_000;

/// Grant of one organisation in the partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    grant: Resources,
    total: Resources,
    limit: Resources,
    take_pending_since: Option<TimeMs>,
    returning: Resources,
    unused: Option<(TimeMs, Resources)>,
    /// Grant that may be kept after the limit was lowered, until the sum of
    /// all grants is within the limit.
    cap: Option<Resources>,
}

/// Grant that an organisation needs now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaNeed {
    /// Sum of the declared sizes of its live tasks.
    pub used: Resources,
    /// Grant that its waiting jobs could use now.
    pub wanted: Resources,
    /// The part of `wanted` that urgent jobs could use.
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
    /// Grant that tasks may use: what the partition holds, less what is being
    /// returned.
    pub fn available(&self) -> Resources {
        let available = self.grant.saturating_sub(self.returning);
        self.cap.map_or(available, |cap| available.min(cap))
    }

    /// Amount to which the live tasks must be reduced, if the limit was
    /// lowered.
    pub fn cap(&self) -> Option<Resources> {
        self.cap
    }

    /// The most grant that the partition can have: its own, and the part of the
    /// limit that no partition holds.
    pub fn obtainable(&self) -> Resources {
        match self.cap {
            Some(_) => self.available(),
            None => self.available().saturating_add(self.limit.saturating_sub(self.total)),
        }
    }

    /// Sets the limit from the configuration.
    pub fn set_limit(&mut self, limit: Resources) {
        self.limit = limit;
        self.update_cap(true);
    }

    /// Sets the grant of the partition and the sum over all partitions.
    pub fn set_grant(&mut self, amount: Resources, total: Resources) {
        self.grant = amount;
        self.total = total;
        self.update_cap(false);
    }

    /// Records that a decided change was applied or is void.
    pub fn resolve_change(&mut self, direction: GrantDirection) {
        match direction {
            GrantDirection::Take => self.take_pending_since = None,
            GrantDirection::Return => self.returning = Resources::ZERO,
        }
    }

    /// Updates the cap. Every partition keeps the same part of its grant. The
    /// cap is computed once, from the state at the record that lowered the
    /// limit: if it were computed again while other partitions return grant,
    /// it would no longer be this partition's part.
    fn update_cap(&mut self, limit_changed: bool) {
        if self.total.fits_in(self.limit) {
            self.cap = None;
        } else if limit_changed || self.cap.is_none() {
            self.cap = Some(proportional_part(self.grant, self.limit, self.total));
        }
    }

    /// Decides the change of grant that is due, if any.
    pub fn decide(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        need: QuotaNeed,
    ) -> Result<Option<QuotaChange>, Violation> {
        if self.take_pending_since.is_some_and(|since| now.since(since) >= TAKE_TIMEOUT_MS) {
            self.take_pending_since = None;
        }
        if let Some(change) = self.decide_take(now, organisation, need)? {
            return Ok(Some(change));
        }
        self.decide_return(now, organisation, need)
    }

    fn decide_take(
        &mut self,
        now: TimeMs,
        organisation: OrganisationId,
        need: QuotaNeed,
    ) -> Result<Option<QuotaChange>, Violation> {
        if self.take_pending_since.is_some() || self.cap.is_some() {
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
        let amount = at_least_step(missing, self.limit).min(left);
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
        self.take_pending_since = Some(now);
        self.unused = None;
        Ok(Some(QuotaChange::Take(amount, reason)))
    }

    fn decide_return(
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
            return self.return_grant(organisation, amount, need, ReturnReason::LimitLowered);
        }
        let kept = need.used.saturating_add(need.wanted);
        // An organisation with work keeps one step of unused grant; otherwise
        // it would take and return grant in turn.
        let slack = if kept.is_zero() { Resources::ZERO } else { grant_step(self.limit) };
        let idle = self.grant.saturating_sub(kept.saturating_add(slack));
        if idle.is_zero() || self.take_pending_since.is_some() {
            self.unused = None;
            return Ok(None);
        }
        let (since, least) = self.unused.unwrap_or((now, idle));
        let least = least.min(idle);
        self.unused = Some((since, least));
        if now.since(since) < UNUSED_GRANT_MS {
            return Ok(None);
        }
        self.unused = None;
        self.return_grant(organisation, least, need, ReturnReason::Unused)
    }

    fn return_grant(
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
        // Use can exceed the grant only after a former owner's grant was
        // lowered. Nothing is then returned of a resource that is fully used.
        let in_use = need.used.min(self.grant);
        invariant::check(Invariant::GrantReturnUnused, in_use.fits_in(rest), || {
            format!("organisation {organisation} would keep {rest} and uses {in_use}")
        })?;
        self.returning = amount;
        Ok(Some(QuotaChange::Return(amount, reason)))
    }
}

fn grant_step(limit: Resources) -> Resources {
    limit.scaled_up(1, STEPS_PER_LIMIT)
}

fn at_least_step(missing: Resources, limit: Resources) -> Resources {
    let step = grant_step(limit);
    let raise = |missing: u64, step: u64| if missing == 0 { 0 } else { missing.max(step) };
    Resources {
        cpu_milli: raise(missing.cpu_milli, step.cpu_milli),
        memory_bytes: raise(missing.memory_bytes, step.memory_bytes),
        accelerators: if missing.accelerators == 0 {
            0
        } else {
            missing.accelerators.max(step.accelerators)
        },
    }
}

/// `grant` times `limit` / `total` for each resource, rounded down. A resource
/// whose total is within the limit is kept whole.
fn proportional_part(grant: Resources, limit: Resources, total: Resources) -> Resources {
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
