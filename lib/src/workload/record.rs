//! Encoding of the records of jobs.

use prost::Message;

use crate::findings::Findings;
use crate::protos::workload as raw;
use crate::resources::Resources;
use crate::wire::control::decode_error;
use crate::workload::spec::JobSpec;
use crate::workload::spec::QueueRules;
use crate::workload::spec::Schedule;
use crate::workload::spec::StepSpec;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
}

/// Progress of the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// How the job ended, if it has.
    pub outcome: Option<JobOutcome>,
    /// Steps of which a task has been placed.
    pub steps: Vec<StepProgress>,
    /// Epoch of the owner that wrote the record.
    pub epoch: u64,
    /// A worker has started a task.
    pub has_started: bool,
}

/// The part of a job's progress that callers see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobStatus {
    /// How the job ended, if it has.
    pub outcome: Option<JobOutcome>,
    /// A worker has started a task.
    pub has_started: bool,
}

impl JobStatus {
    /// Encodes the status record.
    pub fn encode(self) -> Vec<u8> {
        let outcome = raw_outcome(self.outcome).into();
        raw::JobStatus { outcome, has_started: self.has_started }.encode_to_vec()
    }

    /// Decodes a status record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::JobStatus::decode(bytes)
            .map_err(|error| decode_error("status", error.to_string()))?;
        Ok(Self { outcome: outcome_of(raw.outcome()), has_started: raw.has_started })
    }
}

fn raw_outcome(outcome: Option<JobOutcome>) -> raw::Outcome {
    match outcome {
        None => raw::Outcome::Open,
        Some(JobOutcome::Completed) => raw::Outcome::Completed,
        Some(JobOutcome::Failed) => raw::Outcome::Failed,
    }
}

fn outcome_of(raw: raw::Outcome) -> Option<JobOutcome> {
    match raw {
        raw::Outcome::Open => None,
        raw::Outcome::Completed => Some(JobOutcome::Completed),
        raw::Outcome::Failed => Some(JobOutcome::Failed),
    }
}

/// Progress of the tasks of one step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// The tasks, in order of their index.
    pub tasks: Vec<TaskProgress>,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Phase of the task.
    pub phase: RecordedPhase,
    /// Number of the last attempt, from 1; zero before the first.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Saved progress from which the next attempt resumes.
    pub checkpoint: Option<String>,
}

/// Phase of a task, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RecordedPhase {
    /// The task waits for a placement.
    #[default]
    Waiting,
    /// The task is placed on a worker, and may run there.
    Placed(RecordedPlacement),
    /// The task is done and does not run again.
    Done,
}

/// Placement of a task, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedPlacement {
    /// Name of the worker.
    pub worker: String,
    /// Start of the incarnation of the worker by whose clock the lease was computed, in
    /// milliseconds since 1970; `None` if it is not known, if the lease is, or if the
    /// lease lasts longer than owners intend.
    pub incarnation_unix_ms: Option<u64>,
    /// Whether the worker has answered that it runs the task with the intended lease.
    pub is_lease_known: bool,
}

impl JobSpec {
    /// Encodes the submission record.
    pub fn encode(&self) -> Vec<u8> {
        raw::Submission {
            queue: self.queue.clone(),
            pool: self.pool.clone(),
            rules: Some(raw::QueueRules {
                priority: self.rules.priority,
                max_attempts: self.rules.max_attempts,
                slack_milli: self.rules.slack_milli,
                target_latency_ms: self.rules.target_latency_ms,
                needs_advice: self.rules.needs_advice,
            }),
            organisation: self.organisation.clone(),
            payload: self.payload.clone(),
            steps: self.steps.iter().map(raw::Step::from).collect(),
            schedule: self.schedule.map(|schedule| raw::Schedule {
                occurrences: schedule.occurrences,
                first_due_unix_ms: schedule.first_due_unix_ms,
                interval_ms: schedule.interval_ms,
            }),
            accepted_unix_ms: self.accepted_unix_ms,
        }
        .encode_to_vec()
    }

    /// Decodes and checks a submission record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Submission::decode(bytes)
            .map_err(|error| decode_error("submission", error.to_string()))?;
        Self::try_from(raw)
    }
}

impl TryFrom<raw::Submission> for JobSpec {
    type Error = Findings;

