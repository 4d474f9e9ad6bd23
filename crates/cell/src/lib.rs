//! A node of a cell.
//!
//! Every node takes callers' requests and stores what they submit. One node at a time is the
//! scheduler: the store's order of claims decides which, and the offset of the claim is the fencing
//! token of all its orders. The others ask it, call for advice on its behalf, and stand ready.
//!
//! Layers, from the outside in: [`ports`] (what the platform gives), [`Node`] (what all nodes do),
//! `leader` (what the scheduler does) over the pure decisions of `syc-sched`.

mod adviser;
mod claims;
mod clock;
pub mod clock_agreement;
mod configuration;
mod contact;
mod follow;
mod leader;
mod log;
mod node;
pub mod ports;
mod queries;
pub mod records;
mod settings;
mod store_calls;
mod submissions;
mod unreadable;

pub use clock::WallClock;
pub use clock::now;
pub use clock::pause;
pub use configuration::Configuration;
pub use configuration::Route;
pub use node::Node;
pub use queries::PendingAnswer;
pub use queries::StateAnswer;
pub use settings::NodeSettings;
pub use settings::Timing;
pub use store_calls::StoreView;
pub use submissions::StoreOutcome;
pub use unreadable::Source;
pub use unreadable::Unreadable;
