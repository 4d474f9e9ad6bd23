//! An HTTP/1 listener on the current arbiter, with a bound on open connections.

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;

/// Bounds of an [`HttpListener`].
#[derive(Debug, Clone, Copy)]
pub struct HttpOptions {
    /// Most connections that may be open; further ones are closed at once.
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

/// A listener that is accepting connections; dropping it stops the accepting.
#[derive(Debug)]
pub struct HttpListener {
    accepting: actix_rt::task::JoinHandle<()>,
    open: Rc<Cell<usize>>,
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
        let open = Rc::new(Cell::new(0));
        let accepting = actix_rt::spawn(accept_loop(listener, options, handler, Rc::clone(&open)));
        Ok(Self { accepting, open })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting; connections that are open stay so.
    pub fn stop_accepting(&self) {
        self.accepting.abort();
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.stop_accepting();
    }
}

async fn accept_loop<F, R>(
    listener: tokio::net::TcpListener,
    options: HttpOptions,
    handler: F,
    open: Rc<Cell<usize>>,
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
        .h1(fn_service(answer))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            // Out of descriptors: let some connections end first.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= options.connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let _closed = service.call(stream).await;
            open.set(open.get() - 1);
        });
    }
}
