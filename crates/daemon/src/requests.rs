//! Callers' requests: through their home where they may run only once, then to an endpoint.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_platform::EndpointError;
use syc_platform::EndpointPort;
use syc_platform::types::EndpointAnswer;
use syc_platform::types::EndpointCall;
use syc_route::EndpointKey;
use syc_route::Finish;
use syc_route::Kept;
use syc_route::Once;
use syc_route::OnceAnswer;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::Millis;
use syc_types::RequestId;
use syc_types::ServiceName;
use syc_wire::Body;
use syc_wire::DecodeError;
use syc_wire::RunReply;
use syc_wire::RunRequest;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::node::Node;
use crate::node::Services;
use crate::peers;

/// Most endpoints that one request is sent to.
const ATTEMPTS: u32 = 3;

/// When a caller that found no slot may come back.
const BUSY_RETRY_MS: u64 = 200;

/// The request path's state.
#[derive(Debug)]
pub struct Requests {
    /// The endpoints of each service.
    pub services: RefCell<Services>,
    /// Tells waiting requests that a slot may be free.
    pub freed: Notify,
    /// Requests that wait for a slot.
    pub waiting: Cell<usize>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    random: RefCell<SmallRng>,
    once: RefCell<Once<EndpointAnswer>>,
    once_ended: Notify,
}

impl Requests {
    /// Makes an empty state.
    pub fn new(once_window_ms: u64) -> Self {
        Self {
            services: RefCell::default(),
            freed: Notify::new(),
            waiting: Cell::new(0),
            in_progress: Cell::new(0),
            random: RefCell::new(SmallRng::from_os_rng()),
            once: RefCell::new(Once::new(once_window_ms)),
            once_ended: Notify::new(),
        }
    }
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Its id.
    pub id: RequestId,
    /// The service that is asked.
    pub service: ServiceName,
    /// The path below the service.
    pub path: String,
    /// Who asks.
    pub caller: CallerId,
    /// How urgent it is.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// The body.
    pub body: Bytes,
}

type Answer = Result<EndpointAnswer, ErrorBody>;

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress(Rc<Node>);

