//! Behaviour of the workers and the records of the fleet, and the invariants.

use std::collections::BTreeMap;

use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::job::TaskState;

use super::*;

pub(super) fn fake_worker(vm: u32) -> FakeWorker {
    FakeWorker {
        spec: WorkerSpec {
            capacity: cores(32),
            data_centre: DataCentreId(vm / 4 % 3),
            rack: RackId(vm / 4),
            service: WorkerService::Open,
            data_centre_in_service: true,
            on_data_centre_out: DataCentreOutPolicy::Finish,
        },
        fails_everything: false,
        checkpoint_hangs: false,
        reachable: true,
        highest_epoch: Epoch(0),
        tickets: BTreeMap::new(),
        next_ticket: 1,
        tasks: BTreeMap::new(),
        lease_until: TimeMs(0),
        booted_at: None,
    }
}

impl FakeWorker {
    fn issue_ticket(&mut self, now: TimeMs) -> u64 {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, now);
        self.tickets.retain(|_, at| now.since(*at) <= TICKET_MS);
        self.next_ticket
    }

    fn live_tasks(&self) -> impl Iterator<Item = (&TaskId, &FakeTask)> {
        self.tasks.iter().filter(|(_, task)| task.state.is_live())
    }
}

impl Fleet {
    pub(super) fn deliver(&mut self, owner: usize, message: Message) {
        match message {
            Message::Poll { vm, sent, epoch, renew } => self.poll(owner, vm, sent, epoch, renew),
            Message::Start { vm, task, epoch, ticket, request } => {
                self.handle_start(owner, vm, task, epoch, ticket, request);
            }
            Message::Control { vm, task, epoch, action } => {
                let worker = self.workers.get_mut(&vm).expect("the worker exists");
                if worker.reachable && epoch >= worker.highest_epoch {
                    control(worker, &task, action, &mut self.progress);
                }
            }
            Message::Acknowledge { vm, task } => {
                let worker = self.workers.get_mut(&vm).expect("the worker exists");
                if worker.tasks.get(&task).is_some_and(|task| !task.state.is_live()) {
                    worker.tasks.remove(&task);
                }
            }
            Message::Event(event) => {
                if self.owners[owner].paused {
                    return;
                }
                if let SchedulerEvent::WorkerReport { vm, .. } = &event {
                    self.owners[owner].last_answer.insert(*vm, self.now);
                }
                self.owners[owner].scheduler.handle(self.now, event);
            }
            Message::Grant { organisation, amount, direction } => {
                self.apply_grant(owner, organisation, amount, direction);
            }
            Message::End { job, outcome: _ } => {
                if owner == self.current && self.open.remove(&job).is_some() {
                    self.closed_at.insert(job.clone(), self.now);
                    self.broadcast(SchedulerEvent::JobEnded(job));
                }
            }
        }
    }

    fn handle_start(
        &mut self,
        owner: usize,
        vm: VmId,
        task: TaskId,
        epoch: Epoch,
        ticket: u64,
        request: Resources,
    ) {
        let worker = self.workers.get_mut(&vm).expect("the worker exists");
        if !worker.reachable {
            return;
        }
        let fresh = worker.tickets.get(&ticket);
        let fresh = fresh.is_some_and(|at| self.now.since(*at) <= TICKET_MS);
        let used = worker.live_tasks().fold(Resources::ZERO, |sum, (id, _)| {
            sum.saturating_add(self.behaviours[&id.job].used)
        });
        let room = used.saturating_add(self.behaviours[&task.job].used);
        let answer = if epoch < worker.highest_epoch {
            StartAnswer::OldEpoch
        } else if worker.tasks.contains_key(&task) {
            StartAnswer::Known
        } else if !fresh {
            StartAnswer::OldTicket
        } else if !room.fits_in(cores(64)) {
            StartAnswer::NoRoom
        } else {
            StartAnswer::Started
        };
        let ticket = Some(worker.issue_ticket(self.now));
        if answer == StartAnswer::Started {
            self.start_task(vm, &task, request);
        }
        self.reply(owner, SchedulerEvent::StartAnswered { vm, task, answer, ticket });
    }

    fn poll(&mut self, owner: usize, vm: VmId, sent: TimeMs, epoch: Epoch, renew: bool) {
        let now = self.now;
        let worker = self.workers.get_mut(&vm).expect("the worker exists");
        if !worker.reachable || epoch < worker.highest_epoch {
            return;
        }
        worker.highest_epoch = epoch;
        if renew {
            worker.lease_until = worker.lease_until.max(now.plus(TASK_LEASE_MS));
        }
        let ticket = worker.issue_ticket(now);
        let up_ms = worker.booted_at.map(|at| now.since(at));
        let tasks = worker
            .tasks
            .iter()
            .map(|(id, task)| TaskReport {
                task: id.clone(),
                state: task.state,
                request: task.request,
                used: self.behaviours[&id.job].used,
                age_ms: now.since(task.started_at),
            })
            .collect();
        let report = WorkerReport { polled_at: sent, ticket, up_ms, tasks };
        self.reply(owner, SchedulerEvent::WorkerReport { vm, report });
    }

