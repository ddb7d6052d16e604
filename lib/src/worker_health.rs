//! Health of workers, judged by the results of their tasks. A bad worker, on
//! which jobs fail that succeed elsewhere, is told apart from a bad job, which
//! fails on any worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::VmId;
use crate::job::JobRef;
use crate::job_class::JobClass;
use crate::time::TimeMs;

/// Age up to which results are considered.
const RESULT_WINDOW_MS: u64 = 600_000;

/// Number of distinct jobs that must have failed on a worker before it is
/// quarantined. Failures that the job or its class explains do not count.
const QUARANTINE_FAILED_JOBS: usize = 3;

/// Number of distinct other workers on which a job or a class of jobs must have
/// failed for it to explain a failure.
const CLASS_FAULT_WORKERS: usize = 2;

/// Number of distinct workers on which a job must have failed to count as the
/// cause itself, if each of them ran other tasks well.
const JOB_FAULT_PROVEN_WORKERS: usize = 3;

/// The same for any workers, since at first no worker has run other tasks.
const JOB_FAULT_WORKERS: usize = 5;

/// Number of failures after which a job ends even if it failed on few workers.
const MAX_JOB_FAILURES: u32 = 10;

/// Age at which a running task counts as running well.
pub const SURVIVAL_MS: u64 = 15_000;

/// Duration of the first quarantine; it doubles with each failed probe.
const QUARANTINE_MS: u64 = 60_000;

/// Longest duration of a quarantine.
const MAX_QUARANTINE_MS: u64 = 1_800_000;

/// Number of jobs whose results are kept for each worker.
const MAX_RESULTS_PER_WORKER: usize = 64;

/// Whether a worker gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// The worker gets new work.
    Good,
    /// The worker gets no new work until the given time.
    Quarantined {
        /// Time from which the worker is probed.
        until: TimeMs,
    },
    /// The worker gets one job at a time, until one of them has run well.
    Probation,
}

/// A change of a worker's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Quarantine a worker on which different jobs failed.
    Quarantine {
        /// The worker.
        vm: VmId,
        /// Number of distinct jobs whose failures count against the worker.
        failed_jobs: u32,
        /// Duration of the quarantine.
        duration_ms: u64,
    },
    /// Quarantine a worker again, since a job that probed it failed.
    ProbeFailed {
        /// The worker.
        vm: VmId,
        /// Duration of the quarantine.
        duration_ms: u64,
    },
    /// Release a worker on which a job that probed it ran well.
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
    /// Workers with new failures, which are evaluated next.
    changed: BTreeSet<VmId>,
}

impl HealthTable {
    /// Records that a task of a job failed or ran well on a worker.
    pub fn record(&mut self, now: TimeMs, vm: VmId, job: &JobRef, class: &JobClass, failed: bool) {
        if let Some(quarantine) = self.quarantines.get_mut(&vm) {
            // Tasks that started before the quarantine may end during it. Only
            // results after it count as probes.
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

    /// Removes a worker that left.
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

    /// Workers on which a job failed, without those in quarantine or on
    /// probation, whose failures do not count against the job.
    pub fn failed_workers(&self, job: &JobRef) -> BTreeSet<VmId> {
        let failed = self.results.iter().filter(|(vm, results)| {
            !self.quarantines.contains_key(vm)
                && results.get(job).is_some_and(|result| result.failed)
        });
        failed.map(|(vm, _)| *vm).collect()
    }

    /// True if a job that failed `failures` times is itself the likely cause.
    /// `workers` is the number of workers that take new work.
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

    /// Applies and returns the changes that follow from the results. At most
    /// half of the workers are in quarantine: if more of them fail, they more
    /// likely have a common cause, and quarantine would only reduce the
    /// capacity.
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

    /// Number of distinct jobs whose failures count against a worker, if it is
    /// enough for a quarantine and larger than the number that ran well.
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

    /// True if a failure on `vm` was more likely caused by the job: the job
    /// failed on other workers as well, or its class failed on more of the
    /// other workers than it ran well on.
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
