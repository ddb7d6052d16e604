//! A request with an idempotency key is dispatched at most once, although
//! processes are lost, and messages are lost, delayed or repeated, while the
//! members change.

use std::collections::BTreeMap;

use cowslipport_lib::idempotency::Attempt;
use cowslipport_lib::idempotency::AttemptId;
use cowslipport_lib::idempotency::AttemptState;
use cowslipport_lib::idempotency::AttemptStep;
use cowslipport_lib::idempotency::KeyHash;
use cowslipport_lib::idempotency::Membership;
use cowslipport_lib::idempotency::RecordAnswer;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::refusal::FirstAttempt;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::witness::AttemptEntry;
use cowslipport_lib::witness::Witness;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW_MS: u64 = 20_000;
const KEYS: u32 = 4;

#[derive(Clone)]
enum Message {
    Record {
        to: SessionId,
        from: AttemptId,
        epoch: Offset,
    },
    Answer {
        to: AttemptId,
        witness: SessionId,
        answer: Option<RecordAnswer>,
    },
    Dispatch(AttemptId),
    Finish {
        to: SessionId,
        attempt: AttemptId,
        state: AttemptState,
    },
    Pull {
        to: SessionId,
        from: SessionId,
        epoch: Offset,
    },
    Pulled {
        to: SessionId,
        from: SessionId,
        epoch: Offset,
        entries: Vec<(KeyHash, AttemptEntry, u64)>,
    },
    Apply {
        to: SessionId,
        epoch: usize,
    },
}

struct Node {
    witness: Witness,
    applied: usize,
}

struct Sim {
    now: TimeMs,
    rng: ChaCha8Rng,
    /// Sets of members; the epoch of each is its index.
    log: Vec<Membership>,
    nodes: BTreeMap<SessionId, Node>,
    net: BTreeMap<(TimeMs, u64), Message>,
    attempts: BTreeMap<AttemptId, (KeyHash, Attempt, bool)>,
    dispatched: BTreeMap<KeyHash, u32>,
    last_number: u64,
    loss: f64,
}

fn key(number: u32) -> KeyHash {
    KeyHash::of(OrganisationId(1), &number.to_be_bytes())
}

impl Sim {
    fn new(seed: u64, loss: f64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let log = vec![Membership::default()];
        let (nodes, net, attempts, dispatched) = Default::default();
        let now = TimeMs(0);
        let mut sim =
            Self { now, rng, log, nodes, net, attempts, dispatched, last_number: 100, loss };
        for _ in 0..5 {
            sim.join();
            sim.run(50);
        }
        sim.run(500);
        sim
    }

