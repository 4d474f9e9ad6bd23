//! The number of waiting jobs.
//!
//! After all nodes of a cell had been killed, a queue reported no waiting jobs while five had been waiting for five
//! seconds. A job counted as started once its first task had been ordered, even if the worker never answered; it
//! actually waited until the worker's lease had expired. The log of such a job showed repeated orders to one silent
//! worker and no run:
//!
//! ```text
//! 13.3323  SYC0724 job seen     job=J
//! 13.3323  SYC0730 run ordered  task=J/0/0 run=1 worker=W
//! 13.6423  SYC0730 run ordered  task=J/0/0 run=1 worker=W
//! 13.9464  SYC0730 run ordered  task=J/0/0 run=1 worker=W
//! 18.51                         0 waiting jobs reported
//! 21.6609  SYC0725 job decided  state=completed after_ms=8330
//! ```

use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::JobState;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_types::TimeOfDay;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

/// Creates a cell with one worker and one job, whose start has been ordered but not answered.
fn cell_with_unanswered_order() -> (Driver, StartOrder) {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let order = driver.starts.pop().expect("an order");
    (driver, order)
}

fn answer(driver: &mut Driver, order: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: order.worker,
        task: order.task,
        run: order.run,
        answer,
    });
}

fn waiting_jobs(driver: &Driver) -> usize {
    driver.scheduler.pending_jobs(&policy(0).queue)
}

#[test]
fn job_with_unanswered_orders_counts_as_waiting() {
    let (mut driver, order) = cell_with_unanswered_order();
    assert_eq!(waiting_jobs(&driver), 1, "only the order is known");
    answer(&mut driver, &order, StartAnswer::InDoubt);
    driver.apply(Event::RenewalFailed {
        worker: order.worker,
    });
    assert_eq!(waiting_jobs(&driver), 1);
    assert_eq!(driver.state(1), Some(JobState::Queued));
}

#[test]
fn successor_counts_job_with_only_a_recorded_order_as_waiting() {
    let (mut driver, order) = cell_with_unanswered_order();
    answer(&mut driver, &order, StartAnswer::InDoubt);
    let written = driver
        .scheduler
        .take_records(usize::MAX, driver.now, TimeOfDay(1));
    let progress: Option<&JobProgress> = written.first().map(|(_, _, progress)| progress);
    let mut successor = Driver::new(0, 0);
    successor.restore(1, policy(0), vec![step(1, 1)], progress);
    successor.scheduler.begin_recovery(successor.now);
    assert_eq!(waiting_jobs(&successor), 1);
    assert_eq!(successor.state(1), Some(JobState::Queued));
}

/// How a worker reports that a run exists.
#[derive(Debug, Clone, Copy)]
enum RunEvidence {
    Answered,
    Listed,
    Ended,
}

#[test_case(RunEvidence::Answered; "an answered start")]
#[test_case(RunEvidence::Listed; "a run that is listed")]
#[test_case(RunEvidence::Ended; "an end that is listed")]
fn job_has_started_once_its_worker_reports_a_run(word: RunEvidence) {
    let (mut driver, order) = cell_with_unanswered_order();
    match word {
        RunEvidence::Answered => answer(&mut driver, &order, StartAnswer::Started),
        RunEvidence::Listed => driver.report_running(order.worker, &[(order.task, order.run, 0)]),
        RunEvidence::Ended => driver.report_end(&order, RunEnd::Failed, &[]),
    }
    assert_eq!(waiting_jobs(&driver), 0);
}

/// The record written with an order says that the job is queued. If no record followed the start, a job that was
/// visible as running would be visible as queued after a takeover, until its worker answers.
#[test]
fn job_visible_as_running_stays_so_after_takeover() {
    let (mut driver, order) = cell_with_unanswered_order();
    let _with_the_order = driver
        .scheduler
        .take_records(usize::MAX, driver.now, TimeOfDay(1));
    answer(&mut driver, &order, StartAnswer::Started);
    assert_eq!(driver.state(1), Some(JobState::Running));
    let written = driver
        .scheduler
        .take_records(usize::MAX, driver.now, TimeOfDay(1));
    let progress = written.first().map(|(_, _, progress)| progress);
    let mut successor = Driver::new(0, 0);
    successor.restore(1, policy(0), vec![step(1, 1)], progress);
    assert_eq!(successor.state(1), Some(JobState::Running));
}
