//! The ways to divide slots: overruns, waits and refusals by load.

use syc_route::AdaptiveLimit;
use syc_route::DividedSlots;
use syc_route::SlotFacts;
use syc_route::SlotPolicy;
use syc_route::TwoChoices;

use crate::virtual_time::Run;
use crate::virtual_time::RunOptions;

const LENGTH_US: u64 = 10_000_000;
const TIMEOUT_MS: u64 = 2_000;

/// Slots divided, and nothing borrowed.
#[derive(Debug, Clone, Copy)]
struct StrictShare;

impl SlotPolicy for StrictShare {
    fn soft(&self, facts: SlotFacts) -> u32 {
        facts.share()
    }

    fn hard(&self, facts: SlotFacts) -> u32 {
        facts.share()
    }
}

/// Only the learned limit, without shares.
#[derive(Debug, Clone, Copy)]
struct LearnedOnly;

impl SlotPolicy for LearnedOnly {
    fn soft(&self, facts: SlotFacts) -> u32 {
        facts.learned_slots()
    }

    fn hard(&self, facts: SlotFacts) -> u32 {
        facts.learned_slots()
    }
}

/// Prints the comparison.
pub fn report() {
    println!();
    println!("way                 callers  load%  overruns%  wait_p50_ms  wait_p99_ms  refused%");
    for skewed in [false, true] {
        for load in [0.5, 0.9, 1.3] {
            line("strict share", StrictShare, skewed, load);
            line("share + borrowing", DividedSlots, skewed, load);
            line("two choices", TwoChoices, skewed, load);
            line("learned only", LearnedOnly, skewed, load);
            line("share + learned", AdaptiveLimit, skewed, load);
        }
    }
}

fn line<P>(name: &str, policy: P, skewed: bool, load: f64)
where
    P: SlotPolicy + Copy,
{
    let options = RunOptions {
        load,
        skewed,
        length_us: LENGTH_US,
        timeout_ms: TIMEOUT_MS,
        sheds: true,
        ..RunOptions::default()
    };
    let mut outcome = Run::new(policy, options).run();
    let callers = if skewed { "skewed" } else { "even" };
    println!(
        "{name:<18}  {callers:<7}  {:>5.0}  {:>9.2}  {:>11.2}  {:>11.2}  {:>8.2}",
        load * 100.0,
        outcome.overruns as f64 * 100.0 / outcome.sendings as f64,
        outcome.wait_ms(0.5),
        outcome.wait_ms(0.99),
        outcome.refused as f64 * 100.0 / outcome.requests as f64,
    );
}
