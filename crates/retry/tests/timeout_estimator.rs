//! Tests of timeouts that adapt to the response times of slow peers.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_retry::TimeoutEstimator;

const MIN_MS: u64 = 400;
const MAX_MS: u64 = 2_000;

/// Feeds response times to the estimator. Returns how many exceeded the timeout.
fn count_timeouts<I>(estimator: &mut TimeoutEstimator, answers_ms: I) -> usize
where
    I: IntoIterator<Item = u64>,
{
    let mut missed = 0;
    for took_ms in answers_ms {
        let timeout_ms = estimator.timeout_ms(MIN_MS, MAX_MS);
        missed += usize::from(took_ms > timeout_ms);
        estimator.record(took_ms.min(timeout_ms));
    }
    missed
}

/// Four of ten answers are up to 1,500 ms late; the others arrive at once.
fn mostly_prompt_answers(seed: u64, count: usize) -> Vec<u64> {
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

/// A fixed timeout would miss three of ten answers.
#[test]
fn tolerates_answers_that_are_often_late() {
    for seed in 0..50 {
        let mut estimator = TimeoutEstimator::default();
        count_timeouts(&mut estimator, mostly_prompt_answers(seed, 30));
        let missed = count_timeouts(&mut estimator, mostly_prompt_answers(!seed, 1_000));
        assert!(missed <= 50, "seed {seed}: {missed} of 1,000");
    }
}

#[test]
fn adapts_to_answers_that_are_always_late() {
    let mut estimator = TimeoutEstimator::default();
    let missed = count_timeouts(&mut estimator, [1_500; 1_000]);
    assert!(missed <= 6, "{missed}");
}

/// A peer that is no longer slow is detected as silent as quickly as before.
#[test]
fn returns_to_the_minimum_once_answers_are_prompt_again() {
    let mut estimator = TimeoutEstimator::default();
    count_timeouts(&mut estimator, [2; 20]);
    assert_eq!(estimator.timeout_ms(MIN_MS, MAX_MS), MIN_MS);
    count_timeouts(&mut estimator, [1_500; 20]);
    assert!(estimator.timeout_ms(MIN_MS, MAX_MS) >= 1_500);
    count_timeouts(&mut estimator, [2; 30]);
    assert_eq!(estimator.timeout_ms(MIN_MS, MAX_MS), MIN_MS);
}

#[test]
fn a_single_lost_answer_changes_little() {
    let mut estimator = TimeoutEstimator::default();
    count_timeouts(&mut estimator, [2; 20]);
    count_timeouts(&mut estimator, [u64::MAX]);
    assert!(estimator.timeout_ms(MIN_MS, MAX_MS) < MIN_MS * 3 / 2);
}

#[test]
fn timeout_stays_within_its_bounds() {
    let mut estimator = TimeoutEstimator::default();
    assert_eq!(estimator.timeout_ms(MIN_MS, MAX_MS), MIN_MS);
    estimator.record(u64::MAX);
    estimator.record(u64::MAX);
    assert_eq!(estimator.timeout_ms(MIN_MS, MAX_MS), MAX_MS);
    assert_eq!(estimator.timeout_ms(MIN_MS, MIN_MS / 2), MIN_MS);
}
