//! When something is sent again, and how often: exponential backoff with equal jitter, and token buckets.
//!
//! Both are of the published forms: M. Brooker, "Exponential Backoff And Jitter" (AWS, 2015), and the retry
//! budgets of Finagle and gRPC, where each success pays for a part of a later repeat.

mod backoff;
mod budget;

pub use backoff::backoff_ms;
pub use budget::Budget;
