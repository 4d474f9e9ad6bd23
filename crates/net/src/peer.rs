//! Calls between daemons, multiplexed over one link by length-delimited frames with a correlation id.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Size of the correlation id before each payload.
const CORRELATION_ID_BYTES: usize = 8;

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Size of the header before each payload.
pub const FRAME_OVERHEAD_BYTES: usize = CORRELATION_ID_BYTES + LENGTH_PREFIX_BYTES;

/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Limits of a [`PeerClient`].
#[derive(Debug, Clone, Copy)]
pub struct PeerOptions {
    /// Timeout of a connection attempt.
    pub connect_timeout_ms: u64,
    /// Maximum number of frames in the send queue.
    pub max_queued_frames: usize,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            max_queued_frames: 1_024,
        }
    }
}

/// Errors of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The peer can't have received the call.
    #[error("the call was not sent")]
    NotSent,
    /// The peer may have received the call, but no reply arrived in time.
    #[error("no reply was received in time")]
    NoReply,
}

type PendingCalls = Rc<RefCell<HashMap<u64, oneshot::Sender<Bytes>>>>;

#[derive(Debug)]
struct Link {
    outgoing: mpsc::Sender<Bytes>,
    pending: PendingCalls,
}

/// Client of one peer; it opens the link on demand.
#[derive(Debug)]
pub struct PeerClient {
    address: SocketAddr,
    options: PeerOptions,
    link: RefCell<Option<Link>>,
    /// Serializes connection attempts, so that concurrent calls share one connection.
    connecting: Mutex<()>,
    /// Number of connection attempts that failed.
    failed_attempts: Cell<u64>,
    next_id: Cell<u64>,
    transferred_bytes: Rc<Cell<u64>>,
}

impl PeerClient {
    /// Creates a client for the peer at `address` without connecting to it.
    #[must_use]
    pub fn new(address: SocketAddr, options: PeerOptions) -> Self {
        Self {
            address,
            options,
            link: RefCell::new(None),
            connecting: Mutex::new(()),
            failed_attempts: Cell::new(0),
            next_id: Cell::new(1),
            transferred_bytes: Rc::new(Cell::new(0)),
        }
    }

