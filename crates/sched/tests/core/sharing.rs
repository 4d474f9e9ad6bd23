//! Tests of backfill tasks that share workers with latency-bound tasks.

use smol_str::SmolStr;
use syc_sched::Event;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::StepSpec;
use syc_types::Resources;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::cpu;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

const LIMIT_MS: u64 = 100;

fn latency_bound_step(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        image: SmolStr::new_static("shop"),
        tail_limit_ms: Some(LIMIT_MS),
        ..step(tasks, cores)
    }
}

fn backfill_step(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        image: SmolStr::new_static("crunch"),
        fills: true,
        ..step(tasks, cores)
    }
}

/// Returns a driver with one 8-core worker that runs a latency-bound and a backfill task.
fn shared_worker() -> (Driver, StartOrder, StartOrder) {
    let mut driver = Driver::new(1, 8);
    driver.submit(1, policy(0), vec![latency_bound_step(1, 3)]);
    driver.submit(2, policy(1), vec![backfill_step(1, 4)]);
    driver.schedule();
    let starts = driver.confirm_starts();
    assert_eq!(starts.len(), 2);
    (driver, starts[0].clone(), starts[1].clone())
}

/// Has the worker report the tail latency every half second and accept pace orders. Returns the last ordered pace.
fn report(
    driver: &mut Driver,
    runs: (&StartOrder, &StartOrder),
    tail_ms: u64,
    times: u32,
) -> Option<u8> {
    let mut last = None;
    for _ in 0..times {
        driver.advance(500);
        driver.report_loads(runs.0.worker, &[(runs.0, tail_ms), (runs.1, 4_000)]);
        last = driver.answer_paces(true).or(last);
    }
    last
}

#[test]
fn backfill_reserves_no_cpu() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 4)]);
    driver.submit(2, policy(1), vec![backfill_step(1, 0)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 2);
}

#[test]
fn backfill_waits_for_unused_cpu_and_then_takes_any_worker() {
    let mut driver = Driver::new(2, 4);
    let resources = Resources {
        memory_bytes: 1,
        ..cpu(4)
    };
    let reserved = StepSpec {
        resources,
        ..step(2, 4)
    };
    let backfill = StepSpec {
        resources,
        ..backfill_step(1, 4)
    };
    driver.submit(1, policy(0), vec![reserved]);
    driver.schedule();
    driver.confirm_starts();
    driver.submit(2, policy(1), vec![backfill]);
    driver.schedule();
    assert!(driver.starts.is_empty(), "no CPU is unused");
    driver.advance(3_500);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
}

#[test]
fn tail_latency_over_the_limit_pauses_backfill_within_two_seconds() {
    let (mut driver, shop, crunch) = shared_worker();
    let pace = report(&mut driver, (&shop, &crunch), 150, 4);
    assert_eq!(pace, Some(0));
}

#[test]
fn pace_halves_near_the_tail_limit_and_recovers_with_slack() {
    let (mut driver, shop, crunch) = shared_worker();
    let lowered = report(&mut driver, (&shop, &crunch), 90, 1);
    assert_eq!(lowered, Some(50));
    let kept = report(&mut driver, (&shop, &crunch), 75, 4);
    assert_eq!(kept, None, "neither near the limit nor far below it");
    let risen = report(&mut driver, (&shop, &crunch), 20, 10);
    assert_eq!(risen, Some(100));
}

#[test]
fn backfill_alone_runs_at_full_speed() {
    let (mut driver, shop, crunch) = shared_worker();
    assert_eq!(report(&mut driver, (&shop, &crunch), 150, 4), Some(0));
    driver.cancel(1);
    driver.accept_stop(&shop);
    driver.advance(1_000);
    driver.report_loads(shop.worker, &[(&crunch, 0)]);
    assert_eq!(driver.answer_paces(true), Some(100));
}

/// An unanswered order may be carried out after the next one.
#[test]
fn in_doubt_pace_is_resent_until_no_late_order_can_arrive() {
    let (mut driver, shop, crunch) = shared_worker();
    driver.advance(500);
    driver.report_loads(shop.worker, &[(&shop, 90), (&crunch, 4_000)]);
    assert_eq!(driver.answer_paces(false), Some(50));
    let mut orders = 0;
    for _ in 0..40 {
        driver.advance(500);
        driver.report_loads(shop.worker, &[(&shop, 75), (&crunch, 4_000)]);
        orders += u32::from(driver.answer_paces(true).is_some());
    }
    assert!((24..=28).contains(&orders), "{orders} orders in 13 s");
}

#[test_case(90, Some(50); "near the limit")]
#[test_case(20, Some(100); "far below the limit")]
fn successor_sets_the_pace_of_inherited_runs(tail_ms: u64, pace: Option<u8>) {
    let (before, shop, crunch) = shared_worker();
    let mut driver = Driver::new(0, 0);
    driver.now = before.now;
    for (id, steps) in [
        (1, vec![latency_bound_step(1, 3)]),
        (2, vec![backfill_step(1, 4)]),
    ] {
        driver.restore(id, policy(0), steps, None);
    }
    driver.apply(Event::WorkerListed(worker(0, 8)));
    driver.scheduler.begin_recovery(driver.now);
    driver.report_loads(driver.workers[0], &[(&shop, tail_ms), (&crunch, 4_000)]);
    assert_eq!(driver.answer_paces(true), pace);
}

#[test]
fn backfill_prefers_the_worker_with_least_interference() {
    let mut driver = Driver::new(2, 8);
    let quiet = StepSpec {
        image: SmolStr::new_static("files"),
        ..latency_bound_step(1, 3)
    };
    driver.submit(1, policy(0), vec![latency_bound_step(1, 3)]);
    driver.submit(2, policy(0), vec![quiet]);
    driver.submit(3, policy(1), vec![backfill_step(2, 4)]);
    driver.schedule();
    let starts = driver.confirm_starts();
    assert_eq!(starts.len(), 4);
    let on = |job: u64, worker| {
        let found = starts
            .iter()
            .find(|start| start.task.step.job.0 == job && start.worker == worker);
        found.cloned()
    };
    let (shop, files) = (starts[0].clone(), starts[1].clone());
    let beside_shop = on(3, shop.worker).expect("one beside each");
    let beside_files = on(3, files.worker).expect("one beside each");
    report(&mut driver, (&shop, &beside_shop), 90, 8);
    report(&mut driver, (&files, &beside_files), 20, 8);
    for (done, beside) in [(&beside_shop, &shop), (&beside_files, &files)] {
        driver.report_end(done, RunEnd::Done, &[(beside.task, beside.run, 100)]);
    }
    driver.record();
    driver.submit(4, policy(1), vec![backfill_step(1, 4)]);
    driver.schedule();
    assert_eq!(driver.starts.len(), 1);
    assert_eq!(driver.starts[0].worker, files.worker);
}

#[test]
fn paused_backfill_is_not_stalled() {
    let (mut driver, shop, crunch) = shared_worker();
    for _ in 0..40 {
        report(&mut driver, (&shop, &crunch), 150, 1);
        driver.apply(Event::Ticked);
    }
    assert_eq!(driver.stops, []);
}
