//! Choice of workers for the tasks that may start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::job::Step;
use crate::workload::job::Task;
use crate::workload::key::JobId;
use crate::workload::key::StepKey;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::placement_round::Candidates;
use crate::workload::placement_round::PlacementRound;
use crate::workload::placement_round::PlacementRounds;
use crate::workload::rank;
use crate::workload::spec::StepSpec;
use crate::workload::start_budget::start_bytes;
use crate::workload::worker::Reachability;
use crate::workload::worker::TaskCounts;
use crate::workload::worker::Worker;

/// Time for which a failed task waits for free capacity on a worker on which it
/// has not failed. It is the mean run time of the longer tasks in known
/// workloads.
const OTHER_WORKER_WAIT_MS: u64 = 2_000;

impl Dispatcher {
    /// Places all tasks that may start and for which a worker has capacity.
    pub fn place_tasks(&mut self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) {
        if !self.is_recovered {
            return;
        }
        self.start_budget.refill(now);
        self.tickets.round_started();
        // All pools share the link of the owner, so their jobs are in one order.
        let waiting = self.waiting_jobs(now, now_unix_ms);
        let pools: BTreeSet<PoolId> = waiting.iter().map(|(_, pool, _)| *pool).collect();
        let candidates = self.schedulable_workers_of(now, &pools);
        let mut rounds = PlacementRounds::new(now, now_unix_ms, candidates);
        // While the link is the limit, jobs start in the order of their arrival.
        if self.features.share_by_weight && self.start_delay_ms == 0 {
            self.place_by_share(&mut rounds, catalog, waiting);
        } else {
            for (_, pool, id) in waiting {
                rounds.place(self, catalog, pool, id);
            }
        }
        self.start_delay_ms = self.estimate_start_delay_ms(now, now_unix_ms);
    }

    /// Time until the link of the owner has carried all starts that are due and
    /// that a new job would wait for. It is zero while the link is not the
    /// limit.
    fn estimate_start_delay_ms(&self, now: TimeMs, now_unix_ms: u64) -> u64 {
        if self.start_budget.is_available() {
            return 0;
        }
        let mut bytes: u64 = 0;
        for (id, job) in self.jobs.iter() {
            if job.is_closing() || rank::is_overdue(now, job) {
                continue;
            }
            for (_, state) in job.startable_steps(id, now_unix_ms) {
                let start = start_bytes(job.payload.len());
                bytes = bytes.saturating_add(start.saturating_mul(state.waiting().into()));
            }
        }
        self.start_budget.time_for_ms(bytes)
    }

    /// Jobs with tasks that may start, and their pools, in ascending rank.
    pub(crate) fn waiting_jobs(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
    ) -> Vec<(rank::Rank, PoolId, JobId)> {
        let mut waiting = Vec::new();
        let is_link_limited = self.start_delay_ms > 0;
        for (id, job) in self.jobs.iter_mut() {
            if job.is_closing() {
                continue;
            }
            if mark_ready_steps(job, id, now, now_unix_ms) {
                let rank = rank::rank(now, id, job);
                let rank = if is_link_limited { rank.by_arrival() } else { rank };
                waiting.push((rank, job.pool, id));
            }
        }
        waiting.sort_unstable();
        waiting
    }

    pub(crate) fn schedulable_workers(&self, now: TimeMs, pool: PoolId) -> Candidates {
        let workers = self.schedulable_workers_of(now, &BTreeSet::from([pool]));
        workers.into_values().next().unwrap_or_default()
    }

    /// Workers of these pools that may get tasks, in one pass over the fleet.
    fn schedulable_workers_of(
        &self,
        now: TimeMs,
        pools: &BTreeSet<PoolId>,
    ) -> BTreeMap<PoolId, Candidates> {
        let mut candidates: BTreeMap<PoolId, Candidates> =
            pools.iter().map(|pool| (*pool, Candidates::new())).collect();
        if candidates.is_empty() {
            return candidates;
        }
        for (id, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let Some(of_pool) = candidates.get_mut(&listing.pool) else { continue };
            if self.candidate_pool(now, worker).is_some() {
                of_pool.push(id);
            }
        }
        candidates
    }

