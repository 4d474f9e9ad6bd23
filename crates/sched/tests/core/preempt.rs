//! Stopping less urgent work to make room.

use syc_sched::StepSpec;
use syc_sched::StopReason;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

fn fill_with(driver: &mut Driver, steps: Vec<StepSpec>) -> usize {
    driver.submit(1, policy(2), steps);
    driver.schedule();
    let started = driver.confirm_starts();
    for worker in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == worker);
        let running: Vec<_> = here.map(|s| (s.task, s.run, 10)).collect();
        driver.hold(worker, &running);
    }
    started.len()
}

#[test]
fn saved_work_is_stopped_for_an_urgent_task() {
    let mut driver = Driver::new(1, 4);
    let saved = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    assert_eq!(fill_with(&mut driver, vec![saved]), 4);
    driver.submit(2, policy(0), vec![step(1, 2)]);
    driver.schedule();
    assert_eq!(driver.stops.len(), 2);
    assert!(
        driver
            .stops
            .iter()
            .all(|stop| stop.reason == StopReason::Preempted)
    );
}

#[test]
fn no_member_of_a_gang_is_stopped_for_an_urgent_task() {
    let mut driver = Driver::new(2, 4);
    let gang = StepSpec {
        checkpointed: true,
        gang: true,
        ..step(8, 1)
    };
    assert_eq!(fill_with(&mut driver, vec![gang]), 8);
    driver.submit(2, policy(0), vec![step(1, 2)]);
    driver.schedule();
    assert_eq!(driver.stops, []);
}

#[test]
fn work_that_saves_nothing_is_not_stopped() {
    let mut driver = Driver::new(1, 4);
    assert_eq!(fill_with(&mut driver, vec![step(4, 1)]), 4);
    driver.submit(2, policy(0), vec![step(1, 2)]);
    driver.schedule();
    assert_eq!(driver.stops, []);
}
