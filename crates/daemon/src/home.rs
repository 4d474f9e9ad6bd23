//! The home's part: accepting jobs, offering their tasks to owners, and keeping how they ended.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use syc_api::ErrorBody;
use syc_coord::Job;
use syc_coord::TaskState;
use syc_coord::records::Content;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_types::JobId;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_types::WorkerId;
use syc_wire::Body;
use syc_wire::Offer;
use syc_wire::Submit;
use syc_wire::SubmitReply;
use syc_wire::TaskDone;

use crate::members;
use crate::node::Node;
use crate::owner;
use crate::owner::StartOrder;
use crate::peers;

/// Pause before tasks that found no room are offered again.
const OFFER_RETRY: Duration = Duration::from_millis(50);

/// Time that a home has to accept a job.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;

/// Time that an owner has to start tasks.
const OFFER_TIMEOUT_MS: u64 = 5_000;

/// Time that a home has to keep the end of a task.
const REPORT_TIMEOUT_MS: u64 = 5_000;

/// Most tasks that one job may have.
const TASK_LIMIT: u32 = 10_000;

/// Accepts a job at its team's home, wherever that is.
pub async fn submit(node: &Rc<Node>, job_id: JobId, spec: &JobSpec) -> Result<(), ErrorBody> {
    check_spec(spec)?;
    let home = home_of(node, &spec.team)?;
    if home == node.id {
        return accept(node, job_id, spec).await;
    }
    let body = Body::Submit(Submit {
        job_id: job_id.0.as_bytes().to_vec(),
        spec: spec.into(),
    });
    match peers::call(node, &home, body, SUBMIT_TIMEOUT_MS).await {
        Ok(Body::SubmitReply(reply)) => from_reply(&reply),
        Ok(_) | Err(syc_net::CallError::NoReply) => Err(ErrorBody::unknown(
            "home_silent",
            "the team's home did not answer; submit again with the same id",
        )),
        Err(syc_net::CallError::NotSent) => Err(ErrorBody::not_run(
            "home_unreachable",
            "the team's home can't be reached",
            Some(1_000),
        )),
    }
}

fn check_spec(spec: &JobSpec) -> Result<(), ErrorBody> {
    let fault = if spec.team.as_str().is_empty() {
        "the team is missing"
    } else if spec.tasks == 0 || spec.tasks > TASK_LIMIT {
        "the number of tasks is out of range"
    } else {
        return Ok(());
    };
    Err(ErrorBody::not_run("job_malformed", fault, None))
}

fn from_reply(reply: &SubmitReply) -> Result<(), ErrorBody> {
    if reply.accepted {
        return Ok(());
    }
    if reply.code == "append_in_doubt" {
        return Err(ErrorBody::unknown(&reply.code, &reply.reason));
    }
    Err(ErrorBody::not_run(&reply.code, &reply.reason, Some(1_000)))
}

fn home_of(node: &Rc<Node>, team: &TeamId) -> Result<MemberId, ErrorBody> {
    let view = node.view.borrow();
    let home = view.team_home(team).map(|member| member.id.clone());
    home.ok_or_else(|| ErrorBody::not_run("no_view", "there are no members", Some(1_000)))
}

/// Accepts a job here: its record goes into the log first.
pub async fn accept(node: &Rc<Node>, job_id: JobId, spec: &JobSpec) -> Result<(), ErrorBody> {
    if !members::may_act(node) {
        let message = "the team's home may not act now";
        return Err(ErrorBody::not_run("not_acting", message, Some(1_000)));
    }
    if node.jobs.borrow().get(job_id).is_some() {
        return Ok(());
    }
    let content = Content::JobAccepted {
        job_id,
        spec: spec.clone(),
    };
    match node.log_writer.append(content).await {
        Ok(_offset) => {
            node.jobs.borrow_mut().accept(job_id, spec);
            emit(catalogue::JOB_ACCEPTED, format_args!("job={job_id}"));
            node.jobs_wake.notify_one();
            Ok(())
        }
        Err(AppendError::Refused(reason)) => {
            Err(ErrorBody::not_run("log_unavailable", &reason, Some(1_000)))
        }
        Err(AppendError::InDoubt(reason)) => Err(ErrorBody::unknown("append_in_doubt", &reason)),
    }
}

/// Applies an acceptance that the log's order has reached.
pub fn apply_accepted(node: &Rc<Node>, job_id: JobId, spec: &JobSpec) {
    if node.jobs.borrow_mut().accept(job_id, spec) {
        node.jobs_wake.notify_one();
    }
}

