//! Starts and stops that were meant for one life of a worker and that its next life may carry out.

use syc_sched::Event;
use syc_sched::JobState;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StartRefusal;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

const CORES: u64 = 8;

/// Cores of a task whose start is in doubt when its worker starts again.
const DOUBTED_CORES: u64 = 3;

const TICK_MS: u64 = 100;

fn list_life(driver: &mut Driver, started_ms: u64) -> WorkerKey {
    driver.apply(Event::WorkerListed(WorkerSpec {
        id: WorkerId::of_life("w", Some(started_ms)),
        ..worker(5, CORES)
    }));
    driver.workers[driver.workers.len() - 1]
}

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

/// Creates a scheduler with one life of a worker that got a start and did not answer it.
fn start_in_doubt() -> (Driver, StartOrder) {
    let mut driver = Driver::new(0, 0);
    let first = list_life(&mut driver, 1);
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, DOUBTED_CORES)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.record();
    answer(&mut driver, &start, StartAnswer::InDoubt);
    (driver, start)
}

// Guards against a next life that is filled as if it were empty, beside a start for the former life that it has carried out.
#[test]
fn start_in_doubt_for_the_former_life_takes_room_on_the_next_one() {
    let (mut driver, start) = start_in_doubt();
    driver.apply(Event::Restarted {
        worker: start.worker,
    });
    let next = list_life(&mut driver, 2);
    driver.submit(2, policy(0), vec![step(16, 1)]);
    driver.report_running(next, &[]);
    let mut cores = 0;
    for _ in 0..4 {
        driver.advance(TICK_MS);
        driver.apply(Event::Ticked);
        driver.record();
        driver.schedule();
        for order in std::mem::take(&mut driver.starts) {
            answer(&mut driver, &order, StartAnswer::Started);
            cores += u64::from(order.worker == next);
            let is_again = order.task == start.task && order.run > start.run;
            assert!(!is_again, "run 1 may be on the next life: {order:?}");
        }
    }
    let free = CORES - DOUBTED_CORES;
    assert!(
        cores <= free,
        "{cores} of {CORES} cores are started on beside a start in doubt that needs {DOUBTED_CORES}"
    );
}

// Guards against the room of a misdirected start that is lost when the next life lists it, before the stop is answered.
#[test]
fn start_that_the_next_life_lists_keeps_its_room_until_it_has_ended() {
    let (mut driver, start) = start_in_doubt();
    driver.apply(Event::Restarted {
        worker: start.worker,
    });
    let next = list_life(&mut driver, 2);
    driver.submit(2, policy(0), vec![step(16, 1)]);
    driver.report_running(next, &[(start.task, start.run, 10)]);
    let beside = driver.settle().len();
    assert_eq!(beside, 5, "of the other cores");
    driver.report(next, &[], &[(start.task, start.run, RunEnd::Stopped)]);
    driver.record();
    let more = driver.settle();
    let cores: u64 = more
        .iter()
        .map(|order| {
            if order.task == start.task {
                DOUBTED_CORES
            } else {
                1
            }
        })
        .sum();
    assert!(cores <= DOUBTED_CORES, "{more:?}");
}

// Guards against a task that stands still, or is given up, because a call that nobody knows of has stopped its run number.
#[test]
fn start_refused_because_that_run_was_stopped_is_followed_by_a_higher_run() {
    let mut driver = Driver::new(0, 0);
    let next = list_life(&mut driver, 2);
    driver.report_running(next, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let refused = driver.starts.remove(0);
    driver.record();
    let old = StartAnswer::Refused(StartRefusal::OldRun);
    answer(&mut driver, &refused, old);
    driver.record();
    let again = driver.settle();
    let runs: Vec<_> = again.iter().map(|order| order.run).collect();
    assert_eq!(runs, [refused.run.next()]);
    driver.report_end(&again[0], RunEnd::Done, &[]);
    driver.record();
    assert_eq!(driver.state(1), Some(JobState::Completed));
}

/// Lets a start be repeated after its first copy got no answer.
fn repeated_start() -> (Driver, StartOrder) {
    let (mut driver, start) = start_in_doubt();
    while driver.starts.is_empty() {
        driver.advance(TICK_MS);
        driver.report_running(start.worker, &[]);
        driver.record();
        driver.apply(Event::Ticked);
        driver.schedule();
    }
    let repeat = driver.starts.remove(0);
    assert_eq!((repeat.task, repeat.run), (start.task, start.run));
    (driver, repeat)
}

// Guards against a sound run that is stopped because a repeat of its start carried a fencing token that is over.
#[test]
fn repeat_that_is_fenced_off_does_not_stop_the_listed_run() {
    let (mut driver, repeat) = repeated_start();
    driver.report_running(repeat.worker, &[(repeat.task, repeat.run, 10)]);
    let fenced = StartAnswer::Refused(StartRefusal::Fenced);
    answer(&mut driver, &repeat, fenced);
    assert_eq!(driver.stops, []);
}

// Guards against a start beside a first copy that may have been carried out, when the repeat is fenced off.
#[test]
fn repeat_that_is_fenced_off_says_nothing_about_the_first_copy() {
    let (mut driver, repeat) = repeated_start();
    let fenced = StartAnswer::Refused(StartRefusal::Fenced);
    answer(&mut driver, &repeat, fenced);
    driver.record();
    let started = driver.settle();
    assert!(started.is_empty(), "run 1 may be there: {started:?}");
    driver.report_running(repeat.worker, &[(repeat.task, Run(1), 10)]);
    driver.record();
    let started = driver.settle();
    assert!(started.is_empty(), "run 1 is there: {started:?}");
}
