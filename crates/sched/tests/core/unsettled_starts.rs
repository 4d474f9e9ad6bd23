//! Starts that a worker may carry out late, on a next life that nobody has called yet.

use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::Options;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::Schedule;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::job;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

fn life(index: usize, born_ms: u64) -> WorkerSpec {
    let plain = worker(index, 4);
    WorkerSpec {
        id: WorkerId::of_life(plain.id.as_str(), Some(born_ms)),
        ..plain
    }
}

/// Creates a scheduler with workers that tell when their lives began, and submits a job of one task.
fn submitted(workers: usize, attempts: u32) -> (Driver, StartOrder) {
    let mut driver = Driver::new(0, 0);
    for index in 0..workers {
        driver.apply(Event::WorkerListed(life(index, 1)));
        driver.report_running(driver.workers[index], &[]);
    }
    let mut limited = policy(0);
    limited.attempts_limit = attempts;
    driver.submit(1, limited, vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.record();
    (driver, start)
}

/// Repeats a start that got no answer, and lets the repeat be carried out.
fn repeat(driver: &mut Driver, start: &StartOrder) {
    driver.start_unanswered(start);
    driver.record();
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    let repeated = driver.starts.remove(0);
    assert_eq!((repeated.run, repeated.retries), (start.run, 1));
    answer(driver, start, StartAnswer::Started);
}

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

/// Takes over from a scheduler, whose workers list what the test says.
fn successor(before: &Driver, workers: usize) -> Driver {
    let mut driver = Driver::with_untried_workers(0, 0);
    driver.now = before.now;
    for index in 0..workers {
        driver.apply(Event::WorkerListed(life(index, 1)));
    }
    for (id, stored) in &before.stored_progress {
        let spec = job(id.0, policy(0), vec![step(1, 1)], Schedule::default());
        let now = driver.now;
        driver.scheduler.restore_job(spec, Some(stored), 0, now);
        driver.stored_progress.insert(*id, stored.clone());
    }
    driver.scheduler.begin_recovery(driver.now);
    driver
}

// Guards against a task that runs again on its worker's next life: a late copy of its start reaches that life after its end
// as done was acknowledged (TWICE).
#[test]
fn end_of_a_repeated_start_is_acknowledged_once_no_copy_can_be_carried_out() {
    let (mut driver, start) = submitted(1, 3);
    repeat(&mut driver, &start);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed), "shown at once");
    let acknowledged = driver.scheduler.acknowledged_ends(start.worker);
    assert_eq!(
        acknowledged,
        (0, true),
        "the next life may get the first copy"
    );
    driver.pass_late_calls();
    let acknowledged = driver.scheduler.acknowledged_ends(start.worker);
    assert_eq!(acknowledged, (1, false));
}

// Guards against a failed run too many on a next life (BUDGET): the end that used up the attempts was acknowledged.
#[test]
fn end_without_an_attempt_left_is_acknowledged_once_no_copy_can_be_carried_out() {
    let (mut driver, start) = submitted(1, 1);
    repeat(&mut driver, &start);
    driver.report_end(&start, RunEnd::Failed, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Failed));
    assert_eq!(driver.scheduler.acknowledged_ends(start.worker).0, 0);
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(start.worker).0, 1);
}

// Guards against a start on a next life after the acknowledged end of a cancelled job's task.
#[test]
fn end_of_a_cancelled_job_is_acknowledged_once_no_copy_can_be_carried_out() {
    let (mut driver, start) = submitted(1, 3);
    repeat(&mut driver, &start);
    driver.cancel(1);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.scheduler.acknowledged_ends(start.worker).0, 0);
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(start.worker).0, 1);
}

