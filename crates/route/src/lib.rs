//! Routing decisions for callers' requests: which endpoint, and what may be repeated.

mod endpoints;
mod free;
mod health;
mod once;
mod policy;
mod queue;
mod retry;
mod wait;

pub use endpoints::EndpointInfo;
pub use endpoints::EndpointKey;
pub use endpoints::Endpoints;
pub use health::Finish;
pub use health::HealthOptions;
pub use once::Kept;
pub use once::Once;
pub use once::OnceAnswer;
pub use policy::AdaptiveLimit;
pub use policy::DividedSlots;
pub use policy::SlotFacts;
pub use policy::SlotPolicy;
pub use policy::TwoChoices;
pub use queue::Arrival;
pub use queue::Queue;
pub use queue::QueueKey;
pub use queue::QueueOptions;
pub use queue::Shed;
pub use queue::ShedReason;
pub use retry::Next;
pub use retry::RetryBudget;
pub use retry::RetryOptions;
pub use retry::Sending;
pub use retry::surely_not_run;
