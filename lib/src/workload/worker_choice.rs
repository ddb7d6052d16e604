//! Chooses workers for the tasks that may start.

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
use crate::workload::rank;
use crate::workload::spec::StepSpec;
use crate::workload::worker::Neighbours;
use crate::workload::worker::Reachability;

/// A task waits for this time for room on a worker on which it has not failed:
/// the mean run time of the longer tasks at the users' sites.
const WAIT_FOR_OTHER_MS: u64 = 2_000;

/// Workers of one pool that may get tasks in this round.
type Candidates = Vec<WorkerId>;

/// A round of choices in one pool.
struct Round {
    now: TimeMs,
    now_unix_ms: u64,
    open: Candidates,
    /// Workers that are kept free for a lasting task that found no room.
    reserved: BTreeSet<WorkerId>,
    /// The job at hand runs only where the advice service allows it.
    needs_advice: bool,
    /// Rooms that no open worker has left. Most jobs that wait under overload
    /// ask for no less than one of these, and cost no search.
    too_large: Vec<Resources>,
}

impl Round {
    /// True if a worker may run a step, as far as advice is needed.
    fn allows(&self, dispatcher: &Dispatcher, step: StepKey, worker: WorkerId) -> bool {
        !self.needs_advice || dispatcher.tickets.get(self.now, step, worker).is_some()
    }

    fn is_too_large(&self, room: Resources) -> bool {
        self.too_large.iter().any(|too_large| too_large.fits_in(room))
    }

    /// Takes note of a room that no open worker has left. What is left only
    /// shrinks in a round.
    fn note_too_large(&mut self, room: Resources) {
        self.too_large.retain(|known| !room.fits_in(*known));
        self.too_large.push(room);
    }
}

impl Dispatcher {
    /// Chooses places for all tasks that may start and find room.
    pub fn place_tasks(&mut self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) {
        self.crowded.clear();
        if !self.is_recovered {
            return;
        }
        for (pool, mut ranked) in self.waiting_jobs(now, now_unix_ms) {
            ranked.sort();
            let open = self.schedulable_workers(now, pool);
            if open.is_empty() {
                self.crowded.insert(pool);
                continue;
            }
            let mut round = Round {
                now,
                now_unix_ms,
                open,
                reserved: BTreeSet::new(),
                needs_advice: false,
                too_large: Vec::new(),
            };
            for (_, id) in ranked {
                round.needs_advice = self.needs_advice(catalog, id);
                self.place_job(&mut round, catalog, pool, id);
            }
        }
    }

    /// Jobs with a task that may start, by pool.
    fn waiting_jobs(
        &mut self,
        now: TimeMs,
        now_unix_ms: u64,
    ) -> BTreeMap<PoolId, Vec<(rank::Rank, JobId)>> {
        let mut waiting: BTreeMap<PoolId, Vec<(rank::Rank, JobId)>> = BTreeMap::new();
        for (id, job) in self.jobs.iter_mut() {
            if job.is_closing() {
                continue;
            }
            if has_startable(job, id, now, now_unix_ms) {
                waiting.entry(job.pool).or_default().push((rank::rank(now, id, job), id));
            }
        }
        waiting
    }

    pub(crate) fn schedulable_workers(&self, now: TimeMs, pool: PoolId) -> Candidates {
        let mut open = Vec::new();
        for (id, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let in_service = !self.data_centres_out.contains(&listing.data_centre);
            let is_reached = worker.reachability == Reachability::Reachable;
            if listing.pool == pool && in_service && is_reached && worker.is_schedulable(now) {
                open.push(id);
            }
        }
        open
    }

    fn place_job(&mut self, round: &mut Round, catalog: &Catalog, pool: PoolId, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let steps = job.startable_steps(id, round.now_unix_ms);
        let steps: Vec<StepKey> = steps.map(|(step, _)| step).collect();
        let specs = Rc::clone(&job.spec);
        for step in steps {
            let spec = &specs.steps[step.step as usize];
            if self.place_step(round, catalog, step, spec) {
                continue;
            }
            self.crowded.insert(pool);
            if spec.long_running {
                self.reserve(round, spec, step);
            }
        }
    }

    /// Places the tasks of a step; false if some found no room.
    fn place_step(
        &mut self,
        round: &mut Round,
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
        if placed == waiting.len() {
            return true;
        }
        if !round.open.iter().any(|id| spec.effective_request().fits_in(self.free_of(*id))) {
            round.note_too_large(spec.effective_request());
        }
        false
    }

