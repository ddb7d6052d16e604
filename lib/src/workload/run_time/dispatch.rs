//! What the owner learns from the attempts that it sees, and what it expects of tasks.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::job::Job;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;
use crate::workload::report::TaskEnd;
use crate::workload::run_time::AttemptView;
use crate::workload::run_time::FULL_WEIGHT_MILLI;
use crate::workload::run_time::RunTimes;
use crate::workload::run_time::RunTimesRecord;
use crate::workload::run_time::logarithm;
use crate::workload::spec::StepSpec;

/// Time between two records of what was learned, which are some kilobytes each. A
/// successor that lacks the last seconds decides nearly as well.
const RECORD_INTERVAL_MS: u64 = 5_000;

/// Runs of the tasks of one step. They are more alike than those of other jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StepRuns {
    count: u64,
    sum_ms: u64,
    longest_ms: u64,
}

impl StepRuns {
    fn add(&mut self, run_ms: u64) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(run_ms);
        self.longest_ms = self.longest_ms.max(run_ms);
    }

    /// Expected run time of the other tasks of the step. What is expected of all tasks
    /// like these counts as one run.
    pub(crate) fn expected_ms(self, prior_ms: u64) -> u64 {
        self.sum_ms.saturating_add(prior_ms) / (self.count + 1)
    }

    /// Run time of the longest task, as far as it is known.
    pub(crate) fn longest_expected_ms(self, expected_ms: u64, is_done: bool) -> u64 {
        match is_done && self.count > 0 {
            true => self.longest_ms,
            false => self.longest_ms.max(expected_ms),
        }
    }
}

impl Dispatcher {
    /// Expected run time of a task of a step, near its data and on a sound worker: the
    /// declared one while the feature is off or nothing was learned.
    pub(crate) fn expected_run_ms(&self, job: &Job, step: u32) -> u64 {
        job.expected_run_ms(step)
    }

    /// Run time below which this part of the tasks like those of a step stay, in
    /// thousandths; the declared one while the feature is off or nothing was learned.
    pub(crate) fn run_quantile_ms(&self, job: &Job, step: u32, quantile_milli: u64) -> u64 {
        let declared_ms = job.step_spec(step).estimate_ms;
        let chain = job.run_sources.get(step as usize);
        let learned = chain.and_then(|chain| {
            let quantiles = self.run_times.quantiles_ms(chain, declared_ms, &[quantile_milli]);
            quantiles.and_then(|quantiles| quantiles.first().copied())
        });
        learned.unwrap_or(declared_ms)
    }

    /// Expected run time of a task of a step of an open job, as [`Self::expected_run_ms`].
    pub fn step_run_ms(&self, job: JobKey, step: u32) -> Option<u64> {
        let job = self.jobs.get(self.job_id(job)?)?;
        Some(self.expected_run_ms(job, step))
    }

    /// Run time below which this part of the tasks like those of a step stay, in
    /// thousandths, for a step of an open job.
    pub fn step_run_quantile_ms(&self, job: JobKey, step: u32, quantile_milli: u64) -> Option<u64> {
        let job = self.jobs.get(self.job_id(job)?)?;
        Some(self.run_quantile_ms(job, step, quantile_milli))
    }

    /// Number of sources of tasks that are told apart.
    pub fn run_time_sources(&self) -> usize {
        self.run_times.sources.len()
    }

    /// Time that a placed task still needs, from its progress, or from the runs of tasks
    /// like it that lasted at least as long; the expected time, if nothing is known of
    /// the attempt.
    pub(crate) fn remaining_run_ms(&self, now: TimeMs, key: TaskKey) -> u64 {
        let Some(job) = self.jobs.get(key.step.job) else { return 0 };
        let Some(placement) = job.task(key).placement() else { return 0 };
        if let Some(remaining_ms) = placement.run.remaining_ms(now) {
            return remaining_ms;
        }
        let expected_ms = self.expected_run_ms(job, key.step.step);
        let (Some(elapsed_ms), Some(chain)) =
            (placement.run.elapsed_ms(now), job.run_sources.get(key.step.step as usize))
        else {
            return expected_ms;
        };
        let declared_ms = job.step_spec(key.step.step).estimate_ms;
        let mean_ms = self.run_times.mean_above_ms(chain, declared_ms, elapsed_ms);
        mean_ms.unwrap_or(expected_ms).saturating_sub(elapsed_ms)
    }

