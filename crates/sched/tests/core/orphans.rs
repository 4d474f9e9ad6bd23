//! Orphaned runs: runs of jobs that the scheduler has not read yet.
//!
//! A job can be stored just after the successor has read its partition and then be started by a predecessor that
//! has not noticed that it was replaced. Its worker then reports a run of an unknown job. When such a job was
//! treated as forgotten, the end of the run was dropped and acknowledged, and the task ran again once the job was
//! read.

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

/// Creates a successor that has read everything stored before it began, which does not include the job.
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

/// Lets all workers but the first report that nothing runs on them.
fn report_others_idle(driver: &mut Driver) {
    for key in driver.workers.clone().into_iter().skip(1) {
        driver.report_running(key, &[]);
    }
    driver.apply(Event::Ticked);
}

/// Reads everything stored up to now.
fn read_all_jobs(driver: &mut Driver) {
    driver.advance(1);
    driver.scheduler.set_jobs_read(driver.now);
    driver.apply(Event::Ticked);
}

#[test_case(false; "during takeover")]
#[test_case(true; "after takeover")]
fn end_reported_before_the_job_is_read_prevents_a_second_run(taken_over: bool) {
    let mut driver = successor(2);
    let first = driver.workers[0];
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Done)]);
    assert_eq!(driver.scheduler.acknowledged_ends(first), (0, true));
    if taken_over {
        report_others_idle(&mut driver);
        assert!(driver.scheduler.is_recovered());
    }
    driver.submit(JOB, policy(0), vec![step(1, 1)]);
    report_others_idle(&mut driver);
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
    report_others_idle(&mut driver);
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
    report_others_idle(&mut driver);
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
    report_others_idle(&mut driver);
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
    read_all_jobs(&mut driver);
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

/// Two schedulers overlapped for 0.8 s while 40% of the calls were late. The predecessor still ordered starts of a
/// job that its successor read after all others. The successor learned of the ends just after it had read the job,
/// assumed that nobody had started it, and ran all four tasks again.
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
    report_others_idle(&mut driver);
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
    report_others_idle(&mut driver);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it runs");
    assert_eq!(driver.stops, []);
    driver.report(first, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(JOB), Some(JobState::Completed));
}
