//! The decision core, driven by hand: one failure a test.

mod driver;
mod preempt;
mod spread;
