//! A node of a cell.
//!
//! Every node accepts requests from callers and stores the jobs that they submit. One node at a time is
//! the scheduler: the order of claims in the store decides which, and the offset of the winning claim is the
//! fencing token of all its orders. The other nodes forward queries to it, call the advice service on its
//! behalf, and are ready to take over.
//!
//! Layers, from the outside in: [`ports`] (interfaces to the platform), [`Node`] (what every node does),
//! `leader` (what the scheduler does), on top of the I/O-free decisions of `syc-sched`.

mod advice_query;
pub mod call_token;
mod carrier;
mod claims;
mod clock;
pub mod clock_agreement;
mod configuration;
mod configuration_relay;
mod contact;
mod follow;
mod intake_log;
mod leader;
mod log;
mod node;
pub mod ports;
mod queries;
mod recent_elections;
pub mod records;
pub mod remote_clock;
pub mod roster;
mod settings;
pub mod shedding;
mod store_calls;
mod stored_state;
mod submit;
mod submit_shedding;
mod succession;
mod unreadable;
pub mod worker_command;

pub use clock::WallClock;
pub use clock::now;
pub use clock::pause;
pub use configuration::Configuration;
pub use configuration::Route;
pub use configuration::SkippedWorkspace;
pub use leader::call_fences;
pub use leader::carriers;
pub use leader::lease_trace;
pub use leader::progress_batches;
pub use leader::progress_partitions;
pub use leader::task_lines;
pub use node::Node;
pub use queries::PendingAnswer;
pub use queries::StateAnswer;
pub use settings::NodeSettings;
pub use settings::Timing;
pub use store_calls::StoreView;
pub use submit::StoreOutcome;
pub use unreadable::Source;
pub use unreadable::Unreadable;
