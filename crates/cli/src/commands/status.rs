//! `syc status`: the daemons, their view, the owners and what waits.

use futures_util::future::join_all;
use serde_json::json;
use syc_api::StatusBody;

use crate::arguments::Options;
use crate::client;
use crate::commands::control;
use crate::failure::Failure;
use crate::output::Output;
use crate::output::table;
use crate::output::yes_no;

/// Path of a daemon's state.
const PATH: &str = "/v1/status";

/// Shows the state of every daemon asked, and what the first one sees.
pub async fn run(options: &Options) -> Result<Output, Failure> {
    let daemons = control(options)?;
    let ask = |address| client::get_one::<StatusBody>(address, PATH);
    let answers = join_all(daemons.addresses.iter().map(|address| ask(address))).await;
    let addresses = daemons.addresses.iter().map(String::as_str);
    let asked: Vec<_> = addresses.zip(answers).collect();
    let Some(first) = asked.iter().find_map(|(_, status)| status.as_ref()) else {
        // Asked again for the reasons.
        let status: StatusBody = daemons.get(PATH).await?;
        return Ok(Output::new(members(&status), &status));
    };
    let mut parts = vec![asked_table(&asked), members(first)];
    parts.extend(owners(first));
    parts.extend(racks(first));
    parts.extend(waiting(first));
    let bodies: Vec<_> = asked
        .iter()
        .map(|(address, status)| json!({"address": address, "status": status}))
        .collect();
    Ok(Output::new(parts.join("\n\n"), &bodies))
}

fn asked_table(asked: &[(&str, Option<StatusBody>)]) -> String {
    let header = [
        "ADDRESS",
        "MEMBER",
        "EPOCH",
        "ACTING",
        "CAUGHT UP",
        "DRAINING",
        "LOG",
        "LOG LAG",
        "REQUESTS",
        "WAITING",
        "JOBS",
        "WORKERS",
    ];
    let rows = asked.iter().map(|(address, status)| {
        let Some(status) = status else {
            return vec![(*address).to_owned(), "does not answer".to_owned()];
        };
        vec![
            (*address).to_owned(),
            status.member.to_string(),
            status.epoch.0.to_string(),
            yes_no(status.may_act),
            yes_no(status.caught_up),
            yes_no(status.draining),
            if status.log_available { "up" } else { "out" }.to_owned(),
            status.log_lag_entries.to_string(),
            status.requests_in_progress.to_string(),
            status.requests_waiting.to_string(),
            status.open_jobs.to_string(),
            status.owned_workers.to_string(),
        ]
    });
    table(&header, rows)
}

fn members(status: &StatusBody) -> String {
    let rows = status.members.iter().map(|member| {
        [
            member.id.to_string(),
            member.zone.to_string(),
            member.peer_address.to_string(),
        ]
    });
    table(&["MEMBER OF THE VIEW", "ZONE", "PEER ADDRESS"], rows)
}

fn owners(status: &StatusBody) -> Option<String> {
    if status.heard.is_empty() {
        return None;
    }
    let rows = status.heard.iter().map(|owner| {
        [
            owner.id.to_string(),
            owner.free_cpu_millis.to_string(),
            owner.free_memory_bytes.to_string(),
            owner.free_accelerators.to_string(),
            owner.queued_tasks.to_string(),
        ]
    });
    let header = [
        "OWNER",
        "FREE CPU MILLIS",
        "FREE MEMORY BYTES",
        "FREE ACCELERATORS",
        "QUEUED TASKS",
    ];
    Some(table(&header, rows))
}

fn racks(status: &StatusBody) -> Option<String> {
    if status.racks.is_empty() {
        return None;
    }
    let rows = status.racks.iter().map(|rack| {
        let owner = rack.owner.as_ref().map_or("nobody", |owner| owner.as_str());
        [
            rack.rack.to_string(),
            owner.to_owned(),
            rack.workers.to_string(),
        ]
    });
    Some(table(&["RACK", "OWNER", "WORKERS"], rows))
}

fn waiting(status: &StatusBody) -> Option<String> {
    if status.waiting_jobs.is_empty() {
        return None;
    }
    let rows = status.waiting_jobs.iter().map(|job| {
        [
            job.job_id.to_string(),
            job.team.to_string(),
            format!("{:?}", job.class).to_lowercase(),
            job.tasks.to_string(),
            job.reason.clone(),
        ]
    });
    Some(table(
        &["WAITING JOB", "TEAM", "CLASS", "TASKS", "WHY"],
        rows,
    ))
}
