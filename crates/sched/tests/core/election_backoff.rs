//! Elections that replace live schedulers.

use syc_sched::ElectionBackoff;
use syc_sched::Tenure;
use syc_types::Millis;

fn tenure(token: u64) -> Tenure {
    Tenure {
        incarnation: 1_000 + token,
        token,
    }
}

/// Guards against a cell that never settles: schedulers that are late but alive are replaced one after the other.
#[test]
fn replacing_live_schedulers_in_a_row_lengthens_timeouts_up_to_a_limit() {
    let mut backoff = ElectionBackoff::default();
    let mut factors = Vec::new();
    for token in 1..=5 {
        let now = Millis(token * 2_000);
        backoff.record_live_predecessor(tenure(token), now);
        factors.push(backoff.timeout_factor(now));
    }
    assert_eq!(factors, [1, 2, 4, 4, 4]);
}

/// Guards against slower recovery after a single pause or cut, and against counting one scheduler for each notice that it
/// answers.
#[test]
fn one_live_scheduler_does_not_slow_elections_down() {
    let mut backoff = ElectionBackoff::default();
    for at in [1_000, 1_100, 1_250] {
        let is_first = backoff.record_live_predecessor(tenure(7), Millis(at));
        assert_eq!(is_first, at == 1_000);
        assert_eq!(backoff.timeout_factor(Millis(at)), 1);
    }
}

/// Guards against timeouts that stay long once the overload is over.
#[test]
fn timeouts_are_as_usual_after_a_quiet_time() {
    let mut backoff = ElectionBackoff::default();
    backoff.record_live_predecessor(tenure(1), Millis(1_000));
    backoff.record_live_predecessor(tenure(2), Millis(2_000));
    assert_eq!(backoff.timeout_factor(Millis(11_999)), 2);
    assert_eq!(backoff.timeout_factor(Millis(12_000)), 1);
    backoff.record_live_predecessor(tenure(3), Millis(13_000));
    assert_eq!(backoff.timeout_factor(Millis(13_000)), 1);
}
