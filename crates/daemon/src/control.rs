//! The operators' address: what is answered at which path, and who may change something.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BoxBody;
use actix_http::header;
use subtle::ConstantTimeEq;
use syc_api::ErrorBody;
use syc_api::TOKEN_HEADER;
use syc_obs::catalogue;
use syc_obs::emit;

use crate::audit;
use crate::control_drain;
use crate::control_explain;
use crate::control_publish;
use crate::control_status;
use crate::http_body::refusal;
use crate::metrics;
use crate::node::Node;

/// Content type of the page of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers one request of an operator's tool.
pub async fn answer(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let uri = request.uri().clone();
    if request.method() == Method::GET {
        return read(&node, &uri).await;
    }
    if request.method() != Method::POST {
        return not_found();
    }
    if !allowed(&node, &request) {
        let path = uri.path();
        emit(catalogue::CONTROL_DENIED, format_args!("path={path}"));
        let body = ErrorBody::not_run("not_allowed", "the control token is wrong", None);
        return refusal(StatusCode::FORBIDDEN, &body);
    }
    match uri.path() {
        "/v1/config" => control_publish::answer(&node, &mut request).await,
        "/v1/drain" => control_drain::answer(&node, &mut request).await,
        _ => not_found(),
    }
}

async fn read(node: &Rc<Node>, uri: &Uri) -> Response<BoxBody> {
    match uri.path() {
        "/v1/status" => control_status::status(node),
        "/v1/config" => control_status::config(node),
        "/v1/audit" => audit::answer(node, None),
        "/v1/history" => audit::answer(node, Some(scope_of(uri))),
        "/metrics" => metrics_page(node),
        other => match explained_job(other) {
            Some(id) => control_explain::answer(node, id).await,
            None => not_found(),
        },
    }
}

fn scope_of(uri: &Uri) -> &str {
    let query = uri.query().unwrap_or_default();
    let mut parts = query.split('&');
    let scope = parts.find_map(|part| part.strip_prefix("scope="));
    scope.unwrap_or_default()
}

fn explained_job(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/jobs/")?.strip_suffix("/explain")
}

fn not_found() -> Response<BoxBody> {
    let body = ErrorBody::not_run("not_found", "there is nothing at this path", None);
    refusal(StatusCode::NOT_FOUND, &body)
}

fn allowed(node: &Rc<Node>, request: &Request) -> bool {
    let expected = node.settings.control_token.as_bytes();
    let shown = request.headers().get(TOKEN_HEADER);
    let shown = shown.map_or(&b""[..], |value| value.as_bytes());
    !expected.is_empty() && bool::from(expected.ct_eq(shown))
}

fn metrics_page(node: &Rc<Node>) -> Response<BoxBody> {
    let page = metrics::page(node);
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(page));
    let kind = header::HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
