//! Runs that are written off because the lease of their worker has expired, and ends as done that are reported later.

use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;
use crate::unanswered_orders::pass_ignoring_orders;

/// Starts a gang with one member on each of two workers.
fn gang_of_two() -> (Driver, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 4);
    let gang = StepSpec {
        gang: true,
        ..step(2, 4)
    };
    driver.submit(1, policy(0), vec![gang]);
    let starts = driver.settle();
    assert_eq!(starts.len(), 2);
    for start in &starts {
        driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    }
    (driver, starts)
}

/// Lets the workers register again, which confirms their capacity, and returns the runs that start then.
fn settle_registered(driver: &mut Driver, workers: usize) -> Vec<Run> {
    for index in 0..workers {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.settle().iter().map(|start| start.run).collect()
}

#[test]
fn gang_done_under_a_held_lease_does_not_stand_still() {
    let (mut driver, starts) = gang_of_two();
    driver.expire_leases(&[starts[0].worker]);
    let stopped: Vec<_> = driver.stops.iter().map(|stop| stop.task).collect();
    assert_eq!(stopped, [starts[1].task]);
    driver.report_end(&starts[1], RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn gang_done_under_a_held_lease_is_not_started_again_by_a_successor() {
    let (mut driver, starts) = gang_of_two();
    driver.expire_leases(&[starts[0].worker]);
    driver.report_end(&starts[1], RunEnd::Done, &[]);
    driver.record();
    let (acknowledged, _) = driver.scheduler.acknowledged_ends(starts[1].worker);
    assert_eq!(acknowledged, 1, "the worker forgets the end");
    let stored = driver.stored_progress.values().next();
    let stored = stored.map(|progress| progress.state);
    assert_eq!(stored, Some(JobState::Completed), "a successor has to know");
}

#[test]
fn gang_whose_leases_all_expired_is_done_if_a_member_was() {
    let (mut driver, starts) = gang_of_two();
    driver.expire_leases(&[starts[0].worker, starts[1].worker]);
    driver.report_end(&starts[0], RunEnd::Done, &[]);
    driver.record();
    assert_eq!(settle_registered(&mut driver, 2), []);
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

/// Starts a task, and lets the lease of its worker expire.
fn expired_task(workers: usize) -> (Driver, StartOrder) {
    let mut driver = Driver::new(workers, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    driver.expire_leases(&[first.worker]);
    (driver, first)
}

#[test]
fn task_done_before_its_lease_expired_is_not_started_again() {
    let (mut driver, first) = expired_task(1);
    driver.record();
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(settle_registered(&mut driver, 1), []);
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn task_done_before_its_lease_expired_is_not_waited_for_elsewhere() {
    let (mut driver, first) = expired_task(2);
    driver.record();
    let second = driver.settle().remove(0);
    assert_eq!(second.run, Run(2));
    driver.stops.clear();
    driver.report_end(&first, RunEnd::Done, &[]);
    let stopped: Vec<_> = driver.stops.iter().map(|stop| stop.run).collect();
    assert_eq!(stopped, [Run(2)], "its work is needless");
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn task_whose_second_start_is_under_way_is_not_shown_as_done_by_the_first() {
    let (mut driver, first) = expired_task(2);
    driver.record();
    driver.schedule();
    let second = driver.starts.remove(0);
    assert_eq!(second.run, Run(2));
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.record();
    let stopped: Vec<_> = driver.stops.iter().map(|stop| stop.run).collect();
    assert_eq!(stopped, [Run(2)]);
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (0, true), "the start may be carried out yet");
    assert_eq!(driver.state(1), Some(JobState::Running));
    driver.accept_stop(&second);
    driver.advance(10);
    driver.report_running(second.worker, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    driver.start_unanswered(&second);
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (0, true), "the next life may carry it out");
    driver.pass_late_calls();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (1, false));
}

#[test]
fn cancelled_task_whose_second_start_is_under_way_has_its_end_acknowledged() {
    let (mut driver, first) = expired_task(2);
    driver.record();
    driver.schedule();
    let second = driver.starts.remove(0);
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.cancel(1);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (0, true), "the start may be carried out yet");
    driver.accept_stop(&second);
    driver.advance(10);
    driver.report_running(second.worker, &[]);
    driver.apply(Event::Ticked);
    driver.record();
    driver.start_unanswered(&second);
    driver.pass_late_calls();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (1, false), "kept for good");
}

#[test]
fn task_killed_by_its_expired_lease_starts_again() {
    let (mut driver, first) = expired_task(1);
    driver.report_end(&first, RunEnd::Lapsed, &[]);
    driver.record();
    assert_eq!(settle_registered(&mut driver, 1), [Run(2)]);
}

/// Lists a worker as draining, lets it go silent, and removes it from the list.
fn cut_off_while_draining(driver: &mut Driver, index: usize) -> WorkerKey {
    let draining = WorkerSpec {
        draining: true,
        ..worker(index, 4)
    };
    let id = draining.id.clone();
    let worker = driver.workers[index];
    driver.apply(Event::WorkerListed(draining));
    driver.apply(Event::RenewalFailed { worker });
    driver.apply(Event::WorkerUnlisted(id));
    worker
}

#[test]
fn run_on_a_draining_worker_that_is_cut_off_is_not_started_again_under_its_lease() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    let index = driver.workers.iter().position(|key| *key == first.worker);
    driver.renew_leases();
    cut_off_while_draining(&mut driver, index.expect("it is listed"));
    driver.advance(Options::default().lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    let early = driver.settle();
    assert!(early.is_empty(), "the run may still be there: {early:?}");
    driver.advance(200);
    driver.apply(Event::Ticked);
    let again: Vec<_> = driver.settle().iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

#[test]
fn successor_does_not_start_what_may_run_on_a_draining_worker_that_is_cut_off() {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 4)], None);
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[1], &[]);
    cut_off_while_draining(&mut driver, 0);
    let options = Options::default();
    driver.advance(options.authority_ms + options.lease_bound_ms - 100);
    driver.apply(Event::Ticked);
    let early = driver.settle();
    assert!(early.is_empty(), "the run may still be there: {early:?}");
    driver.advance(200);
    driver.apply(Event::Ticked);
    let again: Vec<_> = driver.settle().iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

/// Lets a worker run a task and leave another start unanswered until its lease is withheld.
fn withheld_lease() -> (Driver, StartOrder) {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let running = driver.settle().remove(0);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let limit_ms = 4 * Options::default().in_doubt_limit_ms;
    for _ in 0..limit_ms / 100 {
        pass_ignoring_orders(&mut driver, std::slice::from_ref(&running), 100);
        if !driver.scheduler.may_renew(running.worker) {
            return (driver, running);
        }
    }
    panic!("the lease is still renewed");
}

#[test]
fn run_of_a_worker_that_answers_is_not_written_off_before_its_report() {
    let (mut driver, running) = withheld_lease();
    driver.advance(Options::default().lease_bound_ms + 1);
    driver.apply(Event::Ticked);
    driver.record();
    let ended = &driver.stored_progress.get(&running.task.step.job);
    let accounted = ended.map(|progress| progress.steps[0].units[&0].last_accounted);
    assert_ne!(accounted, Some(running.run), "its worker still answers");
    driver.report_end(&running, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn start_in_doubt_on_a_worker_that_answers_ends_with_its_withheld_lease() {
    let (mut driver, running) = withheld_lease();
    driver.advance(Options::default().lease_bound_ms + 1);
    driver.report_running(running.worker, &[]);
    driver.record();
    let counts = driver.scheduler.counts(driver.now);
    assert_eq!(counts.doubtful_runs, 0);
}
