//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// Status and body of an answer; `None` as the answer closes the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

pub fn json(status: u16, value: serde_json::Value) -> Answer {
    Some((status, value.to_string().into_bytes()))
}

/// Open connections of a server, so that they can be reset together.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    pub fn close_all(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests at a new loopback address for as long as the process lives.
pub fn serve<H>(handler: H) -> (SocketAddr, Connections)
where
    H: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connections = Connections::default();
    let opened = connections.clone();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                opened.0.lock().unwrap().push(copy);
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                serve_connection(&stream, &*handler);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    (address, connections)
}

fn serve_connection<H>(stream: &TcpStream, handler: &H)
where
    H: Fn(Request) -> Answer,
{
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut stream = stream;
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_head<R>(reader: &mut R) -> Option<(String, Vec<(String, String)>)>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Some((first.trim_end().to_owned(), headers))
}

fn read_body<R>(reader: &mut R, headers: &[(String, String)]) -> Option<Vec<u8>>
where
    R: BufRead,
{
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request<R>(reader: &mut R) -> Option<Request>
where
    R: BufRead,
{
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect();
    let body = read_body(reader, &headers)?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode_percent(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digit = part.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match digit {
            Some(byte) => {
                bytes.push(byte);
                bytes.extend_from_slice(&part.as_bytes()[2..]);
            }
            None => {
                bytes.push(b'%');
                bytes.extend_from_slice(part.as_bytes());
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a new connection; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, serde_json::Value)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += "Connection: close\r\n\r\n";
    request += body;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null)))
}
