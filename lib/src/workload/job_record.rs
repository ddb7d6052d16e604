//! Conversion between the state of a job and its progress record.

use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::checkpoint::CheckpointSource;
use crate::workload::job::AttemptState;
use crate::workload::job::Job;
use crate::workload::job::Phase;
use crate::workload::job::Placement;
use crate::workload::job::Task;
use crate::workload::key::WorkerId;
use crate::workload::record::Progress;
use crate::workload::record::RecordedPhase;
use crate::workload::record::RecordedPlacement;
use crate::workload::record::StepProgress;
use crate::workload::record::TaskProgress;
use crate::workload::run_time::RunProgress;

/// The progress record of a job. Steps without an attempt are left out.
pub(crate) fn progress_of<F>(job: &Job, epoch: u64, recorded: F) -> Progress
where
    F: Fn(&Placement) -> RecordedPlacement,
{
    let mut steps = Vec::new();
    for (occurrence, states) in (0..).zip(&job.occurrences) {
        for (step, state) in (0..).zip(states) {
            if state.tasks.iter().all(is_never_placed) {
                continue;
            }
            let tasks = (0..)
                .zip(&state.tasks)
                .map(|(index, task)| record_of(task, state.checkpoints.get(index), &recorded));
            steps.push(StepProgress { occurrence, step, tasks: tasks.collect() });
        }
    }
    Progress { outcome: job.outcome, steps, epoch, has_started: job.has_started }
}

fn is_never_placed(task: &Task) -> bool {
    task.is_waiting() && task.attempt == 0
}

fn record_of<F>(task: &Task, checkpoint: Option<&String>, recorded: F) -> TaskProgress
where
    F: Fn(&Placement) -> RecordedPlacement,
{
    let phase = match &task.phase {
        Phase::Waiting => RecordedPhase::Waiting,
        Phase::Placed(placement) => RecordedPhase::Placed(recorded(placement)),
        Phase::Done => RecordedPhase::Done,
    };
    TaskProgress {
        phase,
        attempt: task.attempt,
        failures: task.failures,
        // A task that is done does not start again.
        checkpoint: checkpoint.filter(|_| !task.is_done()).cloned(),
    }
}

/// Applies recorded progress to a job. An attempt that the record shows as
/// placed may be running, or may start later.
pub(crate) fn restore<F>(job: &mut Job, now: TimeMs, progress: &Progress, mut worker_id: F)
where
    F: FnMut(&str) -> WorkerId,
{
    job.outcome = progress.outcome;
    job.has_started = progress.has_started;
    for recorded in &progress.steps {
        let steps = job.occurrences.get_mut(recorded.occurrence as usize);
        let Some(step) = steps.and_then(|steps| steps.get_mut(recorded.step as usize)) else {
            continue;
        };
        for (index, (task, recorded)) in (0..).zip(step.tasks.iter_mut().zip(&recorded.tasks)) {
            task.attempt = recorded.attempt;
            task.failures = recorded.failures;
            let source = CheckpointSource::Record;
            step.checkpoints.save(index, recorded.attempt, source, &recorded.checkpoint);
            task.phase = match &recorded.phase {
                RecordedPhase::Waiting => Phase::Waiting,
                RecordedPhase::Done => Phase::Done,
                RecordedPhase::Placed(recorded) => {
                    let worker = worker_id(&recorded.worker);
                    Phase::Placed(inherited_placement(worker, now, recorded))
                }
            };
        }
        step.recount();
    }
}

/// Placement of a task that an earlier owner placed on a worker.
fn inherited_placement(worker: WorkerId, now: TimeMs, recorded: &RecordedPlacement) -> Placement {
    Placement {
        worker,
        state: AttemptState::Unknown { since: now, fenced_at: None },
        since: now,
        percent: 0,
        progressed_at: now,
        stop: None,
        // Neither when it began is known, nor whether it resumed.
        run: RunProgress::new(true),
        lease: AttemptLease::restored(recorded),
        is_lease_recorded: recorded.is_lease_known,
    }
}
