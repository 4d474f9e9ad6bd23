//! Calls to a daemon.

use awc::Client;
use awc::ClientResponse;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use miette::Report;
use miette::miette;
use serde::Serialize;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_api::TOKEN_HEADER;

use crate::commands::EXIT_CONFLICT;
use crate::commands::EXIT_REFUSED;
use crate::commands::EXIT_UNKNOWN;
use crate::commands::Failure;

/// Largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Reads a path of a daemon.
pub async fn get(address: &str, path: &str) -> Result<String, Failure> {
    let request = Client::default().get(format!("http://{address}{path}"));
    let sent = request.send().await;
    finish(address, sent).await
}

/// Sends JSON to a path of a daemon.
pub async fn post<T>(
    address: &str,
    path: &str,
    token: Option<&str>,
    body: &T,
) -> Result<String, Failure>
where
    T: Serialize,
{
    let mut request = Client::default().post(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.insert_header((TOKEN_HEADER, token));
    }
    let sent = request.send_json(body).await;
    finish(address, sent).await
}

type Sent = Result<ClientResponse, SendRequestError>;

async fn finish(address: &str, sent: Sent) -> Result<String, Failure> {
    let mut answer = sent.map_err(|error| {
        let report = miette!(help = "is the address right?", "{address}: {error}");
        Failure::new(EXIT_UNKNOWN, report)
    })?;
    let body = answer.body().limit(ANSWER_LIMIT_BYTES).await;
    let body = body.map_err(|error| Failure::new(EXIT_UNKNOWN, miette!("{address}: {error}")))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if answer.status().is_success() {
        return Ok(text);
    }
    Err(refused(answer.status(), &text))
}

fn refused(status: StatusCode, text: &str) -> Failure {
    let Ok(error) = serde_json::from_str::<ErrorBody>(text) else {
        return Failure::new(EXIT_UNKNOWN, miette!("{status}: {text}"));
    };
    let exit = match (error.outcome, status) {
        (_, StatusCode::CONFLICT) => EXIT_CONFLICT,
        (Outcome::NotRun, _) => EXIT_REFUSED,
        (Outcome::Unknown, _) => EXIT_UNKNOWN,
    };
    let report: Report = miette!(code = error.code.to_string(), "{}", error.message);
    Failure::new(exit, report)
}
