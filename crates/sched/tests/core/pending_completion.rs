//! Tasks that are done while a later start of them may still be carried out.

use smol_str::SmolStr;
use syc_sched::EndReport;
use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_sched::WorkerReport;
use syc_sched::WorkerSpec;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

/// Writes off the first run of a task, and orders a second one that is not answered.
fn second_start_under_way() -> (Driver, StartOrder, StartOrder) {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    driver.expire_leases(&[first.worker]);
    driver.record();
    driver.schedule();
    let second = driver.starts.remove(0);
    assert_eq!(second.run, Run(2));
    (driver, first, second)
}

#[test]
fn end_as_done_is_acknowledged_if_the_later_run_is_done_as_well() {
    let (mut driver, first, second) = second_start_under_way();
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.report_end(&second, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    let acknowledged = driver.scheduler.acknowledged_ends(second.worker);
    assert_eq!(acknowledged, (1, false));
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (1, false), "kept for good");
}

#[test]
fn end_of_the_later_run_is_acknowledged_after_a_cancel() {
    let (mut driver, first, second) = second_start_under_way();
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.cancel(1);
    driver.report_end(&second, RunEnd::Stopped, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Cancelled));
    let acknowledged = driver.scheduler.acknowledged_ends(second.worker);
    assert_eq!(acknowledged, (1, false), "kept for good");
}

#[test]
fn end_as_done_is_kept_while_another_task_of_the_job_completes() {
    let mut driver = Driver::new(2, 4);
    driver.submit(1, policy(0), vec![step(2, 2)]);
    let starts = driver.settle();
    let at = starts[0].worker;
    let first: Vec<_> = starts
        .iter()
        .filter(|start| start.worker == at)
        .cloned()
        .collect();
    assert_eq!(first.len(), 2, "both tasks are on one worker");
    driver.expire_leases(&[at]);
    driver.record();
    driver.schedule();
    let second = std::mem::take(&mut driver.starts);
    assert_eq!(second.len(), 2);
    for start in &first {
        driver.report_end(start, RunEnd::Done, &[]);
    }
    // Of the second starts, only that of one task has ended. The worker keeps the end of the other task.
    let ended = second.iter().find(|start| start.task == first[0].task);
    driver.report_end(ended.expect("started again"), RunEnd::Stopped, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Running));
    let acknowledged = driver.scheduler.acknowledged_ends(at);
    assert_eq!(acknowledged, (1, true), "the second end is not recorded");
}

#[test]
fn task_whose_second_start_may_reach_a_restarted_worker_is_not_shown_as_done() {
    let (mut driver, first, second) = second_start_under_way();
    driver.apply(Event::StartAnswered {
        worker: second.worker,
        task: second.task,
        run: second.run,
        answer: StartAnswer::InDoubt,
    });
    driver.apply(Event::Restarted {
        worker: second.worker,
    });
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(
        acknowledged,
        (0, true),
        "the next incarnation may carry it out"
    );
    assert_eq!(driver.state(1), Some(JobState::Running));
}

#[test]
fn gang_whose_second_start_is_being_stopped_is_not_shown_as_done_by_the_first() {
    let mut driver = Driver::new(4, 4);
    let gang = StepSpec {
        gang: true,
        ..step(2, 4)
    };
    driver.submit(1, policy(0), vec![gang]);
    let first = driver.settle();
    assert_eq!(first.len(), 2);
    for start in &first {
        driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    }
    driver.expire_leases(&[first[0].worker, first[1].worker]);
    driver.record();
    driver.schedule();
    let second = std::mem::take(&mut driver.starts);
    assert_eq!(second.len(), 2);
    assert_eq!(second[0].run, Run(2));
    driver.report_end(&second[0], RunEnd::Failed, &[]);
    driver.report_end(&first[0], RunEnd::Done, &[]);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first[0].worker);
    assert_eq!(acknowledged, (0, true), "a start may be carried out yet");
    assert_eq!(driver.state(1), Some(JobState::Running));
}

