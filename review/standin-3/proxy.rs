//! A proxy between a node and the store that passes no more on than the node's network link.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are passed on at a time, so that the channels of a link share it.
const PART_BYTES: usize = 4 * 1_024;

/// One direction of a link: when it has sent what it was given so far.
type Direction = Arc<Mutex<Instant>>;

/// Starts a proxy to the store. Returns where it listens.
pub fn start(store: SocketAddr, link_mbps: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let up: Direction = Arc::new(Mutex::new(Instant::now()));
    let down: Direction = Arc::new(Mutex::new(Instant::now()));
    std::thread::spawn(move || {
        for node in listener.incoming() {
            let Ok(node) = node else {
                continue;
            };
            let Ok(store) = TcpStream::connect(store) else {
                continue;
            };
            let _ = (node.set_nodelay(true), store.set_nodelay(true));
            let ends = (node.try_clone(), store.try_clone());
            let (Ok(node_end), Ok(store_end)) = ends else {
                continue;
            };
            let (up, down) = (Arc::clone(&up), Arc::clone(&down));
            std::thread::spawn(move || pass(node, store_end, &up, link_mbps));
            std::thread::spawn(move || pass(store, node_end, &down, link_mbps));
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, direction: &Direction, link_mbps: f64) {
    let mut part = [0; PART_BYTES];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 {
            break;
        }
        let transfer = Duration::from_secs_f64(count as f64 * 8.0 / (link_mbps * 1e6));
        let sent_at = {
            let mut busy_until = direction.lock().unwrap();
            *busy_until = (*busy_until).max(Instant::now()) + transfer;
            *busy_until
        };
        std::thread::sleep(sent_at.saturating_duration_since(Instant::now()));
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
