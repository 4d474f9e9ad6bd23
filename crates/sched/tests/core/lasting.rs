//! Tasks that last, and jobs whose steps run at set times.

use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::RunEnd;
use syc_sched::Schedule;
use syc_sched::StepSpec;
use syc_types::TimeOfDay;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

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