    /// Places tasks one by one and returns how many found room.
    fn place_each(
        &mut self,
        round: &mut Round,
        catalog: &Catalog,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> usize {
        let mut spread = self.spread(step, spec);
        for (placed, task) in waiting.iter().enumerate() {
            if !self.is_within_limit(catalog, step.job, spec.effective_request()) {
                return placed;
            }
            let chosen = self.choose(round, &spread, step, spec, *task);
            let Some(worker) = chosen else { return placed };
            let attempt = self.next_attempt(&[*task]);
            self.plan(round.now, *task, worker, attempt);
            *spread.entry(worker).or_default() += 1;
        }
        waiting.len()
    }

    /// Tasks of a step by worker, if that decides where further ones go.
    fn spread(&self, step: StepKey, spec: &StepSpec) -> BTreeMap<WorkerId, u32> {
        let mut spread = BTreeMap::new();
        let Some(job) = self.jobs.get(step.job) else { return spread };
        if spec.long_running || spec.max_tasks_per_worker.is_some() {
            for placement in job.step(step).tasks.iter().filter_map(Task::placement) {
                *spread.entry(placement.worker).or_default() += 1;
            }
        }
        spread
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        round: &mut Round,
        catalog: &Catalog,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> usize {
        let all = spec.task_count as usize;
        if waiting.len() < all {
            // The others have not ended yet.
            return waiting.len();
        }
        let total = spec.effective_request().scaled_up(spec.task_count.into(), 1);
        if !self.is_within_limit(catalog, step.job, total) {
            return 0;
        }
        let Some(workers) = self.choose_for_gang(round, step, spec, waiting) else { return 0 };
        let attempt = self.next_attempt(waiting);
        for (task, worker) in waiting.iter().zip(workers) {
            self.plan(round.now, *task, worker, attempt);
        }
        all
    }

    fn choose_for_gang(
        &self,
        round: &Round,
        step: StepKey,
        spec: &StepSpec,
        waiting: &[TaskKey],
    ) -> Option<Vec<WorkerId>> {
        let racks = self.racks(round);
        let on_one_rack = racks.iter().filter(|_| spec.same_rack).find_map(|rack| {
            let workers = round.open.iter().copied().filter(|id| self.rack(*id) == Some(rack));
            self.fill(round, workers.collect(), step, spec, waiting.len())
        });
        on_one_rack.or_else(|| self.fill(round, round.open.clone(), step, spec, waiting.len()))
    }

    /// A worker for each of `count` tasks, if all find room.
    fn fill(
        &self,
        round: &Round,
        mut workers: Vec<WorkerId>,
        step: StepKey,
        spec: &StepSpec,
        count: usize,
    ) -> Option<Vec<WorkerId>> {
        workers.sort_by_key(|id| std::cmp::Reverse(self.free_of(*id).cpu_milli));
        let mut chosen = Vec::with_capacity(count);
        for id in workers {
            if !self.has_required_label(id, spec) || !round.allows(self, step, id) {
                continue;
            }
            let mut free = self.free_of(id);
            let mut here = self.jobs.get(step.job)?.step(step).on_worker(id);
            while chosen.len() < count
                && spec.effective_request().fits_in(free)
                && spec.max_tasks_per_worker.is_none_or(|most| here < most)
            {
                free = free.saturating_sub(spec.effective_request());
                here += 1;
                chosen.push(id);
            }
        }
        (chosen.len() == count).then_some(chosen)
    }

    fn racks(&self, round: &Round) -> BTreeSet<String> {
        round.open.iter().filter_map(|id| self.rack(*id)).map(str::to_owned).collect()
    }

    fn rack(&self, id: WorkerId) -> Option<&str> {
        self.workers.get(id)?.listing.as_ref()?.rack.as_deref()
    }

    fn free_of(&self, id: WorkerId) -> Resources {
        self.workers.get(id).map_or(Resources::ZERO, |worker| worker.free())
    }

    /// The best worker for a task, if one has room.
    fn choose(
        &self,
        round: &Round,
        spread: &BTreeMap<WorkerId, u32>,
        step: StepKey,
        spec: &StepSpec,
        task: TaskKey,
    ) -> Option<WorkerId> {
        let task = self.jobs.get(step.job)?.task(task);
        let failed_on = &task.failed_on;
        let mut others_exist = false;
        let mut best_other: Option<(Score, WorkerId)> = None;
        let mut best: Option<(Score, WorkerId)> = None;
        for id in round.open.iter().copied() {
            let of_step = spread.get(&id).copied().unwrap_or(0);
            let below_most = spec.max_tasks_per_worker.is_none_or(|most| of_step < most);
            let is_kept = round.reserved.contains(&id) && !spec.long_running;
            if !below_most
                || is_kept
                || !self.has_required_label(id, spec)
                || !round.allows(self, step, id)
            {
                continue;
            }
            let is_other = !failed_on.contains(&id);
            others_exist |= is_other;
            if !spec.effective_request().fits_in(self.free_of(id)) {
                continue;
            }
            let candidate = (self.score(id, spec, of_step), id);
            let is_better =
                |best: &Option<(Score, WorkerId)>| best.is_none_or(|best| candidate < best);
            if is_other && is_better(&best_other) {
                best_other = Some(candidate);
            }
            if is_better(&best) {
                best = Some(candidate);
            }
        }
        // A lasting task may be tried anew where it has failed; another keeps
        // its attempts for a worker that has room later, if one comes free soon.
        let has_waited = round.now.since(task.failed_at) >= WAIT_FOR_OTHER_MS;
        let may_repeat = spec.long_running || !others_exist || has_waited;
        best_other.or(best.filter(|_| may_repeat)).map(|(_, id)| id)
    }

    /// True if the worker has the label that the step asks for.
    pub(crate) fn has_required_label(&self, id: WorkerId, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else { return true };
        let listing = self.workers.get(id).and_then(|worker| worker.listing.as_ref());
        listing.is_some_and(|listing| listing.labels.contains(label))
    }

    /// How little a worker suits a step: the least goes first. Lasting tasks
    /// spread over workers, which they share with those of other steps, so that
    /// few workers cannot be emptied; others fill up what is left of a worker.
    fn score(&self, id: WorkerId, spec: &StepSpec, of_step: u32) -> Score {
        let is_far = spec.data_rack.as_deref().is_some_and(|rack| self.rack(id) != Some(rack));
        let left = self.free_of(id).saturating_sub(spec.effective_request()).cpu_milli;
        let neighbours = self.workers.get(id).map(|worker| worker.neighbours).unwrap_or_default();
        let Neighbours { serving, filling } = neighbours;
        if spec.uses_spare_cpu {
            Score(is_far, serving, 0, false, u64::MAX - left)
        } else if spec.long_running {
            Score(is_far, filling, of_step, serving == 0, u64::MAX - left)
        } else {
            Score(is_far, 0, 0, false, left)
        }
    }

    pub(crate) fn is_within_limit(&self, catalog: &Catalog, id: JobId, room: Resources) -> bool {
        let Some(organisation) = self.jobs.get(id).and_then(|job| job.organisation) else {
            return true;
        };
        let Some(spec) = catalog.organisation(organisation) else { return true };
        let used = self.used.get(&organisation).copied().unwrap_or_default();
        spec.limit.allows(used.saturating_add(room))
    }

    fn next_attempt(&self, tasks: &[TaskKey]) -> u32 {
        let attempts = tasks.iter().filter_map(|task| {
            let job = self.jobs.get(task.step.job)?;
            Some(job.task(*task).attempt)
        });
        attempts.max().unwrap_or(0) + 1
    }

    /// Keeps a worker free for a lasting task: one on which room comes free as
    /// other tasks end, and of these the one that lacks least.
    fn reserve(&self, round: &mut Round, spec: &StepSpec, step: StepKey) {
        let Some(job) = self.jobs.get(step.job) else { return };
        let state = job.step(step);
        let may_run = |id: &&WorkerId| {
            !round.reserved.contains(*id)
                && self.has_required_label(**id, spec)
                && spec.max_tasks_per_worker.is_none_or(|most| state.on_worker(**id) < most)
                && spec.effective_request().fits_in(self.free_of_lasting(**id))
        };
        let lack = |id: &&WorkerId| {
            let missing = spec.effective_request().saturating_sub(self.free_of(**id));
            missing.dominant_share_ppm(spec.effective_request())
        };
        let best = round.open.iter().filter(may_run).min_by_key(lack).copied();
        round.reserved.extend(best);
    }

    /// Room of a worker that no lasting task takes.
    fn free_of_lasting(&self, id: WorkerId) -> Resources {
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

/// Compared field by field; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score(bool, u32, u32, bool, u64);

fn waiting_tasks(job: &Job, step: StepKey) -> Vec<TaskKey> {
    let tasks = (0..).zip(&job.step(step).tasks);
    let waiting = tasks.filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| TaskKey { step, index }).collect()
}

/// True if a task of the job may start; notes since when.
fn has_startable(job: &mut Job, id: JobId, now: TimeMs, now_unix_ms: u64) -> bool {
    let is_new = |(step, state): (StepKey, &Step)| state.ready_at.is_none().then_some(step);
    let new: Vec<StepKey> = job.startable_steps(id, now_unix_ms).filter_map(is_new).collect();
    for step in new {
        job.step_mut(step).ready_at = Some(now);
    }
    job.startable_steps(id, now_unix_ms).next().is_some()
}