    /// Returns the number of bytes sent and received so far, including frame headers.
    #[must_use]
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.get()
    }

    /// Abandons the open link, so that the next call opens a new one. Calls in progress continue on the old link.
    pub fn reset(&self) {
        self.link.borrow_mut().take();
    }

    /// Waits until the link that is open now closes. Without an open link, it waits forever.
    pub async fn closed(&self) {
        match self.open_link() {
            Some((outgoing, _pending)) => outgoing.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Sends `payload` and waits up to `timeout_ms` for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] only if the peer can't have received the call.
    pub async fn call(&self, payload: &[u8], timeout_ms: u64) -> Result<Bytes, CallError> {
        let (outgoing, pending) = self.connect().await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        pending.borrow_mut().insert(id, sender);
        if outgoing.try_send(encode_frame(id, payload)).is_err() {
            pending.borrow_mut().remove(&id);
            return Err(CallError::NotSent);
        }
        self.add_transferred(payload.len());
        let reply = tokio::time::timeout(Duration::from_millis(timeout_ms), receiver).await;
        pending.borrow_mut().remove(&id);
        match reply {
            Ok(Ok(bytes)) => {
                self.add_transferred(bytes.len());
                Ok(bytes)
            }
            Ok(Err(_)) | Err(_) => Err(CallError::NoReply),
        }
    }

    fn add_transferred(&self, payload_bytes: usize) {
        let frame_bytes = payload_bytes + FRAME_OVERHEAD_BYTES;
        self.transferred_bytes
            .set(self.transferred_bytes.get() + frame_bytes as u64);
    }

    /// Returns the open link, if there is one.
    fn open_link(&self) -> Option<(mpsc::Sender<Bytes>, PendingCalls)> {
        let link = self.link.borrow();
        let link = link.as_ref().filter(|link| !link.outgoing.is_closed())?;
        Some((link.outgoing.clone(), Rc::clone(&link.pending)))
    }

    async fn connect(&self) -> Result<(mpsc::Sender<Bytes>, PendingCalls), CallError> {
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        let failed_before = self.failed_attempts.get();
        let _connecting = self.connecting.lock().await;
        if let Some(link) = self.open_link() {
            return Ok(link);
        }
        if self.failed_attempts.get() != failed_before {
            // Calls that waited for a failed attempt fail with it. If each made its own, the last would wait for the
            // timeouts of all others.
            return Err(CallError::NotSent);
        }
        let limit = Duration::from_millis(self.options.connect_timeout_ms);
        let connected = tokio::time::timeout(limit, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = connected else {
            self.failed_attempts.set(failed_before + 1);
            return Err(CallError::NotSent);
        };
        let _ = stream.set_nodelay(true);
        let (outgoing, frames) = mpsc::channel(self.options.max_queued_frames);
        let pending = PendingCalls::default();
        actix_rt::spawn(run_link(stream, frames, Rc::clone(&pending)));
        *self.link.borrow_mut() = Some(Link {
            outgoing: outgoing.clone(),
            pending: Rc::clone(&pending),
        });
        Ok((outgoing, pending))
    }
}

async fn run_link(stream: TcpStream, mut frames: mpsc::Receiver<Bytes>, pending: PendingCalls) {
    let mut link = Framed::new(stream, codec());
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { break };
                if link.send(frame).await.is_err() {
                    break;
                }
            }
            received = link.next() => {
                let Some(Ok(frame)) = received else { break };
                let Some((id, payload)) = decode_frame(frame) else { break };
                let sender = pending.borrow_mut().remove(&id);
                if let Some(sender) = sender {
                    let _ = sender.send(payload);
                }
            }
        }
    }
    // Dropping the senders fails all pending calls with `CallError::NoReply`.
    frames.close();
    pending.borrow_mut().clear();
}

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

/// Accepts links on `listener` and replies to each call with the result of `handler`, until the future is dropped.
///
/// `unsent` counts the received calls whose replies have not been sent.
///
/// # Errors
///
/// Fails if the listener can't be registered with the runtime.
pub async fn serve_peers<F, R>(
    listener: TcpListener,
    unsent: UnsentReplies,
    handler: F,
) -> std::io::Result<()>
where
    F: Fn(Bytes) -> R + Clone + 'static,
    R: Future<Output = Bytes> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        actix_rt::spawn(serve_link(stream, unsent.clone(), handler.clone()));
    }
}

async fn serve_link<F, R>(stream: TcpStream, unsent: UnsentReplies, handler: F)
where
    F: Fn(Bytes) -> R + Clone + 'static,
    R: Future<Output = Bytes> + 'static,
{
    let (mut sink, mut source) = Framed::new(stream, codec()).split();
    let (replies, mut outgoing) = mpsc::unbounded_channel::<(Bytes, UnsentReply)>();
    let writer = actix_rt::spawn(async move {
        while let Some((reply, unsent_reply)) = outgoing.recv().await {
            if sink.send(reply).await.is_err() {
                break;
            }
            drop(unsent_reply);
        }
    });
    while let Some(Ok(received)) = source.next().await {
        let Some((id, payload)) = decode_frame(received) else {
            break;
        };
        let replies = replies.clone();
        let unsent_reply = unsent.track();
        let response = handler(payload);
        actix_rt::spawn(async move {
            let reply = encode_frame(id, &response.await);
            let _ = replies.send((reply, unsent_reply));
        });
    }
    writer.abort();
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn encode_frame(id: u64, payload: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(CORRELATION_ID_BYTES + payload.len());
    frame.put_u64(id);
    frame.put_slice(payload);
    frame.freeze()
}

fn decode_frame(mut frame: BytesMut) -> Option<(u64, Bytes)> {
    if frame.len() < CORRELATION_ID_BYTES {
        return None;
    }
    let id = frame.get_u64();
    Some((id, frame.freeze()))
}
