//! Checks that decide whether a waiting job may start: its key, the
//! organisation's limit and grant, its size, and the invariants of a start.

use crate::ids::JobId;
use crate::ids::VmId;
use crate::invariant;
use crate::invariant::Invariant;
use crate::invariant::Violation;
use crate::job::JobOutcome;
use crate::job::JobState;
use crate::placement::Scheduler;
use crate::placement::start::StartOutcome;
use crate::placement::start::StartRound;
use crate::quota::QuotaChange;
use crate::quota::QuotaNeed;
use crate::resources::Resources;
use crate::scheduler_decision::EndReason;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_decision::WaitReason;
use crate::scheduler_event::JobOrigin;
use crate::time::TimeMs;
use crate::worker_health::WorkerHealth;
use crate::worker_view::Worker;

/// A job that has waited this long for a worker or for grant holds back other
/// jobs that would take the capacity or grant that becomes free.
pub(crate) const STARVATION_MS: u64 = 30_000;

/// Time for which a job must be larger than every worker before it is ended,
/// since a larger worker may be about to join.
const TOO_LARGE_GRACE_MS: u64 = 10_000;

impl Scheduler {
    /// Checks what does not depend on the workers' free capacity: the key, the
    /// limit, the backoff, and whether a former owner may have run the job.
    pub(crate) fn check_job(
        &mut self,
        now: TimeMs,
        id: JobId,
        out: &mut Vec<SchedulerDecision>,
    ) -> Result<(), StartOutcome> {
        let Some(job) = self.queue.get(id) else { return Err(StartOutcome::Ended) };
        let view = self
            .organisations
            .get(&job.spec.job.organisation)
            .and_then(|state| state.view.as_ref());
        let Some(view) = view else {
            return Err(StartOutcome::Waits(WaitReason::OrganisationUnknown));
        };
        let end = if !view.keys.contains(&job.spec.key) {
            Some((JobOutcome::KeyWithdrawn, EndReason::KeyRevoked))
        } else if !job.spec.request.fits_in(view.limit) {
            Some((JobOutcome::CannotRun, EndReason::LargerThanLimit))
        } else {
            None
        };
        if let Some((outcome, reason)) = end {
            self.end_job(now, id, outcome, reason, None, out);
            return Err(StartOutcome::Ended);
        }
        if now < job.not_before {
            return Err(StartOutcome::Waits(WaitReason::Backoff));
        }
        let may_have_run = job.origin == JobOrigin::Inherited
            && !job.spec.repeatable
            && self.workers.values().any(|worker| worker.inherited);
        if may_have_run { Err(StartOutcome::Waits(WaitReason::MayHaveRun)) } else { Ok(()) }
    }

    /// Returns why the organisation's grant does not allow the job to start,
    /// or `None` if it does.
    pub(crate) fn check_grant(
        &mut self,
        now: TimeMs,
        id: JobId,
        round: &mut StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) -> Option<WaitReason> {
        let job = self.queue.get(id)?;
        let (organisation, request, urgent) =
            (job.spec.job.organisation, job.spec.request, job.spec.urgent);
        let starved = now.since(job.since) >= STARVATION_MS;
        let quota = self.organisations.get(&organisation)?.quota;
        let used = round.used.get(&organisation).copied().unwrap_or_default();
        let needed = used.saturating_add(request);
        if needed.fits_in(quota.available()) {
            return None;
        }
        let obtainable = quota.obtainable();
        if needed.fits_in(obtainable) {
            return Some(WaitReason::GrantPending);
        }
        if urgent && request.fits_in(obtainable) {
            // Smaller jobs of the organisation would take the grant that the
            // ended tasks free.
            round.blocked.insert(organisation);
            self.preempt_own_tasks(now, organisation, needed.saturating_sub(obtainable), out);
            // Tasks on one worker are preempted at the same time, since
            // freeing the grant first and a worker afterwards takes twice as
            // long.
            return Some(self.preempt_for_job(now, id, round, out));
        }
        if starved && request.fits_in(obtainable) {
            round.blocked.insert(organisation);
        }
        Some(WaitReason::OrganisationLimit)
    }

