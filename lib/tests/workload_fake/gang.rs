//! Gangs of the fake fleet, as the worker contract states: members work only
//! together, from the moment when all of one attempt run and carry one checkpoint.

use std::collections::BTreeMap;

use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::key::TaskName;
use cowslipport_lib::workload::report::TaskEnd;

use super::Fleet;
use super::Run;

/// A gang saves its progress at each multiple of this much work.
const CHECKPOINT_MS: u64 = 500;
/// Time for which a member waits for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// The running members of one attempt: workers and tasks.
type Members = Vec<(String, TaskName)>;

/// The checkpoint of a gang that has done this much work.
pub(crate) fn checkpoint_at(progress_ms: u64) -> String {
    format!("{progress_ms:08x}")
}

fn progress_ms(checkpoint: Option<&String>) -> u64 {
    checkpoint.map_or(0, |value| u64::from_str_radix(value, 16).expect("a checkpoint of a gang"))
}

impl Fleet {
    pub(crate) fn advance_gangs(&mut self) {
        let mut gangs: BTreeMap<(JobKey, u32, u32, u32), Members> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            for (task, run) in &worker.running {
                if self.jobs[&task.job].steps[task.step as usize].gang {
                    let gang = (task.job, task.occurrence, task.step, run.attempt);
                    gangs.entry(gang).or_default().push((worker.name.clone(), *task));
                }
            }
        }
        for members in gangs.into_values() {
            self.advance_gang(&members);
        }
    }

    fn advance_gang(&mut self, members: &Members) {
        let (_, first) = members[0];
        let count = self.jobs[&first.job].steps[first.step as usize].task_count;
        let is_whole = members.len() == count as usize;
        let runs: Vec<&Run> =
            members.iter().map(|(name, task)| &self.workers[name].running[task]).collect();
        let since = runs.iter().find_map(|run| run.works_since);
        let may_work =
            runs.iter().all(|run| run.checkpoint == runs[0].checkpoint && run.stops_at.is_none());
        match since {
            Some(since) if is_whole => self.save_gang(members, self.now - since),
            Some(_) => self.end_members(members, TaskEnd::GangBroken),
            None if is_whole && may_work => self.begin_gang(members),
            None => {
                let now = self.now;
                let mut late = members.clone();
                late.retain(|(name, task)| {
                    now - self.workers[name].running[task].started_at >= GANG_TIMEOUT_MS
                });
                if is_whole && !late.is_empty() {
                    self.violations
                        .push(format!("{now}: the members of {first} carry different checkpoints"));
                }
                self.end_members(&late, TaskEnd::GangIncomplete);
            }
        }
    }

    fn begin_gang(&mut self, members: &Members) {
        for (name, task) in members {
            let work = self.work[&task.job];
            let long_running = self.jobs[&task.job].steps[task.step as usize].long_running;
            let worker = self.workers.get_mut(name).expect("the worker exists");
            let until = worker.works_until(self.now, work, long_running);
            let run = worker.running.get_mut(task).expect("the member runs");
            let done_ms = progress_ms(run.checkpoint.as_ref());
            run.works_since = Some(self.now - done_ms);
            run.until = until.map(|until| (until - done_ms).max(self.now));
        }
    }

    fn save_gang(&mut self, members: &Members, done_ms: u64) {
        let saved_ms = done_ms - done_ms % CHECKPOINT_MS;
        for (name, task) in members {
            let work_ms = self.work[&task.job].work_ms;
            let worker = self.workers.get_mut(name).expect("the worker exists");
            let run = worker.running.get_mut(task).expect("the member runs");
            if saved_ms > progress_ms(run.checkpoint.as_ref()) {
                run.checkpoint = Some(checkpoint_at(saved_ms));
            }
            run.percent = u32::try_from(done_ms * 100 / work_ms).unwrap_or(100).min(100);
        }
    }

    fn end_members(&mut self, members: &Members, end: TaskEnd) {
        for (name, task) in members {
            let worker = self.workers.get_mut(name).expect("the worker exists");
            let run = worker.running.remove(task).expect("the member runs");
            worker.end(*task, &run, end);
        }
    }
}
