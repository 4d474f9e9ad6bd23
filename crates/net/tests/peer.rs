//! Peer links: what is counted as unsent, and what is certain of a call without a reply.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use syc_net::CallError;
use syc_net::PeerClient;
use syc_net::PeerOptions;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use tokio::sync::Notify;

/// Time that a call may take; no test lasts that long.
const TIMEOUT_MS: u64 = 30_000;

#[actix_rt::test]
async fn a_reply_is_unsent_from_its_call_until_it_has_left() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    let unsent = UnsentReplies::default();
    let called = Rc::new(Notify::new());
    let release = Rc::new(Notify::new());
    let seen = (Rc::clone(&called), Rc::clone(&release));
    let serving = serve_peers(listener, unsent.clone(), move |payload: Bytes| {
        let (called, release) = (Rc::clone(&seen.0), Rc::clone(&seen.1));
        async move {
            called.notify_one();
            release.notified().await;
            payload
        }
    });
    actix_rt::spawn(serving);
    let client = Rc::new(PeerClient::new(address, PeerOptions::default()));
    let caller = Rc::clone(&client);
    let call = actix_rt::spawn(async move { caller.call(b"hello", TIMEOUT_MS).await });
    called.notified().await;
    assert_eq!(unsent.count(), 1);
    release.notify_one();
    let reply = call.await.expect("task").expect("reply");
    assert_eq!(reply, "hello");
    while unsent.count() > 0 {
        actix_rt::task::yield_now().await;
    }
}

#[actix_rt::test]
async fn a_call_to_nobody_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("socket");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let client = PeerClient::new(address, PeerOptions::default());
    let outcome = client.call(b"hello", TIMEOUT_MS).await;
    assert_eq!(outcome, Err(CallError::NotSent));
}

#[actix_rt::test]
async fn a_call_whose_link_is_cut_may_have_arrived() {
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
