//! Answers in time by offered load, against a queue without bound or shedding.

use syc_route::AdaptiveLimit;

use crate::virtual_time::Run;
use crate::virtual_time::RunOptions;
use crate::virtual_time::capacity;

const LENGTH_US: u64 = 10_000_000;
const TIMEOUT_MS: u64 = 500;

/// Prints the curve.
pub fn report() {
    println!();
    println!("load%  goodput%  goodput%_without_shedding  ratio");
    for load in [0.5, 0.8, 0.9, 1.0, 1.1, 1.3, 1.5, 2.0] {
        let shed = goodput(load, true);
        let unshed = goodput(load, false);
        let ratio = shed / unshed;
        println!(
            "{:>5.0}  {shed:>8.1}  {unshed:>25.1}  {ratio:.2}",
            load * 100.0
        );
    }
}

fn goodput(load: f64, sheds: bool) -> f64 {
    let options = RunOptions {
        load,
        skewed: false,
        length_us: LENGTH_US,
        timeout_ms: TIMEOUT_MS,
        sheds,
        ..RunOptions::default()
    };
    let outcome = Run::new(AdaptiveLimit, options).run();
    outcome.in_time as f64 * 100.0 / capacity(LENGTH_US)
}
