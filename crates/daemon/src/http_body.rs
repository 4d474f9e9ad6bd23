//! Bodies in and out of the daemon's HTTP addresses.

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use serde::Serialize;
use syc_api::ErrorBody;
use syc_net::BodyError;
use syc_net::json_response;
use syc_net::read_body;

/// Code of the error of a body that there is no memory for.
const MEMORY_FULL: &str = "memory_full";

/// Time after which a caller may come back whose body was refused.
const MEMORY_RETRY_MS: u64 = 500;

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
    json_response(status, serde_json::to_string(value).unwrap_or_default())
}

/// Makes the response to a request whose body [`read_json`] did not read.
pub fn unread(error: &ErrorBody) -> Response<BoxBody> {
    let status = if error.code == MEMORY_FULL {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::BAD_REQUEST
    };
    refusal(status, error)
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
            BodyError::Incomplete => ErrorBody::not_run("body_cut", "the body was cut", None),
            BodyError::Refused(_) => ErrorBody::not_run(
                MEMORY_FULL,
                "too much is being sent to this daemon",
                Some(MEMORY_RETRY_MS),
            ),
        })?;
    serde_json::from_slice(&body)
        .map_err(|source| ErrorBody::not_run("body_malformed", &source.to_string(), None))
}
