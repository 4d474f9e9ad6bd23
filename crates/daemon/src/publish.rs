//! Publishing configuration: one record in the log, one verdict by the log's order.

use std::rc::Rc;
use std::time::Duration;

use syc_api::ErrorBody;
use syc_api::PublishAnswer;
use syc_api::PublishBody;
use syc_coord::Verdict;
use syc_coord::records::ConfigRecord;
use syc_coord::records::Content;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use uuid::Uuid;

use crate::node::Node;

/// Time that a publication waits for its verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);

/// Publishes a document and waits for the verdict on it.
pub async fn publish(node: &Rc<Node>, body: PublishBody) -> Result<PublishAnswer, ErrorBody> {
    let id = body.id;
    let known = node.config.borrow().verdict(id).cloned();
    if let Some(verdict) = known {
        return answer(&verdict);
    }
    let content = Content::Config(ConfigRecord {
        publication: id,
        author: body.author,
        base: body.base,
        document: body.document,
    });
    match node.log_writer.append(content).await {
        Ok(_) | Err(AppendError::InDoubt(_)) => {}
        Err(AppendError::Refused(reason)) => {
            let error = ErrorBody::not_run("log_unavailable", &reason, Some(1_000));
            return Err(error);
        }
    }
    node.log_wake.notify_one();
    match tokio::time::timeout(VERDICT_TIMEOUT, verdict(node, id)).await {
        Ok(verdict) => answer(&verdict),
        Err(_elapsed) => {
            let message = "no verdict yet; publish again with the same id";
            Err(ErrorBody::unknown("verdict_pending", message))
        }
    }
}

fn answer(verdict: &Verdict) -> Result<PublishAnswer, ErrorBody> {
    match verdict {
        Verdict::Accepted(revision) => Ok(PublishAnswer {
            revision: *revision,
        }),
        Verdict::Conflict(current) => {
            let message = format!("revision {} is in force", current.0);
            Err(ErrorBody::not_run("conflict", &message, None))
        }
    }
}

async fn verdict(node: &Rc<Node>, id: Uuid) -> Verdict {
    loop {
        let applied = node.log_applied.notified();
        let known = node.config.borrow().verdict(id).cloned();
        if let Some(verdict) = known {
            return verdict;
        }
        applied.await;
    }
}

/// Applies a publication that the log's order has reached.
pub fn apply(node: &Rc<Node>, offset: u64, config: &ConfigRecord) {
    let known = node.config.borrow().verdict(config.publication).is_some();
    let verdict = node.config.borrow_mut().apply(offset, config);
    if known {
        return;
    }
    let scope = config.document.scope();
    match verdict {
        Verdict::Accepted(revision) => {
            let revision = revision.0;
            emit(
                catalogue::CONFIG_APPLIED,
                format_args!("scope={scope} revision={revision}"),
            );
            node.apply_document(&config.document);
        }
        Verdict::Conflict(current) => emit(
            catalogue::CONFIG_REFUSED,
            format_args!("scope={scope} base={} current={}", config.base.0, current.0),
        ),
    }
}
