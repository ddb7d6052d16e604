//! Simulated workers, which execute the decisions of a policy and report their
//! tasks.

use std::collections::BTreeMap;

use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::ids::DataCentreId;
use cowslipport_lib::ids::RackId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::TaskAction;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::job::TaskState;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_event::StartAnswer;
use cowslipport_lib::scheduler_event::TaskReport;
use cowslipport_lib::scheduler_event::WorkerReport;
use cowslipport_lib::scheduler_event::WorkerService;
use cowslipport_lib::scheduler_event::WorkerSpec;
use cowslipport_lib::time::TimeMs;

use crate::placement::trace::JobTrace;
use crate::profile::Profile;

/// Length of one simulation step.
pub(crate) const STEP_MS: u64 = 100;

/// Time that a task takes to write a checkpoint.
const CHECKPOINT_DURATION_MS: u64 = 300;

/// Part of its full processor time that a throttled task uses, in thousandths.
const THROTTLED_SPEED_MILLI: u64 = 250;

/// A task on its worker.
#[derive(Clone, Debug)]
pub(crate) struct RunningTask {
    /// Index of the job in the trace.
    pub(crate) job: usize,
    pub(crate) state: TaskState,
    pub(crate) started_at: TimeMs,
    checkpoint_at: Option<TimeMs>,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct BenchWorker {
    pub(crate) spec: WorkerSpec,
    pub(crate) tasks: BTreeMap<TaskId, RunningTask>,
    ticket: u64,
}

/// Progress of a job, in microseconds of run time at full speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    done_us: u64,
    /// The checkpointed part, which is not lost when the task is stopped.
    saved_us: u64,
    pub(crate) first_start: Option<TimeMs>,
    pub(crate) is_done: bool,
}

/// All workers, and the progress of all jobs of the trace.
pub(crate) struct Workers<'a> {
    pub(crate) trace: &'a JobTrace,
    pub(crate) workers: BTreeMap<VmId, BenchWorker>,
    pub(crate) progress: Vec<Progress>,
    /// Work done in the data centres in service, in thousandths of a core times
    /// microseconds, less the work lost when tasks were stopped.
    pub(crate) work_done: u64,
}

impl BenchWorker {
    pub(crate) fn live_tasks(&self) -> impl Iterator<Item = (&TaskId, &RunningTask)> {
        self.tasks.iter().filter(|(_, task)| task.state.is_live())
    }

    pub(crate) fn used(&self, trace: &JobTrace) -> Resources {
        self.live_tasks()
            .fold(Resources::ZERO, |sum, (_, task)| sum.saturating_add(task.used(trace)))
    }
}

impl RunningTask {
    pub(crate) fn used(&self, trace: &JobTrace) -> Resources {
        let used = trace.jobs[self.job].used;
        match self.state {
            TaskState::Throttled => Resources {
                cpu_milli: used.scaled_up(THROTTLED_SPEED_MILLI, 1_000).cpu_milli,
                ..used
            },
            TaskState::Running
            | TaskState::Checkpointed
            | TaskState::Succeeded
            | TaskState::Failed
            | TaskState::Stopped => used,
        }
    }
}

impl<'a> Workers<'a> {
    pub(crate) fn new(profile: &Profile, trace: &'a JobTrace) -> Self {
        let worker = |vm: u32| {
            let spec = WorkerSpec {
                capacity: trace.capacity,
                data_centre: DataCentreId(vm / 4 % profile.data_centres),
                rack: RackId(vm / 4),
                service: WorkerService::Open,
                data_centre_in_service: true,
                on_data_centre_out: DataCentreOutPolicy::Checkpoint,
            };
            (VmId(vm), BenchWorker { spec, tasks: BTreeMap::new(), ticket: 0 })
        };
        let progress = vec![Progress::default(); trace.jobs.len()];
        Self { trace, workers: (0..profile.vms).map(worker).collect(), progress, work_done: 0 }
    }

    fn worker(&mut self, vm: VmId) -> &mut BenchWorker {
        self.workers.get_mut(&vm).expect("decisions name known workers")
    }

