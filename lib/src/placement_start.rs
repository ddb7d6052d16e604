//! Which waiting job is served next, and the start of its task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::JobId;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::invariant::Violation;
use crate::job::AttemptId;
use crate::job::JobState;
use crate::job::TaskId;
use crate::job_class::JobClass;
use crate::job_queue::Job;
use crate::placement::Scheduler;
use crate::placement_choice::Choice;
use crate::resources::Resources;
use crate::scheduler_decision::SchedulerDecision;
use crate::scheduler_decision::StartReason;
use crate::scheduler_decision::WaitReason;
use crate::share;
use crate::time::TimeMs;
use crate::worker_health::WorkerHealth;
use crate::worker_view::Task;
use crate::worker_view::TaskPhase;

/// A job that has waited this long is considered together with urgent ones.
const AGED_MS: u64 = 600_000;

/// Waiting jobs of a team that one decision looks at.
const LOOK_AHEAD: usize = 512;

/// Room that becomes free on a worker for one waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Promise {
    pub(crate) vm: VmId,
    pub(crate) job: JobId,
    pub(crate) size: Resources,
    pub(crate) urgent: bool,
    pub(crate) since: TimeMs,
}

/// State of one decision about starts.
pub(crate) struct Round {
    /// Declared sizes of the live tasks of each team.
    pub(crate) used: BTreeMap<TeamId, Resources>,
    /// What the live tasks of each team really use.
    sizes: BTreeMap<TeamId, Resources>,
    /// Capacity of the workers that take new work.
    pub(crate) total: Resources,
    /// Room on each worker that takes new work.
    pub(crate) free: BTreeMap<VmId, Resources>,
    /// Sizes that found no room.
    full: Vec<Resources>,
    /// Teams whose first job waits for grant that later ones must not use.
    pub(crate) blocked: BTreeSet<TeamId>,
}

/// What became of the attempt to start a job.
pub(crate) enum Attempt {
    Started,
    Ended,
    Waits(WaitReason),
}

/// Order in which a phase serves the jobs of one team.
struct Cursor {
    jobs: Vec<JobId>,
    next: usize,
}

impl Scheduler {
    /// Starts waiting jobs: urgent and aged ones first, then by fair share.
    pub(crate) fn start_jobs(&mut self, now: TimeMs, out: &mut Vec<SchedulerDecision>) {
        if self.gate(now).is_some() {
            return;
        }
        let mut round = self.new_round(now);
        self.drop_promises(now);
        let first = |job: &Job| job.spec.urgent || now.since(job.accepted_at) >= AGED_MS;
        self.start_phase(now, &mut round, first, out);
        self.start_phase(now, &mut round, |job| !first(job), out);
        self.reserve_for_starved(now, &round);
        self.unthrottle(now, &round, out);
    }

    pub(crate) fn new_round(&self, now: TimeMs) -> Round {
        let mut round = Round {
            used: BTreeMap::new(),
            sizes: BTreeMap::new(),
            total: Resources::ZERO,
            free: BTreeMap::new(),
            full: Vec::new(),
            blocked: BTreeSet::new(),
        };
        for (vm, worker) in &self.workers {
            for (id, task) in worker.live_tasks() {
                let used = round.used.entry(id.job.team).or_default();
                *used = used.saturating_add(task.request);
                let size = round.sizes.entry(id.job.team).or_default();
                *size = size.saturating_add(task.size(&self.classes));
            }
            if worker.is_open() {
                round.total = round.total.saturating_add(worker.spec.capacity);
                round.free.insert(*vm, worker.free(now, &self.classes));
            }
        }
        round
    }

