//! State of one open job: its steps and their tasks.

use std::rc::Rc;

use crate::ids::OrganisationId;
use crate::ids::PoolId;
use crate::time::TimeMs;
use crate::workload::attempt_lease::AttemptLease;
use crate::workload::checkpoint::CheckpointSource;
use crate::workload::checkpoint::Checkpoints;
use crate::workload::key::JobId;
use crate::workload::key::JobKey;
use crate::workload::key::StepKey;
use crate::workload::key::TaskKey;
use crate::workload::key::TaskName;
use crate::workload::key::WorkerId;
use crate::workload::order::StopReason;
use crate::workload::record::JobOutcome;
use crate::workload::record::JobStatus;
use crate::workload::run_time::RunProgress;
use crate::workload::run_time::SourceChain;
use crate::workload::run_time::StepRuns;
use crate::workload::spec::JobSpec;
use crate::workload::spec::QueueRules;
use crate::workload::spec::StepSpec;

/// An open job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) key: JobKey,
    pub(crate) spec: Rc<JobSpec>,
    pub(crate) payload: Rc<str>,
    pub(crate) pool: PoolId,
    pub(crate) rules: QueueRules,
    pub(crate) organisation: Option<OrganisationId>,
    /// When this process learned of the job.
    known_at: TimeMs,
    /// Age of the job when this process learned of it.
    known_at_age_ms: u64,
    /// Expected run time of the critical path through the steps: the declared one while
    /// nothing else is known.
    pub(crate) critical_path_ms: u64,
    /// Expected run time of a task of each step: the declared one while nothing else is
    /// known.
    expected_run_ms: Vec<u64>,
    /// What the tasks of each step have in common with others; empty while run times
    /// are not learned.
    pub(crate) run_sources: Vec<SourceChain>,
    /// Runs of the tasks of each step.
    step_runs: Vec<StepRuns>,
    pub(crate) is_cancelled: bool,
    /// When the job arrived, its organisation had submitted more jobs a second
    /// than its weight.
    pub(crate) is_beyond_rate: bool,
    pub(crate) outcome: Option<JobOutcome>,
    /// A worker has answered or reported that it started a task. A placement alone tells
    /// nothing: the worker may refuse it.
    pub(crate) has_started: bool,
    /// Steps of each occurrence.
    pub(crate) occurrences: Vec<Vec<Step>>,
    /// The state differs from the last stored record.
    pub(crate) is_dirty: bool,
    /// When the job was last recorded only because leases are known.
    pub(crate) leases_recorded_at: Option<TimeMs>,
    /// The last status record.
    pub(crate) recorded_status: JobStatus,
}

/// One step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) checkpoints: Checkpoints,
    done: u32,
    waiting: u32,
    /// When the owner first saw that the tasks may start.
    pub(crate) ready_at: Option<TimeMs>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) phase: Phase,
    /// Number of the last start.
    pub(crate) attempt: u32,
    pub(crate) failures: u32,
    /// Workers on which attempts have failed. The next attempt runs on another
    /// worker where possible, so that a worker that fails every task does not
    /// use up the attempts of a healthy job.
    pub(crate) failed_on: Vec<WorkerId>,
    /// When the last attempt failed.
    pub(crate) failed_at: TimeMs,
}

/// Phase of a task.
#[derive(Clone, Debug, Default)]
pub(crate) enum Phase {
    /// The task waits for a placement.
    #[default]
    Waiting,
    /// The task is placed on a worker and counts against its capacity.
    Placed(Placement),
    /// An attempt of the task succeeded.
    Done,
}

/// Placement of a task on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) worker: WorkerId,
    pub(crate) state: AttemptState,
    /// When the worker was chosen; later, when the start was ordered.
    pub(crate) since: TimeMs,
    /// Percentage of the work that is done.
    pub(crate) percent: u32,
    /// When `percent` last rose.
    pub(crate) progressed_at: TimeMs,
    /// Why a stop was requested; none if none was.
    pub(crate) stop: Option<StopReason>,
    /// When the attempt ran, as far as it was seen.
    pub(crate) run: RunProgress,
    pub(crate) lease: AttemptLease,
    /// Whether the store holds that the lease is known.
    pub(crate) is_lease_recorded: bool,
}

/// State of an attempt as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The placement is not stored yet, and no start was ordered.
    Planned,
    /// The start was ordered and is not answered yet.
    Ordered,
    /// The attempt may be running, or may start later.
    Unknown {
        since: TimeMs,
        /// When the worker promised to refuse the attempt from then on; none
        /// before.
        fenced_at: Option<TimeMs>,
    },
    /// The worker reported that the attempt runs.
    Running { confirmed_at: TimeMs },
}