// Guards against a successor that acknowledges an end although its predecessor had repeated the start (TWICE).
#[test_case(1; "one takeover")]
#[test_case(2; "two takeovers")]
fn successor_acknowledges_no_end_of_a_start_that_a_predecessor_repeated(takeovers: usize) {
    let (mut first, start) = submitted(1, 3);
    repeat(&mut first, &start);
    let mut driver = successor(&first, 1);
    for _ in 1..takeovers {
        driver.report_running(driver.workers[0], &[(task(0), Run(1), 10)]);
        driver.record();
        driver = successor(&driver, 1);
    }
    let at = driver.workers[0];
    driver.report(at, &[], &[(task(0), Run(1), RunEnd::Done)]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
    assert_eq!(driver.scheduler.acknowledged_ends(at), (0, true));
    driver.pass_late_calls();
    assert_eq!(driver.scheduler.acknowledged_ends(at), (1, false));
}

// Guards against a successor that takes a start that it doesn't find as over, though its worker's next life may get it.
#[test]
fn successor_starts_a_task_only_where_its_unanswered_start_was_ordered() {
    let (mut before, start) = submitted(2, 3);
    before.start_unanswered(&start);
    before.record();
    let mut driver = successor(&before, 2);
    for key in driver.workers.clone() {
        driver.report_running(key, &[]);
    }
    driver.apply(Event::Ticked);
    let at = before.workers.iter().position(|key| *key == start.worker);
    let started = driver.settle();
    let places: Vec<_> = started.iter().map(|start| start.worker).collect();
    assert_eq!(Some(places), at.map(|at| vec![driver.workers[at]]));
}

// Guards against a run beside a late copy of an earlier start, which the next life of another worker carries out (TWICE).
#[test]
fn task_is_not_started_elsewhere_while_an_earlier_start_may_be_carried_out() {
    let (mut driver, start) = submitted(2, 3);
    let other = driver.workers.iter().find(|key| **key != start.worker);
    let other = *other.expect("two workers");
    driver.start_unanswered(&start);
    driver.apply(Event::Restarted {
        worker: start.worker,
    });
    driver.record();
    let bound_ms = Options::default().late_call_ms;
    for _ in 0..bound_ms / 500 {
        driver.advance(500);
        driver.report_running(other, &[]);
        driver.apply(Event::Ticked);
        let started = driver.settle();
        assert!(started.is_empty(), "a next life may get run 1: {started:?}");
    }
    driver.advance(Options::default().max_lease_ms + 500);
    driver.report_running(other, &[]);
    driver.apply(Event::Ticked);
    let started = driver.settle();
    assert_eq!(started.len(), 1, "no copy is left");
}

// Guards against a price for an order of which only the answer was lost: its worker lists the run.
#[test]
fn start_whose_answer_alone_was_lost_holds_no_end() {
    let (mut driver, start) = submitted(1, 3);
    driver.start_unanswered(&start);
    driver.report_running(start.worker, &[(start.task, start.run, 10)]);
    driver.report_end(&start, RunEnd::Done, &[]);
    driver.record();
    let acknowledged = driver.scheduler.acknowledged_ends(start.worker);
    assert_eq!(acknowledged, (1, false));
}

// Guards against a successor that takes a repeated start for the only copy, since the doubt about the first was not stored.
#[test]
fn start_is_repeated_once_the_store_has_that_it_is_in_doubt() {
    let (mut driver, start) = submitted(1, 3);
    driver.start_unanswered(&start);
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    assert!(driver.starts.is_empty(), "not stored");
    driver.record();
    driver.apply(Event::Ticked);
    assert_eq!(driver.starts.len(), 1);
}

// Guards against a next life that carries out more late starts than it has room for (LIMIT).
#[test]
fn starts_that_a_next_life_may_carry_out_fit_on_it_together() {
    let mut driver = Driver::new(0, 0);
    driver.apply(Event::WorkerListed(life(0, 1)));
    let only = driver.workers[0];
    driver.report_running(only, &[]);
    for id in 1..=2 {
        driver.submit(id, policy(0), vec![step(1, 3)]);
    }
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.record();
    repeat(&mut driver, &first);
    driver.report_end(&first, RunEnd::Done, &[]);
    driver.record();
    let started = driver.settle();
    assert!(
        started.is_empty(),
        "two starts of 3 of 4 cores: {started:?}"
    );
    driver.pass_late_calls();
    assert_eq!(driver.settle().len(), 1);
}

// Guards against a unit that waits for good for a worker that answers and does not run its late start.
#[test]
fn worker_that_answers_after_the_last_late_call_settles_its_starts() {
    let (mut driver, start) = submitted(2, 3);
    let index = driver.workers.iter().position(|key| *key == start.worker);
    let index = index.expect("a worker");
    let other = driver.workers.iter().find(|key| **key != start.worker);
    let other = *other.expect("two workers");
    driver.start_unanswered(&start);
    driver.apply(Event::Restarted {
        worker: start.worker,
    });
    driver.record();
    driver.pass_late_calls();
    driver.apply(Event::WorkerListed(life(index, 2)));
    let next = *driver.workers.last().expect("the next life");
    driver.advance(100);
    driver.report_running(next, &[]);
    driver.report_running(other, &[]);
    driver.apply(Event::Ticked);
    // A suspected task is started once the store has where.
    let mut started = driver.settle();
    started.extend(driver.settle());
    assert_eq!(started.len(), 1, "its next life runs nothing");
}

// Guards against a progress record beyond what a store takes: after a takeover it named each waiting task of a wide step.
#[test]
fn record_after_a_takeover_does_not_grow_with_the_waiting_tasks() {
    let mut driver = Driver::with_untried_workers(1, 4);
    let spec = job(1, policy(0), vec![step(5_000, 4)], Schedule::default());
    let now = driver.now;
    driver.scheduler.restore_job(spec, None, 0, now);
    driver.scheduler.begin_recovery(now);
    driver.report_running(driver.workers[0], &[]);
    assert_eq!(driver.settle().len(), 1);
    let stored = driver.stored_progress.values().next();
    let stored = stored.expect("a record of the start");
    let entries = stored.starts_in_doubt.len();
    assert!(entries <= 1, "{entries} entries for one start");
}
