//! The callers' address: requests to services, jobs and the balancer's questions.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_api::SubmitAnswer;
use syc_api::SubmitBody;
use syc_types::CallerId;
use syc_types::Class;
use syc_types::JobId;
use syc_types::RequestId;
use syc_types::ServiceName;
use uuid::Uuid;

use crate::home;
use crate::home_cancel;
use crate::http_body::BodyError;
use crate::http_body::json;
use crate::http_body::json_text;
use crate::http_body::read_body;
use crate::http_body::read_json;
use crate::http_body::refusal;
use crate::members;
use crate::node::Node;
use crate::requests;
use crate::requests::CallerRequest;
use crate::requests::InProgress;

/// Answers one request of a caller.
pub async fn answer(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let _counted = InProgress::new(&node);
    let path = request.path().to_owned();
    let method = request.method().clone();
    let mut response = if let Some(rest) = path.strip_prefix("/svc/") {
        serve(&node, &mut request, rest).await
    } else {
        match (method, path.as_str()) {
            (Method::GET, "/health") => Response::new(StatusCode::OK).map_into_boxed_body(),
            (Method::GET, "/ready") => ready(&node),
            (Method::POST, "/v1/jobs") => submit(&node, &mut request).await,
            (Method::POST, other) => match cancelled_job(other) {
                Some(id) => cancel(&node, id).await,
                None => not_found(),
            },
            (Method::GET, other) => match other.strip_prefix("/v1/jobs/") {
                Some(id) => job_state(&node, id).await,
                None => not_found(),
            },
            _ => not_found(),
        }
    };
    if node.draining.get() {
        let head = response.head_mut();
        head.set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

fn not_found() -> Response<BoxBody> {
    let body = ErrorBody::not_run("not_found", "there is nothing at this path", None);
    refusal(StatusCode::NOT_FOUND, &body)
}

fn ready(node: &Rc<Node>) -> Response<BoxBody> {
    let status = if members::ready(node) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Response::new(status).map_into_boxed_body()
}

async fn serve(node: &Rc<Node>, request: &mut Request, rest: &str) -> Response<BoxBody> {
    match read_request(node, request, rest).await {
        Ok(parsed) => match requests::serve(node, parsed).await {
            Ok(answer) => {
                let status = StatusCode::from_u16(answer.status);
                let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
                Response::with_body(status, BoxBody::new(answer.body))
            }
            Err(error) => {
                let status = match error.outcome {
                    Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
                    Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
                };
                refusal(status, &error)
            }
        },
        Err((status, error)) => refusal(status, &error),
    }
}

type Refusal = (StatusCode, ErrorBody);

async fn read_request(
    node: &Rc<Node>,
    request: &mut Request,
    rest: &str,
) -> Result<CallerRequest, Refusal> {
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let bad = |code: &str, message: &str| {
        let body = ErrorBody::not_run(code, message, None);
        (StatusCode::BAD_REQUEST, body)
    };
    let id = match header("x-request-id") {
        None => Uuid::now_v7(),
        Some(text) => Uuid::parse_str(&text)
            .map_err(|source| bad("request_id_malformed", &source.to_string()))?,
    };
    let class = match header("x-class").as_deref() {
        Some("urgent") => Class::Urgent,
        Some("patient") => Class::Patient,
        None | Some("normal") => Class::Normal,
        Some(_) => return Err(bad("class_unknown", "use urgent, normal or patient")),
    };
    let idempotent = match header("x-idempotent").as_deref() {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad("idempotent_malformed", "use true or false")),
    };
    let timeout_ms = match header("x-timeout-ms") {
        None => node.settings.timing.request_timeout_ms,
        Some(text) => text
            .parse()
            .map_err(|_source| bad("timeout_malformed", "use whole milliseconds"))?,
    };
    let caller = header("x-caller").unwrap_or_default();
    let deadline = node.now().plus(timeout_ms);
    let body = read_body(request, node.settings.limits.body_bytes).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => {
            let body = ErrorBody::not_run("body_too_large", "the body is too large", None);
            (StatusCode::PAYLOAD_TOO_LARGE, body)
        }
        BodyError::Cut => bad("body_cut", "the body was cut"),
    })?;
    Ok(CallerRequest {
        id: RequestId(id),
        service: ServiceName::new(service),
        path: path.to_owned(),
        caller: CallerId::new(caller),
        class,
        idempotent,
        deadline,
        body,
    })
}

async fn submit(node: &Rc<Node>, request: &mut Request) -> Response<BoxBody> {
    let limit = node.settings.limits.body_bytes;
    let body = match read_json::<SubmitBody>(request, limit).await {
        Ok(body) => body,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error),
    };
    let job_id = body.job_id.unwrap_or_else(|| JobId(Uuid::now_v7()));
    match home::submit(node, job_id, &body.spec).await {
        Ok(()) => json(StatusCode::ACCEPTED, &SubmitAnswer { job_id }),
        Err(error) => {
            let status = match (error.outcome, error.code.as_str()) {
                (Outcome::NotRun, "job_malformed") => StatusCode::BAD_REQUEST,
                (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
                (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
            };
            refusal(status, &error)
        }
    }
}

fn cancelled_job(path: &str) -> Option<JobId> {
    let id = path.strip_prefix("/v1/jobs/")?.strip_suffix("/cancel")?;
    Uuid::parse_str(id).ok().map(JobId)
}

async fn cancel(node: &Rc<Node>, job_id: JobId) -> Response<BoxBody> {
    match home_cancel::cancel(node, job_id).await {
        Ok(()) => json(StatusCode::OK, &SubmitAnswer { job_id }),
        Err(error) => {
            let status = match (error.outcome, error.code.as_str()) {
                (Outcome::NotRun, "no_such_job") => StatusCode::NOT_FOUND,
                (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
                (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
            };
            refusal(status, &error)
        }
    }
}

async fn job_state(node: &Rc<Node>, id: &str) -> Response<BoxBody> {
    let Ok(id) = Uuid::parse_str(id) else {
        let body = ErrorBody::not_run("job_id_malformed", "the id is no UUID", None);
        return refusal(StatusCode::BAD_REQUEST, &body);
    };
    if let Some(state) = home::find(node, JobId(id)).await {
        return json_text(StatusCode::OK, state);
    }
    let body = ErrorBody::not_run("no_such_job", "no member knows this job", None);
    refusal(StatusCode::NOT_FOUND, &body)
}
