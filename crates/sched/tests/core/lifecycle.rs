//! Job lifecycle: order of steps, failures, cancellation, and changes that take effect only once they are stored.

use syc_sched::JobState;
use syc_sched::RunEnd;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

#[test]
fn step_starts_after_previous_step_is_stored() {
    let mut driver = Driver::new(1, 4);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    driver.submit(1, policy(0), vec![step(1, 1), second]);
    driver.schedule();
    let first = driver.confirm_starts();
    driver.report_end(&first[0], RunEnd::Done, &[]);
    driver.schedule();
    assert!(driver.starts.is_empty(), "the end is not stored yet");
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
    assert_eq!(driver.starts[0].task.step.step, 1);
}

#[test]
fn completion_is_visible_only_once_stored() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    assert_eq!(driver.state(1), Some(JobState::Queued));
    driver.schedule();
    let started = driver.confirm_starts();
    assert_eq!(driver.state(1), Some(JobState::Running));
    driver.report_end(&started[0], RunEnd::Done, &[]);
    assert_eq!(driver.state(1), Some(JobState::Running));
    let (acknowledged, left) = driver.scheduler.acknowledged_ends(started[0].worker);
    assert_eq!(
        (acknowledged, left),
        (0, true),
        "the worker must not forget the end yet"
    );
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    let (acknowledged, left) = driver.scheduler.acknowledged_ends(started[0].worker);
    assert_eq!((acknowledged, left), (1, false));
}

#[test_case(RunEnd::Failed, 3, Some(JobState::Failed); "failures count")]
#[test_case(RunEnd::Stopped, 3, Some(JobState::Running); "a stop is no failure")]
#[test_case(RunEnd::Lapsed, 3, Some(JobState::Running); "a lapsed lease is no failure")]
#[test_case(RunEnd::Failed, 2, Some(JobState::Running); "fewer than the limit")]
fn job_fails_at_the_attempts_limit(end: RunEnd, times: u32, state: Option<JobState>) {
    let mut driver = Driver::new(4, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    for _ in 0..times {
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.report_end(&started[0], end, &[]);
        driver.record();
    }
    assert_eq!(driver.state(1), state);
}

#[test]
fn retry_has_higher_run_number_and_avoids_failed_worker() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let first = driver.confirm_starts();
    driver.report_end(&first[0], RunEnd::Failed, &[]);
    driver.record();
    driver.schedule();
    let second = driver.confirm_starts();
    assert!(second[0].run > first[0].run);
    assert_ne!(second[0].worker, first[0].worker);
}

#[test]
fn cancelled_job_stops_its_runs_and_starts_none() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(4, 1)]);
    driver.schedule();
    let started = driver.confirm_starts();
    assert_eq!(started.len(), 2);
    driver.cancel(1);
    assert_eq!(driver.stops.len(), 2);
    driver.advance(50);
    driver.report_running(started[0].worker, &[]);
    driver.record();
    driver.schedule();
    assert!(driver.starts.is_empty());
    assert_eq!(driver.state(1), Some(JobState::Cancelled));
}

#[test]
fn cancellation_read_before_the_job_takes_effect() {
    let mut driver = Driver::new(1, 2);
    driver.cancel(1);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert!(driver.starts.is_empty());
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Cancelled));
}

#[test]
fn late_start_of_cancelled_job_is_stopped() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts[0].clone();
    driver.cancel(1);
    driver.advance(50);
    driver.accept_stop(&start);
    driver.advance(50);
    driver.report_running(start.worker, &[]);
    driver.record();
    driver.stops.clear();
    driver.advance(3_000);
    driver.report_running(start.worker, &[(start.task, start.run, 1)]);
    assert_eq!(driver.stops.len(), 1);
    assert_eq!(driver.stops[0].reason, StopReason::Unwanted);
}

#[test]
fn stopped_run_holds_resources_until_its_end_is_reported() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(1), vec![step(1, 2)]);
    driver.schedule();
    let started = driver.confirm_starts();
    driver.report_running(started[0].worker, &[(started[0].task, started[0].run, 5)]);
    driver.cancel(1);
    driver.accept_stop(&started[0]);
    driver.submit(2, policy(1), vec![step(1, 2)]);
    driver.schedule();
    assert!(
        driver.starts.is_empty(),
        "the first run still holds its resources"
    );
    driver.advance(20);
    driver.report_running(started[0].worker, &[(started[0].task, started[0].run, 5)]);
    driver.schedule();
    assert!(
        driver.starts.is_empty(),
        "the first run still holds its resources"
    );
    driver.report_end(&started[0], RunEnd::Stopped, &[]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn task_that_failed_on_every_worker_is_retried() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    for _ in 0..2 {
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.report_end(&started[0], RunEnd::Failed, &[]);
        driver.record();
        driver.schedule();
        driver.advance(2_000);
    }
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn gang_that_failed_on_every_worker_is_retried() {
    let mut driver = Driver::new(2, 2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 2)
    };
    driver.submit(1, policy(0), vec![gang]);
    driver.schedule();
    let started = driver.confirm_starts();
    assert_eq!(started.len(), 2);
    driver.report_end(&started[0], RunEnd::Failed, &[]);
    driver.report_end(&started[1], RunEnd::Broken, &[]);
    driver.record();
    driver.schedule();
    driver.advance(2_000);
    driver.schedule();
    assert_eq!(driver.starts.len(), 2);
}

#[test]
fn members_of_completed_gang_may_end_by_themselves() {
    let mut driver = Driver::new(1, 4);
    let gang = StepSpec {
        gang: true,
        ..step(2, 2)
    };
    driver.submit(1, policy(0), vec![gang]);
    driver.schedule();
    let started = driver.confirm_starts();
    let other = (started[1].task, started[1].run, 99);
    driver.report_end(&started[0], RunEnd::Done, &[other]);
    driver.record();
    driver.report_running(started[1].worker, &[other]);
    assert_eq!(driver.stops, []);
    driver.advance(2_000);
    driver.report_running(started[1].worker, &[other]);
    assert_eq!(driver.stops.len(), 1, "it did not end with the others");
}

/// Each start looked at every worker for an earlier run of its task, so that the cost of a wide step grew with its tasks
/// times the workers.
#[test]
fn many_starts_of_a_pass_do_not_look_at_every_worker_each() {
    let workers = 200;
    let mut driver = Driver::new(workers, 4);
    driver.submit(1, policy(0), vec![step(100, 1)]);
    let before = driver.scheduler.examined_workers();
    driver.schedule();
    assert_eq!(driver.starts.len(), 100);
    let examined = driver.scheduler.examined_workers() - before;
    let all = u64::try_from(workers).expect("a small number");
    assert!(examined <= 4 * all, "{examined} workers examined");
}
