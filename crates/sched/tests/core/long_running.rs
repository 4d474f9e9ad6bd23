//! Long-running tasks and scheduled occurrences.

use syc_sched::Event;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::RunEnd;
use syc_sched::Schedule;
use syc_sched::StepSpec;
use syc_types::DayAnchor;
use syc_types::TimeOfDay;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::job;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

fn long_running(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        checkpointed: true,
        ..step(tasks, cores)
    }
}

#[test_case(RunEnd::Done)]
#[test_case(RunEnd::Failed)]
#[test_case(RunEnd::Lapsed)]
fn long_running_task_restarts_after_any_end(end: RunEnd) {
    let mut driver = Driver::new(3, 4);
    driver.submit(1, policy(0), vec![long_running(1, 1)]);
    for _ in 0..5 {
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.report_end(&started[0], end, &[]);
        driver.record();
        driver.advance(10_000);
    }
    assert_eq!(driver.state(1), Some(JobState::Running));
}

#[test]
fn long_running_task_is_neither_preempted_nor_stalled() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(2), vec![long_running(1, 2)]);
    driver.schedule();
    let started = driver.confirm_starts();
    let listed = (started[0].task, started[0].run, 100);
    driver.report_running(started[0].worker, &[listed]);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    for _ in 0..100 {
        driver.advance(100);
        driver.report_running(started[0].worker, &[(listed.0, listed.1, 50)]);
        driver.apply(Event::Ticked);
        driver.schedule();
    }
    assert_eq!(driver.stops, []);
}

#[test]
fn long_running_task_precedes_later_deadlines_whatever_its_age() {
    let mut driver = Driver::new(1, 1);
    driver.submit(1, policy(1), vec![long_running(1, 1)]);
    driver.schedule();
    let started = driver.confirm_starts();
    driver.advance(600_000);
    driver.submit(2, policy(1), vec![step(1, 1)]);
    driver.report_end(&started[0], RunEnd::Failed, &[]);
    driver.record();
    driver.schedule();
    let jobs: Vec<_> = driver.starts.iter().map(|s| s.task.step.job.0).collect();
    assert_eq!(jobs, [1]);
}

