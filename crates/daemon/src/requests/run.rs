//! Sending a request to endpoints until one answers or nothing more may be tried.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_member::Key;
use syc_platform::EndpointError;
use syc_platform::EndpointPort;
use syc_platform::types::EndpointAnswer;
use syc_platform::types::EndpointCall;
use syc_route::Finish;
use syc_route::Next;
use syc_route::Sending;
use syc_route::surely_not_run;

use super::Answer;
use super::CallerRequest;
use super::slots;
use crate::members;
use crate::node::Node;

/// When a caller whose request every endpoint refused may come back.
const REFUSED_RETRY_MS: u64 = 200;

/// Code of a request that this member had no authority to run.
pub const NO_AUTHORITY: &str = "no_authority";

/// Sends a request to endpoints.
///
/// "Not run" is answered only where no endpoint can have acted on it.
pub async fn run(node: &Rc<Node>, request: &CallerRequest) -> Answer {
    let arrived = node.now();
    let mut tried = Vec::new();
    let mut sendings = 0;
    let mut doubted = false;
    note_first(node, request);
    loop {
        let slot = slots::take(node, request, arrived, &tried).await;
        let slot = slot.map_err(|refusal| doubt(doubted, refusal))?;
        if !request.idempotent && !members::may_act_for(node, Key::Request(request.id)) {
            return Err(doubt(doubted, no_authority()));
        }
        let sent_at = Instant::now();
        let answer = node.platform.send(&slot.address, call(node, request)).await;
        let finish = finish_of(&answer, sent_at.elapsed());
        let key = slot.key;
        slot.finish(finish);
        let error = match answer {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        sendings += 1;
        doubted |= !surely_not_run(finish);
        let sending = Sending {
            finish,
            idempotent: request.idempotent,
            sendings,
            deadline: request.deadline,
        };
        match next(node, request, sending, doubted) {
            Next::Elsewhere | Next::Wait => tried.push(key),
            Next::NotRun => return Err(refused()),
            Next::Unknown => return Err(lost(&error)),
        }
    }
}

fn call(node: &Rc<Node>, request: &CallerRequest) -> EndpointCall {
    EndpointCall {
        path: request.path.clone(),
        request_id: request.id.to_string(),
        body: request.body.clone(),
        timeout_ms: request.deadline.since(node.now()),
    }
}

fn note_first(node: &Rc<Node>, request: &CallerRequest) {
    let mut services = node.requests.services.borrow_mut();
    if let Some(service) = services.get_mut(&request.service) {
        service.budget.first();
    }
}

fn next(node: &Rc<Node>, request: &CallerRequest, sending: Sending, doubted: bool) -> Next {
    let mut services = node.requests.services.borrow_mut();
    match services.get_mut(&request.service) {
        Some(service) => service.budget.next(sending, doubted, node.now()),
        None if doubted => Next::Unknown,
        None => Next::NotRun,
    }
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

/// Turns "not run" into "unknown" where an earlier sending is in doubt.
fn doubt(doubted: bool, refusal: ErrorBody) -> ErrorBody {
    if doubted {
        return ErrorBody {
            outcome: Outcome::Unknown,
            ..refusal
        };
    }
    refusal
}

fn refused() -> ErrorBody {
    let message = "no endpoint took the request";
    ErrorBody::not_run("endpoints_refused", message, Some(REFUSED_RETRY_MS))
}

fn no_authority() -> ErrorBody {
    let message = "this entry VM may not act as the request's home now";
    ErrorBody::not_run(NO_AUTHORITY, message, Some(REFUSED_RETRY_MS))
}

fn lost(error: &EndpointError) -> ErrorBody {
    let code = match error {
        EndpointError::TimedOut => "endpoint_timeout",
        _ => "endpoint_lost",
    };
    ErrorBody::unknown(code, &error.to_string())
}
