//! Coordination decisions: what the log's records mean, without any I/O.

mod config_store;
mod jobs;
pub mod records;

pub use config_store::ConfigStore;
pub use config_store::InForce;
pub use config_store::Verdict;
pub use jobs::Job;
pub use jobs::Jobs;
pub use jobs::TaskState;
