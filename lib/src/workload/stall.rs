//! Tasks that stand still on workers that report themselves well.

use crate::time::TimeMs;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::job::AttemptState;
use crate::workload::job::FULL_PERCENT;
use crate::workload::key::TaskKey;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;

/// A task whose progress was the same for this time stands still: its worker
/// tells it at least every 1.2 s, and the shortest step of one percent of the
/// longest known tasks is some 50 ms.
const STALLED_MS: u64 = 2_400;
/// A lasting task that is not at work for this time after its start will not
/// be: such tasks start within a second or so.
const LASTING_STALLED_MS: u64 = 4_000;

impl Dispatcher {
    /// Stops the tasks of a worker that stand still; they start elsewhere.
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

    fn is_stalled(&self, now: TimeMs, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(task.step.job) else { return false };
        let spec = job.step_spec(task.step.step);
        let Some(placement) = job.task(task).placement() else { return false };
        let is_running = matches!(placement.run, AttemptState::Running { .. });
        let limit_ms = match (spec.gang, spec.uses_spare_cpu, spec.long_running) {
            // The others of a gang may be late, and what fills may be paced to
            // nothing.
            (true, _, _) | (_, true, _) => return false,
            (false, false, true) => LASTING_STALLED_MS,
            (false, false, false) => STALLED_MS,
        };
        is_running
            && placement.stop.is_none()
            && placement.percent < FULL_PERCENT
            && now.since(placement.progressed_at) >= limit_ms
    }
}
