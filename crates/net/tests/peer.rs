//! Peer links: unsent replies, and errors of calls without a reply.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use syc_net::CallError;
use syc_net::Intake;
use syc_net::PeerClient;
use syc_net::PeerOptions;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use tokio::sync::Notify;

/// Timeout of a call, longer than any test takes.
const TIMEOUT_MS: u64 = 30_000;

#[actix_rt::test]
async fn reply_counts_as_unsent_until_it_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    let unsent = UnsentReplies::default();
    let received = Rc::new(Notify::new());
    let release = Rc::new(Notify::new());
    let signals = (Rc::clone(&received), Rc::clone(&release));
    let handler = move |payload: Bytes| {
        let (received, release) = (Rc::clone(&signals.0), Rc::clone(&signals.1));
        async move {
            received.notify_one();
            release.notified().await;
            payload
        }
    };
    let serving = serve_peers(listener, 8, Intake::default(), unsent.clone(), handler);
    actix_rt::spawn(serving);
    let client = Rc::new(PeerClient::new(address, PeerOptions::default()));
    let caller = Rc::clone(&client);
    let call = actix_rt::spawn(async move { caller.call(b"hello", TIMEOUT_MS).await });
    received.notified().await;
    assert_eq!(unsent.count(), 1);
    release.notify_one();
    let reply = call.await.expect("task").expect("reply");
    assert_eq!(reply, "hello");
    while unsent.count() > 0 {
        actix_rt::task::yield_now().await;
    }
}

#[actix_rt::test]
async fn call_without_a_listening_peer_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let client = PeerClient::new(address, PeerOptions::default());
    let outcome = client.call(b"hello", TIMEOUT_MS).await;
    assert_eq!(outcome, Err(CallError::NotSent));
}

#[actix_rt::test]
async fn call_on_a_lost_link_has_no_reply() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    let cut = Rc::new(Cell::new(false));
    let done = Rc::clone(&cut);
    listener.set_nonblocking(true).expect("socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("socket");
    actix_rt::spawn(async move {
        let (stream, _address) = listener.accept().await.expect("link");
        stream.readable().await.expect("a call");
        drop(stream);
        done.set(true);
    });
    let client = PeerClient::new(address, PeerOptions::default());
    let outcome = client.call(b"hello", TIMEOUT_MS).await;
    assert_eq!(outcome, Err(CallError::NoReply));
    assert!(cut.get());
}

/// Calls that begin together must share one connection: a scheduler that relays calls through hundreds of nodes would
/// otherwise open one for each call.
#[actix_rt::test]
async fn concurrent_first_calls_open_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    listener.set_nonblocking(true).expect("socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("socket");
    let client = Rc::new(PeerClient::new(address, PeerOptions::default()));
    for _ in 0..8 {
        let client = Rc::clone(&client);
        actix_rt::spawn(async move { client.call(b"hello", TIMEOUT_MS).await });
    }
    let (first, _address) = listener.accept().await.expect("link");
    let mut received = 0;
    while received < 8 * (syc_net::FRAME_OVERHEAD_BYTES + 5) {
        first.readable().await.expect("frames");
        let mut buffer = [0; 1_024];
        received += first.try_read(&mut buffer).unwrap_or(0);
    }
    let second = tokio::time::timeout(std::time::Duration::ZERO, listener.accept()).await;
    assert!(second.is_err(), "a second connection was opened");
}
