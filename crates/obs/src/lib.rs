//! What operators can see: numbered log events and metrics.

mod events;

pub use events::ALL;
pub use events::Event;
pub use events::catalogue;
pub use events::emit;
