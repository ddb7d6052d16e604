//! A small HTTP/1.1 server and client with one thread for each connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What a server does with a request.
pub enum Reply {
    Response(u16, Vec<u8>),
    /// No response, on a connection that stays open.
    Silence,
    /// No response; the connection is closed.
    Close,
}

pub fn json(status: u16, body: String) -> Reply {
    Reply::Response(status, body.into_bytes())
}

/// A server. `C` is what it knows of a connection from its opening on.
pub trait Server<C>: Send + Sync + 'static {
    fn opened(&self) -> C;
    fn answer(&self, connection: &C, request: &Request) -> Reply;
}

/// Serves on the address until the process ends.
pub fn serve<S, C>(listener: TcpListener, server: Arc<S>)
where
    S: Server<C>,
    C: Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let server = Arc::clone(&server);
            let connection = server.opened();
            thread::spawn(move || {
                let _ = run_connection(stream, &*server, &connection);
            });
        }
    });
}

fn run_connection<S, C>(stream: TcpStream, server: &S, connection: &C) -> std::io::Result<()>
where
    S: Server<C>,
{
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        match server.answer(connection, &request) {
            Reply::Response(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                output.write_all(&bytes)?;
            }
            Reply::Silence => {
                // Reads and discards what follows until the peer closes.
                let mut buffer = [0; 4096];
                while input.read(&mut buffer)? > 0 {}
                return Ok(());
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_line(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (*first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            (byte, _) => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_request(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let Some(first) = read_line(input)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let mut headers = Vec::new();
    loop {
        let Some(line) = read_line(input)? else { return Ok(None) };
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut request = Request { method, path: path.to_owned(), query, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    input.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Sends one request on a new connection. Returns `None` without a response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    output.write_all(text.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let first = read_line(&mut input).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let line = read_line(&mut input).ok()??;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
