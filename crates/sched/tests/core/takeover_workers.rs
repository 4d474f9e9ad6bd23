//! What a successor concludes from the answers of workers on which its predecessor's orders may still be under way.

use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StartRefusal;
use syc_sched::StepSpec;
use syc_sched::WorkerReport;
use syc_sched::WorkerSpec;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::progress;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

fn draining(index: usize) -> WorkerSpec {
    WorkerSpec {
        draining: true,
        ..worker(index, 4)
    }
}

/// Creates a scheduler that stops a start of which a copy may still be under way.
fn stopped_in_doubt() -> (Driver, StartOrder) {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    answer(&mut driver, &start, StartAnswer::InDoubt);
    driver.record();
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    let copy = driver.starts.remove(0);
    answer(
        &mut driver,
        &copy,
        StartAnswer::Refused(StartRefusal::OldRun),
    );
    (driver, start)
}

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

// Guards against a report that was held open while a start in doubt was stopped: it says nothing of that start.
#[test]
fn report_asked_for_before_a_stop_does_not_end_a_start_in_doubt() {
    let (mut driver, start) = stopped_in_doubt();
    assert_eq!(driver.stops.len(), 1);
    let sent_at = driver.now;
    driver.advance(1);
    driver.accept_stop(&start);
    driver.advance(1);
    let report = WorkerReport::default();
    driver.apply(Event::Renewed {
        worker: start.worker,
        sent_at,
        report,
    });
    driver.record();
    let early = driver.settle();
    assert!(early.is_empty(), "it may still be carried out: {early:?}");
    driver.report_running(start.worker, &[]);
    let again: Vec<_> = driver.settle().iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

// Guards against a list asked for before an order was confirmed, which is handled after that.
#[test]
fn report_asked_for_in_the_millisecond_of_a_confirmation_does_not_end_the_run() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.confirm_starts().remove(0);
    driver.report_running(start.worker, &[]);
    driver.record();
    assert!(driver.settle().is_empty(), "the list may be older");
}

// Guards against a first successor that writes a recorded drain off and leaves a second one without the run.
#[test_case(0; "at once")]
#[test_case(3_000; "3 s later")]
#[test_case(9_000; "9 s later")]
fn run_on_a_recorded_drain_waits_for_its_lease_in_two_takeovers(in_office_ms: u64) {
    let stored = progress(r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#);
    let mut first = successor(&[draining(0), worker(1, 4)], step(1, 4), &stored);
    first.advance(in_office_ms);
    first.apply(Event::Ticked);
    assert!(first.settle().is_empty());
    let stored = first.stored_progress.values().next().unwrap_or(&stored);
    assert!(first.forgotten.is_empty(), "its lease may hold");
    let mut second = successor(&[draining(0), worker(1, 4)], step(1, 4), stored);
    let options = Options::default();
    second.advance(options.authority_ms + options.lease_bound_ms - 100);
    second.apply(Event::Ticked);
    assert!(second.settle().is_empty(), "the first one had renewed it");
    second.advance(200);
    second.apply(Event::Ticked);
    let again: Vec<_> = second.settle().iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

/// Creates a successor in which the first worker has a recorded drain, is cut off and not listed, and the others answer.
fn successor(workers: &[WorkerSpec], of_step: StepSpec, stored: &JobProgress) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![of_step], Some(stored));
    for spec in workers {
        driver.apply(Event::WorkerListed(spec.clone()));
    }
    let drained = workers[0].id.clone();
    driver.scheduler.restore_drains([&drained]);
    driver.scheduler.begin_recovery(driver.now);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[0],
    });
    driver.apply(Event::WorkerUnlisted(drained));
    for at in 1..driver.workers.len() {
        driver.report_running(driver.workers[at], &[]);
    }
    driver.apply(Event::Ticked);
    driver
}

// Guards against an order of the predecessor that a recorded worker carries out just before its first answer.
#[test]
fn run_that_a_recorded_drain_lists_first_is_adopted() {
    let stored = progress(r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-0"]}}}]}"#);
    let mut driver = successor(&[draining(0), worker(1, 4)], step(1, 4), &stored);
    driver.report_running(driver.workers[0], &[(task(0), Run(1), 0)]);
    assert!(driver.settle().is_empty());
    assert!(driver.stops.is_empty(), "it goes on");
}

// Guards against a worker that stops draining and drains again: what it got in between is in no record.
#[test]
fn worker_that_drains_again_is_recorded_again_with_its_new_runs() {
    let mut driver = Driver::new(1, 4);
    driver.apply(Event::WorkerListed(draining(0)));
    driver.apply(Event::Ticked);
    driver.record();
    driver.apply(Event::Ticked);
    assert_eq!(driver.recorded_drains.len(), 1);
    driver.apply(Event::WorkerListed(worker(0, 4)));
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1, "it is used again");
    driver.apply(Event::WorkerListed(draining(0)));
    driver.apply(Event::Ticked);
    driver.apply(Event::Ticked);
    assert_eq!(driver.recorded_drains.len(), 1, "its start is not stored");
    driver.record();
    driver.apply(Event::Ticked);
    assert_eq!(driver.recorded_drains.len(), 2);
    let stored = driver.stored_progress.values().next();
    let names = &stored.expect("stored").steps[0].units[&0].workers;
    assert_eq!(names, &[worker(0, 4).id]);
}
