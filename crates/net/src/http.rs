//! HTTP/1 listener on the current arbiter with a limit on open connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpService;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use futures_util::FutureExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::connection::Connection;
use crate::connection::ConnectionControl;
use crate::connection::LINGER;
use crate::intake::Intake;
use crate::intake::ListenerKey;
use crate::intake::Release;
use crate::intake::Share;
use crate::receive_buffer::limit_receive_buffer;

/// Number of closed connections whose signals are kept before they are dropped together.
const SPARE_SIGNALS: usize = 64;

/// Bytes of responses to pipelined requests after which no further request is handled until they are written.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;

/// Bytes that the kernel keeps for a connection before its client has to wait.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Interval of the sweeps of a listener's own intake.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Limits of an [`HttpListener`].
#[derive(Debug, Clone, Copy)]
pub struct HttpOptions {
    /// Maximum number of open connections. At the limit, a connection that stands still is closed for a new one. If
    /// there is none, a few more are accepted and marked [`OverLimit`]; any others are closed.
    pub max_connections: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout_ms: u64,
    /// Time for which an idle connection is kept open.
    pub keep_alive_ms: u64,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout_ms: 5_000,
            keep_alive_ms: 60_000,
        }
    }
}

/// Marks a connection above the limit; the handler should reject its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit;

/// Returns whether a request was received on a connection above the limit.
#[must_use]
pub fn is_over_limit(request: &Request) -> bool {
    request.conn_data::<OverLimit>().is_some()
}

#[derive(Debug)]
struct Shared {
    intake: Intake,
    key: ListenerKey,
    stop_accepting: Notify,
    shutting_down: Cell<bool>,
    close_signals: RefCell<Vec<Weak<ConnectionControl>>>,
}

/// A running HTTP listener. It stops accepting connections when dropped.
#[derive(Debug)]
pub struct HttpListener {
    accept_task: actix_rt::task::JoinHandle<()>,
    shared: Rc<Shared>,
}

impl HttpListener {
    /// Accepts connections on `listener` and passes each request to `handler`. Its clients have an [`Intake`] of their
    /// own.
    ///
    /// Must be called on an actix arbiter.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be registered with the runtime.
    pub fn start<F, R>(
        listener: TcpListener,
        options: HttpOptions,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(Request) -> R + Clone + 'static,
        R: Future<Output = Response<BoxBody>> + 'static,
    {
        let intake = Intake::default();
        actix_rt::spawn(intake.clone().run_sweeps(SWEEP_INTERVAL_MS));
        Self::start_bounded(listener, options, &intake, handler)
    }

    /// Like [`Self::start`], with the bound that its clients share with those of other listeners. The caller has the
    /// intake swept.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be registered with the runtime.
    pub fn start_bounded<F, R>(
        listener: TcpListener,
        options: HttpOptions,
        intake: &Intake,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(Request) -> R + Clone + 'static,
        R: Future<Output = Response<BoxBody>> + 'static,
    {
        listener.set_nonblocking(true)?;
        limit_receive_buffer(&listener, RECEIVE_BUFFER_BYTES)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let shared = Rc::new(Shared {
            intake: intake.clone(),
            key: intake.add_listener(options.max_connections, Release::AtOnce),
            stop_accepting: Notify::new(),
            shutting_down: Cell::new(false),
            close_signals: RefCell::default(),
        });
        let accept_loop = accept_loop(listener, options, handler, Rc::clone(&shared));
        Ok(Self {
            accept_task: actix_rt::spawn(accept_loop),
            shared,
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.intake.open_connections(self.shared.key)
    }

    /// Starts a graceful shutdown.
    ///
    /// Connections already in the backlog are still accepted. Open connections close as soon as no request is in
    /// progress on them; responses are written completely.
    pub fn shut_down(&self) {
        self.shared.stop_accepting.notify_one();
        self.shared.shutting_down.set(true);
        for signal in self.shared.close_signals.borrow().iter() {
            if let Some(signal) = signal.upgrade() {
                signal.request();
            }
        }
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.shared.intake.remove_listener(self.shared.key);
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
    let respond = move |request: Request| respond(request, &handler);
    let factory = HttpService::build()
        .keep_alive(Duration::from_millis(options.keep_alive_ms))
        .client_request_timeout(Duration::from_millis(options.head_timeout_ms))
        .client_disconnect_timeout(LINGER)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|connection: &Connection, data| {
            data.insert(Rc::clone(connection.share()));
            if connection.over_limit {
                data.insert(OverLimit);
            }
        })
        .h1(fn_service(respond));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let serve = |stream: TcpStream| {
        let Some((connection, signal)) = admit(stream, &shared) else {
            return;
        };
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            tokio::select! {
                _closed = service.call((connection, None)) => {}
                () = signal.aborted() => {}
            }
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            () = shared.stop_accepting.notified() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _address)) = accepted else {
            // The process is probably out of file descriptors; wait for connections to close.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        serve(stream);
    }
    // Accept the backlog too: callers that connected before the shutdown may have sent a request.
    while let Some(Ok((stream, _address))) = listener.accept().now_or_never() {
        serve(stream);
    }
}

/// Has the handler answer a request, and tells the connection's share how far the request is.
fn respond<F, R>(
    mut request: Request,
    handler: &F,
) -> impl Future<Output = Result<Response<BoxBody>, Infallible>> + use<F, R>
where
    F: Fn(Request) -> R,
    R: Future<Output = Response<BoxBody>>,
{
    let share = connection_share(&request);
    if let Some(share) = &share {
        let has_body = !matches!(request.payload(), Payload::None);
        share.begin_request(has_body);
    }
    let response = handler(request);
    async move {
        let mut response = response.await;
        if let Some(share) = share {
            finish_response(&share, &mut response);
        }
        Ok(response)
    }
}

/// Tells the share of a connection that its request is answered. A response that the process has no memory for ends the
/// connection.
fn finish_response(share: &Share, response: &mut Response<BoxBody>) {
    let size = match response.body().size() {
        BodySize::Sized(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        BodySize::None | BodySize::Stream => 0,
    };
    if share.begin_response() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    if share.answered(size).is_err() {
        share.abort();
    }
}

/// Returns the share of the connection on which a request was received.
pub(crate) fn connection_share(request: &Request) -> Option<Rc<Share>> {
    request.conn_data::<Rc<Share>>().cloned()
}

fn admit(stream: TcpStream, shared: &Rc<Shared>) -> Option<(Connection, Rc<ConnectionControl>)> {
    let _ = stream.set_nodelay(true);
    let signal = Rc::new(ConnectionControl::default());
    let admitted = shared.intake.admit(shared.key, &signal);
    let over_limit = admitted.is_none();
    let share = admitted.or_else(|| shared.intake.admit_rejected(shared.key, &signal))?;
    if shared.shutting_down.get() {
        signal.request();
    }
    let open = shared.intake.open_connections(shared.key);
    let mut close_signals = shared.close_signals.borrow_mut();
    if close_signals.len() >= 2 * open + SPARE_SIGNALS {
        close_signals.retain(|signal| signal.strong_count() > 0);
    }
    close_signals.push(Rc::downgrade(&signal));
    let connection = Connection::new(stream, Rc::clone(&signal), share, over_limit);
    Some((connection, signal))
}