#[test]
fn task_that_is_done_is_not_failed_by_an_earlier_run_that_is_reported_late() {
    let mut driver = Driver::new(3, 4);
    let mut once = policy(0);
    once.attempts_limit = 1;
    driver.submit(1, once, vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    driver.expire_leases(&[first.worker]);
    driver.record();
    let second = driver.settle().remove(0);
    driver.report_running(second.worker, &[(second.task, second.run, 10)]);
    driver.expire_leases(&[second.worker]);
    driver.record();
    driver.schedule();
    let third = driver.starts.remove(0);
    assert_eq!(third.run, Run(3));
    driver.report_end(&second, RunEnd::Done, &[]);
    driver.report_end(&first, RunEnd::Failed, &[]);
    driver.report_end(&third, RunEnd::Stopped, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn successor_does_not_show_a_task_as_done_while_a_predecessors_start_may_be_carried_out() {
    let (mut before, first, second) = second_start_under_way();
    before.report_end(&first, RunEnd::Done, &[]);
    let progress = before.stored_progress.values().next().cloned();
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 4)], progress.as_ref());
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    let index_of = |start: &StartOrder| {
        let at = before.workers.iter().position(|key| *key == start.worker);
        at.expect("it is attached")
    };
    let at_first = driver.workers[index_of(&first)];
    assert_ne!(index_of(&first), index_of(&second));
    let ended = StartOrder {
        worker: at_first,
        ..first
    };
    driver.report_end(&ended, RunEnd::Done, &[]);
    driver.record();
    assert!(!driver.scheduler.is_recovered());
    let acknowledged = driver.scheduler.acknowledged_ends(at_first);
    assert_eq!(acknowledged, (0, true), "the other worker has not answered");
    assert_ne!(driver.state(1), Some(JobState::Completed));
}

#[test]
fn draining_worker_with_more_ends_to_report_is_not_given_up_under_its_lease() {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 4)], None);
    for index in 0..2 {
        driver.apply(Event::WorkerListed(worker(index, 4)));
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(driver.workers[1], &[]);
    let draining = WorkerSpec {
        draining: true,
        ..worker(0, 4)
    };
    let id = draining.id.clone();
    driver.apply(Event::WorkerListed(draining));
    driver.report_some_ends(driver.workers[0]);
    driver.apply(Event::WorkerUnlisted(id));
    driver.apply(Event::Ticked);
    let early = driver.settle();
    assert!(early.is_empty(), "it may be done: {early:?}");
}

/// A predecessor's start has the same number as the later one, and was carried out on another worker.
#[test]
fn end_of_a_run_with_the_same_number_elsewhere_does_not_show_the_task_as_done() {
    let (mut driver, first, second) = second_start_under_way();
    driver.apply(Event::WorkerListed(worker(2, 4)));
    let other = driver.workers[2];
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.report(other, &[], &[(second.task, second.run, RunEnd::Stopped)]);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, (0, true), "a start may be carried out yet");
    assert_eq!(driver.state(1), Some(JobState::Running));
}

/// The end of the later run is among those that are listed only once earlier ones are acknowledged.
#[test]
fn end_as_done_is_acknowledged_if_it_keeps_its_worker_from_reporting_the_later_one() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    let first = driver.settle().remove(0);
    driver.report_running(first.worker, &[(first.task, first.run, 10)]);
    driver.expire_leases(&[first.worker]);
    driver.record();
    driver.report_some_ends(first.worker);
    driver.apply(Event::WorkerListed(worker(0, 4)));
    driver.schedule();
    let second = driver.starts.remove(0);
    assert_eq!(second.run, Run(2));
    driver.start_unanswered(&second);
    let listed = EndReport {
        number: 1,
        task: first.task,
        run: first.run,
        end: RunEnd::Done,
        checkpoint: SmolStr::default(),
    };
    let list = WorkerReport {
        ended: vec![listed],
        has_more_ends: true,
        ..WorkerReport::default()
    };
    for _ in 0..600 {
        driver.advance(100);
        driver.renew_leases();
        driver.apply(Event::Renewed {
            worker: first.worker,
            sent_at: driver.now,
            report: list.clone(),
        });
        for stop in std::mem::take(&mut driver.stops) {
            assert_eq!(stop.run, second.run);
            driver.accept_stop(&second);
        }
        driver.apply(Event::Ticked);
        driver.record();
    }
    let (acknowledged, _) = driver.scheduler.acknowledged_ends(first.worker);
    assert_eq!(acknowledged, 1, "kept for a minute");
}
