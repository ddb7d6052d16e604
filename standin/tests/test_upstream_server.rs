//! Tests that an upstream instance counts the requests that it runs and injects
//! the requested faults into its responses.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use cowslipport_lib::time::TimeMs;
use cowslipport_standin::clock::Clock;
use cowslipport_standin::history::RunCounts;
use cowslipport_standin::recorder::Reporter;
use cowslipport_standin::serve::Handle;
use cowslipport_standin::upstream_model::Admission;
use cowslipport_standin::upstream_model::ResponseFault;
use cowslipport_standin::upstream_model::UpstreamFaults;
use cowslipport_standin::upstream_model::UpstreamModel;
use cowslipport_standin::upstream_model::UpstreamSettings;
use cowslipport_standin::upstream_server;
use cowslipport_standin::upstream_server::UpstreamMessage;

const BODY: &str = "POST /book k1\nseat 4";

async fn start_upstream(faults: UpstreamFaults) -> Handle<UpstreamMessage> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = UpstreamSettings { service_ms: 1, ..UpstreamSettings::default() };
    let start = upstream_server::start(listen, settings, Clock::start(), Reporter::default());
    let handle = start.await.expect("the instance starts");
    handle
        .mailbox()
        .send(UpstreamMessage::SetFaults(faults))
        .await
        .expect("the instance is running");
    handle
}

/// Sends one request and reads the response until the connection closes or the
/// body has `bytes` bytes.
async fn exchange(handle: &Handle<UpstreamMessage>, bytes: usize) -> String {
    let mut stream =
        TcpStream::connect(handle.address()).await.expect("the instance accepts connections");
    let request = "POST /book HTTP/1.1\r\nhost: a\r\nidempotency-key: k1\r\n\
                   content-length: 6\r\n\r\nseat 4";
    stream.write_all(request.as_bytes()).await.expect("the instance reads the request");
    let mut response = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        response.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&response).into_owned();
        let body = text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        if count == 0 || body >= bytes {
            return text;
        }
    }
}

async fn run_counts(handle: &Handle<UpstreamMessage>) -> RunCounts {
    let (reply, run_counts) = oneshot::channel();
    handle
        .mailbox()
        .send(UpstreamMessage::RunCounts(reply))
        .await
        .expect("the instance is running");
    run_counts.await.expect("the instance is running").get("k1").copied().unwrap_or_default()
}

fn with_response_fault(response: ResponseFault) -> UpstreamFaults {
    UpstreamFaults { response, faulty_responses: Some(1), ..UpstreamFaults::default() }
}

/// Guards against a repeated run that the counts do not show.
#[actix_rt::test]
async fn runs_are_counted_by_idempotency_key() {
    let handle = start_upstream(UpstreamFaults::default()).await;
    for _ in 0..2 {
        let response = exchange(&handle, BODY.len()).await;
        assert!(response.starts_with("HTTP/1.1 200") && response.ends_with(BODY), "{response}");
    }
    assert_eq!(run_counts(&handle).await, RunCounts { started: 2, finished: 2 });
    handle.shutdown().await;
}

/// Guards against a truncated response that looks complete, and against a fault
/// that truncates the next response too.
#[actix_rt::test]
async fn truncated_response_is_shorter_than_its_length() {
    let handle = start_upstream(with_response_fault(ResponseFault::Truncated)).await;
    let response = exchange(&handle, usize::MAX).await;
    let (head, body) = response.split_once("\r\n\r\n").expect("the head is complete");
    assert!(head.contains(&format!("content-length: {}", BODY.len())), "{head}");
    assert_eq!(body, &BODY[..BODY.len() / 2]);
    assert!(exchange(&handle, BODY.len()).await.ends_with(BODY));
    handle.shutdown().await;
}

/// Guards against a second response that is not sent on the connection.
#[actix_rt::test]
async fn duplicated_response_leaves_extra_bytes() {
    let handle = start_upstream(with_response_fault(ResponseFault::Duplicated)).await;
    let response = exchange(&handle, 2 * BODY.len()).await;
    assert_eq!(response.matches(BODY).count(), 2, "{response}");
    handle.shutdown().await;
}

/// Guards against a response on a connection that must close without one, and
/// against counts that do not distinguish a request that ran from one that did
/// not.
#[actix_rt::test]
async fn closed_connection_has_no_response() {
    let handle = start_upstream(with_response_fault(ResponseFault::CloseBeforeRun)).await;
    assert_eq!(exchange(&handle, 1).await, "");
    assert_eq!(run_counts(&handle).await, RunCounts::default());
    let faults = with_response_fault(ResponseFault::CloseAfterRun);
    handle
        .mailbox()
        .send(UpstreamMessage::SetFaults(faults))
        .await
        .expect("the instance is running");
    assert_eq!(exchange(&handle, 1).await, "");
    assert_eq!(run_counts(&handle).await, RunCounts { started: 1, finished: 1 });
    handle.shutdown().await;
}

/// Guards against an instance that is shutting down and runs the requests that
/// it refuses.
#[actix_rt::test]
async fn instance_that_shuts_down_closes_its_connections() {
    let handle =
        start_upstream(UpstreamFaults { shutting_down: true, ..UpstreamFaults::default() }).await;
    let response = exchange(&handle, usize::MAX).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.to_lowercase().contains("connection: close"), "{response}");
    assert_eq!(run_counts(&handle).await, RunCounts::default());
    handle.shutdown().await;
}

/// Guards against more running requests than there are slots, and against an
/// unbounded queue.
#[test]
fn slots_limit_the_running_requests() {
    let settings = UpstreamSettings { slots: 2, max_waiting: 1, service_ms: 100 };
    let mut model = UpstreamModel::new(settings);
    let accepted = |admission| matches!(admission, Admission::Accepted(_));
    let admitted: Vec<_> = (0..4).map(|now| accepted(model.admit(TimeMs(now), "", None))).collect();
    assert_eq!(admitted, [true, true, true, false]);
    assert_eq!((model.running(), model.refused()), (2, 1));
    model.advance(TimeMs(100));
    assert_eq!(model.running(), 2);
    model.advance(TimeMs(200));
    assert_eq!(model.running(), 0);
}
