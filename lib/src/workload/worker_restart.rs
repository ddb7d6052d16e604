//! Restarts of workers under their names: what the former incarnation has promised or
//! granted no longer holds, and the present one may have carried out calls that were
//! meant for the former.

use std::collections::BTreeSet;

use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::event::DispatcherEvent;
use crate::workload::job::AttemptState;
use crate::workload::job::Placement;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::run_time::Slowness;

impl Dispatcher {
    /// Handles the first report of an incarnation that follows the one that this owner
    /// knew.
    pub(crate) fn worker_restarted(&mut self, now: TimeMs, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.last_end_number = 0;
        worker.restarted_at = Some(now);
        // A restarted worker may be of another kind.
        worker.slowness = Slowness::default();
        if let Some(unanswered_at) = worker.unanswered_renewal_at.take() {
            worker.leases.granted(self.lease_times.late_call_expires_at(unanswered_at));
        }
        self.activity_changes.insert(id);
        self.to_acknowledge.remove(&id);
        self.drop_fences(id);
    }

    /// Counts the leases of a worker that has restarted under a former owner: it lacks an
    /// attempt that it had started. The present incarnation may have carried out a call of
    /// that owner for the former one.
    pub(crate) fn check_former_restart(
        &mut self,
        now: TimeMs,
        id: WorkerId,
        reported: &BTreeSet<(TaskName, u32)>,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let lacking = worker.tasks.iter().find_map(|key| {
            let job = self.jobs.get(key.step.job)?;
            let (task, name) = (job.task(*key), job.task_name(*key));
            let placement = task.placement()?;
            let is_started =
                placement.state != AttemptState::Planned && placement.lease == AttemptLease::Known;
            (is_started && !reported.contains(&(name, task.attempt))).then_some(name)
        });
        let Some(task) = lacking else { return };
        self.events.push(DispatcherEvent::RestartInferred { worker: id, task });
        if let Some(worker) = self.workers.get_mut(id) {
            worker.leases.granted(self.lease_times.late_call_expires_at(now));
        }
        self.note_long_leases(now, id);
    }

    /// Forgets which starts a worker has promised to refuse, since it has
    /// restarted.
    fn drop_fences(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        for key in &worker.tasks {
            let job = self.jobs.get_mut(key.step.job);
            let placement = job.and_then(|job| job.task_mut(*key).placement_mut());
            if let Some(Placement { state: AttemptState::Unknown { fenced_at, .. }, .. }) =
                placement
            {
                *fenced_at = None;
            }
        }
    }
}
