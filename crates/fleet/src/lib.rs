//! Stand-ins for what a cell stands on: the store, the workers, the advice service.
//!
//! [`StoreModel`] and [`FleetModel`] are plain state with an explicit time, so that generated
//! schedules play them in virtual time. [`SharedPlatform`] puts them behind the ports of a node, so
//! that whole nodes run on them in one process. Nothing in them is random: whoever drives them
//! decides which answer is lost, which order late, which worker gone.

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
