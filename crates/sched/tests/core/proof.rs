//! Jobs that are started only once the store has taken something that was sent after they were learned of.
//!
//! A successor had jobs wait for seconds that were submitted after its takeover, where one worker did not answer: its
//! predecessor might have read and started them. One that starts nothing without this proof can't have.

use syc_sched::Event;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;
use crate::driver::worker;

#[test]
fn a_job_starts_once_the_store_has_taken_what_was_sent_after_it() {
    let mut driver = Driver::new(1, 4);
    driver.scheduler.set_jobs_proved(0);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let sent_with = driver.scheduler.jobs_added();
    driver.submit(2, policy(0), vec![step(1, 1)]);
    driver.schedule();
    assert_eq!(driver.starts, []);
    driver.scheduler.set_jobs_proved(sent_with);
    driver.schedule();
    let started: Vec<_> = driver.starts.iter().map(|s| s.task.step.job.0).collect();
    assert_eq!(started, [1]);
    assert!(driver.scheduler.has_unproved_jobs());
}

/// After a takeover in which one worker does not answer, a job that came later starts at once.
#[test]
fn what_came_after_a_takeover_waits_only_for_predecessors_that_start_without_a_proof() {
    for prove in [false, true] {
        let mut driver = Driver::new(0, 0);
        driver.scheduler.set_jobs_read(driver.now);
        driver.scheduler.set_predecessors_prove(prove);
        for index in 0..2 {
            driver.apply(Event::WorkerListed(worker(index, 4)));
        }
        driver.scheduler.begin_recovery(driver.now);
        driver.hold(driver.workers[0], &[]);
        driver.submit(1, policy(0), vec![step(1, 1)]);
        driver.schedule();
        assert_eq!(driver.starts.len(), usize::from(prove));
    }
}
