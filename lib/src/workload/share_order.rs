//! Order of starts while a pool is full: organisations below their due share go
//! before those beyond it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::rc::Rc;

use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::fair_share::OrganisationLoad;
use crate::workload::fair_share::OrganisationUse;
use crate::workload::fair_share::PoolContention;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::key::StepKey;
use crate::workload::placement_round::PlacementRounds;
use crate::workload::rank;
use crate::workload::rank::Rank;

/// A waiting job, and its place in the order without shares.
type WaitingJob = (Rank, PoolId, JobId);

/// Place of a job that is passed over while others have to go first; the lowest
/// goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LentPlace {
    /// The job has no value left for its submitter.
    is_overdue: bool,
    /// The organisation submitted more jobs a second than its weight.
    is_beyond_rate: bool,
    /// The job has missed its objective.
    is_late: bool,
    /// Tenths of its due share that the organisation has.
    filled_tenths: u64,
    rank: Rank,
}

/// Jobs of one organisation in one pool that are passed over.
type LentJobs = BinaryHeap<Reverse<(LentPlace, JobId)>>;

/// The jobs of one placement round that get what the others leave.
#[derive(Debug, Default)]
struct SharedRound {
    /// By pool and organisation.
    lent: BTreeMap<(PoolId, Option<OrganisationId>), LentJobs>,
    /// The first step in each pool that found no worker although a share is due
    /// to it.
    unplaced: BTreeMap<PoolId, StepKey>,
}

impl Dispatcher {
    /// Places waiting jobs in the order of their shares, and by rank among those
    /// of organisations below their due share. No room stays idle that a task
    /// fits into, except for one worker in each pool that is kept for a large
    /// task.
    pub(crate) fn place_by_share(
        &mut self,
        rounds: &mut PlacementRounds,
        catalog: &Catalog,
        mut waiting: Vec<WaitingJob>,
    ) {
        let now = rounds.now;
        let rooms = self.pool_rooms(rounds, catalog);
        self.shares.measure(now, &rooms);
        let aged = self.aged_jobs(now, &waiting);
        // The order is stable, so that the rank decides among the others.
        waiting.sort_by_key(|(rank, _, id)| (!rank.is_long_running(), !aged.contains(id)));
        let mut shared = SharedRound::default();
        for job in waiting {
            self.place_within_share(rounds, catalog, &mut shared, &aged, job);
        }
        for (pool, step) in std::mem::take(&mut shared.unplaced) {
            self.keep_worker(rounds, pool, step);
        }
        self.place_lent(rounds, catalog, shared);
    }

    /// Places the jobs that were passed over. Each start moves its organisation
    /// back, so that what is left is shared by weight as well.
    fn place_lent(
        &mut self,
        rounds: &mut PlacementRounds,
        catalog: &Catalog,
        mut shared: SharedRound,
    ) {
        let mut next = BinaryHeap::new();
        for ((pool, organisation), jobs) in &mut shared.lent {
            let first = self.next_lent(*pool, *organisation, jobs);
            next.extend(first.map(|(place, id)| Reverse((place, *pool, *organisation, id))));
        }
        while let Some(Reverse((_, pool, organisation, id))) = next.pop() {
            self.place_counted(rounds, catalog, pool, id);
            let Some(jobs) = shared.lent.get_mut(&(pool, organisation)) else { continue };
            let following = self.next_lent(pool, organisation, jobs);
            next.extend(following.map(|(place, id)| Reverse((place, pool, organisation, id))));
        }
    }

    /// Takes the next job of an organisation, with its place as of now.
    fn next_lent(
        &self,
        pool: PoolId,
        organisation: Option<OrganisationId>,
        jobs: &mut LentJobs,
    ) -> Option<(LentPlace, JobId)> {
        let Reverse((place, id)) = jobs.pop()?;
        let share = self.shares.pool(pool).map(|shares| shares.organisation(organisation));
        let filled_tenths = share.unwrap_or_default().filled_tenths();
        Some((LentPlace { filled_tenths, ..place }, id))
    }

