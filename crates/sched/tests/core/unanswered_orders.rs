//! Workers that answer renewals but accept no orders: they are used again once they do, and no task waits for them
//! forever.

use syc_sched::Event;
use syc_sched::Options;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StartRefusal;
use syc_sched::StepSpec;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::simulation::SentOrder;
use crate::simulation::Simulation;

const FOREVER_MS: u64 = 1_000_000;

/// Maximum number of unanswered starts per worker.
const STARTS_IN_FLIGHT: usize = 8;

/// Maximum time that a task waits for a worker that accepts no orders, apart from its own run and its next start.
fn max_doubt_ms() -> u64 {
    let options = Options::default();
    options.in_doubt_limit_ms + options.lease_bound_ms
}

/// Returns how long a task may wait before it is started elsewhere: until its leases are over, and until the last copy of
/// its start can't be carried out any more.
fn max_wait_ms() -> u64 {
    let options = Options::default();
    let attempts_ms = u64::from(options.start_attempts_limit) * options.max_retry_delay_ms;
    max_doubt_ms().max(attempts_ms + options.late_call_ms)
}

/// Creates three workers, the first of which resets all orders for `time_ms`, and submits jobs.
fn simulation_with_unresponsive_worker(time_ms: u64) -> Simulation {
    let mut simulation = Simulation::new(3, 4);
    simulation.reset_orders(0, time_ms);
    simulation.submit(1..13);
    simulation
}

/// Returns the shortest time between two orders about the same run.
fn shortest_gap_ms(sent: &[SentOrder]) -> u64 {
    let mut shortest = u64::MAX;
    for (index, later) in sent.iter().enumerate() {
        let same = |earlier: &&SentOrder| earlier.task == later.task && earlier.run == later.run;
        let Some(earlier) = sent[..index].iter().rev().find(same) else {
            continue;
        };
        shortest = shortest.min(later.at.since(earlier.at));
    }
    shortest
}

