//! The task that exchanges state with the other entry processes, decides
//! whether the view of this process is fresh, and renews its session.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::freshness::FreshnessTracker;
use cowslipport_lib::freshness::REPORT_MAX_AGE_MS;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::session::SessionKeeper;
use cowslipport_lib::snapshot::StateDigest;
use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::authority::Authority;
use crate::authority::View;
use crate::clients::peer::ExchangeError;
use crate::clients::peer::PeerClients;
use crate::clock::Clock;
use crate::peer_report;
use crate::peer_report::MemberLoad;
use crate::peer_report::OwnLoad;
use crate::peer_report::PeerStatus;
use crate::peer_report::Progress;
use crate::peer_wire::MemberEntry;
use crate::peer_wire::WorkerEntry;
use crate::subscriber::LogStatus;
use crate::tasks::control::ControlHandle;
use crate::tasks::fleet::FleetMessage;
use crate::tasks::jobs::JobsMessage;
use crate::tasks::maintenance::MaintenanceMessage;
use crate::tasks::placement::PlacementMessage;
use crate::tasks::router::RouterMessage;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const EXCHANGE_INTERVAL_MS: u64 = 500;
const OUTAGE_EXCHANGE_INTERVAL_MS: u64 = 200;
const MAILBOX_CAPACITY: usize = 256;

/// Messages of the peer task.
pub(crate) enum PeerMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// Whether the last read of the log succeeded.
    LogStatus(LogStatus),
    /// An exchange that was sent at `sent_at` ended.
    ExchangeDone { sent_at: TimeMs, result: Result<Vec<MemberEntry>, ExchangeError> },
    /// A fetch of records or of a snapshot ended.
    FetchDone,
    /// Another process asks for the state of this process.
    Exchange(oneshot::Sender<Vec<MemberEntry>>),
    /// Requests in flight and waiting in this process.
    Load(OwnLoad),
    /// Workers of VMs that have an operation, in partitions of this process.
    Workers(Vec<WorkerEntry>),
    /// Asks which members have applied an offset.
    Progress { offset: Offset, reply: oneshot::Sender<Progress> },
    /// Asks for the state of the view and of the members.
    Status(oneshot::Sender<PeerStatus>),
    /// Closes the session; the reply is sent when the append of the closing
    /// record has ended.
    Close(oneshot::Sender<()>),
}

/// What the peer task needs to start.
pub(crate) struct PeerConfig {
    /// Opens, renews and closes the session of this process.
    pub(crate) keeper: SessionKeeper,
    /// Processes to ask while no other member is known.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Clients of the other processes.
    pub(crate) clients: PeerClients,
    /// Handle of the control task.
    pub(crate) control: ControlHandle,
    /// Mailbox of the router task.
    pub(crate) router: mpsc::Sender<RouterMessage>,
    /// Mailbox of the fleet task.
    pub(crate) fleet: mpsc::Sender<FleetMessage>,
    /// Mailbox of the maintenance task.
    pub(crate) maintenance: mpsc::Sender<MaintenanceMessage>,
    /// Mailbox of the placement task.
    pub(crate) placement: mpsc::Sender<PlacementMessage>,
    /// Mailbox of the task for job calls.
    pub(crate) jobs: mpsc::Sender<JobsMessage>,
    /// The clock.
    pub(crate) clock: Clock,
    /// The logger.
    pub(crate) logger: Logger,
}

