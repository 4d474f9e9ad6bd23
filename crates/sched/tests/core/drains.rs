//! Draining workers of which all runs are recorded before they leave, and what a successor concludes from that.

use std::slice::from_ref;

use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

fn draining(index: usize) -> WorkerSpec {
    WorkerSpec {
        draining: true,
        ..worker(index, 4)
    }
}

/// Starts a task, and lets its worker begin to drain.
fn running_on_a_draining_worker() -> (Driver, StartOrder, usize) {
    let mut driver = Driver::new(3, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let start = driver.settle().remove(0);
    driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    let index = driver.workers.iter().position(|key| *key == start.worker);
    let index = index.expect("it is attached");
    driver.apply(Event::WorkerListed(draining(index)));
    driver.apply(Event::Ticked);
    (driver, start, index)
}

/// Creates a successor that finds a job as stored, and three workers, one of which is cut off: it drains, is not listed
/// any more, and does not answer.
fn successor(progress: Option<&JobProgress>, cut_off: usize, recorded: &[WorkerId]) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 4)], progress);
    for index in 0..3 {
        let spec = if index == cut_off {
            draining(index)
        } else {
            worker(index, 4)
        };
        driver.apply(Event::WorkerListed(spec));
    }
    driver.scheduler.restore_drains(recorded);
    driver.scheduler.begin_recovery(driver.now);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[cut_off],
    });
    driver.apply(Event::WorkerUnlisted(draining(cut_off).id));
    for index in 0..3 {
        if index != cut_off {
            driver.report_running(driver.workers[index], &[]);
        }
    }
    driver.apply(Event::Ticked);
    driver
}

/// A drain that counts as recorded before the runs are would let a successor start them again.
#[test]
fn drain_is_recorded_only_once_the_runs_on_the_worker_are() {
    let (mut driver, _start, index) = running_on_a_draining_worker();
    driver.apply(Event::Ticked);
    assert!(driver.recorded_drains.is_empty(), "nothing is stored yet");
    driver.record();
    driver.apply(Event::Ticked);
    assert_eq!(driver.recorded_drains, [worker(index, 4).id]);
    driver.apply(Event::Ticked);
    assert_eq!(driver.recorded_drains.len(), 1, "once is enough");
    let progress = &driver.stored_progress[&JobId(1)];
    let names = &progress.steps[0].units[&0].workers;
    assert_eq!(names, &[worker(index, 4).id]);
}

/// A run that is listed for the first time while the drain is written is not recorded with it.
#[test]
fn drain_is_not_recorded_while_a_run_of_an_unread_job_is_on_the_worker() {
    let (mut driver, start, _index) = running_on_a_draining_worker();
    driver.scheduler.set_jobs_read(driver.now);
    driver.advance(1);
    let mut unread = start.task;
    unread.step.job = JobId(9);
    let running = [(start.task, start.run, 20), (unread, Run(1), 0)];
    driver.report_running(start.worker, &running);
    driver.record();
    driver.apply(Event::Ticked);
    assert!(driver.recorded_drains.is_empty());
}

/// Each worker that had left around a takeover held all inherited jobs up for as long as a lease lasts.
#[test]
fn takeover_does_not_wait_for_a_worker_whose_drain_is_recorded() {
    let mut driver = successor(None, 0, from_ref(&worker(0, 4).id));
    assert!(driver.scheduler.is_recovered());
    assert_eq!(driver.settle().len(), 1);
}

/// What runs on a draining worker that is only cut off was started again under its lease.
#[test]
fn recorded_run_on_a_draining_worker_waits_for_its_lease() {
    let (mut before, _start, index) = running_on_a_draining_worker();
    before.record();
    before.apply(Event::Ticked);
    let progress = before.stored_progress[&JobId(1)].clone();
    let mut driver = successor(Some(&progress), index, &before.recorded_drains);
    assert!(driver.scheduler.is_recovered(), "other jobs need not wait");
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    let early = driver.settle();
    assert!(early.is_empty(), "the run may still be there: {early:?}");
    driver.advance(200);
    driver.apply(Event::Ticked);
    let again: Vec<_> = driver.settle().iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

/// The work of a run that goes on, or has ended, on a draining worker that answers again was lost.
#[test_case(false; "and still runs it")]
#[test_case(true; "and has done it")]
fn recorded_run_is_taken_over_once_the_draining_worker_answers(is_done: bool) {
    let (mut before, start, index) = running_on_a_draining_worker();
    before.record();
    before.apply(Event::Ticked);
    let progress = before.stored_progress[&JobId(1)].clone();
    let mut driver = successor(Some(&progress), index, &before.recorded_drains);
    let at = driver.workers[index];
    if !is_done {
        driver.report_running(at, &[(start.task, start.run, 60)]);
        assert!(driver.stops.is_empty());
    }
    driver.report(at, &[], &[(start.task, start.run, RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(syc_sched::JobState::Completed));
    assert!(driver.settle().is_empty());
}

/// A worker that no longer drains gets new starts, which are not recorded.
#[test]
fn takeover_waits_for_a_worker_that_stopped_draining() {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 4)], None);
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.restore_drains(&[worker(0, 4).id]);
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    assert!(!driver.scheduler.is_recovered());
}
