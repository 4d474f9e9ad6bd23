//! Orders that the next life of a worker may have carried out, known or unknown to the scheduler that sent them, when that
//! scheduler is replaced.

use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::WorkerKey;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

/// How long a scheduler is asked whether it starts something: more than all that it may wait for.
const WATCHED_MS: u64 = 25_000;

const TICK_MS: u64 = 100;

fn life(started_ms: u64) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::of_life("w", Some(started_ms)),
        ..worker(5, 4)
    }
}

fn list(driver: &mut Driver, spec: WorkerSpec) -> WorkerKey {
    driver.apply(Event::WorkerListed(spec));
    driver.workers[driver.workers.len() - 1]
}

/// Creates a successor beside an idle worker that answers. The other workers have not answered.
fn successor(progress: Option<&JobProgress>, others: &[WorkerSpec]) -> Driver {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(1, 1)], progress);
    let idle = list(&mut driver, worker(0, 4));
    for spec in others {
        list(&mut driver, spec.clone());
    }
    driver.scheduler.begin_recovery(driver.now);
    driver.report_running(idle, &[]);
    driver
}

fn tick(driver: &mut Driver) -> Vec<StartOrder> {
    driver.advance(TICK_MS);
    driver.report_running(driver.workers[0], &[]);
    driver.apply(Event::Ticked);
    driver.record();
    driver.settle()
}

/// Lets a scheduler order a start on a worker that has just started again, and learn of that afterwards.
fn start_taken_by_the_next_life(answer: StartAnswer) -> Driver {
    let mut driver = Driver::new(0, 0);
    let first = list(&mut driver, life(1));
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.record();
    driver.apply(Event::StartAnswered {
        worker: first,
        task: start.task,
        run: start.run,
        answer,
    });
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    driver
}

/// Returns the successor of a scheduler, which is told of the worker's earlier life if that is in the roster.
fn successor_of(before: &Driver) -> Driver {
    let progress = before.stored_progress.values().next();
    let earlier = [life(1)];
    let is_forgotten = before.forgotten.contains(&earlier[0].id);
    let in_roster = if is_forgotten { &[] } else { &earlier[..] };
    let mut driver = successor(progress, in_roster);
    if !is_forgotten {
        driver.apply(Event::Restarted {
            worker: driver.workers[1],
        });
    }
    driver
}

// Guards against a successor that starts a task beside the run that its predecessor knew to be on a worker's next life.
#[test_case(StartAnswer::Started; "accepted")]
#[test_case(StartAnswer::InDoubt; "unanswered")]
fn task_that_the_next_life_may_run_is_not_started_by_a_successor(answer: StartAnswer) {
    let before = start_taken_by_the_next_life(answer);
    let mut driver = successor_of(&before);
    let started = tick(&mut driver);
    assert!(started.is_empty(), "run 1 may be there: {started:?}");
    let next = list(&mut driver, life(2));
    driver.report_running(next, &[(task(0), Run(1), 10)]);
    let started = tick(&mut driver);
    assert!(started.is_empty(), "run 1 is there: {started:?}");
    driver.report(next, &[], &[(task(0), Run(1), RunEnd::Stopped)]);
    let again: Vec<_> = tick(&mut driver).iter().map(|start| start.run).collect();
    assert_eq!(again, [Run(2)]);
}

// Guards against a task that stands still for good because the next life of its worker never appears.
#[test]
fn task_of_a_worker_whose_next_life_never_appears_is_started_by_a_successor() {
    let before = start_taken_by_the_next_life(StartAnswer::InDoubt);
    let mut driver = successor_of(&before);
    let ticks = WATCHED_MS / TICK_MS;
    let started = (0..ticks).flat_map(|_| tick(&mut driver)).next();
    assert_eq!(started.map(|start| start.run), Some(Run(2)));
}

// Guards against a start beside an unrecorded order of a predecessor that reached the next life of its worker.
#[test]
fn task_that_an_unheard_next_life_may_run_is_not_started_in_a_takeover() {
    let mut driver = successor(None, &[life(1)]);
    driver.apply(Event::Restarted {
        worker: driver.workers[1],
    });
    let started = tick(&mut driver);
    assert!(started.is_empty(), "run 1 may be there: {started:?}");
    let next = list(&mut driver, life(2));
    driver.report_running(next, &[(task(0), Run(1), 10)]);
    let started = tick(&mut driver);
    assert!(started.is_empty(), "run 1 is there: {started:?}");
    assert!(driver.stops.is_empty(), "it is adopted");
}
