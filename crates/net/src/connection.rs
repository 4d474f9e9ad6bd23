//! A caller's connection that can be told to end once nothing on it is in progress.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// A connection that is to end does so after this long without a byte: what its caller had sent by then may
/// not have been noticed yet, and a connection that is closed over it is reset. A caller gets this time once,
/// so that one that sends its next request at once does not go on.
const QUIET: Duration = Duration::from_millis(20);

/// What is shared between a connection and its listener.
#[derive(Debug, Default)]
pub(crate) struct Ending {
    asked: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Ending {
    /// Asks the connection to end when it is idle.
    pub(crate) fn ask(&self) {
        self.asked.set(true);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}

/// A connection; once asked to end, it reads as ended when no request is in progress and none comes for a moment.
///
/// A request is in progress from its first byte to the first byte of its response. What is left
/// of the response then is written before the connection closes.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    ending: Rc<Ending>,
    in_progress: bool,
    /// When it ends, unless a request comes.
    ends_at: Option<Pin<Box<Sleep>>>,
    /// Whether that time was given, and a request came in it.
    waited: bool,
    /// Whether it is one more than the listener's bound.
    pub(crate) surplus: bool,
}

impl Connection {
    /// Wraps a connection that was just accepted.
    pub(crate) const fn new(stream: TcpStream, ending: Rc<Ending>, surplus: bool) -> Self {
        Self {
            stream,
            ending,
            in_progress: false,
            ends_at: None,
            waited: false,
            surplus,
        }
    }

    /// Says whether it has been quiet for long enough to end; else has its reader woken when it has.
    fn poll_quiet(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waited {
            return Poll::Ready(());
        }
        let begin = || Box::pin(tokio::time::sleep(QUIET));
        let ends_at = self.ends_at.get_or_insert_with(begin);
        ends_at.as_mut().poll(cx)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(outcome) => {
                self.in_progress |= buf.filled().len() > before;
                self.waited |= self.ends_at.take().is_some();
                Poll::Ready(outcome)
            }
            Poll::Pending if self.ending.asked.get() && !self.in_progress => {
                self.poll_quiet(cx).map(Ok)
            }
            Poll::Pending => {
                let waker = cx.waker().clone();
                *self.ending.reader.borrow_mut() = Some(waker);
                Poll::Pending
            }
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
        // The end is only seen by reading, and an answer alone brings no read: a connection that was busy
        // when it was asked went on, and a planned stop cut what came on it later.
        if self.ending.asked.get() {
            self.ending.wake_reader();
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
