//! Workers that run slowly although they appear healthy.

use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::StartOrder;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::WorkerKey;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

/// Returns the progress of the runs on a worker if each takes `whole_ms`.
fn progress_on(started: &[StartOrder], worker: WorkerKey, after_ms: u64, whole_ms: u64) -> Running {
    let percent = u8::try_from((after_ms * 100 / whole_ms).min(99)).expect("below 100");
    let here = started.iter().filter(|start| start.worker == worker);
    here.map(|start| (start.task, start.run, percent)).collect()
}

type Running = Vec<(TaskId, Run, u8)>;

/// Starts the tasks of two jobs, four on each worker. Tasks take 4 s, and `slow` times as long on the first worker.
/// Returns the starts after a second of reports.
fn run_for_a_second(driver: &mut Driver, step: &StepSpec, slow: u64) -> Vec<StartOrder> {
    for id in [1, 2] {
        driver.submit(id, policy(0), vec![step.clone()]);
    }
    driver.schedule();
    let started = driver.confirm_starts();
    let first = driver.workers[0];
    for after_ms in (0..=1_000).step_by(100) {
        for worker in driver.workers.clone() {
            let whole_ms = if worker == first { 4_000 * slow } else { 4_000 };
            let listed = progress_on(&started, worker, after_ms, whole_ms);
            driver.report_running(worker, &listed);
        }
        driver.apply(Event::Ticked);
        driver.advance(100);
    }
    started
}

fn tasks_of_four_seconds() -> StepSpec {
    StepSpec {
        estimate_ms: 4_000,
        tasks_per_worker: Some(2),
        ..step(8, 1)
    }
}

/// Submits eight more jobs of one task each, and returns the workers on which they start.
fn workers_of_new_tasks(driver: &mut Driver) -> Vec<WorkerKey> {
    for id in 10..18 {
        driver.submit(id, policy(0), vec![step(1, 1)]);
    }
    driver.schedule();
    driver.starts.iter().map(|start| start.worker).collect()
}

#[test_case(1, true; "as fast as the others")]
#[test_case(2, true; "within the tolerance")]
#[test_case(6, false; "six times slower")]
fn a_worker_whose_runs_are_all_slow_gets_no_new_tasks(slow: u64, used: bool) {
    let mut driver = Driver::new(4, 8);
    run_for_a_second(&mut driver, &tasks_of_four_seconds(), slow);
    let first = driver.workers[0];
    assert_eq!(workers_of_new_tasks(&mut driver).contains(&first), used);
}

#[test]
fn a_slow_worker_is_used_again_after_its_quarantine() {
    let mut driver = Driver::new(4, 8);
    let started = run_for_a_second(&mut driver, &tasks_of_four_seconds(), 6);
    let first = driver.workers[0];
    for worker in driver.workers.clone() {
        let here = started.iter().filter(|start| start.worker == worker);
        let ended: Vec<_> = here.map(|s| (s.task, s.run, RunEnd::Done)).collect();
        driver.report(worker, &[], &ended);
    }
    driver.advance(4_500);
    for worker in driver.workers.clone() {
        driver.report_running(worker, &[]);
    }
    assert!(workers_of_new_tasks(&mut driver).contains(&first));
}

#[test_case(true; "checkpointed")]
#[test_case(false; "not checkpointed")]
fn runs_that_would_end_sooner_elsewhere_move_off_a_slow_worker(checkpointed: bool) {
    let mut driver = Driver::new(4, 8);
    let step = StepSpec {
        checkpointed,
        ..tasks_of_four_seconds()
    };
    run_for_a_second(&mut driver, &step, 6);
    let first = driver.workers[0];
    let moved: Vec<_> = driver
        .stops
        .iter()
        .filter(|stop| stop.reason == StopReason::Slow)
        .collect();
    assert_eq!(moved.len(), 4);
    assert!(moved.iter().all(|stop| stop.worker == first));
}

#[test]
fn no_run_moves_if_no_other_worker_has_room() {
    let mut driver = Driver::new(4, 4);
    run_for_a_second(&mut driver, &tasks_of_four_seconds(), 6);
    assert_eq!(driver.stops, []);
}

#[test]
fn gang_members_do_not_count_towards_slowness() {
    let mut driver = Driver::new(4, 8);
    let gang = StepSpec {
        gang: true,
        ..tasks_of_four_seconds()
    };
    run_for_a_second(&mut driver, &gang, 6);
    assert_eq!(driver.stops, []);
}

/// The run time of such a task depends on the rack that it runs in.
#[test]
fn tasks_with_a_data_rack_do_not_count_towards_slowness() {
    let mut driver = Driver::new(4, 8);
    let with_data_rack = StepSpec {
        data_rack: Some("r-9".into()),
        ..tasks_of_four_seconds()
    };
    run_for_a_second(&mut driver, &with_data_rack, 6);
    assert_eq!(driver.stops, []);
}

/// An adopted run may just have been resumed, and a resumed run restores its checkpoint first.
#[test]
fn an_adopted_run_is_measured_from_its_first_progress() {
    let mut driver = Driver::new(0, 0);
    driver.restore(1, policy(0), vec![step(8, 1)], None);
    for index in 0..4 {
        driver.apply(Event::WorkerListed(worker(index, 8)));
    }
    driver.scheduler.begin_recovery(driver.now);
    let step_id = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    for after_ms in (0..=1_000).step_by(100) {
        for (number, key) in (0..).zip(driver.workers.clone()) {
            // The first worker makes no progress for a second, as if it were restoring checkpoints.
            let percent = if number == 0 { 30 } else { 30 + after_ms / 40 };
            let percent = u8::try_from(percent).expect("below 100");
            let tasks = [2 * number, 2 * number + 1];
            let running = tasks.map(|index| {
                let task = TaskId {
                    step: step_id,
                    index,
                };
                (task, Run(1), percent)
            });
            driver.report_running(key, &running);
        }
        driver.advance(100);
    }
    assert_eq!(driver.stops, []);
    let first = driver.workers[0];
    assert!(workers_of_new_tasks(&mut driver).contains(&first));
}
