//! Workers that start again under their names.

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

/// Makes a scheduler with one worker, in its first life.
fn with_a_worker() -> (Driver, WorkerKey) {
    let mut driver = Driver::new(0, 8);
    let life = list_life(&mut driver, 1);
    (driver, life)
}

/// Lists a life of the worker, which runs nothing and has answered.
fn list_life(driver: &mut Driver, born_ms: u64) -> WorkerKey {
    let spec = WorkerSpec {
        id: WorkerId::of_life("w", Some(born_ms)),
        ..worker(0, 8)
    };
    driver.apply(Event::WorkerListed(spec));
    driver.workers[driver.workers.len() - 1]
}

fn unlist_life(driver: &mut Driver, born_ms: u64) {
    let id = WorkerId::of_life("w", Some(born_ms));
    driver.apply(Event::WorkerUnlisted(id));
}

#[test]
fn the_next_life_counts_its_ends_anew() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(first).0, 1);
    driver.apply(Event::Restarted { worker: first });
    let next = list_life(&mut driver, 2);
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
fn an_acknowledgement_is_told_once_and_to_nobody_who_did_not_answer() {
    let (mut driver, key) = with_a_worker();
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
        "it may be another life"
    );
    driver.report_running(key, &[]);
    assert_eq!(
        driver.scheduler.acknowledged_ends(key).0,
        1,
        "it is the same"
    );
    driver.report_running(key, &[]);
    assert_eq!(driver.scheduler.acknowledged_ends(key).0, 0, "it knows");
}

#[test]
fn what_a_life_had_listed_ends_with_it_at_once() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.report_running(first, &[(start.task, start.run, 10)]);
    driver.apply(Event::Restarted { worker: first });
    unlist_life(&mut driver, 1);
    let next = list_life(&mut driver, 2);
    driver.report_running(next, &[]);
    driver.record();
    driver.record();
    let again = driver.settle();
    assert_eq!((again.len(), driver.stops.len()), (1, 0));
}

/// The order named the worker, not its life.
#[test]
fn a_start_that_may_have_reached_the_next_life_is_stopped_there_before_the_task_starts_again() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    assert!(driver.settle().is_empty(), "it may run in the next life");
    unlist_life(&mut driver, 1);
    let next = list_life(&mut driver, 2);
    driver.report_running(next, &[(start.task, start.run, 10)]);
    assert_eq!(driver.stops[0].worker, next);
    assert!(driver.settle().is_empty());
    driver.apply(Event::StopAnswered {
        worker: next,
        task: start.task,
        run: start.run,
        taken: true,
    });
    driver.report(next, &[], &[(start.task, start.run, RunEnd::Stopped)]);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn a_late_answer_to_the_life_before_changes_nothing_of_the_next() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.apply(Event::Restarted { worker: first });
    unlist_life(&mut driver, 1);
    let next = list_life(&mut driver, 2);
    driver.apply(Event::StartAnswered {
        worker: first,
        task: start.task,
        run: start.run,
        answer: StartAnswer::Started,
    });
    driver.apply(Event::RenewalFailed { worker: first });
    driver.apply(Event::Restarted { worker: first });
    driver.report_running(next, &[]);
    assert!(driver.settle().is_empty(), "its stop has no answer yet");
    driver.stop_taken(&syc_sched::StartOrder {
        worker: next,
        ..start
    });
    driver.advance(10);
    driver.report_running(next, &[]);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn a_start_whose_worker_nobody_hears_of_again_is_over_when_the_longest_lease_is() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.settle();
    driver.apply(Event::Restarted { worker: first });
    unlist_life(&mut driver, 1);
    let other = WorkerSpec {
        id: WorkerId::of_life("other", Some(1)),
        ..worker(1, 8)
    };
    driver.apply(Event::WorkerListed(other));
    let other = driver.workers[driver.workers.len() - 1];
    driver.report_running(other, &[]);
    let longest_ms = driver.scheduler.options().longest_lease_ms;
    driver.advance(longest_ms - 100);
    driver.apply(Event::Ticked);
    assert!(driver.settle().is_empty());
    driver.advance(200);
    driver.apply(Event::Ticked);
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

/// It may be another kind of worker: what was said of the life before says nothing of it.
#[test]
fn a_step_that_the_life_before_might_not_run_asks_about_the_next() {
    let (mut driver, first) = with_a_worker();
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
        "all have been asked about"
    );
    driver.apply(Event::Restarted { worker: first });
    unlist_life(&mut driver, 1);
    let next = list_life(&mut driver, 2);
    driver.report_running(next, &[]);
    driver.schedule();
    assert_eq!(driver.advice_requests, [(id, vec![next])]);
}

/// Its worker started again before it had listed the run, and another worker has room: a start there would run beside
/// the one that may have reached the next life.
#[test]
fn a_start_that_may_have_reached_the_next_life_goes_nowhere_else_before_it_was_stopped() {
    let (mut driver, first) = with_a_worker();
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let start = driver.settle().remove(0);
    driver.apply(Event::WorkerListed(worker(1, 8)));
    let other = driver.workers[driver.workers.len() - 1];
    driver.report_running(other, &[]);
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    assert!(driver.settle().is_empty(), "it may run in the next life");
    unlist_life(&mut driver, 1);
    let next = list_life(&mut driver, 2);
    let stops: Vec<_> = driver.stops.iter().map(|stop| stop.worker).collect();
    assert_eq!(stops, [next]);
    driver.report_running(next, &[]);
    driver.record();
    assert!(
        driver.settle().is_empty(),
        "it may still arrive: its stop has no answer"
    );
    driver.stop_taken(&syc_sched::StartOrder {
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