    /// Computes what is expected of the steps of a job anew, as of a change of what is
    /// known of them.
    pub(crate) fn refresh_expected(&mut self, id: JobId) {
        if !self.features.learn_run_times {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.expect(|chain, declared_ms| {
            let prediction = self.run_times.predict(chain, declared_ms);
            prediction.map_or(declared_ms, |prediction| prediction.mean_ms)
        });
    }

    /// Learns from the end of an attempt that is still placed.
    pub(crate) fn learn_from_end(&mut self, now: TimeMs, id: WorkerId, key: TaskKey, end: TaskEnd) {
        match end {
            TaskEnd::Done => self.learn_from_run(now, id, key),
            TaskEnd::Stopped => self.learn_from_censored(now, key),
            // Until when the attempt worked is known from its last progress only.
            TaskEnd::LeaseExpired | TaskEnd::GangBroken => self.learn_from_lost(key),
            // A fault tells nothing of the work, and a gang that was not complete did none.
            TaskEnd::Failed | TaskEnd::GangIncomplete => {}
        }
    }

    /// Learns from an attempt that ended at an unknown time without its work done.
    pub(crate) fn learn_from_lost(&mut self, key: TaskKey) {
        let placement = self.placement(key);
        let last_at = placement.and_then(|placement| placement.run.last_at());
        if let Some(last_at) = last_at {
            self.learn_from_censored(last_at, key);
        }
    }

    fn learn_from_run(&mut self, now: TimeMs, id: WorkerId, key: TaskKey) {
        // An end that waited for its worker to be reached came earlier.
        let is_timely = self.workers.get(id).is_some_and(|worker| worker.reports_are_timely);
        let Some(placement) = self.placement(key).filter(|_| is_timely) else { return };
        let Some((run_ms, weight_milli)) = placement.run.whole_run(now) else { return };
        let Some(mut run_times) = self.take_run_times(key) else { return };
        if let Some(view) = self.attempt_view(key, weight_milli) {
            let (is_far, worker_log) = (view.is_far, view.worker_log_milli);
            let log_milli = run_times.observe(now, &view, run_ms);
            let near_ms = logarithm::scale(run_ms, -worker_log);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.slowness.add(log_milli);
            }
            if let Some(job) = self.jobs.get_mut(key.step.job).filter(|_| !is_far) {
                job.step_runs_mut(key.step.step).add(near_ms);
            }
        }
        self.run_times = run_times;
        self.refresh_expected(key.step.job);
    }

    fn learn_from_censored(&mut self, ended_at: TimeMs, key: TaskKey) {
        let Some(placement) = self.placement(key) else { return };
        // A stalled attempt tells of its worker only.
        if placement.stop == Some(StopReason::Stalled) {
            return;
        }
        let Some(run) = placement.run.censored_run(ended_at) else { return };
        let Some(mut run_times) = self.take_run_times(key) else { return };
        if let Some(view) = self.attempt_view(key, FULL_WEIGHT_MILLI) {
            run_times.observe_censored(ended_at, &view, run);
        }
        self.run_times = run_times;
    }

    /// Takes what was learned, to learn from an attempt of a task; none if its runs tell
    /// nothing.
    fn take_run_times(&mut self, key: TaskKey) -> Option<RunTimes> {
        let job = self.jobs.get(key.step.job)?;
        let tells = self.features.learn_run_times && has_run_time(job.step_spec(key.step.step));
        tells.then(|| std::mem::take(&mut self.run_times))
    }

    fn attempt_view(&self, key: TaskKey, weight_milli: i64) -> Option<AttemptView<'_>> {
        let job = self.jobs.get(key.step.job)?;
        let worker = self.workers.get(job.task(key).placement()?.worker)?;
        Some(AttemptView {
            chain: job.run_sources.get(key.step.step as usize)?,
            queue: &job.spec.queue,
            declared_ms: job.step_spec(key.step.step).estimate_ms,
            is_far: self.is_far(job, key),
            worker_log_milli: worker.slowness.log_milli(),
            weight_milli,
        })
    }

    /// Whether a placed task runs away from its data, or from other members of a gang
    /// that should share a rack.
    fn is_far(&self, job: &Job, key: TaskKey) -> bool {
        let spec = job.step_spec(key.step.step);
        let racks = || {
            let placements = job.step(key.step).tasks.iter().filter_map(|task| task.placement());
            placements.map(|placement| self.rack(placement.worker))
        };
        let rack = job.task(key).placement().and_then(|placement| self.rack(placement.worker));
        let is_far_from_data =
            spec.data_rack.as_deref().is_some_and(|data_rack| rack != Some(data_rack));
        is_far_from_data || spec.gang && spec.same_rack && racks().any(|other| other != rack)
    }

    /// What was learned, for the record that a successor reads, if it has changed and
    /// the last record is old enough.
    pub(crate) fn run_times_record(&mut self, now: TimeMs) -> Option<RunTimesRecord> {
        if !self.features.learn_run_times {
            return None;
        }
        self.run_times.take_record(now, RECORD_INTERVAL_MS, self.is_released)
    }

    /// Applies what former owners have learned.
    pub fn restore_run_times(&mut self, now: TimeMs, record: RunTimesRecord) {
        if self.features.learn_run_times {
            self.run_times.restore(now, record);
        }
    }

    /// Reports how well run times were predicted, once in some seconds.
    pub(crate) fn report_run_times(&mut self, now: TimeMs) {
        for report in self.run_times.calibration.take_due(now) {
            let sources = self.run_time_sources();
            self.events.push(DispatcherEvent::RunTimesCompared { report, sources });
        }
    }
}

/// Whether the tasks of a step have a run time that depends on their work only. A task
/// that uses spare CPU takes as long as others leave it none.
fn has_run_time(spec: &StepSpec) -> bool {
    !spec.long_running && !spec.uses_spare_cpu
}
