//! Workers that are lost, and tasks that take their workers down.

use syc_sched::Event;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

#[test]
fn the_log_tells_how_long_the_youngest_run_of_a_lost_worker_had_been_there() {
    let mut driver = Driver::new(1, 4);
    driver.submit(1, policy(0), vec![step(1, 1)]);
    let old = driver.start_all().remove(0);
    driver.pass(2_000);
    driver.hold(old.worker, &[(old.task, old.run, 50)]);
    driver.submit(2, policy(0), vec![step(1, 1)]);
    let young = driver.start_all().remove(0);
    driver.pass(11);
    driver.apply(Event::RenewalFailed { worker: old.worker });
    driver.pass(3_500);
    driver.apply(Event::Replaced { worker: old.worker });
    let lost = driver.lost.remove(0);
    assert_eq!((lost.how, lost.runs), ("replaced", 2));
    let youngest = lost.youngest.expect("two runs were there");
    assert_eq!((youngest.task, youngest.seen_ms), (young.task, 0));
}