#[test]
fn occurrences_start_at_their_due_times() {
    let mut driver = Driver::new(1, 4);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    let schedule = Schedule {
        occurrences: 2,
        // The job is accepted at time of day 0.
        first_at_ms: TimeOfDay(5_000),
        interval_ms: 10_000,
    };
    driver.submit_scheduled(1, policy(0), vec![step(1, 1), second], schedule);
    driver.schedule();
    assert!(driver.starts.is_empty());
    driver.advance(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.advance(20);
    for occurrence in 0..2 {
        for step in 0..2 {
            driver.schedule();
            let started = driver.confirm_starts();
            assert_eq!(started.len(), 1);
            let id = started[0].task.step;
            assert_eq!((id.occurrence, id.step), (occurrence, step));
            driver.report_end(&started[0], RunEnd::Done, &[]);
            driver.record();
        }
        driver.schedule();
        assert!(driver.starts.is_empty(), "the next is not due yet");
        let state = driver.state(1);
        assert_eq!(state == Some(JobState::Completed), occurrence == 1);
        driver.advance(10_000);
    }
}

#[test]
fn occurrences_may_overlap() {
    let mut driver = Driver::new(1, 4);
    let schedule = Schedule {
        occurrences: 3,
        first_at_ms: TimeOfDay(0),
        interval_ms: 100,
    };
    driver.submit_scheduled(1, policy(0), vec![step(1, 1)], schedule);
    driver.advance(150);
    driver.schedule();
    assert_eq!(driver.starts.len(), 2);
}

/// The accepting node's clock may be seconds ahead or behind: what counts is the time from the acceptance to the due
/// time, both by that clock.
#[test_case(0; "a clock far behind")]
#[test_case(57_600; "a clock 2.4 s behind")]
#[test_case(60_000; "a clock that is right")]
#[test_case(62_400; "a clock 2.4 s ahead")]
fn occurrence_delay_is_independent_of_the_accepting_clock(accepted_at_ms: u64) {
    let accepted_at = TimeOfDay(accepted_at_ms);
    let mut driver = Driver::new(1, 4);
    let schedule = Schedule {
        occurrences: 1,
        first_at_ms: accepted_at.plus(5_000),
        interval_ms: 0,
    };
    driver.submit_accepted_at(1, policy(0), vec![step(1, 1)], schedule, accepted_at);
    driver.advance(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.advance(20);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

fn due_at(first_at: TimeOfDay) -> Schedule {
    Schedule {
        occurrences: 2,
        first_at_ms: first_at,
        interval_ms: 10_000,
    }
}

/// Sets the time of day of the driver's scheduler.
fn set_day(driver: &mut Driver, day_ms: u64) {
    let day = TimeOfDay(day_ms);
    let at = driver.now;
    driver.scheduler.set_wall_clock(DayAnchor { at, day });
}

const NOON_MS: u64 = 1_790_000_000_000;

/// The clock of the accepting node has no influence.
#[test_case(0; "a clock far behind")]
#[test_case(NOON_MS - 200_000; "a clock 200 s behind")]
#[test_case(NOON_MS; "a clock that is right")]
#[test_case(NOON_MS + 200_000; "a clock 200 s ahead")]
#[test_case(NOON_MS + 86_400_000; "a clock a day ahead")]
fn occurrence_is_due_by_the_scheduler_wall_clock(accepted_at_ms: u64) {
    let mut driver = Driver::new(1, 4);
    set_day(&mut driver, NOON_MS);
    let schedule = due_at(TimeOfDay(NOON_MS + 5_000));
    let accepted_at = TimeOfDay(accepted_at_ms);
    driver.submit_accepted_at(1, policy(0), vec![step(1, 1)], schedule, accepted_at);
    driver.advance(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.advance(20);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

/// The due time of a job that waits for hours is not limited by the maximum age assumed at a takeover.
#[test]
fn takeover_preserves_due_time_of_long_waiting_job() {
    const HOUR_MS: u64 = 3_600_000;
    let mut driver = Driver::new(0, 4);
    set_day(&mut driver, NOON_MS);
    let schedule = due_at(TimeOfDay(NOON_MS + HOUR_MS));
    let spec = job(1, policy(0), vec![step(1, 1)], schedule);
    let spec = JobSpec {
        accepted_at_ms: TimeOfDay(NOON_MS - HOUR_MS),
        ..spec
    };
    driver
        .scheduler
        .restore_job(spec, None, 600_000, driver.now);
    driver.apply(Event::WorkerListed(worker(0, 4)));
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    driver.advance(HOUR_MS - 10);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.advance(20);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

/// The clocks are stepped, forwards or backwards, before an occurrence and after it has run.
#[test_case(2_000; "step of 2 s")]
#[test_case(200_000; "step of 200 s")]
#[test_case(86_400_000; "step of a day")]
fn clock_step_neither_repeats_nor_skips_an_occurrence(step_ms: u64) {
    for (before_ms, after_ms) in [(0, step_ms), (step_ms, 0)] {
        let mut driver = Driver::new(1, 4);
        set_day(&mut driver, NOON_MS + before_ms);
        let schedule = due_at(TimeOfDay(NOON_MS + before_ms));
        driver.submit_scheduled(1, policy(0), vec![step(1, 1)], schedule);
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.report_end(&started[0], RunEnd::Done, &[]);
        driver.record();
        set_day(&mut driver, NOON_MS + after_ms);
        driver.schedule();
        let mut second = driver.confirm_starts();
        if second.is_empty() {
            driver.advance(step_ms + 10_000);
            driver.schedule();
            second = driver.confirm_starts();
        }
        let occurrences: Vec<_> = second.iter().map(|s| s.task.step.occurrence).collect();
        assert_eq!(occurrences, [1]);
        set_day(&mut driver, NOON_MS + before_ms);
        driver.report_end(&second[0], RunEnd::Done, &[]);
        driver.record();
        driver.advance(step_ms * 2);
        driver.schedule();
        assert!(driver.starts.is_empty());
        assert_eq!(driver.state(1), Some(JobState::Completed));
    }
}
