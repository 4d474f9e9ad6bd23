//! A caller's connection that can be told to end once nothing on it is in progress.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

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
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}

/// A connection; once asked to end, it reads as ended whenever no request is in progress.
///
/// A request is in progress from its first byte to the first byte of its response. What is left
/// of the response then is written before the connection closes.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    ending: Rc<Ending>,
    in_progress: bool,
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
            surplus,
        }
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
                Poll::Ready(outcome)
            }
            Poll::Pending if self.ending.asked.get() && !self.in_progress => Poll::Ready(Ok(())),
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
