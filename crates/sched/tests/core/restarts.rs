//! Workers that restart under the same name.

use syc_sched::AdviceAnswer;
use syc_sched::AdvicePolicy;
use syc_sched::Event;
use syc_sched::QueuePolicy;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

/// Creates a scheduler with the first incarnation of one worker.
fn driver_with_worker() -> (Driver, WorkerKey) {
    let mut driver = Driver::new(0, 8);
    let incarnation = register_incarnation(&mut driver, 1);
    (driver, incarnation)
}

/// Registers an incarnation of the worker.
fn register_incarnation(driver: &mut Driver, started_ms: u64) -> WorkerKey {
    let spec = WorkerSpec {
        id: WorkerId::of_life("w", Some(started_ms)),
        ..worker(0, 8)
    };
    driver.apply(Event::WorkerListed(spec));
    driver.workers[driver.workers.len() - 1]
}

fn unregister_incarnation(driver: &mut Driver, started_ms: u64) {
    let id = WorkerId::of_life("w", Some(started_ms));
    driver.apply(Event::WorkerUnlisted(id));
}

#[test]
fn a_new_incarnation_numbers_its_ends_from_one() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(first).0, 1);
    driver.apply(Event::Restarted { worker: first });
    let next = register_incarnation(&mut driver, 2);
    driver.report_running(next, &[]);
    assert_eq!(driver.scheduler.acknowledged_ends(next).0, 0);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    let again = driver.settle().remove(0);
    driver.report_end(&again, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(2), Some(syc_sched::JobState::Completed));
    assert_eq!(driver.scheduler.acknowledged_ends(next).0, 1);
}

#[test]
fn an_acknowledgement_is_sent_once_and_only_to_a_worker_that_answers() {
    let (mut driver, key) = driver_with_worker();
    driver.report_running(key, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(key).0, 1);
    driver.apply(Event::RenewalFailed { worker: key });
    assert_eq!(
        driver.scheduler.acknowledged_ends(key).0,
        0,
        "the worker may be another incarnation"
    );
    driver.report_running(key, &[]);
    assert_eq!(
        driver.scheduler.acknowledged_ends(key).0,
        1,
        "it is the same incarnation"
    );
    driver.report_running(key, &[]);
    assert_eq!(
        driver.scheduler.acknowledged_ends(key).0,
        0,
        "the worker has been told"
    );
}

#[test]
fn reported_runs_end_at_once_with_their_incarnation() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.report_running(first, &[(start.task, start.run, 10)]);
    driver.apply(Event::Restarted { worker: first });
    unregister_incarnation(&mut driver, 1);
    let next = register_incarnation(&mut driver, 2);
    driver.report_running(next, &[]);
    driver.record();
    driver.record();
    let again = driver.settle();
    assert_eq!((again.len(), driver.stops.len()), (1, 0));
}

/// The order addressed the worker by name, not by incarnation.
#[test]
fn a_start_that_may_have_reached_the_next_incarnation_is_stopped_there_first() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    assert!(
        driver.settle().is_empty(),
        "it may run on the next incarnation"
    );
    unregister_incarnation(&mut driver, 1);
    let next = register_incarnation(&mut driver, 2);
    driver.report_running(next, &[(start.task, start.run, 10)]);
    assert_eq!(driver.stops[0].worker, next);
    assert!(driver.settle().is_empty());
    driver.apply(Event::StopAnswered {
        worker: next,
        task: start.task,
        run: start.run,
        accepted: true,
    });
    driver.report(next, &[], &[(start.task, start.run, RunEnd::Stopped)]);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn a_late_answer_of_the_previous_incarnation_does_not_affect_the_next() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.apply(Event::Restarted { worker: first });
    unregister_incarnation(&mut driver, 1);
    let next = register_incarnation(&mut driver, 2);
    driver.apply(Event::StartAnswered {
        worker: first,
        task: start.task,
        run: start.run,
        answer: StartAnswer::Started,
    });
    driver.apply(Event::RenewalFailed { worker: first });
    driver.apply(Event::Restarted { worker: first });
    driver.report_running(next, &[]);
    assert!(driver.settle().is_empty(), "the stop is unanswered");
    driver.accept_stop(&syc_sched::StartOrder {
        worker: next,
        ..start
    });
    driver.advance(10);
    driver.report_running(next, &[]);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn a_misdirected_start_whose_worker_never_returns_ends_with_the_longest_lease() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.settle();
    driver.apply(Event::Restarted { worker: first });
    unregister_incarnation(&mut driver, 1);
    let other = WorkerSpec {
        id: WorkerId::of_life("other", Some(1)),
        ..worker(1, 8)
    };
    driver.apply(Event::WorkerListed(other));
    let other = driver.workers[driver.workers.len() - 1];
    driver.report_running(other, &[]);
    let longest_ms = driver.scheduler.options().max_lease_ms;
    driver.advance(longest_ms - 100);
    driver.apply(Event::Ticked);
    assert!(driver.settle().is_empty());
    driver.advance(200);
    driver.apply(Event::Ticked);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

/// The new incarnation may be another kind of worker, so earlier advice does not apply to it.
#[test]
fn advice_that_denied_the_previous_incarnation_is_requested_for_the_next() {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    let advised = QueuePolicy {
        advice: Some(AdvicePolicy {
            decision_ms: 10.0,
            per_worker_ms: 1.0,
            validity_ms: 2_000,
        }),
        ..policy(0)
    };
    driver.submit(1, advised, vec![step(1, 1)]);
    driver.schedule();
    let (id, asked) = driver.advice_requests.remove(0);
    let denied = AdviceAnswer::Given {
        allowed: Vec::new(),
        validity_ms: 2_000,
    };
    driver.apply(Event::Advised {
        step: id,
        asked,
        answer: denied,
    });
    driver.advance(5_000);
    driver.schedule();
    assert!(
        driver.advice_requests.is_empty(),
        "advice was requested about all workers"
    );
    driver.apply(Event::Restarted { worker: first });
    unregister_incarnation(&mut driver, 1);
    let next = register_incarnation(&mut driver, 2);
    driver.report_running(next, &[]);
    driver.schedule();
    assert_eq!(driver.advice_requests, [(id, vec![next])]);
}

/// Guards against two concurrent runs: the worker restarts before it reported the run, another worker has room, and
/// the start may have reached the new incarnation.
#[test]
fn a_start_that_may_have_reached_the_next_incarnation_does_not_start_elsewhere_before_it_is_stopped()
 {
    let (mut driver, first) = driver_with_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.apply(Event::WorkerListed(worker(1, 8)));
    let other = driver.workers[driver.workers.len() - 1];
    driver.report_running(other, &[]);
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    assert!(
        driver.settle().is_empty(),
        "it may run on the next incarnation"
    );
    unregister_incarnation(&mut driver, 1);
    let next = register_incarnation(&mut driver, 2);
    let stops: Vec<_> = driver.stops.iter().map(|stop| stop.worker).collect();
    assert_eq!(stops, [next]);
    driver.report_running(next, &[]);
    driver.record();
    assert!(
        driver.settle().is_empty(),
        "the start may still arrive, since the stop is unanswered"
    );
    driver.accept_stop(&syc_sched::StartOrder {
        worker: next,
        ..start.clone()
    });
    driver.advance(10);
    driver.report_running(next, &[]);
    driver.record();
    let again = driver.settle();
    let runs: Vec<_> = again.iter().map(|start| start.run).collect();
    assert_eq!(runs, [start.run.next()]);
}
