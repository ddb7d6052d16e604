//! A job as it was submitted, checked.

use crate::findings::Findings;
use crate::resources::Resources;

/// Steps of a job. A job of more is a mistake of its submitter.
pub const MAX_STEPS: usize = 64;
/// Tasks of a job over all steps and occurrences, which bounds the memory of
/// its state to about 1 MB.
pub const MAX_TASKS: u64 = 10_000;
/// Bytes of the payload that each task receives.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job of several steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Queue that it was submitted to.
    pub queue: String,
    /// Pool of the queue when it was accepted.
    pub pool: String,
    /// Rules of the queue when it was accepted.
    pub rules: QueueRules,
    /// Organisation whose key came with it; none on a queue open to all.
    pub organisation: Option<String>,
    /// What each task receives.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run; none for once, at once.
    pub schedule: Option<Schedule>,
    /// Milliseconds since 1970 when it was accepted.
    pub accepted_unix_ms: u64,
}

/// Rules of a queue for its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRules {
    /// Zero goes before all others.
    pub priority: u32,
    /// Failed attempts of a task after which its job has failed.
    pub max_attempts: u32,
    /// Objective as a multiple of the longest chain, in thousandths.
    pub slack_milli: u64,
    /// Time added to the objective.
    pub target_latency_ms: u64,
}

/// Set times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How many times.
    pub occurrences: u32,
    /// First time, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// Time between two.
    pub interval_ms: u64,
}

/// One step: tasks of one size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub task_count: u32,
    /// Declared size of a task.
    pub request: Resources,
    /// Declared run time of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before.
    pub depends_on: Vec<u32>,
    /// Tasks save their progress.
    pub checkpoints: bool,
    /// Tasks run all together or not at all.
    pub gang: bool,
    /// Tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack of the data, away from which tasks are slower.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_tasks_per_worker: Option<u32>,
    /// Two copies of a task may run.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run.
    pub image: String,
    /// Bound on the tail of the response times of tasks that serve.
    pub tail_target_ms: Option<u64>,
    /// Tasks take the processor time that others leave.
    pub uses_spare_cpu: bool,
    /// Tasks of a lasting step that planned work may take away at a time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// What a task takes of the room of a worker.
    pub fn effective_request(&self) -> Resources {
        match self.uses_spare_cpu {
            true => Resources { cpu_milli: 0, ..self.request },
            false => self.request,
        }
    }
}

impl JobSpec {
    /// Declared run time of the longest chain of steps.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().map(|before| ends[*before as usize]).max();
            ends.push(before.unwrap_or(0).saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When an occurrence is due, if the job has set times.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset = schedule.interval_ms.saturating_mul(u64::from(occurrence));
        Some(schedule.first_due_unix_ms.saturating_add(offset))
    }

    /// True if some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// All that is wrong with the job.
    pub fn check(&self) -> Result<(), Findings> {
        let mut findings = Findings::default();
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            findings.add("payload", format!("is longer than {MAX_PAYLOAD_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            findings.add("steps", format!("must be 1 to {MAX_STEPS}"));
        }
        if self.schedule.is_some_and(|schedule| schedule.occurrences == 0) {
            findings.add("schedule.occurrences", "must be at least 1");
        }
        for (index, step) in self.steps.iter().enumerate() {
            check_step(index, step, &mut findings);
        }
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.task_count)).sum();
        if per_occurrence.saturating_mul(u64::from(self.occurrences())) > MAX_TASKS {
            findings.add("steps", format!("have more than {MAX_TASKS} tasks in all"));
        }
        findings.into_result(())
    }
}

fn check_step(index: usize, step: &StepSpec, findings: &mut Findings) {
    if step.task_count == 0 {
        findings.add(format!("steps[{index}].task_count"), "must be at least 1");
    }
    if step.depends_on.iter().any(|before| *before as usize >= index) {
        findings.add(format!("steps[{index}].after_steps"), "must name earlier steps");
    }
}
