//! End-to-end test of three processes that share one log: a commit takes effect
//! on all of them, and requests reach an upstream.

use std::time::Duration;

use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_daemon::platform::ListedVm;
use cowslipport_daemon::platform::VmList;
use cowslipport_daemon::platform::VmListError;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::protos::config as raw_config;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::protos::peer::admin_client::AdminClient;
use cowslipport_lib::record::VmJoined;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::log_server;
use cowslipport_standin::log_store::LogLimits;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::net::TcpListener;
use tonic::Request;
use tonic::transport::Channel;

const MANIFEST: &str = r#"
[[data_centre]]
name = "dc1"
region = "south"

[[pool]]
name = "booking"
slots_per_vm = 8
max_vms = 10

[[organisation]]
name = "web"
share_milli = 1000
limit_cpu_milli = 64000
limit_memory_bytes = 64000000000

[[organisation.key]]
name = "k1"
# SHA-256 of "secret".
sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
"#;

#[derive(Clone)]
struct SingleVmList {
    upstream: String,
}

impl VmList for SingleVmList {
    async fn list(&self) -> Result<Vec<ListedVm>, VmListError> {
        let vm = VmJoined {
            name: "vm-1".to_owned(),
            data_centre: "dc1".to_owned(),
            rack: "r1".to_owned(),
            pool: "booking".to_owned(),
            worker_address: "127.0.0.1:9".to_owned(),
            upstream_address: self.upstream.clone(),
            capacity: Resources { cpu_milli: 32_000, memory_bytes: 1 << 37, accelerators: 0 },
        };
        Ok(vec![ListedVm { vm, leaving: false }])
    }

    async fn reboot(&self, _vm: &str, _token: &str) -> Result<(), VmListError> {
        Ok(())
    }
}

fn loopback() -> std::net::SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

async fn start(name: &str, log: std::net::SocketAddr, upstream: &str) -> Daemon {
    let config = DaemonConfig {
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        callers: loopback(),
        peers: loopback(),
        health: loopback(),
        seeds: Vec::new(),
        peer_token: "peer".to_owned(),
        operator_token: "operator".to_owned(),
        limits: Limits { shutdown_timeout_ms: 500, ..Limits::default() },
    };
    let platform = PlatformClients {
        log: GrpcLog::new(log),
        vm_list: SingleVmList { upstream: upstream.to_owned() },
        workers: GrpcWorkers,
    };
    let logger = Logger::root(Discard, o!());
    Daemon::start(config, platform, None, logger).await.expect("the daemon starts")
}

async fn admin(daemon: &Daemon) -> AdminClient<Channel> {
    let address = format!("http://{}", daemon.addresses().peers);
    AdminClient::connect(address).await.expect("the daemon listens")
}

fn authorized<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    request.metadata_mut().insert("authorization", "Bearer operator".parse().expect("valid"));
    request
}

/// Starts an upstream that answers one request on each connection with `hello`.
async fn start_upstream() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is free");
    let address = listener.local_addr().expect("bound").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let (mut reader, mut writer) = stream.split();
            let _ = tokio::io::AsyncReadExt::read(&mut reader, &mut buffer).await;
            let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nconnection: close\r\n\r\nhello";
            let _ = tokio::io::AsyncWriteExt::write_all(&mut writer, reply).await;
        }
    });
    address
}

async fn get(daemon: &Daemon, key: &str) -> (u16, String) {
    let url = format!("http://{}/pools/booking/slots", daemon.addresses().callers);
    let client = awc::Client::default();
    let mut response = client.get(url).bearer_auth(key).send().await.expect("the daemon answers");
    let body = response.body().await.expect("the answer is complete");
    (response.status().as_u16(), String::from_utf8_lossy(&body).into_owned())
}

/// Guards against a commit that has not taken effect on all processes within
/// 4 s, and against a process that does not forward requests to the upstream.
#[actix_rt::test]
async fn commit_is_in_force_on_three_processes_and_requests_are_served() {
    let log = log_server::start(loopback(), LogLimits::default(), 1).await.expect("log starts");
    let upstream = start_upstream().await;
    let mut daemons = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        daemons.push(start(name, log.address(), &upstream).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;

    let manifest = Manifest::from_toml(MANIFEST).expect("the manifest is valid");
    let request = raw::CommitRequest {
        expected_revision: 0,
        author: "ana".to_owned(),
        manifest: Some(raw_config::Manifest::from(&manifest)),
        dry_run: false,
    };
    let mut operator = admin(&daemons[0]).await;
    let reply = operator.commit(authorized(request)).await.expect("the call is accepted");
    let reply = reply.into_inner();
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");

    tokio::time::sleep(Duration::from_secs(4)).await;
    let request = authorized(raw::InForceRequest { offset: reply.offset });
    let in_force = operator.in_force(request).await.expect("the call is accepted").into_inner();
    assert!(in_force.accepted);
    assert_eq!(in_force.members.len(), 3);
    assert!(in_force.members.iter().all(|member| member.applied), "{in_force:?}");

    for daemon in &daemons {
        assert_eq!(get(daemon, "secret").await, (200, "hello".to_owned()));
        let (status, body) = get(daemon, "wrong").await;
        assert_eq!(status, 401);
        assert!(body.contains("\"not_run\":true"), "{body}");
    }
    for daemon in daemons {
        assert!(daemon.stop().await, "work in flight ends within the timeout");
    }
}
