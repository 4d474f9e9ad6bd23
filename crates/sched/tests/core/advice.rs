//! Tests how many advice calls are made, and for which steps first.

use syc_sched::AdvicePolicy;
use syc_sched::AdviceSlots;
use syc_sched::QueuePolicy;

use crate::driver::Driver;
use crate::driver::policy;
use crate::driver::step;

fn advised(priority: u32, decision_ms: f64) -> QueuePolicy {
    QueuePolicy {
        advice: Some(AdvicePolicy {
            decision_ms,
            per_worker_ms: 0.1,
            validity_ms: 2_000,
        }),
        ..policy(priority)
    }
}

#[test]
fn most_urgent_steps_get_the_free_advice_slots() {
    let mut driver = Driver::new(4, 8);
    driver.submit(1, advised(2, 100.0), vec![step(1, 1)]);
    driver.submit(2, advised(1, 100.0), vec![step(1, 1)]);
    driver.submit(3, advised(0, 5.0), vec![step(1, 1)]);
    driver.submit(4, advised(0, 5.0), vec![step(1, 1)]);
    let slots = AdviceSlots { short: 1, long: 1 };
    driver.scheduler.set_advice_slots(slots);
    driver.schedule();
    let asked: Vec<_> = driver
        .advice_requests
        .iter()
        .map(|(step, _)| step.job.0)
        .collect();
    assert_eq!(asked, [3, 2]);

    driver.scheduler.set_advice_slots(slots);
    driver.schedule();
    let asked: Vec<_> = driver
        .advice_requests
        .iter()
        .map(|(step, _)| step.job.0)
        .collect();
    assert_eq!(asked, [3, 2, 4, 1]);
}