    fn send(&mut self, message: Message) {
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let max = if self.loss > 0.0 { 400 } else { 3 };
        let copies = if self.loss > 0.0 && self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..=max);
            self.send_after(delay_ms, message.clone());
        }
    }

    fn send_after(&mut self, delay_ms: u64, message: Message) {
        self.last_number += 1;
        self.net.insert((self.now.plus(delay_ms), self.last_number), message);
    }

    fn change_members(&mut self, members: BTreeMap<SessionId, String>) {
        let epoch = self.log.len();
        self.log.push(Membership { epoch: Offset(epoch as u64), members });
        for to in self.nodes.keys().copied().collect::<Vec<_>>() {
            let max = if self.loss > 0.0 { 1500 } else { 3 };
            let delay_ms = self.rng.random_range(0..max);
            self.send_after(delay_ms, Message::Apply { to, epoch });
        }
    }

    fn join(&mut self) -> SessionId {
        self.last_number += 1;
        let session = SessionId(self.last_number);
        let applied = self.log.len() - 1;
        let mut members = self.log[applied].members.clone();
        members.insert(session, format!("dc{}", self.last_number % 3));
        let mut witness = Witness::new(session, WINDOW_MS);
        let before = &self.log[applied];
        let known = before.members.keys().copied().collect();
        witness.members_changed(self.now, before.epoch, known, false);
        self.nodes.insert(session, Node { witness, applied });
        self.change_members(members);
        session
    }

    /// Stops a process at once; the others apply the change later.
    fn crash(&mut self, session: SessionId) {
        self.nodes.remove(&session);
        let mut members = self.log[self.log.len() - 1].members.clone();
        members.remove(&session);
        self.change_members(members);
    }

    fn attempt(&mut self, entry: SessionId, key: KeyHash) -> AttemptId {
        self.last_number += 1;
        let id = AttemptId { session: entry, number: self.last_number };
        let view = self.log[self.nodes[&entry].applied].clone();
        let witnesses = view.witnesses(&key);
        self.attempts.insert(id, (key, Attempt::new(witnesses.clone()), false));
        for to in witnesses {
            self.send(Message::Record { to, from: id, epoch: view.epoch });
            self.send_after(450, Message::Answer { to: id, witness: to, answer: None });
        }
        id
    }

    fn finish(&mut self, attempt: AttemptId, state: AttemptState) {
        let view = &self.log[self.nodes[&attempt.session].applied];
        for to in view.witnesses(&self.attempts[&attempt].0) {
            self.send(Message::Finish { to, attempt, state });
        }
    }

    fn answered(&mut self, id: AttemptId, witness: SessionId, answer: Option<RecordAnswer>) {
        if !self.nodes.contains_key(&id.session) {
            return;
        }
        let (_, attempt, ended) = self.attempts.get_mut(&id).expect("the attempt exists");
        let step = attempt.answered(witness, answer);
        if *ended || step == AttemptStep::Wait {
            return;
        }
        *ended = true;
        match step {
            AttemptStep::Proceed => self.send_after(5, Message::Dispatch(id)),
            AttemptStep::Conflict(_) | AttemptStep::Unavailable => {
                self.finish(id, AttemptState::NotRun);
            }
            AttemptStep::Wait => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Record { to, from, epoch } => {
                let key = self.attempts[&from].0;
                let Some(node) = self.nodes.get_mut(&to) else { return };
                let answer = Some(node.witness.record(now, epoch, key, from));
                self.send(Message::Answer { to: from, witness: to, answer });
            }
            Message::Answer { to, witness, answer } => self.answered(to, witness, answer),
            Message::Dispatch(id) if self.nodes.contains_key(&id.session) => {
                *self.dispatched.entry(self.attempts[&id].0).or_default() += 1;
                self.finish(id, AttemptState::Completed { status: 201 });
            }
            Message::Dispatch(_) => {}
            Message::Finish { to, attempt, state } => {
                let key = self.attempts[&attempt].0;
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.witness.finish(now, key, attempt, state);
                }
            }
            Message::Pull { to, from, epoch } => {
                let node = self.nodes.get_mut(&to);
                if let Some(entries) = node.and_then(|node| node.witness.answer_pull(now, epoch)) {
                    self.send(Message::Pulled { to: from, from: to, epoch, entries });
                }
            }
            Message::Pulled { to, from, epoch, entries } => {
                if let Some(node) = self.nodes.get_mut(&to) {
                    node.witness.pulled(now, from, epoch, &entries);
                }
            }
            Message::Apply { to, epoch } => {
                let Some(node) = self.nodes.get_mut(&to) else { return };
                // Records are applied in order, whatever arrives first.
                for view in &self.log[(node.applied + 1).min(epoch + 1)..=epoch] {
                    let members = view.members.keys().copied().collect();
                    node.witness.members_changed(now, view.epoch, members, true);
                    node.applied = view.epoch.0 as usize;
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now.plus(ms);
        while self.now < end {
            while let Some(entry) = self.net.first_entry()
                && entry.key().0 <= self.now
            {
                let message = entry.remove();
                self.deliver(message);
            }
            if self.now.0.is_multiple_of(20) {
                let now = self.now;
                let due: Vec<_> = self
                    .nodes
                    .iter_mut()
                    .filter_map(|(from, node)| Some((*from, node.witness.next_pull(now)?)))
                    .collect();
                for (from, order) in due {
                    for to in order.members {
                        self.send(Message::Pull { to, from, epoch: order.epoch });
                    }
                }
            }
            self.now = self.now.plus(1);
        }
    }

    fn step_of(&self, id: AttemptId) -> AttemptStep {
        self.attempts[&id].1.step()
    }

    fn witnesses(&self, key: &KeyHash) -> Vec<SessionId> {
        self.log[self.log.len() - 1].witnesses(key)
    }

    fn other_than(&self, not: &[SessionId]) -> SessionId {
        *self.nodes.keys().find(|session| !not.contains(session)).expect("another process runs")
    }
}

/// Guards against a second run of a request whose entry process was lost before
/// or after the dispatch, when the caller retries through another process.
#[test]
fn retry_after_a_lost_entry_process_is_a_conflict() {
    for (wait_ms, first) in
        [(8, FirstAttempt::Unknown), (100, FirstAttempt::Completed { status: 201 })]
    {
        let mut sim = Sim::new(1, 0.0);
        let lost = sim.other_than(&sim.witnesses(&key(1)));
        let attempt = sim.attempt(lost, key(1));
        sim.run(wait_ms);
        assert_eq!(sim.step_of(attempt), AttemptStep::Proceed);
        sim.crash(lost);
        sim.run(100);
        let again = sim.attempt(sim.other_than(&[]), key(1));
        sim.run(100);
        assert_eq!(sim.step_of(again), AttemptStep::Conflict(first));
    }
}

/// Guards against a witness that replaces another and does not know the entries
/// of that one, and against a witness that answers for an old epoch.
#[test]
fn replaced_witness_knows_the_attempt() {
    let mut sim = Sim::new(2, 0.0);
    let witnesses = sim.witnesses(&key(1));
    let entry = sim.other_than(&witnesses);
    let old_epoch = sim.log[sim.log.len() - 1].epoch;
    sim.attempt(entry, key(1));
    sim.run(100);
    sim.crash(witnesses[0]);
    sim.run(100);
    sim.join();
    sim.run(100);
    let new = sim.witnesses(&key(1)).into_iter().find(|session| !witnesses.contains(session));
    let now = sim.now;
    let (epoch, new) = (sim.log[sim.log.len() - 1].epoch, new.expect("there is a new witness"));
    let witness = &mut sim.nodes.get_mut(&new).expect("the process runs").witness;
    let attempt = AttemptId { session: new, number: 1 };
    let known = RecordAnswer::Known(FirstAttempt::Completed { status: 201 });
    assert_eq!(witness.record(now, epoch, key(1), attempt), known);
    assert_eq!(witness.record(now, old_epoch, key(2), attempt), RecordAnswer::OldEpoch);
    assert_eq!(witness.record(now, epoch.next(), key(2), attempt), RecordAnswer::NotReady);
}

/// Guards against a request that arrives after the end of its attempt and
/// blocks the key, and against a repeated answer that counts twice.
#[test]
fn late_and_repeated_messages_have_no_effect() {
    let mut sim = Sim::new(3, 0.0);
    let witnesses = sim.witnesses(&key(1));
    let (now, epoch) = (sim.now, sim.log[sim.log.len() - 1].epoch);
    let late = AttemptId { session: witnesses[1], number: 1 };
    let witness = &mut sim.nodes.get_mut(&witnesses[0]).expect("the process runs").witness;
    witness.finish(now, key(1), late, AttemptState::NotRun);
    assert!(matches!(witness.record(now, epoch, key(1), late), RecordAnswer::Known(_)));
    let next = AttemptId { session: witnesses[1], number: 2 };
    assert_eq!(witness.record(now, epoch, key(1), next), RecordAnswer::Recorded);
    assert_eq!(witness.record(now, epoch, key(1), next), RecordAnswer::Recorded);
    let mut attempt = Attempt::new(witnesses.clone());
    let recorded = Some(RecordAnswer::Recorded);
    assert_eq!(attempt.answered(witnesses[0], recorded), AttemptStep::Wait);
    assert_eq!(attempt.answered(witnesses[0], recorded), AttemptStep::Wait);
    assert_eq!(attempt.answered(witnesses[1], None), AttemptStep::Wait);
    assert_eq!(attempt.answered(witnesses[2], None), AttemptStep::Unavailable);
}

/// Guards against a witness that answers requests or pulls although it has not
/// pulled from two former members, which may be all that know an attempt.
#[test]
fn witness_without_entries_of_two_members_is_not_ready() {
    let members = |ids: &[u64]| ids.iter().copied().map(SessionId).collect();
    let (start, window_over) = (TimeMs(0), TimeMs(2 * WINDOW_MS));
    let mut witness = Witness::new(SessionId(1), WINDOW_MS);
    witness.members_changed(start, Offset(1), members(&[1, 2, 3, 4]), true);
    assert!(witness.is_ready(start), "a witness without former members is ready");
    witness.members_changed(start, Offset(2), members(&[1, 3, 4]), true);
    witness.members_changed(start, Offset(3), members(&[1, 3, 4, 5]), true);
    witness.pulled(start, SessionId(3), Offset(3), &[]);
    witness.pulled(start, SessionId(4), Offset(1), &[]);
    assert!(!witness.is_ready(start));
    assert_eq!(witness.answer_pull(start, Offset(3)), None);
    assert!(witness.answer_pull(start, Offset(2)).is_some());
    assert!(witness.clone().is_ready(window_over));
    witness.pulled(start, SessionId(4), Offset(2), &[]);
    assert!(witness.is_ready(start));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second dispatch within the window (invariant 8) while
    /// messages are lost, delayed and repeated, one or more entry processes and
    /// witnesses crash, and members join.
    #[test]
    fn a_key_is_dispatched_once(seed in any::<u64>()) {
        let mut sim = Sim::new(seed, 0.0);
        sim.loss = 0.1;
        while sim.now.0 < WINDOW_MS {
            let nodes: Vec<_> = sim.nodes.keys().copied().collect();
            let node = nodes[sim.rng.random_range(0..nodes.len())];
            match sim.rng.random_range(0..10) {
                0 if nodes.len() > 3 => sim.crash(node),
                1 if nodes.len() < 7 => drop(sim.join()),
                _ => {
                    let number = sim.rng.random_range(0..KEYS);
                    sim.attempt(node, key(number));
                }
            }
            let pause = sim.rng.random_range(1..600);
            sim.run(pause);
        }
        sim.run(2000);
        for (key, count) in &sim.dispatched {
            prop_assert!(*count <= 1, "{key:?} is dispatched {count} times");
        }
    }
}
