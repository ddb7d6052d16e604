//! Bytes on the connection and processor time of calls to the stand-ins on
//! loopback. The stand-ins run in a thread of their own, so that the measured
//! thread time is that of the caller alone.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use cowslipport_lib::protos::platform;
use cowslipport_lib::protos::platform::log_client::LogClient;
use cowslipport_lib::protos::platform::worker_client::WorkerClient;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_standin::clock::Clock;
use cowslipport_standin::log_server;
use cowslipport_standin::log_store::LogLimits;
use cowslipport_standin::recorder::Reporter;
use cowslipport_standin::serve;
use cowslipport_standin::worker_agent::WorkerSettings;
use cowslipport_standin::worker_server;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tonic::Status;
use tonic::transport::Channel;

use crate::cost::as_f64;
use crate::cost::nanoseconds;
use crate::cost::thread_time;
use crate::message_size;
use crate::model;

/// Number of calls of each kind; the mean is reported.
const CALLS: u32 = 2000;

/// Cost of one call, as the caller sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CallCost {
    /// Name of the call.
    pub(crate) call: &'static str,
    /// Bytes that the caller sends, with HTTP/2 frames, without TCP headers.
    pub(crate) sent_bytes: f64,
    /// Bytes that the caller receives.
    pub(crate) received_bytes: f64,
    /// Processor time of the caller, in nanoseconds.
    pub(crate) caller_ns: f64,
    /// Time from the call to its answer, in nanoseconds.
    pub(crate) wall_ns: f64,
}

