//! Unresponsive workers: a task that may run there does not run elsewhere.

use syc_sched::Event;
use syc_sched::Options;
use syc_sched::StartAnswer;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

#[test]
fn a_task_of_a_silent_worker_starts_elsewhere_only_after_the_lease_lapses() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let started = driver.confirm_starts();
    let worker = started[0].worker;
    driver.apply(Event::Renewing { worker });
    driver.advance(500);
    driver.apply(Event::RenewalFailed { worker });
    driver.advance(Options::default().lease_bound_ms - 600);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(driver.starts.is_empty(), "the lease may still be valid");
    driver.advance(200);
    driver.apply(Event::Ticked);
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
    assert_ne!(driver.starts[0].worker, worker);
}

#[test]
fn a_new_incarnation_ends_the_runs_of_the_previous_one_at_once() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let started = driver.confirm_starts();
    let worker = started[0].worker;
    driver.apply(Event::Replaced { worker });
    driver.record();
    driver.schedule();
    // The task is suspected of the crash, so its next placement has to be stored first.
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
    assert_ne!(driver.starts[0].worker, worker);
}

#[test]
fn the_first_retry_of_a_start_in_doubt_is_prompt() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.advance(1);
    driver.apply(Event::StartAnswered {
        worker: first.worker,
        task: first.task,
        run: first.run,
        answer: StartAnswer::InDoubt,
    });
    driver.record();
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    let again: Vec<_> = driver.starts.iter().map(|s| (s.run, s.retries)).collect();
    assert_eq!(again, [(first.run, 1)]);
}

#[test]
fn a_start_in_doubt_is_retried_then_stopped_before_it_goes_elsewhere() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts[0].clone();
    let doubt = Event::StartAnswered {
        worker: first.worker,
        task: first.task,
        run: first.run,
        answer: StartAnswer::InDoubt,
    };
    for _ in 0..Options::default().start_attempts_limit {
        driver.advance(Options::default().max_retry_delay_ms);
        driver.apply(doubt.clone());
        driver.record();
        driver.apply(Event::Ticked);
    }
    assert_eq!(driver.starts.len(), 4, "the same order is sent four times");
    assert!(driver.starts.iter().all(|start| start.run == first.run));
    assert_eq!(driver.stops.len(), 1);
    driver.starts.clear();
    driver.schedule();
    assert!(driver.starts.is_empty(), "the stop is not accepted yet");
    driver.accept_stop(&first);
    driver.advance(10);
    driver.report_running(first.worker, &[]);
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
    assert!(driver.starts[0].run > first.run);
}

#[test]
fn a_report_older_than_the_start_does_not_end_the_run() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    let sent_at = driver.now;
    driver.advance(5);
    driver.schedule();
    let started = driver.confirm_starts();
    driver.advance(5);
    driver.apply(Event::Renewed {
        worker: started[0].worker,
        sent_at,
        report: syc_sched::WorkerReport::default(),
    });
    driver.record();
    driver.schedule();
    assert!(driver.starts.is_empty(), "the run continues");
}

#[test]
fn runs_in_doubt_are_counted_with_their_age() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(2, 1)]);
    driver.schedule();
    driver.advance(200);
    let counts = driver.scheduler.counts(driver.now);
    assert_eq!((counts.doubtful_runs, counts.oldest_doubt_ms), (2, 200));
    let started = driver.confirm_starts();
    let counts = driver.scheduler.counts(driver.now);
    assert_eq!((counts.doubtful_runs, counts.oldest_doubt_ms), (0, 0));
    driver.cancel(1);
    driver.accept_stop(&started[0]);
    driver.advance(50);
    let counts = driver.scheduler.counts(driver.now);
    assert_eq!((counts.doubtful_runs, counts.oldest_doubt_ms), (1, 50));
}

#[test]
fn the_longest_silence_and_lease_are_reported() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let started = driver.confirm_starts();
    let worker = started[0].worker;
    driver.advance(500);
    driver.apply(Event::RenewalFailed { worker });
    let counts = driver.scheduler.counts(driver.now);
    let bound_ms = driver.scheduler.options().lease_bound_ms;
    assert_eq!(counts.silent_workers, 1);
    assert_eq!(counts.longest_lease_ms, bound_ms - 500);
    assert!(counts.longest_silence_ms >= 500);
}
