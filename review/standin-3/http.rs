//! A small HTTP/1.1 server and client over threads.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A request that was read whole.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// What becomes of a request.
pub enum Reply {
    /// It is answered.
    Answer(u16, Vec<u8>),
    /// The channel ends without an answer.
    Reset,
}

impl Reply {
    pub fn json(status: u16, text: String) -> Self {
        Self::Answer(status, text.into_bytes())
    }
}

/// Serves on a listener, with a thread for each channel.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_channel(stream, &*handler));
        }
    });
}

fn serve_channel<F>(stream: TcpStream, handler: &F)
where
    F: Fn(Request) -> Reply,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let mut out = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                out.extend_from_slice(&body);
                if writer.write_all(&out).is_err() {
                    return;
                }
            }
            Reply::Reset => return,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|field| field.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query.map(|(name, value)| (name.to_owned(), unescape(value))).collect(),
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: String = bytes.by_ref().take(2).map(char::from).collect();
        out.extend(u8::from_str_radix(&digits, 16));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call on a channel of its own. Returns the status and the body, or `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let deadline_ms = timeout.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Sycamorespur-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    let mut body = Vec::new();
    match length {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => {
            reader.read_to_end(&mut body).ok()?;
        }
    }
    Some((status, body))
}
