//! Learned speeds of workers.

use syc_sched::Event;
use syc_sched::Options;
use syc_sched::RunEnd;
use syc_sched::Scheduler;
use syc_sched::StepSpec;
use syc_sched::WorkerKey;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

const WORKERS: usize = 12;

/// Runs rounds of jobs whose tasks take `run_ms` of their worker, with tasks on every worker.
fn run_rounds<F>(driver: &mut Driver, ids: std::ops::Range<u64>, spec: &StepSpec, run_ms: F)
where
    F: Fn(WorkerKey) -> u64,
{
    for id in ids {
        driver.submit(id, policy(0), vec![spec.clone()]);
        let started = driver.start_all();
        let begun_at = driver.now;
        let mut ends: Vec<_> = started.iter().collect();
        ends.sort_by_key(|start| run_ms(start.worker));
        for start in ends {
            let until = begun_at.plus(run_ms(start.worker));
            driver.advance(until.since(driver.now));
            driver.report(start.worker, &[], &[(start.task, start.run, RunEnd::Done)]);
        }
        driver.apply(Event::Ticked);
        driver.record();
    }
    driver.advance(1_000);
    driver.apply(Event::Ticked);
}

fn one_task_on_each() -> StepSpec {
    StepSpec {
        estimate_ms: 1_000,
        tasks_per_worker: Some(1),
        ..step(u32::try_from(WORKERS).expect("few"), 1)
    }
}

/// Returns a driver that has learned that the first four workers take twice as long.
fn with_slow_workers() -> Driver {
    let mut driver = Driver::new(WORKERS, 8);
    let slow = driver.workers[..4].to_vec();
    run_rounds(&mut driver, 1..13, &one_task_on_each(), |key| {
        if slow.contains(&key) { 2_000 } else { 1_000 }
    });
    driver
}

fn percent(driver: &Driver, key: WorkerKey) -> Option<i64> {
    let speed = driver.scheduler.learned_speed(key)?;
    Some(i64::from(
        (0..1_000).find(|percent| f64::from(*percent) >= speed * 100.0)?,
    ))
}

fn is_slow(driver: &Driver, key: WorkerKey) -> bool {
    percent(driver, key).is_some_and(|percent| percent < 75)
}

/// Guards against slow workers that are not recognized although other workers run the same step.
#[test]
fn speeds_are_learned_from_tasks_of_one_step() {
    let driver = with_slow_workers();
    for (index, key) in driver.workers.iter().enumerate() {
        let actual = if index < 4 { 50 } else { 100 };
        let learned = percent(&driver, *key).expect("known");
        assert!((learned - actual).abs() <= 5, "worker {index}: {learned}%");
    }
    assert_eq!(driver.scheduler.speed_counts(driver.now).slow, 4);
}

/// All members of a gang end with the slowest one, so their run times would count against workers that are not slow.
#[test]
fn gangs_say_nothing_about_their_members() {
    let mut driver = Driver::new(WORKERS, 8);
    let gang = StepSpec {
        gang: true,
        ..one_task_on_each()
    };
    run_rounds(&mut driver, 1..13, &gang, |_| 1_000);
    assert_eq!(driver.scheduler.speed_counts(driver.now).unknown, WORKERS);
}

/// Guards against a slowdown of all workers that makes every worker count as slow.
#[test]
fn if_all_workers_become_slower_none_is_slow() {
    let mut driver = Driver::new(WORKERS, 8);
    run_rounds(&mut driver, 1..10, &one_task_on_each(), |_| 1_000);
    run_rounds(&mut driver, 10..20, &one_task_on_each(), |_| 3_000);
    let counts = driver.scheduler.speed_counts(driver.now);
    assert_eq!((counts.normal, counts.slow), (WORKERS, 0));
}

