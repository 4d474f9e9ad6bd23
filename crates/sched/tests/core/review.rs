//! Tests of workers that accept no orders, and of healthy workers next to them.
//!
//! These guard against the following failures:
//!
//! - A worker is probed with its oldest order in doubt, or by stopping the run whose order failed last if that run is
//!   over. If that run was still running, there was nothing to probe with, and the worker got nothing new.
//! - Retries to such workers used up the retry budget of the cell. A healthy worker that had lost a few stops did not
//!   get them again in time, and its lease was withheld although other tasks ran there.
//! - Pace orders ignored the circuit breaker, the retry budget and the backoff.

use std::collections::BTreeMap;

use syc_sched::Event;
use syc_sched::Options;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepSpec;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::simulation::Simulation;

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

/// The answer to the start of a long run is lost but a report lists the run, and the following starts are never sent,
/// so that no order is in doubt.
#[test]
fn worker_without_in_doubt_orders_is_probed_and_used_again() {
    let mut driver = Driver::new(1, 64);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let long = driver.starts.remove(0);
    driver.advance(50);
    driver.report_running(long.worker, &[(long.task, long.run, 0)]);
    driver.submit(2, policy(0), vec![step(6, 1)]);
    driver.schedule();
    let unsent = std::mem::take(&mut driver.starts);
    assert_eq!(unsent.len(), 6);
    for start in &unsent {
        answer(&mut driver, start, StartAnswer::NotSent);
    }
    driver.advance(200);
    answer(&mut driver, &long, StartAnswer::InDoubt);
    for percent in 1..100 {
        driver.advance(600);
        driver.renew_leases();
        driver.report_running(long.worker, &[(long.task, long.run, percent)]);
        driver.apply(Event::Ticked);
        driver.record();
        driver.schedule();
    }
    assert!(
        !(driver.starts.is_empty() && driver.stops.is_empty()),
        "nothing was sent to a healthy worker for a minute: {:?}",
        driver.status_changes
    );
}

/// Many workers accept no orders, and one only loses the orders of half a second. It must not lose its runs.
#[test]
fn healthy_worker_keeps_its_lease_while_others_use_up_the_retry_budget() {
    let mut without_lease: Vec<usize> = Vec::new();
    for healthy in (0..60).step_by(6) {
        if healthy_worker_loses_lease(60, healthy) {
            without_lease.push(healthy);
        }
    }
    assert!(without_lease.is_empty(), "{without_lease:?}");
}

/// Returns whether the lease of the only healthy worker is withheld. Three of the four tasks on each worker are
/// cancelled.
fn healthy_worker_loses_lease(workers: usize, healthy: usize) -> bool {
    let mut simulation = Simulation::new(workers, 4);
    simulation.work_ms = 60_000;
    let tasks = 4 * u64::try_from(workers).expect("few");
    simulation.submit(1..tasks + 1);
    simulation.run_for(500);
    for index in 0..workers {
        let time_ms = if index == healthy { 500 } else { 1_000_000 };
        simulation.reset_orders(index, time_ms);
    }
    let mut cancelled = BTreeMap::new();
    for sent in simulation.sent.clone() {
        let count = cancelled.entry(sent.worker).or_insert(0);
        if *count < 3 {
            *count += 1;
            simulation.driver.cancel(sent.task.step.job.0);
        }
    }
    simulation.run_for(2 * Options::default().in_doubt_limit_ms);
    simulation
        .beliefs_about(healthy)
        .contains(&"lease_let_lapse")
}

/// An order may be reset within a millisecond, and the worker's next report may follow as quickly if it lists an end.
#[test]
fn failed_pace_order_is_not_resent_immediately() {
    let mut driver = Driver::new(1, 8);
    let latency_bound = StepSpec {
        long_running: true,
        tail_limit_ms: Some(100),
        ..step(1, 3)
    };
    let backfill = StepSpec {
        fills: true,
        ..step(1, 4)
    };
    driver.submit(1, policy(0), vec![latency_bound]);
    driver.submit(2, policy(1), vec![backfill]);
    driver.schedule();
    let starts = driver.confirm_starts();
    driver.advance(500);
    let loads = [(&starts[0], 90), (&starts[1], 4_000)];
    driver.report_loads(starts[0].worker, &loads);
    assert!(driver.answer_paces(false).is_some(), "the first order");
    let mut resent = 0;
    for _ in 0..Options::default().order_retry_ms / 2 {
        driver.report_loads(starts[0].worker, &loads);
        resent += u32::from(driver.answer_paces(false).is_some());
    }
    assert_eq!(resent, 0, "orders sent again within 150 ms");
}

/// A worker resets every order, and runs more tasks of a step than may be unavailable. A task that was to start on it
/// could run elsewhere.
#[test]
fn task_does_not_wait_forever_for_a_worker_at_its_unavailability_limit() {
    let mut driver = Driver::new(2, 4);
    let long_running = StepSpec {
        long_running: true,
        unavailable_limit: Some(1),
        ..step(2, 1)
    };
    driver.submit(1, policy(0), vec![long_running]);
    driver.schedule();
    let running_starts = driver.confirm_starts();
    let resetting = running_starts[0].worker;
    assert!(running_starts.iter().all(|start| start.worker == resetting));
    driver.advance(10);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let unaccepted = driver.starts.remove(0);
    assert_eq!(unaccepted.worker, resetting);
    answer(&mut driver, &unaccepted, StartAnswer::InDoubt);
    let running: Vec<_> = running_starts
        .iter()
        .map(|s| (s.task, s.run, 100))
        .collect();
    for _ in 0..600 {
        driver.advance(100);
        driver.renew_leases();
        let workers = driver.workers.clone();
        driver.report_running(
            workers[0],
            if workers[0] == resetting {
                &running
            } else {
                &[]
            },
        );
        driver.report_running(
            workers[1],
            if workers[1] == resetting {
                &running
            } else {
                &[]
            },
        );
        driver.apply(Event::Ticked);
        driver.record();
        driver.schedule();
        for stop in std::mem::take(&mut driver.stops) {
            driver.apply(Event::StopAnswered {
                worker: stop.worker,
                task: stop.task,
                run: stop.run,
                accepted: false,
            });
        }
        for start in std::mem::take(&mut driver.starts) {
            if start.worker != resetting && start.task == unaccepted.task {
                return;
            }
            answer(&mut driver, &start, StartAnswer::InDoubt);
        }
    }
    panic!("the task waited for a minute: {:?}", driver.status_changes);
}
