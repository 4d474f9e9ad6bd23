//! Stand-ins for what a cell stands on: the store, the workers, the advice service.
//!
//! [`StoreModel`] and [`FleetModel`] are plain state with an explicit time, so that generated
//! schedules play them in virtual time. [`SharedPlatform`] puts them behind the ports of a node, so
//! that whole nodes run on them in one process. Nothing in them is random: whoever drives them
//! decides which answer is lost, which order late, which worker gone.

mod advice;
mod core_model;
mod events;
mod fleet;
pub mod fuzz;
mod judge;
mod load;
mod odd;
mod rows;
mod shared;
mod sharing;
mod store;
mod vms;
mod worker;

pub use advice::AdviceModel;
pub use core_model::Core;
pub use events::RunEvent;
pub use fleet::CrashPlan;
pub use fleet::FleetLimits;
pub use fleet::FleetModel;
pub use fleet::Plan;
pub use judge::Fault;
pub use judge::Judge;
pub use load::DrawnJob;
pub use load::RequestKind;
pub use load::Spread;
pub use rows::RowAnswer;
pub use rows::StoreRows;
pub use shared::SharedFaults;
pub use shared::SharedPlatform;
pub use sharing::TailModel;
pub use store::StoreModel;
pub use vms::VmsModel;
pub use worker::WorkerModel;