impl InProgress {
    /// Begins to count.
    pub fn new(node: &Rc<Node>) -> Self {
        let count = &node.requests.in_progress;
        count.set(count.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.requests.in_progress;
        count.set(count.get() - 1);
    }
}

/// Serves a request.
pub async fn serve(node: &Rc<Node>, request: CallerRequest) -> Answer {
    if request.idempotent {
        return run(node, &request).await;
    }
    let home = {
        let view = node.view.borrow();
        let home = view.request_home(request.id);
        home.map(|member| member.id.clone())
    };
    match home {
        Some(home) if home != node.id => forward(node, &home, request).await,
        _ => run_once(node, request).await,
    }
}

async fn forward(node: &Rc<Node>, home: &syc_types::MemberId, request: CallerRequest) -> Answer {
    let remaining_ms = request.deadline.since(node.now());
    let body = Body::RunRequest(RunRequest {
        request_id: request.id.0.as_bytes().to_vec(),
        service: request.service.to_string(),
        path: request.path,
        caller: request.caller.to_string(),
        class: request.class as u32,
        remaining_ms,
        body: request.body,
    });
    match peers::call(node, home, body, remaining_ms).await {
        Ok(Body::RunReply(reply)) => from_reply(reply),
        Ok(_) | Err(syc_net::CallError::NoReply) => Err(ErrorBody::unknown(
            "home_silent",
            "the request's home did not answer",
        )),
        Err(syc_net::CallError::NotSent) => Err(ErrorBody::not_run(
            "home_unreachable",
            "the request's home can't be reached",
            Some(1_000),
        )),
    }
}

/// Runs a request that another member received.
pub async fn run_for_peer(node: &Rc<Node>, run: RunRequest) -> Result<RunReply, DecodeError> {
    let id =
        Uuid::from_slice(&run.request_id).map_err(|_source| DecodeError::field("request_id"))?;
    let class = match run.class {
        0 => Class::Urgent,
        1 => Class::Normal,
        2 => Class::Patient,
        _ => return Err(DecodeError::field("class")),
    };
    let request = CallerRequest {
        id: RequestId(id),
        service: ServiceName::new(run.service),
        path: run.path,
        caller: CallerId::new(run.caller),
        class,
        idempotent: false,
        deadline: node.now().plus(run.remaining_ms),
        body: run.body,
    };
    Ok(to_reply(run_once(node, request).await))
}

fn to_reply(answer: Answer) -> RunReply {
    match answer {
        Ok(answer) => RunReply {
            outcome: 0,
            status: u32::from(answer.status),
            body: answer.body,
            code: String::new(),
            retry_after_ms: 0,
        },
        Err(error) => RunReply {
            outcome: if error.outcome == Outcome::NotRun {
                1
            } else {
                2
            },
            status: 0,
            body: Bytes::from(error.message),
            code: error.code.to_string(),
            retry_after_ms: error.retry_after_ms.unwrap_or(0),
        },
    }
}

fn from_reply(reply: RunReply) -> Answer {
    let text = String::from_utf8_lossy(&reply.body);
    match reply.outcome {
        0 => Ok(EndpointAnswer {
            status: u16::try_from(reply.status).unwrap_or(502),
            body: reply.body,
        }),
        1 => Err(ErrorBody::not_run(
            &reply.code,
            &text,
            Some(reply.retry_after_ms),
        )),
        _ => Err(ErrorBody::unknown(&reply.code, &text)),
    }
}

/// Runs a request at its home, at most once over all its arrivals.
async fn run_once(node: &Rc<Node>, request: CallerRequest) -> Answer {
    loop {
        let ended = node.requests.once_ended.notified();
        let begun = node
            .requests
            .once
            .borrow_mut()
            .begin(request.id, node.now());
        match begun {
            OnceAnswer::Run => break,
            OnceAnswer::Repeat(answer) => return Ok(answer),
            OnceAnswer::Unknown => {
                return Err(ErrorBody::unknown(
                    "outcome_unknown",
                    "an earlier arrival of this request may have run",
                ));
            }
            OnceAnswer::Wait => {
                let left = Duration::from_millis(request.deadline.since(node.now()));
                if tokio::time::timeout(left, ended).await.is_err() {
                    return Err(ErrorBody::unknown(
                        "still_running",
                        "an earlier arrival of this request still runs",
                    ));
                }
            }
        }
    }
    // The run goes on when the caller leaves, so that its outcome is known to a later arrival.
    let node = Rc::clone(node);
    let task = actix_rt::spawn(async move {
        let answer = run(&node, &request).await;
        let kept = match &answer {
            Ok(answer) => Some(Kept::Answered(answer.clone())),
            Err(error) if error.outcome == Outcome::NotRun => None,
            Err(_) => Some(Kept::Unknown),
        };
        let now = node.now();
        let mut once = node.requests.once.borrow_mut();
        once.end(request.id, kept, now);
        once.expire(now);
        node.requests.once_ended.notify_waiters();
        answer
    });
    let outcome = task.await;
    outcome.unwrap_or_else(|_panicked| Err(ErrorBody::unknown("internal", "the run was lost")))
}

async fn run(node: &Rc<Node>, request: &CallerRequest) -> Answer {
    for _attempt in 0..ATTEMPTS {
        let asked_at = node.now();
        let (key, address) = take_slot(node, request).await?;
        let waited_ms = node.now().since(asked_at);
        let metrics = &node.operators.metrics;
        metrics.request_waited(request.class, waited_ms);
        let call = EndpointCall {
            path: request.path.clone(),
            request_id: request.id.to_string(),
            body: request.body.clone(),
            timeout_ms: request.deadline.since(node.now()),
        };
        let sent_at = Instant::now();
        let answer = node.platform.send(&address, call).await;
        let finish = finish_of(&answer, sent_at.elapsed());
        give_slot(node, &request.service, key, finish);
        match answer {
            Ok(answer) => return Ok(answer),
            Err(EndpointError::NotSent(_) | EndpointError::Refused { .. }) => {}
            Err(EndpointError::InDoubt(_)) if request.idempotent => {}
            Err(error) => {
                return Err(ErrorBody::unknown("endpoint_lost", &error.to_string()));
            }
        }
    }
    Err(ErrorBody::not_run(
        "endpoints_refused",
        "no endpoint took the request",
        Some(BUSY_RETRY_MS),
    ))
}

async fn take_slot(
    node: &Rc<Node>,
    request: &CallerRequest,
) -> Result<(EndpointKey, String), ErrorBody> {
    loop {
        let freed = node.requests.freed.notified();
        if let Some(taken) = try_take(node, &request.service)? {
            return Ok(taken);
        }
        let waiting = &node.requests.waiting;
        if waiting.get() >= node.settings.limits.queue_requests {
            let message = "too many requests wait already";
            return Err(ErrorBody::not_run(
                "queue_full",
                message,
                Some(BUSY_RETRY_MS),
            ));
        }
        waiting.set(waiting.get() + 1);
        let left = Duration::from_millis(request.deadline.since(node.now()));
        let woken = tokio::time::timeout(left, freed).await;
        waiting.set(waiting.get() - 1);
        if woken.is_err() {
            let message = "no slot became free in time";
            return Err(ErrorBody::not_run("no_slot", message, Some(BUSY_RETRY_MS)));
        }
    }
}

fn try_take(
    node: &Rc<Node>,
    service: &ServiceName,
) -> Result<Option<(EndpointKey, String)>, ErrorBody> {
    let mut services = node.requests.services.borrow_mut();
    let Some(endpoints) = services.get_mut(service) else {
        let message = "no such service is in force here";
        return Err(ErrorBody::not_run("no_service", message, Some(1_000)));
    };
    let random = &mut *node.requests.random.borrow_mut();
    let Some(key) = endpoints.choose(&[], node.now(), random) else {
        return Ok(None);
    };
    let address = endpoints.info(key).map(|info| info.address.to_string());
    endpoints.begin(key);
    Ok(address.map(|address| (key, address)))
}

fn finish_of(answer: &Result<EndpointAnswer, EndpointError>, took: Duration) -> Finish {
    match answer {
        Ok(answer) if answer.status >= 500 => Finish::Failed,
        Ok(_) => Finish::Answered {
            latency_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
        },
        Err(EndpointError::NotSent(_)) => Finish::NotSent,
        Err(EndpointError::Refused { draining: true }) => Finish::Draining,
        Err(EndpointError::Refused { draining: false }) => Finish::Busy,
        Err(EndpointError::InDoubt(_)) => Finish::Lost,
        Err(EndpointError::TimedOut) => Finish::TimedOut {
            waited_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        },
    }
}

fn give_slot(node: &Rc<Node>, service: &ServiceName, key: EndpointKey, finish: Finish) {
    if let Some(endpoints) = node.requests.services.borrow_mut().get_mut(service) {
        endpoints.finish(key, finish, node.now());
    }
    node.requests.freed.notify_one();
}
