//! Estimates of the resource use of tasks, from the use observed for each
//! class of jobs relative to their declared sizes.

use std::collections::BTreeMap;

use crate::ids::OrganisationId;
use crate::job::JobRef;
use crate::resources::Resources;

/// Number of tasks of a class that must have been observed before its estimate
/// may be below the declared size.
const MIN_OBSERVED_TASKS: u32 = 5;

/// Factor, in thousandths, between the highest recent use of memory and an
/// estimate below the declared size. The margin covers the lag of reports and
/// changes between polls. It does not raise an estimate above the declared
/// size: with tasks that use what they declare, a sixth of each worker would
/// stay idle. Processor time has no margin, since too little of it only slows
/// tasks down.
const MEMORY_MARGIN_MILLI: u64 = 1_200;

/// Smallest estimate of processor time, in thousandths of the declared size.
/// Tasks that suddenly use what they declared then overload a worker at most
/// fourfold, which slows tasks down but makes none fail.
const MIN_CPU_MILLI: u64 = 250;

/// Smallest estimate of memory, in thousandths of the declared size. It is
/// higher than that of processor time because a worker out of memory kills
/// tasks.
const MIN_MEMORY_MILLI: u64 = 500;

/// Largest estimate, in thousandths of the declared size.
const MAX_ESTIMATE_MILLI: u64 = 16_000;

/// Number of classes that are kept; the least recently observed one is evicted.
const MAX_CLASSES: usize = 4_096;

/// Divisor of the difference by which the recorded peak falls with each lower
/// sample.
const PEAK_DECAY_DIVISOR: u64 = 64;

/// Class of the jobs of one organisation that share a name prefix. Submitters
/// number jobs of one kind, so the part of the name before the first digit
/// identifies the kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobClass {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Common prefix of the names.
    pub prefix: String,
}

impl From<&JobRef> for JobClass {
    fn from(job: &JobRef) -> Self {
        let end = job.name.find(|symbol: char| symbol.is_ascii_digit()).unwrap_or(job.name.len());
        let prefix = job.name[..end].trim_end_matches(['-', '_', '.', '/', ':']);
        Self { organisation: job.organisation, prefix: prefix.to_owned() }
    }
}

/// Peak use in thousandths of the declared size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Peak {
    cpu_milli: u64,
    memory_milli: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClassUsage {
    peak: Peak,
    observed_tasks: u32,
    last_sample: u64,
}

/// Observed use of each class of jobs, and the estimates based on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassTable {
    classes: BTreeMap<JobClass, ClassUsage>,
    samples: u64,
}

impl ClassTable {
    /// Records a sample of what a task of the class uses. `first` is true for
    /// the first sample of a task.
    pub fn observe(&mut self, class: &JobClass, declared: Resources, used: Resources, first: bool) {
        self.samples += 1;
        if !self.classes.contains_key(class) && self.classes.len() >= MAX_CLASSES {
            self.evict_oldest();
        }
        let usage = self.classes.entry(class.clone()).or_default();
        usage.last_sample = self.samples;
        usage.observed_tasks = usage.observed_tasks.saturating_add(u32::from(first));
        usage.peak.cpu_milli =
            decayed_peak(usage.peak.cpu_milli, ratio_milli(used.cpu_milli, declared.cpu_milli));
        usage.peak.memory_milli = decayed_peak(
            usage.peak.memory_milli,
            ratio_milli(used.memory_bytes, declared.memory_bytes),
        );
    }

    /// Expected use of a task of the class. The estimate of accelerators is
    /// always the declared number, since tasks do not share accelerators.
    pub fn estimate(&self, class: &JobClass, declared: Resources) -> Resources {
        let Some(usage) = self.classes.get(class) else { return declared };
        let (min_cpu, min_memory) = if usage.observed_tasks >= MIN_OBSERVED_TASKS {
            (MIN_CPU_MILLI, MIN_MEMORY_MILLI)
        } else {
            (1_000, 1_000)
        };
        let cpu = usage.peak.cpu_milli.clamp(min_cpu, MAX_ESTIMATE_MILLI);
        let peak = usage.peak.memory_milli;
        let with_margin = (peak * MEMORY_MARGIN_MILLI / 1_000).min(peak.max(1_000));
        let memory = with_margin.clamp(min_memory, MAX_ESTIMATE_MILLI);
        Resources {
            cpu_milli: declared.scaled_up(cpu, 1_000).cpu_milli,
            memory_bytes: declared.scaled_up(memory, 1_000).memory_bytes,
            accelerators: declared.accelerators,
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, usage)| usage.last_sample);
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
        }
    }
}

fn ratio_milli(used: u64, declared: u64) -> u64 {
    let ratio = u128::from(used) * 1_000 / u128::from(declared.max(1));
    u64::try_from(ratio).unwrap_or(u64::MAX).min(MAX_ESTIMATE_MILLI)
}

fn decayed_peak(peak: u64, sample: u64) -> u64 {
    if sample >= peak { sample } else { peak - (peak - sample).div_ceil(PEAK_DECAY_DIVISOR) }
}
