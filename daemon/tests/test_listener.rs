//! Tests of what a caller receives whose connection closes after an answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use cowslipport_daemon::listener;
use cowslipport_daemon::listener::ListenLimits;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const QUERY: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/// Queries of the first caller, which take longer than its turn.
const QUERIES: usize = 200;
/// More than the sockets take, so that part of each answer waits in the process.
const ANSWER_BYTES: usize = 8_000_000;
const ANSWER_TIME: Duration = Duration::from_millis(100);
const LIMIT: Duration = Duration::from_secs(20);

/// Serves one connection at a time with answers of this size.
async fn start(answer_bytes: usize) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("loopback is free");
    let address = socket.local_addr().expect("bound");
    let limits = ListenLimits { max_connections: 1, ..ListenLimits::default() };
    let answer = move |mut request: Request| async move {
        let body = listener::read_body(request.take_payload(), 1_000).await;
        sleep(ANSWER_TIME).await;
        match body {
            Ok(_) => Response::with_body(StatusCode::OK, BoxBody::new(vec![b'a'; answer_bytes])),
            Err(_) => Response::bad_request().map_body(|_, body| BoxBody::new(body)),
        }
    };
    actix_rt::spawn(listener::serve(socket, limits, Logger::root(Discard, o!()), answer));
    address
}

/// Sends a request and reads until the connection closes.
async fn exchange(address: SocketAddr, request: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("the listener accepts");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut answers = Vec::new();
    let read = stream.read_to_end(&mut answers);
    timeout(LIMIT, read).await.expect("the connection closes").expect("no reset");
    answers
}

/// Heads of the answers. Fails if one of them is not whole.
fn heads(mut answers: &[u8]) -> Vec<String> {
    let mut heads = Vec::new();
    while !answers.is_empty() {
        let end = answers.windows(4).position(|window| window == b"\r\n\r\n").expect("a head");
        let head = String::from_utf8_lossy(&answers[..end]).to_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let length: usize = length.and_then(|length| length.parse().ok()).expect("a length");
        let rest = &answers[end + 4..];
        assert!(length <= rest.len(), "{} of {length} bytes after {head}", rest.len());
        answers = &rest[length..];
        heads.push(head);
    }
    heads
}

/// A caller with requests in a row leaves its only place to another one. Its last answer
/// must come whole, and tell that the requests behind it are not carried out.
#[actix_rt::test]
async fn caller_that_leaves_gets_its_last_answer() {
    let address = start(ANSWER_BYTES).await;
    let first = actix_rt::spawn(exchange(address, Box::leak(QUERY.repeat(QUERIES).into())));
    sleep(ANSWER_TIME).await;
    let query = QUERY.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    let second = heads(&exchange(address, &query).await);
    assert_eq!(second.len(), 1, "{second:?}");
    let first = heads(&first.await.expect("the caller ends"));
    assert!((1..QUERIES).contains(&first.len()), "{} answers", first.len());
    let closing = first.iter().filter(|head| head.contains("connection: close")).count();
    assert_eq!(closing, 1, "{first:?}");
    assert!(first.last().is_some_and(|head| head.contains("connection: close")), "{first:?}");
}

/// A request that states two lengths of its body must not hide another request in it.
#[actix_rt::test]
async fn request_with_two_lengths_is_the_last_one() {
    let address = start(1).await;
    let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\
                   Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        .to_owned();
    let answers = exchange(address, &(request + QUERY)).await;
    assert_eq!(heads(&answers).len(), 1, "{}", String::from_utf8_lossy(&answers));
}
