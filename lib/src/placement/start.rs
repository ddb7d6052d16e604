//! The order in which waiting jobs are served, and the start of their tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::DataCentreId;
use crate::ids::JobId;
use crate::ids::OrganisationId;
use crate::ids::RackId;
use crate::ids::VmId;
use crate::invariant::Violation;
use crate::job::AttemptId;
use crate::job::JobState;
use crate::job::TaskId;
use crate::job_class::JobClass;
use crate::job_queue::LOOK_AHEAD;
use crate::job_queue::QueueKey;
use crate::placement::Scheduler;
use crate::placement::choice::WorkerChoice;
use crate::resources::Resources;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_decision::StartReason;
use crate::scheduler_decision::WaitReason;
use crate::scheduler_event::WorkerSpec;
use crate::share;
use crate::share::ServiceRank;
use crate::time::TimeMs;
use crate::worker_health::WorkerHealth;
use crate::worker_view::Task;
use crate::worker_view::TaskPhase;

/// A job that has waited this long is started before all other jobs that are
/// not urgent.
const AGED_MS: u64 = 600_000;

/// Capacity of a worker that is kept for one waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) vm: VmId,
    pub(crate) job: JobId,
    pub(crate) size: Resources,
    pub(crate) urgent: bool,
    pub(crate) since: TimeMs,
}

/// Resource use and progress of one pass over the waiting jobs.
pub(crate) struct StartRound {
    /// Declared sizes of the live tasks of each organisation.
    pub(crate) used: BTreeMap<OrganisationId, Resources>,
    /// Estimated use by the live tasks of each organisation.
    sizes: BTreeMap<OrganisationId, Resources>,
    /// Capacity of the workers that take new work.
    pub(crate) total: Resources,
    /// Free capacity of each worker that takes new work.
    pub(crate) free: BTreeMap<VmId, Resources>,
    /// Number of live tasks of each organisation in each rack and data centre.
    pub(crate) in_rack: BTreeMap<(OrganisationId, RackId), u32>,
    pub(crate) in_data_centre: BTreeMap<(OrganisationId, DataCentreId), u32>,
    /// Job sizes for which no worker has enough free capacity.
    unplaceable: Vec<Resources>,
    /// Organisations of which a job waits for more of the grant. Their later
    /// jobs do not start in this pass, since they would use the grant first.
    pub(crate) blocked: BTreeSet<OrganisationId>,
}

/// Result of trying to start a job.
pub(crate) enum StartOutcome {
    Started,
    Ended,
    Waits(WaitReason),
}

/// Phases of a pass, by the jobs that they consider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Urgent,
    /// Jobs that have waited for [`AGED_MS`].
    Aged,
    Other,
}

/// Position in the waiting jobs of one organisation. `count` is the number of
/// jobs that were considered, including the one at `key`.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    key: QueueKey,
    count: usize,
}

type Cursors = BTreeMap<OrganisationId, Cursor>;

impl StartRound {
    fn count(&mut self, organisation: OrganisationId, spec: &WorkerSpec) {
        *self.in_rack.entry((organisation, spec.rack)).or_default() += 1;
        *self.in_data_centre.entry((organisation, spec.data_centre)).or_default() += 1;
    }
}

impl Scheduler {
    /// Starts waiting jobs: urgent and aged ones first, then by fair share.
    pub(crate) fn start_jobs(
        &mut self,
        now: TimeMs,
        round: &mut StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) {
        self.drop_stale_reservations(now);
        let mut considered = Cursors::new();
        self.start_phase(now, round, Phase::Urgent, &mut considered, out);
        considered.clear();
        self.start_phase(now, round, Phase::Aged, &mut considered, out);
        self.start_phase(now, round, Phase::Other, &mut considered, out);
        self.reserve_for_starved(now, round);
        self.unthrottle(now, round, out);
    }

