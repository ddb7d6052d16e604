//! One round of placement decisions, and what it knows of each pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::PoolId;
use crate::resources::Resources;
use crate::time::TimeMs;
use crate::workload::catalog::Catalog;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::key::JobId;
use crate::workload::key::StepKey;
use crate::workload::key::WorkerId;

/// Workers of one pool that may get tasks in a placement round.
pub(crate) type Candidates = Vec<WorkerId>;

/// One round of placement decisions in one pool.
pub(crate) struct PlacementRound {
    pub(crate) now: TimeMs,
    pub(crate) now_unix_ms: u64,
    pub(crate) candidates: Candidates,
    /// Workers that are reserved for a long-running task, or for a large one, that
    /// could not be placed.
    pub(crate) reserved_workers: BTreeSet<WorkerId>,
    /// Whether the job that is being placed runs only on workers that the
    /// advice service allows.
    pub(crate) needs_advice: bool,
    /// Requests that fit on no candidate. Under overload most waiting jobs
    /// request at least as much as one of these and need no search.
    too_large_requests: Vec<Resources>,
}

impl PlacementRound {
    /// True if the job needs no advice or holds a ticket for this worker.
    pub(crate) fn allows(&self, dispatcher: &Dispatcher, step: StepKey, worker: WorkerId) -> bool {
        !self.needs_advice || dispatcher.ticket(self.now, step, worker).is_some()
    }

    pub(crate) fn is_too_large(&self, request: Resources) -> bool {
        self.too_large_requests.iter().any(|known| known.fits_in(request))
    }

    /// Records a request that fits on no candidate. The record is valid for the
    /// whole round, because free capacity only shrinks within a round.
    pub(crate) fn add_too_large(&mut self, request: Resources) {
        self.too_large_requests.retain(|known| !request.fits_in(*known));
        self.too_large_requests.push(request);
    }
}

/// One round of placement decisions in all pools.
pub(crate) struct PlacementRounds {
    pub(crate) now: TimeMs,
    pub(crate) now_unix_ms: u64,
    /// Workers of the pools in which no job was placed before.
    candidates: BTreeMap<PoolId, Candidates>,
    pools: BTreeMap<PoolId, PlacementRound>,
}

impl PlacementRounds {
    /// Begins a round in pools that get tasks from these workers.
    pub(crate) fn new(
        now: TimeMs,
        now_unix_ms: u64,
        candidates: BTreeMap<PoolId, Candidates>,
    ) -> Self {
        Self { now, now_unix_ms, candidates, pools: BTreeMap::new() }
    }

    /// Workers of the pools, before the first job is placed.
    pub(crate) fn candidates(&self) -> &BTreeMap<PoolId, Candidates> {
        &self.candidates
    }

    /// The round in a pool in which a job was placed before.
    pub(crate) fn pool_mut(&mut self, pool: PoolId) -> Option<&mut PlacementRound> {
        self.pools.get_mut(&pool)
    }

    /// Places the waiting tasks of a job, as far as the link of the owner and its
    /// pool allow. Returns the first step that found no worker.
    pub(crate) fn place(
        &mut self,
        dispatcher: &mut Dispatcher,
        catalog: &Catalog,
        pool: PoolId,
        id: JobId,
    ) -> Option<StepKey> {
        if !dispatcher.start_budget.is_available() {
            return None;
        }
        let (now, now_unix_ms) = (self.now, self.now_unix_ms);
        let candidates = &mut self.candidates;
        let round = self.pools.entry(pool).or_insert_with(|| PlacementRound {
            now,
            now_unix_ms,
            candidates: candidates.remove(&pool).unwrap_or_default(),
            reserved_workers: BTreeSet::new(),
            needs_advice: false,
            too_large_requests: Vec::new(),
        });
        if round.candidates.is_empty() {
            return None;
        }
        round.needs_advice = dispatcher.jobs.get(id).is_some_and(|job| job.rules.needs_advice);
        dispatcher.place_job(round, catalog, id)
    }
}
