//! What the workers of the fake fleet do: they start, run and end tasks, and restart.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::order::StartOrder;
use cowslipport_lib::workload::report::LeaseGrant;
use cowslipport_lib::workload::report::StartAnswer;
use cowslipport_lib::workload::report::StartReply;
use cowslipport_lib::workload::report::TaskEnd;

use super::Fleet;
use super::checkpoint_at;

impl Fleet {
    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        let (due, delayed) =
            std::mem::take(&mut self.delayed_starts).into_iter().partition(|start| start.0 <= now);
        self.delayed_starts = delayed;
        let due: Vec<(u64, String, u64, u64, StartOrder)> = due;
        for (_, worker, epoch, lease_until, start) in due {
            let reply = self.start(&worker, epoch, lease_until, &start);
            if self.slow_starts.remove(&start.task)
                && let Some(owner) = &mut self.owner
            {
                let id = owner.worker_id(&worker);
                owner.start_answered(TimeMs(now), id, start.key, start.attempt, reply);
            }
        }
        for worker in self.workers.values_mut().filter(|worker| worker.is_up) {
            let is_lease_expired = now >= worker.lease_until;
            if is_lease_expired {
                worker.ends_before_expiry = worker.next_end - 1;
            }
            let tasks: Vec<TaskName> = worker.running.keys().copied().collect();
            for task in tasks {
                let run = &worker.running[&task];
                let end = if run.stops_at.is_some_and(|at| at <= now) {
                    TaskEnd::Stopped
                } else if is_lease_expired {
                    TaskEnd::LeaseExpired
                } else if run.until.is_some_and(|until| until <= now) {
                    if run.fails { TaskEnd::Failed } else { TaskEnd::Done }
                } else {
                    continue;
                };
                let mut run = worker.running.remove(&task).expect("the task runs");
                if let Some(since) = run.works_since.filter(|_| end == TaskEnd::Stopped) {
                    run.checkpoint = Some(checkpoint_at(now - since));
                }
                if end == TaskEnd::Done {
                    self.done.insert(task, now);
                }
                worker.end(task, &run, end);
            }
        }
    }

    /// Handles a start order that arrives at a worker. `lease_until` is a time on the
    /// worker's clock.
    pub(crate) fn start(
        &mut self,
        name: &str,
        epoch: u64,
        lease_until: u64,
        start: &StartOrder,
    ) -> StartReply {
        let (now, task) = (self.now, start.task);
        let refuse = StartReply::without_lease;
        let work = self.work[&task.job];
        let spec = &self.jobs[&task.job].steps[task.step as usize];
        let elsewhere = self
            .workers
            .values()
            .any(|other| other.is_up && other.name != name && other.running.contains_key(&task));
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if !worker.is_up {
            return StartReply { answer: StartAnswer::Unknown, lease: LeaseGrant::Unknown };
        }
        if epoch < worker.highest_epoch {
            return refuse(StartAnswer::EpochTooLow);
        }
        worker.highest_epoch = epoch;
        if lease_until <= worker.clock_ms(now) {
            return refuse(StartAnswer::TooLate);
        }
        if worker.running.get(&task).is_some_and(|run| run.attempt == start.attempt) {
            return refuse(StartAnswer::Started);
        }
        let lease = worker.renew(now, lease_until);
        if worker.fenced.get(&task).is_some_and(|fenced| start.attempt <= *fenced) {
            return StartReply { answer: StartAnswer::AttemptTooLow, lease };
        }
        if elsewhere {
            self.violations.push(format!("{now}: {task} runs twice at the same time"));
        }
        if !spec.long_running && self.acknowledged_done.contains(&task) {
            self.violations.push(format!("{now}: {task} starts after its end was acknowledged"));
        }
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if worker.running.contains_key(&task) {
            self.violations.push(format!("{now}: {task} runs twice on {name}"));
        }
        worker.begin(now, start, spec, work);
        if !worker.has_label(spec.required_label.as_deref()) {
            self.violations.push(format!("{now}: {name} lacks the label that {task} requires"));
        }
        self.starts += 1;
        self.last_starts.insert(task, now);
        self.tickets.push((name.to_owned(), start.ticket.clone()));
        if !worker.used().fits_in(worker.capacity) {
            self.violations.push(format!("{now}: {name} is over its capacity"));
        }
        StartReply { answer: StartAnswer::Started, lease }
    }

    /// Restarts a worker, which loses all its tasks. It refuses delayed starts, which
    /// name the incarnation that they are for.
    pub(crate) fn restart_worker(&mut self, name: &str) {
        self.delayed_starts.retain(|start| start.1 != name);
        self.restart_worker_unnoticed(name);
    }

    /// Restarts a worker, which loses all its tasks, and carries out starts that were
    /// delayed. Its clock and the numbers of its ends begin anew.
    pub(crate) fn restart_worker_unnoticed(&mut self, name: &str) {
        let now = self.now;
        let worker = self.workers.get_mut(name).expect("the worker exists");
        worker.running.clear();
        worker.fenced.clear();
        worker.ended.clear();
        worker.next_end = 1;
        worker.ends_before_expiry = 0;
        worker.highest_epoch = 0;
        worker.lease_until = 0;
        worker.started_at = now;
    }
}
