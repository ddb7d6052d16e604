//! Placement policies: the scheduler, with simulated messages between the
//! owner, its workers and its records, and first fit as the baseline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::AttemptId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::job::TaskAction;
use cowslipport_lib::job::TaskId;
use cowslipport_lib::placement::Scheduler;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_decision::SchedulerDecision;
use cowslipport_lib::scheduler_event::JobOrigin;
use cowslipport_lib::scheduler_event::OrganisationView;
use cowslipport_lib::scheduler_event::SchedulerEvent;
use cowslipport_lib::scheduler_event::StartAnswer;
use cowslipport_lib::time::TimeMs;

use crate::placement::trace::SHARES_MILLI;
use crate::placement::trace::TraceJob;
use crate::placement::workers::STEP_MS;
use crate::placement::workers::Workers;

/// Intervals between polls of a worker, and of a worker that the scheduler
/// wants polled often.
const POLL_INTERVAL_MS: u64 = 2_000;
const URGENT_POLL_INTERVAL_MS: u64 = 500;

/// Delays until the record of a returned grant, and of the end of a job, is
/// applied.
const GRANT_RETURN_DELAY_MS: u64 = 400;
const JOB_END_DELAY_MS: u64 = 2_000;

const KEY: &str = "key";

/// A message or record that has yet to arrive.
enum Message {
    Start { vm: VmId, task: TaskId },
    Control { vm: VmId, task: TaskId, action: TaskAction },
    Acknowledge { vm: VmId, task: TaskId },
    Event(SchedulerEvent),
    Grant { organisation: OrganisationId, amount: Resources, direction: GrantDirection },
    End(JobRef),
}

/// The owner of the one partition, which runs the scheduler.
pub(crate) struct Owner {
    scheduler: Scheduler,
    messages: BTreeMap<(TimeMs, u64), Message>,
    sequence: u64,
    jobs: BTreeMap<JobRef, usize>,
    grants: Vec<Resources>,
    next_poll: BTreeMap<VmId, TimeMs>,
}

/// First fit in order of arrival, by declared sizes. It keeps the limits of the
/// organisations, learns at once that a task ended, and never throttles,
/// checkpoints or stops a running task.
pub(crate) struct FirstFit {
    waiting: BTreeSet<usize>,
    limits: Vec<Resources>,
    attempts: u64,
}

/// A placement policy.
pub(crate) enum Policy {
    Scheduler(Box<Owner>),
    FirstFit(FirstFit),
}

impl Policy {
    pub(crate) fn scheduler(workers: &Workers) -> Self {
        let now = TimeMs(0);
        let mut scheduler = Scheduler::new();
        for (vm, worker) in &workers.workers {
            scheduler.handle(now, SchedulerEvent::WorkerUpdated { vm: *vm, spec: worker.spec });
        }
        let epoch = Epoch(1);
        let mut owner = Owner {
            scheduler,
            messages: BTreeMap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            grants: vec![Resources::ZERO; SHARES_MILLI.len()],
            next_poll: BTreeMap::new(),
        };
        for (organisation, limit) in workers.trace.limits.iter().enumerate() {
            owner.set_limit(now, organisation, *limit);
        }
        let gained = SchedulerEvent::OwnershipGained { epoch, since_former_owner_ms: 0 };
        owner.scheduler.handle(now, gained);
        owner.scheduler.handle(now, SchedulerEvent::StartsAllowed(true));
        Self::Scheduler(Box::new(owner))
    }

    pub(crate) fn first_fit(workers: &Workers) -> Self {
        let limits = workers.trace.limits.clone();
        Self::FirstFit(FirstFit { waiting: BTreeSet::new(), limits, attempts: 0 })
    }

    pub(crate) fn accept(&mut self, now: TimeMs, index: usize, job: &TraceJob) {
        match self {
            Self::Scheduler(owner) => owner.accept(now, index, job),
            Self::FirstFit(first_fit) => {
                first_fit.waiting.insert(index);
            }
        }
    }

