//! Listener for links of other nodes, whose calls are answered within the process's [`Intake`].

use std::cell::Cell;
use std::future::poll_fn;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::connection::ConnectionControl;
use crate::frame::LENGTH_PREFIX_BYTES;
use crate::frame::codec;
use crate::frame::decode_frame;
use crate::frame::encode_frame;
use crate::intake::Intake;
use crate::intake::ListenerKey;
use crate::intake::Phase;
use crate::intake::Refusal;
use crate::intake::Release;
use crate::link_load::LinkLoad;
use crate::link_load::PendingCall;
use crate::receive_buffer::limit_receive_buffer;

/// Bytes that the kernel keeps for a link before its peer has to wait. Nodes send each other states of megabytes.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Counts received calls whose replies have not been passed to the operating system yet.
#[derive(Debug, Clone, Default)]
pub struct UnsentReplies(Rc<Cell<usize>>);

impl UnsentReplies {
    /// Returns the number of unsent replies; a planned stop waits until it is zero.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.get()
    }

    fn track(&self) -> UnsentReply {
        self.0.set(self.0.get() + 1);
        UnsentReply(Rc::clone(&self.0))
    }
}

/// Guard that counts one reply as unsent until it is sent or its link is lost.
#[derive(Debug)]
struct UnsentReply(Rc<Cell<usize>>);

impl Drop for UnsentReply {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts links on `listener`, at most `max_links`, and replies to each call with the result of `handler`, until the
/// future is dropped.
///
/// `unsent` counts the received calls whose replies have not been sent.
///
/// # Errors
///
/// Fails if the listener can't be registered with the runtime.
pub async fn serve_peers<F, R>(
    listener: TcpListener,
    max_links: usize,
    intake: Intake,
    unsent: UnsentReplies,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Bytes) -> R + Clone + 'static,
    R: Future<Output = Bytes> + 'static,
{
    listener.set_nonblocking(true)?;
    limit_receive_buffer(&listener, RECEIVE_BUFFER_BYTES)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let registration = Registration {
        key: intake.add_listener(max_links, Release::OnClose),
        intake,
    };
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let signal = Rc::new(ConnectionControl::default());
        let Some(share) = registration.intake.admit(registration.key, &signal) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let link = Rc::new(LinkLoad::new(share));
        let served = serve_link(stream, link, unsent.clone(), handler.clone());
        actix_rt::spawn(async move {
            tokio::select! {
                () = served => {}
                () = signal.refused() => {}
            }
        });
    }
}

/// Registers a listener with an intake until it is dropped.
#[derive(Debug)]
struct Registration {
    intake: Intake,
    key: ListenerKey,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.intake.remove_listener(self.key);
    }
}

/// Frames of a link, as far as the process has memory for them.
#[derive(Debug)]
struct BoundedCodec {
    inner: LengthDelimitedCodec,
    load: Rc<LinkLoad>,
    seen_bytes: usize,
}

impl Decoder for BoundedCodec {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> std::io::Result<Option<BytesMut>> {
        if src.len() > self.seen_bytes {
            // The prefix is no longer there once the size is known.
            let frame_bytes = match self.load.known_frame_bytes() {
                0 => src.first_chunk().map_or(0, |prefix| announced(*prefix)),
                known_bytes => known_bytes,
            };
            if !self.load.receive(frame_bytes) {
                self.load.share.refuse(Refusal::Memory);
                return Err(std::io::ErrorKind::OutOfMemory.into());
            }
        }
        let frame = self.inner.decode(src)?;
        self.seen_bytes = src.len();
        if frame.is_some() {
            self.seen_bytes = 0;
            self.load.received();
        }
        Ok(frame)
    }
}

/// Returns the size of a frame with this length prefix.
const fn announced(prefix: [u8; LENGTH_PREFIX_BYTES]) -> usize {
    u32::from_be_bytes(prefix) as usize
}

impl Encoder<Bytes> for BoundedCodec {
    type Error = std::io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> std::io::Result<()> {
        self.inner.encode(item, dst)
    }
}

type Link = Framed<TcpStream, BoundedCodec>;

/// A reply that was not sent, and what is counted until it is.
struct QueuedReply {
    frame: Bytes,
    _call: PendingCall,
    _unsent: UnsentReply,
}

async fn serve_link<F, R>(stream: TcpStream, load: Rc<LinkLoad>, unsent: UnsentReplies, handler: F)
where
    F: Fn(Bytes) -> R + Clone + 'static,
    R: Future<Output = Bytes> + 'static,
{
    let codec = BoundedCodec {
        inner: codec(),
        load: Rc::clone(&load),
        seen_bytes: 0,
    };
    let (sink, mut source) = Framed::new(stream, codec).split();
    let (replies, outgoing) = mpsc::unbounded_channel::<QueuedReply>();
    let writing = send_replies(sink, outgoing, &load);
    let reading = async {
        loop {
            load.wait_for_place().await;
            let Some(Ok(received)) = source.next().await else {
                break;
            };
            let Some((id, payload)) = decode_frame(received) else {
                break;
            };
            let replies = replies.clone();
            let unsent_reply = unsent.track();
            let mut call = PendingCall::new(&load, payload.len());
            let response = handler(payload);
            actix_rt::spawn(async move {
                let frame = encode_frame(id, &response.await);
                call.set_bytes(frame.len());
                let reply = QueuedReply {
                    frame,
                    _call: call,
                    _unsent: unsent_reply,
                };
                let _ = replies.send(reply);
            });
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
}

/// Sends replies until the peer has not read any for too long.
async fn send_replies(
    mut sink: SplitSink<Link, Bytes>,
    mut outgoing: mpsc::UnboundedReceiver<QueuedReply>,
    load: &LinkLoad,
) {
    let limit = Duration::from_millis(load.share.options().write_timeout_ms);
    while let Some(reply) = outgoing.recv().await {
        let mut sending = std::pin::pin!(sink.send(reply.frame.clone()));
        // A timer is needed only if the peer does not take the reply at once.
        let sent = match poll_fn(|cx| Poll::Ready(sending.as_mut().poll(cx))).await {
            Poll::Ready(sent) => Ok(sent),
            Poll::Pending => {
                load.share.set_phase(Phase::Blocked);
                tokio::time::timeout(limit, &mut sending).await
            }
        };
        match sent {
            Ok(Ok(())) => load.update_phase(),
            Ok(Err(_)) => return,
            Err(_elapsed) => {
                load.share.refuse(Refusal::TooSlow);
                return;
            }
        }
    }
}
