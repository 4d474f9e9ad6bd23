//! Sending a request to endpoints until one answers or nothing more may be tried.

use std::rc::Rc;

use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_member::Key;
use syc_platform::EndpointError;
use syc_route::Finish;
use syc_route::Next;
use syc_route::Sending;
use syc_route::surely_not_run;

use super::Answer;
use super::CallerRequest;
use super::attempt;
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
        let asked_at = node.now();
        let slot = slots::take(node, request, arrived, &tried).await;
        let slot = slot.map_err(|refusal| doubt(doubted, refusal))?;
        let waited_ms = node.now().since(asked_at);
        let metrics = &node.operators.metrics;
        metrics.request_waited(request.class, waited_ms);
        if !request.idempotent && !members::may_act_for(node, Key::Request(request.id)) {
            return Err(doubt(doubted, no_authority()));
        }
        let attempts = attempt::send(node, request, slot).await;
        let mut next = Next::NotRun;
        let mut failure = None;
        for attempt in attempts {
            let error = match attempt.answer {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            failure = Some(error);
            sendings += 1;
            tried.push(attempt.key);
            doubted |= !surely_not_run(attempt.finish);
            next = decide(node, request, attempt.finish, sendings, doubted);
        }
        match next {
            Next::Elsewhere | Next::Wait => {}
            Next::NotRun => return Err(refused()),
            Next::Unknown => return Err(lost(failure.as_ref())),
        }
    }
}

fn note_first(node: &Rc<Node>, request: &CallerRequest) {
    let mut services = node.requests.services.borrow_mut();
    if let Some(service) = services.get_mut(&request.service) {
        service.budget.first();
    }
}

fn decide(
    node: &Rc<Node>,
    request: &CallerRequest,
    finish: Finish,
    sendings: u32,
    doubted: bool,
) -> Next {
    let sending = Sending {
        finish,
        idempotent: request.idempotent,
        sendings,
        deadline: request.deadline,
    };
    let mut services = node.requests.services.borrow_mut();
    match services.get_mut(&request.service) {
        Some(service) => service.budget.next(sending, doubted, node.now()),
        None if doubted => Next::Unknown,
        None => Next::NotRun,
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

fn lost(error: Option<&EndpointError>) -> ErrorBody {
    let code = match error {
        Some(EndpointError::TimedOut) => "endpoint_timeout",
        _ => "endpoint_lost",
    };
    let message = error.map_or_else(String::new, ToString::to_string);
    ErrorBody::unknown(code, &message)
}
