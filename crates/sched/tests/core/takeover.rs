//! Takeover from a predecessor: the successor determines what runs before it starts anything again.
//!
//! A predecessor continues to give orders for a while, also for jobs that its successor reads only after all others.
//! Its run and the successor's run then had the same number. The end of one was attributed to the other, whose own
//! end as done was ignored, and the task ran again.

use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

/// Creates a successor that has read a job and the list of workers, none of which has answered yet.
fn successor(workers: usize, steps: Vec<StepSpec>, progress: Option<&JobProgress>) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), steps, progress);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver
}

#[test]
fn running_task_is_adopted() {
    let mut driver = successor(2, vec![step(1, 1)], None);
    driver.schedule();
    assert!(driver.starts.is_empty());
    driver.report_running(driver.workers[0], &[(task(0), Run(1), 40)]);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it runs already");
    assert!(driver.stops.is_empty());
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

/// Until the next tick, nothing was started although everything was known.
#[test]
fn takeover_is_complete_with_the_report_of_the_last_worker() {
    let mut driver = successor(2, vec![step(1, 1)], None);
    driver.report_running(driver.workers[0], &[]);
    assert!(!driver.scheduler.is_recovered());
    driver.report_running(driver.workers[1], &[]);
    assert!(driver.scheduler.is_recovered());
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn inherited_job_waits_for_unreachable_worker() {
    let mut driver = successor(2, vec![step(1, 1)], None);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[1],
    });
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it may run on the silent worker");
    driver.advance(200);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(
        driver.starts.is_empty(),
        "the number that may have been used there is not stored yet"
    );
    driver.record();
    driver.schedule();
    let runs: Vec<_> = driver.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(2)]);
}

#[test]
fn job_submitted_after_takeover_starts_immediately() {
    let mut driver = successor(2, vec![step(1, 1)], None);
    driver.report_running(driver.workers[0], &[]);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let jobs: Vec<_> = driver.starts.iter().map(|s| s.task.step.job.0).collect();
    assert_eq!(jobs, [2]);
}

#[test]
fn recorded_end_is_not_counted_twice() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"f":1,"r":1,"a":1}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(1, vec![step(1, 1)], Some(&progress));
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), RunEnd::Failed)]);
    driver.record();
    driver.apply(Event::Ticked);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1, "one failure of three");
    assert_eq!(driver.starts[0].run, Run(2));
}

#[test]
fn gang_with_missing_member_is_stopped_and_restarted() {
    let gang = StepSpec {
        gang: true,
        ..step(2, 1)
    };
    let mut driver = successor(2, vec![gang], None);
    driver.report_running(driver.workers[0], &[(task(0), Run(1), 0)]);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::Ticked);
    assert_eq!(driver.stops.len(), 1);
    assert_eq!(driver.stops[0].reason, StopReason::GangBroken);
    driver.schedule();
    assert!(driver.starts.is_empty(), "a member still runs");
    driver.report(
        driver.workers[0],
        &[],
        &[(task(0), Run(1), RunEnd::Stopped)],
    );
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts.len(), 2);
    assert!(driver.starts.iter().all(|start| start.run == Run(2)));
}

#[test]
fn takeover_waits_for_unregistered_worker_with_recorded_run() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-9"]}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(1, vec![step(1, 1)], Some(&progress));
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it may run on the missing worker");
}

#[test]
fn gang_failure_reported_after_recorded_broken_members_counts() {
    let gang = StepSpec {
        gang: true,
        ..step(2, 1)
    };
    // The predecessor recorded the end of run 3 when it saw the broken member. Two runs had failed before.
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"f":2,"r":3,"a":3,"x":2}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(1, vec![gang], Some(&progress));
    driver.report(driver.workers[0], &[], &[(task(0), Run(3), RunEnd::Failed)]);
    driver.apply(Event::Ticked);
    let (acknowledged, left) = driver.scheduler.acknowledged_ends(driver.workers[0]);
    assert_eq!(
        (acknowledged, left),
        (0, true),
        "the failure is not stored yet"
    );
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Failed));
}

/// Creates a successor that has read everything stored before it began. Jobs that it reads from then on may have
/// been read by its predecessor too.
fn successor_of_active_predecessor(workers: usize) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.scheduler.set_jobs_read(driver.now);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver
}

#[test]
fn job_known_to_predecessor_waits_for_unreported_workers() {
    let mut driver = successor_of_active_predecessor(2);
    driver.report_running(driver.workers[1], &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert!(driver.starts.is_empty(), "it may run on the other worker");
    let failed = (task(0), Run(1), RunEnd::Failed);
    driver.report(driver.workers[0], &[], &[failed]);
    driver.apply(Event::Ticked);
    driver.record();
    driver.schedule();
    let runs: Vec<_> = driver.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(2)]);
}

#[test]
fn job_stored_after_predecessor_authority_ends_starts_immediately() {
    let mut driver = successor_of_active_predecessor(2);
    driver.report_running(driver.workers[1], &[]);
    driver.advance(Options::default().authority_ms);
    driver.scheduler.set_jobs_read(driver.now);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

/// Reading everything from a slow store takes seconds, during which the predecessor's authority ends.
#[test_case(1, 0; "1 ms before it ends")]
#[test_case(0, 1; "when it ends")]
fn predecessor_authority_is_measured_from_election(before_ms: u64, starts: usize) {
    let mut driver = Driver::new(0, 0);
    driver.scheduler.set_elected_at(driver.now);
    driver.apply(Event::WorkerListed(worker(0, 4)));
    driver.apply(Event::WorkerListed(worker(1, 4)));
    driver.advance(Options::default().authority_ms - before_ms);
    driver.scheduler.set_jobs_read(driver.now);
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[1], &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), starts);
}