impl Task {
    pub(crate) fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            Phase::Placed(placement) => Some(placement),
            Phase::Waiting | Phase::Done => None,
        }
    }

    pub(crate) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            Phase::Placed(placement) => Some(placement),
            Phase::Waiting | Phase::Done => None,
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, Phase::Waiting)
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let count = spec.task_count as usize;
        Self {
            tasks: vec![Task::default(); count],
            checkpoints: Checkpoints::new(spec),
            done: 0,
            waiting: spec.task_count,
            ready_at: None,
        }
    }

    /// Sets the phase of a task and updates the counts.
    pub(crate) fn set_phase(&mut self, index: u32, phase: Phase) {
        let task = &mut self.tasks[index as usize];
        let before = std::mem::replace(&mut task.phase, phase);
        self.waiting -= u32::from(matches!(before, Phase::Waiting));
        self.done -= u32::from(matches!(before, Phase::Done));
        let task = &self.tasks[index as usize];
        self.waiting += u32::from(task.is_waiting());
        self.done += u32::from(task.is_done());
    }

    /// Recomputes the counts after the tasks were restored from a record.
    pub(crate) fn recount(&mut self) {
        let count = |tasks: usize| u32::try_from(tasks).unwrap_or(u32::MAX);
        self.waiting = count(self.tasks.iter().filter(|task| task.is_waiting()).count());
        self.done = count(self.tasks.iter().filter(|task| task.is_done()).count());
    }

    /// Number of tasks that wait for a placement.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Number of tasks that are placed on workers.
    pub(crate) fn placed(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX) - self.waiting - self.done
    }

    /// Number of tasks that are done.
    pub(crate) fn done(&self) -> u32 {
        self.done
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Number of tasks of the step on a worker.
    pub(crate) fn on_worker(&self, worker: WorkerId) -> u32 {
        let placed = self.tasks.iter().filter_map(Task::placement);
        let count = placed.filter(|placement| placement.worker == worker).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

impl Placement {
    /// True if the attempt counts as available, by the last report of its
    /// worker: it runs, has reached 100 percent and is not being stopped.
    pub(crate) fn is_available(&self) -> bool {
        matches!(self.state, AttemptState::Running { .. })
            && self.percent >= FULL_PERCENT
            && self.stop.is_none()
    }
}

/// Progress at which a long-running task is available.
pub(crate) const FULL_PERCENT: u32 = 100;

impl Job {
    pub(crate) fn new(
        key: JobKey,
        spec: JobSpec,
        pool: PoolId,
        organisation: Option<OrganisationId>,
        known_at: TimeMs,
        known_at_age_ms: u64,
    ) -> Self {
        let steps: Vec<Step> = spec.steps.iter().map(Step::new).collect();
        Self {
            key,
            payload: Rc::from(spec.payload.as_str()),
            pool,
            rules: spec.rules,
            organisation,
            known_at,
            known_at_age_ms,
            critical_path_ms: spec.critical_path_ms(),
            expected_run_ms: spec.steps.iter().map(|step| step.estimate_ms).collect(),
            run_sources: Vec::new(),
            step_runs: vec![StepRuns::default(); spec.steps.len()],
            is_cancelled: false,
            is_beyond_rate: false,
            outcome: None,
            has_started: false,
            occurrences: vec![steps; spec.occurrences() as usize],
            is_dirty: false,
            leases_recorded_at: None,
            recorded_status: JobStatus::default(),
            spec: Rc::new(spec),
        }
    }

    /// The part of the progress that callers see.
    pub(crate) fn status(&self) -> JobStatus {
        JobStatus { outcome: self.outcome, has_started: self.has_started }
    }

    /// Time since the job was accepted.
    pub(crate) fn age_ms(&self, now: TimeMs) -> u64 {
        now.since(self.known_at).saturating_add(self.known_at_age_ms)
    }

    pub(crate) fn step_spec(&self, step: u32) -> &StepSpec {
        &self.spec.steps[step as usize]
    }

    pub(crate) fn step(&self, step: StepKey) -> &Step {
        &self.occurrences[step.occurrence as usize][step.step as usize]
    }

    pub(crate) fn step_mut(&mut self, step: StepKey) -> &mut Step {
        &mut self.occurrences[step.occurrence as usize][step.step as usize]
    }

    pub(crate) fn task(&self, task: TaskKey) -> &Task {
        &self.step(task.step).tasks[task.index as usize]
    }

    pub(crate) fn task_mut(&mut self, task: TaskKey) -> &mut Task {
        &mut self.step_mut(task.step).tasks[task.index as usize]
    }

    /// Applies the checkpoint of the last attempt of a task, if there is one.
    pub(crate) fn save_checkpoint(
        &mut self,
        task: TaskKey,
        source: CheckpointSource,
        checkpoint: &Option<String>,
    ) {
        let attempt = self.task(task).attempt;
        let step = self.step_mut(task.step);
        step.checkpoints.save(task.index, attempt, source, checkpoint);
    }

    pub(crate) fn task_name(&self, task: TaskKey) -> TaskName {
        let StepKey { occurrence, step, .. } = task.step;
        TaskName { job: self.key, occurrence, step, index: task.index }
    }

    /// Key of the task with this name, if the job has such a task.
    pub(crate) fn task_key(&self, id: JobId, name: TaskName) -> Option<TaskKey> {
        let steps = self.occurrences.get(name.occurrence as usize)?;
        steps.get(name.step as usize)?.tasks.get(name.index as usize)?;
        let step = StepKey { job: id, occurrence: name.occurrence, step: name.step };
        Some(TaskKey { step, index: name.index })
    }

    /// Steps of all occurrences with their keys.
    pub(crate) fn steps(&self, id: JobId) -> impl Iterator<Item = (StepKey, &Step)> {
        (0..).zip(&self.occurrences).flat_map(move |(occurrence, steps)| {
            (0..)
                .zip(steps)
                .map(move |(step, state)| (StepKey { job: id, occurrence, step }, state))
        })
    }

    /// True if no further task of the job may start.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing_reason().is_some()
    }

    /// Why running tasks of the job must stop; none while further tasks may
    /// start.
    pub(crate) fn closing_reason(&self) -> Option<StopReason> {
        match self.outcome {
            _ if self.is_cancelled => Some(StopReason::JobCancelled),
            Some(JobOutcome::Failed) => Some(StopReason::JobFailed),
            Some(JobOutcome::Completed) => Some(StopReason::NotAssigned),
            None => None,
        }
    }

    /// True if the tasks of a step may start: its occurrence is due, and all
    /// steps that it depends on are done.
    pub(crate) fn is_ready(&self, step: StepKey, now_unix_ms: u64) -> bool {
        let due = self.spec.due_unix_ms(step.occurrence).is_none_or(|due| due <= now_unix_ms);
        let steps = &self.occurrences[step.occurrence as usize];
        let before = &self.step_spec(step.step).depends_on;
        due && before.iter().all(|before| steps[*before as usize].is_done())
    }

    /// Steps with waiting tasks that may start now.
    pub(crate) fn startable_steps(
        &self,
        id: JobId,
        now_unix_ms: u64,
    ) -> impl Iterator<Item = (StepKey, &Step)> {
        self.steps(id)
            .filter(move |(step, state)| state.waiting > 0 && self.is_ready(*step, now_unix_ms))
    }

    /// True if every task is done.
    pub(crate) fn is_done(&self) -> bool {
        self.occurrences.iter().flatten().all(Step::is_done)
    }

    /// True if no task is placed.
    pub(crate) fn is_idle(&self) -> bool {
        let tasks = self.occurrences.iter().flatten().flat_map(|step| &step.tasks);
        tasks.into_iter().all(|task| task.placement().is_none())
    }

    /// Expected run time of a task of a step.
    pub(crate) fn expected_run_ms(&self, step: u32) -> u64 {
        self.expected_run_ms.get(step as usize).copied().unwrap_or(0)
    }

    pub(crate) fn step_runs_mut(&mut self, step: u32) -> &mut StepRuns {
        &mut self.step_runs[step as usize]
    }

    /// Computes the expected run times anew. `predict` tells what is expected of the
    /// tasks of a step by their sources and what was declared.
    pub(crate) fn expect<F>(&mut self, predict: F)
    where
        F: Fn(&SourceChain, u64) -> u64,
    {
        if self.run_sources.is_empty() {
            let steps = self.spec.steps.iter();
            self.run_sources = steps.map(|step| SourceChain::new(&self.spec, step)).collect();
        }
        let mut path_ms = Vec::with_capacity(self.run_sources.len());
        for (index, (chain, spec)) in self.run_sources.iter().zip(&self.spec.steps).enumerate() {
            let runs = self.step_runs[index];
            let expected_ms = runs.expected_ms(predict(chain, spec.estimate_ms));
            self.expected_run_ms[index] = expected_ms;
            let is_done = self.occurrences.iter().all(|steps| steps[index].is_done());
            path_ms.push(runs.longest_expected_ms(expected_ms, is_done));
        }
        self.critical_path_ms = self.spec.longest_chain_ms(&path_ms);
    }

    /// Expected work of the tasks that are not done, in core-milliseconds.
    pub(crate) fn remaining_work(&self) -> u64 {
        let specs = || self.spec.steps.iter().zip(&self.expected_run_ms);
        let steps = self.occurrences.iter().flat_map(|steps| steps.iter().zip(specs()));
        let work = steps.map(|(step, (spec, run_ms))| {
            let left = u64::from(spec.task_count - step.done());
            let core_ms = spec.request.cpu_milli.saturating_mul(*run_ms) / 1_000;
            left.saturating_mul(core_ms)
        });
        work.fold(0, u64::saturating_add)
    }
}