    /// Starts a task on a worker and checks the invariants of a start.
    fn start_task(&mut self, vm: VmId, id: &TaskId, request: Resources) {
        let name = &id.job;
        let worker = self.workers.get_mut(&vm).expect("the worker exists");
        let out_since = self.out_since.get(&worker.spec.data_centre);
        let out = out_since.is_some_and(|since| self.now.since(*since) > GRACE_MS);
        assert!(!out, "{id} starts on VM {vm} in a data centre that is out");
        let spec_key = (name.organisation, "key".to_owned());
        let revoked = self.keys_revoked_at.get(&spec_key);
        let revoked = revoked.is_some_and(|since| self.now.since(*since) > GRACE_MS);
        assert!(!revoked, "{id} starts with a revoked key");
        let closed = self.closed_at.get(name);
        let closed = closed.is_some_and(|since| self.now.since(*since) > GRACE_MS);
        assert!(!closed, "{id} starts after its job was closed");
        let starts = self.starts.entry(name.clone()).or_default();
        *starts += 1;
        let once = !self.specs[name].repeatable && !self.progress.contains_key(name);
        assert!(!once || *starts == 1, "{id} is started again without a checkpoint");
        self.first_start.entry(name.clone()).or_insert(self.now);
        let state = TaskState::Running;
        let progress_ms = self.progress.get(name).copied().unwrap_or_default();
        let task = FakeTask { state, request, started_at: self.now, progress_ms };
        worker.tasks.insert(id.clone(), task);
        let (used, limit) = (self.used_by(name.organisation.0), self.limit_of(name.organisation));
        assert!(
            used.fits_in(limit),
            "{id} starts at {} and its organisation runs {used}",
            self.now
        );
    }

    /// Limit of an organisation. For [`GRACE_MS`] after it was lowered, the
    /// previous limit applies.
    fn limit_of(&self, organisation: OrganisationId) -> Resources {
        let (state, _) = &self.organisations[&organisation];
        let recent = self.now.since(state.limit_since) <= GRACE_MS;
        if recent { state.limit.max(state.old_limit) } else { state.limit }
    }

    fn apply_grant(
        &mut self,
        owner: usize,
        organisation: OrganisationId,
        amount: Resources,
        direction: GrantDirection,
    ) {
        let (state, _) =
            self.organisations.get_mut(&organisation).expect("the organisation exists");
        let next = match direction {
            GrantDirection::Take => state.grant.saturating_add(amount),
            GrantDirection::Return => state.grant.saturating_sub(amount),
        };
        let valid = direction == GrantDirection::Return || next.fits_in(state.limit);
        if owner == self.current && valid {
            state.grant = next;
            let (amount, total) = (next, next);
            self.broadcast(SchedulerEvent::GrantChanged { organisation, amount, total });
        }
        let answer = SchedulerEvent::GrantChangeResolved { organisation, direction };
        self.owners[owner].scheduler.handle(self.now, answer);
    }

    pub(super) fn advance_tasks(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            for (id, task) in &mut worker.tasks {
                if !task.state.is_live() {
                    continue;
                }
                if now > worker.lease_until {
                    task.state = TaskState::Stopped;
                    continue;
                }
                let behaviour = self.behaviours[&id.job];
                let speed = if task.state == TaskState::Throttled { 4 } else { 1 };
                task.progress_ms += STEP_MS / speed;
                *self.work_done.entry(id.job.organisation).or_default() +=
                    task.request.cpu_milli * STEP_MS / speed;
                let fails = behaviour.fails || worker.fails_everything;
                let runs_ms = if fails { behaviour.run_ms.min(200) } else { behaviour.run_ms };
                if task.progress_ms >= runs_ms {
                    task.state = if fails { TaskState::Failed } else { TaskState::Succeeded };
                }
            }
        }
    }

    pub(super) fn check_invariants(&self) {
        let mut used: BTreeMap<OrganisationId, Resources> = BTreeMap::new();
        let mut live: BTreeMap<&JobRef, &TaskId> = BTreeMap::new();
        for worker in self.workers.values() {
            for (id, task) in worker.live_tasks() {
                let sum = used.entry(id.job.organisation).or_default();
                *sum = sum.saturating_add(task.request);
                let other = live.insert(&id.job, id);
                assert!(other.is_none(), "{id} and {other:?} run at {}", self.now);
            }
        }
        // While faults keep actions from reaching tasks, use above a lowered
        // limit is allowed.
        if self.now.since(self.last_fault_at) <= GRACE_MS {
            return;
        }
        for (organisation, used) in used {
            let within = used.fits_in(self.limit_of(organisation));
            assert!(within, "organisation {organisation} runs {used} at {}", self.now);
        }
    }

    /// Number of live tasks on a worker.
    pub(crate) fn live_on(&self, vm: u32) -> usize {
        self.workers[&VmId(vm)].live_tasks().count()
    }

    /// Declared sizes of the live tasks of an organisation.
    pub(crate) fn used_by(&self, organisation: u32) -> Resources {
        let tasks = self.workers.values().flat_map(FakeWorker::live_tasks);
        tasks
            .filter(|(id, _)| id.job.organisation == OrganisationId(organisation))
            .fold(Resources::ZERO, |sum, (_, task)| sum.saturating_add(task.request))
    }
}

fn control(
    worker: &mut FakeWorker,
    id: &TaskId,
    action: TaskAction,
    progress: &mut BTreeMap<JobRef, u64>,
) {
    if action == TaskAction::Checkpoint && worker.checkpoint_hangs {
        return;
    }
    let Some(task) = worker.tasks.get_mut(id).filter(|task| task.state.is_live()) else { return };
    task.state = match action {
        TaskAction::Throttle => TaskState::Throttled,
        TaskAction::Unthrottle => TaskState::Running,
        TaskAction::Checkpoint => {
            progress.insert(id.job.clone(), task.progress_ms);
            TaskState::Checkpointed
        }
        TaskAction::Stop => TaskState::Stopped,
    };
}
