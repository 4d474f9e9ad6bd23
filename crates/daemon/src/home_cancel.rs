//! Cancelling jobs: one record ends all their tasks, and the owners stop what still runs.

use std::rc::Rc;

use syc_api::ErrorBody;
use syc_coord::Job;
use syc_coord::records::Content;
use syc_member::Key;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_types::JobId;
use syc_types::TaskRef;
use syc_wire::Body;
use syc_wire::CancelJob;

use crate::follower;
use crate::home;
use crate::members;
use crate::node::Node;

/// Cancels a job at its team's home, wherever that is.
pub async fn cancel(node: &Rc<Node>, job_id: JobId) -> Result<(), ErrorBody> {
    if node.jobs.borrow().get(job_id).is_none() {
        let _read = follower::read_now(node).await;
    }
    let team = {
        let jobs = node.jobs.borrow();
        jobs.get(job_id).map(|job| job.spec.team.clone())
    };
    let Some(team) = team else {
        return Err(ErrorBody::not_run(
            "no_such_job",
            "no such job is known",
            None,
        ));
    };
    let home = home::home_of(node, &team)?;
    if home == node.id {
        return cancel_here(node, job_id).await;
    }
    let body = Body::CancelJob(CancelJob {
        job_id: job_id.0.as_bytes().to_vec(),
    });
    home::ask_home(node, &home, body).await
}

/// Cancels a job here: the record of it goes into the log first.
pub async fn cancel_here(node: &Rc<Node>, job_id: JobId) -> Result<(), ErrorBody> {
    let team = {
        let jobs = node.jobs.borrow();
        jobs.get(job_id).map(|job| job.spec.team.clone())
    };
    if !team.is_some_and(|team| members::may_act_for(node, Key::Team(&team))) {
        let message = "the team's home may not act now";
        return Err(ErrorBody::not_run("not_acting", message, Some(1_000)));
    }
    if node.jobs.borrow().get(job_id).is_some_and(Job::ended) {
        return Ok(());
    }
    let content = Content::JobCancelled { job_id };
    match node.log_writer.append(content).await {
        Ok(_offset) => {
            apply(node, job_id);
            emit(catalogue::JOB_CANCELLED, format_args!("job={job_id}"));
            Ok(())
        }
        Err(AppendError::Refused(reason)) => {
            Err(ErrorBody::not_run("log_unavailable", &reason, Some(1_000)))
        }
        Err(AppendError::InDoubt(reason)) => Err(ErrorBody::unknown("append_in_doubt", &reason)),
    }
}

/// Applies a cancellation that the log's order has reached.
pub fn apply(node: &Rc<Node>, job_id: JobId) {
    let open = node.jobs.borrow_mut().cancel(job_id);
    let jobs = node.jobs.borrow();
    let mut home = node.home.borrow_mut();
    for index in open {
        let task = TaskRef { job_id, index };
        home.recorded(task, &jobs, node.now());
    }
    node.jobs_wake.notify_one();
}
