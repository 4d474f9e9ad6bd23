//! Timeouts that follow how long answers take, replayed over the answers of other sides that are slow.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_retry::AnswerTime;

const LEAST_MS: u64 = 400;
const MOST_MS: u64 = 2_000;

/// Waits for answers that take so long each. Returns how many came too late.
fn replay<I>(time: &mut AnswerTime, answers_ms: I) -> usize
where
    I: IntoIterator<Item = u64>,
{
    let mut missed = 0;
    for took_ms in answers_ms {
        let timeout_ms = time.timeout_ms(LEAST_MS, MOST_MS);
        missed += usize::from(took_ms > timeout_ms);
        time.note(took_ms.min(timeout_ms));
    }
    missed
}

/// Four answers of ten are late by up to 1,500 ms, the others come at once.
fn often_late(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut answers_ms = Vec::new();
    for _ in 0..count {
        let is_late = rng.random_ratio(4, 10);
        answers_ms.push(if is_late {
            rng.random_range(0..=1_500)
        } else {
            2
        });
    }
    answers_ms
}

/// With a fixed time, three answers of ten would be missed.
#[test]
fn answers_that_are_often_late_are_waited_for() {
    for seed in 0..50 {
        let mut time = AnswerTime::default();
        replay(&mut time, often_late(seed, 30));
        let missed = replay(&mut time, often_late(!seed, 1_000));
        assert!(missed <= 50, "seed {seed}: {missed} of 1,000");
    }
}

#[test]
fn answers_that_are_always_late_are_waited_for_after_some() {
    let mut time = AnswerTime::default();
    let missed = replay(&mut time, [1_500; 1_000]);
    assert!(missed <= 6, "{missed}");
}

/// One that is slow no more is missed as soon as before.
#[test]
fn a_side_that_answers_at_once_gets_the_least_time_again() {
    let mut time = AnswerTime::default();
    replay(&mut time, [2; 20]);
    assert_eq!(time.timeout_ms(LEAST_MS, MOST_MS), LEAST_MS);
    replay(&mut time, [1_500; 20]);
    assert!(time.timeout_ms(LEAST_MS, MOST_MS) >= 1_500);
    replay(&mut time, [2; 30]);
    assert_eq!(time.timeout_ms(LEAST_MS, MOST_MS), LEAST_MS);
}

#[test]
fn one_answer_that_is_lost_changes_little() {
    let mut time = AnswerTime::default();
    replay(&mut time, [2; 20]);
    replay(&mut time, [u64::MAX]);
    assert!(time.timeout_ms(LEAST_MS, MOST_MS) < LEAST_MS * 3 / 2);
}

#[test]
fn nothing_is_given_more_than_the_bounds_allow() {
    let mut time = AnswerTime::default();
    assert_eq!(time.timeout_ms(LEAST_MS, MOST_MS), LEAST_MS);
    time.note(u64::MAX);
    time.note(u64::MAX);
    assert_eq!(time.timeout_ms(LEAST_MS, MOST_MS), MOST_MS);
    assert_eq!(time.timeout_ms(LEAST_MS, LEAST_MS / 2), LEAST_MS);
}
