//! The order in which waiting steps are served.

use syc_sched::RunEnd;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

/// The objective is three seconds here, and a job expires after three times that. If late jobs were served after
/// all others, they would expire while waiting.
#[test_case(2_000, 1; "in time")]
#[test_case(7_000, 1; "late but not expired")]
#[test_case(10_000, 2; "expired")]
fn older_job_goes_first_until_it_expires(waited_ms: u64, first: u64) {
    let mut driver = Driver::new(1, 1);
    driver.submit(9, policy(1), vec![step(1, 1)]);
    driver.schedule();
    let running = driver.confirm_starts().remove(0);
    driver.submit(1, policy(1), vec![step(1, 1)]);
    driver.advance(waited_ms);
    driver.submit(2, policy(1), vec![step(1, 1)]);
    driver.report_end(&running, RunEnd::Done, &[]);
    driver.record();
    driver.schedule();
    let started = driver.confirm_starts();
    let jobs: Vec<_> = started.iter().map(|order| order.task.step.job.0).collect();
    assert_eq!(jobs, [first]);
}
