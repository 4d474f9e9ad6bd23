//! Shares of workspaces: whose work goes first when the workers are full.

use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_types::Resources;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

/// Ends the first run as done, and returns the starts that follow.
fn finish_first(driver: &mut Driver, running: &mut Vec<StartOrder>) -> Vec<u64> {
    let ended = running.remove(0);
    let here = running.iter().filter(|start| start.worker == ended.worker);
    let here: Vec<_> = here.map(|run| (run.task, run.run, 50)).collect();
    driver.report_end(&ended, RunEnd::Done, &here);
    driver.record();
    let started = driver.start_all();
    let jobs = started.iter().map(|start| start.task.step.job.0).collect();
    running.extend(started);
    jobs
}

/// Creates a scheduler whose workers are filled by workspace `a`, which waits for as much again.
fn flooded() -> (Driver, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 100), ("b", 100)]);
    for id in 1..=8 {
        driver.submit_for("a", id, policy(1), vec![step(4, 1)]);
    }
    let running = driver.start_all();
    assert_eq!(running.len(), 16);
    (driver, running)
}

/// In order of urgency, the older jobs of the workspace that floods would all go first.
#[test]
fn a_flood_of_one_workspace_does_not_hold_up_the_others() {
    let (mut driver, mut running) = flooded();
    driver.submit_for("b", 100, policy(1), vec![step(3, 1)]);
    for _ in 0..3 {
        assert_eq!(finish_first(&mut driver, &mut running), [100]);
    }
    let next = finish_first(&mut driver, &mut running);
    assert!(next[0] <= 8, "then the flood goes on: {next:?}");
}

#[test]
fn more_urgent_work_goes_first_whoever_submitted_it() {
    let (mut driver, mut running) = flooded();
    driver.submit_for("b", 100, policy(1), vec![step(1, 1)]);
    driver.submit_for("a", 101, policy(0), vec![step(1, 1)]);
    assert_eq!(finish_first(&mut driver, &mut running), [101]);
    assert_eq!(finish_first(&mut driver, &mut running), [100]);
}

/// A large job takes a small workspace a little beyond its share. Its other work is not set back for that.
#[test]
fn a_workspace_a_little_over_its_share_is_not_set_back() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 16), ("b", 16)]);
    driver.submit_for("a", 1, policy(1), vec![step(10, 1)]);
    driver.submit_for("b", 2, policy(1), vec![step(6, 1)]);
    let mut running = driver.start_all();
    assert_eq!(running.len(), 16);
    driver.submit_for("a", 3, policy(1), vec![step(1, 1)]);
    driver.submit_for("b", 4, policy(1), vec![step(1, 1)]);
    assert_eq!(finish_first(&mut driver, &mut running), [3]);
}

#[test]
fn shares_cost_nothing_while_there_is_room() {
    let mut driver = Driver::new(2, 8);
    driver.set_caps(&[("a", 16), ("b", 16)]);
    driver.submit_for("a", 1, policy(1), vec![step(10, 1)]);
    let mut running = driver.start_all();
    assert_eq!(running.len(), 10, "more than its share");
    driver.submit_for("a", 2, policy(1), vec![step(3, 1)]);
    driver.submit_for("b", 3, policy(1), vec![step(3, 1)]);
    running.extend(driver.start_all());
    assert_eq!(running.len(), 16);
}

/// Weights say whose share is larger.
#[test]
fn a_workspace_of_greater_weight_may_occupy_more() {
    let mut driver = Driver::new(2, 8);
    let policies = [("a", 3.0), ("b", 1.0)].map(|(name, weight)| {
        syc_workspace::WorkspacePolicy::unlimited(name.into()).with_weight(weight)
    });
    driver.apply(Event::WorkspacesSet(policies.to_vec()));
    driver.submit_for("a", 1, policy(1), vec![step(9, 1)]);
    driver.submit_for("b", 2, policy(1), vec![step(7, 1)]);
    let mut running = driver.start_all();
    assert_eq!(running.len(), 16);
    driver.submit_for("b", 3, policy(1), vec![step(1, 1)]);
    driver.submit_for("a", 4, policy(1), vec![step(1, 1)]);
    assert_eq!(
        finish_first(&mut driver, &mut running),
        [4],
        "b is over its quarter"
    );
}

#[test]
fn parts_are_those_of_the_scarcest_resource() {
    let pool = Resources {
        cpu_millis: 100,
        memory_bytes: 1_000,
        accelerators: 0,
    };
    let used = Resources {
        cpu_millis: 10,
        memory_bytes: 500,
        accelerators: 0,
    };
    assert!((used.dominant_part(&pool) - 0.5).abs() < 1e-9);
}
