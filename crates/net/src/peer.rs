//! Calls between daemons, multiplexed over one link by length-delimited frames with a correlation id.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

use crate::frame::FRAME_OVERHEAD_BYTES;
use crate::frame::codec;
use crate::frame::decode_frame;
use crate::frame::encode_frame;

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
