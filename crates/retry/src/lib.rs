//! Timeouts that adapt to response times, exponential backoff with equal jitter, and token buckets
//! for retries.
//!
//! They follow published designs: the estimator of Jacobson and Karels (RFC 6298), M. Brooker,
//! "Exponential Backoff And Jitter" (AWS, 2015), and the retry budgets of Finagle and gRPC, where
//! each success pays for a fraction of a later retry.

mod backoff;
mod budget;
mod timeout_estimator;

pub use backoff::backoff_ms;
pub use budget::Budget;
pub use timeout_estimator::TimeoutEstimator;
