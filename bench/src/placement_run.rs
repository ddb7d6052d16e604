//! One run of a policy of placement, and what is measured of it.

use std::collections::BTreeMap;

use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::TeamId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::share;
use cowslipport_lib::share::TeamDemand;
use cowslipport_lib::time::TimeMs;

use crate::placement_policy::Policy;
use crate::placement_trace::BACK_MS;
use crate::placement_trace::JobTrace;
use crate::placement_trace::LOWERED_MS;
use crate::placement_trace::OUT_MS;
use crate::placement_trace::RUN_MS;
use crate::placement_trace::SETTLED_MS;
use crate::placement_trace::SHARES_MILLI;
use crate::placement_workers::STEP_MS;
use crate::placement_workers::Workers;

/// Window over which the share of a team is compared.
const WINDOW_STEPS: usize = 600;

/// The fleet is empty at first; shares are compared after it has filled.
const FILL_MS: u64 = 30_000;

/// A lowered limit is in force everywhere after this time, by the design page.
const IN_FORCE_MS: u64 = 4_000;

/// Urgent jobs that come later than this before the end are not counted, as
/// the run does not show whether they start in time.
const LAST_URGENT_MS: u64 = 10_000;

const TEAMS: usize = SHARES_MILLI.len();

/// What one run showed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementFigures {
    pub(crate) share_error_permille: f64,
    pub(crate) work_permille: f64,
    pub(crate) urgent_p99_ms: u64,
    pub(crate) over_limit_ms: u64,
}

/// Distances from the share of each team, added up over the steps.
struct ShareLog {
    /// Sums in millionths, one entry before each step.
    sums: Vec<[i64; TEAMS]>,
    /// Number of steps up to each in which a team had no job waiting.
    idle: Vec<[u64; TEAMS]>,
}

/// Use of the fleet by one team in one step.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    /// Declared sizes of running tasks, and what they use.
    declared: Resources,
    used: Resources,
    /// What all open jobs of the team would use.
    open: Resources,
    waits: bool,
}

struct Run<'a> {
    workers: Workers<'a>,
    policy: Policy,
    limits: Vec<Resources>,
    shares: ShareLog,
    over_limit_ms: u64,
    next_job: usize,
}

