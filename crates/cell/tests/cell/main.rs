//! Whole nodes of a cell, each on a thread of its own, over stand-ins of the platform.
//!
//! Nothing here asserts on elapsed time: a test waits for what must come to be, and fails only where
//! it has not come long after it had to.

mod clock_agreement;
mod clocks;
mod cluster;
mod fuzz;
mod roster;
mod service;
mod stages;
mod store;
mod takeover;
mod unreadable;
mod vms;
mod workers;
