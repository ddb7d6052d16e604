//! The task that holds the state of a node: the configuration, the registry of
//! jobs, the ownership, and, while the node is the owner, the dispatcher.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::admission::ConfirmedAt;
use cowslipport_lib::workload::admission::StartDelay;
use cowslipport_lib::workload::candidacy::Candidacy;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::job_registry::JobRegistry;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::ownership::Ownership;
use cowslipport_lib::workload::ownership::OwnershipChange;
use cowslipport_lib::workload::room_admission::RoomAdmission;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::node::messages::CoreMessage;
use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::ownership_check::OwnershipTimes;
use crate::node::platform::Platform;
use crate::node::settings::FOLLOWER_PAUSE;
use crate::node::settings::FOLLOWER_TICK;
use crate::node::settings::NodeSettings;
use crate::node::settings::OWNER_PAUSE;
use crate::node::settings::OWNER_TICK;
use crate::node::settings::ROUND_PAUSE_FACTOR;
use crate::node::settings::ROUND_PAUSE_MAX;
use crate::node::submissions::Submission;

/// Maximum number of messages that are handled before the next decisions. A
/// burst of messages then costs one round of decisions, not one per message.
const MAX_MESSAGES_PER_ROUND: usize = 256;

/// The core of a node: its state, and its channels to the other tasks.
pub(crate) struct Core<P>
where
    P: Platform,
{
    pub(crate) platform: P,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    pub(crate) mailbox: mpsc::Receiver<CoreMessage>,
    /// Sender for the tasks of the owner.
    pub(crate) sender: mpsc::Sender<CoreMessage>,
    pub(crate) submissions: mpsc::Sender<Submission>,
    pub(crate) job_pause: watch::Sender<std::time::Duration>,
    pub(crate) readiness: watch::Sender<bool>,
    /// Largest body of a call in the configuration.
    pub(crate) max_body_bytes: watch::Sender<u64>,
    /// Whether the node is a candidate for ownership.
    pub(crate) is_candidate: watch::Sender<bool>,
    pub(crate) state: CoreState<P>,
}

/// State of a node.
pub(crate) struct CoreState<P>
where
    P: Platform,
{
    pub(crate) catalog: Catalog,
    pub(crate) job_registry: JobRegistry,
    pub(crate) confirmed_at: ConfirmedAt,
    pub(crate) start_delay: StartDelay,
    pub(crate) room_admission: RoomAdmission,
    pub(crate) data_centres_out: BTreeSet<String>,
    /// Waves by number, each with an estimate of when it was requested.
    pub(crate) waves: BTreeMap<u64, (TimeMs, WaveSpec)>,
    pub(crate) ownership: Ownership,
    /// How long the ownership lasts, for the tasks of the owner.
    pub(crate) ownership_times: watch::Sender<OwnershipTimes>,
    pub(crate) candidacy: Candidacy,
    pub(crate) owner: Option<Owner<P>>,
    /// Whether the node leaves the group because the store confirms an ownership
    /// that the node does not have.
    pub(crate) must_leave_group: bool,
    /// When the last preview was answered.
    pub(crate) previewed_at: Option<TimeMs>,
    pub(crate) is_shutting_down: bool,
    pub(crate) release_done: Option<oneshot::Sender<()>>,
}

impl<P> CoreState<P>
where
    P: Platform,
{
    pub(crate) fn new(settings: &NodeSettings, now: TimeMs) -> Self {
        Self {
            catalog: Catalog::default(),
            job_registry: JobRegistry::default(),
            confirmed_at: ConfirmedAt::default(),
            start_delay: StartDelay::default(),
            room_admission: RoomAdmission::default(),
            data_centres_out: BTreeSet::new(),
            waves: BTreeMap::new(),
            ownership: Ownership::new(settings.membership_ttl_ms()),
            ownership_times: watch::channel(OwnershipTimes::default()).0,
            candidacy: Candidacy::new(&settings.name, settings.processor_milli, now),
            owner: None,
            must_leave_group: false,
            previewed_at: None,
            is_shutting_down: false,
            release_done: None,
        }
    }

    fn publish_ownership_times(&self) {
        let owner = self.owner.as_ref().zip(self.ownership.confirmed_at());
        let renewable_until = owner
            .map(|(owner, confirmed_at)| owner.dispatcher.renewable_until(confirmed_at))
            .unwrap_or_default();
        let confirmed_until = self.ownership.confirmed_until();
        self.ownership_times.send_replace(OwnershipTimes { confirmed_until, renewable_until });
    }
}

