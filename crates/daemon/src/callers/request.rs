//! Reading a caller's request: headers with their defaults, and a bounded body.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::StatusCode;
use actix_http::header;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_net::BodyError;
use syc_net::Refusal as Refused;
use syc_net::read_body;
use syc_route::created_at;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::RequestId;
use syc_types::ServiceName;
use syc_types::TeamId;
use uuid::Uuid;

use crate::node::Node;
use crate::requests::BodyBytes;
use crate::requests::CallerRequest;

/// Longest text of a header that names something.
const NAME_LIMIT_BYTES: usize = 128;

/// Longest time that a caller may ask to wait.
const TIMEOUT_LIMIT_MS: u64 = 3_600_000;

/// Time that a sender has for the body of its request.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// When a caller may come back that found no memory for its body.
const MEMORY_RETRY_MS: u64 = 500;

/// A refusal with its status.
pub type Refusal = (StatusCode, ErrorBody);

/// A request that was read whole, with the memory that its body holds.
pub type Parsed = (CallerRequest, BodyBytes);

/// Reads a request for the service and path in `rest`.
pub async fn read(node: &Rc<Node>, request: &mut Request, rest: &str) -> Result<Parsed, Refusal> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let head = read_head(node, request)?;
    let limit_bytes = node.settings.limits.body_bytes;
    let body_bytes = announced_bytes(request).unwrap_or(limit_bytes);
    if body_bytes > limit_bytes {
        return Err(too_large());
    }
    let memory = BodyBytes::take(node, body_bytes).ok_or_else(|| head.judge(no_memory()))?;
    let left_ms = head.timeout_ms.min(BODY_TIMEOUT_MS);
    let reading = read_body(request, limit_bytes);
    let body = tokio::time::timeout(Duration::from_millis(left_ms), reading).await;
    let body = body.map_err(|_elapsed| head.judge(slow_body()))?;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => too_large(),
        BodyError::Incomplete => head.judge(bad("body_cut", "the body was cut")),
        BodyError::Refused(Refused::TooSlow) => head.judge(slow_body()),
        BodyError::Refused(_) => head.judge(no_memory()),
    })?;
    let request = CallerRequest {
        id: head.id,
        fresh: head.fresh,
        service: ServiceName::new(service),
        path: path.to_owned(),
        caller: CallerId::new(head.caller),
        team: TeamId::new(head.team),
        class: head.class,
        idempotent: head.idempotent,
        deadline: head.arrived.plus(head.timeout_ms),
        body,
    };
    Ok((request, memory))
}

struct Head {
    id: RequestId,
    fresh: bool,
    caller: String,
    team: String,
    class: Class,
    idempotent: bool,
    timeout_ms: u64,
    arrived: syc_types::Millis,
}

impl Head {
    /// Leaves the outcome open where an earlier sending of the same request may have run.
    fn judge(&self, (status, mut error): Refusal) -> Refusal {
        if !self.idempotent && !self.fresh {
            error.outcome = Outcome::Unknown;
        }
        (status, error)
    }
}

fn read_head(node: &Rc<Node>, request: &Request) -> Result<Head, Refusal> {
    let idempotent = match text(request, "x-idempotent")? {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad("idempotent_malformed", "use true or false")),
    };
    let (id, fresh) = read_id(request, idempotent)?;
    let class = match text(request, "x-class")? {
        Some("urgent") => Class::Urgent,
        Some("patient") => Class::Patient,
        None | Some("normal") => Class::Normal,
        Some(_) => return Err(bad("class_unknown", "use urgent, normal or patient")),
    };
    let timeout_ms = match text(request, "x-timeout-ms")? {
        None => node.settings.timing.request_timeout_ms,
        Some(text) => text
            .parse()
            .map_err(|_source| bad("timeout_malformed", "use whole milliseconds"))?,
    };
    Ok(Head {
        id,
        fresh,
        caller: text(request, "x-caller")?.unwrap_or_default().to_owned(),
        team: text(request, "x-team")?.unwrap_or_default().to_owned(),
        class,
        idempotent,
        timeout_ms: timeout_ms.min(TIMEOUT_LIMIT_MS),
        arrived: node.now(),
    })
}

/// Reads the request's id; says whether it was made here.
fn read_id(request: &Request, idempotent: bool) -> Result<(RequestId, bool), Refusal> {
    let Some(text) = text(request, "x-request-id")? else {
        return Ok((RequestId(Uuid::now_v7()), true));
    };
    let id = Uuid::parse_str(text)
        .map(RequestId)
        .map_err(|source| bad("request_id_malformed", &source.to_string()))?;
    if !idempotent && created_at(id).is_none() {
        let message = "the id of a non-idempotent request must be a UUID of version 7";
        return Err(bad("request_id_malformed", message));
    }
    Ok((id, false))
}

fn text<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let text = text.filter(|text| text.len() <= NAME_LIMIT_BYTES);
    let message = format!("{name} must be visible ASCII of at most {NAME_LIMIT_BYTES} bytes");
    text.map(Some)
        .ok_or_else(|| bad("header_malformed", &message))
}

fn announced_bytes(request: &Request) -> Option<usize> {
    let headers = request.headers();
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let Some(length) = headers.get(header::CONTENT_LENGTH) else {
        return Some(0);
    };
    length.to_str().ok()?.parse().ok()
}

/// Says that a request above the bound on connections was not taken.
pub fn surplus(request: &Request) -> Refusal {
    let outcome = if may_have_run(request) {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    let error = ErrorBody {
        outcome,
        ..ErrorBody::not_run(
            "too_many_connections",
            "too many connections are open",
            Some(MEMORY_RETRY_MS),
        )
    };
    (StatusCode::SERVICE_UNAVAILABLE, error)
}

/// Says whether an earlier sending of the request may have run where it may run only once.
fn may_have_run(request: &Request) -> bool {
    let once = text(request, "x-idempotent").is_ok_and(|value| value == Some("false"));
    once && request.headers().contains_key("x-request-id")
}

fn bad(code: &str, message: &str) -> Refusal {
    let error = ErrorBody::not_run(code, message, None);
    (StatusCode::BAD_REQUEST, error)
}

fn too_large() -> Refusal {
    let error = ErrorBody::not_run("body_too_large", "the body is too large", None);
    (StatusCode::PAYLOAD_TOO_LARGE, error)
}

fn slow_body() -> Refusal {
    let error = ErrorBody::not_run("body_slow", "the body did not arrive in time", None);
    (StatusCode::REQUEST_TIMEOUT, error)
}

fn no_memory() -> Refusal {
    let error = ErrorBody::not_run(
        "memory_full",
        "the bodies of other requests fill the memory",
        Some(MEMORY_RETRY_MS),
    );
    (StatusCode::SERVICE_UNAVAILABLE, error)
}
