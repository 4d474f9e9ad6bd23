//! A client's connection, which holds no more than its share of the process's memory and ends in time.

use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::body_blocks::BodyBlocks;
use crate::head_scanner::HeadScanner;
use crate::intake::Phase;
use crate::intake::Refusal;
use crate::intake::Share;

/// Idle time after which a connection closes once closing was requested.
///
/// Bytes that the caller has already sent may not have been read yet, and closing a socket with unread bytes resets the
/// connection. The grace period is granted once per connection, since a caller that sends request after request would
/// otherwise keep the connection open.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

/// Time for which a connection is still read after a response to a request of which not all was read, so that the client can read the response and is not reset.
pub(crate) const LINGER: Duration = Duration::from_secs(1);

/// What a connection shares with its listener, with the process's intake, which may refuse it, and with the reader of its
/// body.
#[derive(Debug, Default)]
pub(crate) struct ConnectionControl {
    requested: Cell<bool>,
    refusal: Cell<Option<Refusal>>,
    /// The body of the request in progress, as far as it has arrived.
    body: RefCell<BodyBlocks>,
    refused: Notify,
    aborted: Notify,
    reader: RefCell<Option<Waker>>,
    is_reading_paused: Cell<bool>,
}

impl ConnectionControl {
    /// Requests that the connection close once it is idle.
    pub(crate) fn request(&self) {
        self.requested.set(true);
        self.wake_reader();
    }

    /// Refuses the request in progress, and the connection. The memory of a body is free at once: the connection's task
    /// may run only after those of many others.
    pub(crate) fn refuse(&self, refusal: Refusal) {
        self.refusal.set(Some(refusal));
        self.body.take();
        self.refused.notify_one();
        self.wake_reader();
    }

    /// Waits until the connection is refused.
    pub(crate) async fn refused(&self) {
        self.refused.notified().await;
    }

    pub(crate) fn body(&self) -> RefMut<'_, BodyBlocks> {
        self.body.borrow_mut()
    }

    pub(crate) fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
    }

    /// Ends the connection at once, whatever it is doing.
    pub(crate) fn abort(&self) {
        self.aborted.notify_one();
    }

    /// Waits until the connection is to end at once.
    pub(crate) async fn aborted(&self) {
        self.aborted.notified().await;
    }

    /// Has the connection read on, if it paused.
    pub(crate) fn resume_reading(&self) {
        if self.is_reading_paused.take() {
            self.wake_reader();
        }
    }

    fn wait(&self, cx: &Context<'_>) {
        *self.reader.borrow_mut() = Some(cx.waker().clone());
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}

/// A timer that is set when it is first needed.
#[derive(Debug, Default)]
struct LazyTimer(Option<Pin<Box<Sleep>>>);

impl LazyTimer {
    /// Completes this long after it was first polled since it was cleared.
    fn poll(&mut self, cx: &mut Context<'_>, time: Duration) -> Poll<()> {
        let start = || Box::pin(tokio::time::sleep(time));
        self.0.get_or_insert_with(start).as_mut().poll(cx)
    }

    fn clear(&mut self) {
        self.0 = None;
    }

    const fn is_set(&self) -> bool {
        self.0.is_some()
    }
}

/// Whether any of the bytes that were read was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Passed {
    /// Some were, or the stream has ended.
    Some,
    /// All would complete another request.
    HeldBack,
}

/// A connection that reports end of file to its reader after a close request, once no request is in progress and none
/// has arrived for [`CLOSE_GRACE`].
///
/// A request is in progress from its first byte until the first byte of its response is written. The rest of the
/// response is still written before the connection closes.
///
/// It passes on as many bytes at a time as its [`Share`] allows, and pauses reading while a response is awaited or not
/// read. A refused connection reports end of file too, or is read for [`LINGER`] after a response that says so.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: Take<TcpStream>,
    close_signal: Rc<ConnectionControl>,
    share: Rc<Share>,
    in_progress: bool,
    /// Timer of the grace period while it runs.
    grace_timer: LazyTimer,
    /// Whether the grace period was started and then interrupted by received data.
    grace_used: bool,
    /// Bytes passed on since the reader last had to wait.
    passed_bytes: usize,
    /// Heads that ended in them.
    passed_heads: usize,
    /// Finds the ends of heads in what is passed on.
    head_scanner: HeadScanner,
    /// Bytes that were read and not passed on: they would complete another request.
    ahead: BytesMut,
    /// Runs while the client does not read its response.
    write_timer: LazyTimer,
    /// Runs after a refusal.
    linger_timer: LazyTimer,
    /// Whether the connection exceeds the listener's limit.
    pub(crate) over_limit: bool,
}

impl Connection {
    /// Wraps a newly accepted stream.
    pub(crate) fn new(
        stream: TcpStream,
        close_signal: Rc<ConnectionControl>,
        share: Rc<Share>,
        over_limit: bool,
    ) -> Self {
        Self {
            stream: stream.take(0),
            close_signal,
            share,
            in_progress: false,
            grace_timer: LazyTimer::default(),
            grace_used: false,
            passed_bytes: 0,
            passed_heads: 0,
            head_scanner: HeadScanner::default(),
            ahead: BytesMut::new(),
            write_timer: LazyTimer::default(),
            linger_timer: LazyTimer::default(),
            over_limit,
        }
    }

