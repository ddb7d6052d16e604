//! Runs a placement policy on the job trace and measures the result.

use std::collections::BTreeMap;

use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::share;
use cowslipport_lib::share::OrganisationDemand;
use cowslipport_lib::time::TimeMs;

use crate::placement::policy::Policy;
use crate::placement::trace::DC_BACK_MS;
use crate::placement::trace::DC_CHANGE_END_MS;
use crate::placement::trace::DC_OUT_MS;
use crate::placement::trace::JobTrace;
use crate::placement::trace::LIMIT_LOWERED_MS;
use crate::placement::trace::RUN_MS;
use crate::placement::trace::SHARES_MILLI;
use crate::placement::workers::STEP_MS;
use crate::placement::workers::Workers;

/// Window over which the use of an organisation is compared with its share.
const WINDOW_STEPS: usize = 600;

/// The fleet starts empty; shares are compared only after it has filled.
const WARM_UP_MS: u64 = 30_000;

/// Time after which a lowered limit is in force everywhere, as the design
/// requires.
const LIMIT_DELAY_MS: u64 = 4_000;

/// Urgent jobs that arrive in this time before the end of the run are not
/// counted, as the run may end before they would start.
const URGENT_CUTOFF_MS: u64 = 10_000;

const ORGANISATIONS: usize = SHARES_MILLI.len();

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementFigures {
    pub(crate) share_error_permille: f64,
    pub(crate) work_permille: f64,
    pub(crate) urgent_p99_ms: u64,
    pub(crate) over_limit_ms: u64,
}

/// Differences between the used and the fair share of each organisation, summed
/// over the steps.
struct ShareErrors {
    /// Sums in millionths. Entry `i` holds the sums of the first `i` steps.
    sums: Vec<[i64; ORGANISATIONS]>,
    /// Number of steps, counted in the same way, in which an organisation had no
    /// job waiting or the fleet had yet to fill.
    idle_steps: Vec<[u64; ORGANISATIONS]>,
}

/// Use of the fleet by one organisation in one step.
#[derive(Clone, Copy, Debug, Default)]
struct OrganisationUse {
    /// Declared sizes of the running tasks, and the resources that they use.
    declared: Resources,
    used: Resources,
    /// Resources that all unfinished jobs of the organisation would use.
    open_demand: Resources,
    has_waiting_jobs: bool,
}

struct Run<'a> {
    workers: Workers<'a>,
    policy: Policy,
    limits: Vec<Resources>,
    shares: ShareErrors,
    over_limit_ms: u64,
    next_job: usize,
}

/// Runs the trace with a policy.
pub(crate) fn run(workers: Workers, policy: Policy) -> PlacementFigures {
    let limits = workers.trace.limits.clone();
    let shares =
        ShareErrors { sums: vec![[0; ORGANISATIONS]], idle_steps: vec![[0; ORGANISATIONS]] };
    let mut run = Run { workers, policy, limits, shares, over_limit_ms: 0, next_job: 0 };
    let (mut work_before, mut work_after, mut work_allowed) = (0, 0, 0);
    let mut now = TimeMs(0);
    while now.0 < RUN_MS {
        run.apply_changes(now);
        run.policy.advance(now, &mut run.workers);
        if now.0 == DC_OUT_MS {
            work_before = run.workers.work_done;
        }
        run.workers.run_tasks(now);
        run.record_step(now);
        if (DC_OUT_MS..DC_CHANGE_END_MS).contains(&now.0) {
            work_allowed += run.capacity_in_service().cpu_milli * STEP_MS * 1_000;
            work_after = run.workers.work_done;
        }
        now = now.plus(STEP_MS);
    }
    PlacementFigures {
        share_error_permille: run.shares.largest_error_ppm() as f64 / 1_000.0,
        work_permille: (work_after.saturating_sub(work_before)) as f64 * 1_000.0
            / work_allowed as f64,
        urgent_p99_ms: run.urgent_p99_ms(),
        over_limit_ms: run.over_limit_ms,
    }
}