    /// Pool whose tasks a worker may get; none if it may get no tasks.
    pub(crate) fn candidate_pool(&self, now: TimeMs, worker: &Worker) -> Option<PoolId> {
        let listing = worker.listing.as_ref()?;
        let in_service = !self.data_centres_out.contains(&listing.data_centre);
        let is_reachable = worker.reachability == Reachability::Reachable;
        (in_service && is_reachable && worker.is_schedulable(now)).then_some(listing.pool)
    }

    /// Places the waiting tasks of a job. Returns the first step that found no
    /// worker although the limit of its organisation allows it.
    pub(crate) fn place_job(
        &mut self,
        round: &mut PlacementRound,
        catalog: &Catalog,
        id: JobId,
    ) -> Option<StepKey> {
        let job = self.jobs.get(id)?;
        let mut unplaced = None;
        let steps = job.startable_steps(id, round.now_unix_ms);
        let steps: Vec<StepKey> = steps.map(|(step, _)| step).collect();
        let specs = Rc::clone(&job.spec);
        for step in steps {
            let spec = &specs.steps[step.step as usize];
            if self.place_step(round, catalog, step, spec) {
                continue;
            }
            // A step that no free worker could start must not keep one from
            // others, and no other worker could start it either.
            if !self.is_within_limit(catalog, id, spec.start_request()) {
                continue;
            }
            if round.needs_advice {
                self.tickets.not_placed(step);
            }
            unplaced = unplaced.or(Some(step));
            if spec.long_running {
                self.reserve_worker(round, spec, step);
            }
        }
        unplaced
    }

    /// Places the waiting tasks of a step. Returns false if some could not be
    /// placed.
    fn place_step(
        &mut self,
        round: &mut PlacementRound,
        catalog: &Catalog,
        step: StepKey,
        spec: &StepSpec,
    ) -> bool {
        if round.is_too_large(spec.effective_request()) {
            return false;
        }
        let Some(job) = self.jobs.get(step.job) else { return true };
        let waiting = waiting_tasks(job, step);
        let placed = match spec.gang {
            true => self.place_gang(round, catalog, step, spec, &waiting),
            false => self.place_each(round, catalog, step, spec, &waiting),
        };
        // A step that waits for the link waits for no worker.
        if placed == waiting.len() || !self.start_budget.is_available() {
            return true;
        }
        if !round
            .candidates
            .iter()
            .any(|id| spec.effective_request().fits_in(self.free_capacity(*id)))
        {
            round.add_too_large(spec.effective_request());
        }
        false
    }