    pub(crate) const fn share(&self) -> &Rc<Share> {
        &self.share
    }

    /// Completes when the grace period is over, or at once if it has been used up.
    fn poll_grace(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.grace_used {
            return Poll::Ready(());
        }
        self.grace_timer.poll(cx, CLOSE_GRACE)
    }

    /// Reads up to a number of bytes, and passes on those of one request. None may be left: they are passed on later.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit_bytes: usize,
    ) -> Poll<io::Result<Passed>> {
        let before = buf.filled().len();
        ready!(self.poll_fill(cx, buf, limit_bytes))?;
        self.grace_used |= self.grace_timer.is_set();
        self.grace_timer.clear();
        let received_bytes = buf.filled().len() - before;
        let bytes = match self.share.heads_at_a_time() {
            Some(heads) => self.hold_back(buf, before, heads),
            None => received_bytes,
        };
        self.passed_bytes += bytes;
        self.in_progress |= bytes > 0;
        if bytes > 0 {
            self.share.received(bytes);
        }
        Poll::Ready(Ok(if bytes == 0 && received_bytes > 0 {
            Passed::HeldBack
        } else {
            Passed::Some
        }))
    }

    /// Takes bytes that were held back, or reads from the stream.
    fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit_bytes: usize,
    ) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            let limit = u64::try_from(limit_bytes).unwrap_or(u64::MAX);
            self.stream.set_limit(limit);
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let bytes = limit_bytes.min(self.ahead.len()).min(buf.remaining());
        buf.put_slice(&self.ahead.split_to(bytes));
        Poll::Ready(Ok(()))
    }

    /// Takes back what would complete more heads than allowed. Returns the bytes that are left.
    fn hold_back(&mut self, buf: &mut ReadBuf<'_>, before: usize, heads: usize) -> usize {
        let heads = heads.saturating_sub(self.passed_heads);
        let received = buf.filled().get(before..).unwrap_or_default();
        let (bytes, ended) = self.head_scanner.scan(received, heads);
        self.passed_heads += ended;
        let excess = received.get(bytes..).unwrap_or_default();
        if !excess.is_empty() {
            let mut ahead = BytesMut::with_capacity(excess.len() + self.ahead.len());
            ahead.extend_from_slice(excess);
            ahead.extend_from_slice(&self.ahead);
            self.ahead = ahead;
        }
        buf.set_filled(before + bytes);
        bytes
    }

    /// Waits for the reader to deal with what it was given, before it gets more.
    fn pause_for_reader(&mut self, cx: &Context<'_>) -> Poll<io::Result<()>> {
        self.passed_bytes = 0;
        self.passed_heads = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Decides what happens while the client sends nothing.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.passed_bytes = 0;
        self.passed_heads = 0;
        if self.close_signal.requested.get() && !self.in_progress {
            return self.poll_grace(cx).map(Ok);
        }
        self.close_signal.wait(cx);
        Poll::Pending
    }

    /// Waits until the next request may be passed on.
    fn poll_held_back(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.share.phase() == Phase::Handling {
            self.close_signal.is_reading_paused.set(true);
            return self.poll_silence(cx);
        }
        self.pause_for_reader(cx)
    }

    /// Decides what becomes of a connection that is closing: whether it reports end of file, or is read for a while.
    fn poll_closing(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.share.is_lingering() {
            return self.linger_timer.poll(cx, LINGER);
        }
        if self.share.awaits_refusal_answer() {
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.share.phase() == Phase::Closing && self.poll_closing(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let Some(window_bytes) = self.share.window() else {
            self.close_signal.is_reading_paused.set(true);
            return self.poll_silence(cx);
        };
        if self.passed_bytes >= window_bytes {
            return self.pause_for_reader(cx);
        }
        let limit_bytes = window_bytes - self.passed_bytes;
        match self.poll_read_part(cx, buf, limit_bytes) {
            Poll::Ready(Ok(Passed::Some)) => Poll::Ready(Ok(())),
            Poll::Ready(Ok(Passed::HeldBack)) => self.poll_held_back(cx),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_silence(cx),
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.in_progress = false;
        // Only a read can report end of file, and writing a response does not trigger one. Without this wake-up, a
        // connection that is busy when closing is requested stays open, and a planned stop cuts off later requests.
        if self.close_signal.requested.get() {
            self.close_signal.wake_reader();
        }
        match Pin::new(self.stream.get_mut()).poll_write(cx, buf) {
            Poll::Ready(Ok(bytes)) => {
                self.write_timer.clear();
                self.share.write_progressed(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.share.write_blocked();
                let limit = Duration::from_millis(self.share.options().write_timeout_ms);
                if self.write_timer.poll(cx, limit).is_pending() {
                    return Poll::Pending;
                }
                self.share.refuse(Refusal::TooSlow);
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
