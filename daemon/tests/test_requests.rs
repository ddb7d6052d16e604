//! End-to-end tests of requests with upstreams and callers that fail.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use cowslipport_daemon::app::Daemon;
use cowslipport_standin::log_server;
use cowslipport_standin::log_server::LogMessage;
use cowslipport_standin::log_store::LogLimits;
use cowslipport_standin::serve::Handle;
use support::KEY;
use support::MANIFEST;
use support::call;
use support::commit;
use support::start_with_upstreams;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Responses of the scripted upstream by path. It closes the connection after
/// each response.
const SCRIPT: [(&str, &str); 7] = [
    ("/whole", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"),
    ("/chunked", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    ("/cut-length", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello"),
    ("/cut-chunked", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"),
    ("/no-length", "HTTP/1.1 200 OK\r\n\r\nhello"),
    ("/redirect", "HTTP/1.1 307 T\r\nlocation: /whole\r\ncontent-length: 0\r\n\r\n"),
    ("/leaving", "HTTP/1.1 503 S\r\nconnection: close\r\ncontent-length: 3\r\n\r\nbye"),
];

/// Starts an upstream that responds as in [`SCRIPT`], or closes the connection
/// without a response for other paths. Returns the request lines that it reads.
async fn scripted_upstream() -> (String, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is free");
    let address = listener.local_addr().expect("bound").to_string();
    let (seen, requests) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            actix_rt::spawn(async move {
                let mut head = vec![0; 4096];
                let read = stream.read(&mut head).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&head[..read]).into_owned();
                let line = head.lines().next().unwrap_or_default().to_owned();
                let path = line.split(' ').nth(1).unwrap_or_default();
                let answer = SCRIPT.iter().find(|(known, _)| *known == path);
                let _ = stream.write_all(answer.map_or("", |(_, answer)| answer).as_bytes()).await;
                let _ = seen.send(line);
            });
        }
    });
    (address, requests)
}

/// An address that refuses connections.
async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is free");
    listener.local_addr().expect("bound").to_string()
}

/// Starts one process with a log of its own and one VM for each upstream.
async fn start(upstreams: &[String]) -> (Daemon, Handle<LogMessage>) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    let log = log_server::start(any, LogLimits::default(), 1).await.expect("the log starts");
    let daemon = start_with_upstreams(log.address(), upstreams).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    commit(&daemon, 0, MANIFEST).await;
    wait_until(Duration::from_secs(10), "requests are routed", || async {
        let (status, body) = call(&daemon, Method::GET, "/pools/booking/whole", KEY, "").await;
        status == 200 || body.contains("connect_failed")
    })
    .await;
    (daemon, log)
}

/// Sends bytes and reads until the connection closes or `limit_ms` has passed.
async fn raw_call(daemon: &Daemon, bytes: &str, limit_ms: u64) -> String {
    let mut stream =
        TcpStream::connect(daemon.addresses().callers).await.expect("the process listens");
    stream.write_all(bytes.as_bytes()).await.expect("the process reads");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_millis(limit_ms), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} /pools/booking{path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         {more}\r\n"
    )
}

/// Guards against a truncated response that reaches the caller as a complete
/// one, and against a complete response that is not passed on unchanged.
#[actix_rt::test]
async fn truncated_response_is_never_passed_on_as_complete() {
    let (upstream, _requests) = scripted_upstream().await;
    let (daemon, _log) = start(&[upstream]).await;
    for (path, is_complete) in
        [("/whole", true), ("/chunked", true), ("/cut-length", false), ("/cut-chunked", false)]
    {
        let raw = raw_call(&daemon, &head("GET", path, "connection: close\r\n"), 2000).await;
        let ends = raw.ends_with("\r\n\r\nhello") && raw.contains("content-length: 5")
            || raw.ends_with("5\r\nhello\r\n0\r\n\r\n");
        assert_eq!(ends, is_complete, "{path}: {raw}");
    }
    let answer = raw_call(&daemon, &head("GET", "/redirect", "connection: close\r\n"), 2000).await;
    assert!(answer.starts_with("HTTP/1.1 307 "), "{answer}");
    let (status, body) = call(&daemon, Method::POST, "/pools/booking/no-length", KEY, "x").await;
    assert_eq!(status, 502, "{body}");
}

/// Guards against retrying a request that is not repeatable after its
/// connection broke, and against the answer "not run" for it. A repeatable
/// request is retried.
#[actix_rt::test]
async fn broken_exchange_is_retried_only_if_repeatable() {
    let (upstream, mut requests) = scripted_upstream().await;
    let (daemon, _log) = start(&[upstream]).await;
    while requests.try_recv().is_ok() {}
    let (status, body) = call(&daemon, Method::POST, "/pools/booking/close", KEY, "x").await;
    let unknown = r#"{"not_run":false,"outcome":"unknown","reason":"upstream_failed"}"#;
    assert_eq!((status, body.as_str()), (502, unknown));
    assert_eq!(requests.try_recv().expect("the request was sent"), "POST /close HTTP/1.1");
    assert!(requests.try_recv().is_err(), "the request was sent once");
    let (status, body) = call(&daemon, Method::GET, "/pools/booking/close", KEY, "").await;
    assert_eq!((status, body.as_str()), (502, unknown));
    let mut tries = 0;
    while requests.try_recv().is_ok() {
        tries += 1;
    }
    assert!((2..=4).contains(&tries), "{tries} tries");
}

