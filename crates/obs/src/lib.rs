//! What operators can see: numbered log events and metrics.

mod events;
mod metrics;

pub use events::ALL;
pub use events::Event;
pub use events::catalogue;
pub use events::emit;
pub use metrics::Metrics;
pub use metrics::Readings;
