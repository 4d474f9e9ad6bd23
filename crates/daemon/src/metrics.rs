//! What this daemon shows to a scraper.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use syc_coord::AuditTrail;
use syc_coord::TaskState;
use syc_obs::Metrics;
use syc_obs::Readings;
use syc_types::Resources;
use tokio::sync::Notify;

use crate::control_explain::home_of;
use crate::control_status::open_states;
use crate::members;
use crate::node::Node;

/// What is kept for operators.
#[derive(Debug, Default)]
pub struct Operators {
    /// The metrics.
    pub metrics: Metrics,
    /// The audit trail.
    pub audit: RefCell<AuditTrail>,
    /// End of the log when it was read last.
    pub log_end: Cell<u64>,
    /// Tells that an operator wants this daemon to stop.
    pub drain_asked: Notify,
}

impl Operators {
    /// Returns the entries of the log that have still to be read.
    pub fn log_lag_entries(&self, log_next: u64) -> u64 {
        self.log_end.get().saturating_sub(log_next)
    }
}

/// Returns the page to scrape.
pub fn page(node: &Rc<Node>) -> String {
    node.operators.metrics.page(&readings(node))
}

fn readings(node: &Rc<Node>) -> Readings {
    let mut readings = Readings {
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
