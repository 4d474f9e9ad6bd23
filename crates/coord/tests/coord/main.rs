//! Jobs, homes and the log's records, with what the log and the owners do to them.

mod append_batch;
mod audit;
mod home;
mod home_world;
mod intents;
mod runner;
mod snapshot;
