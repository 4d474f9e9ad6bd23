//! Tasks that last, and jobs whose steps run at set times.

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

fn lasting(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        checkpointed: true,
        ..step(tasks, cores)
    }
}

#[test_case(RunEnd::Done)]
#[test_case(RunEnd::Failed)]
#[test_case(RunEnd::Lapsed)]
fn a_task_that_lasts_is_started_again_however_it_ends(end: RunEnd) {
    let mut driver = Driver::new(3, 4);
    driver.submit(1, policy(0), vec![lasting(1, 1)]);
    for _ in 0..5 {
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.end(&started[0], end, &[]);
        driver.record();
        driver.pass(10_000);
    }
    assert_eq!(driver.state(1), Some(JobState::Running));
}

#[test]
fn a_task_that_lasts_is_neither_preempted_nor_taken_as_stalled() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(2), vec![lasting(1, 2)]);
    driver.schedule();
    let started = driver.confirm_starts();
    let listed = (started[0].task, started[0].run, 100);
    driver.hold(started[0].worker, &[listed]);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    for _ in 0..100 {
        driver.pass(100);
        driver.hold(started[0].worker, &[(listed.0, listed.1, 50)]);
        driver.apply(Event::Ticked);
        driver.schedule();
    }
    assert_eq!(driver.stops, []);
}

#[test]
fn a_task_that_lasts_goes_before_what_is_due_later_however_old_it_is() {
    let mut driver = Driver::new(1, 1);
    driver.submit(1, policy(1), vec![lasting(1, 1)]);
    driver.schedule();
    let started = driver.confirm_starts();
    driver.pass(600_000);
    driver.submit(2, policy(1), vec![step(1, 1)]);
    driver.end(&started[0], RunEnd::Failed, &[]);
    driver.record();
    driver.schedule();
    let jobs: Vec<_> = driver.starts.iter().map(|s| s.task.step.job.0).collect();
    assert_eq!(jobs, [1]);
}

#[test]
fn each_occurrence_starts_when_it_is_due_and_not_before() {
    let mut driver = Driver::new(1, 4);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    let schedule = Schedule {
        occurrences: 2,
        // The job is accepted at 0 of the time of day.
        first_at_ms: TimeOfDay(5_000),
        interval_ms: 10_000,
    };
    driver.submit_scheduled(1, policy(0), vec![step(1, 1), second], schedule);
    driver.schedule();
    assert!(driver.starts.is_empty());
    driver.pass(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.pass(20);
    for occurrence in 0..2 {
        for step in 0..2 {
            driver.schedule();
            let started = driver.confirm_starts();
            assert_eq!(started.len(), 1);
            let id = started[0].task.step;
            assert_eq!((id.occurrence, id.step), (occurrence, step));
            driver.end(&started[0], RunEnd::Done, &[]);
            driver.record();
        }
        driver.schedule();
        assert!(driver.starts.is_empty(), "the next is not due yet");
        let state = driver.state(1);
        assert_eq!(state == Some(JobState::Completed), occurrence == 1);
        driver.pass(10_000);
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
    driver.pass(150);
    driver.schedule();
    assert_eq!(driver.starts.len(), 2);
}

/// The node that accepted the job may have a clock that is seconds ahead or behind: what counts is the
/// time from its acceptance to the due time, both by that clock.
#[test_case(0; "a clock far behind")]
#[test_case(57_600; "a clock 2.4 s behind")]
#[test_case(60_000; "a clock that is right")]
#[test_case(62_400; "a clock 2.4 s ahead")]
fn an_occurrence_starts_its_time_after_the_acceptance_by_whatever_clock(accepted_at_ms: u64) {
    let accepted_at = TimeOfDay(accepted_at_ms);
    let mut driver = Driver::new(1, 4);
    let schedule = Schedule {
        occurrences: 1,
        first_at_ms: accepted_at.plus(5_000),
        interval_ms: 0,
    };
    driver.submit_accepted_at(1, policy(0), vec![step(1, 1)], schedule, accepted_at);
    driver.pass(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.pass(20);
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

/// Tells the driver's scheduler the time of day.
fn set_day(driver: &mut Driver, day_ms: u64) {
    let day = TimeOfDay(day_ms);
    let at = driver.now;
    driver.scheduler.set_wall_clock(DayAnchor { at, day });
}

const NOON_MS: u64 = 1_790_000_000_000;

/// Whatever clock the node that accepted it had.
#[test_case(0; "a clock far behind")]
#[test_case(NOON_MS - 200_000; "a clock 200 s behind")]
#[test_case(NOON_MS; "a clock that is right")]
#[test_case(NOON_MS + 200_000; "a clock 200 s ahead")]
#[test_case(NOON_MS + 86_400_000; "a clock a day ahead")]
fn an_occurrence_is_due_by_the_time_of_day_that_was_told(accepted_at_ms: u64) {
    let mut driver = Driver::new(1, 4);
    set_day(&mut driver, NOON_MS);
    let schedule = due_at(TimeOfDay(NOON_MS + 5_000));
    let accepted_at = TimeOfDay(accepted_at_ms);
    driver.submit_accepted_at(1, policy(0), vec![step(1, 1)], schedule, accepted_at);
    driver.pass(4_990);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.pass(20);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

/// A job that waits for hours is due by when it was accepted, and not by a limit on its age at the takeover.
#[test]
fn a_takeover_leaves_the_due_time_of_a_job_that_waits_for_long() {
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
    driver.hold(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    driver.pass(HOUR_MS - 10);
    driver.schedule();
    assert!(driver.starts.is_empty(), "not due yet");
    driver.pass(20);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

/// The clocks are set, back or ahead, before an occurrence and after it has run.
#[test_case(2_000; "by 2 s")]
#[test_case(200_000; "by 200 s")]
#[test_case(86_400_000; "by a day")]
fn a_step_runs_no_occurrence_twice_and_leaves_none_out(step_ms: u64) {
    for (before_ms, after_ms) in [(0, step_ms), (step_ms, 0)] {
        let mut driver = Driver::new(1, 4);
        set_day(&mut driver, NOON_MS + before_ms);
        let schedule = due_at(TimeOfDay(NOON_MS + before_ms));
        driver.submit_scheduled(1, policy(0), vec![step(1, 1)], schedule);
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 1);
        driver.end(&started[0], RunEnd::Done, &[]);
        driver.record();
        set_day(&mut driver, NOON_MS + after_ms);
        driver.schedule();
        let mut second = driver.confirm_starts();
        if second.is_empty() {
            driver.pass(step_ms + 10_000);
            driver.schedule();
            second = driver.confirm_starts();
        }
        let occurrences: Vec<_> = second.iter().map(|s| s.task.step.occurrence).collect();
        assert_eq!(occurrences, [1]);
        set_day(&mut driver, NOON_MS + before_ms);
        driver.end(&second[0], RunEnd::Done, &[]);
        driver.record();
        driver.pass(step_ms * 2);
        driver.schedule();
        assert!(driver.starts.is_empty());
        assert_eq!(driver.state(1), Some(JobState::Completed));
    }
}
