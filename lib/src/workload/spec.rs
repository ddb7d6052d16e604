//! Specification of a submitted job, and its checks.

use crate::findings::Findings;
use crate::resources::Resources;

/// Largest number of steps of a job. A job with more is a mistake of its
/// submitter.
pub const MAX_STEPS: usize = 64;
/// Largest number of tasks of a job over all steps and occurrences. It limits
/// the state of a job to about 1 MB of memory.
pub const MAX_TASKS: u64 = 10_000;
/// Largest size of the payload that each task receives.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job of several steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Pool of the queue when the job was accepted.
    pub pool: String,
    /// Rules of the queue when the job was accepted.
    pub rules: QueueRules,
    /// Organisation that submitted the job; none for a job of a public queue.
    pub organisation: Option<String>,
    /// Input of each task.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run; none for a job that runs once, as soon as possible.
    pub schedule: Option<Schedule>,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// Rules that a queue sets for its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRules {
    /// Priority of the jobs: lower values are placed first, zero before all.
    pub priority: u32,
    /// Failed attempts of one task after which its job fails.
    pub max_attempts: u32,
    /// Part of the objective that is proportional to the critical path, as a
    /// multiple of it in thousandths.
    pub slack_milli: u64,
    /// Constant part of the objective.
    pub target_latency_ms: u64,
    /// Only workers with a ticket of the advice service may run a step.
    pub needs_advice: bool,
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
}

/// One step: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub task_count: u32,
    /// Declared resources of a task.
    pub request: Resources,
    /// Declared run time of a task.
    pub estimate_ms: u64,
    /// Earlier steps that must be done before the tasks start.
    pub depends_on: Vec<u32>,
    /// Tasks save their progress.
    pub checkpoints: bool,
    /// Tasks run all at the same time or not at all.
    pub gang: bool,
    /// Tasks run slower if they are spread over more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the data; tasks run slower on other racks.
    pub data_rack: Option<String>,
    /// Largest number of tasks of the step on one worker.
    pub max_tasks_per_worker: Option<u32>,
    /// Two copies of a task may run at the same time.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run.
    pub image: String,
    /// Target for the tail latency of tasks that serve requests; none for other
    /// tasks.
    pub tail_target_ms: Option<u64>,
    /// Tasks use only the CPU time that other tasks leave.
    pub uses_spare_cpu: bool,
    /// Largest number of tasks of a long-running step that planned maintenance
    /// and moves may make unavailable at a time; none for no limit.
    pub max_unavailable: Option<u32>,
}

impl QueueRules {
    /// Time from acceptance within which a job with this critical path should be
    /// completed.
    pub(crate) fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let slack = critical_path_ms.saturating_mul(self.slack_milli) / 1_000;
        slack.saturating_add(self.target_latency_ms)
    }
}

impl StepSpec {
    /// Resources that a task takes of the capacity of its worker. A task that
    /// uses spare CPU takes no CPU.
    pub fn effective_request(&self) -> Resources {
        match self.uses_spare_cpu {
            true => Resources { cpu_milli: 0, ..self.request },
            false => self.request,
        }
    }

    /// Resources that the next start of the step takes of the limit of its
    /// organisation: those declared for one task, or for all tasks of a gang, which
    /// start together. The CPU of a task that uses spare CPU counts, too.
    pub(crate) fn start_request(&self) -> Resources {
        match self.gang {
            true => self.request.scaled_up(self.task_count.into(), 1),
            false => self.request,
        }
    }
}

impl JobSpec {
    /// Declared run time of the critical path: the longest chain of steps that
    /// depend on each other.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        let declared: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        self.longest_chain_ms(&declared)
    }

    /// The longest chain of steps that depend on each other, with these run times.
    pub(crate) fn longest_chain_ms(&self, run_ms: &[u64]) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (step, run_ms) in self.steps.iter().zip(run_ms) {
            let before = step.depends_on.iter().map(|before| ends[*before as usize]).max();
            ends.push(before.unwrap_or(0).saturating_add(*run_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Declared work of one occurrence.
    pub(crate) fn work_core_ms(&self) -> u64 {
        let work = self.steps.iter().map(|step| {
            let core_ms = step.request.cpu_milli.saturating_mul(step.estimate_ms) / 1_000;
            u64::from(step.task_count).saturating_mul(core_ms)
        });
        work.fold(0, u64::saturating_add)
    }

    /// Number of occurrences; one without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When an occurrence is due; none without a schedule.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let offset = schedule.interval_ms.saturating_mul(u64::from(occurrence));
        Some(schedule.first_due_unix_ms.saturating_add(offset))
    }

    /// True if some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks the job and returns all findings.
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
