//! Keys and names of jobs, steps, tasks and workers.

use std::fmt;
use std::str::FromStr;

use crate::arena::ArenaKey;
use crate::generational_arena::GenerationalKey;

/// Key of a job, chosen by the submitter: sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// Digits of a job key.
const JOB_KEY_DIGITS: usize = 16;

/// Error for a text that is not a job key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a job key of {JOB_KEY_DIGITS} lower-case hexadecimal digits")]
pub struct InvalidJobKey(pub String);

impl FromStr for JobKey {
    type Err = InvalidJobKey;

    fn from_str(text: &str) -> Result<Self, InvalidJobKey> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(is_digit) {
            return Err(InvalidJobKey(text.to_owned()));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| InvalidJobKey(text.to_owned()))
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Key of a job in the owner's arena of jobs. An order that is under way may
/// outlive its job, so the key of an ended job is not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId {
    index: u32,
    generation: u32,
}

impl GenerationalKey for JobId {
    fn new(index: u32, generation: u32) -> Self {
        Self { index, generation }
    }

    fn index(self) -> u32 {
        self.index
    }

    fn generation(self) -> u32 {
        self.generation
    }
}

/// Index of a worker in the owner's arena of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

impl ArenaKey for WorkerId {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entries"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Key of one step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

/// Key of one task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// Name of a task on workers and in records. It is valid under every owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: JobKey,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Error for a text that is not a task name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a task name of the form job.occurrence.step.index")]
pub struct InvalidTaskName(pub String);

impl FromStr for TaskName {
    type Err = InvalidTaskName;

    fn from_str(text: &str) -> Result<Self, InvalidTaskName> {
        let parse = || {
            let mut parts = text.split('.');
            let name = Self {
                job: parts.next()?.parse().ok()?,
                occurrence: parts.next()?.parse().ok()?,
                step: parts.next()?.parse().ok()?,
                index: parts.next()?.parse().ok()?,
            };
            parts.next().is_none().then_some(name)
        };
        parse().ok_or_else(|| InvalidTaskName(text.to_owned()))
    }
}
