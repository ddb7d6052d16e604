//! An upstream instance counts what it runs and breaks its answers as told.

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

async fn started(faults: UpstreamFaults) -> Handle<UpstreamMessage> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = UpstreamSettings { service_ms: 1, ..UpstreamSettings::default() };
    let start = upstream_server::start(listen, settings, Clock::start(), Reporter::default());
    let handle = start.await.expect("it starts");
    handle.mailbox().send(UpstreamMessage::SetFaults(faults)).await.expect("it runs");
    handle
}

/// Sends one request and reads until the connection closes or `bytes` bytes
/// of body are there.
async fn exchange(handle: &Handle<UpstreamMessage>, bytes: usize) -> String {
    let mut stream = TcpStream::connect(handle.address()).await.expect("it accepts");
    let request = "POST /book HTTP/1.1\r\nhost: a\r\nidempotency-key: k1\r\n\
                   content-length: 6\r\n\r\nseat 4";
    stream.write_all(request.as_bytes()).await.expect("it reads");
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        answer.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        let body = text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        if count == 0 || body >= bytes {
            return text;
        }
    }
}

async fn runs(handle: &Handle<UpstreamMessage>) -> RunCounts {
    let (reply, runs) = oneshot::channel();
    handle.mailbox().send(UpstreamMessage::RunCounts(reply)).await.expect("it runs");
    runs.await.expect("it runs").get("k1").copied().unwrap_or_default()
}

fn answering(response: ResponseFault) -> UpstreamFaults {
    UpstreamFaults { response, faulty_responses: Some(1), ..UpstreamFaults::default() }
}

/// Guards against a duplicate run that a test does not see.
#[actix_rt::test]
async fn runs_are_counted_by_key() {
    let handle = started(UpstreamFaults::default()).await;
    for _ in 0..2 {
        let answer = exchange(&handle, BODY.len()).await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(BODY), "{answer}");
    }
    assert_eq!(runs(&handle).await, RunCounts { started: 2, finished: 2 });
    handle.shutdown().await;
}

/// Guards against a cut answer that looks whole, or that cuts the next one.
#[actix_rt::test]
async fn a_cut_answer_is_shorter_than_its_length() {
    let handle = started(answering(ResponseFault::Truncated)).await;
    let answer = exchange(&handle, usize::MAX).await;
    let (head, body) = answer.split_once("\r\n\r\n").expect("the head is whole");
    assert!(head.contains(&format!("content-length: {}", BODY.len())), "{head}");
    assert_eq!(body, &BODY[..BODY.len() / 2]);
    assert!(exchange(&handle, BODY.len()).await.ends_with(BODY));
    handle.shutdown().await;
}

/// Guards against a second answer that does not reach the connection.
#[actix_rt::test]
async fn a_double_answer_leaves_bytes_over() {
    let handle = started(answering(ResponseFault::Duplicated)).await;
    let answer = exchange(&handle, 2 * BODY.len()).await;
    assert_eq!(answer.matches(BODY).count(), 2, "{answer}");
    handle.shutdown().await;
}

/// Guards against a connection that closes with a response, and against a
/// count that does not tell a request that was run from one that was not.
#[actix_rt::test]
async fn a_closed_connection_has_no_answer() {
    let handle = started(answering(ResponseFault::CloseBeforeRun)).await;
    assert_eq!(exchange(&handle, 1).await, "");
    assert_eq!(runs(&handle).await, RunCounts::default());
    let faults = answering(ResponseFault::CloseAfterRun);
    handle.mailbox().send(UpstreamMessage::SetFaults(faults)).await.expect("it runs");
    assert_eq!(exchange(&handle, 1).await, "");
    assert_eq!(runs(&handle).await, RunCounts { started: 1, finished: 1 });
    handle.shutdown().await;
}

/// Guards against a leaving instance that runs what it refuses.
#[actix_rt::test]
async fn a_leaving_instance_closes_its_connections() {
    let handle = started(UpstreamFaults { shutting_down: true, ..UpstreamFaults::default() }).await;
    let answer = exchange(&handle, usize::MAX).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert_eq!(runs(&handle).await, RunCounts::default());
    handle.shutdown().await;
}

/// Guards against more requests at a time than there are slots, and against a
/// queue without an end.
#[test]
fn slots_bound_what_runs() {
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
