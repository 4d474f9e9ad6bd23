//! Capacity that shrinks while tasks run, and workers whose capacity may be lower than last reported.

use syc_sched::Action;
use syc_sched::Event;
use syc_sched::Note;
use syc_sched::Options;
use syc_sched::StartAnswer;
use syc_sched::StepSpec;
use syc_sched::UnusableReason;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;

use crate::driver::Driver;
use crate::driver::cpu;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

fn register_with_cores(driver: &mut Driver, cores: u64) {
    let spec = WorkerSpec {
        capacity: cpu(cores),
        ..worker(0, 8)
    };
    driver.apply(Event::WorkerListed(spec));
}

#[test]
fn an_overcommitted_worker_gets_no_starts_until_enough_runs_end() {
    let mut driver = Driver::new(1, 8);
    driver.submit(1, policy(0), vec![step(2, 3)]);
    let started = driver.settle();
    assert_eq!(started.len(), 2);
    register_with_cores(&mut driver, 4);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    assert!(driver.settle().is_empty());
    driver.report_end(
        &started[0],
        syc_sched::RunEnd::Done,
        &[(started[1].task, started[1].run, 10)],
    );
    driver.record();
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn after_a_long_silence_a_worker_gets_no_starts_until_it_registers_again() {
    let mut driver = Driver::new(1, 8);
    let worker = driver.workers[0];
    driver.apply(Event::RenewalFailed { worker });
    driver.advance(4_000);
    driver.report_running(worker, &[]);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    assert!(driver.settle().is_empty());
    register_with_cores(&mut driver, 2);
    assert!(driver.settle().is_empty(), "the capacity is too small");
    register_with_cores(&mut driver, 8);
    assert_eq!(driver.settle().len(), 1);
}

#[test]
fn unanswered_starts_are_not_retried_on_a_worker_whose_capacity_shrank() {
    let mut driver = Driver::new(1, 8);
    driver.submit(1, policy(0), vec![step(2, 4)]);
    driver.schedule();
    let starts = std::mem::take(&mut driver.starts);
    for start in &starts {
        driver.apply(Event::StartAnswered {
            worker: start.worker,
            task: start.task,
            run: start.run,
            answer: StartAnswer::InDoubt,
        });
    }
    register_with_cores(&mut driver, 4);
    for _ in 0..20 {
        driver.advance(100);
        driver.apply(Event::Ticked);
    }
    assert!(driver.starts.is_empty());
    assert!(
        !driver.stops.is_empty(),
        "runs that may have started are stopped"
    );
}

/// Preemption has to cover the deficit of an overcommitted worker in addition to the new task.
#[test]
fn nothing_is_preempted_if_the_urgent_task_would_still_not_fit() {
    let mut driver = Driver::new(1, 8);
    let patient = StepSpec {
        checkpointed: true,
        ..step(2, 4)
    };
    driver.submit(1, policy(2), vec![patient]);
    let started = driver.settle();
    assert_eq!(started.len(), 2);
    register_with_cores(&mut driver, 3);
    driver.submit(2, policy(0), vec![step(1, 4)]);
    driver.settle();
    assert!(driver.stops.is_empty(), "the task exceeds the capacity");
    driver.submit(3, policy(0), vec![step(1, 3)]);
    driver.settle();
    assert_eq!(driver.stops.len(), 2, "one run alone does not make room");
}

/// Creates a scheduler that has read the registrations, and a worker that has just answered after four seconds of
/// silence.
fn driver_after_long_silence() -> (Driver, WorkerKey) {
    let mut driver = Driver::new(1, 8);
    let worker = driver.workers[0];
    driver.read_workers();
    driver.apply(Event::RenewalFailed { worker });
    driver.advance(4_000);
    driver.report_running(worker, &[]);
    (driver, worker)
}

/// A worker whose registration does not change never writes it again. Guards against such a worker getting no new work
/// forever.
#[test]
fn a_registration_that_outlasts_the_silence_confirms_the_known_capacity() {
    let (mut driver, worker) = driver_after_long_silence();
    let answered_at = driver.now;
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let confirm_after_ms = Options::default().capacity_report_deadline_ms;
    while driver.now < answered_at.plus(confirm_after_ms) {
        driver.read_workers();
        assert!(
            driver.settle().is_empty(),
            "the registration may not have been refreshed since"
        );
        driver.advance(250);
        driver.report_running(worker, &[]);
    }
    driver.read_workers();
    assert_eq!(driver.settle().len(), 1);
}

/// While the registrations can't be read, it is unknown whether they would have expired.
#[test]
fn time_without_registration_reads_does_not_confirm_capacity() {
    let (mut driver, worker) = driver_after_long_silence();
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let confirm_after_ms = Options::default().capacity_report_deadline_ms;
    driver.advance(confirm_after_ms);
    driver.read_workers();
    assert!(driver.settle().is_empty());
    let read_again_at = driver.now;
    while driver.now < read_again_at.plus(confirm_after_ms) {
        driver.advance(250);
        driver.report_running(worker, &[]);
        driver.read_workers();
    }
    assert_eq!(driver.settle().len(), 1);
}

/// Guards against each read of a slow store, which takes seconds, restarting the wait.
#[test]
fn slow_registration_reads_add_up_to_the_confirmation_time() {
    let (mut driver, worker) = driver_after_long_silence();
    driver.submit(1, policy(0), vec![step(1, 4)]);
    for _ in 0..5 {
        driver.advance(2_000);
        driver.report_running(worker, &[]);
        driver.read_workers();
    }
    assert_eq!(driver.settle().len(), 1);
}

/// Otherwise the log would not show why idle workers get no work.
#[test]
fn a_waiting_step_reports_why_workers_are_unusable() {
    let (mut driver, _worker) = driver_after_long_silence();
    driver.submit(1, policy(0), vec![step(1, 4)]);
    driver.schedule();
    driver.advance(1_000);
    let actions = driver.scheduler.schedule(driver.now);
    let note = actions.into_iter().find_map(|action| match action {
        Action::Note(Note::Waiting { unusable, .. }) => Some(unusable),
        _ => None,
    });
    let unusable = note.expect("a note after a second of waiting");
    assert_eq!(unusable.count(UnusableReason::StaleCapacity), 1);
    assert_eq!(unusable.to_string(), "room_in_doubt=1");
}
