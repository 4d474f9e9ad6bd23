//! A service endpoint with slots: it works on a request for a time and answers it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::body::SizedStream;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use syc_net::HttpListener;
use syc_platform::types::NOT_RUN_DRAINING;
use syc_platform::types::NOT_RUN_HEADER;
use syc_platform::types::REQUEST_ID_HEADER;

use crate::executions::Executions;
use crate::executions::lock;
use crate::reply;

/// What an endpoint is like.
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// Requests that it works on at once; it refuses further ones.
    pub slots: u32,
    /// Time that it works on a request whose path is not listed.
    pub work_ms: u64,
    /// Time that it works on a request, by path.
    pub work_ms_by_path: HashMap<String, u64>,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            slots: 8,
            work_ms: 5,
            work_ms_by_path: HashMap::new(),
        }
    }
}

/// What an endpoint does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// Nothing.
    #[default]
    None,
    /// It answers that it failed, without working.
    Fail,
    /// It works, and never answers.
    Hang,
    /// It works, and its answer breaks off in the middle.
    Cut,
    /// It works, and closes the connection instead of answering.
    Lose,
}

/// What an endpoint saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused because all slots were taken.
    pub overruns: u64,
    /// Requests refused because it is leaving.
    pub refused_draining: u64,
}

#[derive(Debug, Default)]
struct State {
    counts: EndpointCounts,
    draining: bool,
    fault: EndpointFault,
}

/// An endpoint on a loopback port.
#[derive(Debug)]
pub struct EndpointStandIn {
    address: String,
    state: Arc<Mutex<State>>,
    _listener: HttpListener,
}

impl EndpointStandIn {
    /// Starts it on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails where no socket can be opened.
    pub fn start(
        options: EndpointOptions,
        executions: Executions<String>,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let options = Arc::new(options);
        let (listener, address) = reply::listen(move |request| {
            let shared = Arc::clone(&shared);
            let options = Arc::clone(&options);
            answer(shared, options, executions.clone(), request)
        })?;
        Ok(Self {
            address,
            state,
            _listener: listener,
        })
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Makes it refuse new requests, or take them again.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.state).draining = draining;
    }

    /// Makes it do something wrong from now on.
    pub fn set_fault(&self, fault: EndpointFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns what it saw.
    #[must_use]
    pub fn counts(&self) -> EndpointCounts {
        lock(&self.state).counts
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    options: Arc<EndpointOptions>,
    executions: Executions<String>,
    mut request: Request,
) -> Response<BoxBody> {
    let id = request.headers().get(REQUEST_ID_HEADER);
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    let path = request.path().trim_start_matches('/').to_owned();
    let Some(body) = reply::body(&mut request).await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    if let Some(reason) = refusal(&state, options.slots) {
        let mut response = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(
            HeaderName::from_static(NOT_RUN_HEADER),
            HeaderValue::from_static(reason),
        );
        return response;
    }
    let fault = lock(&state).fault;
    if fault == EndpointFault::Fail {
        lock(&state).counts.in_progress -= 1;
        return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    executions.begin(id.clone());
    let listed = options.work_ms_by_path.get(&path).copied();
    let work_ms = listed.unwrap_or(options.work_ms);
    if work_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(work_ms)).await;
    }
    executions.end(&id);
    if fault == EndpointFault::Hang {
        return std::future::pending().await;
    }
    count_answer(&state);
    let mut whole = format!("{id}:").into_bytes();
    whole.extend_from_slice(&body);
    match fault {
        EndpointFault::Cut => broken(&whole, whole.len() / 2),
        EndpointFault::Lose => broken(&whole, 0),
        _ => Response::with_body(StatusCode::OK, BoxBody::new(whole)),
    }
}

fn count_answer(state: &Arc<Mutex<State>>) {
    let mut state = lock(state);
    state.counts.in_progress -= 1;
    state.counts.answered += 1;
}

/// An answer that breaks off after `sent` bytes.
fn broken(whole: &[u8], sent: usize) -> Response<BoxBody> {
    let part = Ok(Bytes::copy_from_slice(&whole[..sent]));
    let end = Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
    let parts = futures_util::stream::iter([part, end]);
    let length_bytes = u64::try_from(whole.len()).unwrap_or(u64::MAX);
    let body = SizedStream::new(length_bytes, parts);
    Response::with_body(StatusCode::OK, BoxBody::new(body))
}

fn refusal(state: &Arc<Mutex<State>>, slots: u32) -> Option<&'static str> {
    let mut state = lock(state);
    if state.draining {
        state.counts.refused_draining += 1;
        return Some(NOT_RUN_DRAINING);
    }
    if state.counts.in_progress >= slots {
        state.counts.overruns += 1;
        return Some("busy");
    }
    state.counts.in_progress += 1;
    None
}
