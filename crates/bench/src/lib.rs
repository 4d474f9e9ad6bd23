//! Real daemon processes against stand-ins on loopback, for measurements outside CI.
//!
//! `syc-slopes` measures what a daemon costs as the cell grows; `syc-faults` counts what is lost or
//! doubled while daemons are paused, killed and replaced and the log fails.

pub mod cluster;
pub mod usage;
