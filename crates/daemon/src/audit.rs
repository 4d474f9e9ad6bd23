//! The audit trail of this daemon, folded from the log, and the answers from it.

use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use smol_str::SmolStr;
use syc_api::AuditEntryBody;
use syc_coord::Action;
use syc_coord::AuditEntry;
use syc_coord::Place;
use syc_coord::records::Content;
use syc_coord::records::Record;
use syc_types::Revision;

use crate::http_body::json;
use crate::node::Node;

/// Adds a record that was applied to the trail, if operators care for it.
pub fn note(node: &Rc<Node>, offset: u64, record: &Record) {
    let place = Place {
        id: record.id,
        offset,
        at_ms: record.at_ms,
    };
    let mut trail = node.operators.audit.borrow_mut();
    match &record.content {
        Content::Config(config) => {
            let id = config.publication;
            if let Some(verdict) = node.config.borrow().verdict(id) {
                trail.config(Place { id, ..place }, config, verdict);
            }
        }
        Content::Audit(other) => trail.other(place, other),
        _ => {}
    }
}

/// Answers with the trail, the latest first; with that of one scope where one is given.
pub fn answer(node: &Rc<Node>, scope: Option<&str>) -> Response<BoxBody> {
    let trail = node.operators.audit.borrow();
    let mut entries = Vec::new();
    for entry in trail.entries().rev() {
        if scope.is_some() && entry.action.scope() != scope {
            continue;
        }
        entries.push(body_of(entry));
    }
    json(StatusCode::OK, &entries)
}

fn body_of(entry: &AuditEntry) -> AuditEntryBody {
    let body = AuditEntryBody {
        id: entry.id,
        offset: entry.offset,
        at_ms: entry.at_ms,
        actor: entry.actor.clone(),
        action: SmolStr::new_static("publish"),
        target: SmolStr::default(),
        accepted: true,
        from: Revision(0),
        to: Revision(0),
        reason: String::new(),
    };
    match &entry.action {
        Action::Published { scope, from, to } => AuditEntryBody {
            target: scope.clone(),
            from: *from,
            to: *to,
            ..body
        },
        Action::Refused {
            scope,
            base,
            current,
        } => AuditEntryBody {
            target: scope.clone(),
            accepted: false,
            from: *base,
            to: *current,
            reason: format!("revision {} was in force, not {}", current.0, base.0),
            ..body
        },
        Action::Other { code, detail } => AuditEntryBody {
            action: code.clone(),
            target: detail.clone(),
            ..body
        },
    }
}