/// Reasons why a cost cannot be measured.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("cannot start a stand-in: {0}")]
    StandIn(#[from] serve::Error),
    #[error("the thread of the stand-ins ended before they were ready")]
    ThreadEnded(#[from] mpsc::RecvError),
    #[error("call to the stand-in failed: {0}")]
    Call(#[from] Status),
    #[error("cannot connect to the stand-in: {0}")]
    Connect(#[from] tonic::transport::Error),
    #[error("cannot relay the connection: {0}")]
    Relay(#[from] std::io::Error),
    #[error("the relay task failed: {0}")]
    RelayEnded(#[from] tokio::task::JoinError),
}

/// Addresses of the stand-ins.
struct StandIns {
    log: SocketAddr,
    worker: SocketAddr,
}

/// Kinds of calls.
#[derive(Clone, Copy, Debug)]
enum Call {
    PollIdle,
    PollFourTasks,
    AppendRenewal,
    ReadOneRenewal,
    ReadThirtyRenewals,
}

/// Measures all kinds of calls.
pub(crate) fn measure() -> Result<Vec<CallCost>, Error> {
    let stand_ins = start_stand_ins()?;
    actix_rt::System::new().block_on(async {
        let mut costs = vec![cost(&stand_ins, Call::PollIdle).await?];
        start_tasks(stand_ins.worker).await?;
        for call in [
            Call::PollFourTasks,
            Call::AppendRenewal,
            Call::ReadOneRenewal,
            Call::ReadThirtyRenewals,
        ] {
            costs.push(cost(&stand_ins, call).await?);
        }
        Ok(costs)
    })
}

/// Starts the stand-ins in a thread that runs until the process ends.
fn start_stand_ins() -> Result<StandIns, Error> {
    let (sender, started) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let limits = LogLimits { appends_per_second: 1_000_000, ..LogLimits::default() };
            let log = log_server::start(any_port, limits, 1).await?;
            let (clock, reporter) = (Clock::start(), Reporter::default());
            let settings = WorkerSettings::default();
            let worker = worker_server::start(any_port, settings, 1, clock, reporter).await?;
            let addresses = StandIns { log: log.address(), worker: worker.address() };
            // The receiver exists until it gets this message.
            let _ = sender.send(addresses);
            std::future::pending::<()>().await;
            Ok::<(), serve::Error>(())
        })
    });
    Ok(started.recv()?)
}

async fn start_tasks(worker: SocketAddr) -> Result<(), Error> {
    let mut client = WorkerClient::connect(format!("http://{worker}")).await?;
    let poll = message_size::poll_request();
    let reply = client.poll(poll.clone()).await?.into_inner();
    for index in 0..4 {
        client.start(message_size::start_request_for(index, reply.ticket, poll.epoch)).await?;
    }
    Ok(())
}

async fn cost(stand_ins: &StandIns, call: Call) -> Result<CallCost, Error> {
    let address = match call {
        Call::PollIdle | Call::PollFourTasks => stand_ins.worker,
        Call::AppendRenewal | Call::ReadOneRenewal | Call::ReadThirtyRenewals => stand_ins.log,
    };
    let few = relayed_bytes(address, call, 1).await?;
    let many = relayed_bytes(address, call, 1 + CALLS).await?;
    let channel = Channel::builder(uri(address)).connect().await?;
    repeat(channel.clone(), call, CALLS / 4).await?;
    let (before, begun) = (thread_time(), Instant::now());
    repeat(channel, call, CALLS).await?;
    let caller_ns = nanoseconds(thread_time().saturating_sub(before)) / f64::from(CALLS);
    let wall_ns = nanoseconds(begun.elapsed()) / f64::from(CALLS);
    let each = |few: u64, many: u64| {
        as_f64(usize::try_from(many.saturating_sub(few)).unwrap_or(usize::MAX)) / f64::from(CALLS)
    };
    Ok(CallCost {
        call: match call {
            Call::PollIdle => "poll of a worker without tasks",
            Call::PollFourTasks => "poll of a worker with four tasks",
            Call::AppendRenewal => "append of a session renewal",
            Call::ReadOneRenewal => "read of one renewal",
            Call::ReadThirtyRenewals => "read of thirty renewals",
        },
        sent_bytes: each(few.0, many.0),
        received_bytes: each(few.1, many.1),
        caller_ns,
        wall_ns,
    })
}

fn uri(address: SocketAddr) -> tonic::transport::Uri {
    format!("http://{address}").parse().expect("a socket address is the authority of a URI")
}

/// Makes `calls` calls on one connection through a relay and returns the bytes
/// sent and received.
async fn relayed_bytes(target: SocketAddr, call: Call, calls: u32) -> Result<(u64, u64), Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let relay: JoinHandle<std::io::Result<(u64, u64)>> = actix_rt::spawn(async move {
        let (mut caller, _) = listener.accept().await?;
        let mut server = TcpStream::connect(target).await?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        tokio::io::copy_bidirectional(&mut caller, &mut server).await
    });
    let channel = Channel::builder(uri(address)).connect().await?;
    repeat(channel, call, calls).await?;
    Ok(relay.await??)
}

async fn repeat(channel: Channel, call: Call, calls: u32) -> Result<(), Error> {
    let mut worker = WorkerClient::new(channel.clone());
    let mut log = LogClient::new(channel);
    let record = renewal();
    for _ in 0..calls {
        match call {
            Call::PollIdle | Call::PollFourTasks => {
                worker.poll(message_size::poll_request()).await?;
            }
            Call::AppendRenewal => {
                let (stream, record) = ("control".to_owned(), record.clone());
                log.append(platform::AppendRequest { stream, record }).await?;
            }
            Call::ReadOneRenewal => drop(log.read(read(1)).await?),
            Call::ReadThirtyRenewals => drop(log.read(read(30)).await?),
        }
    }
    Ok(())
}

fn read(max_records: u32) -> platform::ReadRequest {
    let stream = "control".to_owned();
    platform::ReadRequest { stream, from_offset: 0, max_records, wait_ms: 500 }
}

fn renewal() -> Vec<u8> {
    let id = cowslipport_lib::ids::RecordId { writer: model::session_id(0).0, sequence: 100_000 };
    let next_offset = cowslipport_lib::ids::Offset(1 << 30);
    let body =
        RecordBody::SessionRenew { session: model::session_id(0), renewal: 100_000, next_offset };
    ControlRecord { id, body }.encode()
}
