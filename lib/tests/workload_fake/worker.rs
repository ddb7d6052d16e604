//! A fake worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::order::StartOrder;
use cowslipport_lib::workload::report::EndedTask;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::RunningTask;
use cowslipport_lib::workload::report::TaskEnd;
use cowslipport_lib::workload::report::WorkerReport;
use cowslipport_lib::workload::spec::StepSpec;

use super::LEASE_MAX_MS;
use super::STOP_MS;
use super::Work;

/// Ends that one report lists at most, as the worker contract states.
const MAX_LISTED_ENDS: usize = 500;

/// A running attempt of a task.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: u32,
    pub(crate) started_at: u64,
    /// When the gang of the task began to work, less the work that it resumed from.
    pub(crate) works_since: Option<u64>,
    pub(crate) until: Option<u64>,
    pub(crate) fails: bool,
    pub(crate) stops_at: Option<u64>,
    pub(crate) checkpoint: Option<String>,
    pub(crate) percent: u32,
    pub(crate) request: Resources,
}

/// The real state of a worker, which the owner only learns from reports.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) capacity: Resources,
    pub(crate) labels: BTreeSet<String>,
    pub(crate) started_at: u64,
    pub(crate) highest_epoch: u64,
    /// When its leases expire, on the clock of the fleet.
    pub(crate) lease_until: u64,
    pub(crate) running: BTreeMap<TaskName, Run>,
    pub(crate) fenced: BTreeMap<TaskName, u32>,
    pub(crate) ended: Vec<EndedTask>,
    pub(crate) next_end: u64,
    /// Ends up to this number came before the lease last expired. Their
    /// acknowledgement is not checked.
    pub(crate) ends_before_expiry: u64,
    pub(crate) is_reachable: bool,
    pub(crate) is_up: bool,
    /// The worker has no registry entry and is not polled.
    pub(crate) is_unlisted: bool,
    pub(crate) is_draining: bool,
    /// The worker cannot write its registry entry, which stays as it is.
    pub(crate) cannot_register: bool,
    /// All tasks of the worker fail after a short time.
    pub(crate) fails_every_task: bool,
    /// Tasks of the worker make no progress.
    pub(crate) is_stalled: bool,
}

impl FakeWorker {
    /// Time on the worker's clock, which begins anew with each incarnation.
    pub(crate) fn clock_ms(&self, now: u64) -> u64 {
        now - self.started_at
    }

    /// Renews the leases until a time on the worker's clock, but not for longer than
    /// workers allow.
    pub(crate) fn renew(&mut self, now: u64, until_worker_ms: u64) -> LeaseGrant {
        let ms = until_worker_ms.saturating_sub(self.clock_ms(now));
        self.lease_until = self.lease_until.max(now + ms.min(LEASE_MAX_MS));
        LeaseGrant::Remaining { ms }
    }

    /// When a task that begins to work now ends by itself; none if it does not.
    pub(crate) fn works_until(&self, now: u64, work: Work, long_running: bool) -> Option<u64> {
        let fails = work.fails || self.fails_every_task;
        let work_ms = if self.fails_every_task { 40 } else { work.work_ms };
        (!self.is_stalled && (!long_running || fails)).then_some(now + work_ms)
    }

    pub(crate) fn has_label(&self, required: Option<&str>) -> bool {
        required.is_none_or(|label| self.labels.contains(label))
    }

    /// Resources of the running tasks.
    pub(crate) fn used(&self) -> Resources {
        let requests = self.running.values().map(|run| run.request);
        requests.fold(Resources::ZERO, Resources::saturating_add)
    }

    /// Runs a task. A gang begins to work when all its members run.
    pub(crate) fn begin(&mut self, now: u64, start: &StartOrder, spec: &StepSpec, work: Work) {
        let until = self.works_until(now, work, spec.long_running);
        let run = Run {
            attempt: start.attempt,
            started_at: now,
            works_since: None,
            until: until.filter(|_| !spec.gang),
            fails: work.fails || self.fails_every_task,
            stops_at: None,
            checkpoint: start.checkpoint.clone(),
            percent: if spec.gang { 0 } else { 100 },
            request: spec.effective_request(),
        };
        self.running.insert(start.task, run);
    }

    pub(crate) fn end(&mut self, task: TaskName, run: &Run, end: TaskEnd) {
        self.fenced.insert(task, run.attempt);
        self.ended.push(EndedTask {
            number: self.next_end,
            task,
            attempt: run.attempt,
            end,
            checkpoint: run.checkpoint.clone(),
        });
        self.next_end += 1;
    }

    pub(crate) fn stop(&mut self, now: u64, task: TaskName, attempt: u32) {
        let fenced = self.fenced.entry(task).or_default();
        *fenced = (*fenced).max(attempt);
        if let Some(run) = self.running.get_mut(&task).filter(|run| run.attempt <= attempt) {
            run.stops_at.get_or_insert(now + STOP_MS);
        }
    }

    pub(crate) fn report(&self, sent_at: TimeMs, lease: LeaseGrant) -> WorkerReport {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            attempt: run.attempt,
            checkpoint: run.checkpoint.clone(),
            percent: if self.is_stalled { 0 } else { run.percent },
            reading: 0,
        });
        WorkerReport {
            sent_at,
            started_unix_ms: Some(self.started_at),
            lease,
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() > MAX_LISTED_ENDS,
        }
    }
}
