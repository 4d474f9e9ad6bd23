//! When something is given up, when it is sent again, and how often: timeouts that follow the other side's answers,
//! exponential backoff with equal jitter, and token buckets.
//!
//! All are of the published forms: the estimator of Jacobson and Karels (RFC 6298), M. Brooker, "Exponential Backoff And
//! Jitter" (AWS, 2015), and the retry budgets of Finagle and gRPC, where each success pays for a part of a later repeat.

mod backoff;
mod budget;
mod timeout_estimator;

pub use backoff::backoff_ms;
pub use budget::Budget;
pub use timeout_estimator::TimeoutEstimator;
