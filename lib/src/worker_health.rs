//! Tells workers that fail what they start from jobs that fail wherever they
//! start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::VmId;
use crate::job::JobRef;
use crate::job_class::JobClass;
use crate::time::TimeMs;

/// Results older than this have no weight.
const RESULT_WINDOW_MS: u64 = 600_000;

/// Distinct jobs that must have failed on a worker, with nothing about the
/// jobs that explains it.
const QUARANTINE_FAILED_JOBS: usize = 3;

/// Distinct other workers on which a class of jobs must have failed for the
/// class to explain a failure.
const CLASS_FAULT_WORKERS: usize = 2;

/// Distinct workers on which a job must have failed, each of which ran other
/// tasks well.
const JOB_FAULT_PROVEN_WORKERS: usize = 3;

/// The same for workers of any kind, since at first no worker has shown that
/// it runs tasks well.
const JOB_FAULT_WORKERS: usize = 5;

/// Failures after which a job is stopped even if they were on few workers.
const MAX_JOB_FAILURES: u32 = 10;

/// A task of this age counts as running well.
pub const SURVIVAL_MS: u64 = 15_000;

/// First time in quarantine; it doubles with each failed probe.
const QUARANTINE_MS: u64 = 60_000;

/// Longest time in quarantine.
const MAX_QUARANTINE_MS: u64 = 1_800_000;

/// Jobs that are remembered for each worker.
const MAX_RESULTS_PER_WORKER: usize = 64;

/// Whether a worker gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// It does.
    Good,
    /// It does not until the given time.
    Quarantined {
        /// Time of the probe.
        until: TimeMs,
    },
    /// It gets one job at a time, until one of them has run well.
    Probation,
}

/// A change that the results call for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Quarantine a worker on which different jobs failed.
    Quarantine {
        /// The worker.
        vm: VmId,
        /// Distinct jobs that count against it.
        failed_jobs: u32,
        /// Time in quarantine.
        duration_ms: u64,
    },
    /// Quarantine a worker again, since its probe failed.
    ProbeFailed {
        /// The worker.
        vm: VmId,
        /// Time in quarantine.
        duration_ms: u64,
    },
    /// Release a worker whose probe ran well.
    Release {
        /// The worker.
        vm: VmId,
    },
}

#[derive(Clone, Debug)]
struct JobResult {
    class: JobClass,
    failed: bool,
    at: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: TimeMs,
    duration_ms: u64,
    probe_failed: bool,
    probe_succeeded: bool,
}

/// Results of tasks on the workers of a partition.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    results: BTreeMap<VmId, BTreeMap<JobRef, JobResult>>,
    quarantines: BTreeMap<VmId, Quarantine>,
    /// Workers that are judged again, since their failures changed.
    changed: BTreeSet<VmId>,
}

impl HealthTable {
    /// Notes that a task of a job failed or ran well on a worker.
    pub fn record(&mut self, now: TimeMs, vm: VmId, job: &JobRef, class: &JobClass, failed: bool) {
        if let Some(quarantine) = self.quarantines.get_mut(&vm) {
            // Tasks that started before the quarantine may end during it; only
            // those after it are probes.
            if now >= quarantine.until {
                quarantine.probe_failed |= failed;
                quarantine.probe_succeeded |= !failed;
            }
            return;
        }
        if failed {
            self.changed.insert(vm);
        }
        let results = self.results.entry(vm).or_default();
        results.insert(job.clone(), JobResult { class: class.clone(), failed, at: now });
        if results.len() > MAX_RESULTS_PER_WORKER {
            let oldest = results.iter().min_by_key(|(_, result)| result.at);
            if let Some(job) = oldest.map(|(job, _)| job.clone()) {
                results.remove(&job);
            }
        }
    }

    /// Forgets a worker that left.
    pub fn forget(&mut self, vm: VmId) {
        self.results.remove(&vm);
        self.quarantines.remove(&vm);
    }

    /// Whether a worker gets new work.
    pub fn health(&self, now: TimeMs, vm: VmId) -> WorkerHealth {
        match self.quarantines.get(&vm) {
            None => WorkerHealth::Good,
            Some(quarantine) if now < quarantine.until => {
                WorkerHealth::Quarantined { until: quarantine.until }
            }
            Some(_) => WorkerHealth::Probation,
        }
    }

