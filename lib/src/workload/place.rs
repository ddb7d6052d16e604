//! Chooses workers for the tasks that may start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::key::StepKey;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::rank;
use crate::workload::spec::StepSpec;
use crate::workload::worker::Contact;

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
}

impl Round {
    /// True if a worker may run a step, as far as advice is needed.
    fn allows(&self, dispatcher: &Dispatcher, step: StepKey, worker: WorkerId) -> bool {
        !self.needs_advice || dispatcher.tickets.get(self.now, step, worker).is_some()
    }
}

impl Dispatcher {
    /// Chooses places for all tasks that may start and find room.
    pub fn decide(&mut self, now: TimeMs, now_unix_ms: u64, catalog: &Catalog) {
        self.crowded.clear();
        if !self.is_recovered {
            return;
        }
        for (pool, mut ranked) in self.waiting_jobs(now, now_unix_ms) {
            ranked.sort();
            let open = self.open_workers(now, pool);
            if open.is_empty() {
                self.crowded.insert(pool);
                continue;
            }
            let mut round =
                Round { now, now_unix_ms, open, reserved: BTreeSet::new(), needs_advice: false };
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

    pub(crate) fn open_workers(&self, now: TimeMs, pool: PoolId) -> Candidates {
        let mut open = Vec::new();
        for (id, worker) in self.workers.iter() {
            let Some(listing) = &worker.listing else { continue };
            let in_service = !self.data_centres_out.contains(&listing.data_centre);
            let is_reached = worker.contact == Contact::Reached;
            if listing.pool == pool && in_service && is_reached && worker.is_open(now) {
                open.push(id);
            }
        }
        open
    }

    fn place_job(&mut self, round: &mut Round, catalog: &Catalog, pool: PoolId, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let ready: Vec<StepKey> = job
            .steps(id)
            .filter(|(step, state)| !state.is_done() && job.is_ready(*step, round.now_unix_ms))
            .map(|(step, _)| step)
            .collect();
        for step in ready {
            let Some(job) = self.jobs.get(id) else { return };
            let spec = job.step_spec(step.step).clone();
            let waiting = waiting_tasks(job, step);
            if waiting.is_empty() {
                continue;
            }
            let placed = match spec.gang {
                true => self.place_gang(round, catalog, step, &spec, &waiting),
                false => self.place_each(round, catalog, step, &spec, &waiting),
            };
            if placed < waiting.len() {
                self.crowded.insert(pool);
                if spec.lasting {
                    self.reserve(round, &spec, step);
                }
            }
        }
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
        for (placed, task) in waiting.iter().enumerate() {
            if !self.is_within_limit(catalog, step.job, spec.room()) {
                return placed;
            }
            let Some(worker) = self.choose(round, step, spec, *task) else { return placed };
            let attempt = self.next_attempt(&[*task]);
            self.plan(round.now, *task, worker, attempt);
        }
        waiting.len()
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
        let total = spec.room().scaled_up(spec.task_count.into(), 1);
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
            if !self.is_suited(id, spec) || !round.allows(self, step, id) {
                continue;
            }
            let mut free = self.free_of(id);
            let mut here = self.jobs.get(step.job)?.step(step).on_worker(id);
            while chosen.len() < count
                && spec.room().fits_in(free)
                && spec.max_tasks_per_worker.is_none_or(|most| here < most)
            {
                free = free.saturating_sub(spec.room());
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
        step: StepKey,
        spec: &StepSpec,
        task: TaskKey,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(step.job)?;
        let state = job.step(step);
        let may_run = |id: &WorkerId| {
            let below_most =
                spec.max_tasks_per_worker.is_none_or(|most| state.on_worker(*id) < most);
            let is_kept = round.reserved.contains(id) && !spec.lasting;
            below_most && !is_kept && self.is_suited(*id, spec) && round.allows(self, step, *id)
        };
        let able: Vec<WorkerId> = round.open.iter().copied().filter(may_run).collect();
        let failed_on = &job.task(task).failed_on;
        let others: Vec<WorkerId> =
            able.iter().copied().filter(|id| !failed_on.contains(id)).collect();
        if let Some(best) = self.best_of(&others, step, spec) {
            return Some(best);
        }
        // A lasting task may be tried anew where it has failed; another keeps
        // its attempts for a worker that has room later.
        let may_repeat = spec.lasting || others.is_empty();
        if may_repeat { self.best_of(&able, step, spec) } else { None }
    }

    /// The worker with room that suits a step best.
    fn best_of(&self, workers: &[WorkerId], step: StepKey, spec: &StepSpec) -> Option<WorkerId> {
        let state = self.jobs.get(step.job)?.step(step);
        let has_room = |id: &&WorkerId| spec.room().fits_in(self.free_of(**id));
        let score = |id: &&WorkerId| self.score(**id, spec, state.on_worker(**id));
        workers.iter().filter(has_room).min_by_key(score).copied()
    }

    /// True if the worker has the label that the step asks for.
    pub(crate) fn is_suited(&self, id: WorkerId, spec: &StepSpec) -> bool {
        let Some(label) = &spec.required_label else { return true };
        let listing = self.workers.get(id).and_then(|worker| worker.listing.as_ref());
        listing.is_some_and(|listing| listing.labels.contains(label))
    }

    /// How little a worker suits a step: the least goes first. Lasting tasks
    /// spread over workers, which they share with those of other steps, so that
    /// few workers cannot be emptied; others fill up what is left of a worker.
    fn score(&self, id: WorkerId, spec: &StepSpec, of_step: u32) -> Score {
        let is_far = spec.data_rack.as_deref().is_some_and(|rack| self.rack(id) != Some(rack));
        let left = self.free_of(id).saturating_sub(spec.room()).cpu_milli;
        let (serving, filling) = self.neighbours(id);
        if spec.fills {
            Score(is_far, serving, 0, false, u64::MAX - left)
        } else if spec.lasting {
            Score(is_far, filling, of_step, serving == 0, u64::MAX - left)
        } else {
            Score(is_far, 0, 0, false, left)
        }
    }

    /// Number of tasks on a worker that last, and that fill.
    fn neighbours(&self, id: WorkerId) -> (usize, usize) {
        let Some(worker) = self.workers.get(id) else { return (0, 0) };
        let (mut serving, mut filling) = (0, 0);
        for task in &worker.tasks {
            let Some(job) = self.jobs.get(task.step.job) else { continue };
            let spec = job.step_spec(task.step.step);
            serving += usize::from(spec.lasting && !spec.fills);
            filling += usize::from(spec.fills);
        }
        (serving, filling)
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
                && self.is_suited(**id, spec)
                && spec.max_tasks_per_worker.is_none_or(|most| state.on_worker(**id) < most)
                && spec.room().fits_in(self.free_of_lasting(**id))
        };
        let lack = |id: &&WorkerId| {
            let missing = spec.room().saturating_sub(self.free_of(**id));
            missing.dominant_share_ppm(spec.room())
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
            match spec.filter(|spec| spec.lasting) {
                Some(spec) => free.saturating_sub(spec.room()),
                None => free,
            }
        })
    }
}

/// Compared field by field; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Score(bool, usize, u32, bool, u64);

pub(crate) fn waiting_tasks(job: &Job, step: StepKey) -> Vec<TaskKey> {
    let tasks = (0..).zip(&job.step(step).tasks);
    let waiting = tasks.filter(|(_, task)| task.is_waiting());
    waiting.map(|(index, _)| TaskKey { step, index }).collect()
}

/// True if a task of the job may start; notes since when.
fn has_startable(job: &mut Job, id: JobId, now: TimeMs, now_unix_ms: u64) -> bool {
    let startable: Vec<StepKey> = job
        .steps(id)
        .filter(|(step, state)| {
            state.tasks.iter().any(|task| task.is_waiting()) && job.is_ready(*step, now_unix_ms)
        })
        .map(|(step, _)| step)
        .collect();
    for step in &startable {
        job.step_mut(*step).ready_at.get_or_insert(now);
    }
    !startable.is_empty()
}