    pub(crate) fn new_start_round(&self, now: TimeMs) -> StartRound {
        let mut round = StartRound {
            used: BTreeMap::new(),
            sizes: BTreeMap::new(),
            total: Resources::ZERO,
            free: BTreeMap::new(),
            in_rack: BTreeMap::new(),
            in_data_centre: BTreeMap::new(),
            unplaceable: Vec::new(),
            blocked: BTreeSet::new(),
        };
        for (vm, worker) in &self.workers {
            let mut on_worker = Resources::ZERO;
            for (id, task) in worker.live_tasks() {
                let organisation = id.job.organisation;
                let task_size = task.size(&self.classes);
                on_worker = on_worker.saturating_add(task_size);
                let used = round.used.entry(organisation).or_default();
                *used = used.saturating_add(task.request);
                let size = round.sizes.entry(organisation).or_default();
                *size = size.saturating_add(task_size);
                round.count(organisation, &worker.spec);
            }
            if worker.is_open() {
                round.total = round.total.saturating_add(worker.spec.capacity);
                round.free.insert(*vm, worker.free(now, on_worker));
            }
        }
        round
    }

    /// Tries to start the waiting jobs of a phase. `considered` holds the last
    /// job considered for each organisation; the phase continues after it.
    fn start_phase(
        &mut self,
        now: TimeMs,
        round: &mut StartRound,
        phase: Phase,
        considered: &mut Cursors,
        out: &mut Vec<SchedulerDecision>,
    ) {
        let mut open: BTreeMap<ServiceRank, Cursor> = self
            .queue
            .waiting_organisations()
            .filter_map(|organisation| {
                let done = considered.get(&organisation).copied();
                let cursor = self.next_in_phase(now, organisation, phase, done)?;
                Some((self.service_rank(organisation, round), cursor))
            })
            .collect();
        while let Some((mut rank, cursor)) = open.pop_first() {
            let organisation = rank.organisation;
            if round.blocked.contains(&organisation) {
                continue;
            }
            considered.insert(organisation, cursor);
            let id = cursor.key.1;
            match self.try_start(now, id, round, out) {
                StartOutcome::Started => rank = self.service_rank(organisation, round),
                StartOutcome::Ended => {}
                StartOutcome::Waits(reason) => {
                    if let Some(job) = self.queue.get_mut(id) {
                        job.wait = reason;
                    }
                }
            }
            if let Some(next) = self.next_in_phase(now, organisation, phase, Some(cursor)) {
                open.insert(rank, next);
            }
        }
    }

    /// Rank of an organisation in the order of service.
    pub(crate) fn service_rank(
        &self,
        organisation: OrganisationId,
        round: &StartRound,
    ) -> ServiceRank {
        let used = round.sizes.get(&organisation).copied().unwrap_or_default();
        let view = self.organisations.get(&organisation).and_then(|state| state.view.as_ref());
        let share_milli = view.map_or(0, |view| view.share_milli);
        share::service_rank(organisation, share_milli, used, round.total)
    }

    /// The waiting job of an organisation after `done`, if it belongs to the
    /// phase. Jobs are ordered by acceptance, so aged jobs come before all
    /// others that are not urgent.
    fn next_in_phase(
        &self,
        now: TimeMs,
        organisation: OrganisationId,
        phase: Phase,
        done: Option<Cursor>,
    ) -> Option<Cursor> {
        let count = done.map_or(1, |cursor| cursor.count + 1);
        let after = done.map(|cursor| cursor.key);
        let key = self.queue.next_waiting(organisation, phase == Phase::Urgent, after)?;
        let belongs = match phase {
            Phase::Urgent | Phase::Other => true,
            Phase::Aged => is_aged(now, self.queue.get(key.1)?.accepted_at),
        };
        (belongs && count <= LOOK_AHEAD).then_some(Cursor { key, count })
    }

