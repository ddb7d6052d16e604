//! Detection of tasks that make no progress on workers that report themselves
//! healthy.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::AttemptState;
use crate::workload::job::FULL_PERCENT;
use crate::workload::job::Job;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;

/// A task whose progress has not changed for this time has stalled. Its worker
/// reports the progress at least every 1.2 s, and the longest known tasks take
/// some 50 ms for each percent.
const STALLED_MS: u64 = 2_400;
/// A task whose run time is learned has stalled only if it could have done this percentage
/// of its work meanwhile. One whose work takes over four minutes does less than one
/// percent in [`STALLED_MS`].
const STALLED_PERCENTS: u64 = 3;
/// Longest time without progress that a task is given whose run time is learned or
/// declared as long: what is declared may be wrong, and a stalled task holds its room.
const LONGEST_STALLED_MS: u64 = 30_000;
/// A long-running task that is not available this long after its start has
/// stalled: such tasks become available within about one second.
const LONG_RUNNING_STALLED_MS: u64 = 4_000;

impl Dispatcher {
    /// Stops the stalled tasks of a worker, so that they start elsewhere.
    pub(crate) fn stop_stalled(&mut self, now: TimeMs, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let stalled: Vec<TaskKey> =
            worker.tasks.iter().copied().filter(|task| self.is_stalled(now, *task)).collect();
        for task in stalled {
            let Some(job) = self.jobs.get_mut(task.step.job) else { continue };
            let state = job.task_mut(task);
            if !state.failed_on.contains(&id) {
                state.failed_on.push(id);
            }
            self.attempt_failed(now, id, task);
            self.stop(task, StopReason::Stalled);
        }
    }

    /// Time within which the progress of a task should have changed, by its expected run
    /// time; zero while run times are not learned.
    fn percent_limit_ms(&self, job: &Job, task: TaskKey) -> u64 {
        if !self.features.learn_run_times {
            return 0;
        }
        let percent_ms = self.expected_run_ms(job, task.step.step) / u64::from(FULL_PERCENT);
        percent_ms.saturating_mul(STALLED_PERCENTS).min(LONGEST_STALLED_MS)
    }

    fn is_stalled(&self, now: TimeMs, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(task.step.job) else { return false };
        let spec = job.step_spec(task.step.step);
        let Some(placement) = job.task(task).placement() else { return false };
        let is_running = matches!(placement.state, AttemptState::Running { .. });
        let limit_ms = match (spec.gang, spec.uses_spare_cpu, spec.long_running) {
            // A gang waits for its last member to start, and a task that uses
            // spare CPU may be throttled to a standstill.
            (true, _, _) | (_, true, _) => return false,
            (false, false, true) => LONG_RUNNING_STALLED_MS,
            (false, false, false) => STALLED_MS.max(self.percent_limit_ms(job, task)),
        };
        is_running
            && placement.stop.is_none()
            && placement.percent < FULL_PERCENT
            && now.since(placement.progressed_at) >= limit_ms
    }
}