    pub(crate) fn set_limit(&mut self, now: TimeMs, organisation: usize, limit: Resources) {
        match self {
            Self::Scheduler(owner) => owner.set_limit(now, organisation, limit),
            Self::FirstFit(first_fit) => first_fit.limits[organisation] = limit,
        }
    }

    /// Passes changed worker specifications to the policy.
    pub(crate) fn workers_changed(&mut self, now: TimeMs, workers: &Workers) {
        match self {
            Self::Scheduler(owner) => {
                for (vm, worker) in &workers.workers {
                    let event = SchedulerEvent::WorkerUpdated { vm: *vm, spec: worker.spec };
                    owner.scheduler.handle(now, event);
                }
            }
            Self::FirstFit(_) => {}
        }
    }

    pub(crate) fn advance(&mut self, now: TimeMs, workers: &mut Workers) {
        match self {
            Self::Scheduler(owner) => owner.advance(now, workers),
            Self::FirstFit(first_fit) => first_fit.advance(now, workers),
        }
    }
}

impl Owner {
    fn accept(&mut self, now: TimeMs, index: usize, job: &TraceJob) {
        let kind = ["batch", "report", "urgent"][job.kind];
        let name = JobRef {
            organisation: organisation_id(job.organisation),
            name: format!("{kind}-{index}"),
        };
        self.jobs.insert(name.clone(), index);
        let job = JobSpec {
            job: name,
            key: KEY.to_owned(),
            pool: PoolId(0),
            request: job.declared,
            urgent: job.urgent,
            declared_run_ms: None,
            payload: String::new(),
            repeatable: true,
        };
        self.scheduler.handle(now, SchedulerEvent::JobAccepted { job, origin: JobOrigin::New });
    }

    fn set_limit(&mut self, now: TimeMs, organisation: usize, limit: Resources) {
        let keys = BTreeSet::from([KEY.to_owned()]);
        let view = OrganisationView { share_milli: SHARES_MILLI[organisation], limit, keys };
        self.scheduler.handle(
            now,
            SchedulerEvent::OrganisationChanged {
                organisation: organisation_id(organisation),
                view,
            },
        );
    }

    fn send(&mut self, at: TimeMs, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }

