//! The log service: append, read from an offset, retention, outage, answers lost after the write.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use syc_net::HttpListener;
use syc_platform::types::Appended;
use syc_platform::types::LogEntry;
use syc_platform::types::LogPage;

use crate::executions::lock;
use crate::reply;

/// What the log does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogFaults {
    /// It refuses everything.
    pub outage: bool,
    /// It takes appends and then drops the connection instead of answering; so many times.
    pub lose_answers: u32,
    /// It takes appends and then cuts the connection within the answer; so many times.
    pub cut_answers: u32,
    /// It refuses to answer appends and takes them only after `late_ms`; so many times.
    pub late_writes: u32,
    /// How late such a write takes effect.
    pub late_ms: u64,
    /// It takes this long for each answer.
    pub delay_ms: u64,
    /// It keeps at most this many entries; 0 for all.
    pub retained_entries: usize,
}

#[derive(Debug, Default)]
struct State {
    entries: VecDeque<LogEntry>,
    end: u64,
    appends: u64,
    reads: u64,
    refused: u64,
    faults: LogFaults,
}

/// A log service on a loopback port.
#[derive(Debug)]
pub struct LogStandIn {
    address: String,
    state: Arc<Mutex<State>>,
    _listener: HttpListener,
}

impl LogStandIn {
    /// Starts it on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails where no socket can be opened.
    pub fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let began = Instant::now();
        let (listener, address) =
            reply::listen(move |request| answer(Arc::clone(&shared), began, request))?;
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

    /// Changes what it does wrong from now on.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut state = lock(&self.state);
        state.faults = faults;
        trim(&mut state);
    }

    /// Returns the number of entries that were ever taken.
    #[must_use]
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Returns the entries that it keeps, in order.
    #[must_use]
    pub fn entries(&self) -> Vec<LogEntry> {
        lock(&self.state).entries.iter().cloned().collect()
    }

    /// Returns the number of calls that were refused in an outage.
    #[must_use]
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }

    /// Returns the number of reads that were answered.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.state).reads
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    began: Instant,
    mut request: Request,
) -> Response<BoxBody> {
    let faults = lock(&state).faults;
    if faults.delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
        lock(&state).refused += 1;
        return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if request.method() == Method::POST {
        let Some(body) = reply::body(&mut request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        return append_or_fail(state, began, body);
    }
    read(&state, request.uri().query().unwrap_or_default())
}

fn append_or_fail(state: Arc<Mutex<State>>, began: Instant, body: Bytes) -> Response<BoxBody> {
    let faults = {
        let mut state = lock(&state);
        let faults = state.faults;
        let left = &mut state.faults;
        if faults.late_writes > 0 {
            left.late_writes -= 1;
        } else if faults.cut_answers > 0 {
            left.cut_answers -= 1;
        }
        faults
    };
    if faults.late_writes > 0 {
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(faults.late_ms)).await;
            append(&state, began, &body);
        });
        return reply::empty(StatusCode::GATEWAY_TIMEOUT);
    }
    let answer = append(&state, began, &body);
    if faults.cut_answers > 0 {
        return reply::cut();
    }
    answer
}

fn append(state: &Arc<Mutex<State>>, began: Instant, body: &Bytes) -> Response<BoxBody> {
    let mut state = lock(state);
    let offset = state.end;
    let at_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    state.entries.push_back(LogEntry {
        offset,
        at_ms,
        data: STANDARD.encode(body),
    });
    state.end += 1;
    state.appends += 1;
    trim(&mut state);
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        // The client sees an answer without an offset: as good as none.
        return reply::empty(StatusCode::GATEWAY_TIMEOUT);
    }
    reply::json(StatusCode::OK, &Appended { offset })
}

fn trim(state: &mut State) {
    let keep = state.faults.retained_entries;
    while keep > 0 && state.entries.len() > keep {
        state.entries.pop_front();
    }
}

fn read(state: &Arc<Mutex<State>>, query: &str) -> Response<BoxBody> {
    let mut from = 0;
    let mut max = 100;
    for part in query.split('&') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        let Ok(value) = value.parse::<u64>() else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        match name {
            "from" => from = value,
            "max" => max = value,
            _ => {}
        }
    }
    let mut state = lock(state);
    state.reads += 1;
    let oldest = state
        .entries
        .front()
        .map_or(state.end, |entry| entry.offset);
    let wanted = state.entries.iter().filter(|entry| entry.offset >= from);
    let count = usize::try_from(max).unwrap_or(usize::MAX);
    let page = LogPage {
        entries: wanted.take(count).cloned().collect(),
        end: state.end,
        oldest,
    };
    reply::json(StatusCode::OK, &page)
}
