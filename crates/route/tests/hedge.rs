//! The time after which a request counts as late.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_route::HedgeOptions;
use syc_route::HedgeTimer;
use syc_route::RetryBudget;
use syc_route::RetryOptions;

#[test]
fn about_a_twentieth_of_the_answers_is_late_also_after_a_change() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut timer = HedgeTimer::new(HedgeOptions::default());
    for mean_us in [10_000.0, 80_000.0, 20_000.0] {
        let mut late = 0;
        for answer in 0..6_000 {
            let share: f64 = random.random_range(1e-9..1.0);
            #[expect(clippy::cast_possible_truncation, reason = "small")]
            #[expect(clippy::cast_sign_loss, reason = "positive")]
            let latency_us = (-share.ln() * mean_us) as u64;
            let after_us = timer.after_us();
            late += u32::from(answer >= 4_000 && after_us.is_some_and(|at| latency_us > at));
            timer.note(latency_us);
        }
        assert!((60..=160).contains(&late), "{late} of 2000");
    }
}

#[test]
fn nothing_is_late_before_enough_answers_or_too_soon() {
    let mut timer = HedgeTimer::new(HedgeOptions::default());
    for _ in 0..99 {
        timer.note(50);
        assert_eq!(timer.after_us(), None);
    }
    timer.note(50);
    assert_eq!(timer.after_us(), Some(2_000));
}

#[test]
fn hedges_draw_on_the_retry_budget() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    let hedged = (0..20).filter(|_| budget.hedge()).count();
    assert_eq!(hedged, 10);
}
