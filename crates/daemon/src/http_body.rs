//! Bodies in and out of the daemon's HTTP addresses.

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;
use syc_api::ErrorBody;

/// Makes the response of an error.
pub fn refusal(status: StatusCode, error: &ErrorBody) -> Response<BoxBody> {
    let mut response = json(status, error);
    if let Some(retry_after_ms) = error.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Makes a JSON response.
pub fn json<T>(status: StatusCode, value: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    json_text(status, serde_json::to_string(value).unwrap_or_default())
}

/// Makes a response of text that is JSON already.
pub fn json_text(status: StatusCode, text: String) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(text));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Says why a body was not read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It was cut, or is malformed.
    Cut,
}

/// Reads a request's whole body, at most `limit_bytes`.
pub async fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut whole = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|source| match source {
            PayloadError::Overflow => BodyError::TooLarge,
            _ => BodyError::Cut,
        })?;
        if whole.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Reads a request's JSON body.
pub async fn read_json<T>(request: &mut Request, limit_bytes: usize) -> Result<T, ErrorBody>
where
    T: serde::de::DeserializeOwned,
{
    let body = read_body(request, limit_bytes)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge => {
                ErrorBody::not_run("body_too_large", "the body is too large", None)
            }
            BodyError::Cut => ErrorBody::not_run("body_cut", "the body was cut", None),
        })?;
    serde_json::from_slice(&body)
        .map_err(|source| ErrorBody::not_run("body_malformed", &source.to_string(), None))
}
