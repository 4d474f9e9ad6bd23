//! Membership on injected clocks and an in-process network.

mod cluster;
mod focused;
mod schedules;
