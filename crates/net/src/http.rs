//! An HTTP/1 listener on the current arbiter, with a bound on open connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use futures_util::FutureExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::connection::Connection;
use crate::connection::Ending;

/// Connections above the bound that are still answered, by a refusal.
const SURPLUS_CONNECTIONS: usize = 64;

/// Bounds of an [`HttpListener`].
#[derive(Debug, Clone, Copy)]
pub struct HttpOptions {
    /// Most connections that may be open; some further ones are [`Surplus`], the rest is closed.
    pub connections: usize,
    /// Time that a sender has for the head of its request.
    pub head_timeout_ms: u64,
    /// Time that an idle connection is kept.
    pub keep_alive_ms: u64,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_timeout_ms: 5_000,
            keep_alive_ms: 60_000,
        }
    }
}

/// Marks the requests of a connection above the bound; they should be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Surplus;

/// Says whether a request came on a connection above the bound.
#[must_use]
pub fn is_surplus(request: &Request) -> bool {
    request.conn_data::<Surplus>().is_some()
}

#[derive(Debug, Default)]
struct Shared {
    open: Cell<usize>,
    stop: Notify,
    ending: Cell<bool>,
    connections: RefCell<Vec<Weak<Ending>>>,
}

/// A listener that is accepting connections; dropping it stops the accepting.
#[derive(Debug)]
pub struct HttpListener {
    accepting: actix_rt::task::JoinHandle<()>,
    shared: Rc<Shared>,
}

impl HttpListener {
    /// Accepts connections on `listener` and answers each request by `handler`.
    ///
    /// Must be called on an actix arbiter.
    ///
    /// # Errors
    ///
    /// Fails where the listener can't be handed to the runtime.
    pub fn start<F, R>(
        listener: TcpListener,
        options: HttpOptions,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(Request) -> R + Clone + 'static,
        R: Future<Output = Response<BoxBody>> + 'static,
    {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let shared = Rc::new(Shared::default());
        let accepting = accept_loop(listener, options, handler, Rc::clone(&shared));
        Ok(Self {
            accepting: actix_rt::spawn(accepting),
            shared,
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.get()
    }

    /// Stops accepting once those that connected before are accepted.
    ///
    /// Connections that are open end as soon as no request on them is in progress, its whole
    /// response included.
    pub fn finish(&self) {
        self.shared.stop.notify_one();
        self.shared.ending.set(true);
        for connection in self.shared.connections.borrow().iter() {
            if let Some(connection) = connection.upgrade() {
                connection.ask();
            }
        }
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept_loop<F, R>(
    listener: tokio::net::TcpListener,
    options: HttpOptions,
    handler: F,
    shared: Rc<Shared>,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let answer = move |request: Request| {
        let answered = handler(request);
        async move { Ok::<_, std::convert::Infallible>(answered.await) }
    };
    let factory = HttpService::build()
        .keep_alive(Duration::from_millis(options.keep_alive_ms))
        .client_request_timeout(Duration::from_millis(options.head_timeout_ms))
        .on_connect_ext(|connection: &Connection, data| {
            if connection.surplus {
                data.insert(Surplus);
            }
        })
        .h1(fn_service(answer));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let begin = |stream: TcpStream| {
        let Some(connection) = admit(stream, options, &shared) else {
            return;
        };
        let open = OpenConnection::new(&shared);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let _closed = service.call((connection, None)).await;
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            () = shared.stop.notified() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _address)) = accepted else {
            // Out of descriptors: let some connections end first.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        begin(stream);
    }
    // Who connected before the end of accepting may have sent a request.
    while let Some(Ok((stream, _address))) = listener.accept().now_or_never() {
        begin(stream);
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<Shared>);

impl OpenConnection {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open.set(shared.open.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

fn admit(stream: TcpStream, options: HttpOptions, shared: &Rc<Shared>) -> Option<Connection> {
    let open = shared.open.get();
    if open >= options.connections + SURPLUS_CONNECTIONS {
        return None;
    }
    let _ = stream.set_nodelay(true);
    let ending = Rc::new(Ending::default());
    if shared.ending.get() {
        ending.ask();
    }
    let mut connections = shared.connections.borrow_mut();
    if connections.len() >= 2 * open + SURPLUS_CONNECTIONS {
        connections.retain(|connection| connection.strong_count() > 0);
    }
    connections.push(Rc::downgrade(&ending));
    Some(Connection::new(stream, ending, open >= options.connections))
}
