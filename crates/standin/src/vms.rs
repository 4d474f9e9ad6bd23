//! The VM list, which tells of changes only after a lag.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use smol_str::SmolStr;
use syc_net::HttpListener;
use syc_platform::types::Vm;
use syc_platform::types::VmState;

use crate::executions::lock;
use crate::reply;

#[derive(Debug, Default)]
struct State {
    shown: Vec<Vm>,
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
        let (listener, address) = reply::listen(move |_request| {
            let vms = current(&mut lock(&shared));
            async move { reply::json(StatusCode::OK, &vms) }
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

    /// Changes a VM, or takes it away; the list tells after its lag.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let due = Instant::now() + self.lag;
        let change = (due, SmolStr::new(name), state);
        lock(&self.state).changes.push(change);
    }
}

fn current(state: &mut State) -> Vec<Vm> {
    let now = Instant::now();
    let mut waiting = Vec::new();
    for (due, name, change) in std::mem::take(&mut state.changes) {
        if due > now {
            waiting.push((due, name, change));
            continue;
        }
        state.shown.retain(|vm| vm.name != name);
        if let Some(change) = change {
            let state_of_vm = change;
            state.shown.push(Vm {
                name,
                state: state_of_vm,
            });
        }
    }
    state.changes = waiting;
    state.shown.clone()
}