    fn try_from(raw: raw::Submission) -> Result<Self, Findings> {
        let rules = raw.rules.ok_or_else(|| decode_error("rules", "are missing"))?;
        let spec = Self {
            queue: raw.queue,
            pool: raw.pool,
            rules: QueueRules {
                priority: rules.priority,
                max_attempts: rules.max_attempts,
                slack_milli: rules.slack_milli,
                target_latency_ms: rules.target_latency_ms,
                needs_advice: rules.needs_advice,
            },
            organisation: raw.organisation,
            payload: raw.payload,
            steps: raw.steps.into_iter().map(StepSpec::from).collect(),
            schedule: raw.schedule.map(|schedule| Schedule {
                occurrences: schedule.occurrences,
                first_due_unix_ms: schedule.first_due_unix_ms,
                interval_ms: schedule.interval_ms,
            }),
            accepted_unix_ms: raw.accepted_unix_ms,
        };
        spec.check()?;
        Ok(spec)
    }
}

impl From<&StepSpec> for raw::Step {
    fn from(step: &StepSpec) -> Self {
        Self {
            task_count: step.task_count,
            cpu_milli: step.request.cpu_milli,
            memory_bytes: step.request.memory_bytes,
            accelerators: step.request.accelerators,
            estimate_ms: step.estimate_ms,
            after_steps: step.depends_on.clone(),
            checkpoints: step.checkpoints,
            gang: step.gang,
            same_rack: step.same_rack,
            required_label: step.required_label.clone().unwrap_or_default(),
            data_rack: step.data_rack.clone().unwrap_or_default(),
            max_tasks_per_worker: step.max_tasks_per_worker.unwrap_or_default(),
            copies_allowed: step.speculative,
            lasting: step.long_running,
            image: step.image.clone(),
            tail_target_ms: step.tail_target_ms.unwrap_or_default(),
            fills: step.uses_spare_cpu,
            max_unavailable: step.max_unavailable,
        }
    }
}

impl From<raw::Step> for StepSpec {
    fn from(raw: raw::Step) -> Self {
        let non_empty = |name: String| (!name.is_empty()).then_some(name);
        Self {
            task_count: raw.task_count,
            request: Resources {
                cpu_milli: raw.cpu_milli,
                memory_bytes: raw.memory_bytes,
                accelerators: raw.accelerators,
            },
            estimate_ms: raw.estimate_ms,
            depends_on: raw.after_steps,
            checkpoints: raw.checkpoints,
            gang: raw.gang,
            same_rack: raw.same_rack,
            required_label: non_empty(raw.required_label),
            data_rack: non_empty(raw.data_rack),
            max_tasks_per_worker: (raw.max_tasks_per_worker > 0)
                .then_some(raw.max_tasks_per_worker),
            speculative: raw.copies_allowed,
            long_running: raw.lasting,
            image: raw.image,
            tail_target_ms: (raw.tail_target_ms > 0).then_some(raw.tail_target_ms),
            uses_spare_cpu: raw.fills,
            max_unavailable: raw.max_unavailable,
        }
    }
}

/// Encodes a cancellation record.
pub fn encode_cancellation() -> Vec<u8> {
    // An empty value would delete the record.
    let mut bytes = raw::Cancellation {}.encode_to_vec();
    bytes.push(0);
    bytes
}

impl Progress {
    /// The part that callers see.
    pub fn status(&self) -> JobStatus {
        JobStatus { outcome: self.outcome, has_started: self.has_started }
    }

    /// Encodes the progress record.
    pub fn encode(&self) -> Vec<u8> {
        let mut workers: Vec<(&str, u64)> = Vec::new();
        let steps = self.steps.iter().map(|step| encode_step(step, &mut workers)).collect();
        raw::Progress {
            outcome: raw_outcome(self.outcome).into(),
            workers: workers.iter().map(|(name, _)| (*name).to_owned()).collect(),
            worker_incarnations_unix_ms: workers.iter().map(|(_, started)| *started).collect(),
            steps,
            epoch: self.epoch,
            has_started: self.has_started,
        }
        .encode_to_vec()
    }

    /// The progress without saved checkpoints. Tasks that a successor starts again
    /// begin anew.
    pub(crate) fn without_checkpoints(mut self) -> Self {
        for task in self.steps.iter_mut().flat_map(|step| &mut step.tasks) {
            task.checkpoint = None;
        }
        self
    }

    /// Decodes and checks a progress record.
    pub fn decode(bytes: &[u8]) -> Result<Self, Findings> {
        let raw = raw::Progress::decode(bytes)
            .map_err(|error| decode_error("progress", error.to_string()))?;
        Self::try_from(&raw)
    }
}

