//! Starts and shuts down the tasks of one process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::peer::admin_server::AdminServer;
use cowslipport_lib::protos::peer::peer_server::PeerServer;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::route::routing::RouterSettings;
use cowslipport_lib::session::SESSION_LEASE_MS;
use cowslipport_lib::session::SessionKeeper;
use cowslipport_lib::settings::Limits;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use slog::info;
use slog::o;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::admin_server::AdminService;
use crate::callers;
use crate::callers::CallerContext;
use crate::clients::peer::BearerToken;
use crate::clients::peer::PeerClients;
use crate::clients::upstream::HttpUpstream;
use crate::clock::Clock;
use crate::exchange::ExchangeContext;
use crate::health;
use crate::health::HealthContext;
use crate::peer_server::PeerService;
use crate::platform::LogService;
use crate::platform::VmList;
use crate::platform::WorkerConnector;
use crate::subscriber::Subscriber;
use crate::tasks;
use crate::tasks::control::ControlHandle;
use crate::tasks::control::ControlTask;
use crate::tasks::fleet::FleetTask;
use crate::tasks::jobs::JobsConfig;
use crate::tasks::jobs::JobsMessage;
use crate::tasks::jobs::JobsTask;
use crate::tasks::journal::JournalHandle;
use crate::tasks::maintenance::MaintenanceConfig;
use crate::tasks::maintenance::MaintenanceTask;
use crate::tasks::peer::PeerConfig;
use crate::tasks::peer::PeerMessage;
use crate::tasks::peer::PeerTask;
use crate::tasks::placement::PlacementConfig;
use crate::tasks::placement::PlacementMessage;
use crate::tasks::placement::PlacementTask;
use crate::tasks::router::RouterMessage;
use crate::tasks::router::RouterTask;
use crate::tasks::witness::WitnessConfig;
use crate::tasks::witness::WitnessMessage;
use crate::tasks::witness::WitnessTask;
use crate::token::TokenInterceptor;

/// Time for which a process that shuts down still accepts connections after it
/// reports that it is not ready. A load balancer that probes every second
/// notices within this time.
const UNREADY_DELAY: Duration = Duration::from_millis(1_500);

/// Configuration of one process.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Name of the process.
    pub name: String,
    /// Data centre in which the process runs.
    pub data_centre: String,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address for calls of peers and operators.
    pub peers: SocketAddr,
    /// Listen address for health, readiness and metrics.
    pub health: SocketAddr,
    /// Processes to contact while no other member is known.
    pub seeds: Vec<SocketAddr>,
    /// Token with which peers authenticate to each other.
    pub peer_token: String,
    /// Token with which operators authenticate.
    pub operator_token: String,
    /// Limits of the HTTP endpoint for callers.
    pub limits: Limits,
}

/// Clients of the platform.
pub struct PlatformClients<L, V, C> {
    /// Client of the log service.
    pub log: L,
    /// Client of the VM list.
    pub vm_list: V,
    /// Connects to workers.
    pub workers: C,
}

/// Why a process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The process cannot listen on an address.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// Purpose of the address.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The token of the peers has characters that a header cannot carry.
    #[error("peer token is not a valid header value")]
    Token,
}

/// Addresses on which a running process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For calls of peers and operators.
    pub peers: SocketAddr,
    /// For health, readiness and metrics.
    pub health: SocketAddr,
}

/// A running process.
pub struct Daemon {
    addresses: Addresses,
    peer: mpsc::Sender<PeerMessage>,
    shutdown: watch::Sender<bool>,
    stop_listening: watch::Sender<bool>,
    in_flight: mpsc::Receiver<()>,
    shutdown_timeout: Duration,
    logger: Logger,
}

