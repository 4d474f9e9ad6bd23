//! The decision core, driven by hand: one failure a test.

mod advice;
mod driver;
mod preempt;
mod spread;
