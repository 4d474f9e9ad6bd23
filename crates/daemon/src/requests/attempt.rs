//! One sending of a request to an endpoint, and a second one where the first is late.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use futures_util::future::Either;
use futures_util::future::select;
use syc_platform::EndpointError;
use syc_platform::EndpointPort;
use syc_platform::types::EndpointAnswer;
use syc_platform::types::EndpointCall;
use syc_route::EndpointKey;
use syc_route::Finish;
use syc_types::Class;

use super::CallerRequest;
use super::slots;
use super::slots::Slot;
use crate::node::Node;

/// How a sending ended.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint.
    pub key: EndpointKey,
    /// How it ended, as the decisions see it.
    pub finish: Finish,
    /// The endpoint's answer.
    pub answer: Result<EndpointAnswer, EndpointError>,
}

/// Sends a request with a slot; returns the sendings that ended, the decisive one last.
///
/// An idempotent request that is late goes to a second endpoint too, and the first whole answer
/// counts. The other sending goes on unheard, so that its endpoint is judged by how it ends.
pub async fn send(node: &Rc<Node>, request: &CallerRequest, slot: Slot) -> Vec<Attempt> {
    let Some(late) = late_after(node, request) else {
        return vec![attempt(Rc::clone(node), request.clone(), slot).await];
    };
    let key = slot.key;
    let mut first = actix_rt::spawn(attempt(Rc::clone(node), request.clone(), slot));
    if let Ok(ended) = tokio::time::timeout(late, &mut first).await {
        return vec![ended.unwrap_or_else(|_panicked| broken(key))];
    }
    let Some(second) = slots::take_second(node, &request.service, key) else {
        return vec![first.await.unwrap_or_else(|_panicked| broken(key))];
    };
    let other = second.key;
    let second = actix_rt::spawn(attempt(Rc::clone(node), request.clone(), second));
    race((key, first), (other, second)).await
}

type Sent = (EndpointKey, JoinHandle<Attempt>);

async fn race(first: Sent, second: Sent) -> Vec<Attempt> {
    let (ended, key, rest) = match select(first.1, second.1).await {
        Either::Left((ended, rest)) => (ended, (first.0, second.0), rest),
        Either::Right((ended, rest)) => (ended, (second.0, first.0), rest),
    };
    let ended = ended.unwrap_or_else(|_panicked| broken(key.0));
    if ended.answer.is_ok() {
        return vec![ended];
    }
    let rest = rest.await.unwrap_or_else(|_panicked| broken(key.1));
    vec![ended, rest]
}

const fn broken(key: EndpointKey) -> Attempt {
    Attempt {
        key,
        finish: Finish::Lost,
        answer: Err(EndpointError::InDoubt(String::new())),
    }
}

/// Returns when the request counts as late, where it may be sent twice.
fn late_after(node: &Rc<Node>, request: &CallerRequest) -> Option<Duration> {
    if !may_hedge(request) {
        return None;
    }
    let services = node.requests.services.borrow();
    let after_us = services.get(&request.service)?.timer.after_us()?;
    let late = Duration::from_micros(after_us);
    let left = Duration::from_millis(request.deadline.since(node.now()));
    (late < left).then_some(late)
}

fn may_hedge(request: &CallerRequest) -> bool {
    request.idempotent && request.class != Class::Patient
}

async fn attempt(node: Rc<Node>, request: CallerRequest, slot: Slot) -> Attempt {
    let call = EndpointCall {
        path: request.path.clone(),
        request_id: request.id.to_string(),
        body: request.body.clone(),
        timeout_ms: request.deadline.since(node.now()),
    };
    let sent_at = Instant::now();
    let answer = node.platform.send(&slot.address, call).await;
    let finish = finish_of(&answer, sent_at.elapsed());
    if let Finish::Answered { latency_us } = finish
        && may_hedge(&request)
    {
        note(&node, &request, latency_us);
    }
    let key = slot.key;
    slot.finish(finish);
    Attempt {
        key,
        finish,
        answer,
    }
}

fn note(node: &Rc<Node>, request: &CallerRequest, latency_us: u64) {
    let mut services = node.requests.services.borrow_mut();
    if let Some(service) = services.get_mut(&request.service) {
        service.timer.note(latency_us);
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