    /// Places tasks one by one and returns how many were placed.
    fn place_each(
        &mut self,
        round: &mut PlacementRound,
        catalog: &Catalog,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> usize {
        let mut tasks_by_worker = self.tasks_by_worker(step, spec);
        for (placed, task) in waiting.iter().enumerate() {
            if !self.start_budget.is_available()
                || !self.is_within_limit(catalog, step.job, spec.start_request())
            {
                return placed;
            }
            let chosen = self.choose_worker(round, &tasks_by_worker, step, spec, *task);
            let Some(worker) = chosen else { return placed };
            let attempt = self.next_attempt(&[*task]);
            self.plan_start(round.now, *task, worker, attempt);
            *tasks_by_worker.entry(worker).or_default() += 1;
        }
        waiting.len()
    }

    /// Number of placed tasks of a step by worker; empty if the choice of
    /// workers doesn't depend on it.
    pub(crate) fn tasks_by_worker(
        &self,
        step: StepKey,
        spec: &StepSpec,
    ) -> BTreeMap<WorkerId, u32> {
        let mut tasks_by_worker = BTreeMap::new();
        let Some(job) = self.jobs.get(step.job) else { return tasks_by_worker };
        if spec.long_running || spec.max_tasks_per_worker.is_some() {
            for placement in job.step(step).tasks.iter().filter_map(Task::placement) {
                *tasks_by_worker.entry(placement.worker).or_default() += 1;
            }
        }
        tasks_by_worker
    }

    /// Places all tasks of a gang or none, and returns how many were placed.
    fn place_gang(
        &mut self,
        round: &mut PlacementRound,
        catalog: &Catalog,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> usize {
        let task_count = spec.task_count as usize;
        if waiting.len() < task_count {
            // The gang waits for the end of its former attempt, not for capacity.
            return waiting.len();
        }
        if !self.is_within_limit(catalog, step.job, spec.start_request()) {
            return 0;
        }
        let Some(workers) = self.choose_gang_workers(round, step, spec, waiting) else { return 0 };
        let attempt = self.next_attempt(waiting);
        for (task, worker) in waiting.iter().zip(workers) {
            self.plan_start(round.now, *task, worker, attempt);
        }
        task_count
    }

    fn choose_gang_workers(
        &self,
        round: &PlacementRound,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> Option<Vec<WorkerId>> {
        let racks = self.racks(round);
        let on_one_rack = racks.iter().filter(|_| spec.same_rack).find_map(|rack| {
            let workers =
                round.candidates.iter().copied().filter(|id| self.rack(*id) == Some(rack));
            self.choose_workers(round, workers.collect(), step, spec, waiting.len())
        });
        on_one_rack.or_else(|| {
            self.choose_workers(round, round.candidates.clone(), step, spec, waiting.len())
        })
    }

    /// Chooses a worker for each of `count` tasks; `None` if not all of them
    /// fit.
    fn choose_workers(
        &self,
        round: &PlacementRound,
        mut workers: Vec<WorkerId>,
        step: StepKey,
        spec: &StepSpec,
        count: usize,
    ) -> Option<Vec<WorkerId>> {
        workers.sort_by_key(|id| std::cmp::Reverse(self.free_capacity(*id).cpu_milli));
        let mut chosen = Vec::with_capacity(count);
        for id in workers {
            if round.allows(self, step, id) {
                let left = u32::try_from(count - chosen.len()).unwrap_or(u32::MAX);
                let slots = self.task_slots(id, spec, 0, self.free_capacity(id), left);
                chosen.extend((0..slots).map(|_| id));
            }
        }
        (chosen.len() == count).then_some(chosen)
    }

    fn racks(&self, round: &PlacementRound) -> BTreeSet<String> {
        round.candidates.iter().filter_map(|id| self.rack(*id)).map(str::to_owned).collect()
    }

    pub(crate) fn rack(&self, id: WorkerId) -> Option<&str> {
        self.workers.get(id)?.listing.as_ref()?.rack.as_deref()
    }

    /// The best worker for a task among those with enough free capacity.
    fn choose_worker(
        &self,
        round: &PlacementRound,
        tasks_by_worker: &BTreeMap<WorkerId, u32>,
        step: StepKey,
        spec: &StepSpec,
        task: TaskKey,
    ) -> Option<WorkerId> {
        let task = self.jobs.get(step.job)?.task(task);
        let failed_on = &task.failed_on;
        let mut untried_exist = false;
        let mut best_untried: Option<(Score, WorkerId)> = None;
        let mut best: Option<(Score, WorkerId)> = None;
        for id in round.candidates.iter().copied() {
            let tasks_of_step = tasks_by_worker.get(&id).copied().unwrap_or(0);
            let is_below_max = spec.max_tasks_per_worker.is_none_or(|max| tasks_of_step < max);
            let is_reserved = round.reserved_workers.contains(&id) && !spec.long_running;
            if !is_below_max
                || is_reserved
                || !self.has_required_label(id, spec)
                || !round.allows(self, step, id)
            {
                continue;
            }
            let is_untried = !failed_on.contains(&id);
            untried_exist |= is_untried;
            if !spec.effective_request().fits_in(self.free_capacity(id)) {
                continue;
            }
            let candidate = (self.score(id, spec, tasks_of_step), id);
            let is_better =
                |best: &Option<(Score, WorkerId)>| best.is_none_or(|best| candidate < best);
            if is_untried && is_better(&best_untried) {
                best_untried = Some(candidate);
            }
            if is_better(&best) {
                best = Some(candidate);
            }
        }
        // A long-running task may be retried on a worker on which it has
        // failed. Other tasks have a limited number of attempts, so they first
        // wait for capacity on another worker.
        let has_waited = round.now.since(task.failed_at) >= OTHER_WORKER_WAIT_MS;
        let may_repeat = spec.long_running || !untried_exist || has_waited;
        best_untried.or(best.filter(|_| may_repeat)).map(|(_, id)| id)
    }

    /// Scores a worker for a task of a step. Long-running tasks of one step are
    /// spread over workers, but share them with those of other steps, so that
    /// only a few workers are hard to drain. Tasks that use spare CPU avoid
    /// workers with long-running tasks. All others are packed onto the fullest
    /// worker on which they fit.
    fn score(&self, id: WorkerId, spec: &StepSpec, tasks_of_step: u32) -> Score {
        let is_far = spec.data_rack.as_deref().is_some_and(|rack| self.rack(id) != Some(rack));
        let left = self.free_capacity(id).saturating_sub(spec.effective_request()).cpu_milli;
        let worker = self.workers.get(id);
        let is_emptying = worker.is_some_and(|worker| worker.is_emptying);
        let task_counts = worker.map(|worker| worker.task_counts).unwrap_or_default();
        let TaskCounts { serving, spare_cpu } = task_counts;
        if spec.uses_spare_cpu {
            Score(is_far, is_emptying, serving, 0, false, u64::MAX - left)
        } else if spec.long_running {
            Score(is_far, is_emptying, spare_cpu, tasks_of_step, serving == 0, u64::MAX - left)
        } else {
            Score(is_far, is_emptying, 0, 0, false, left)
        }
    }

    pub(crate) fn is_within_limit(&self, catalog: &Catalog, id: JobId, request: Resources) -> bool {
        let Some(organisation) = self.jobs.get(id).and_then(|job| job.organisation) else {
            return true;
        };
        let Some(spec) = catalog.organisation(organisation) else { return true };
        let used = self.used_by_organisation.get(&organisation).copied().unwrap_or_default();
        spec.limit.allows(used.saturating_add(request))
    }

    fn next_attempt(&self, tasks: &[TaskKey]) -> u32 {
        let attempts = tasks.iter().filter_map(|task| {
            let job = self.jobs.get(task.step.job)?;
            Some(job.task(*task).attempt)
        });
        attempts.max().unwrap_or(0) + 1
    }

    /// Reserves a worker for a task that could not be placed. The worker must have the capacity once its other tasks have ended; of these
    /// the one with the smallest shortfall is chosen.
    pub(crate) fn reserve_worker(
        &self,
        round: &mut PlacementRound,
        spec: &StepSpec,
        step: StepKey,
    ) {
        let Some(job) = self.jobs.get(step.job) else { return };
        let state = job.step(step);
        let may_run = |id: &&WorkerId| {
            !round.reserved_workers.contains(*id)
                && self.has_required_label(**id, spec)
                && round.allows(self, step, **id)
                && spec.max_tasks_per_worker.is_none_or(|max| state.on_worker(**id) < max)
                && spec.effective_request().fits_in(self.capacity_for_long_running(**id))
        };
        let shortfall = |id: &&WorkerId| {
            let missing = spec.effective_request().saturating_sub(self.free_capacity(**id));
            missing.dominant_share_ppm(spec.effective_request())
        };
        let best = round.candidates.iter().filter(may_run).min_by_key(shortfall).copied();
        round.reserved_workers.extend(best);
    }

    /// Capacity of a worker that is not taken by long-running tasks.
    fn capacity_for_long_running(&self, id: WorkerId) -> Resources {
        let Some(worker) = self.workers.get(id) else { return Resources::ZERO };
        let capacity = worker.listing.as_ref().map_or(Resources::ZERO, |listing| listing.capacity);
        worker.tasks.iter().fold(capacity, |free, task| {
            let job = self.jobs.get(task.step.job);
            let spec = job.map(|job| job.step_spec(task.step.step));
            match spec.filter(|spec| spec.long_running) {
                Some(spec) => free.saturating_sub(spec.effective_request()),
                None => free,
            }
        })
    }
}

/// Compared field by field; the lowest score is best. The fields are: the
/// worker is outside the rack of the data, its pool has no need of it, tasks to
/// avoid on the worker, tasks of the same step there, no long-running task to share the worker with, and a
/// measure of the CPU that stays free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score(bool, bool, u32, u32, bool, u64);

fn waiting_tasks(job: &Job, step: StepKey) -> Vec<TaskKey> {
    let tasks = (0..).zip(&job.step(step).tasks);
    let waiting = tasks.filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| TaskKey { step, index }).collect()
}

/// Records when steps became ready. Returns true if a task of the job may
/// start.
fn mark_ready_steps(job: &mut Job, id: JobId, now: TimeMs, now_unix_ms: u64) -> bool {
    let is_new = |(step, state): (StepKey, &Step)| state.ready_at.is_none().then_some(step);
    let new: Vec<StepKey> = job.startable_steps(id, now_unix_ms).filter_map(is_new).collect();
    for step in new {
        job.step_mut(step).ready_at = Some(now);
    }
    job.startable_steps(id, now_unix_ms).next().is_some()
}
