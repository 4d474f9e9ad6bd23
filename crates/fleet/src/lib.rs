//! In-memory models of the services that a cell depends on: the store, the workers and the advice service.
//!
//! [`StoreModel`] and [`FleetModel`] are plain state machines that take the current time as a parameter, so that
//! generated schedules can run them in virtual time. [`SharedPlatform`] implements the ports of a node on top of
//! them, so that complete nodes run in one process. The models are deterministic: the test decides which replies
//! are lost, which commands are delayed and which workers crash.

mod advice;
mod append_queues;
mod checker;
mod events;
mod fleet;
pub mod fuzz;
mod harness;
mod interference;
mod load;
mod mutate;
mod shared;
mod store;
mod vms;
mod worker;

pub use advice::AdviceModel;
pub use append_queues::AppendQueues;
pub use append_queues::QueuedAppend;
pub use checker::InvariantChecker;
pub use checker::Violation;
pub use events::RunEvent;
pub use fleet::CrashPlan;
pub use fleet::FleetLimits;
pub use fleet::FleetModel;
pub use fleet::TaskPlan;
pub use harness::SchedulerHarness;
pub use interference::TailLatencyModel;
pub use load::GeneratedJob;
pub use load::JobKind;
pub use load::LogNormal;
pub use shared::SharedFaults;
pub use shared::SharedPlatform;
pub use store::StoreModel;
pub use vms::VmsModel;
pub use worker::WorkerModel;
