//! Tests that jobs are started only with a proof of leadership.
//!
//! Without the proof, a successor had to delay jobs submitted after its takeover for seconds while a worker did not
//! respond, because its predecessor might have read and started them.

use syc_sched::Event;
use syc_sched::Options;
use test_case::test_case;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

fn started(driver: &mut Driver) -> Vec<u64> {
    let starts = driver.start_all();
    starts.iter().map(|start| start.task.step.job.0).collect()
}

#[test]
fn job_starts_only_with_a_recent_or_later_leadership_proof() {
    let authority_ms = Options::default().proof_validity_ms;
    let mut driver = Driver::new(1, 8);
    driver.scheduler.require_leadership_proof();
    driver.submit(1, policy(0), vec![step(1, 1)]);
    assert!(started(&mut driver).is_empty());
    assert!(driver.scheduler.needs_leadership_proof(driver.now));
    let (jobs_added, sent_at) = (driver.scheduler.jobs_added(), driver.now);
    driver.advance(300);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver
        .scheduler
        .record_leadership_proof(jobs_added, sent_at);
    assert_eq!(started(&mut driver), [1, 2]);
    driver.now = sent_at.plus(authority_ms);
    driver.submit(3, policy(0), vec![step(1, 1)]);
    assert!(started(&mut driver).is_empty(), "the proof has expired");
    let jobs_added = driver.scheduler.jobs_added();
    driver
        .scheduler
        .record_leadership_proof(jobs_added, driver.now);
    driver.advance(authority_ms);
    assert_eq!(
        started(&mut driver),
        [3],
        "the write was sent after the job was learned of"
    );
}

/// After a takeover in which one worker does not respond, jobs that a predecessor may have started wait for the worker,
/// and later jobs do not.
#[test_case(false, Options::default().authority_ms; "predecessors that start without a proof")]
#[test_case(true, Options::default().proof_validity_ms + 50; "predecessors that require a proof")]
fn job_waits_after_takeover_only_while_predecessors_may_start_it(
    require_proof: bool,
    delay_ms: u64,
) {
    for (after_ms, starts) in [(delay_ms - 1, 0), (delay_ms, 1)] {
        let mut driver = Driver::new(0, 0);
        driver
            .scheduler
            .set_predecessors_require_proof(require_proof);
        for index in 0..2 {
            driver.apply(Event::WorkerListed(worker(index, 4)));
        }
        driver.scheduler.begin_recovery(driver.now);
        let read_at = driver.now.plus(after_ms);
        driver.report_running(driver.workers[0], &[]);
        driver.now = read_at;
        driver.scheduler.set_jobs_read(read_at);
        driver.submit(1, policy(0), vec![step(1, 1)]);
        assert_eq!(started(&mut driver).len(), starts);
    }
}
