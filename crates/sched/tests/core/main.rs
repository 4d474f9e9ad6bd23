//! The decision core, driven by hand: one failure a test.

mod advice;
mod authority;
mod counts;
mod crashes;
mod driver;
mod keeping;
mod lasting;
mod life;
mod maintenance;
mod order;
mod pools;
mod preempt;
mod proof;
mod restarts;
mod review;
mod sharing;
mod silence;
mod simulation;
mod slow;
mod spread;
mod stale_capacity;
mod strays;
mod takeover;
mod unanswered_orders;
