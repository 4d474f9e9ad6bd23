//! Slots of endpoints, and the requests that wait for them.

use std::rc::Rc;

use syc_api::ErrorBody;
use syc_route::Arrival;
use syc_route::EndpointKey;
use syc_route::Finish;
use syc_route::QueueKey;
use syc_route::Shed;
use syc_route::ShedReason;
use syc_types::Millis;
use syc_types::ServiceName;
use tokio::sync::oneshot;

use super::CallerRequest;
use super::services::Service;
use crate::node::Node;

/// When a caller may come back to a service without endpoints.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;

/// Where a waiting request hears what becomes of it.
pub type Waiter = oneshot::Sender<Result<Slot, ErrorBody>>;

/// A slot of an endpoint, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    node: Rc<Node>,
    service: ServiceName,
    /// The endpoint.
    pub key: EndpointKey,
    /// Where the endpoint takes requests, `ip:port`.
    pub address: String,
    finish: Option<Finish>,
}

impl Slot {
    /// Gives the slot back and tells how the request ended.
    pub fn finish(mut self, finish: Finish) {
        self.finish = Some(finish);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut services = self.node.requests.services.borrow_mut();
            let Some(service) = services.get_mut(&self.service) else {
                return;
            };
            match self.finish {
                Some(finish) => {
                    let now = self.node.now();
                    service.endpoints.finish(self.key, finish, now);
                }
                None => service.endpoints.give_back(self.key),
            }
        }
        serve_waiting(&self.node);
    }
}

/// Takes a slot for a request, or waits for one; `avoid` names endpoints that were tried.
pub async fn take(
    node: &Rc<Node>,
    request: &CallerRequest,
    arrived: Millis,
    avoid: &[EndpointKey],
) -> Result<Slot, ErrorBody> {
    if let Some(slot) = try_take(node, request, avoid)? {
        return Ok(slot);
    }
    let (sender, receiver) = oneshot::channel();
    let _waiting = enqueue(node, request, arrived, sender)?;
    receiver.await.unwrap_or_else(|_dropped| Err(no_service()))
}

fn try_take(
    node: &Rc<Node>,
    request: &CallerRequest,
    avoid: &[EndpointKey],
) -> Result<Option<Slot>, ErrorBody> {
    let mut services = node.requests.services.borrow_mut();
    let service = services.get_mut(&request.service).ok_or_else(no_service)?;
    if service.endpoints.staying() == 0 {
        return Err(no_endpoint());
    }
    if !service.queue.is_empty() {
        return Ok(None);
    }
    Ok(choose(node, &request.service, service, avoid))
}

/// Takes a slot of another endpoint for a late request, where one is free and the budget allows.
pub fn take_second(node: &Rc<Node>, service: &ServiceName, first: EndpointKey) -> Option<Slot> {
    let mut services = node.requests.services.borrow_mut();
    let found = services.get_mut(service)?;
    if !found.queue.is_empty() {
        return None;
    }
    let slot = choose(node, service, found, &[first])?;
    if found.budget.hedge() {
        return Some(slot);
    }
    // Giving the slot back needs the services again.
    drop(services);
    drop(slot);
    None
}

fn choose(
    node: &Rc<Node>,
    name: &ServiceName,
    service: &mut Service,
    avoid: &[EndpointKey],
) -> Option<Slot> {
    let mut random = node.requests.random.borrow_mut();
    let key = service.endpoints.choose(avoid, node.now(), &mut *random)?;
    let address = service.endpoints.info(key)?.address.to_string();
    service.endpoints.begin(key);
    Some(Slot {
        node: Rc::clone(node),
        service: name.clone(),
        key,
        address,
        finish: None,
    })
}

fn enqueue(
    node: &Rc<Node>,
    request: &CallerRequest,
    arrived: Millis,
    waiter: Waiter,
) -> Result<Waiting, ErrorBody> {
    let now = node.now();
    let pushed = {
        let mut services = node.requests.services.borrow_mut();
        let service = services.get_mut(&request.service).ok_or_else(no_service)?;
        let left_ms = request.deadline.since(now);
        let answer_ms = service.endpoints.typical_latency_ms().min(left_ms / 4);
        service.queue.push(
            Arrival {
                class: request.class,
                caller: request.caller.clone(),
                team: request.team.clone(),
                arrived,
                start_by: Millis(request.deadline.0.saturating_sub(answer_ms)),
                item: waiter,
            },
            now,
        )
    };
    let (key, evicted) = pushed.map_err(|shed| refusal(shed.reason, shed.retry_after_ms))?;
    evicted.into_iter().for_each(refuse);
    let waiting = &node.requests.waiting;
    waiting.set(waiting.get() + 1);
    Ok(Waiting {
        node: Rc::clone(node),
        service: request.service.clone(),
        key,
    })
}

/// Keeps a request's place in the queue until it is dropped.
struct Waiting {
    node: Rc<Node>,
    service: ServiceName,
    key: QueueKey,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let waiting = &self.node.requests.waiting;
        waiting.set(waiting.get() - 1);
        let mut services = self.node.requests.services.borrow_mut();
        if let Some(service) = services.get_mut(&self.service) {
            service.queue.remove(self.key);
        }
    }
}

/// Gives free slots to requests that wait.
pub fn serve_waiting(node: &Rc<Node>) {
    let mut granted = Vec::new();
    {
        let mut services = node.requests.services.borrow_mut();
        for (name, service) in services.iter_mut() {
            while !service.queue.is_empty() {
                let Some(slot) = choose(node, name, service, &[]) else {
                    break;
                };
                let Some(next) = service.queue.pop(node.now()) else {
                    break;
                };
                granted.push((next.item, slot));
            }
        }
    }
    // A request that is gone gives its slot back, which needs the services again.
    for (waiter, slot) in granted {
        let _ = waiter.send(Ok(slot));
    }
}

/// Gives up requests that can't be served in time.
pub fn review(node: &Rc<Node>) {
    if node.requests.waiting.get() == 0 {
        return;
    }
    let mut given_up = Vec::new();
    let mut stranded = Vec::new();
    for service in node.requests.services.borrow_mut().values_mut() {
        given_up.extend(service.queue.review(node.now()));
        if service.endpoints.staying() == 0 {
            stranded.extend(service.queue.drain());
        }
    }
    given_up.into_iter().for_each(refuse);
    for waiter in stranded {
        let _ = waiter.send(Err(no_endpoint()));
    }
    serve_waiting(node);
}

fn refuse(shed: Shed<Waiter>) {
    let error = refusal(shed.reason, shed.retry_after_ms);
    let _ = shed.item.send(Err(error));
}

fn refusal(reason: ShedReason, retry_after_ms: u64) -> ErrorBody {
    let code = match reason {
        ShedReason::QueueFull => "queue_full",
        ShedReason::CallerLimit => "caller_limit",
        ShedReason::TeamLimit => "team_limit",
        ShedReason::TooLate => "too_late",
    };
    ErrorBody::not_run(code, &reason.to_string(), Some(retry_after_ms))
}

fn no_service() -> ErrorBody {
    let message = "no such service is in force here";
    ErrorBody::not_run("no_service", message, Some(NO_ENDPOINT_RETRY_MS))
}

fn no_endpoint() -> ErrorBody {
    let message = "every endpoint of the service is leaving";
    ErrorBody::not_run("no_endpoint", message, Some(NO_ENDPOINT_RETRY_MS))
}