impl Daemon {
    /// Starts the tasks of a process on the current `actix-rt` runtime.
    pub async fn start<L, V, C>(
        config: DaemonConfig,
        platform: PlatformClients<L, V, C>,
        metrics: Option<PrometheusHandle>,
        logger: Logger,
    ) -> Result<Self, StartError>
    where
        L: LogService,
        V: VmList,
        C: WorkerConnector,
    {
        let callers_listener = listen("callers", config.callers).await?;
        let peers_listener = listen("peers", config.peers).await?;
        let health_listener = listen("health", config.health).await?;
        let addresses = Addresses {
            callers: local_address("callers", config.callers, &callers_listener)?,
            peers: local_address("peers", config.peers, &peers_listener)?,
            health: local_address("health", config.health, &health_listener)?,
        };
        let logger = logger.new(o!("process" => config.name.clone()));
        let (shutdown, shutting_down) = watch::channel(false);
        let (stop_listening, listening_stopped) = watch::channel(false);
        let (in_flight_guard, in_flight) = mpsc::channel(1);
        let tasks = spawn_tasks(&config, addresses.peers, platform, &logger)?;
        actix_rt::spawn(callers::serve(
            callers_listener,
            CallerContext {
                exchange: ExchangeContext {
                    router: tasks.router.clone(),
                    witness: tasks.witness.clone(),
                    upstream: HttpUpstream,
                    clock: tasks.clock,
                    logger: logger.new(o!("target" => "callers")),
                    shutdown_guard: in_flight_guard,
                },
                jobs: tasks.jobs.clone(),
                limits: config.limits,
            },
            listening_stopped.clone(),
        ));
        spawn_grpc(&config, peers_listener, &tasks, &logger);
        let health = HealthContext { peer: tasks.peer.clone(), metrics, shutting_down };
        actix_rt::spawn(health::serve(health_listener, health));
        info!(logger, "process started"; "callers" => addresses.callers.to_string(),
            "peers" => addresses.peers.to_string(), "health" => addresses.health.to_string());
        Ok(Self {
            addresses,
            peer: tasks.peer,
            shutdown,
            stop_listening,
            in_flight,
            shutdown_timeout: Duration::from_millis(config.limits.shutdown_timeout_ms),
            logger,
        })
    }

    /// Addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Shuts down: reports that the process is not ready, stops accepting
    /// connections, waits for the work in flight, and closes the session.
    /// Returns true if all work ended within the timeout.
    pub async fn stop(mut self) -> bool {
        info!(self.logger, "process shutting down");
        // The receivers may have been dropped.
        let _ = self.shutdown.send(true);
        tokio::time::sleep(UNREADY_DELAY).await;
        let _ = self.stop_listening.send(true);
        let in_flight_ended =
            tokio::time::timeout(self.shutdown_timeout, self.in_flight.recv()).await;
        let (reply, closed) = oneshot::channel();
        if self.peer.send(PeerMessage::Close(reply)).await.is_ok() {
            let _ = tokio::time::timeout(self.shutdown_timeout, closed).await;
        }
        info!(self.logger, "process stopped"; "all_work_ended" => in_flight_ended.is_ok());
        in_flight_ended.is_ok()
    }
}

/// Handles of the tasks that servers call, and what they share.
struct TaskHandles {
    session: SessionId,
    clock: Clock,
    clients: PeerClients,
    control: ControlHandle,
    peer: mpsc::Sender<PeerMessage>,
    router: mpsc::Sender<RouterMessage>,
    jobs: mpsc::Sender<JobsMessage>,
    witness: mpsc::Sender<WitnessMessage>,
    journal: JournalHandle,
}

fn spawn_tasks<L, V, C>(
    config: &DaemonConfig,
    peer_address: SocketAddr,
    platform: PlatformClients<L, V, C>,
    logger: &Logger,
) -> Result<TaskHandles, StartError>
where
    L: LogService,
    V: VmList,
    C: WorkerConnector,
{
    let clock = Clock::start();
    let session = SessionId(rand::random::<u64>().max(1));
    let token = BearerToken::new(&config.peer_token).ok_or(StartError::Token)?;
    let clients = PeerClients::new(token);
    let (control, control_receiver) = tasks::control::mailbox();
    let (peer, peer_receiver) = tasks::peer::mailbox();
    let (router, router_receiver) = tasks::router::mailbox();
    let (fleet, fleet_receiver) = tasks::fleet::mailbox();
    let (maintenance, maintenance_receiver) = tasks::maintenance::mailbox();
    let (placement, placement_receiver) = tasks::placement::mailbox();
    let (jobs, jobs_receiver) = tasks::jobs::mailbox();
    let journal = tasks::journal::spawn(clock);
    let task_logger = |name: &'static str| logger.new(o!("target" => name));
    let settings = router_settings(config, session);
    RouterTask::spawn(settings, clock, task_logger("router"), peer.clone(), router_receiver);
    let witness = WitnessTask::spawn(WitnessConfig { session, clock, clients: clients.clone() });
    let peer_config = PeerConfig {
        keeper: SessionKeeper::new(session_open(config, session, peer_address)),
        seeds: config.seeds.clone(),
        clients: clients.clone(),
        control: control.clone(),
        router: router.clone(),
        fleet: fleet.clone(),
        maintenance: maintenance.clone(),
        placement: placement.clone(),
        jobs: jobs.clone(),
        clock,
        logger: task_logger("peers"),
    };
    PeerTask::spawn(peer_config, (peer.clone(), peer_receiver));
    let fleet_mailbox = (fleet.clone(), fleet_receiver);
    let list = platform.vm_list.clone();
    FleetTask::spawn(list, control.clone(), task_logger("fleet"), fleet_mailbox);
    let maintenance_config = MaintenanceConfig {
        list: platform.vm_list,
        clock,
        control: control.clone(),
        journal: journal.clone(),
        logger: task_logger("maintenance"),
    };
    MaintenanceTask::spawn(maintenance_config, maintenance_receiver);
    let job_mailboxes =
        JobMailboxes { placement: (placement.clone(), placement_receiver), jobs: jobs_receiver };
    let context =
        JobTaskContext { session, clock, control: control.clone(), journal: journal.clone() };
    let (log, workers) = (platform.log.clone(), platform.workers);
    spawn_job_tasks(log, workers, &context, job_mailboxes, (clients.clone(), peer.clone()), logger);
    let subscribers = vec![
        Subscriber::Peer(peer.clone()),
        Subscriber::Router(router.clone()),
        Subscriber::Fleet(fleet),
        Subscriber::Maintenance(maintenance),
        Subscriber::Placement(placement),
        Subscriber::Jobs(jobs.clone()),
        Subscriber::Witness(witness.clone()),
    ];
    let mailbox = (control.clone(), control_receiver);
    ControlTask::spawn(platform.log, session, clock, task_logger("control"), mailbox, subscribers);
    Ok(TaskHandles { session, clock, clients, control, peer, router, jobs, witness, journal })
}

