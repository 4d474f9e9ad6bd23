//! The limit on tasks of a step per worker.

use syc_sched::StepSpec;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

fn one_per_worker(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        tasks_per_worker: Some(1),
        ..step(tasks, cores)
    }
}

#[test]
fn preemption_for_two_tasks_of_a_step_respects_tasks_per_worker() {
    let mut driver = Driver::new(1, 8);
    let patient = StepSpec {
        checkpointed: true,
        ..step(8, 1)
    };
    driver.submit(1, policy(2), vec![patient]);
    driver.schedule();
    let running = driver.confirm_starts();
    assert_eq!(running.len(), 8);
    let listed: Vec<_> = running.iter().map(|s| (s.task, s.run, 10)).collect();
    driver.report_running(driver.workers[0], &listed);

    driver.submit(2, policy(0), vec![one_per_worker(2, 2)]);
    driver.schedule();
    driver.advance(100);
    driver.report_running(driver.workers[0], &[]);
    for _ in 0..3 {
        driver.schedule();
        driver.advance(5);
    }

    let urgent = driver.starts.iter().filter(|s| s.task.step.job.0 == 2);
    assert_eq!(urgent.count(), 1, "{:?}", driver.starts);
}
