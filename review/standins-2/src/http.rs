//! HTTP/1.1 servers and calls with blocking sockets.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A request with its whole body.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or("")
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// A response.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new<B>(status: u16, body: B) -> Self
    where
        B: Into<Vec<u8>>,
    {
        Self { status, body: body.into() }
    }
}

/// Handles a request. Without a response, the connection is closed.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// A server that can be stopped: its port then refuses connections, and its
/// open connections are closed.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on `address` and serves until it is stopped.
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (is_stopped, open) = (Arc::clone(&stopped), Arc::clone(&connections));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let Ok(copy) = stream.try_clone() else { continue };
                        open.lock().unwrap().push(copy);
                        let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
                        thread::spawn(move || serve(stream, &handler, &is_stopped));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(Self { address, stopped, connections })
    }

    /// Stops the server, as the end of its process would.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_stopped: &AtomicBool) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut writer = stream;
    while let Ok(Some(request)) = read_request(&mut reader) {
        let response = handler(&request);
        let Some(response) = response.filter(|_| !is_stopped.load(Ordering::SeqCst)) else { break };
        if write_response(&mut writer, &response).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_line<R>(reader: &mut R) -> io::Result<Option<String>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers<R>(reader: &mut R) -> io::Result<BTreeMap<String, String>>
where
    R: BufRead,
{
    let mut headers = BTreeMap::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(headers)
}

fn read_body<R>(reader: &mut R, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>>
where
    R: Read,
{
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request<R>(reader: &mut R) -> io::Result<Option<Request>>
where
    R: BufRead,
{
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut parts = line.split(' ');
    let (method, target) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method: method.to_owned(), path: path.to_owned(), query, headers, body }))
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match (first, code.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn write_response(writer: &mut TcpStream, response: &Response) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        response.status,
        response.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    writer.write_all(&bytes)
}

/// Makes a call on a new connection, and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?.unwrap_or_default();
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    match status {
        0 => Err(io::Error::other("no response")),
        status => Ok((status, String::from_utf8_lossy(&body).into_owned())),
    }
}
