//! Publishing from the operators' address: every document is checked here as well.

use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;
use syc_api::ErrorBody;
use syc_api::Outcome;
use syc_api::PublishBody;
use syc_config::Findings;
use syc_config::parse_document;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_types::Revision;
use uuid::Uuid;

use crate::http_body::json;
use crate::http_body::read_json;
use crate::http_body::refusal;
use crate::http_body::unread;
use crate::node::Node;
use crate::publish;

/// Largest document that can be published.
const DOCUMENT_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// A publication whose document is not yet checked.
#[derive(Debug, Deserialize)]
struct Unchecked {
    id: Uuid,
    author: SmolStr,
    base: Revision,
    document: Value,
}

/// Publishes a document.
pub async fn answer(node: &Rc<Node>, request: &mut Request) -> Response<BoxBody> {
    let unchecked = match read_json::<Unchecked>(request, DOCUMENT_LIMIT_BYTES).await {
        Ok(unchecked) => unchecked,
        Err(error) => return unread(&error),
    };
    let body = match check(unchecked) {
        Ok(body) => body,
        Err(findings) => return malformed(&findings),
    };
    match publish::publish(node, body).await {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(error) => {
            let status = match (error.outcome, error.code.as_str()) {
                (_, "conflict") => StatusCode::CONFLICT,
                (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
                (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
            };
            refusal(status, &error)
        }
    }
}

fn check(unchecked: Unchecked) -> Result<PublishBody, Findings> {
    let text = format!("{:#}", unchecked.document);
    let document = parse_document("document", &text)?;
    Ok(PublishBody {
        id: unchecked.id,
        author: unchecked.author,
        base: unchecked.base,
        document,
    })
}

fn malformed(findings: &Findings) -> Response<BoxBody> {
    let mut lines = Vec::new();
    for finding in findings.list() {
        lines.push(format!("{}: {}", finding.path, finding.message));
    }
    let count = lines.len();
    emit(
        catalogue::DOCUMENT_MALFORMED,
        format_args!("findings={count}"),
    );
    let body = ErrorBody::not_run("document_malformed", &lines.join("\n"), None);
    refusal(StatusCode::BAD_REQUEST, &body)
}
