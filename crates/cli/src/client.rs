//! Calls to daemons: several addresses are tried in turn, and what may have been done is never
//! called undone.

use std::time::Duration;
use std::time::Instant;

use awc::Client;
use awc::ClientRequest;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;
use miette::miette;
use serde::Serialize;
use serde::de::DeserializeOwned;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_api::TOKEN_HEADER;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::progress::Progress;

/// Largest answer that is read.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Time that one address has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause before the addresses are tried again.
const RETRY: Duration = Duration::from_millis(500);

/// The daemons that a command may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Daemons<'o> {
    /// Their addresses, tried in turn.
    pub addresses: &'o [String],
    /// What to show for changes on the control address.
    pub token: Option<&'o str>,
    /// Longest time to try.
    pub timeout: Duration,
}

/// What one address answered.
enum Reply {
    /// It is done, with this answer.
    Done(String),
    /// It was refused for good; a repeat gets the same.
    Refused(StatusCode, ErrorBody),
    /// Nothing was done by this call; another may go through.
    NotRun(String),
    /// It may have been done.
    InDoubt(String),
}

impl Daemons<'_> {
    /// Reads a path of the first daemon that answers.
    pub async fn get<T>(&self, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let mut reasons = Vec::new();
        for address in self.addresses {
            match get(address, path).await {
                Reply::Done(text) => return parse(address, &text),
                Reply::Refused(status, error) => return Err(refused(status, &error)),
                Reply::NotRun(reason) | Reply::InDoubt(reason) => reasons.push(reason),
            }
        }
        Err(unreachable(&reasons))
    }

    /// Sends the same JSON, which carries an id, until a daemon gives a final answer.
    pub async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, Failure>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let until = Instant::now() + self.timeout;
        let mut progress = Progress::new();
        let mut in_doubt = None;
        loop {
            let mut reasons = Vec::new();
            for address in self.addresses {
                progress.show(&format!("waiting for {address}"));
                match self.post_one(address, path, body).await {
                    Reply::Done(text) => return parse(address, &text),
                    Reply::Refused(status, error) => return Err(refused(status, &error)),
                    Reply::NotRun(reason) => reasons.push(reason),
                    Reply::InDoubt(reason) => in_doubt = Some(reason),
                }
            }
            if Instant::now() + RETRY >= until {
                return Err(match &in_doubt {
                    Some(reason) => doubtful(reason),
                    None => unreachable(&reasons),
                });
            }
            progress.show("trying again");
            actix_rt::time::sleep(RETRY).await;
        }
    }

    async fn post_one<B>(&self, address: &str, path: &str, body: &B) -> Reply
    where
        B: Serialize,
    {
        let mut request = client().post(format!("http://{address}{path}"));
        if let Some(token) = self.token {
            request = request.insert_header((TOKEN_HEADER, token));
        }
        let body = serde_json::to_vec(body).unwrap_or_default();
        let request = request.content_type("application/json");
        exchange(address, request, body.into()).await
    }
}

/// Reads a path of one daemon.
pub async fn get_one<T>(address: &str, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    match get(address, path).await {
        Reply::Done(text) => serde_json::from_str(&text).ok(),
        _ => None,
    }
}

async fn get(address: &str, path: &str) -> Reply {
    let request = client().get(format!("http://{address}{path}"));
    exchange(address, request, Bytes::new()).await
}

fn client() -> Client {
    Client::builder().timeout(ANSWER_TIMEOUT).finish()
}

async fn exchange(address: &str, request: ClientRequest, body: Bytes) -> Reply {
    let mut answer = match request.send_body(body).await {
        Ok(answer) => answer,
        Err(SendRequestError::Connect(error)) => {
            return Reply::NotRun(format!("{address}: {error}"));
        }
        Err(error) => return Reply::InDoubt(format!("{address}: {error}")),
    };
    let body = match answer.body().limit(ANSWER_LIMIT_BYTES).await {
        Ok(body) => body,
        Err(error) => return Reply::InDoubt(format!("{address}: {error}")),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if answer.status().is_success() {
        return Reply::Done(text);
    }
    let Ok(error) = serde_json::from_str::<ErrorBody>(&text) else {
        return Reply::InDoubt(format!("{address}: {} {text}", answer.status()));
    };
    match (error.outcome, answer.status()) {
        (Outcome::Unknown, _) => Reply::InDoubt(format!("{address}: {}", error.message)),
        (Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
            Reply::NotRun(format!("{address}: {}", error.message))
        }
        (Outcome::NotRun, status) => Reply::Refused(status, error),
    }
}

fn parse<T>(address: &str, text: &str) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text).map_err(|error| {
        let help = "are the tool and the daemon of the same version?";
        let report = miette!(
            help = help,
            "{address} answered what is not understood: {error}"
        );
        Failure::new(Exit::Unknown, report)
    })
}

fn refused(status: StatusCode, error: &ErrorBody) -> Failure {
    let (exit, help) = match status {
        StatusCode::CONFLICT => (
            Exit::Conflict,
            "another publication came first: look at it with `syc diff FILE`, then publish again",
        ),
        StatusCode::FORBIDDEN => (
            Exit::Refused,
            "give the daemons' control token with --token or SYC_CONTROL_TOKEN",
        ),
        StatusCode::NOT_FOUND => (
            Exit::Refused,
            "check the id, and that the address is the right one of --control and --callers",
        ),
        _ => (Exit::Refused, "nothing was done; mend it and send it again"),
    };
    let report = miette!(
        code = error.code.to_string(),
        help = help,
        "{}",
        error.message
    );
    Failure::new(exit, report)
}

fn unreachable(reasons: &[String]) -> Failure {
    let report = miette!(
        help = "nothing was done; are the addresses right, and the daemons up? Give several, \
                separated by commas",
        "no daemon could do it\n{}",
        reasons.join("\n")
    );
    Failure::new(Exit::Unreachable, report)
}

fn doubtful(reason: &str) -> Failure {
    let report = miette!(
        help = "it may have been done: look with `syc audit`, `syc diff` or `syc result` before \
                you send it again",
        "the outcome is unknown\n{reason}"
    );
    Failure::new(Exit::Unknown, report)
}
