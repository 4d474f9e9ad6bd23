//! What operators see of a daemon.

use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use syc_api::ConfigEntry;
use syc_api::MemberStatus;
use syc_api::OwnerStatus;
use syc_api::RackStatus;
use syc_api::StatusBody;
use syc_api::WaitingJob;
use syc_coord::Job;
use syc_coord::TaskState;
use syc_types::TaskRef;

use crate::control_explain::home_of;
use crate::http_body::json;
use crate::members;
use crate::node::Node;
use crate::owner;

/// Most jobs that are listed as waiting.
const WAITING_JOBS: usize = 50;

/// Answers with the daemon's state.
pub fn status(node: &Rc<Node>) -> Response<BoxBody> {
    let jobs = node.jobs.borrow();
    let load = owner::load(node);
    let body = StatusBody {
        member: node.id.clone(),
        epoch: node.view.borrow().epoch,
        members: members_of(node),
        caught_up: node.caught_up.get(),
        may_act: members::may_act(node),
        heard: heard_of(node),
        heartbeat_bytes: node.members.heartbeat_bytes.get(),
        draining: node.draining.get(),
        log_next: node.log_next.get(),
        log_lag_entries: node.operators.log_lag_entries(node.log_next.get()),
        log_available: node.log_writer.available(),
        appends: node.log_writer.appends(),
        appended_records: node.log_writer.appended_records(),
        requests_in_progress: node.requests.in_progress.get(),
        requests_waiting: node.requests.waiting.get(),
        open_jobs: jobs.iter().filter(|job| !job.ended()).count(),
        owned_workers: node.owner.state.borrow().ledger().workers().count(),
        free_cpu_millis: load.free_cpu_millis,
        queued_tasks: load.queued_tasks,
        racks: racks_of(node),
        waiting_jobs: waiting_jobs(node),
    };
    json(StatusCode::OK, &body)
}

/// Answers with the documents in force.
pub fn config(node: &Rc<Node>) -> Response<BoxBody> {
    let config = node.config.borrow();
    let mut entries = Vec::new();
    for (scope, in_force) in config.documents() {
        entries.push(ConfigEntry {
            scope: scope.clone(),
            revision: in_force.revision,
            author: in_force.author.clone(),
            document: in_force.document.clone(),
        });
    }
    json(StatusCode::OK, &entries)
}

fn members_of(node: &Rc<Node>) -> Vec<MemberStatus> {
    let view = node.view.borrow();
    let mut members = Vec::new();
    for member in &view.members {
        members.push(MemberStatus {
            id: member.id.clone(),
            zone: member.zone.clone(),
            peer_address: member.peer_address.clone(),
        });
    }
    members
}

fn heard_of(node: &Rc<Node>) -> Vec<OwnerStatus> {
    let mut heard = Vec::new();
    for (id, load) in members::loads(node) {
        heard.push(OwnerStatus {
            id,
            free_cpu_millis: load.free_cpu_millis,
            free_memory_bytes: load.free_memory_bytes,
            free_accelerators: load.free_accelerators,
            queued_tasks: load.queued_tasks,
        });
    }
    heard
}

fn racks_of(node: &Rc<Node>) -> Vec<RackStatus> {
    let mut workers = BTreeMap::new();
    for worker in node.effective_inventory().workers {
        *workers.entry(worker.rack).or_insert(0) += 1;
    }
    let view = node.view.borrow();
    let mut racks = Vec::new();
    for (rack, workers) in workers {
        let owner = view.rack_owner(&rack).map(|member| member.id.clone());
        racks.push(RackStatus {
            rack,
            owner,
            workers,
        });
    }
    racks
}

fn waiting_jobs(node: &Rc<Node>) -> Vec<WaitingJob> {
    let jobs = node.jobs.borrow();
    let mut waiting = Vec::new();
    for job in jobs.iter() {
        let home = home_of(node, &job.spec.team);
        // Only the home knows which tasks run.
        if home.as_ref() != Some(&node.id) {
            continue;
        }
        let states = open_states(node, job);
        let (pending, offered) = (
            count(&states, &TaskState::Pending),
            count(&states, &TaskState::Offered),
        );
        if pending + offered == 0 {
            continue;
        }
        waiting.push(WaitingJob {
            job_id: job.id,
            team: job.spec.team.clone(),
            home,
            class: job.spec.class,
            tasks: pending + offered,
            reason: format!("{pending} to be offered, {offered} wait for an owner's grant"),
        });
    }
    waiting.sort_by_key(|job| (job.class, job.job_id));
    waiting.truncate(WAITING_JOBS);
    waiting
}

/// Returns the states of a job's tasks that have not ended, as their home knows them.
pub fn open_states(node: &Rc<Node>, job: &Job) -> Vec<TaskState> {
    let home = node.home.borrow();
    let mut states = Vec::new();
    for index in job.open() {
        let task = TaskRef {
            job_id: job.id,
            index,
        };
        states.push(home.state(&job.spec.team, task));
    }
    states
}

fn count(states: &[TaskState], state: &TaskState) -> usize {
    states.iter().filter(|other| *other == state).count()
}
