//! Time of a choice, and the ways to divide slots compared in virtual time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are for reading"
)]

mod goodput;
mod hedging;
mod time;
mod virtual_time;
mod ways;

fn main() {
    time::report();
    ways::report();
    goodput::report();
    hedging::report();
}
