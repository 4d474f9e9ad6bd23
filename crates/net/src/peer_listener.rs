//! Listener for links of other nodes, whose calls are answered within the process's [`Intake`].

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::connection::CloseSignal;
use crate::frame::LENGTH_PREFIX_BYTES;
use crate::frame::codec;
use crate::frame::decode_frame;
use crate::frame::encode_frame;
use crate::intake::Intake;
use crate::intake::ListenerKey;
use crate::intake::Phase;
use crate::intake::Refusal;
use crate::intake::Release;
use crate::intake::Share;
use crate::receive_buffer::limit_receive_buffer;

/// Most calls of one link that are handled at a time. Further ones wait in the kernel.
const MAX_CALLS: usize = 1_024;

/// Memory that handling a call takes beside its payload.
const CALL_BYTES: usize = 4 * 1024;

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
    limit_receive_buffer(&listener)?;
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
        let signal = Rc::new(CloseSignal::default());
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

/// What a link makes the process hold.
#[derive(Debug)]
struct LinkLoad {
    share: Rc<Share>,
    /// The frame that is being received.
    frame_bytes: Cell<usize>,
    /// When its first byte was seen.
    frame_began: Cell<Option<Instant>>,
    /// Calls that are being handled, and replies that were not sent.
    calls_bytes: Cell<usize>,
    calls: Cell<usize>,
    call_ended: Notify,
}

impl LinkLoad {
    fn new(share: Rc<Share>) -> Self {
        Self {
            share,
            frame_bytes: Cell::new(0),
            frame_began: Cell::new(None),
            calls_bytes: Cell::new(0),
            calls: Cell::new(0),
            call_ended: Notify::new(),
        }
    }

    /// Notes that bytes of a frame have arrived. Returns whether the process has memory for it.
    fn receive(&self, frame_bytes: usize) -> bool {
        self.share.set_phase(Phase::Receiving);
        let began = self.frame_began.get().unwrap_or_else(Instant::now);
        self.frame_began.set(Some(began));
        self.frame_bytes.set(frame_bytes);
        self.update()
    }

    /// Returns for how long a frame has been incomplete.
    fn receiving_time(&self) -> Duration {
        let began = self.frame_began.get();
        began.map_or(Duration::ZERO, |began| began.elapsed())
    }

    fn received(&self) {
        self.frame_bytes.set(0);
        self.frame_began.set(None);
        let _has_memory = self.update();
        self.update_phase();
    }

    fn update_phase(&self) {
        let is_idle = self.calls.get() == 0;
        self.share.set_phase(if is_idle {
            Phase::Idle
        } else {
            Phase::Handling
        });
    }

    /// Returns whether the process has memory for what the link holds.
    fn update(&self) -> bool {
        let held_bytes = self.frame_bytes.get() + self.calls_bytes.get();
        self.share.hold(held_bytes).is_ok()
    }

    /// Waits until another call may be handled.
    async fn wait_for_place(&self) {
        while self.calls.get() >= MAX_CALLS {
            self.call_ended.notified().await;
        }
    }
}

/// Guard that counts a call until its reply is sent.
#[derive(Debug)]
struct PendingCall {
    load: Rc<LinkLoad>,
    bytes: usize,
}

impl PendingCall {
    fn new(load: &Rc<LinkLoad>, payload_bytes: usize) -> Self {
        let mut call = Self {
            load: Rc::clone(load),
            bytes: 0,
        };
        load.calls.set(load.calls.get() + 1);
        call.set_bytes(CALL_BYTES + payload_bytes);
        load.update_phase();
        call
    }

    /// Sets what the call takes. There is always memory for what is already there.
    fn set_bytes(&mut self, bytes: usize) {
        let others = self.load.calls_bytes.get() - self.bytes;
        self.bytes = bytes;
        self.load.calls_bytes.set(others + bytes);
        let _has_memory = self.load.update();
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.set_bytes(0);
        self.load.calls.set(self.load.calls.get() - 1);
        self.load.update_phase();
        self.load.call_ended.notify_one();
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
            let frame_bytes = match self.load.frame_bytes.get() {
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
        while let Some(received) = next_frame(&mut source, &load).await {
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

/// Returns the next frame; `None` if there is none, or it takes too long to arrive.
async fn next_frame(source: &mut SplitStream<Link>, load: &LinkLoad) -> Option<BytesMut> {
    load.wait_for_place().await;
    let limit = Duration::from_millis(load.share.options().receive_timeout_ms);
    loop {
        let received = tokio::time::timeout(limit, source.next()).await;
        match received {
            Ok(frame) => return frame?.ok(),
            Err(_elapsed) if load.receiving_time() >= limit => {
                load.share.refuse(Refusal::TooSlow);
                return None;
            }
            // A link may be idle for any time.
            Err(_elapsed) => {}
        }
    }
}

/// Sends replies until the peer has not read any for too long.
async fn send_replies(
    mut sink: SplitSink<Link, Bytes>,
    mut outgoing: mpsc::UnboundedReceiver<QueuedReply>,
    load: &LinkLoad,
) {
    let options = load.share.options();
    let patience = Duration::from_millis(options.stall_ms);
    let limit = Duration::from_millis(options.write_timeout_ms);
    while let Some(reply) = outgoing.recv().await {
        let mut sending = std::pin::pin!(sink.send(reply.frame.clone()));
        let mut sent = tokio::time::timeout(patience, &mut sending).await;
        if sent.is_err() {
            load.share.set_phase(Phase::Blocked);
            sent = tokio::time::timeout(limit, &mut sending).await;
        }
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
