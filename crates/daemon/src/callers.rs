//! The callers' address: requests to services, jobs and the balancer's questions.

mod request;

use std::rc::Rc;

use actix_http::ConnectionType;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_api::SubmitAnswer;
use syc_api::SubmitBody;
use syc_net::is_over_limit;
use syc_net::json_response;
use syc_platform::types::REQUEST_ID_HEADER;
use syc_types::JobId;
use uuid::Uuid;

use crate::home;
use crate::home_cancel;
use crate::http_body::json;
use crate::http_body::read_json;
use crate::http_body::refusal;
use crate::http_body::unread;
use crate::members;
use crate::node::Node;
use crate::requests;
use crate::requests::InProgress;

/// Header that tells the three outcomes apart, whatever the status.
const OUTCOME_HEADER: &str = "x-outcome";

const ANSWERED: &str = "answered";
const NOT_RUN: &str = "not_run";
const UNKNOWN: &str = "unknown";

/// Answers one request of a caller.
pub async fn answer(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    if is_over_limit(&request) {
        let (status, error) = request::surplus(&request);
        return closing(refused(status, &error));
    }
    let _counted = InProgress::new(&node);
    let path = request.path().to_owned();
    let method = request.method().clone();
    let response = if let Some(rest) = path.strip_prefix("/svc/") {
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
        return closing(response);
    }
    response
}

fn closing(mut response: Response<BoxBody>) -> Response<BoxBody> {
    let head = response.head_mut();
    head.set_connection_type(ConnectionType::Close);
    response
}

fn not_found() -> Response<BoxBody> {
    let body = ErrorBody::not_run("not_found", "there is nothing at this path", None);
    refusal(StatusCode::NOT_FOUND, &body)
}

fn ready(node: &Rc<Node>) -> Response<BoxBody> {
    let ready = members::ready(node) && requests::ready(node);
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Response::new(status).map_into_boxed_body()
}

async fn serve(node: &Rc<Node>, request: &mut Request, rest: &str) -> Response<BoxBody> {
    let (parsed, _held) = match request::read(node, request, rest).await {
        Ok(parsed) => parsed,
        Err((status, error)) => return refused(status, &error),
    };
    let id = parsed.id;
    let mut response = match requests::serve(node, parsed).await {
        Ok(answer) => {
            let status = StatusCode::from_u16(answer.status);
            let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
            let mut response = Response::with_body(status, BoxBody::new(answer.body));
            set_outcome(&mut response, ANSWERED);
            response
        }
        Err(error) => refused(status_of(&error), &error),
    };
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        let name = HeaderName::from_static(REQUEST_ID_HEADER);
        response.headers_mut().insert(name, id);
    }
    response
}

fn refused(status: StatusCode, error: &ErrorBody) -> Response<BoxBody> {
    let mut response = refusal(status, error);
    let outcome = match error.outcome {
        Outcome::NotRun => NOT_RUN,
        Outcome::Unknown => UNKNOWN,
    };
    set_outcome(&mut response, outcome);
    response
}

fn set_outcome(response: &mut Response<BoxBody>, outcome: &'static str) {
    let name = HeaderName::from_static(OUTCOME_HEADER);
    let value = HeaderValue::from_static(outcome);
    response.headers_mut().insert(name, value);
}

fn status_of(error: &ErrorBody) -> StatusCode {
    match (error.outcome, error.code.as_str()) {
        (Outcome::NotRun, "caller_limit" | "team_limit") => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, "request_id_malformed" | "request_id_early") => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, "no_service") => StatusCode::NOT_FOUND,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn submit(node: &Rc<Node>, request: &mut Request) -> Response<BoxBody> {
    let limit = node.settings.limits.body_bytes;
    let body = match read_json::<SubmitBody>(request, limit).await {
        Ok(body) => body,
        Err(error) => return unread(&error),
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
        return json_response(StatusCode::OK, state);
    }
    let body = ErrorBody::not_run("no_such_job", "no member knows this job", None);
    refusal(StatusCode::NOT_FOUND, &body)
}