/// Guards against a request that fails because one instance refuses connections
/// while another one accepts them, and against the answer "unknown" for a
/// request that was not sent.
#[actix_rt::test]
async fn refused_connection_is_not_run_and_tries_another_instance() {
    let (upstream, mut requests) = scripted_upstream().await;
    let (daemon, _log) = start(&[closed_address().await, upstream]).await;
    while requests.try_recv().is_ok() {}
    for _ in 0..10 {
        let (status, body) = call(&daemon, Method::POST, "/pools/booking/whole", KEY, "x").await;
        assert_eq!((status, body.as_str()), (200, "hello"));
        tokio::time::sleep(Duration::from_millis(120)).await;
    }
    let (alone, _log) = start(&[closed_address().await]).await;
    let (status, body) = call(&alone, Method::POST, "/pools/booking/whole", KEY, "x").await;
    assert_eq!(status, 503);
    assert!(body.contains(r#""not_run":true"#), "{body}");
}

/// Guards against forwarding an incomplete request to an upstream, and against
/// incomplete requests that occupy the four connections of the process for
/// good.
#[actix_rt::test]
async fn incomplete_requests_are_answered_and_leak_no_connection() {
    let (upstream, mut requests) = scripted_upstream().await;
    let (daemon, _log) = start(&[upstream]).await;
    while requests.try_recv().is_ok() {}
    let half_head = "POST /pools/booking/whole HTTP/1.1\r\nhost";
    let half_body = head("POST", "/whole", "content-length: 10\r\n") + "half";
    let too_large = head("POST", "/whole", "content-length: 2000\r\n") + &"x".repeat(2000);
    let second = head("GET", "/whole", "") + "GET /pools/booking/whole HT";
    for _ in 0..3 {
        let answers = futures_util::future::join(
            raw_call(&daemon, half_head, 3000),
            raw_call(&daemon, &half_body, 3000),
        );
        let (half_head, half_body) = answers.await;
        assert!(half_head.starts_with("HTTP/1.1 408 "), "{half_head}");
        assert!(half_body.starts_with("HTTP/1.1 408 "), "{half_body}");
        assert!(half_body.contains(r#""not_run":true"#), "{half_body}");
        let answer = raw_call(&daemon, &too_large, 3000).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        let answer = raw_call(&daemon, "BAD\r\n\r\n", 3000).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        // The caller disconnects after half of the body.
        raw_call(&daemon, &half_body, 1).await;
    }
    assert!(requests.try_recv().is_err(), "no request reached the upstream");
    let second_incomplete =
        futures_util::future::join_all((0..3).map(|_| raw_call(&daemon, &second, 1500)));
    assert!(second_incomplete.await.iter().all(|answer| answer.contains("hello")));
    let (status, _) = call(&daemon, Method::GET, "/pools/booking/whole", KEY, "").await;
    assert_eq!(status, 200);
}

/// Guards against sending requests to an instance that has announced that it is
/// leaving, and against waiting beyond the deadline of the caller.
#[actix_rt::test]
async fn leaving_upstream_gets_no_requests_and_deadlines_hold() {
    let (upstream, mut requests) = scripted_upstream().await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("loopback is free");
    let (daemon, _log) = start(std::slice::from_ref(&upstream)).await;
    let (status, body) = call(&daemon, Method::POST, "/pools/booking/leaving", KEY, "x").await;
    assert_eq!((status, body.as_str()), (503, "bye"));
    while requests.try_recv().is_ok() {}
    let (status, body) = call(&daemon, Method::POST, "/pools/booking/whole", KEY, "x").await;
    assert_eq!(status, 503);
    assert!(body.contains("no_upstream"), "{body}");
    assert!(requests.try_recv().is_err(), "the leaving upstream got no request");
    let address = unresponsive.local_addr().expect("bound").to_string();
    let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
    let log = log_server::start(any, LogLimits::default(), 1).await.expect("the log starts");
    let slow = start_with_upstreams(log.address(), &[address]).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    commit(&slow, 0, MANIFEST).await;
    let request = head("POST", "/x", "x-deadline-ms: 300\r\nconnection: close\r\n");
    wait_until(Duration::from_secs(10), "the deadline ends the wait", || async {
        raw_call(&slow, &request, 3000).await.starts_with("HTTP/1.1 504 ")
    })
    .await;
    let all = futures_util::future::join_all((0..12).map(|_| raw_call(&slow, &request, 5000)));
    let answers = all.await;
    let in_time =
        |answer: &String| answer.contains(" 504 ") || answer.contains(r#""not_run":true"#);
    assert!(answers.iter().all(in_time), "{answers:?}");
    let answer = raw_call(&slow, &request, 3000).await;
    assert!(answer.contains(" 504 "), "a slot was leaked: {answer}");
}