    fn start_phase<F>(
        &mut self,
        now: TimeMs,
        round: &mut Round,
        belongs: F,
        out: &mut Vec<SchedulerDecision>,
    ) where
        F: Fn(&Job) -> bool,
    {
        let mut cursors: BTreeMap<TeamId, Cursor> = self
            .queue
            .waiting_teams()
            .map(|team| {
                let waiting = self.queue.waiting(team).filter(|(_, job)| belongs(job));
                let jobs = waiting.map(|(id, _)| id).take(LOOK_AHEAD).collect();
                (team, Cursor { jobs, next: 0 })
            })
            .collect();
        while let Some(team) = self.next_team(round, &cursors) {
            let Some(cursor) = cursors.get_mut(&team) else { return };
            let Some(id) = cursor.jobs.get(cursor.next).copied() else { return };
            cursor.next += 1;
            match self.try_start(now, id, round, out) {
                Attempt::Started | Attempt::Ended => {}
                Attempt::Waits(reason) => {
                    if let Some(job) = self.queue.get_mut(id) {
                        job.wait = reason;
                    }
                }
            }
        }
    }

    /// The team with jobs left that has the least of its share.
    fn next_team(&self, round: &Round, cursors: &BTreeMap<TeamId, Cursor>) -> Option<TeamId> {
        let teams = cursors.iter().filter(|(team, cursor)| {
            cursor.next < cursor.jobs.len() && !round.blocked.contains(team)
        });
        teams.map(|(team, _)| *team).min_by_key(|team| {
            let used = round.sizes.get(team).copied().unwrap_or_default();
            let view = self.teams.get(team).and_then(|state| state.view.as_ref());
            let share_milli = view.map_or(0, |view| view.share_milli);
            share::service_rank(*team, share_milli, used, round.total)
        })
    }

    fn try_start(
        &mut self,
        now: TimeMs,
        id: JobId,
        round: &mut Round,
        out: &mut Vec<SchedulerDecision>,
    ) -> Attempt {
        if let Err(attempt) = self.check_job(now, id, out) {
            return attempt;
        }
        if let Some(reason) = self.check_grant(now, id, round, out) {
            return Attempt::Waits(reason);
        }
        if let Some(ended) = self.check_fits_any(now, id, out) {
            return ended;
        }
        let Some(job) = self.queue.get(id) else { return Attempt::Ended };
        let size = self.classes.estimate(&job.class, job.spec.request);
        let urgent = job.spec.urgent;
        if !urgent && round.full.iter().any(|full| full.fits_in(size)) {
            return Attempt::Waits(WaitReason::NoRoom);
        }
        match self.choose_worker(now, id, round) {
            Some(choice) => match self.start(now, id, choice, round, out) {
                Ok(()) => Attempt::Started,
                Err(violation) => {
                    out.push(SchedulerDecision::Refused(violation));
                    Attempt::Waits(WaitReason::NoWorker)
                }
            },
            None if round.free.is_empty() => Attempt::Waits(WaitReason::NoWorker),
            None if urgent => Attempt::Waits(self.make_room(now, id, round, out)),
            None => {
                round.full.push(size);
                Attempt::Waits(WaitReason::NoRoom)
            }
        }
    }

    fn start(
        &mut self,
        now: TimeMs,
        id: JobId,
        choice: Choice,
        round: &mut Round,
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
                let aged = now.since(job.accepted_at) >= AGED_MS;
                if aged { StartReason::Aged } else { StartReason::FairShare }
            }
        };
        let Some(worker) = self.workers.get_mut(&choice.vm) else { return Ok(()) };
        self.next_attempt += 1;
        worker.tasks.insert(task.clone(), new_task(now, class, request));
        let ticket = worker.ticket;
        self.queue.set_state(now, id, JobState::Active { vm: choice.vm, attempt });
        self.promises.retain(|promise| promise.job != id);
        let team = task.job.team;
        let used = round.used.entry(team).or_default();
        *used = used.saturating_add(request);
        let size = round.sizes.entry(team).or_default();
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

fn new_task(now: TimeMs, class: JobClass, request: Resources) -> Task {
    Task {
        request,
        class,
        phase: TaskPhase::Starting,
        used: None,
        started_at: now,
        known_at: now,
        pending: None,
        stop_sent: false,
        sampled: false,
        survived: false,
    }
}
