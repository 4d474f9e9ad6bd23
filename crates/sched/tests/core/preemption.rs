//! Preemption of less urgent work.

use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::StepSpec;
use syc_sched::StopReason;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

fn fill_workers(driver: &mut Driver, steps: Vec<StepSpec>) -> usize {
    driver.submit(1, policy(2), steps);
    driver.schedule();
    let started = driver.confirm_starts();
    for worker in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == worker);
        let running: Vec<_> = here.map(|s| (s.task, s.run, 10)).collect();
        driver.report_running(worker, &running);
    }
    started.len()
}

#[test]
fn checkpointed_work_is_preempted() {
    let mut driver = Driver::new(1, 4);
    let saved = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    assert_eq!(fill_workers(&mut driver, vec![saved]), 4);
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
fn gang_members_are_not_preempted() {
    let mut driver = Driver::new(2, 4);
    let gang = StepSpec {
        checkpointed: true,
        gang: true,
        ..step(8, 1)
    };
    assert_eq!(fill_workers(&mut driver, vec![gang]), 8);
    driver.submit(2, policy(0), vec![step(1, 2)]);
    driver.schedule();
    assert_eq!(driver.stops, []);
}

#[test]
fn work_without_checkpoints_is_not_preempted() {
    let mut driver = Driver::new(1, 4);
    assert_eq!(fill_workers(&mut driver, vec![step(4, 1)]), 4);
    driver.submit(2, policy(0), vec![step(1, 2)]);
    driver.schedule();
    assert_eq!(driver.stops, []);
}

#[test]
fn patient_tasks_leave_headroom_for_recent_urgent_load() {
    let mut driver = Driver::new(4, 10);
    let urgent = |id: u64, driver: &mut Driver| {
        driver.submit(id, policy(0), vec![step(10, 1)]);
        driver.schedule();
        let started = driver.confirm_starts();
        assert_eq!(started.len(), 10);
        for worker in driver.workers.clone() {
            let here = started.iter().filter(|start| start.worker == worker);
            let running: Vec<_> = here.map(|s| (s.task, s.run, 10)).collect();
            driver.report_running(worker, &running);
        }
        started
    };
    // Urgent work uses ten of the forty cores for a while.
    let started = urgent(1, &mut driver);
    for _ in 0..200 {
        driver.advance(100);
        driver.apply(Event::Ticked);
    }
    for worker in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == worker);
        let ended: Vec<_> = here.map(|s| (s.task, s.run, RunEnd::Done)).collect();
        driver.report(worker, &[], &ended);
    }
    driver.record();
    driver.submit(2, policy(2), vec![step(40, 1)]);
    let patient = driver.start_all().len();
    assert!((30..40).contains(&patient), "{patient}");
    driver.submit(3, policy(0), vec![step(2, 1)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 2, "without stopping anything");
    assert_eq!(driver.stops, []);
}

#[test]
fn patient_tasks_use_all_capacity_without_urgent_load() {
    let mut driver = Driver::new(4, 10);
    driver.submit(2, policy(2), vec![step(40, 1)]);
    assert_eq!(driver.start_all().len(), 40);
}