    /// Places a job, unless others have to go first.
    fn place_within_share(
        &mut self,
        rounds: &mut PlacementRounds,
        catalog: &Catalog,
        shared: &mut SharedRound,
        aged: &BTreeSet<JobId>,
        (rank, pool, id): WaitingJob,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let organisation = job.organisation;
        if rank.is_long_running() {
            rounds.place(self, catalog, pool, id);
            return;
        }
        let share = self.shares.pool_mut(pool);
        let is_aged = aged.contains(&id);
        let is_overdue = rank::is_overdue(rounds.now, job);
        let is_beyond = share.is_beyond(organisation) || job.is_beyond_rate;
        let is_late = rank.is_late();
        let is_later = is_beyond || is_late || is_overdue;
        if share.is_full() && is_later && !is_aged {
            let is_beyond_rate = job.is_beyond_rate;
            let filled_tenths = 0;
            let place = LentPlace { is_overdue, is_beyond_rate, is_late, filled_tenths, rank };
            shared.lent.entry((pool, organisation)).or_default().push(Reverse((place, id)));
            return;
        }
        let before = placed_resources(job);
        let unplaced = self.place_counted(rounds, catalog, pool, id);
        let after = self.jobs.get(id).map(placed_resources);
        if is_aged && after.is_some_and(|after| after != before) {
            self.shares.pool_mut(pool).aged_job_started(rounds.now, organisation);
        }
        match unplaced {
            Some(step) if is_aged => self.keep_worker(rounds, pool, step),
            Some(step) => {
                shared.unplaced.entry(pool).or_insert(step);
            }
            None => {}
        }
    }

    /// Places a job and adds what it takes to the use of its organisation.
    /// Returns the first step that found no worker.
    fn place_counted(
        &mut self,
        rounds: &mut PlacementRounds,
        catalog: &Catalog,
        pool: PoolId,
        id: JobId,
    ) -> Option<StepKey> {
        let job = self.jobs.get(id)?;
        let (organisation, before) = (job.organisation, placed_resources(job));
        let unplaced = rounds.place(self, catalog, pool, id);
        let after = self.jobs.get(id).map_or(before, placed_resources);
        let share = self.shares.pool_mut(pool);
        share.placed(organisation, after.saturating_sub(before));
        if unplaced.is_some() {
            share.lacks_room();
        }
        unplaced
    }

    /// Keeps a worker for the tasks of a step that fit nowhere, so that smaller
    /// tasks don't take the room that frees on every worker.
    fn keep_worker(&mut self, rounds: &mut PlacementRounds, pool: PoolId, step: StepKey) {
        let Some(job) = self.jobs.get(step.job) else { return };
        let spec = Rc::clone(&job.spec);
        if let Some(round) = rounds.pool_mut(pool) {
            self.reserve_worker(round, &spec.steps[step.step as usize], step);
        }
    }

    /// The oldest job of each organisation in each full pool, where it is due to
    /// go first.
    fn aged_jobs(&self, now: TimeMs, waiting: &[WaitingJob]) -> BTreeSet<JobId> {
        let mut oldest: BTreeMap<(PoolId, Option<OrganisationId>), (Reverse<u64>, JobId)> =
            BTreeMap::new();
        for (_, pool, id) in waiting.iter().filter(|(rank, ..)| !rank.is_long_running()) {
            let Some(job) = self.jobs.get(*id) else { continue };
            let age = (Reverse(job.age_ms(now)), *id);
            let entry = oldest.entry((*pool, job.organisation)).or_insert(age);
            *entry = age.min(*entry);
        }
        let is_due = |pool: PoolId, organisation, age_ms| {
            let share = self.shares.pool(pool);
            share.is_some_and(|share| share.is_full() && share.is_aged(now, organisation, age_ms))
        };
        let aged = oldest.into_iter().filter(|((pool, organisation), (Reverse(age_ms), _))| {
            is_due(*pool, *organisation, *age_ms)
        });
        aged.map(|(_, (_, id))| id).collect()
    }

