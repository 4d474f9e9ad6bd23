//! A planned stop that an operator asks for.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use smol_str::SmolStr;
use syc_api::DrainAnswer;
use syc_api::DrainBody;
use syc_coord::records::AuditRecord;
use syc_coord::records::Content;
use syc_obs::catalogue;
use syc_obs::emit;

use crate::http_body::json;
use crate::http_body::read_json;
use crate::http_body::unread;
use crate::node::Node;

/// Largest body of a drain.
const BODY_LIMIT_BYTES: usize = 4 * 1024;

/// Time that the audit record has to reach the log; the stop does not depend on it.
const AUDIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Begins a planned stop of this daemon.
pub async fn answer(node: &Rc<Node>, request: &mut Request) -> Response<BoxBody> {
    let body = match read_json::<DrainBody>(request, BODY_LIMIT_BYTES).await {
        Ok(body) => body,
        Err(error) => return unread(&error),
    };
    let actor = &body.actor;
    emit(catalogue::DRAIN_ASKED, format_args!("actor={actor}"));
    let content = Content::Audit(AuditRecord {
        actor: body.actor.clone(),
        action: "drain".into(),
        detail: SmolStr::new(node.id.as_str()),
    });
    let append = node.log_writer.append(content);
    let appended = tokio::time::timeout(AUDIT_TIMEOUT, append).await;
    node.operators.drain_asked.notify_one();
    let answer = DrainAnswer {
        member: node.id.clone(),
        audited: matches!(appended, Ok(Ok(_offset))),
    };
    json(StatusCode::ACCEPTED, &answer)
}