impl Run<'_> {
    /// Applies the data centre change, the lowered limit and the arrivals that are
    /// due.
    fn apply_changes(&mut self, now: TimeMs) {
        let trace: &JobTrace = self.workers.trace;
        if now.0 == DC_OUT_MS || now.0 == DC_BACK_MS {
            for worker in self.workers.workers.values_mut() {
                if worker.spec.data_centre == DataCentreId(0) {
                    worker.spec.data_centre_in_service = now.0 == DC_BACK_MS;
                }
            }
            self.policy.workers_changed(now, &self.workers);
        }
        if now.0 == LIMIT_LOWERED_MS {
            let organisation = ORGANISATIONS - 1;
            let limit = trace.limits[organisation];
            let half = |value: u64| value / 2;
            self.limits[organisation] = Resources {
                cpu_milli: half(limit.cpu_milli),
                memory_bytes: half(limit.memory_bytes),
                ..limit
            };
            self.policy.set_limit(now, organisation, self.limits[organisation]);
        }
        while let Some(job) = trace.jobs.get(self.next_job).filter(|job| job.arrives_at_ms <= now.0)
        {
            self.policy.accept(now, self.next_job, job);
            self.next_job += 1;
        }
    }

    fn capacity_in_service(&self) -> Resources {
        let workers = self.workers.workers.values();
        workers
            .filter(|worker| worker.spec.data_centre_in_service)
            .fold(Resources::ZERO, |sum, worker| sum.saturating_add(worker.spec.capacity))
    }

    fn record_step(&mut self, now: TimeMs) {
        let trace = self.workers.trace;
        let mut organisations = [OrganisationUse::default(); ORGANISATIONS];
        let mut tasks = Vec::new();
        for worker in self.workers.workers.values() {
            for (_, task) in worker.live_tasks() {
                tasks.push((task.started_at, task.job));
                let organisation = &mut organisations[trace.jobs[task.job].organisation];
                organisation.used = organisation.used.saturating_add(task.used(trace));
            }
        }
        // The tasks that started last count as those above a limit.
        tasks.sort();
        for (_, index) in &tasks {
            let job = &trace.jobs[*index];
            let organisation = &mut organisations[job.organisation];
            organisation.declared = organisation.declared.saturating_add(job.declared);
            let is_in_grace = job.organisation == ORGANISATIONS - 1
                && (LIMIT_LOWERED_MS..LIMIT_LOWERED_MS + LIMIT_DELAY_MS).contains(&now.0);
            let limit = if is_in_grace {
                trace.limits[job.organisation]
            } else {
                self.limits[job.organisation]
            };
            if !organisation.declared.fits_in(limit) {
                self.over_limit_ms += STEP_MS;
            }
        }
        let mut is_running = vec![false; trace.jobs.len()];
        tasks.iter().for_each(|(_, index)| is_running[*index] = true);
        for (index, job) in trace.jobs[..self.next_job].iter().enumerate() {
            if !self.workers.progress[index].is_done {
                let organisation = &mut organisations[job.organisation];
                organisation.open_demand = organisation.open_demand.saturating_add(job.used);
                organisation.has_waiting_jobs |= !is_running[index];
            }
        }
        self.shares.add(now, &organisations, &self.limits);
    }

    fn urgent_p99_ms(&self) -> u64 {
        let jobs = self.workers.trace.jobs.iter().zip(&self.workers.progress);
        let mut waits: Vec<u64> = jobs
            .filter(|(job, _)| job.urgent && job.arrives_at_ms + URGENT_CUTOFF_MS < RUN_MS)
            .map(|(job, progress)| {
                progress.first_start.map_or(RUN_MS, |start| start.0) - job.arrives_at_ms
            })
            .collect();
        waits.sort_unstable();
        waits[(waits.len() * 99).div_ceil(100) - 1]
    }
}

impl ShareErrors {
    /// Records one step. Fair shares divide the resources that all tasks together
    /// use; unused capacity counts as lost work in another measure. A limit
    /// bounds declared sizes, so it is scaled by the ratio of used to declared
    /// processor time of the organisation's running tasks.
    fn add(
        &mut self,
        now: TimeMs,
        organisations: &[OrganisationUse; ORGANISATIONS],
        limits: &[Resources],
    ) {
        let total = organisations
            .iter()
            .fold(Resources::ZERO, |sum, organisation| sum.saturating_add(organisation.used));
        let demands: BTreeMap<OrganisationId, OrganisationDemand> = (0_u32..)
            .zip(organisations.iter().zip(limits).zip(SHARES_MILLI))
            .map(|(id, ((organisation, limit), share_milli))| {
                let in_use = limit.scaled_up(
                    organisation.used.cpu_milli.max(1),
                    organisation.declared.cpu_milli.max(1),
                );
                (
                    OrganisationId(id),
                    OrganisationDemand {
                        share_milli,
                        demand: organisation.open_demand.min(in_use),
                    },
                )
            })
            .collect();
        let fair = share::fair_shares(total, &demands);
        let mut sums = *self.sums.last().expect("there is an entry before the first step");
        let mut idle_steps =
            *self.idle_steps.last().expect("there is an entry before the first step");
        for (index, (id, fair_ppm)) in fair.into_iter().enumerate() {
            let used_ppm = organisations[id.0 as usize].used.dominant_share_ppm(total);
            sums[index] += used_ppm as i64 - fair_ppm as i64;
            idle_steps[index] +=
                u64::from(!organisations[index].has_waiting_jobs || now.0 < WARM_UP_MS);
        }
        self.sums.push(sums);
        self.idle_steps.push(idle_steps);
    }

    /// Largest mean difference of an organisation from its fair share over a window
    /// in which it always had jobs waiting.
    fn largest_error_ppm(&self) -> u64 {
        let windows = WINDOW_STEPS..self.sums.len();
        windows
            .flat_map(|end| {
                (0..ORGANISATIONS).map(move |organisation| (end - WINDOW_STEPS, end, organisation))
            })
            .filter(|(start, end, organisation)| {
                self.idle_steps[*start][*organisation] == self.idle_steps[*end][*organisation]
            })
            .map(|(start, end, organisation)| {
                let difference = self.sums[end][organisation] - self.sums[start][organisation];
                difference.unsigned_abs() / WINDOW_STEPS as u64
            })
            .max()
            .unwrap_or(0)
    }
}