/// Creates the mailbox of the peer task.
pub(crate) fn mailbox() -> (mpsc::Sender<PeerMessage>, mpsc::Receiver<PeerMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task that owns the session and the reports of the other members.
pub(crate) struct PeerTask {
    pub(super) config: PeerConfig,
    pub(super) me: SessionId,
    pub(super) sender: mpsc::WeakSender<PeerMessage>,
    pub(super) state: ControlState,
    pub(super) freshness: FreshnessTracker,
    pub(super) view: ViewState,
    pub(super) load: OwnLoad,
    pub(super) workers: Vec<WorkerEntry>,
    pub(super) others: BTreeMap<SessionId, MemberLoad>,
    pub(super) digest: Option<(Offset, StateDigest)>,
    pub(super) diverged: bool,
    pub(super) exchanged_at: Option<TimeMs>,
    pub(super) next_target: usize,
    pub(super) fetching: bool,
}

impl PeerTask {
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(
        config: PeerConfig,
        (sender, receiver): (mpsc::Sender<PeerMessage>, mpsc::Receiver<PeerMessage>),
    ) {
        let task = Self {
            me: config.keeper.session(),
            config,
            sender: sender.downgrade(),
            state: ControlState::default(),
            freshness: FreshnessTracker::default(),
            view: ViewState::Stale,
            load: OwnLoad::default(),
            workers: Vec::new(),
            others: BTreeMap::new(),
            digest: None,
            diverged: false,
            exchanged_at: None,
            next_target: 0,
            fetching: false,
        };
        actix_rt::spawn(task.run(receiver));
    }

    async fn run(mut self, mut receiver: mpsc::Receiver<PeerMessage>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Control(feed) => self.apply_feed(&feed),
            PeerMessage::LogStatus(status) => self.update_log_status(&status),
            PeerMessage::ExchangeDone { sent_at, result } => self.handle_exchange(sent_at, result),
            PeerMessage::FetchDone => self.fetching = false,
            PeerMessage::Exchange(reply) => {
                let _ = reply.send(self.entries());
            }
            PeerMessage::Load(load) => self.load = load,
            PeerMessage::Workers(workers) => self.workers = workers,
            PeerMessage::Progress { offset, reply } => {
                let now = self.config.clock.now();
                let progress =
                    peer_report::progress(&self.state, &self.freshness, self.me, now, offset);
                let _ = reply.send(progress);
            }
            PeerMessage::Status(reply) => {
                let now = self.config.clock.now();
                let members = peer_report::members(&self.state, &self.freshness);
                let _ = reply.send(PeerStatus {
                    view: self.view,
                    confirmed_age_ms: self.freshness.confirmed_at().map(|at| now.since(at)),
                    log_reachable: self.freshness.log_reachable(),
                    members,
                    now,
                    diverged: self.diverged,
                });
            }
            PeerMessage::Close(reply) => self.close(reply),
        }
    }

    fn apply_feed(&mut self, feed: &ControlFeed) {
        let mut digest_changed = false;
        match feed {
            ControlFeed::Reset(_) => {
                self.state.apply_feed(feed);
            }
            ControlFeed::Records(records) => {
                for (offset, record) in records.iter() {
                    match record {
                        Some(record) => self.state.apply(*offset, record),
                        None => self.state.skip(*offset),
                    };
                    if self.state.digest_due() {
                        digest_changed = true;
                        self.digest = Some((self.state.next_offset, self.state.digest()));
                    }
                }
            }
        }
        if digest_changed {
            self.compare_digests();
        }
        self.freshness.applied(self.state.next_offset);
        self.freshness.retain_members(&self.state);
    }

    pub(super) fn compare_digests(&mut self) {
        let Some(mine) = self.digest else { return };
        let reports = self.freshness.members().values();
        let same_offset =
            reports.filter_map(|report| report.digest).filter(|(at, _)| *at == mine.0);
        let differing = same_offset.filter(|(_, digest)| *digest != mine.1).count();
        let was_diverged = self.diverged;
        self.diverged = differing >= self.state.majority();
        if self.diverged && !was_diverged {
            error!(self.config.logger, "state differs from that of a majority";
                "offset" => mine.0.0, "members" => differing);
        }
    }

    fn update_log_status(&mut self, status: &LogStatus) {
        let was_reachable = self.freshness.log_reachable();
        match status {
            LogStatus::Reachable { sent_at, head } => {
                self.freshness.log_answered(*sent_at, *head, self.state.next_offset);
            }
            LogStatus::Unreachable { reason } => {
                self.freshness.log_failed();
                if was_reachable {
                    warn!(self.config.logger, "log service unreachable"; "reason" => reason);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.config.clock.now();
        for body in self.config.keeper.due_records(now, &self.state, &self.freshness) {
            self.append(body);
        }
        // While the log is unreachable, evidence of an outage must arrive
        // before the last confirmation expires.
        let interval_ms = match self.freshness.log_reachable() {
            true => EXCHANGE_INTERVAL_MS,
            false => OUTAGE_EXCHANGE_INTERVAL_MS,
        };
        if self.exchanged_at.is_none_or(|at| now.since(at) >= interval_ms) {
            self.exchanged_at = Some(now);
            self.exchange(now);
            self.send_members();
        }
        self.fetch_if_behind(now);
    }

    fn append(&self, body: RecordBody) {
        let control = self.config.control.clone();
        actix_rt::spawn(async move { control.append(body).await });
    }

    /// True if this process plans maintenance and reads the VM list: it is the
    /// member with the lowest id among those that answer. Two processes may
    /// both do so for a short time; the rules for applying records make the
    /// conflicting or repeated ones void.
    fn is_planner(&self, now: TimeMs) -> bool {
        let answers = |session: &SessionId| {
            *session == self.me
                || self
                    .others
                    .get(session)
                    .is_some_and(|load| now.since(load.reported_at) <= REPORT_MAX_AGE_MS)
        };
        let lowest = self.state.sessions.keys().find(|session| answers(session));
        self.view == ViewState::Confirmed && lowest == Some(&self.me)
    }

    pub(super) fn send_members(&self) {
        let now = self.config.clock.now();
        let is_planner = self.is_planner(now);
        let _ = self.config.fleet.try_send(FleetMessage::ReadList(is_planner));
        let mut members = self.others.clone();
        let own = MemberLoad {
            reported_at: now,
            next_offset: self.state.next_offset,
            in_flight: self.load.in_flight.clone(),
            waiting: self.load.waiting.clone(),
            workers: self.workers.clone(),
        };
        members.insert(self.me, own);
        let message = MaintenanceMessage::Members { is_planner, members };
        // A dropped message does no harm: the next exchange sends newer data.
        let _ = self.config.maintenance.try_send(message);
    }

    fn publish(&mut self) {
        let now = self.config.clock.now();
        let computed = self.freshness.view(now, self.me, &self.state);
        // The members do not ask a process that is not a member for its
        // requests in flight, so a drain would not wait for them.
        let is_member = self.state.sessions.contains_key(&self.me);
        let state = if self.diverged || !is_member { ViewState::Stale } else { computed };
        if state != self.view {
            info!(self.config.logger, "view changed";
                "from" => format!("{:?}", self.view), "to" => format!("{state:?}"),
                "next_offset" => self.state.next_offset.0);
            self.view = state;
        }
        let valid_until = self.freshness.valid_until(now, self.me, &self.state);
        let view = View { state, valid_until };
        // If a message is dropped because the mailbox is full, the receiver
        // treats its view as stale once it expires.
        let _ = self.config.router.try_send(RouterMessage::View(view));
        let _ = self.config.jobs.try_send(JobsMessage::View(view));
        let authority = PlacementMessage::Authority(self.authority(now));
        let _ = self.config.placement.try_send(authority);
    }

    /// The partitions that this session owns and whether it may start work in
    /// each of them.
    fn authority(&self, now: TimeMs) -> Authority {
        let keeper = &self.config.keeper;
        let owned = self.state.owners.iter().filter(|(_, entry)| entry.owner == Some(self.me));
        let partitions = owned
            .map(|(id, _)| (*id, keeper.start_authority(now, *id, &self.state, self.view)))
            .collect();
        let view_until = self.freshness.valid_until(now, self.me, &self.state);
        let valid_until = match (self.view, keeper.lease_until()) {
            (ViewState::Confirmed, Some(lease_until)) => view_until.min(lease_until),
            (ViewState::Confirmed, None) => now,
            (ViewState::Outage | ViewState::Stale, _) => view_until,
        };
        Authority { partitions, valid_until }
    }

    fn close(&mut self, reply: oneshot::Sender<()>) {
        let now = self.config.clock.now();
        let body = self.config.keeper.close(now, &self.state, &self.freshness);
        let control = self.config.control.clone();
        actix_rt::spawn(async move {
            control.append(body).await;
            let _ = reply.send(());
        });
    }
}
