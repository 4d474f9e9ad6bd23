//! Why a job is where it is.

use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use serde::Deserialize;
use serde_json::Value;
use syc_api::ErrorBody;
use syc_api::ExplainBody;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::TeamId;
use uuid::Uuid;

use crate::home;
use crate::http_body::json;
use crate::http_body::refusal;
use crate::node::Node;

/// Explains a job.
pub async fn answer(node: &Rc<Node>, id: &str) -> Response<BoxBody> {
    let Ok(id) = Uuid::parse_str(id) else {
        let body = ErrorBody::not_run("job_id_malformed", "the id is no UUID", None);
        return refusal(StatusCode::BAD_REQUEST, &body);
    };
    let state = home::find(node, JobId(id)).await;
    let state = state.and_then(|text| serde_json::from_str::<Value>(&text).ok());
    let Some(state) = state else {
        let body = ErrorBody::not_run("no_such_job", "no member knows this job", None);
        return refusal(StatusCode::NOT_FOUND, &body);
    };
    let team = state["spec"]["team"].as_str().unwrap_or_default();
    let home = home_of(node, &TeamId::new(team));
    let reasons = reasons(&state, home.as_ref());
    let workers = if reasons.is_empty() {
        Vec::new()
    } else {
        workers_for(node, &state)
    };
    let body = ExplainBody {
        member: node.id.clone(),
        job_id: JobId(id),
        home,
        state,
        reasons,
        workers,
    };
    json(StatusCode::OK, &body)
}

/// Returns the home of a team in the view that is in force here.
pub fn home_of(node: &Rc<Node>, team: &TeamId) -> Option<MemberId> {
    let view = node.view.borrow();
    view.team_home(team).map(|member| member.id.clone())
}

fn reasons(state: &Value, home: Option<&MemberId>) -> Vec<String> {
    let tasks = state["tasks"].as_array();
    let count = |name: &str| {
        let tasks = tasks.into_iter().flatten();
        tasks.filter(|task| task.as_str() == Some(name)).count()
    };
    let (pending, offered) = (count("pending"), count("offered"));
    let mut reasons = Vec::new();
    if home.is_none() {
        reasons.push("no member is the home of its team: there is no view".to_owned());
    }
    if pending > 0 {
        reasons.push(format!("{pending} task(s) wait to be offered to an owner"));
    }
    if offered > 0 {
        reasons.push(format!("{offered} task(s) wait for an owner's grant"));
    }
    reasons
}

fn workers_for(node: &Rc<Node>, state: &Value) -> Vec<String> {
    let Ok(spec) = JobSpec::deserialize(&state["spec"]) else {
        return Vec::new();
    };
    let found = node.owner.state.borrow().explain(&spec);
    if let Some(near) = found.never {
        return vec![format!(
            "a task fits on no worker, even an empty one: {near}"
        )];
    }
    let counts = [
        (found.fitting, "have room now"),
        (found.short_of_cpu, "have too little free processor"),
        (found.short_of_memory, "have too little free memory"),
        (
            found.short_of_accelerators,
            "have too few free accelerators",
        ),
        (
            found.guarded,
            "keep their room for work that has waited long",
        ),
        (
            found.silent,
            "have not told yet what they run, or are silent",
        ),
        (found.aside, "are put aside because what they start fails"),
        (found.retired, "are no longer in the inventory"),
    ];
    let some = counts.iter().filter(|(count, _)| *count > 0);
    some.map(|(count, text)| format!("{count} worker(s) {text}"))
        .collect()
}
