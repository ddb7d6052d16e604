//! The task that keeps the idempotency entries of this process as a witness,
//! and records the attempts of this process at the witnesses of their keys.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::idempotency::Attempt;
use cowslipport_lib::idempotency::AttemptId;
use cowslipport_lib::idempotency::AttemptState;
use cowslipport_lib::idempotency::AttemptStep;
use cowslipport_lib::idempotency::KeyHash;
use cowslipport_lib::idempotency::Membership;
use cowslipport_lib::idempotency::RecordAnswer;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::refusal::FirstAttempt;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::witness::AttemptEntry;
use cowslipport_lib::witness::Witness;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clients::peer::Client;
use crate::clients::peer::PeerClients;
use crate::clients::witness;
use crate::clock::Clock;

const MAILBOX_CAPACITY: usize = 4096;
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Idempotency entries with their ages in milliseconds.
pub(crate) type AgedEntries = Vec<(KeyHash, AttemptEntry, u64)>;

/// Messages of the witness task.
pub(crate) enum WitnessMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// Another process asks to record an attempt.
    Record { epoch: Offset, key: KeyHash, attempt: AttemptId, reply: oneshot::Sender<RecordAnswer> },
    /// An attempt of another process ended.
    Finish { key: KeyHash, attempt: AttemptId, state: AttemptState },
    /// Another process pulls all entries.
    Pull { epoch: Offset, reply: oneshot::Sender<Option<AgedEntries>> },
    /// A pull by this process ended.
    Pulled { from: SessionId, epoch: Offset, entries: Option<AgedEntries> },
    /// This process begins an attempt.
    Begin { key: KeyHash, reply: oneshot::Sender<BeginReply> },
    /// A witness answered the call that records an attempt of this process, or
    /// the call failed.
    Answered { number: u64, witness: SessionId, answer: Option<RecordAnswer> },
    /// An attempt of this process ended.
    End { key: KeyHash, attempt: AttemptId, state: AttemptState },
}

/// Whether an attempt may proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BeginReply {
    /// The attempt is recorded; the request may be dispatched until
    /// `dispatch_before`.
    Proceed { attempt: AttemptId, dispatch_before: TimeMs },
    /// An earlier attempt is known.
    Conflict(FirstAttempt),
    /// Too few witnesses answered.
    Unavailable,
}

struct PendingAttempt {
    key: KeyHash,
    attempt: Attempt,
    began_at: TimeMs,
    reply: Option<oneshot::Sender<BeginReply>>,
    unanswered: usize,
}

/// What the task needs to start.
pub(crate) struct WitnessConfig {
    pub(crate) session: SessionId,
    pub(crate) clock: Clock,
    pub(crate) clients: PeerClients,
}

/// The task that owns the idempotency entries.
pub(crate) struct WitnessTask {
    config: WitnessConfig,
    sender: mpsc::WeakSender<WitnessMessage>,
    state: ControlState,
    witness: Witness,
    pending: BTreeMap<u64, PendingAttempt>,
    next_number: u64,
    pulling: BTreeSet<SessionId>,
}

