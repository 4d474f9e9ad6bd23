//! What this daemon shows to a scraper.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use syc_coord::AuditTrail;
use syc_coord::TaskState;
use syc_obs::ClientReadings;
use syc_obs::Metrics;
use syc_obs::Readings;
use syc_types::JobId;
use syc_types::Millis;
use syc_types::Resources;
use tokio::sync::Notify;

use crate::control_explain::home_of;
use crate::control_status::open_states;
use crate::members;
use crate::node::Node;

/// Most jobs of which the time of acceptance is kept.
const ACCEPTED_JOBS: usize = 16_384;

/// What is kept for operators.
#[derive(Debug, Default)]
pub struct Operators {
    /// The metrics.
    pub metrics: Metrics,
    /// The audit trail.
    pub audit: RefCell<AuditTrail>,
    /// End of the log when it was read last.
    pub log_end: Cell<u64>,
    accepted: RefCell<HashMap<JobId, Millis>>,
    /// Tells that an operator wants this daemon to stop.
    pub drain_asked: Notify,
}

impl Operators {
    /// Returns the entries of the log that have still to be read.
    pub fn log_lag_entries(&self, log_next: u64) -> u64 {
        self.log_end.get().saturating_sub(log_next)
    }
}

/// Notes that a job was accepted now; its tasks wait from here on.
pub fn job_accepted(node: &Rc<Node>, job_id: JobId) {
    // What a daemon that starts reads of the past did not happen now.
    if !node.caught_up.get() {
        return;
    }
    let mut accepted = node.operators.accepted.borrow_mut();
    if accepted.len() >= ACCEPTED_JOBS {
        let jobs = node.jobs.borrow();
        accepted.retain(|id, _| jobs.get(*id).is_some_and(|job| !job.ended()));
    }
    if accepted.len() < ACCEPTED_JOBS {
        accepted.insert(job_id, node.now());
    }
}

/// Notes that so many tasks of a job were started now.
pub fn tasks_started(node: &Rc<Node>, job_id: JobId, tasks: usize) {
    let accepted = node.operators.accepted.borrow();
    let jobs = node.jobs.borrow();
    let (Some(since), Some(job)) = (accepted.get(&job_id), jobs.get(job_id)) else {
        return;
    };
    let waited_ms = node.now().since(*since);
    for _ in 0..tasks {
        let metrics = &node.operators.metrics;
        metrics.task_waited(job.spec.class, waited_ms);
    }
}

/// Returns the page to scrape.
pub fn page(node: &Rc<Node>) -> String {
    node.operators.metrics.page(&readings(node))
}

fn readings(node: &Rc<Node>) -> Readings {
    let intake = node.intake.readings();
    let mut readings = Readings {
        clients: ClientReadings {
            connections: intake.connections,
            held_bytes: intake.pooled_bytes,
            refusals: intake.refusals.by_reason(),
        },
        epoch: node.view.borrow().epoch.0,
        members: node.view.borrow().members.len() as u64,
        acting: members::may_act(node),
        caught_up: node.caught_up.get(),
        draining: node.draining.get(),
        requests_in_progress: node.requests.in_progress.get() as u64,
        requests_waiting: node.requests.waiting.get() as u64,
        log_lag_entries: node.operators.log_lag_entries(node.log_next.get()),
        log_appends: node.log_writer.appends(),
        peer_bytes: node.members.transferred_bytes(),
        worker_bytes: node.platform.worker_bytes(),
        log_bytes: node.platform.log_bytes(),
        ..Readings::default()
    };
    add_jobs(node, &mut readings);
    add_workers(node, &mut readings);
    readings
}

fn add_jobs(node: &Rc<Node>, readings: &mut Readings) {
    let jobs = node.jobs.borrow();
    for job in jobs.iter() {
        if job.ended() || home_of(node, &job.spec.team).as_ref() != Some(&node.id) {
            continue;
        }
        readings.open_jobs += 1;
        for state in open_states(node, job) {
            match state {
                TaskState::Pending | TaskState::Offered => readings.tasks_waiting += 1,
                TaskState::Running(_) => readings.tasks_running += 1,
                TaskState::Ended(_) => {}
            }
        }
    }
}

fn add_workers(node: &Rc<Node>, readings: &mut Readings) {
    let owner = node.owner.state.borrow();
    let ledger = owner.ledger();
    for (key, worker) in ledger.workers() {
        readings.capacity = sum(&readings.capacity, &worker.capacity);
        let granted = ledger.granted(key).unwrap_or_default();
        readings.granted = sum(&readings.granted, &granted);
    }
}

fn sum(one: &Resources, other: &Resources) -> Resources {
    one.checked_add(other).unwrap_or(*one)
}