/// A run with the same number ends on a worker that was presumed lost together with its runs.
#[test_case(RunEnd::Failed; "failed")]
#[test_case(RunEnd::Lapsed; "lease expired")]
#[test_case(RunEnd::Done; "done, reported after its lease expired")]
fn end_applies_only_to_its_own_run(end: RunEnd) {
    let mut driver = successor(2, vec![step(1, 1)], None);
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[0],
    });
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms);
    driver.apply(Event::Ticked);
    driver.record();
    driver.schedule();
    let starts = driver.confirm_starts();
    assert_eq!(starts.len(), 1);
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), end)]);
    driver.record();
    driver.schedule();
    assert!(driver.starts.is_empty(), "its run is still active");
    let done = (task(0), starts[0].run, RunEnd::Done);
    driver.report(starts[0].worker, &[], &[done]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn completed_run_ends_its_task_even_if_presumed_lost() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let first = driver.confirm_starts().remove(0);
    driver.advance(1);
    driver.report_running(first.worker, &[]);
    driver.record();
    driver.schedule();
    let second = driver.confirm_starts().remove(0);
    assert_eq!(second.run, Run(2));
    driver.report(first.worker, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    let stops: Vec<_> = driver.stops.iter().map(|stop| stop.run).collect();
    assert_eq!(stops, [Run(2)]);
}

/// The predecessor stored the run number that may have been used before it, and started the task with the next
/// number just before it ended.
#[test]
fn takeover_skips_run_number_that_may_be_in_use() {
    let progress: JobProgress =
        serde_json::from_str(r#"{"state":"queued","steps":[{"units":{"0":{"r":1,"a":1}}}]}"#)
            .expect("valid progress record");
    let mut driver = successor(2, vec![step(1, 1)], Some(&progress));
    driver.report_running(driver.workers[1], &[]);
    driver.apply(Event::RenewalFailed {
        worker: driver.workers[0],
    });
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms);
    driver.apply(Event::Ticked);
    driver.record();
    driver.schedule();
    let runs: Vec<_> = driver.starts.iter().map(|start| start.run).collect();
    assert_eq!(runs, [Run(3)]);
}

/// A worker reports a limited number of ends at a time. A run that it does not list may still have ended as done.
#[test]
fn takeover_waits_for_all_ends_of_a_worker() {
    let mut driver = successor(1, vec![step(1, 1)], None);
    let worker = driver.workers[0];
    driver.report_some_ends(worker);
    driver.apply(Event::Ticked);
    driver.schedule();
    assert!(driver.starts.is_empty(), "its end may be among the others");
    driver.report(worker, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    assert!(driver.starts.is_empty());
}

#[test]
fn run_is_kept_while_its_end_may_be_unlisted() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.confirm_starts().remove(0);
    driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    driver.report_some_ends(start.worker);
    driver.record();
    driver.schedule();
    assert!(driver.starts.is_empty(), "it may be done");
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn failure_reported_after_that_of_a_later_run_counts() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"f":1,"r":1,"a":1,"x":1,"xs":[1]}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(2, vec![step(1, 1)], Some(&progress));
    driver.report(driver.workers[0], &[], &[(task(0), Run(3), RunEnd::Failed)]);
    driver.report(driver.workers[1], &[], &[(task(0), Run(2), RunEnd::Failed)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Failed), "three of three");
}

/// An earlier version stores no list of failed runs.
#[test]
fn failure_that_an_earlier_version_counted_is_not_counted_again() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"f":2,"r":2,"a":2,"x":2}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(1, vec![step(1, 1)], Some(&progress));
    driver.report(driver.workers[0], &[], &[(task(0), Run(1), RunEnd::Failed)]);
    driver.report(driver.workers[0], &[], &[(task(0), Run(2), RunEnd::Failed)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Running), "two of three");
}

/// A failure that an earlier version counted is known by number only if it is the latest one.
#[test]
fn failure_reported_late_counts_beside_those_of_an_earlier_version() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"f":1,"r":1,"a":1,"x":1}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(2, vec![step(1, 1)], Some(&progress));
    driver.report(driver.workers[0], &[], &[(task(0), Run(3), RunEnd::Failed)]);
    driver.report(driver.workers[1], &[], &[(task(0), Run(2), RunEnd::Failed)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Failed), "three of three");
}

/// The worker registers again while it is cut off from the successor. The predecessor renewed its lease until it was
/// fenced off.
#[test]
fn run_on_a_worker_that_is_listed_during_the_takeover_is_not_started_again_under_its_lease() {
    let progress: JobProgress = serde_json::from_str(
        r#"{"state":"running","steps":[{"units":{"0":{"r":1,"w":["w-9"]}}}]}"#,
    )
    .expect("valid progress record");
    let mut driver = successor(1, vec![step(1, 1)], Some(&progress));
    let (idle, began_at) = (driver.workers[0], driver.now);
    driver.report_running(idle, &[]);
    driver.apply(Event::WorkerListed(worker(9, 4)));
    let late = driver.workers[1];
    driver.apply(Event::RenewalFailed { worker: late });
    driver.apply(Event::WorkerUnlisted(worker(9, 4).id));
    let options = Options::default();
    let lease_end = began_at.plus(options.authority_ms + options.lease_bound_ms);
    while driver.now < lease_end {
        driver.apply(Event::Ticked);
        let early = driver.settle();
        assert!(early.is_empty(), "{} ms early", lease_end.since(driver.now));
        driver.advance(100);
    }
}