    /// Ends a job that has been larger than every worker for
    /// [`TOO_LARGE_GRACE_MS`]. Returns `None` if some worker is large enough.
    pub(crate) fn check_fits_any(
        &mut self,
        now: TimeMs,
        id: JobId,
        out: &mut Vec<SchedulerDecision>,
    ) -> Option<StartOutcome> {
        let job = self.queue.get(id)?;
        let size = self.classes.estimate(&job.class, job.spec.request).min(job.spec.request);
        let present = || self.workers.values().filter(|worker| worker.left_since.is_none());
        if present().next().is_none() {
            return Some(StartOutcome::Waits(WaitReason::NoWorker));
        }
        let fits = present().any(|worker| size.fits_in(worker.spec.capacity));
        let job = self.queue.get_mut(id)?;
        if fits {
            job.too_large_since = None;
            return None;
        }
        let since = *job.too_large_since.get_or_insert(now);
        if now.since(since) < TOO_LARGE_GRACE_MS {
            return Some(StartOutcome::Waits(WaitReason::NoRoom));
        }
        let reason = EndReason::LargerThanWorkers;
        self.end_job(now, id, JobOutcome::CannotRun, reason, None, out);
        Some(StartOutcome::Ended)
    }

    /// Checks the invariants of a start against the scheduler's state,
    /// independently of the checks that led to the start.
    pub(crate) fn check_start(
        &self,
        now: TimeMs,
        id: JobId,
        vm: VmId,
        round: &StartRound,
    ) -> Result<(), Violation> {
        let (Some(job), Some(worker)) = (self.queue.get(id), self.workers.get(&vm)) else {
            return Ok(());
        };
        let name = &job.spec.job;
        let subject = || format!("start of job {name} on VM {vm}");
        invariant::check(Invariant::StartByOwner, self.start_blocker(now).is_none(), subject)?;
        let in_service = worker.spec.data_centre_in_service;
        invariant::check(Invariant::StartDataCentreInService, in_service, subject)?;
        invariant::check(Invariant::StartWorkerKnown, worker.polled_at.is_some(), subject)?;
        let quarantined = matches!(self.health.health(now, vm), WorkerHealth::Quarantined { .. });
        let is_open = worker.is_open() && !quarantined;
        invariant::check(Invariant::StartWorkerOpen, is_open, subject)?;
        let state = self.organisations.get(&name.organisation);
        let key_valid = state
            .and_then(|state| state.view.as_ref())
            .is_some_and(|view| view.keys.contains(&job.spec.key));
        invariant::check(Invariant::StartKeyValid, key_valid, subject)?;
        let grant = state.map(|state| state.quota.available()).unwrap_or_default();
        let used = round.used.get(&name.organisation).copied().unwrap_or_default();
        let within = used.saturating_add(job.spec.request).fits_in(grant);
        invariant::check(Invariant::StartWithinGrant, within, subject)?;
        let is_live = |worker: &Worker| worker.live_tasks().any(|(task, _)| task.job == *name);
        let idle = job.state == JobState::Queued && !self.workers.values().any(is_live);
        invariant::check(Invariant::JobOneAttempt, idle, subject)
    }

    /// Decides which grant to take and to return for each organisation.
    pub(crate) fn change_grants(
        &mut self,
        now: TimeMs,
        round: &StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let free = round.free.values().fold(Resources::ZERO, |sum, free| sum.saturating_add(*free));
        for (organisation, state) in &mut self.organisations {
            let used = round.used.get(organisation).copied().unwrap_or_default();
            let obtainable = state.quota.obtainable().saturating_sub(used);
            let wanted = self.queue.wanted(*organisation, obtainable, free);
            let need = QuotaNeed { used, wanted: wanted.amount, urgent: wanted.urgent };
            out.extend(match state.quota.decide(now, *organisation, need) {
                Ok(change) => change.map(|change| match change {
                    QuotaChange::Take(amount, reason) => {
                        SchedulerDecision::TakeGrant { organisation: *organisation, amount, reason }
                    }
                    QuotaChange::Return(amount, reason) => SchedulerDecision::ReturnGrant {
                        organisation: *organisation,
                        amount,
                        reason,
                    },
                }),
                Err(violation) => Some(SchedulerDecision::Refused(violation)),
            });
        }
    }
}