    fn try_start(
        &mut self,
        now: TimeMs,
        id: JobId,
        round: &mut StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) -> StartOutcome {
        if let Err(outcome) = self.check_job(now, id, out) {
            return outcome;
        }
        if let Some(reason) = self.check_grant(now, id, round, out) {
            return StartOutcome::Waits(reason);
        }
        if let Some(outcome) = self.check_fits_any(now, id, out) {
            return outcome;
        }
        let Some(job) = self.queue.get(id) else { return StartOutcome::Ended };
        let size = self.classes.estimate(&job.class, job.spec.request);
        let urgent = job.spec.urgent;
        if !urgent && round.unplaceable.iter().any(|other| other.fits_in(size)) {
            return StartOutcome::Waits(WaitReason::NoRoom);
        }
        match self.choose_worker(now, id, round) {
            Some(choice) => match self.start(now, id, choice, round, out) {
                Ok(()) => StartOutcome::Started,
                Err(violation) => {
                    out.push(SchedulerDecision::Refused(violation));
                    StartOutcome::Waits(WaitReason::NoWorker)
                }
            },
            None if round.free.is_empty() => StartOutcome::Waits(WaitReason::NoWorker),
            None if urgent => StartOutcome::Waits(self.preempt_for_job(now, id, round, out)),
            None => {
                round.unplaceable.push(size);
                StartOutcome::Waits(WaitReason::NoRoom)
            }
        }
    }

    fn start(
        &mut self,
        now: TimeMs,
        id: JobId,
        choice: WorkerChoice,
        round: &mut StartRound,
        out: &mut Vec<SchedulerDecision>,
    ) -> Result<(), Violation> {
        self.check_start(now, id, choice.vm, round)?;
        let (Some(epoch), Some(job)) = (self.epoch, self.queue.get(id)) else { return Ok(()) };
        let attempt = AttemptId { epoch, sequence: self.next_attempt };
        let task = TaskId { job: job.spec.job.clone(), attempt };
        let (class, request, payload) =
            (job.class.clone(), job.spec.request, job.spec.payload.clone());
        let reason = match self.health.health(now, choice.vm) {
            WorkerHealth::Probation => StartReason::Probe,
            WorkerHealth::Good | WorkerHealth::Quarantined { .. } if job.spec.urgent => {
                StartReason::Urgent
            }
            WorkerHealth::Good | WorkerHealth::Quarantined { .. } => {
                if is_aged(now, job.accepted_at) {
                    StartReason::Aged
                } else {
                    StartReason::FairShare
                }
            }
        };
        let Some(worker) = self.workers.get_mut(&choice.vm) else { return Ok(()) };
        self.next_attempt += 1;
        worker.tasks.insert(task.clone(), new_task(now, class, request));
        let ticket = worker.ticket;
        round.count(task.job.organisation, &worker.spec);
        self.queue.set_state(now, id, JobState::Active { vm: choice.vm, attempt });
        self.reservations.retain(|reservation| reservation.job != id);
        let organisation = task.job.organisation;
        let used = round.used.entry(organisation).or_default();
        *used = used.saturating_add(request);
        let size = round.sizes.entry(organisation).or_default();
        *size = size.saturating_add(choice.size);
        let free = round.free.entry(choice.vm).or_default();
        *free = free.saturating_sub(choice.size);
        let (vm, candidates) = (choice.vm, choice.others);
        out.push(SchedulerDecision::Start {
            task,
            vm,
            epoch,
            ticket,
            request,
            payload,
            reason,
            candidates,
        });
        Ok(())
    }
}

fn is_aged(now: TimeMs, accepted_at: TimeMs) -> bool {
    now.since(accepted_at) >= AGED_MS
}

fn new_task(now: TimeMs, class: JobClass, request: Resources) -> Task {
    Task {
        request,
        class,
        phase: TaskPhase::Starting,
        used: None,
        started_at: now,
        last_confirmed_at: now,
        pending: None,
        stop_sent: false,
        sampled: false,
        survived: false,
    }
}