    /// Room and load of the pools, without long-running tasks, which do not give
    /// way to others.
    fn pool_rooms(
        &self,
        rounds: &PlacementRounds,
        catalog: &Catalog,
    ) -> BTreeMap<PoolId, PoolContention> {
        let mut rooms: BTreeMap<PoolId, PoolContention> = BTreeMap::new();
        for (pool, workers) in rounds.candidates() {
            let sizes = workers.iter().map(|id| self.capacity(*id));
            let capacity = sizes.fold(Resources::ZERO, Resources::saturating_add);
            rooms.insert(*pool, PoolContention { capacity, ..PoolContention::default() });
        }
        let mut long_running: BTreeMap<PoolId, Resources> = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            let Some(room) = rooms.get_mut(&job.pool) else { continue };
            if job.spec.is_long_running() {
                let taken = long_running.entry(job.pool).or_default();
                *taken = taken.saturating_add(placed_resources(job));
                continue;
            }
            let load = room.organisations.entry(job.organisation).or_default();
            load.used = load.used.saturating_add(placed_resources(job));
            if !job.is_closing() {
                load.waiting =
                    load.waiting.saturating_add(waiting_resources(id, job, rounds.now_unix_ms));
            }
        }
        for (pool, taken) in long_running {
            if let Some(room) = rooms.get_mut(&pool) {
                room.capacity = room.capacity.saturating_sub(taken);
            }
        }
        for room in rooms.values_mut() {
            for (organisation, load) in &mut room.organisations {
                self.apply_configuration(catalog, *organisation, load);
            }
        }
        rooms
    }

    /// Sets the weight of an organisation, and takes what its limit refuses out
    /// of its load.
    fn apply_configuration(
        &self,
        catalog: &Catalog,
        organisation: Option<OrganisationId>,
        load: &mut OrganisationLoad,
    ) {
        let Some(id) = organisation else { return };
        let Some(spec) = catalog.organisation(id) else { return };
        load.weight = spec.weight;
        let used = self.used_by_organisation.get(&id).copied().unwrap_or_default();
        load.waiting = load.waiting.min(spec.limit.left(used));
    }

    /// True while a pool is full and an organisation has at least its due share
    /// of it and wants more. Its further jobs wait for room that the others leave.
    pub fn is_beyond_share(&self, organisation: Option<OrganisationId>, pool: PoolId) -> bool {
        self.shares.pool(pool).is_some_and(|shares| shares.is_beyond(organisation))
    }

    /// What each organisation uses of a pool, by the last placement round.
    pub fn use_by_organisation(
        &self,
        pool: PoolId,
    ) -> BTreeMap<Option<OrganisationId>, OrganisationUse> {
        self.shares.pool(pool).map(|shares| shares.organisations().collect()).unwrap_or_default()
    }

    /// True if organisations compete for the room of a pool, by the last
    /// placement round.
    pub fn is_pool_full(&self, pool: PoolId) -> bool {
        self.shares.pool(pool).is_some_and(|shares| shares.is_full())
    }
}

/// Resources that the placed tasks of a job take.
fn placed_resources(job: &Job) -> Resources {
    let steps = job.occurrences.iter().flat_map(|steps| steps.iter().zip(&job.spec.steps));
    steps.fold(Resources::ZERO, |sum, (state, spec)| {
        sum.saturating_add(spec.effective_request().scaled_up(state.placed().into(), 1))
    })
}

/// Resources of the tasks of a job that could start now.
fn waiting_resources(id: JobId, job: &Job, now_unix_ms: u64) -> Resources {
    job.startable_steps(id, now_unix_ms).fold(Resources::ZERO, |sum, (step, state)| {
        let request = job.step_spec(step.step).effective_request();
        sum.saturating_add(request.scaled_up(state.waiting().into(), 1))
    })
}