/// Returns the largest number of orders sent within one second.
fn max_orders_per_second(sent: &[SentOrder]) -> usize {
    let in_second = |from: &SentOrder| {
        let within = |other: &&SentOrder| other.at >= from.at && other.at.since(from.at) < 1_000;
        sent.iter().filter(within).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

#[test_case(2_000; "for two seconds")]
#[test_case(FOREVER_MS; "forever")]
fn every_task_completes_although_a_worker_accepts_no_orders(time_ms: u64) {
    let mut simulation = simulation_with_unresponsive_worker(time_ms);
    let took_ms = simulation.run_until_done(1..13, 60_000);
    assert!(took_ms <= max_wait_ms() + 2_500, "{took_ms}");
    assert_eq!(simulation.ran_concurrently, []);
}

#[test_case(2_000; "for two seconds")]
#[test_case(FOREVER_MS; "forever")]
fn no_order_is_repeated_within_milliseconds(time_ms: u64) {
    let mut simulation = simulation_with_unresponsive_worker(time_ms);
    simulation.run_for(20_000);
    let shortest_ms = shortest_gap_ms(&simulation.sent_to(0));
    let bound_ms = Options::default().order_retry_ms / 2;
    assert!(shortest_ms >= bound_ms, "{shortest_ms}");
}

#[test]
fn orders_to_an_unresponsive_worker_do_not_grow_with_the_number_of_tasks() {
    for tasks in [5, 100] {
        let mut simulation = Simulation::new(3, 100);
        simulation.reset_orders(0, FOREVER_MS);
        simulation.submit(1..tasks + 1);
        simulation.run_for(2_000);
        simulation.submit(200..200 + tasks);
        simulation.run_for(30_000);
        let sent = simulation.sent_to(0);
        let starts = sent.iter().filter(|sent| sent.is_start).count();
        assert!(starts <= 24, "{starts} starts, {tasks} tasks");
        let later: Vec<_> = sent.into_iter().filter(|s| s.at.0 > 3_000).collect();
        assert!(max_orders_per_second(&later) <= 3, "{tasks} tasks");
    }
}

#[test]
fn a_worker_that_accepts_no_orders_gets_no_new_tasks_until_it_accepts_one() {
    let mut simulation = Simulation::new(3, 100);
    simulation.reset_orders(0, FOREVER_MS);
    simulation.submit(1..13);
    simulation.run_for(1_500);
    let before = simulation.sent_to(0);
    simulation.submit(20..40);
    simulation.run_for(1_500);
    let is_new = |sent: &&SentOrder| sent.task.step.job.0 >= 20;
    assert!(!before.is_empty());
    assert_eq!(simulation.sent_to(0).iter().filter(is_new).count(), 0);
    simulation.reset_orders(0, 0);
    simulation.run_for(3_000);
    simulation.submit(40..60);
    simulation.run_for(1_500);
    let is_newer = |sent: &&SentOrder| sent.task.step.job.0 >= 40;
    assert!(simulation.sent_to(0).iter().filter(is_newer).count() > 0);
}

#[test]
fn a_worker_with_a_withheld_lease_is_used_again_once_it_accepts_orders() {
    let mut simulation = simulation_with_unresponsive_worker(30_000);
    simulation.run_for(35_000);
    simulation.submit(20..32);
    simulation.run_for(100);
    let sent = simulation.sent_to(0);
    assert!(sent.iter().any(|sent| sent.task.step.job.0 >= 20));
    simulation.run_until_done(20..32, 10_000);
    assert_eq!(simulation.ran_concurrently, []);
}

#[test]
fn running_tasks_of_a_worker_with_a_withheld_lease_restart_elsewhere_without_overlap() {
    let mut simulation = Simulation::new(3, 4);
    simulation.work_ms = 12_000;
    simulation.submit(1..7);
    simulation.run_for(500);
    simulation.reset_orders(0, FOREVER_MS);
    simulation.submit(7..13);
    let took_ms = simulation.run_until_done(1..13, 90_000);
    assert!(took_ms < max_doubt_ms() + 4 * 12_000, "{took_ms}");
    assert_eq!(simulation.ran_concurrently, []);
}

/// Creates two workers, each with an unanswered start and a serving task of a step with this unavailable limit.
fn workers_with_unanswered_starts(unavailable_limit: u32) -> (Driver, Vec<StartOrder>) {
    let mut driver = Driver::new(2, 4);
    let long_running = StepSpec {
        long_running: true,
        unavailable_limit: Some(unavailable_limit),
        tasks_per_worker: Some(1),
        ..step(2, 2)
    };
    driver.submit(1, policy(0), vec![long_running]);
    let serving = driver.start_all();
    driver.submit(2, policy(0), vec![step(2, 2)]);
    driver.advance(10);
    driver.schedule();
    let unanswered = std::mem::take(&mut driver.starts);
    assert_eq!((serving.len(), unanswered.len()), (2, 2));
    (driver, serving)
}

/// Lets time pass while the workers answer renewals and serve, but accept no orders.
pub fn pass_ignoring_orders(driver: &mut Driver, serving: &[StartOrder], time_ms: u64) {
    for _ in 0..time_ms / 100 {
        driver.advance(100);
        driver.renew_leases();
        for start in serving {
            driver.report_running(start.worker, &[(start.task, start.run, 100)]);
        }
        for start in std::mem::take(&mut driver.starts) {
            answer(driver, &start, StartAnswer::InDoubt);
        }
        for stop in std::mem::take(&mut driver.stops) {
            driver.apply(Event::StopAnswered {
                worker: stop.worker,
                task: stop.task,
                run: stop.run,
                accepted: false,
            });
        }
        driver.apply(Event::Ticked);
    }
}

fn count_lapsing(driver: &Driver) -> usize {
    let may_renew = |key: &&_| !driver.scheduler.may_renew(**key);
    driver.workers.iter().filter(may_renew).count()
}

#[test_case(0, 0; "none may be unavailable")]
#[test_case(1, 1; "one may be unavailable")]
#[test_case(2, 2; "both may be unavailable")]
fn leases_are_withheld_only_within_the_unavailable_limit(limit: u32, expected: usize) {
    let (mut driver, serving) = workers_with_unanswered_starts(limit);
    let limit_ms = Options::default().in_doubt_limit_ms;
    pass_ignoring_orders(&mut driver, &serving, 2 * limit_ms);
    assert_eq!(count_lapsing(&driver), expected);
}

#[test]
fn each_change_of_belief_about_a_worker_is_reported_once() {
    let mut simulation = simulation_with_unresponsive_worker(2_000);
    simulation.run_for(8_000);
    assert_eq!(
        simulation.beliefs_about(0),
        ["takes_no_orders", "takes_orders"]
    );
    assert_eq!(simulation.beliefs_about(1), Vec::<&str>::new());
    let mut simulation = simulation_with_unresponsive_worker(FOREVER_MS);
    simulation.run_for(40_000);
    assert_eq!(
        simulation.beliefs_about(0),
        ["takes_no_orders", "lease_let_lapse", "lease_renewed"]
    );
}

/// After a takeover many steps become ready at once, and the first worker to answer has room for all of them.
#[test]
fn unanswered_starts_per_worker_are_limited() {
    for (mut driver, most) in [
        (Driver::with_untried_workers(3, 100), 2),
        (Driver::new(3, 100), STARTS_IN_FLIGHT),
    ] {
        driver.submit(1, policy(0), vec![step(100, 1)]);
        driver.schedule();
        driver.schedule();
        for worker in driver.workers.clone() {
            let given = driver.starts.iter().filter(|s| s.worker == worker);
            assert_eq!(given.count(), most);
        }
    }
}

#[test]
fn healthy_workers_are_filled_within_a_few_rounds_of_answers() {
    let mut driver = Driver::with_untried_workers(3, 100);
    driver.submit(1, policy(0), vec![step(200, 1)]);
    let mut started = 0;
    let mut answers = 0;
    while started < 200 {
        driver.schedule();
        started += driver.confirm_starts().len();
        answers += 1;
    }
    // Two starts each in the first round, then eight each: 3 * 2 + 9 * 24 is more than 200.
    assert!(answers <= 10, "{answers}");
}

#[test]
fn a_worker_at_its_unanswered_start_limit_causes_no_preemption() {
    let mut driver = Driver::new(1, 40);
    let patient = StepSpec {
        checkpointed: true,
        ..step(10, 1)
    };
    driver.submit(1, policy(2), vec![patient]);
    let mut running = Vec::new();
    for _ in 0..5 {
        driver.schedule();
        for start in driver.confirm_starts() {
            running.push((start.task, start.run, 50));
        }
    }
    assert_eq!(running.len(), 10);
    driver.report_running(driver.workers[0], &running);
    driver.submit(2, policy(0), vec![step(20, 1)]);
    for _ in 0..3 {
        driver.schedule();
    }
    assert_eq!(driver.stops, []);
    assert!(driver.starts.len() <= STARTS_IN_FLIGHT);
}

#[test]
fn an_urgent_task_does_not_wait_for_an_unresponsive_worker() {
    let mut driver = Driver::new(2, 4);
    driver.advance(10);
    driver.submit(1, policy(0), vec![step(3, 1)]);
    driver.schedule();
    let unanswered = std::mem::take(&mut driver.starts);
    for start in &unanswered {
        answer(&mut driver, start, StartAnswer::InDoubt);
    }
    let patient = StepSpec {
        checkpointed: true,
        ..step(4, 1)
    };
    driver.submit(2, policy(2), vec![patient]);
    let running = driver.start_all();
    let held: Vec<_> = running.iter().map(|s| (s.task, s.run, 50)).collect();
    driver.report_running(running[0].worker, &held);
    assert_eq!(held.len(), 4);
    driver.submit(3, policy(0), vec![step(1, 1)]);
    driver.schedule();
    let stopped: Vec<_> = driver.stops.iter().map(|stop| stop.worker).collect();
    assert_eq!(stopped, [running[0].worker]);
}

/// A worker stays in use while two of five orders are unanswered.
#[test]
fn a_worker_that_loses_some_orders_still_gets_tasks() {
    let mut driver = Driver::new(1, 64);
    driver.submit(1, policy(0), vec![step(40, 1)]);
    for _ in 0..20 {
        driver.schedule();
        let starts = std::mem::take(&mut driver.starts);
        driver.advance(1);
        for (index, start) in starts.iter().enumerate() {
            if index % 5 < 3 {
                answer(&mut driver, start, StartAnswer::Started);
            }
        }
        driver.advance(300);
        for (index, start) in starts.iter().enumerate() {
            if index % 5 >= 3 {
                answer(&mut driver, start, StartAnswer::InDoubt);
            }
        }
        driver.apply(Event::Ticked);
    }
    assert_eq!(driver.status_changes, []);
    assert_eq!(driver.scheduler.counts(driver.now).waiting_tasks, 0);
}

fn answer(driver: &mut Driver, start: &StartOrder, answer: StartAnswer) {
    driver.apply(Event::StartAnswered {
        worker: start.worker,
        task: start.task,
        run: start.run,
        answer,
    });
}

#[test]
fn an_unsent_start_goes_elsewhere_at_once() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    answer(&mut driver, &first, StartAnswer::NotSent);
    driver.record();
    driver.schedule();
    assert_eq!(driver.stops, []);
    assert_eq!(driver.starts.len(), 1);
    assert_ne!(driver.starts[0].worker, first.worker);
}

/// Orders held back by the node, because earlier ones took too long, are not evidence against the worker.
#[test]
fn unsent_starts_do_not_count_against_their_worker() {
    let mut driver = Driver::new(1, 8);
    driver.advance(10);
    driver.submit(1, policy(0), vec![step(8, 1)]);
    driver.schedule();
    let starts = std::mem::take(&mut driver.starts);
    assert_eq!(starts.len(), 8);
    for start in &starts {
        answer(&mut driver, start, StartAnswer::NotSent);
    }
    assert_eq!(driver.status_changes, []);
    driver.advance(Options::default().order_retry_ms);
    driver.record();
    assert_eq!(driver.start_all().len(), 8);
}

#[test]
fn an_unsent_retry_leaves_the_start_in_doubt() {
    let mut driver = Driver::new(2, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.advance(Options::default().order_retry_ms);
    answer(&mut driver, &first, StartAnswer::InDoubt);
    driver.record();
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    assert_eq!(driver.starts.len(), 1);
    answer(&mut driver, &first, StartAnswer::NotSent);
    driver.starts.clear();
    driver.record();
    driver.schedule();
    assert_eq!(driver.starts, [], "the first start order may still arrive");
}

#[test]
fn an_unsent_start_that_is_being_stopped_has_ended() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.cancel(1);
    answer(&mut driver, &first, StartAnswer::NotSent);
    assert_eq!(driver.scheduler.counts(driver.now).runs, 0);
}

/// The first start order may still be carried out after a retry was refused, even if a stop was sent in between.
#[test]
fn a_refused_retry_does_not_end_a_stopping_run_whose_first_start_may_arrive() {
    let mut driver = Driver::new(1, 2);
    driver.submit(1, policy(0), vec![step(1, 2)]);
    driver.schedule();
    let first = driver.starts.remove(0);
    driver.advance(Options::default().order_retry_ms);
    answer(&mut driver, &first, StartAnswer::InDoubt);
    driver.record();
    driver.advance(Options::default().order_retry_ms);
    driver.apply(Event::Ticked);
    driver.cancel(1);
    answer(
        &mut driver,
        &first,
        StartAnswer::Refused(StartRefusal::NoRoom),
    );
    assert_eq!(driver.scheduler.counts(driver.now).runs, 1);
}
