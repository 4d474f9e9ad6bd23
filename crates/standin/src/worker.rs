//! A worker on a loopback port.

mod state;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use state::State;
pub use state::WorkerCounts;
pub use state::WorkerOptions;
use syc_net::HttpListener;
use syc_platform::types::PollRequest;
use syc_platform::types::StartTask;
use syc_platform::types::TaskCommand;
use syc_types::TaskRef;
use tokio::sync::Notify;

use crate::executions::Executions;
use crate::executions::lock;
use crate::reply;

/// A worker on a loopback port.
#[derive(Debug)]
pub struct WorkerStandIn {
    address: String,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    _listener: HttpListener,
    ticking: actix_rt::task::JoinHandle<()>,
}

impl WorkerStandIn {
    /// Starts it on the current arbiter.
    ///
    /// # Errors
    ///
    /// Fails where no socket can be opened.
    pub fn start(options: WorkerOptions, executions: Executions<TaskRef>) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::new(options, executions)));
        let changed = Arc::new(Notify::new());
        let shared = Arc::clone(&state);
        let notify = Arc::clone(&changed);
        let (listener, address) = reply::listen(move |request| {
            answer(Arc::clone(&shared), Arc::clone(&notify), request)
        })?;
        let ticking = actix_rt::spawn(tick(Arc::clone(&state), Arc::clone(&changed)));
        Ok(Self {
            address,
            state,
            changed,
            _listener: listener,
            ticking,
        })
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns what it saw.
    #[must_use]
    pub fn counts(&self) -> WorkerCounts {
        lock(&self.state).counts
    }

    /// Returns the number of tasks that run.
    #[must_use]
    pub fn running(&self) -> usize {
        lock(&self.state).running.len()
    }

    /// Makes it lose its answers to start commands from now on, or give them again.
    pub fn set_losing(&self, losing: bool) {
        lock(&self.state).losing = losing;
    }

    /// Makes its tasks run on past their run time from now on, or end again.
    pub fn set_keeping(&self, keeping: bool) {
        lock(&self.state).keeping = keeping;
    }

    /// Makes it fail every task from now on, or work again.
    pub fn set_fails_all(&self, fails_all: bool) {
        lock(&self.state).options.fails_all = fails_all;
        self.changed.notify_waiters();
    }
}

impl Drop for WorkerStandIn {
    fn drop(&mut self) {
        self.ticking.abort();
    }
}

async fn tick(state: Arc<Mutex<State>>, changed: Arc<Notify>) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        if lock(&state).end_due(Instant::now()) {
            changed.notify_waiters();
        }
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    mut request: Request,
) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let bad = || reply::empty(StatusCode::BAD_REQUEST);
    match path.as_str() {
        "/tasks" => match reply::read::<StartTask>(&mut request).await {
            Some(start) => {
                let response = lock(&state).start(start);
                let losing = lock(&state).losing;
                if losing {
                    return std::future::pending().await;
                }
                response
            }
            None => bad(),
        },
        "/command" => match reply::read::<TaskCommand>(&mut request).await {
            Some(command) => {
                let response = lock(&state).command(&command);
                changed.notify_waiters();
                response
            }
            None => bad(),
        },
        "/poll" => match reply::read::<PollRequest>(&mut request).await {
            Some(poll) => poll_tasks(&state, &changed, &poll).await,
            None => bad(),
        },
        _ => reply::empty(StatusCode::NOT_FOUND),
    }
}

async fn poll_tasks(
    state: &Arc<Mutex<State>>,
    changed: &Arc<Notify>,
    poll: &PollRequest,
) -> Response<BoxBody> {
    let until = Instant::now() + Duration::from_millis(poll.wait_ms);
    if let Some(refused) = lock(state).renew(poll) {
        return refused;
    }
    loop {
        let news = changed.notified();
        let now = Instant::now();
        let reply_now = {
            let state = lock(state);
            state.has_news(poll.seen) || now >= until
        };
        if reply_now {
            return reply::json(StatusCode::OK, &lock(state).report(now, poll.seen));
        }
        let _ = tokio::time::timeout(until - now, news).await;
    }
}