impl<P> Core<P>
where
    P: Platform,
{
    /// Handles messages until all senders are gone.
    pub(crate) async fn run(mut self) {
        let mut next_tick = Instant::now();
        let mut next_round = next_tick;
        let mut has_news = true;
        loop {
            let next = if has_news { next_round } else { next_tick };
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(next) => {}
            }
            for _ in 0..MAX_MESSAGES_PER_ROUND {
                let Ok(message) = self.mailbox.try_recv() else { break };
                self.handle(message);
            }
            let now = Instant::now();
            has_news = now < next_round;
            if has_news {
                continue;
            }
            self.reconcile();
            let round_began_at = now;
            let now = Instant::now();
            let is_owner = self.state.owner.is_some();
            let pause = (now - round_began_at) * ROUND_PAUSE_FACTOR;
            next_round = now + pause.min(ROUND_PAUSE_MAX);
            let tick = if is_owner { OWNER_TICK } else { FOLLOWER_TICK };
            if next_tick <= now || next_tick > now + tick {
                next_tick = now + tick;
            }
        }
    }

    fn handle(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::TopicUpdate { topic, update, confirmed_at } => {
                self.apply_topic_update(topic, update, confirmed_at);
            }
            CoreMessage::Call { request, reply } => self.handle_call(request, reply),
            CoreMessage::Preview { question, reply } => self.handle_preview(question, reply),
            CoreMessage::CheckHead { request, reply } => {
                // The receiver is gone if the caller has disconnected.
                let _ = reply.send(self.head_refusal(&request));
            }
            CoreMessage::Joined { sent_at, answer } => self.handle_join_answer(sent_at, answer),
            CoreMessage::Members { members } => self.state.candidacy.members_seen(&members),
            CoreMessage::LeftGroup => {
                self.give_up_ownership();
                self.state.must_leave_group = false;
                self.state.candidacy.left_group(self.clock.now());
            }
            CoreMessage::Owner { epoch, message } => {
                self.with_owner(|owner, view| {
                    // Messages from tasks of an earlier ownership are dropped.
                    if owner.epoch() == epoch {
                        owner.handle(view, message);
                    }
                });
            }
            CoreMessage::Shutdown { done } => {
                self.state.is_shutting_down = true;
                if let Some(owner) = &mut self.state.owner {
                    owner.release();
                }
                self.state.release_done = Some(done);
            }
        }
    }

    pub(crate) fn with_owner<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Owner<P>, &mut OwnerView<'_>),
    {
        let now = self.clock.now();
        let state = &mut self.state;
        let Some(owner) = &mut state.owner else { return };
        let mut view = OwnerView {
            now,
            now_unix_ms: self.platform.unix_now_ms(),
            catalog: &mut state.catalog,
            operator_confirmed_at: state.confirmed_at.configuration,
            is_confirmed: state.ownership.is_confirmed(now),
            ownership_confirmed_at: state.ownership.confirmed_at(),
        };
        change(owner, &mut view);
    }

    /// Lets the owner decide, and updates the node's role and readiness.
    fn reconcile(&mut self) {
        self.with_owner(Owner::reconcile);
        let is_fenced = self.state.owner.as_ref().is_some_and(Owner::is_fenced);
        if is_fenced {
            warn!(self.logger, "giving up ownership"; "reason" => "a later owner exists");
            self.give_up_ownership();
        }
        if self.state.owner.as_ref().is_some_and(Owner::has_released) {
            self.give_up_ownership();
        }
        if self.state.is_shutting_down
            && self.state.owner.is_none()
            && let Some(done) = self.state.release_done.take()
        {
            // The receiver is gone if `Node::step_down` has timed out.
            let _ = done.send(());
        }
        self.state.publish_ownership_times();
        self.update_candidacy();
        let is_ready = self.is_ready();
        self.readiness.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    }

    /// Tells the membership task whether this node is a candidate for
    /// ownership. An owner that steps down for a larger node releases its
    /// ownership before it leaves the group.
    fn update_candidacy(&mut self) {
        let now = self.clock.now();
        let state = &mut self.state;
        let is_owner = state.owner.is_some();
        let is_candidate = !state.must_leave_group
            && state.candidacy.is_candidate(
                now,
                state.confirmed_at.jobs,
                state.ownership.epoch().is_some(),
            );
        let was_candidate = *self.is_candidate.borrow();
        if is_candidate == was_candidate {
            return;
        }
        if let Some(owner) = state.owner.as_mut().filter(|_| !is_candidate) {
            owner.release();
            return;
        }
        info!(self.logger, "candidacy changed"; "stands" => is_candidate, "was_owner" => is_owner);
        self.is_candidate.send_replace(is_candidate);
    }

    /// Whether the node can answer calls.
    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let (confirmed_at, limits) = (self.state.confirmed_at, self.settings.age_limits());
        !self.state.is_shutting_down
            && self.state.catalog.version().is_some()
            && admission::is_fresh(now, confirmed_at.configuration, limits.configuration_ms)
            && admission::is_fresh(now, confirmed_at.jobs, limits.configuration_ms)
    }

    /// Ends the owner. If the store still confirms the ownership, the node leaves
    /// the group, so that another node can become the owner.
    fn give_up_ownership(&mut self) {
        self.state.must_leave_group |= self.state.ownership.epoch().is_some();
        self.state.ownership.give_up();
        self.state.publish_ownership_times();
        if self.state.owner.take().is_some() {
            metrics::gauge!("cowslipport_is_owner").set(0.0);
            self.job_pause.send_replace(FOLLOWER_PAUSE);
        }
    }

    fn handle_join_answer(&mut self, sent_at: TimeMs, answer: JoinAnswer) {
        let change = self.state.ownership.join_answered(sent_at, answer);
        self.state.publish_ownership_times();
        match change {
            Some(OwnershipChange::Gained { epoch }) if !self.state.is_shutting_down => {
                info!(self.logger, "ownership gained"; "epoch" => epoch);
                metrics::gauge!("cowslipport_is_owner").set(1.0);
                self.job_pause.send_replace(OWNER_PAUSE);
                let mut owner = Owner::start(
                    &self.platform,
                    &self.settings,
                    self.clock,
                    self.sender.clone(),
                    self.state.ownership_times.subscribe(),
                    epoch,
                    &self.logger,
                );
                for name in &self.state.data_centres_out {
                    owner.set_data_centre_out(name, true);
                }
                for (requested_at, wave) in self.state.waves.values() {
                    owner.wave_requested(*requested_at, wave.clone());
                }
                self.state.owner = Some(owner);
                self.state.publish_ownership_times();
            }
            Some(OwnershipChange::Lost) => {
                info!(self.logger, "ownership lost"; "generation" => answer.generation);
                // The store chooses another owner with the next call of this
                // node, which leaves time to store the release for the
                // successor.
                if let Some(owner) = &mut self.state.owner {
                    owner.release();
                }
            }
            Some(OwnershipChange::EpochUsed { epoch }) if !self.state.is_shutting_down => {
                info!(self.logger, "leaving the group";
                    "reason" => "the epoch may have been used", "epoch" => epoch);
                self.state.must_leave_group = true;
            }
            Some(OwnershipChange::Gained { .. } | OwnershipChange::EpochUsed { .. }) | None => {}
        }
    }
}
