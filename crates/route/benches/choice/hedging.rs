//! A second sending of late requests, within the retry budget.

use syc_route::AdaptiveLimit;

use crate::virtual_time::Run;
use crate::virtual_time::RunOptions;

/// Prints the comparison.
pub fn report() {
    println!();
    println!("load%  stragglers%  hedging  p50_ms  p99_ms  p99.9_ms  sendings/request  refused%");
    for load in [0.3, 0.5, 0.7, 0.9] {
        for stragglers in [0.0, 0.01] {
            for hedges in [false, true] {
                line(RunOptions {
                    load,
                    stragglers,
                    hedges,
                    ..RunOptions::default()
                });
            }
        }
    }
}

fn line(options: RunOptions) {
    let mut outcome = Run::new(AdaptiveLimit, options).run();
    println!(
        "{:>5.0}  {:>11.0}  {:>7}  {:>6.1}  {:>6.1}  {:>8.1}  {:>16.3}  {:>8.2}",
        options.load * 100.0,
        options.stragglers * 100.0,
        options.hedges,
        outcome.answer_ms(0.5),
        outcome.answer_ms(0.99),
        outcome.answer_ms(0.999),
        outcome.sendings as f64 / outcome.requests as f64,
        outcome.refused as f64 * 100.0 / outcome.requests as f64,
    );
}