/// Applies the end of a task that the log's order has reached.
pub fn apply_ended(node: &Rc<Node>, task: TaskRef, outcome: &TaskOutcome) {
    let state = TaskState::Ended(outcome.clone());
    node.jobs.borrow_mut().set(task, state);
}

/// Applies a cancellation that the log's order has reached: tasks that wait end at once.
pub fn apply_cancelled(node: &Rc<Node>, job_id: JobId) {
    node.jobs.borrow_mut().cancel(job_id);
}

/// Takes over the jobs of a snapshot.
pub fn restore_jobs(node: &Rc<Node>, restored: Vec<Job>) {
    for job in restored {
        node.jobs.borrow_mut().restore(job);
    }
    node.jobs_wake.notify_one();
}

/// Looks again at what this daemon is the home of, after a change of the view.
pub fn view_changed(node: &Rc<Node>) {
    node.jobs_wake.notify_one();
}

/// Places pending tasks until the arbiter ends.
pub async fn run(node: Rc<Node>) {
    loop {
        for (job, indexes) in placeable(&node) {
            for &index in &indexes {
                let task = TaskRef {
                    job_id: job.id,
                    index,
                };
                node.jobs.borrow_mut().set(task, TaskState::Offered);
            }
            actix_rt::spawn(place(Rc::clone(&node), job, indexes));
        }
        node.jobs_wake.notified().await;
    }
}

fn placeable(node: &Rc<Node>) -> Vec<(Job, Vec<u32>)> {
    let jobs = node.jobs.borrow();
    let view = node.view.borrow();
    let mut found = Vec::new();
    for job in jobs.iter() {
        let home = view.team_home(&job.spec.team);
        if home.is_none_or(|member| member.id != node.id) {
            continue;
        }
        let pending = pending(job);
        if pending.is_empty() {
            continue;
        }
        if job.spec.kind == JobKind::Gang {
            found.push((job.clone(), pending));
            continue;
        }
        for index in pending {
            found.push((job.clone(), vec![index]));
        }
    }
    found.sort_by_key(|(job, _)| (job.spec.class, job.id));
    found
}

fn pending(job: &Job) -> Vec<u32> {
    let open = job.open().into_iter();
    let waits = |index: &u32| job.tasks.get(*index as usize) == Some(&TaskState::Pending);
    open.filter(waits).collect()
}

async fn place(node: Rc<Node>, job: Job, indexes: Vec<u32>) {
    if !job.spec.idempotent && !record_intents(&node, &job, &indexes).await {
        retry_later(&node, job.id, &indexes).await;
        return;
    }
    let order = StartOrder {
        job_id: job.id,
        spec: job.spec,
        indexes,
        attempt: 1,
    };
    match start_somewhere(&node, &order).await {
        Some(workers) => {
            for (&index, worker) in order.indexes.iter().zip(workers) {
                let task = TaskRef {
                    job_id: order.job_id,
                    index,
                };
                node.jobs.borrow_mut().set(task, TaskState::Running(worker));
            }
        }
        None => retry_later(&node, order.job_id, &order.indexes).await,
    }
}

async fn record_intents(node: &Rc<Node>, job: &Job, indexes: &[u32]) -> bool {
    for &index in indexes {
        if job.intents.get(index as usize) == Some(&true) {
            continue;
        }
        let task = TaskRef {
            job_id: job.id,
            index,
        };
        let appended = node.log_writer.append(Content::Intent { task }).await;
        if appended.is_err() {
            return false;
        }
        node.jobs.borrow_mut().intend(task);
    }
    true
}

async fn start_somewhere(node: &Rc<Node>, order: &StartOrder) -> Option<Vec<WorkerId>> {
    let members = {
        let view = node.view.borrow();
        let mut ids = Vec::new();
        for member in &view.members {
            ids.push(member.id.clone());
        }
        ids
    };
    // Different jobs begin at different owners.
    let first = order.job_id.0.as_u128() % members.len().max(1) as u128;
    let first = usize::try_from(first).unwrap_or(0);
    for step in 0..members.len() {
        let owner = &members[(first + step) % members.len()];
        if let Some(workers) = offer(node, owner, order).await {
            return Some(workers);
        }
    }
    None
}