    /// Starts a task if the worker has free capacity for the resources that its
    /// tasks actually use, whatever their declared sizes.
    pub(crate) fn start(
        &mut self,
        now: TimeMs,
        vm: VmId,
        task: TaskId,
        job: usize,
    ) -> (StartAnswer, u64) {
        let trace = self.trace;
        let worker = self.worker(vm);
        worker.ticket += 1;
        let ticket = worker.ticket;
        if worker.tasks.contains_key(&task) {
            return (StartAnswer::Known, ticket);
        }
        let used = worker.used(trace).saturating_add(trace.jobs[job].used);
        if !used.fits_in(worker.spec.capacity) {
            return (StartAnswer::NoRoom, ticket);
        }
        self.progress[job].first_start.get_or_insert(now);
        let state = TaskState::Running;
        let worker = self.worker(vm);
        worker.tasks.insert(task, RunningTask { job, state, started_at: now, checkpoint_at: None });
        (StartAnswer::Started, ticket)
    }

    /// Applies an action to a live task. Stopping it loses the work since its last
    /// checkpoint.
    pub(crate) fn control(&mut self, now: TimeMs, vm: VmId, id: &TaskId, action: TaskAction) {
        let task = self.worker(vm).tasks.get_mut(id).filter(|task| task.state.is_live());
        let Some(task) = task else { return };
        match action {
            TaskAction::Throttle => task.state = TaskState::Throttled,
            TaskAction::Unthrottle => task.state = TaskState::Running,
            TaskAction::Checkpoint => {
                task.checkpoint_at.get_or_insert(now.plus(CHECKPOINT_DURATION_MS));
            }
            TaskAction::Stop => {
                task.state = TaskState::Stopped;
                let job = task.job;
                let progress = &mut self.progress[job];
                let lost =
                    self.trace.jobs[job].used.cpu_milli * (progress.done_us - progress.saved_us);
                self.work_done = self.work_done.saturating_sub(lost);
                progress.done_us = progress.saved_us;
            }
        }
    }

    pub(crate) fn acknowledge(&mut self, vm: VmId, id: &TaskId) {
        self.worker(vm).tasks.remove(id);
    }

    pub(crate) fn report(&mut self, now: TimeMs, vm: VmId) -> WorkerReport {
        let trace = self.trace;
        let worker = self.worker(vm);
        worker.ticket += 1;
        let tasks = worker
            .tasks
            .iter()
            .map(|(id, task)| TaskReport {
                task: id.clone(),
                state: task.state,
                request: trace.jobs[task.job].declared,
                used: task.used(trace),
                age_ms: now.since(task.started_at),
            })
            .collect();
        WorkerReport { polled_at: now, ticket: worker.ticket, up_ms: None, tasks }
    }

    /// Runs all tasks for one step. If the tasks of a worker use more processor
    /// time than it has, all of them slow down by the same factor.
    pub(crate) fn run_tasks(&mut self, now: TimeMs) {
        for worker in self.workers.values_mut() {
            let used_milli = worker.used(self.trace).cpu_milli.max(1);
            let speed_ppm =
                (worker.spec.capacity.cpu_milli * 1_000_000 / used_milli).min(1_000_000);
            for task in worker.tasks.values_mut().filter(|task| task.state.is_live()) {
                let job = &self.trace.jobs[task.job];
                let progress = &mut self.progress[task.job];
                let task_speed_milli =
                    if task.state == TaskState::Throttled { THROTTLED_SPEED_MILLI } else { 1_000 };
                let step_us = STEP_MS * task_speed_milli * speed_ppm / 1_000_000;
                let remaining_us = (job.run_ms * 1_000).saturating_sub(progress.done_us);
                progress.done_us += step_us.min(remaining_us);
                if worker.spec.data_centre_in_service {
                    self.work_done += job.used.cpu_milli * step_us.min(remaining_us);
                }
                if step_us >= remaining_us {
                    progress.is_done = true;
                    task.state = TaskState::Succeeded;
                } else if task.checkpoint_at.is_some_and(|at| now >= at) {
                    progress.saved_us = progress.done_us;
                    task.state = TaskState::Checkpointed;
                }
            }
        }
    }
}