    fn advance(&mut self, now: TimeMs, workers: &mut Workers) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let message = entry.remove();
            self.deliver(now, message, workers);
        }
        self.poll(now, workers);
        for decision in self.scheduler.decide(now) {
            self.execute(now, decision);
        }
    }

    fn poll(&mut self, now: TimeMs, workers: &mut Workers) {
        let urgent = self.scheduler.workers_to_poll_often();
        let vms: Vec<VmId> = workers.workers.keys().copied().collect();
        for vm in vms {
            let interval =
                if urgent.contains(&vm) { URGENT_POLL_INTERVAL_MS } else { POLL_INTERVAL_MS };
            // First polls are staggered over 20 steps, as the owner opens its
            // worker connections one after another.
            let first_poll = TimeMs(u64::from(vm.0) % 20 * STEP_MS);
            let next = self.next_poll.entry(vm).or_insert(first_poll);
            if now >= *next || next.since(now) > interval {
                *next = now.plus(interval);
                let report = workers.report(now, vm);
                let event = SchedulerEvent::WorkerReport { vm, report };
                self.send(now.plus(STEP_MS), Message::Event(event));
            }
        }
    }

    fn deliver(&mut self, now: TimeMs, message: Message, workers: &mut Workers) {
        match message {
            Message::Start { vm, task } => {
                let (answer, ticket) = workers.start(now, vm, task.clone(), self.jobs[&task.job]);
                let ticket = Some(ticket);
                let event = SchedulerEvent::StartAnswered { vm, task, answer, ticket };
                self.send(now.plus(STEP_MS), Message::Event(event));
            }
            Message::Control { vm, task, action } => workers.control(now, vm, &task, action),
            Message::Acknowledge { vm, task } => workers.acknowledge(vm, &task),
            Message::Event(event) => self.scheduler.handle(now, event),
            Message::Grant { organisation, amount, direction } => {
                let grant = &mut self.grants[organisation.0 as usize];
                *grant = match direction {
                    GrantDirection::Take => grant.saturating_add(amount),
                    GrantDirection::Return => grant.saturating_sub(amount),
                };
                let (amount, total) = (*grant, *grant);
                let changed = SchedulerEvent::GrantChanged { organisation, amount, total };
                self.scheduler.handle(now, changed);
                self.scheduler
                    .handle(now, SchedulerEvent::GrantChangeResolved { organisation, direction });
            }
            Message::End(job) => self.scheduler.handle(now, SchedulerEvent::JobEnded(job)),
        }
    }

    fn execute(&mut self, now: TimeMs, decision: SchedulerDecision) {
        let arrival = now.plus(STEP_MS);
        match decision {
            SchedulerDecision::Start { task, vm, .. } => {
                self.send(arrival, Message::Start { vm, task });
            }
            SchedulerDecision::Control { task, vm, action, .. } => {
                self.send(arrival, Message::Control { vm, task, action });
            }
            SchedulerDecision::Acknowledge { task, vm } => {
                self.send(arrival, Message::Acknowledge { vm, task });
            }
            SchedulerDecision::TakeGrant { organisation, amount, .. } => {
                let direction = GrantDirection::Take;
                self.send(arrival, Message::Grant { organisation, amount, direction });
            }
            SchedulerDecision::ReturnGrant { organisation, amount, .. } => {
                let direction = GrantDirection::Return;
                self.send(
                    now.plus(GRANT_RETURN_DELAY_MS),
                    Message::Grant { organisation, amount, direction },
                );
            }
            SchedulerDecision::EndJob { job, .. } => {
                self.send(now.plus(JOB_END_DELAY_MS), Message::End(job));
            }
            SchedulerDecision::Quarantine { .. } | SchedulerDecision::Release { .. } => {}
            SchedulerDecision::Refused(violation) => panic!("{violation}"),
        }
    }
}

impl FirstFit {
    fn advance(&mut self, now: TimeMs, workers: &mut Workers) {
        let trace = workers.trace;
        let mut free = BTreeMap::new();
        let mut used = vec![Resources::ZERO; SHARES_MILLI.len()];
        for (vm, worker) in &workers.workers {
            let mut capacity = worker.spec.capacity;
            for (_, task) in worker.live_tasks() {
                let job = &trace.jobs[task.job];
                capacity = capacity.saturating_sub(job.declared);
                used[job.organisation] = used[job.organisation].saturating_add(job.declared);
            }
            if worker.spec.data_centre_in_service {
                free.insert(*vm, capacity);
            }
        }
        let mut unplaceable: Vec<Resources> = Vec::new();
        let mut started = Vec::new();
        for index in &self.waiting {
            let TraceJob { organisation, declared, .. } = trace.jobs[*index];
            let sum = used[organisation].saturating_add(declared);
            if !sum.fits_in(self.limits[organisation])
                || unplaceable.iter().any(|size| size.fits_in(declared))
            {
                continue;
            }
            let worker = free.iter_mut().find(|(_, capacity)| declared.fits_in(**capacity));
            let Some((vm, capacity)) = worker else {
                unplaceable.push(declared);
                continue;
            };
            *capacity = capacity.saturating_sub(declared);
            used[organisation] = sum;
            started.push((*index, *vm));
        }
        for (index, vm) in started {
            self.attempts += 1;
            let attempt = AttemptId { epoch: Epoch(1), sequence: self.attempts };
            let job = JobRef {
                organisation: organisation_id(trace.jobs[index].organisation),
                name: index.to_string(),
            };
            if workers.start(now, vm, TaskId { job, attempt }, index).0 == StartAnswer::Started {
                self.waiting.remove(&index);
            }
        }
    }
}

fn organisation_id(organisation: usize) -> OrganisationId {
    OrganisationId(u32::try_from(organisation).expect("the number of organisations fits u32"))
}
