//! Guaranteed rates of workspaces, and the prediction of the wait.

use syc_sched::Cancellation;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::RunEnd;
use syc_sched::Schedule;
use syc_sched::StepSpec;
use syc_types::WorkspaceName;
use syc_workspace::WorkspacePolicy;

use crate::driver::Driver;
use crate::driver::job;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

/// Sets a rate of one job a second, and a burst of two, for the workspaces `a` and `b`.
fn set_rates(driver: &mut Driver) {
    let limited = |name: &str| WorkspacePolicy::unlimited(name.into()).with_rate(None, Some(2.0));
    let policies = vec![limited("a"), limited("b")];
    driver.apply(Event::WorkspacesSet(policies));
}

fn with_rates(cores: u64) -> Driver {
    let mut driver = Driver::new(1, cores);
    set_rates(&mut driver);
    driver
}

/// Runs all tasks one after another on the single core, and returns their jobs in the order of their starts.
fn serve_all(driver: &mut Driver) -> Vec<u64> {
    let mut served = Vec::new();
    loop {
        let started = driver.start_all();
        let Some(start) = started.first() else {
            return served;
        };
        served.push(start.task.step.job.0);
        driver.report_end(start, RunEnd::Done, &[]);
        driver.record();
    }
}

/// Guards against a flood of urgent jobs that holds up what other workspaces send within their rates.
#[test]
fn excess_work_waits_for_less_urgent_guaranteed_work() {
    let mut driver = with_rates(1);
    for id in 1..=3 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
    }
    driver.submit_for("b", 4, policy(2), vec![step(1, 1)]);
    assert_eq!(serve_all(&mut driver), [1, 2, 4, 3]);
    driver.advance(1_000);
    driver.renew_leases();
    for id in 5..=6 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
    }
    driver.submit_for("b", 7, policy(2), vec![step(1, 1)]);
    assert_eq!(serve_all(&mut driver), [5, 7, 6], "one token a second");
}

/// Guards against rates that apply where no workspaces are configured.
#[test]
fn work_of_no_workspace_is_guaranteed() {
    let mut driver = with_rates(1);
    for id in 1..=3 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
    }
    for id in 4..=8 {
        driver.submit(id, policy(2), vec![step(1, 1)]);
    }
    assert_eq!(serve_all(&mut driver), [1, 2, 4, 5, 6, 7, 8, 3]);
}

/// A successor reads jobs in no particular order and before the configuration. Marked in that order, the jobs that are
/// entitled to go first would be excess.
#[test]
fn a_successor_marks_jobs_in_the_order_of_their_acceptance() {
    let mut driver = Driver::new(0, 0);
    let restored = [
        ("a", 3, 0, 10),
        ("b", 4, 2, 15),
        ("a", 2, 0, 20),
        ("a", 1, 0, 30),
    ];
    for (workspace, id, priority, age_ms) in restored {
        let spec = JobSpec {
            workspace: Some(WorkspaceName::new(workspace)),
            ..job(id, policy(priority), vec![step(1, 1)], Schedule::default())
        };
        driver.scheduler.restore_job(spec, None, age_ms, driver.now);
    }
    set_rates(&mut driver);
    driver.apply(Event::WorkerListed(worker(0, 1)));
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    assert_eq!(serve_all(&mut driver), [1, 2, 4, 3]);
}

/// The level is kept when the rate changes, so a change can't be used to send a burst anew.
#[test]
fn a_new_rate_holds_from_the_next_job_on() {
    let mut driver = with_rates(1);
    for id in 1..=2 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
    }
    let raised = WorkspacePolicy::unlimited("a".into()).with_rate(Some(50.0), None);
    driver.apply(Event::WorkspacesSet(vec![raised]));
    driver.submit_for("a", 3, policy(0), vec![step(1, 1)]);
    driver.advance(100);
    driver.submit_for("a", 4, policy(0), vec![step(1, 1)]);
    driver.submit_for("b", 5, policy(2), vec![step(1, 1)]);
    assert_eq!(serve_all(&mut driver), [1, 2, 4, 5, 3]);
}

/// Guards against excess work that stops what others run.
#[test]
fn only_guaranteed_work_preempts() {
    let mut driver = with_rates(4);
    let saved = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    driver.submit_for("b", 1, policy(2), vec![saved]);
    let started = driver.start_all();
    let running: Vec<_> = started.iter().map(|s| (s.task, s.run, 10)).collect();
    driver.report_running(driver.workers[0], &running);
    // Two cancelled jobs use up the burst.
    for id in 2..=3 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
        driver.apply(Event::JobCancelled(Cancellation {
            job: JobId(id),
            workspace: Some("a".into()),
        }));
    }
    driver.submit_for("a", 4, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.stops, []);
    driver.submit_for("b", 5, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.stops.len(), 1);
}

/// Rejecting what would be served soon, or what is within the rate, would turn callers away for nothing.
#[test]
fn only_a_workspace_beyond_its_rate_sheds_and_only_behind_a_long_backlog() {
    let mut driver = with_rates(1);
    for id in 1..=12 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
        driver.submit_for("b", 100 + id, policy(0), vec![step(1, 1)]);
    }
    driver.start_all();
    let rows = driver.scheduler.shed_rows(driver.now);
    let names: Vec<_> = rows.iter().map(|row| row.workspace.as_str()).collect();
    assert_eq!(names, ["b", "a"], "the longest wait first");
    assert_eq!(rows[0].wait_ms, 23_000, "all that waits");
    driver.advance(1_000);
    driver.renew_leases();
    driver.schedule();
    let rows = driver.scheduler.shed_rows(driver.now);
    assert!(rows.is_empty(), "both have a token again: {rows:?}");
    driver.submit_for("a", 13, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.scheduler.shed_rows(driver.now).len(), 1);
    driver.advance(1_001);
    let rows = driver.scheduler.shed_rows(driver.now);
    assert!(rows.is_empty(), "the forecast is too old");
}

/// Guards against rejections by the rate alone, while workers are free.
#[test]
fn nothing_sheds_while_capacity_is_free() {
    let mut driver = with_rates(64);
    for id in 1..=12 {
        driver.submit_for("a", id, policy(0), vec![step(1, 1)]);
    }
    driver.schedule();
    assert!(driver.scheduler.shed_rows(driver.now).is_empty());
}
