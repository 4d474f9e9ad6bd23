//! Orders that are repeated, of which one copy may reach the next life of a worker.

use syc_sched::Event;
use syc_sched::Run;
use syc_sched::StartAnswer;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::task;
use crate::driver::worker;

const TICK_MS: u64 = 100;

// Guards against a start beside a repeated order, one copy of which the earlier life had carried out and listed.
#[test]
fn repeated_start_that_the_earlier_life_listed_may_be_on_the_next_one() {
    let mut driver = Driver::new(0, 0);
    driver.apply(Event::WorkerListed(WorkerSpec {
        id: WorkerId::of_life("w", Some(1)),
        ..worker(5, 4)
    }));
    let first = driver.workers[0];
    driver.report_running(first, &[]);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let start = driver.starts.remove(0);
    driver.record();
    let answered = |answer| Event::StartAnswered {
        worker: first,
        task: start.task,
        run: start.run,
        answer,
    };
    driver.apply(answered(StartAnswer::InDoubt));
    driver.record();
    while driver.starts.is_empty() {
        driver.advance(TICK_MS);
        driver.apply(Event::Ticked);
        driver.schedule();
    }
    assert_eq!(driver.starts.remove(0).run, Run(1), "the order is repeated");
    driver.apply(answered(StartAnswer::Started));
    driver.report_running(first, &[(task(0), Run(1), 10)]);
    driver.apply(Event::WorkerListed(worker(0, 4)));
    let idle = driver.workers[1];
    driver.report_running(idle, &[]);
    driver.apply(Event::Restarted { worker: first });
    driver.record();
    let started = driver.settle();
    assert!(started.is_empty(), "a copy is under way: {started:?}");
}
