//! Runs of jobs that the scheduler has not read yet.
//!
//! A successor reads the jobs, and learns from the workers what runs. A job that was stored just after it had
//! read that partition, and started by a predecessor that did not know of its end yet, is in no list of jobs when
//! its worker tells of it. Taken as a job that was forgotten, its end was dropped and acknowledged, and its task
//! ran once more when the job was read.

use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobState;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_types::Millis;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

const JOB: u64 = 7;

fn task(index: u32) -> TaskId {
    let step = StepId {
        job: JobId(JOB),
        occurrence: 0,
        step: 0,
    };
    TaskId { step, index }
}

/// A successor that has read all that was stored before it began, and so not the job.
fn successor(workers: usize) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.scheduler.set_jobs_read(driver.now);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.advance(1);
    driver
}

/// Lets the rest of the workers answer.
fn others_answer(driver: &mut Driver) {
    for key in driver.workers.clone().into_iter().skip(1) {
        driver.report_running(key, &[]);
    }
    driver.apply(Event::Ticked);
}

/// Lets the scheduler read all that is stored by now.
fn read_on(driver: &mut Driver) {
    driver.advance(1);
    driver.scheduler.set_jobs_read(driver.now);
    driver.apply(Event::Ticked);
}

#[test_case(false; "while it takes over")]
#[test_case(true; "after it has taken over")]
fn end_reported_before_the_job_is_read_prevents_a_second_run(taken_over: bool) {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Done)]);
    assert_eq!(driver.scheduler.acknowledged_ends(first), (0, true));
    if taken_over {
        others_answer(&mut driver);
        assert!(driver.scheduler.is_recovered());
    }
    driver.submit(JOB, policy(0), vec![step(1, 1)]);
    others_answer(&mut driver);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it is done");
    assert_eq!(driver.scheduler.acknowledged_ends(first), (0, true));
    driver.record();
    assert_eq!(driver.state(JOB), Some(JobState::Completed));
    assert_eq!(driver.scheduler.acknowledged_ends(first), (1, false));
}

#[test]
fn run_reported_before_the_job_is_read_is_adopted() {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.report_running(first, &[(task(0), Run(1), 40)]);
    others_answer(&mut driver);
    driver.report_running(first, &[(task(0), Run(1), 60)]);
    driver.submit(JOB, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it runs");
    assert_eq!(driver.stops, []);
    assert_eq!(driver.state(JOB), Some(JobState::Running));
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(JOB), Some(JobState::Completed));
}

#[test]
fn run_that_ends_before_the_job_is_read_counts() {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.report_running(first, &[(task(0), Run(1), 40)]);
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Failed)]);
    others_answer(&mut driver);
    driver.submit(JOB, policy(0), vec![step(1, 1)]);
    driver.record();
    driver.schedule();
    let runs: Vec<_> = driver.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(2)]);
}

#[test]
fn partially_running_gang_is_stopped_and_restarted() {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.report_running(first, &[(task(0), Run(1), 0)]);
    others_answer(&mut driver);
    let gang = StepSpec {
        gang: true,
        ..step(2, 1)
    };
    driver.submit(JOB, policy(0), vec![gang]);
    driver.schedule();
    assert!(driver.starts.is_empty());
    assert_eq!(driver.stops.len(), 1);
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Stopped)]);
    driver.record();
    driver.schedule();
    let runs: Vec<_> = driver.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(2), Run(2)]);
}

#[test]
fn runs_without_a_job_are_stopped_and_their_ends_acknowledged() {
    let mut driver = successor(1);
    let only = driver.workers[0];
    let ended = [(task(1), Run(1), RunEnd::Done)];
    driver.report(only, &[(task(0), Run(1), 10)], &ended);
    driver.apply(Event::Ticked);
    assert_eq!(driver.stops, []);
    read_on(&mut driver);
    assert_eq!(driver.stops.len(), 1);
    assert_eq!(driver.scheduler.acknowledged_ends(only), (1, false));
}

#[test]
fn unlimited_read_time_treats_all_jobs_as_read() {
    let mut driver = successor(1);
    driver.scheduler.set_jobs_read(Millis(u64::MAX));
    let only = driver.workers[0];
    driver.report_running(only, &[(task(0), Run(1), 10)]);
    assert_eq!(driver.stops.len(), 1);
}

/// Two nodes overlapped for 0.8 s, with two fifths of the calls late: the former scheduler still ordered starts of
/// a job that its successor read only after it had read all the others. The successor heard of the ends a moment
/// after it had read the job, took it as one that nobody had started, and ran all four tasks once more.
#[test]
fn end_reported_after_the_job_is_read_prevents_a_second_run() {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.submit(JOB, policy(0), vec![step(2, 1)]);
    let ended = [
        (task(0), Run(1), RunEnd::Done),
        (task(1), Run(1), RunEnd::Done),
    ];
    driver.report(first, &[], &ended);
    others_answer(&mut driver);
    driver.schedule();
    assert!(driver.starts.is_empty(), "both are done");
    driver.record();
    assert_eq!(driver.state(JOB), Some(JobState::Completed));
}

#[test]
fn run_reported_after_the_job_is_read_is_adopted() {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.submit(JOB, policy(0), vec![step(1, 1)]);
    driver.report_running(first, &[(task(0), Run(1), 40)]);
    others_answer(&mut driver);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it runs");
    assert_eq!(driver.stops, []);
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(JOB), Some(JobState::Completed));
}
