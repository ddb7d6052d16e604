//! The task that owns what a node knows and decides: the configuration, the
//! board of jobs, the seat, and, while it has the seat, the dispatcher.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::admission::ConfirmedAt;
use cowslipport_lib::workload::candidacy::Candidacy;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::job_registry::JobRegistry;
use cowslipport_lib::workload::maintenance::WaveSpec;
use cowslipport_lib::workload::owner_record::NodeRecord;
use cowslipport_lib::workload::owner_record::Tenure;
use cowslipport_lib::workload::ownership::JoinAnswer;
use cowslipport_lib::workload::ownership::Ownership;
use cowslipport_lib::workload::ownership::OwnershipChange;
use cowslipport_lib::workload::record::ProgressSummary;
use cowslipport_lib::workload::record::RecordKey;
use cowslipport_lib::workload::spec::JobSpec;
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
use crate::node::messages::TopicUpdate;
use crate::node::owner::Owner;
use crate::node::owner::OwnerView;
use crate::node::platform::KeyedRecord;
use crate::node::platform::OperatorChange;
use crate::node::platform::Platform;
use crate::node::platform::RecordCodec;
use crate::node::platform::Topic;
use crate::node::settings::FOLLOWER_PAUSE;
use crate::node::settings::FOLLOWER_TICK;
use crate::node::settings::NodeSettings;
use crate::node::settings::OWNER_PAUSE;
use crate::node::settings::OWNER_TICK;
use crate::node::settings::RENEW_WITHOUT_STORE_MS;
use crate::node::submissions::Submission;

/// Messages that are taken before the next decision, so that a burst costs one
/// decision and not one for each message.
const MESSAGES_A_ROUND: usize = 256;

/// The state of a node.
pub(crate) struct Core<P>
where
    P: Platform,
{
    pub(crate) platform: P,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
    pub(crate) mailbox: mpsc::Receiver<CoreMessage>,
    /// For the tasks of the owner.
    pub(crate) sender: mpsc::Sender<CoreMessage>,
    pub(crate) submissions: mpsc::Sender<Submission>,
    pub(crate) job_pause: watch::Sender<std::time::Duration>,
    pub(crate) readiness: watch::Sender<bool>,
    /// Whether the node stands for the seat.
    pub(crate) is_candidate: watch::Sender<bool>,
    pub(crate) state: CoreState<P>,
}

/// What a node knows.
pub(crate) struct CoreState<P>
where
    P: Platform,
{
    pub(crate) catalog: Catalog,
    pub(crate) board: JobRegistry,
    pub(crate) known_at: ConfirmedAt,
    pub(crate) data_centres_out: BTreeSet<String>,
    /// Waves, and when each was asked for as far as this node knows.
    pub(crate) waves: BTreeMap<u64, (TimeMs, WaveSpec)>,
    pub(crate) seat: Ownership,
    pub(crate) candidacy: Candidacy,
    pub(crate) owner: Option<Owner<P>>,
    pub(crate) is_stopping: bool,
    pub(crate) stop_done: Option<oneshot::Sender<()>>,
}

impl<P> CoreState<P>
where
    P: Platform,
{
    pub(crate) fn new(settings: &NodeSettings, now: TimeMs) -> Self {
        Self {
            catalog: Catalog::default(),
            board: JobRegistry::default(),
            known_at: ConfirmedAt::default(),
            data_centres_out: BTreeSet::new(),
            waves: BTreeMap::new(),
            seat: Ownership::new(settings.ownership_ttl_ms),
            candidacy: Candidacy::new(&settings.name, settings.processor_milli, now),
            owner: None,
            is_stopping: false,
            stop_done: None,
        }
    }
}

