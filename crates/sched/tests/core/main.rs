//! The decision core, driven by hand: one failure a test.

mod advice;
mod authority;
mod counts;
mod crashes;
mod doubts;
mod driver;
mod keeping;
mod lasting;
mod life;
mod maintenance;
mod order;
mod pools;
mod preempt;
mod proof;
mod rebirth;
mod review;
mod rooms;
mod sharing;
mod silence;
mod site;
mod slow;
mod spread;
mod strays;
mod takeover;
