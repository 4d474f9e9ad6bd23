//! The VM list, which tells of changes only after a lag.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use actix_http::header::HeaderValue;
use smol_str::SmolStr;
use syc_net::HttpListener;
use syc_platform::types::Vm;
use syc_platform::types::VmState;

use crate::executions::lock;
use crate::reply;

#[derive(Debug, Default)]
struct State {
    shown: Vec<Vm>,
    version: u64,
    whole_answers: u64,
    changes: Vec<(Instant, SmolStr, Option<VmState>)>,
}

/// A VM list on a loopback port.
#[derive(Debug)]
pub struct VmListStandIn {
    address: String,
    lag: Duration,
    state: Arc<Mutex<State>>,
    _listener: HttpListener,
}

impl VmListStandIn {
    /// Starts it on the current arbiter with VMs that are there from the start.
    ///
    /// # Errors
    ///
    /// Fails where no socket can be opened.
    pub fn start<I>(live: I, lag_ms: u64) -> std::io::Result<Self>
    where
        I: IntoIterator<Item = SmolStr>,
    {
        let mut first = State::default();
        for name in live {
            let state = VmState::Live;
            first.shown.push(Vm { name, state });
        }
        let state = Arc::new(Mutex::new(first));
        let shared = Arc::clone(&state);
        let (listener, address) = reply::listen(move |request| {
            let response = answer(&mut lock(&shared), &request);
            async move { response }
        })?;
        Ok(Self {
            address,
            lag: Duration::from_millis(lag_ms),
            state,
            _listener: listener,
        })
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns how often it gave the list, and not only word that nothing had changed.
    #[must_use]
    pub fn whole_answers(&self) -> u64 {
        lock(&self.state).whole_answers
    }

    /// Changes a VM, or takes it away; the list tells after its lag.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let due = Instant::now() + self.lag;
        let change = (due, SmolStr::new(name), state);
        lock(&self.state).changes.push(change);
    }
}

fn answer(state: &mut State, request: &Request) -> Response<BoxBody> {
    apply_due(state);
    let tag = format!("\"{}\"", state.version);
    let known = request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return reply::empty(StatusCode::NOT_MODIFIED);
    }
    state.whole_answers += 1;
    let mut response = reply::json(StatusCode::OK, &state.shown);
    if let Ok(tag) = HeaderValue::try_from(tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

fn apply_due(state: &mut State) {
    let now = Instant::now();
    let mut waiting = Vec::new();
    for (due, name, change) in std::mem::take(&mut state.changes) {
        if due > now {
            waiting.push((due, name, change));
            continue;
        }
        state.version += 1;
        state.shown.retain(|vm| vm.name != name);
        if let Some(change) = change {
            let vm = Vm {
                name,
                state: change,
            };
            state.shown.push(vm);
        }
    }
    state.changes = waiting;
}
