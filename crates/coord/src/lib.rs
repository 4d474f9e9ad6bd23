//! Coordination decisions: what the log's records mean, without any I/O.

mod append_batch;
mod audit;
mod config_store;
pub mod home;
mod jobs;
mod log_state;
pub mod records;
pub mod snapshot;
mod tombstones;

pub use append_batch::AppendOptions;
pub use append_batch::AppendPace;
pub use append_batch::Doubt;
pub use append_batch::Settled;
pub use append_batch::Urgency;
pub use append_batch::Waiting;
pub use audit::AUDIT_ENTRIES;
pub use audit::Action;
pub use audit::AuditEntry;
pub use audit::AuditTrail;
pub use audit::Place;
pub use config_store::ConfigStore;
pub use config_store::InForce;
pub use config_store::Verdict;
pub use home::Home;
pub use home::HomeOptions;
pub use jobs::Job;
pub use jobs::Jobs;
pub use jobs::TaskState;
pub use log_state::LogState;
pub use tombstones::Tombstones;
