//! The timeout of contacts to the scheduler.

use syc_sched::ContactTimeout;

const MIN_MS: u64 = 200;

/// Guards against suspecting a scheduler that is merely late: once it has answered after two missed contacts, the next
/// contacts are given several times as long.
#[test]
fn late_answers_lengthen_the_timeout_and_prompt_ones_shorten_it_again() {
    let mut timeout = ContactTimeout::default();
    timeout.record_answer(2, 0, MIN_MS);
    assert_eq!(timeout.timeout_ms(MIN_MS), MIN_MS);
    timeout.record_answer(150, 2, MIN_MS);
    let late_ms = timeout.timeout_ms(MIN_MS);
    assert!(late_ms >= 3 * MIN_MS, "{late_ms} ms");
    for _ in 0..40 {
        timeout.record_answer(2, 0, MIN_MS);
    }
    assert_eq!(timeout.timeout_ms(MIN_MS), MIN_MS);
}

/// Guards against a timeout so long that a scheduler that is cut off is not replaced within seconds.
#[test]
fn the_timeout_is_bounded() {
    let mut timeout = ContactTimeout::default();
    for _ in 0..20 {
        timeout.record_unanswered(10, MIN_MS);
    }
    assert_eq!(timeout.timeout_ms(MIN_MS), 4 * MIN_MS);
}
