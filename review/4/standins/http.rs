//! HTTP/1.1 as far as the stand-ins need it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Closes the channel without an answer.
pub const NO_REPLY: Reply = Reply { status: 0, body: Vec::new() };

pub fn reply(status: u16, body: String) -> Reply {
    Reply { status, body: body.into_bytes() }
}

pub fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), decode(v)))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for channel in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = channel.set_nodelay(true);
                let Ok(mut output) = channel.try_clone() else { return };
                let mut input = BufReader::new(channel);
                while let Some(request) = read_request(&mut input) {
                    let reply = answer(request);
                    if reply.status == 0 {
                        return;
                    }
                    let mut out = format!(
                        "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        reply.status,
                        reply.body.len()
                    )
                    .into_bytes();
                    out.extend_from_slice(&reply.body);
                    if output.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

pub fn listen(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

/// Calls a node as a client. `None` if there is no answer in time.
pub fn call(address: SocketAddr, method: &str, path: &str, host: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let mut channel = TcpStream::connect_timeout(&address, limit).ok()?;
    channel.set_read_timeout(Some(limit)).ok()?;
    let _ = channel.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nSycamorespur-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    channel.write_all(head.as_bytes()).ok()?;
    let mut input = BufReader::new(channel);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(text) = line.strip_prefix("content-length:") {
            length = text.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

