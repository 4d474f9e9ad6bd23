//! The daemon: it carries out what the decision crates decide.
//!
//! Every entry VM runs one, and all are equal. A daemon lives on one actix arbiter; nothing in it
//! is shared between threads.

mod audit;
mod callers;
mod control;
mod control_drain;
mod control_explain;
mod control_publish;
mod control_status;
mod daemon;
mod follower;
mod follower_peers;
mod follower_snapshot;
mod home;
mod home_cancel;
mod home_ends;
mod home_place;
mod home_run;
mod http_body;
mod intake_log;
mod log_writer;
mod log_writer_task;
mod members;
mod members_run;
mod metrics;
mod node;
mod owner;
mod owner_calls;
mod owner_polls;
mod peers;
mod publish;
mod requests;

pub use daemon::Daemon;
pub use daemon::Listeners;
pub use daemon::StartError;