    /// Workers on which a job failed, without those in quarantine: their
    /// failures do not count against the job.
    pub fn failed_workers(&self, job: &JobRef) -> BTreeSet<VmId> {
        let failed = self.results.iter().filter(|(vm, results)| {
            !self.quarantines.contains_key(vm)
                && results.get(job).is_some_and(|result| result.failed)
        });
        failed.map(|(vm, _)| *vm).collect()
    }

    /// True if a job that failed `failures` times fails because of itself.
    pub fn job_is_at_fault(&self, job: &JobRef, failures: u32, workers: usize) -> bool {
        let failed = self.failed_workers(job);
        let good = failed.iter().filter(|vm| self.has_success(**vm)).count();
        let enough = |needed: usize| needed.min(workers.max(1));
        good >= enough(JOB_FAULT_PROVEN_WORKERS)
            || failed.len() >= JOB_FAULT_WORKERS
            || failures >= MAX_JOB_FAILURES
    }

    fn has_success(&self, vm: VmId) -> bool {
        let results = self.results.get(&vm);
        results.is_some_and(|results| results.values().any(|result| !result.failed))
    }

    /// The changes that the results call for. At most half of the workers are
    /// in quarantine: if more of them fail, the cause is more likely something
    /// that they share, and quarantine would only take away the capacity.
    pub fn evaluate(&mut self, now: TimeMs, workers: usize) -> Vec<HealthChange> {
        let mut changes = self.evaluate_probes(now);
        if !self.changed.is_empty() {
            self.drop_expired_results(now);
        }
        for vm in std::mem::take(&mut self.changed) {
            let is_full = self.quarantines.len() >= (workers / 2).max(1);
            if is_full || self.quarantines.contains_key(&vm) {
                continue;
            }
            let Some(failed_jobs) = self.unexplained_failures(vm) else { continue };
            self.quarantine(now, vm, QUARANTINE_MS);
            changes.push(HealthChange::Quarantine { vm, failed_jobs, duration_ms: QUARANTINE_MS });
        }
        changes
    }

    fn drop_expired_results(&mut self, now: TimeMs) {
        for results in self.results.values_mut() {
            results.retain(|_, result| now.since(result.at) <= RESULT_WINDOW_MS);
        }
        self.results.retain(|_, results| !results.is_empty());
    }

    fn quarantine(&mut self, now: TimeMs, vm: VmId, duration_ms: u64) {
        let until = now.plus(duration_ms);
        let entry = Quarantine { until, duration_ms, probe_failed: false, probe_succeeded: false };
        self.quarantines.insert(vm, entry);
    }

    fn evaluate_probes(&mut self, now: TimeMs) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (vm, quarantine) in self.quarantines.clone() {
            if quarantine.probe_failed {
                let duration_ms = quarantine.duration_ms.saturating_mul(2).min(MAX_QUARANTINE_MS);
                self.quarantine(now, vm, duration_ms);
                changes.push(HealthChange::ProbeFailed { vm, duration_ms });
            } else if quarantine.probe_succeeded {
                self.forget(vm);
                changes.push(HealthChange::Release { vm });
            }
        }
        changes
    }

    /// Number of distinct jobs that count against a worker, if they outweigh
    /// those that ran well.
    fn unexplained_failures(&self, vm: VmId) -> Option<u32> {
        let results = self.results.get(&vm)?;
        let ran_well = results.values().filter(|result| !result.failed).count();
        let failed = results
            .iter()
            .filter(|(job, result)| result.failed && !self.is_explained(vm, job, &result.class))
            .count();
        (failed >= QUARANTINE_FAILED_JOBS && failed > ran_well)
            .then(|| u32::try_from(failed).unwrap_or(u32::MAX))
    }

    /// True if a failure on `vm` is more likely the fault of the job: the job
    /// failed on other workers as well, or its class fails on more of the
    /// other workers than it runs well on.
    fn is_explained(&self, vm: VmId, job: &JobRef, class: &JobClass) -> bool {
        let mut class_failed = 0;
        let mut class_ran_well = 0;
        let mut job_failed = 0;
        for (other, results) in &self.results {
            if *other == vm || self.quarantines.contains_key(other) {
                continue;
            }
            let of_class = || results.values().filter(|result| result.class == *class);
            if of_class().any(|result| !result.failed) {
                class_ran_well += 1;
            } else if of_class().any(|result| result.failed) {
                class_failed += 1;
            }
            job_failed += usize::from(results.get(job).is_some_and(|result| result.failed));
        }
        job_failed >= CLASS_FAULT_WORKERS
            || (class_failed >= CLASS_FAULT_WORKERS && class_failed > class_ran_well)
    }
}
