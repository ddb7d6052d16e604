//! Fake of the daemon's job API for callers on loopback.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread::JoinHandle;

/// Fake that serves one connection with one canned response.
pub(crate) struct FakeCallerApi {
    /// Address on which the fake listens.
    pub(crate) address: String,
    thread: JoinHandle<String>,
}

impl FakeCallerApi {
    /// Starts a fake that sends `response` and closes the connection. If
    /// `response` is empty, the fake closes the connection without a response
    /// once it has read the request.
    pub(crate) fn start(response: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind on loopback");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let thread = std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("the tool connects");
            serve_request(stream, &response)
        });
        Self { address, thread }
    }

    /// Returns the request line, the authorization header and the body of the
    /// request that the fake received.
    pub(crate) fn request(self) -> String {
        self.thread.join().expect("the fake does not panic")
    }
}

/// Formats an HTTP response with a JSON body.
pub(crate) fn json(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n{headers}\r\n{body}"
    )
}

fn serve_request(mut stream: TcpStream, response: &str) -> String {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream can be shared"));
    let mut request = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("the head is text");
        let lower = line.to_ascii_lowercase();
        if request.is_empty() || lower.starts_with("authorization:") {
            request.push_str(&line.replace("\r\n", "\n"));
        }
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("the length is a number");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body is complete");
    request.push_str(&String::from_utf8(body).expect("the body is UTF-8"));
    stream.write_all(response.as_bytes()).expect("the tool reads the response");
    request
}