/// Runs the trace with a policy.
pub(crate) fn run(workers: Workers, policy: Policy) -> PlacementFigures {
    let limits = workers.trace.limits.clone();
    let shares = ShareLog { sums: vec![[0; TEAMS]], idle: vec![[0; TEAMS]] };
    let mut run = Run { workers, policy, limits, shares, over_limit_ms: 0, next_job: 0 };
    let (mut work_before, mut work_after, mut work_allowed) = (0, 0, 0);
    let mut now = TimeMs(0);
    while now.0 < RUN_MS {
        run.change(now);
        run.policy.step(now, &mut run.workers);
        if now.0 == OUT_MS {
            work_before = run.workers.work_done;
        }
        run.workers.work(now);
        run.observe(now);
        if (OUT_MS..SETTLED_MS).contains(&now.0) {
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
    /// What the trace changes at a time.
    fn change(&mut self, now: TimeMs) {
        let trace: &JobTrace = self.workers.trace;
        if now.0 == OUT_MS || now.0 == BACK_MS {
            for worker in self.workers.workers.values_mut() {
                if worker.spec.data_centre == DataCentreId(0) {
                    worker.spec.data_centre_in_service = now.0 == BACK_MS;
                }
            }
            self.policy.workers_changed(now, &self.workers);
        }
        if now.0 == LOWERED_MS {
            let team = TEAMS - 1;
            let limit = trace.limits[team];
            let half = |value: u64| value / 2;
            self.limits[team] = Resources {
                cpu_milli: half(limit.cpu_milli),
                memory_bytes: half(limit.memory_bytes),
                ..limit
            };
            self.policy.set_limit(now, team, self.limits[team]);
        }
        while let Some(job) = trace.jobs.get(self.next_job).filter(|job| job.at_ms <= now.0) {
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

    fn observe(&mut self, now: TimeMs) {
        let trace = self.workers.trace;
        let mut teams = [TeamUse::default(); TEAMS];
        let mut tasks = Vec::new();
        for worker in self.workers.workers.values() {
            for (_, task) in worker.live() {
                tasks.push((task.started_at, task.job));
                let team = &mut teams[trace.jobs[task.job].team];
                team.used = team.used.saturating_add(task.used(trace));
            }
        }
        // The tasks above a limit are those that started last.
        tasks.sort();
        for (_, index) in &tasks {
            let job = &trace.jobs[*index];
            let team = &mut teams[job.team];
            team.declared = team.declared.saturating_add(job.declared);
            let is_new =
                job.team == TEAMS - 1 && (LOWERED_MS..LOWERED_MS + IN_FORCE_MS).contains(&now.0);
            let limit = if is_new { trace.limits[job.team] } else { self.limits[job.team] };
            if !team.declared.fits_in(limit) {
                self.over_limit_ms += STEP_MS;
            }
        }
        let mut runs = vec![false; trace.jobs.len()];
        tasks.iter().for_each(|(_, index)| runs[*index] = true);
        for (index, job) in trace.jobs[..self.next_job].iter().enumerate() {
            if !self.workers.progress[index].is_done {
                let team = &mut teams[job.team];
                team.open = team.open.saturating_add(job.used);
                team.waits |= !runs[index];
            }
        }
        self.shares.add(now, &teams, &self.limits);
    }

    fn urgent_p99_ms(&self) -> u64 {
        let jobs = self.workers.trace.jobs.iter().zip(&self.workers.progress);
        let mut waits: Vec<u64> = jobs
            .filter(|(job, _)| job.urgent && job.at_ms + LAST_URGENT_MS < RUN_MS)
            .map(|(job, progress)| progress.first_start.map_or(RUN_MS, |start| start.0) - job.at_ms)
            .collect();
        waits.sort_unstable();
        waits[(waits.len() * 99).div_ceil(100) - 1]
    }
}

impl ShareLog {
    /// Notes one step. What is divided is what all tasks together use, since
    /// the rest is lost work and counts there. A limit bounds declared sizes;
    /// the team's part of it in use is taken from its running tasks.
    fn add(&mut self, now: TimeMs, teams: &[TeamUse; TEAMS], limits: &[Resources]) {
        let total = teams.iter().fold(Resources::ZERO, |sum, team| sum.saturating_add(team.used));
        let demands: BTreeMap<TeamId, TeamDemand> = (0_u32..)
            .zip(teams.iter().zip(limits).zip(SHARES_MILLI))
            .map(|(id, ((team, limit), share_milli))| {
                let in_use =
                    limit.scaled_up(team.used.cpu_milli.max(1), team.declared.cpu_milli.max(1));
                (TeamId(id), TeamDemand { share_milli, demand: team.open.min(in_use) })
            })
            .collect();
        let fair = share::fair_shares(total, &demands);
        let mut sums = *self.sums.last().expect("there is an entry before the first step");
        let mut idle = *self.idle.last().expect("there is an entry before the first step");
        for (index, (id, fair_ppm)) in fair.into_iter().enumerate() {
            let used_ppm = teams[id.0 as usize].used.dominant_share_ppm(total);
            sums[index] += used_ppm as i64 - fair_ppm as i64;
            idle[index] += u64::from(!teams[index].waits || now.0 < FILL_MS);
        }
        self.sums.push(sums);
        self.idle.push(idle);
    }

    /// Largest mean distance of a team over a window in which it always had
    /// jobs waiting.
    fn largest_error_ppm(&self) -> u64 {
        let windows = WINDOW_STEPS..self.sums.len();
        windows
            .flat_map(|end| (0..TEAMS).map(move |team| (end - WINDOW_STEPS, end, team)))
            .filter(|(start, end, team)| self.idle[*start][*team] == self.idle[*end][*team])
            .map(|(start, end, team)| {
                let distance = self.sums[end][team] - self.sums[start][team];
                distance.unsigned_abs() / WINDOW_STEPS as u64
            })
            .max()
            .unwrap_or(0)
    }
}
