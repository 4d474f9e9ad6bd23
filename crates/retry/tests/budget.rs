//! Tests of retry budgets and backoff delays.

use syc_retry::Budget;
use syc_retry::backoff_ms;
use syc_types::Millis;

#[test]
fn budget_refills_over_time_and_with_successes_up_to_its_burst() {
    let mut budget = Budget::new(2, 1);
    let mut take = |at_ms| budget.take(Millis(at_ms));
    assert_eq!([take(0), take(0), take(0)], [true, true, false]);
    assert_eq!([take(999), take(1_000), take(1_000)], [false, true, false]);
    budget.refund_per_mille(400);
    budget.refund_per_mille(599);
    assert!(!budget.has_token(Millis(1_000)));
    budget.refund_per_mille(1);
    assert!(budget.take(Millis(1_000)));
    for _ in 0..9 {
        budget.refund();
    }
    let taken = (0..9).filter(|_| budget.take(Millis(1_000))).count();
    assert_eq!(taken, 2);
}

#[test]
fn backoff_doubles_up_to_its_limit_and_half_of_it_is_jitter() {
    for seed in 0..100 {
        let waits_ms: Vec<_> = (0..6).map(|n| backoff_ms(40, 400, n, seed)).collect();
        let bounds_ms = [40, 80, 160, 320, 400, 400];
        for (wait_ms, bound_ms) in waits_ms.into_iter().zip(bounds_ms) {
            assert!((bound_ms / 2..=bound_ms).contains(&wait_ms));
        }
    }
}