async fn offer(node: &Rc<Node>, owner: &MemberId, order: &StartOrder) -> Option<Vec<WorkerId>> {
    if *owner == node.id {
        return owner::start_tasks(node, order).await.ok();
    }
    let body = Body::Offer(Offer {
        job_id: order.job_id.0.as_bytes().to_vec(),
        spec: (&order.spec).into(),
        indexes: order.indexes.clone(),
        attempt: order.attempt,
        wait_ms: 0,
        hold_ms: 0,
    });
    let reply = peers::call(node, owner, body, OFFER_TIMEOUT_MS).await;
    let Ok(Body::OfferReply(reply)) = reply else {
        return None;
    };
    if reply.workers.len() != order.indexes.len() {
        return None;
    }
    let workers = reply.workers.into_iter().map(WorkerId::new);
    Some(workers.collect())
}

async fn retry_later(node: &Rc<Node>, job_id: JobId, indexes: &[u32]) {
    actix_rt::time::sleep(OFFER_RETRY).await;
    for &index in indexes {
        let task = TaskRef { job_id, index };
        node.jobs.borrow_mut().set(task, TaskState::Pending);
    }
    node.jobs_wake.notify_one();
}

/// Tells a task's end to its team's home; returns whether it is safe there.
pub async fn report_end(
    node: &Rc<Node>,
    team: &TeamId,
    task: TaskRef,
    attempt: u32,
    outcome: &TaskOutcome,
) -> bool {
    let Ok(home) = home_of(node, team) else {
        return false;
    };
    if home == node.id {
        return keep_end(node, task, outcome).await;
    }
    let body = Body::TaskDone(TaskDone::new(task, attempt, outcome));
    let reply = peers::call(node, &home, body, REPORT_TIMEOUT_MS).await;
    matches!(reply, Ok(Body::Ack(ack)) if ack.accepted)
}

/// Keeps a task's end here: its record goes into the log first.
pub async fn keep_end(node: &Rc<Node>, task: TaskRef, outcome: &TaskOutcome) -> bool {
    let known = {
        let jobs = node.jobs.borrow();
        let job = jobs.get(task.job_id);
        job.and_then(|job| job.tasks.get(task.index as usize).cloned())
    };
    if matches!(known, Some(TaskState::Ended(_))) {
        return true;
    }
    let content = Content::TaskEnded {
        task,
        outcome: outcome.clone(),
    };
    if node.log_writer.append(content).await.is_err() {
        return false;
    }
    let mut jobs = node.jobs.borrow_mut();
    jobs.set(task, TaskState::Ended(outcome.clone()));
    if jobs.get(task.job_id).is_some_and(Job::ended) {
        emit(catalogue::JOB_ENDED, format_args!("job={}", task.job_id));
    }
    true
}

/// Returns a job's state as JSON, as far as this daemon knows the job.
pub fn state_json(node: &Rc<Node>, job_id: JobId) -> Option<String> {
    let jobs = node.jobs.borrow();
    let job = jobs.get(job_id)?;
    serde_json::to_string(job).ok()
}

/// Returns a job's state as its home knows it, or `None` if no member knows the job.
pub async fn find(node: &Rc<Node>, job_id: JobId) -> Option<String> {
    let team = {
        let jobs = node.jobs.borrow();
        jobs.get(job_id).map(|job| job.spec.team.clone())
    };
    let asked = match team {
        Some(team) => vec![home_of(node, &team).ok()?],
        None => node.peers.keys().cloned().collect(),
    };
    for member in asked {
        if member == node.id {
            return state_json(node, job_id);
        }
        let body = Body::JobQuery(syc_wire::JobQuery {
            job_id: job_id.0.as_bytes().to_vec(),
        });
        let reply = peers::call(node, &member, body, SUBMIT_TIMEOUT_MS).await;
        if let Ok(Body::JobState(state)) = reply
            && !state.json.is_empty()
        {
            return Some(state.json);
        }
    }
    state_json(node, job_id)
}

/// Makes the reply to a submit that came from a peer.
pub fn submit_reply(outcome: Result<(), ErrorBody>) -> SubmitReply {
    match outcome {
        Ok(()) => SubmitReply {
            accepted: true,
            code: String::new(),
            reason: String::new(),
        },
        Err(error) => SubmitReply {
            accepted: false,
            code: error.code.to_string(),
            reason: error.message,
        },
    }
}

/// Makes the reason of an offer that was not taken.
pub fn offer_reply(outcome: Result<Vec<WorkerId>, SmolStr>) -> syc_wire::OfferReply {
    match outcome {
        Ok(workers) => syc_wire::OfferReply {
            workers: workers.iter().map(ToString::to_string).collect(),
            reason: String::new(),
        },
        Err(reason) => syc_wire::OfferReply {
            workers: Vec::new(),
            reason: reason.to_string(),
        },
    }
}