impl<P> Core<P>
where
    P: Platform,
{
    /// Handles messages until all senders are gone.
    pub(crate) async fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                message = self.mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(next_tick) => {}
            }
            for _ in 0..MESSAGES_A_ROUND {
                let Ok(message) = self.mailbox.try_recv() else { break };
                self.handle(message);
            }
            self.settle();
            let now = Instant::now();
            let tick = if self.state.owner.is_some() { OWNER_TICK } else { FOLLOWER_TICK };
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
            CoreMessage::Joined { sent_at, answer } => self.handle_join_answer(sent_at, answer),
            CoreMessage::Members { members } => self.state.candidacy.members_seen(&members),
            CoreMessage::LeftGroup => {
                self.state.seat.give_up();
                self.state.candidacy.stepped_down(self.clock.now());
            }
            CoreMessage::Owner { epoch, message } => {
                self.with_owner(|owner, view| {
                    // A task of an earlier ownership may still have a message.
                    if owner.epoch() == epoch {
                        owner.handle(view, message);
                    }
                });
            }
            CoreMessage::Stop { done } => {
                self.state.is_stopping = true;
                if let Some(owner) = &mut self.state.owner {
                    owner.release();
                }
                self.state.stop_done = Some(done);
            }
        }
    }

    fn with_owner<F>(&mut self, change: F)
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
            operator_known_at: state.known_at.configuration,
            is_certain: state.seat.is_confirmed(now),
            renews: state.seat.unconfirmed_ms(now) < RENEW_WITHOUT_STORE_MS,
        };
        change(owner, &mut view);
    }

    fn settle(&mut self) {
        self.with_owner(Owner::settle);
        let is_fenced = self.state.owner.as_ref().is_some_and(Owner::is_fenced);
        if is_fenced {
            warn!(self.logger, "ownership is given up"; "reason" => "a later owner exists");
            self.state.seat.give_up();
            self.drop_owner();
        }
        if self.state.owner.as_ref().is_some_and(Owner::has_released) {
            self.drop_owner();
        }
        if self.state.is_stopping
            && self.state.owner.is_none()
            && let Some(done) = self.state.stop_done.take()
        {
            // The process may have stopped waiting.
            let _ = done.send(());
        }
        self.update_candidacy();
        let is_ready = self.is_ready();
        self.readiness.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    }

    /// Stands for the seat, or stays out of the group. An owner that a larger
    /// node is to replace gives its ownership up before it leaves.
    fn update_candidacy(&mut self) {
        let now = self.clock.now();
        let state = &mut self.state;
        let is_owner = state.owner.is_some();
        let is_candidate =
            state.candidacy.is_candidate(now, state.known_at.jobs, state.seat.epoch().is_some());
        let was_candidate = *self.is_candidate.borrow();
        if is_candidate == was_candidate {
            return;
        }
        if let Some(owner) = state.owner.as_mut().filter(|_| !is_candidate) {
            owner.release();
            return;
        }
        info!(self.logger, "candidacy changes"; "stands" => is_candidate, "was_owner" => is_owner);
        self.is_candidate.send_replace(is_candidate);
    }

    /// True if calls can be answered.
    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let (known_at, limits) = (self.state.known_at, self.settings.age_limits());
        !self.state.is_stopping
            && self.state.catalog.version().is_some()
            && admission::is_fresh(now, known_at.configuration, limits.configuration_ms)
            && admission::is_fresh(now, known_at.jobs, limits.configuration_ms)
    }

    fn drop_owner(&mut self) {
        if self.state.owner.take().is_some() {
            metrics::gauge!("cowslipport_is_owner").set(0.0);
            self.job_pause.send_replace(FOLLOWER_PAUSE);
        }
    }

    fn handle_join_answer(&mut self, sent_at: TimeMs, answer: JoinAnswer) {
        match self.state.seat.join_answered(sent_at, answer) {
            Some(OwnershipChange::Gained { epoch }) if !self.state.is_stopping => {
                info!(self.logger, "ownership is gained"; "epoch" => epoch);
                metrics::gauge!("cowslipport_is_owner").set(1.0);
                self.job_pause.send_replace(OWNER_PAUSE);
                let mut owner = Owner::start(
                    &self.platform,
                    &self.settings,
                    self.clock,
                    self.sender.clone(),
                    epoch,
                    &self.logger,
                );
                for name in &self.state.data_centres_out {
                    owner.data_centre_out(name, true);
                }
                for (asked_at, wave) in self.state.waves.values() {
                    owner.wave_asked(*asked_at, wave.clone());
                }
                self.state.owner = Some(owner);
            }
            Some(OwnershipChange::Lost) => {
                info!(self.logger, "ownership is lost"; "generation" => answer.generation);
                // The seat passes on with the next call of this node, which
                // leaves time to tell the successor.
                if let Some(owner) = &mut self.state.owner {
                    owner.release();
                }
            }
            Some(OwnershipChange::Gained { .. }) | None => {}
        }
    }

    fn apply_topic_update(
        &mut self,
        topic: Topic,
        update: TopicUpdate,
        confirmed_at: Option<TimeMs>,
    ) {
        match topic {
            Topic::Operator => self.apply_operator_records(update, confirmed_at),
            Topic::Jobs => {
                self.state.known_at.jobs = confirmed_at.or(self.state.known_at.jobs);
                let records = match update {
                    TopicUpdate::Snapshot(records) | TopicUpdate::Records(records) => records,
                };
                self.apply_job_records(&records);
                self.with_owner(|owner, view| owner.job_records(view, records));
            }
            Topic::Workers => {
                self.with_owner(|owner, view| owner.worker_entries(view, update, confirmed_at));
            }
            // Nobody follows it here.
            Topic::Status => {}
        }
    }

    fn apply_job_records(&mut self, records: &[KeyedRecord]) {
        for record in records {
            let Some(key) = RecordKey::decode(&record.key) else {
                warn!(self.logger, "key of a record is unknown"; "bytes" => record.key.len());
                continue;
            };
            if let Err(findings) = self.apply_job_record(&key, &record.value) {
                warn!(self.logger, "record cannot be read"; "key" => format!("{key:?}"),
                    "findings" => findings.to_string());
            }
        }
    }

    fn apply_job_record(
        &mut self,
        key: &RecordKey,
        value: &[u8],
    ) -> Result<(), cowslipport_lib::findings::Findings> {
        let state = &mut self.state;
        match *key {
            RecordKey::Submission(job) if value.is_empty() => state.board.remove(job),
            RecordKey::Submission(job) => {
                let spec = JobSpec::decode(value)?;
                let queue = state.catalog.queue_id(&spec.queue);
                let organisation =
                    spec.organisation.as_deref().map(|name| state.catalog.organisation_id(name));
                state.board.apply_submission(job, queue, organisation);
            }
            RecordKey::Cancellation(job) if !value.is_empty() => {
                state.board.apply_cancellation(job)
            }
            RecordKey::Progress(job) if !value.is_empty() => {
                state.board.apply_progress(job, ProgressSummary::decode(value)?);
            }
            RecordKey::Tenure if !value.is_empty() => {
                let tenure = Tenure::decode(value)?;
                state.candidacy.owner_seen(self.clock.now(), &tenure.owner.node);
            }
            RecordKey::Node(ref node) if !value.is_empty() => {
                let NodeRecord { processor_milli, .. } = NodeRecord::decode(value)?;
                state.candidacy.node_started(node, processor_milli);
            }
            RecordKey::Cancellation(_)
            | RecordKey::Progress(_)
            | RecordKey::Wave(_)
            | RecordKey::Unreachable(_)
            | RecordKey::VmOrders
            | RecordKey::Tenure
            | RecordKey::Node(_) => {}
        }
        Ok(())
    }

    fn apply_operator_records(&mut self, update: TopicUpdate, confirmed_at: Option<TimeMs>) {
        let known_at = &mut self.state.known_at;
        known_at.configuration = confirmed_at.or(known_at.configuration);
        let dialect = self.platform.record_codec();
        let is_news = matches!(update, TopicUpdate::Records(_));
        let (records, mut gone) = match update {
            TopicUpdate::Snapshot(records) => {
                let out = std::mem::take(&mut self.state.data_centres_out);
                (records, out)
            }
            TopicUpdate::Records(records) => (records, BTreeSet::new()),
        };
        for record in &records {
            match dialect.operator_change(record) {
                Ok(change) => {
                    if let OperatorChange::DataCentre { name, is_out: true } = &change {
                        gone.remove(name);
                    }
                    self.apply_operator_change(change, is_news);
                }
                Err(findings) => {
                    warn!(self.logger, "record of the operator cannot be read";
                        "key" => String::from_utf8_lossy(&record.key).into_owned(),
                        "findings" => findings.to_string());
                }
            }
        }
        for name in gone {
            self.apply_operator_change(OperatorChange::DataCentre { name, is_out: false }, is_news);
        }
    }

    /// Takes over a change; `is_news` if it was made just now.
    fn apply_operator_change(&mut self, change: OperatorChange, is_news: bool) {
        let now = self.clock.now();
        let state = &mut self.state;
        match change {
            OperatorChange::Configuration(spec) => {
                let version = spec.version;
                if let Err(findings) = spec.check() {
                    warn!(self.logger, "configuration has findings"; "version" => version,
                        "findings" => findings.to_string());
                }
                if state.catalog.apply(spec) {
                    info!(self.logger, "configuration is in force"; "version" => version);
                    if let Some(owner) = &mut state.owner {
                        owner.refresh(&mut state.catalog);
                    }
                }
            }
            OperatorChange::DataCentre { name, is_out } => {
                info!(self.logger, "data centre changes"; "data_centre" => &name, "out" => is_out);
                if let Some(owner) = &mut state.owner {
                    owner.data_centre_out(&name, is_out);
                }
                match is_out {
                    true => state.data_centres_out.insert(name),
                    false => state.data_centres_out.remove(&name),
                };
            }
            OperatorChange::Wave(spec) => {
                info!(self.logger, "wave is asked for"; "wave" => spec.wave,
                    "vms" => spec.vms.len(), "max_down" => spec.max_down,
                    "deadline_ms" => spec.deadline_ms);
                let known = state.waves.get(&spec.wave).map(|(asked_at, _)| *asked_at);
                // How old a wave is that was there before this process is not
                // known; half of its time may be over.
                let passed_ms = if is_news { 0 } else { spec.deadline_ms / 2 };
                let asked_at = known.unwrap_or_else(|| now.minus(passed_ms));
                if let Some(owner) = &mut state.owner {
                    owner.wave_asked(asked_at, spec.clone());
                }
                state.waves.insert(spec.wave, (asked_at, spec));
            }
            OperatorChange::WaveWithdrawn { wave } => {
                if let Some(owner) = &mut state.owner {
                    owner.wave_withdrawn(wave);
                }
                state.waves.remove(&wave);
            }
            OperatorChange::Other => {}
        }
    }
}
