//! The processes that own or owned the partition, and their messages.

use super::*;

/// A process that owns or owned the partition.
pub(super) struct Owner {
    pub(super) scheduler: Scheduler,
    pub(super) epoch: Epoch,
    pub(super) paused: bool,
    pub(super) ownership_lost: bool,
    pub(super) gained_at: TimeMs,
    pub(super) active_at: TimeMs,
    /// Messages that the owner was about to send when it was paused.
    pub(super) unsent: Vec<(TimeMs, Message)>,
    pub(super) last_answer: BTreeMap<VmId, TimeMs>,
    pub(super) next_poll: BTreeMap<VmId, TimeMs>,
}

impl Fleet {
    /// Adds a process that owns the partition from now on. The former owner is
    /// not notified.
    pub(crate) fn add_owner(&mut self, epoch: Epoch) {
        let mut scheduler = Scheduler::new();
        let now = self.now;
        for (organisation, (state, view)) in &self.organisations {
            let organisation = *organisation;
            scheduler.handle(
                now,
                SchedulerEvent::OrganisationChanged { organisation, view: view.clone() },
            );
            let (amount, total) = (state.grant, state.grant);
            scheduler.handle(now, SchedulerEvent::GrantChanged { organisation, amount, total });
        }
        for (vm, worker) in &self.workers {
            scheduler.handle(now, SchedulerEvent::WorkerUpdated { vm: *vm, spec: worker.spec });
        }
        for spec in self.open.values() {
            let (job, origin) = (spec.clone(), JobOrigin::Inherited);
            scheduler.handle(now, SchedulerEvent::JobAccepted { job, origin });
        }
        let is_established =
            |owner: &&Owner| owner.active_at.since(owner.gained_at) > TASK_LEASE_MS;
        let former = self.owners.iter().rev().find(is_established).or(self.owners.first());
        let since_former_owner_ms = former.map_or(0, |owner| now.since(owner.active_at));
        scheduler.handle(now, SchedulerEvent::OwnershipGained { epoch, since_former_owner_ms });
        scheduler.handle(now, SchedulerEvent::StartsAllowed(true));
        self.owners.push(Owner {
            scheduler,
            epoch,
            paused: false,
            ownership_lost: false,
            gained_at: now,
            active_at: now,
            unsent: Vec::new(),
            last_answer: BTreeMap::new(),
            next_poll: BTreeMap::new(),
        });
        self.current = self.owners.len() - 1;
        self.last_fault_at = now;
    }

    /// Pauses the current owner after it has decided and before it sends.
    pub(crate) fn pause_owner(&mut self) {
        self.owners[self.current].paused = true;
        self.last_fault_at = self.now;
        self.step_owner(self.current);
    }

    /// Resumes a paused owner, which sends its unsent messages and learns that
    /// its session has expired.
    pub(crate) fn resume_owner(&mut self, index: usize) {
        self.owners[index].paused = false;
        self.owners[index].scheduler.handle(self.now, SchedulerEvent::OwnershipLost);
        self.owners[index].ownership_lost = true;
        for (at, message) in std::mem::take(&mut self.owners[index].unsent) {
            self.post(index, at.max(self.now), message);
        }
    }

    /// Resumes all paused owners except the current one.
    pub(crate) fn resume_former_owners(&mut self) {
        for index in 0..self.current {
            if self.owners[index].paused {
                self.resume_owner(index);
            }
        }
    }

    pub(super) fn run_owner(&mut self, index: usize) {
        let owner = &self.owners[index];
        if !owner.paused && !owner.ownership_lost {
            self.step_owner(index);
        }
    }

    pub(crate) fn step_owner(&mut self, index: usize) {
        let owner = &mut self.owners[index];
        let (now, epoch) = (self.now, owner.epoch);
        owner.active_at = now;
        let urgent = owner.scheduler.workers_to_poll_often();
        let mut polls = Vec::new();
        for vm in self.workers.keys() {
            let last = *owner.last_answer.entry(*vm).or_insert(now);
            let is_unreachable = now.since(last) > 6_000;
            if is_unreachable {
                owner.scheduler.handle(now, SchedulerEvent::WorkerUnreachable { vm: *vm });
            }
            let next = owner.next_poll.entry(*vm).or_insert(now);
            let interval = if urgent.contains(vm) { 500 } else { 2_000 };
            if now >= *next || next.since(now) > interval {
                *next = now.plus(interval);
                polls.push(Message::Poll { vm: *vm, sent: now, epoch, renew: !is_unreachable });
            }
        }
        let decisions = owner.scheduler.decide(now);
        for poll in polls {
            self.send(index, poll);
        }
        for decision in decisions {
            self.execute(index, decision);
        }
    }

    pub(crate) fn execute(&mut self, index: usize, decision: SchedulerDecision) {
        if std::env::var("TRACE").is_ok() {
            eprintln!("{} owner {index} {decision:?}", self.now);
        }
        self.decisions.push((self.now, decision.clone()));
        let epoch = self.owners[index].epoch;
        match decision {
            SchedulerDecision::Start { task, vm, epoch, ticket, request, .. } => {
                let answer = StartAnswer::Unknown;
                let event =
                    SchedulerEvent::StartAnswered { vm, task: task.clone(), answer, ticket: None };
                self.post(index, self.now.plus(1_000), Message::Event(event));
                self.send(index, Message::Start { vm, task, epoch, ticket, request });
            }
            SchedulerDecision::Control { task, vm, action, .. } => {
                self.send(index, Message::Control { vm, task, epoch, action });
            }
            SchedulerDecision::Acknowledge { task, vm } => {
                self.send(index, Message::Acknowledge { vm, task });
            }
            SchedulerDecision::TakeGrant { organisation, amount, .. } => {
                let message =
                    Message::Grant { organisation, amount, direction: GrantDirection::Take };
                self.post(index, self.now.plus(40), message);
            }
            SchedulerDecision::ReturnGrant { organisation, amount, .. } => {
                let message =
                    Message::Grant { organisation, amount, direction: GrantDirection::Return };
                self.post(index, self.now.plus(400), message);
            }
            SchedulerDecision::Quarantine { vm, .. } => {
                self.quarantined.insert(vm);
            }
            SchedulerDecision::Release { vm, .. } => {
                self.quarantined.remove(&vm);
            }
            SchedulerDecision::EndJob { job, outcome, reason, .. } => {
                if index == self.current && self.open.contains_key(&job) {
                    self.outcomes.insert(job.clone(), (outcome, reason));
                }
                self.post(index, self.now.plus(500), Message::End { job, outcome });
            }
            SchedulerDecision::Refused(violation) => panic!("{violation}"),
        }
    }

    /// Sends a message over the lossy network.
    pub(super) fn send(&mut self, owner: usize, message: Message) {
        if self.rng.random_range(0..1_000) < self.faults.lost_permille {
            return;
        }
        let lag = self.rng.random_range(0..=self.faults.lag_ms);
        self.post(owner, self.now.plus(2 + lag), message);
    }

    pub(super) fn reply(&mut self, owner: usize, event: SchedulerEvent) {
        if self.rng.random_range(0..1_000) < self.faults.duplicated_permille {
            self.send(owner, Message::Event(event.clone()));
        }
        self.send(owner, Message::Event(event));
    }

    pub(super) fn post(&mut self, owner: usize, at: TimeMs, message: Message) {
        if self.owners[owner].paused {
            self.owners[owner].unsent.push((at, message));
            return;
        }
        self.sequence += 1;
        self.messages.insert((at, self.sequence), (owner, message));
    }
}