fn router_settings(config: &DaemonConfig, session: SessionId) -> RouterSettings {
    RouterSettings {
        session,
        data_centre: config.data_centre.clone(),
        max_queued: config.limits.max_queued_requests as usize,
        seed: rand::random(),
    }
}

/// Shared by the tasks for jobs.
struct JobTaskContext {
    session: SessionId,
    clock: Clock,
    control: ControlHandle,
    journal: JournalHandle,
}

struct JobMailboxes {
    placement: (mpsc::Sender<PlacementMessage>, mpsc::Receiver<PlacementMessage>),
    jobs: mpsc::Receiver<JobsMessage>,
}

fn spawn_job_tasks<L, C>(
    log: L,
    workers: C,
    context: &JobTaskContext,
    mailboxes: JobMailboxes,
    (clients, peer): (PeerClients, mpsc::Sender<PeerMessage>),
    logger: &Logger,
) where
    L: LogService,
    C: WorkerConnector,
{
    let jobs_config = JobsConfig {
        session: context.session,
        clock: context.clock,
        clients,
        placement: mailboxes.placement.0.clone(),
        logger: logger.new(o!("target" => "jobs")),
    };
    JobsTask::spawn(jobs_config, mailboxes.jobs);
    let placement_config = PlacementConfig {
        log,
        workers,
        session: context.session,
        clock: context.clock,
        control: context.control.clone(),
        journal: context.journal.clone(),
        peer,
        logger: logger.new(o!("target" => "placement")),
    };
    PlacementTask::spawn(placement_config, mailboxes.placement);
}

fn session_open(
    config: &DaemonConfig,
    session: SessionId,
    peer_address: SocketAddr,
) -> SessionOpen {
    SessionOpen {
        session,
        name: config.name.clone(),
        data_centre: config.data_centre.clone(),
        peer_address: peer_address.to_string(),
        lease_ms: SESSION_LEASE_MS,
    }
}

fn spawn_grpc(config: &DaemonConfig, listener: TcpListener, tasks: &TaskHandles, logger: &Logger) {
    let peer_service = PeerService {
        peer: tasks.peer.clone(),
        control: tasks.control.clone(),
        jobs: tasks.jobs.clone(),
        journal: tasks.journal.clone(),
        witness: tasks.witness.clone(),
        name: config.name.clone(),
    };
    let admin_service = AdminService {
        peer: tasks.peer.clone(),
        control: tasks.control.clone(),
        journal: tasks.journal.clone(),
        clients: tasks.clients.clone(),
        session: tasks.session,
        name: config.name.clone(),
        logger: logger.new(o!("target" => "admin")),
    };
    let check_peer_token = TokenInterceptor::new(&config.peer_token);
    let check_operator_token = TokenInterceptor::new(&config.operator_token);
    let server = Server::builder()
        .add_service(PeerServer::with_interceptor(peer_service, check_peer_token))
        .add_service(AdminServer::with_interceptor(admin_service, check_operator_token))
        // Without TCP_NODELAY, trailers wait 40 ms for a delayed
        // acknowledgement.
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
    let logger = logger.clone();
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            slog::error!(logger, "gRPC server failed"; "error" => error.to_string());
        }
    });
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen {
        purpose,
        address,
        source,
    })
}

fn local_address(
    purpose: &'static str,
    address: SocketAddr,
    listener: &TcpListener,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { purpose, address, source })
}