impl WitnessTask {
    /// Starts the task and returns its mailbox. It ends when that is closed.
    pub(crate) fn spawn(config: WitnessConfig) -> mpsc::Sender<WitnessMessage> {
        let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
        let state = ControlState::default();
        let witness = Witness::new(config.session, state.policy.idempotency_window_ms);
        let task = Self {
            config,
            sender: sender.downgrade(),
            state,
            witness,
            pending: BTreeMap::new(),
            next_number: 0,
            pulling: BTreeSet::new(),
        };
        actix_rt::spawn(task.run(receiver));
        sender
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<WitnessMessage>) {
        let mut pulls = tokio::time::interval(PULL_INTERVAL);
        pulls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = pulls.tick() => {
                    self.witness.expire(self.config.clock.now());
                    self.pull();
                }
            }
        }
    }

    fn handle(&mut self, message: WitnessMessage) {
        let now = self.config.clock.now();
        // The receiver of a reply may have stopped waiting.
        match message {
            WitnessMessage::Control(feed) => {
                self.apply_feed(now, &feed);
                self.pull();
            }
            WitnessMessage::Record { epoch, key, attempt, reply } => {
                let _ = reply.send(self.witness.record(now, epoch, key, attempt));
            }
            WitnessMessage::Finish { key, attempt, state } => {
                self.witness.finish(now, key, attempt, state);
            }
            WitnessMessage::Pull { epoch, reply } => {
                let _ = reply.send(self.witness.answer_pull(now, epoch));
            }
            WitnessMessage::Pulled { from, epoch, entries } => {
                self.pulling.remove(&from);
                if let Some(entries) = entries {
                    self.witness.pulled(now, from, epoch, &entries);
                }
            }
            WitnessMessage::Begin { key, reply } => self.begin(now, key, reply),
            WitnessMessage::Answered { number, witness, answer } => {
                self.handle_answer(number, witness, answer);
            }
            WitnessMessage::End { key, attempt, state } => self.end(now, key, attempt, state),
        }
    }

    /// Applies one record at a time, since the witness must handle every change
    /// of the members.
    fn apply_feed(&mut self, now: TimeMs, feed: &ControlFeed) {
        match feed {
            ControlFeed::Reset(_) => {
                self.state.apply_feed(feed);
                self.update_members(now, false);
            }
            ControlFeed::Records(records) => {
                for record in records.iter() {
                    let epoch = self.state.membership_epoch;
                    self.state.apply_feed(&ControlFeed::Records(Arc::new(vec![record.clone()])));
                    if self.state.membership_epoch != epoch {
                        self.update_members(now, true);
                    }
                }
            }
        }
        self.witness.set_window(self.state.policy.idempotency_window_ms);
    }

    fn update_members(&mut self, now: TimeMs, is_contiguous: bool) {
        let members = self.state.sessions.keys().copied().collect();
        self.witness.members_changed(now, self.state.membership_epoch, members, is_contiguous);
    }

    fn client(&mut self, session: SessionId) -> Option<Client> {
        let address = self.state.sessions.get(&session)?.open.peer_address.parse().ok()?;
        Some(self.config.clients.get(address))
    }

    fn pull(&mut self) {
        let Some(pull) = self.witness.next_pull(self.config.clock.now()) else { return };
        for from in pull.members {
            let Some(client) = self.client(from) else { continue };
            let Some(sender) = self.sender.upgrade() else { return };
            if !self.pulling.insert(from) {
                continue;
            }
            let epoch = pull.epoch;
            actix_rt::spawn(async move {
                let entries = witness::pull(client, epoch).await;
                let _ = sender.send(WitnessMessage::Pulled { from, epoch, entries }).await;
            });
        }
    }

    fn begin(&mut self, now: TimeMs, key: KeyHash, reply: oneshot::Sender<BeginReply>) {
        self.next_number += 1;
        let number = self.next_number;
        let membership = Membership::of(&self.state);
        let witnesses = membership.witnesses(&key);
        let pending = PendingAttempt {
            key,
            attempt: Attempt::new(witnesses.clone()),
            began_at: now,
            reply: Some(reply),
            unanswered: witnesses.len(),
        };
        self.pending.insert(number, pending);
        if witnesses.is_empty() {
            self.step(number);
        }
        let attempt = AttemptId { session: self.config.session, number };
        for witness in witnesses {
            if witness == self.config.session {
                let answer = self.witness.record(now, membership.epoch, key, attempt);
                self.handle_answer(number, witness, Some(answer));
                continue;
            }
            let client = self.client(witness);
            let Some(sender) = self.sender.upgrade() else { return };
            actix_rt::spawn(async move {
                let answer = match client {
                    Some(client) => witness::record(client, membership.epoch, key, attempt).await,
                    None => None,
                };
                let _ = sender.send(WitnessMessage::Answered { number, witness, answer }).await;
            });
        }
    }

    fn handle_answer(&mut self, number: u64, witness: SessionId, answer: Option<RecordAnswer>) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        pending.attempt.answered(witness, answer);
        pending.unanswered = pending.unanswered.saturating_sub(1);
        self.step(number);
    }

    fn step(&mut self, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else { return };
        let attempt = AttemptId { session: self.config.session, number };
        // The other half of the window is left for a second attempt to reach
        // the witnesses.
        let half_ms = self.state.policy.idempotency_window_ms / 2;
        let dispatch_before = pending.began_at.plus(half_ms);
        let answer = match pending.attempt.step() {
            AttemptStep::Wait => return,
            AttemptStep::Proceed => BeginReply::Proceed { attempt, dispatch_before },
            AttemptStep::Conflict(first) => BeginReply::Conflict(first),
            AttemptStep::Unavailable => BeginReply::Unavailable,
        };
        let key = pending.key;
        let reply = pending.reply.take();
        if pending.unanswered == 0 {
            self.pending.remove(&number);
        }
        let Some(reply) = reply else { return };
        let proceeds = matches!(answer, BeginReply::Proceed { .. });
        let is_received = reply.send(answer).is_ok();
        if !proceeds || !is_received {
            self.end(self.config.clock.now(), key, attempt, AttemptState::NotRun);
        }
    }

    fn end(&mut self, now: TimeMs, key: KeyHash, attempt: AttemptId, state: AttemptState) {
        for witness in Membership::of(&self.state).witnesses(&key) {
            if witness == self.config.session {
                self.witness.finish(now, key, attempt, state);
            } else if let Some(client) = self.client(witness) {
                actix_rt::spawn(witness::finish(client, key, attempt, state));
            }
        }
    }
}
