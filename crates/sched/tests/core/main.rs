//! Tests of the scheduling core, driven event by event. Each test covers one failure.

mod advice;
mod authority;
mod counts;
mod crashes;
mod doubts;
mod driver;
mod lifecycle;
mod long_running;
mod orphans;
mod pools;
mod preemption;
mod proof;
mod rebirth;
mod retention;
mod review;
mod rooms;
mod serving_order;
mod sharing;
mod silence;
mod site;
mod slow;
mod spread;
mod takeover;
mod upkeep;
