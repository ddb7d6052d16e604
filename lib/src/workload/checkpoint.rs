//! Checkpoints of the tasks of a step, from which their next attempts resume.

use crate::workload::report::TaskEnd;
use crate::workload::spec::StepSpec;

/// Where a checkpoint of an attempt is from. Of the checkpoints of one attempt of a
/// gang, one from a later source holds more work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CheckpointSource {
    /// The record of an earlier owner, which is not written with each checkpoint.
    #[default]
    Record,
    /// A report of the running attempt, which had done this percentage of its work.
    Running { percent: u32 },
    /// The end of the attempt, after which a gang does no more work.
    Ended,
    /// A stop, which saves all work that was done.
    Stopped,
}

impl CheckpointSource {
    pub(crate) fn of_end(end: TaskEnd) -> Self {
        match end {
            TaskEnd::Stopped => Self::Stopped,
            TaskEnd::Done
            | TaskEnd::Failed
            | TaskEnd::LeaseExpired
            | TaskEnd::GangBroken
            | TaskEnd::GangIncomplete => Self::Ended,
        }
    }
}

/// The checkpoints of one step.
#[derive(Clone, Debug)]
pub(crate) enum Checkpoints {
    /// The last checkpoint of each task, by index.
    ByTask(Vec<Option<String>>),
    /// One checkpoint for all members of a gang. That of any member is valid for the
    /// others, and a gang does no work if its members resume from different ones.
    Gang(GangCheckpoint),
}

/// The checkpoint of a gang that holds the most work.
#[derive(Clone, Debug, Default)]
pub(crate) struct GangCheckpoint {
    value: Option<String>,
    attempt: u32,
    source: CheckpointSource,
}

impl Checkpoints {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        match spec.gang {
            true => Self::Gang(GangCheckpoint::default()),
            false => Self::ByTask(vec![None; spec.task_count as usize]),
        }
    }

    /// The checkpoint from which the next attempt of a task resumes.
    pub(crate) fn get(&self, index: u32) -> Option<&String> {
        match self {
            Self::ByTask(values) => values.get(index as usize)?.as_ref(),
            Self::Gang(gang) => gang.value.as_ref(),
        }
    }

    /// Applies the checkpoint of an attempt, if there is one.
    pub(crate) fn save(
        &mut self,
        index: u32,
        attempt: u32,
        source: CheckpointSource,
        checkpoint: &Option<String>,
    ) {
        if checkpoint.is_none() {
            return;
        }
        match self {
            Self::ByTask(values) => {
                if let Some(value) = values.get_mut(index as usize) {
                    value.clone_from(checkpoint);
                }
            }
            Self::Gang(gang) => gang.save(attempt, source, checkpoint),
        }
    }
}

impl GangCheckpoint {
    /// Reports of members arrive in any order. A later attempt resumed from the most
    /// recent checkpoint of the one before.
    fn save(&mut self, attempt: u32, source: CheckpointSource, checkpoint: &Option<String>) {
        if (attempt, source) >= (self.attempt, self.source) {
            self.value.clone_from(checkpoint);
            (self.attempt, self.source) = (attempt, source);
        }
    }
}