fn encode_step<'a>(step: &'a StepProgress, workers: &mut Vec<(&'a str, u64)>) -> raw::StepProgress {
    let mut encoded = raw::StepProgress {
        occurrence: step.occurrence,
        step: step.step,
        ..raw::StepProgress::default()
    };
    for (index, task) in (0..).zip(&step.tasks) {
        let (phase, worker) = match &task.phase {
            RecordedPhase::Waiting => (raw::TaskPhase::Waiting, 0),
            RecordedPhase::Placed(placement) => {
                encoded.known_leases.extend(placement.is_lease_known.then_some(index));
                (raw::TaskPhase::Placed, worker_number(placement, workers))
            }
            RecordedPhase::Done => (raw::TaskPhase::Done, 0),
        };
        encoded.phases.push(phase.into());
        encoded.attempts.push(task.attempt);
        encoded.failures.push(task.failures);
        encoded.workers.push(worker);
        if let Some(value) = &task.checkpoint {
            encoded.checkpoints.push(raw::Checkpoint { task: index, value: value.clone() });
        }
    }
    encoded
}

/// Index plus one of an incarnation of a worker in the list. Appends it if it is
/// missing.
fn worker_number<'a>(placement: &'a RecordedPlacement, workers: &mut Vec<(&'a str, u64)>) -> u32 {
    let entry = (placement.worker.as_str(), placement.incarnation_unix_ms.unwrap_or(0));
    let index = workers.iter().position(|worker| *worker == entry).unwrap_or_else(|| {
        workers.push(entry);
        workers.len() - 1
    });
    u32::try_from(index + 1).unwrap_or(0)
}

impl TryFrom<&raw::Progress> for Progress {
    type Error = Findings;

    fn try_from(raw: &raw::Progress) -> Result<Self, Findings> {
        let outcome = outcome_of(raw.outcome());
        let steps: Result<Vec<StepProgress>, Findings> =
            raw.steps.iter().map(|step| decode_step(step, raw)).collect();
        Ok(Self { outcome, steps: steps?, epoch: raw.epoch, has_started: raw.has_started })
    }
}

fn decode_step(
    raw: &raw::StepProgress,
    progress: &raw::Progress,
) -> Result<StepProgress, Findings> {
    let count = raw.phases.len();
    if [&raw.attempts, &raw.failures, &raw.workers].iter().any(|list| list.len() != count) {
        return Err(decode_error("steps", "lists of one step differ in length"));
    }
    if raw.phases().count() != count {
        return Err(decode_error("steps.phases", "unknown phase of a task"));
    }
    let mut tasks = Vec::with_capacity(count);
    for (index, phase) in raw.phases().enumerate() {
        let phase = match phase {
            raw::TaskPhase::Waiting => RecordedPhase::Waiting,
            raw::TaskPhase::Done => RecordedPhase::Done,
            raw::TaskPhase::Placed => {
                RecordedPhase::Placed(decode_placement(raw.workers[index], progress)?)
            }
        };
        let (attempt, failures) = (raw.attempts[index], raw.failures[index]);
        tasks.push(TaskProgress { phase, attempt, failures, checkpoint: None });
    }
    for index in &raw.known_leases {
        if let Some(TaskProgress { phase: RecordedPhase::Placed(placement), .. }) =
            tasks.get_mut(*index as usize)
        {
            placement.is_lease_known = true;
        }
    }
    for checkpoint in &raw.checkpoints {
        if let Some(task) = tasks.get_mut(checkpoint.task as usize) {
            task.checkpoint = Some(checkpoint.value.clone());
        }
    }
    Ok(StepProgress { occurrence: raw.occurrence, step: raw.step, tasks })
}

fn decode_placement(
    worker_number: u32,
    progress: &raw::Progress,
) -> Result<RecordedPlacement, Findings> {
    let no_worker = || decode_error("steps.workers", "names no worker");
    let index = (worker_number as usize).checked_sub(1).ok_or_else(no_worker)?;
    let worker = progress.workers.get(index).ok_or_else(no_worker)?.clone();
    let incarnation = progress.worker_incarnations_unix_ms.get(index).copied();
    let incarnation_unix_ms = incarnation.filter(|unix_ms| *unix_ms != 0);
    Ok(RecordedPlacement { worker, incarnation_unix_ms, is_lease_known: false })
}