/// A worker must not keep the speed of an earlier incarnation under its name, nor a wrong one for good.
#[test_case(true; "reborn")]
#[test_case(false; "the same incarnation")]
fn a_worker_that_became_fast_is_not_slow_for_good(reborn: bool) {
    let mut driver = with_slow_workers();
    let first = driver.workers[0];
    assert!(is_slow(&driver, first));
    if reborn {
        driver.crash(first);
        let back = driver.workers[driver.workers.len() - 1];
        assert!(
            !is_slow(&driver, back),
            "evidence of the earlier incarnation"
        );
    }
    let slow = driver.workers[1..3].to_vec();
    run_rounds(&mut driver, 100..140, &one_task_on_each(), |key| {
        if slow.contains(&key) { 2_000 } else { 1_000 }
    });
    let first = *if reborn {
        driver.workers.last()
    } else {
        driver.workers.first()
    }
    .expect("some");
    assert!(!is_slow(&driver, first));
}

/// After a takeover nothing is known, and tasks go where they fit best.
#[test]
fn a_new_scheduler_has_learned_nothing() {
    let mut driver = with_slow_workers();
    driver.scheduler = Scheduler::new(Options::default());
    driver.workers.clear();
    for index in 0..WORKERS {
        driver.apply(Event::WorkerListed(worker(index, 8)));
    }
    driver.scheduler.begin_recovery(driver.now);
    for key in driver.workers.clone() {
        driver.report_running(key, &[]);
    }
    driver.apply(Event::Ticked);
    assert_eq!(driver.scheduler.speed_counts(driver.now).unknown, WORKERS);
}

/// A task with no time for a slow worker goes to a fast one; a patient one leaves the fast ones to others.
#[test_case(0, 1_500, false; "urgent, in time on fast workers only")]
#[test_case(2, 60_000, true; "patient")]
fn slack_decides_between_slow_and_fast_workers(priority: u32, objective_ms: u64, slow: bool) {
    let mut driver = with_slow_workers();
    let tasks = StepSpec {
        tasks: 4,
        ..one_task_on_each()
    };
    let policy = syc_sched::QueuePolicy {
        objective_ms,
        stretch: 0.0,
        ..policy(priority)
    };
    driver.submit(200, policy, vec![tasks]);
    for start in driver.start_all() {
        assert_eq!(is_slow(&driver, start.worker), slow);
    }
}

/// Work that only slow workers may run starts there even if it will be late.
#[test]
fn a_task_starts_on_slow_workers_if_there_are_no_others() {
    let mut driver = with_slow_workers();
    for key in driver.workers.split_off(4) {
        driver.apply(Event::RenewalFailed { worker: key });
    }
    let gang = StepSpec {
        gang: true,
        ..step(8, 2)
    };
    for (id, spec) in [(200, step(8, 1)), (201, gang)] {
        let late = syc_sched::QueuePolicy {
            objective_ms: 10,
            ..policy(0)
        };
        driver.submit(id, late, vec![spec]);
        assert_eq!(driver.start_all().len(), 8);
    }
}

/// A permanently slow worker must not be quarantined again and again, but it is if it becomes slower still.
#[test_case(8_000, WORKERS; "as slow as ever")]
#[test_case(32_000, WORKERS - 4; "far slower than usual")]
fn a_slow_worker_is_compared_with_its_own_speed(slow_ms: u64, used: usize) {
    let mut driver = with_slow_workers();
    for id in 200..206 {
        driver.submit(id, policy(0), vec![one_task_on_each()]);
    }
    let started = driver.start_all();
    for after_ms in (0..=1_000).step_by(100) {
        for (index, key) in driver.workers.clone().into_iter().enumerate() {
            let whole_ms = if index < 4 { slow_ms } else { 4_000 };
            let percent = u8::try_from(after_ms * 100 / whole_ms).expect("below 100");
            let here = started.iter().filter(|start| start.worker == key);
            let running: Vec<_> = here.map(|start| (start.task, start.run, percent)).collect();
            driver.report_running(key, &running);
        }
        driver.advance(100);
    }
    driver.submit(300, policy(0), vec![one_task_on_each()]);
    assert_eq!(driver.start_all().len(), used);
}
