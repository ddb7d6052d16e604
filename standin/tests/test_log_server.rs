//! Tests of the log service over gRPC.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::time::Duration;
use tokio::time::Instant;
use tonic::Code;

use cowslipport_lib::protos::platform::AppendRequest;
use cowslipport_lib::protos::platform::ReadRequest;
use cowslipport_lib::protos::platform::log_client::LogClient;
use cowslipport_standin::log_server;
use cowslipport_standin::log_server::LogMessage;
use cowslipport_standin::log_store::LogFaults;
use cowslipport_standin::log_store::LogLimits;
use cowslipport_standin::serve::Handle;

async fn start_log() -> (Handle<LogMessage>, LogClient<tonic::transport::Channel>) {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handle = log_server::start(listen, LogLimits::default(), 1).await.expect("the log starts");
    let client = LogClient::connect(format!("http://{}", handle.address()));
    (handle, client.await.expect("the log accepts connections"))
}

fn record(byte: u8) -> AppendRequest {
    AppendRequest { stream: "control".to_owned(), record: vec![byte; 60] }
}

fn read(from_offset: u64, wait_ms: u32) -> ReadRequest {
    ReadRequest { stream: "control".to_owned(), from_offset, max_records: 30, wait_ms }
}

/// Guards against a long poll that does not return when a record is appended.
#[actix_rt::test]
async fn append_ends_a_long_poll() {
    let (handle, client) = start_log().await;
    let (mut reader, mut writer) = (client.clone(), client);
    let poll = actix_rt::spawn(async move { reader.read(read(0, 60_000)).await });
    let appended = writer.append(record(7)).await.expect("the log is up").into_inner();
    let page = poll.await.expect("the long poll ends").expect("the log is up").into_inner();
    assert_eq!((appended.offset, page.next_offset, page.records[0].record[0]), (0, 1, 7));
    handle.shutdown().await;
}

/// Guards against a lost reply that the writer can distinguish from an outage,
/// and against a shutdown that waits for long polls.
#[actix_rt::test]
async fn append_with_lost_reply_is_written_and_fails_like_an_outage() {
    let (handle, mut client) = start_log().await;
    let faults = LogFaults { lost_replies: 1, ..LogFaults::default() };
    handle.mailbox().send(LogMessage::SetFaults(faults)).await.expect("the log is running");
    let lost = client.append(record(1)).await.expect_err("the reply is lost");
    assert_eq!(lost.code(), Code::Unavailable);
    let page = client.read(read(0, 0)).await.expect("the log is up").into_inner();
    assert_eq!(page.records.len(), 1);
    let poll = actix_rt::spawn(async move { client.read(read(1, 60_000)).await });
    handle.shutdown().await;
    let failed = poll.await.expect("the long poll ends").expect_err("the log has stopped");
    assert_eq!(failed.code(), Code::Unavailable);
}

/// Guards against a server without `TCP_NODELAY`: each longer reply would wait
/// 40 ms for a delayed acknowledgement. The bound is half of that, for the median: a sum
/// would count the time for which the machine stands still.
#[actix_rt::test]
async fn replies_do_not_wait_for_acknowledgements() {
    let (handle, mut client) = start_log().await;
    for byte in 0..30 {
        client.append(record(byte)).await.expect("the log is up");
    }
    let mut durations = Vec::new();
    for _ in 0..50 {
        let start = Instant::now();
        client.read(read(0, 0)).await.expect("the log is up");
        durations.push(start.elapsed());
    }
    durations.sort();
    assert!(durations[25] < Duration::from_millis(20), "{durations:?}");
    handle.shutdown().await;
}
