//! The home's part towards submitters: accepting jobs and telling their states.

use std::rc::Rc;

use syc_api::ErrorBody;
use syc_coord::Job;
use syc_coord::TaskState;
use syc_coord::records::Content;
use syc_member::Key;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;
use syc_wire::Body;
use syc_wire::Submit;
use syc_wire::SubmitReply;

use crate::members;
use crate::metrics;
use crate::node::Node;
use crate::peers;

/// Time that a home has to accept a job.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;

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
    ask_home(node, &home, body).await
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

/// Calls a home that answers with a [`SubmitReply`].
pub async fn ask_home(node: &Rc<Node>, home: &MemberId, body: Body) -> Result<(), ErrorBody> {
    match peers::call(node, home, body, SUBMIT_TIMEOUT_MS).await {
        Ok(Body::SubmitReply(reply)) => from_reply(&reply),
        Ok(_) | Err(syc_net::CallError::NoReply) => Err(ErrorBody::unknown(
            "home_silent",
            "the team's home did not answer; ask again with the same id",
        )),
        Err(syc_net::CallError::NotSent) => Err(ErrorBody::not_run(
            "home_unreachable",
            "the team's home can't be reached",
            Some(1_000),
        )),
    }
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

/// Returns the home of a team in the current view.
pub fn home_of(node: &Rc<Node>, team: &TeamId) -> Result<MemberId, ErrorBody> {
    let view = node.view.borrow();
    let home = view.team_home(team).map(|member| member.id.clone());
    home.ok_or_else(|| ErrorBody::not_run("no_view", "there are no members", Some(1_000)))
}

/// Says whether this daemon is the home of a team in the current view.
pub fn is_home(node: &Rc<Node>, team: &TeamId) -> bool {
    let view = node.view.borrow();
    let home = view.team_home(team);
    home.is_some_and(|member| member.id == node.id)
}

/// Accepts a job here: its record goes into the log first.
pub async fn accept(node: &Rc<Node>, job_id: JobId, spec: &JobSpec) -> Result<(), ErrorBody> {
    if !members::may_act_for(node, Key::Team(&spec.team)) {
        let message = "the team's home may not act now";
        return Err(ErrorBody::not_run("not_acting", message, Some(1_000)));
    }
    if node.jobs.borrow().get(job_id).is_some() {
        return Ok(());
    }
    node.home.borrow_mut().accepting(job_id);
    let content = Content::JobAccepted {
        job_id,
        spec: spec.clone(),
    };
    match node.log_writer.append(content).await {
        Ok(_offset) => {
            apply_accepted(node, job_id, spec);
            emit(catalogue::JOB_ACCEPTED, format_args!("job={job_id}"));
            Ok(())
        }
        Err(AppendError::Refused(reason)) => {
            node.home.borrow_mut().not_accepted(job_id);
            Err(ErrorBody::not_run("log_unavailable", &reason, Some(1_000)))
        }
        Err(AppendError::InDoubt(reason)) => Err(ErrorBody::unknown("append_in_doubt", &reason)),
    }
}

/// Applies an acceptance that the log's order has reached.
pub fn apply_accepted(node: &Rc<Node>, job_id: JobId, spec: &JobSpec) {
    if !node.jobs.borrow_mut().accept(job_id, spec) {
        return;
    }
    metrics::job_accepted(node, job_id);
    let here = is_home(node, &spec.team);
    if let Some(job) = node.jobs.borrow().get(job_id) {
        node.home.borrow_mut().learn(job, here, node.now());
    }
    node.jobs_wake.notify_one();
}

/// Applies the end of a task that the log's order has reached.
pub fn apply_ended(node: &Rc<Node>, task: TaskRef, outcome: &TaskOutcome) {
    let state = TaskState::Ended(outcome.clone());
    if !node.jobs.borrow_mut().set(task, state) {
        return;
    }
    let jobs = node.jobs.borrow();
    node.home.borrow_mut().recorded(task, &jobs, node.now());
    if jobs.get(task.job_id).is_some_and(Job::ended) {
        emit(catalogue::JOB_ENDED, format_args!("job={}", task.job_id));
    }
    node.jobs_wake.notify_one();
}

/// Takes over the jobs of a snapshot.
pub fn restore_jobs(node: &Rc<Node>, restored: Vec<Job>) {
    for job in restored {
        node.jobs.borrow_mut().restore(job);
    }
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    home.synchronize(|team| is_home(node, team), &jobs, node.now());
    node.jobs_wake.notify_one();
}

/// Looks again at what this daemon is the home of, after a change of the view.
pub fn view_changed(node: &Rc<Node>) {
    let (epoch, members) = {
        let view = node.view.borrow();
        let ids = view.members.iter().map(|member| member.id.clone());
        (view.epoch, ids.collect::<Vec<_>>())
    };
    let appends_per_s = node.settings.limits.appends_per_s;
    node.log_writer.share(appends_per_s, members.len());
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    home.enter(
        epoch,
        members,
        |team| is_home(node, team),
        &jobs,
        node.now(),
    );
    node.jobs_wake.notify_one();
}

/// Returns a job's state as JSON, as far as this daemon knows the job.
pub fn state_json(node: &Rc<Node>, job_id: JobId) -> Option<String> {
    let mut job = node.jobs.borrow().get(job_id)?.clone();
    let home = node.home.borrow();
    for index in job.open() {
        let task = TaskRef { job_id, index };
        job.tasks[index as usize] = home.state(&job.spec.team, task);
    }
    serde_json::to_string(&job).ok()
}

/// Returns a job's state as its home knows it, or `None` if no member knows the job.
pub async fn find(node: &Rc<Node>, job_id: JobId) -> Option<String> {
    let team = {
        let jobs = node.jobs.borrow();
        jobs.get(job_id).map(|job| job.spec.team.clone())
    };
    let asked = match team {
        Some(team) => vec![home_of(node, &team).ok()?],
        None => members::others(node),
    };
    for member in asked {
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

/// Makes the reply to a submit or a cancellation that came from a peer.
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
